package call

import (
	"time"

	"lynxfold/core/contract"
	"lynxfold/core/datacentre"
	"lynxfold/core/host"
)

// Outcome says whether a call or attempt ran, as far as is known.
type Outcome = host.Outcome

// Outcomes of a call or attempt; see package host.
const (
	OutcomeRan     = host.OutcomeRan
	OutcomeNotRun  = host.OutcomeNotRun
	OutcomeUnknown = host.OutcomeUnknown
)

// Reasons for which a call or attempt failed, as determined by the ingress. Gates
// add reasons of their own.
const (
	ReasonNoRoute host.Reason = "no_route"
	// ReasonNoCandidate means that no upstream was available.
	ReasonNoCandidate host.Reason = "no_candidate"
	// ReasonLinkDial means that no link to the gate could be opened.
	ReasonLinkDial host.Reason = "link_dial"
	// ReasonLinkLost means that the link was lost after the attempt was sent.
	ReasonLinkLost     host.Reason = "link_lost"
	ReasonCallerGone   host.Reason = "caller_gone"
	ReasonBodyTooLarge host.Reason = "body_too_large"
	ReasonBadRequest   host.Reason = "bad_request"
	// ReasonAnswerLost means that the attempt ran, but its response is lost.
	ReasonAnswerLost host.Reason = "answer_lost"
	// ReasonNeverSeen means that the attempt did not reach the gate.
	ReasonNeverSeen host.Reason = "never_seen"
)

// RetryReason says why a further attempt was or was not made.
type RetryReason string

// Reasons for and against further attempts.
const (
	// RetryStatus follows an HTTP status that another upstream may not return.
	RetryStatus RetryReason = "status"
	// RetryNotRun follows an attempt that was refused before it ran.
	RetryNotRun RetryReason = "not_run"
	// RetryUnknown follows an attempt whose outcome is unknown. Only idempotent
	// calls are retried for this reason.
	RetryUnknown RetryReason = "unknown"
	// RetryOtherGate follows a refusal by a gate that is full, draining, replaced or
	// unreachable. It does not use the retry budget.
	RetryOtherGate RetryReason = "moved"
	// RetryBusy follows the refusal of a no-queue attempt. It does not use the
	// retry budget.
	RetryBusy RetryReason = "busy"
	// RetryHedge is a hedged request, sent while a slow attempt is still open.
	RetryHedge RetryReason = "hedge"

	// NoRetryFinal means that the result is passed on to the caller as it is.
	NoRetryFinal RetryReason = "final"
	// NoRetryUnknown means that a non-idempotent call may have run.
	NoRetryUnknown RetryReason = "outcome_unknown"
	// NoRetryLimit means that the contract allows no more retries.
	NoRetryLimit RetryReason = "limit"
	// NoRetryBody means that the request body can't be sent again.
	NoRetryBody RetryReason = "body_gone"
	// NoRetryBudget means that the retry budget is exhausted.
	NoRetryBudget RetryReason = "budget"
	// NoRetryDeadline means that a retry can't meet the deadline.
	NoRetryDeadline RetryReason = "deadline"
	// NoRetryUpperLayer means that the request is itself a retry by an upper layer.
	NoRetryUpperLayer RetryReason = "upper_layer_retries"
	// NoRetryLowerLayer means that a lower layer has used up its retries.
	NoRetryLowerLayer RetryReason = "lower_layer_gave_up"
	// NoRetryNoCandidate means that no upstream was available in time.
	NoRetryNoCandidate RetryReason = "no_candidate"
	// NoHedgeBudget means that the budget for hedged requests is exhausted.
	NoHedgeBudget RetryReason = "hedge_budget"
	// NoHedgeNoCandidate means that no upstream was available for a hedged request.
	NoHedgeNoCandidate RetryReason = "hedge_no_candidate"
	// NoRetryQueuesFull means that the last gate's queue was full, and enough others
	// were tried.
	NoRetryQueuesFull RetryReason = "no_room"
	// NoRetryDownstreamFull means that a service that the call would call is short of
	// capacity, which other gates can't change.
	NoRetryDownstreamFull RetryReason = "downstream_full"
	// NoRetryServiceFull means that the call was refused without an attempt, since recent
	// ones like it found no room.
	NoRetryServiceFull RetryReason = "service_full"
	// NoRetryQuarantined means that the request has crashed upstreams which ran it.
	NoRetryQuarantined RetryReason = "quarantined"
	// NoRetryInvariant means that the call ended with InvariantViolated.
	NoRetryInvariant RetryReason = "invariant"
	// NoRetryCallerGone means that the attempt was cancelled.
	NoRetryCallerGone RetryReason = "caller_gone"
)

// Result is how one attempt ended.
type Result struct {
	Outcome Outcome
	Reason  host.Reason
	// Status is the upstream's HTTP status if the attempt ran.
	Status int
	// RetryAfter is the time from which a refused attempt may be retried; zero when
	// unknown.
	RetryAfter time.Time
	// RateLimited says that the upstream accepts no attempt before RetryAfter, whatever
	// slots it has.
	RateLimited bool
	// GaveUp says that the response carries HeaderGaveUp: a lower layer has used
	// up its retries. In Respond it is also set if this layer has.
	GaveUp bool
	// BodyUnread says that no part of the request body was read, so that even a body
	// that is not replayable can be sent to another upstream.
	BodyUnread bool
}

// Event is an input of the call's state machine.
type Event interface{ isEvent() }

// Action is an output of the call's state machine.
type Action interface{ isAction() }

// Begin starts the call.
type Begin struct{}

// AttemptEnded reports the result of an attempt. The outcome is OutcomeNotRun
// only if the gate reported it or no byte of the attempt was written to a link.
type AttemptEnded struct {
	Attempt host.AttemptID
	Result  Result
}

// LinkLost reports that the link of an attempt, or its stream on the link, ended
// or was found broken after the attempt was written to it, in whole or in part.
type LinkLost struct {
	Attempt host.AttemptID
}

// LinkSilent reports that nothing has arrived on the link of an attempt for some time. It
// is still open: it may be broken, or its messages wait in the queue of a full link.
type LinkSilent struct {
	Attempt host.AttemptID
}

// QueryResult reports the gate's answer to a query about an attempt. Result holds the
// status of the stored response if the fate is host.FateFinished, and the reason
// for the refusal otherwise.
type QueryResult struct {
	Attempt host.AttemptID
	Fate    host.Fate
	Result  Result
}

// QueryFailed reports that a query about an attempt got no answer.
type QueryFailed struct {
	Attempt host.AttemptID
}

// CallerGone reports that the caller disconnected.
type CallerGone struct{}

// Tick runs the timers that are due. The next one is due at WakeAt.
type Tick struct{}

func (Begin) isEvent()        {}
func (AttemptEnded) isEvent() {}
func (LinkLost) isEvent()     {}
func (LinkSilent) isEvent()   {}
func (QueryResult) isEvent()  {}
func (QueryFailed) isEvent()  {}
func (CallerGone) isEvent()   {}
func (Tick) isEvent()         {}

// SendAttempt sends an attempt to an upstream.
type SendAttempt struct {
	Attempt  host.AttemptID
	Upstream datacentre.Upstream
	// Deadline is the deadline of the attempt. It precedes the call's by a margin,
	// so that the gate's response still arrives in time.
	Deadline time.Time
	// Number counts the attempts of the call from 1. HeaderAttempt is derived from it.
	Number int
	// Reason says why a further attempt is made; empty for the first one.
	Reason RetryReason
	// NoQueue marks a no-queue attempt: the gate refuses it if it has no free slot.
	NoQueue bool
}

// QueryAttempt queries the gate of an attempt for its fate, on a link that was opened after
// the attempt's link was lost. The event with the answer or the failure follows.
type QueryAttempt struct {
	Attempt  host.AttemptID
	Upstream datacentre.Upstream
	// WaitUntil is the time until which the gate may delay its answer.
	WaitUntil time.Time
}

// AwaitAnswer waits for the answer to an attempt on its silent link. AttemptEnded or LinkLost
// follows.
type AwaitAnswer struct {
	Attempt host.AttemptID
}

// CancelAttempt cancels an attempt whose result is no longer needed. No event follows.
type CancelAttempt struct {
	Attempt host.AttemptID
}

// SkipHedge reports why a hedged request that was due was not sent.
type SkipHedge struct {
	Reason RetryReason
}

// Respond ends the call. Attempt is the attempt whose response the caller receives;
// it is empty if there is none.
type Respond struct {
	Attempt host.AttemptID
	Result  Result
	// NoRetryReason is the reason for which no further attempt was made.
	NoRetryReason RetryReason
}

// InvariantViolated reports a bug in the call's state machine: it was about to
// send a further attempt of a non-idempotent call that may have run. The attempt
// is not sent, and the call ends.
type InvariantViolated struct {
	Upstream datacentre.Upstream
}

func (SendAttempt) isAction()       {}
func (QueryAttempt) isAction()      {}
func (AwaitAnswer) isAction()       {}
func (CancelAttempt) isAction()     {}
func (SkipHedge) isAction()         {}
func (Respond) isAction()           {}
func (InvariantViolated) isAction() {}

// Config configures one call.
type Config struct {
	// Issuer and Number identify the call. The ids of its attempts are built from
	// them.
	Issuer host.Issuer
	Number uint64
	// Terms is the contract of the call.
	Terms contract.Terms
	// Deadline is the latest time at which the caller gets a response.
	Deadline time.Time
	// DeadlineMargin is by how much the deadline of the attempts precedes that of the
	// call.
	DeadlineMargin time.Duration
	// Replayable says that the request body can be sent again.
	Replayable bool
	// UpperLayerRetries says that HeaderAttempt of the request marks it as a retry by an
	// upper layer.
	UpperLayerRetries bool
	// ExpectedLatency is the expected duration of an attempt; 0 when unknown.
	ExpectedLatency time.Duration
	// Picker picks upstreams in any data centre.
	Picker Picker
	// MaxQueueWait is how long the call may wait in a queue of the local data centre
	// before a remote one is tried.
	MaxQueueWait time.Duration
	// LocalPicker picks the local upstreams of no-queue attempts; nil disables such
	// attempts.
	LocalPicker LocalPicker
	RetryBudget Spender
	// HedgeBudget is the budget for hedged requests; nil disables them.
	HedgeBudget Spender
	// MinRetryAfter is the retry delay, before jitter, that the caller is given if no
	// gate returned one.
	MinRetryAfter time.Duration
	// Jitter returns a random number in [0, 1).
	Jitter func() float64
}

// Picker picks upstreams.
type Picker interface {
	// Pick returns an upstream whose host is not in tried, or false if there is none.
	Pick(tried []host.ID, now time.Time) (datacentre.Upstream, bool)
	// PickWithCapacity is Pick restricted to upstreams that are not known to be full.
	PickWithCapacity(tried []host.ID, now time.Time) (datacentre.Upstream, bool)
}

// LocalPicker picks upstreams of the local data centre.
type LocalPicker interface {
	// PickLocal returns an upstream whose host is not in tried and that is not known
	// to be full, or false if there is none.
	PickLocal(tried []host.ID, now time.Time) (datacentre.Upstream, bool)
}

// Spender is a budget of retries or hedged requests.
type Spender interface {
	// Spend takes one retry or hedged request from the budget and reports whether
	// there was one left.
	Spend(now time.Time) bool
}
