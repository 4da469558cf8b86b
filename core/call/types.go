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

// Reasons for which the ingress refuses a call. Gates add reasons of their own.
const (
	ReasonNoRoute      host.Reason = "no_route"
	ReasonNoCandidate  host.Reason = "no_candidate"
	ReasonLinkDial     host.Reason = "link_dial"
	ReasonLinkLost     host.Reason = "link_lost"
	ReasonCallerGone   host.Reason = "caller_gone"
	ReasonBodyTooLarge host.Reason = "body_too_large"
	ReasonBadRequest   host.Reason = "bad_request"
	ReasonAnswerLost   host.Reason = "answer_lost"
	ReasonNeverSeen    host.Reason = "never_seen"
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

	NoRetryFinal       RetryReason = "final"
	NoRetryUnknown     RetryReason = "outcome_unknown"
	NoRetryLimit       RetryReason = "limit"
	NoRetryBody        RetryReason = "body_gone"
	NoRetryBudget      RetryReason = "budget"
	NoRetryDeadline    RetryReason = "deadline"
	NoRetryUpperLayer  RetryReason = "upper_layer_retries"
	NoRetryLowerLayer  RetryReason = "lower_layer_gave_up"
	NoRetryNoCandidate RetryReason = "no_candidate"
	NoHedgeBudget      RetryReason = "hedge_budget"
	NoHedgeNoCandidate RetryReason = "hedge_no_candidate"
	NoRetryQueuesFull  RetryReason = "no_room"
	NoRetryInvariant   RetryReason = "invariant"
	NoRetryCallerGone  RetryReason = "caller_gone"
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
	// GaveUp says that the response carries HeaderGaveUp: a lower layer has used
	// up its retries. In the action that ends the call it also stands for this layer.
	GaveUp bool
	// BodyUnread says that no part of the request body was read, so that it can
	// still be sent to another upstream.
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
// or stopped responding after the attempt was written to it, in whole or in part.
type LinkLost struct {
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
	// Number counts the attempts of the call from 1. It is sent in HeaderAttempt.
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
	Terms  contract.Terms
	// Deadline is the latest time at which the caller gets a response.
	Deadline time.Time
	// DeadlineMargin is the time between the deadline of the attempts and that of the call.
	DeadlineMargin time.Duration
	// Replayable says that the request body can be sent again.
	Replayable bool
	// UpperLayerRetries says that HeaderAttempt of the request marks it as a retry by an
	// upper layer.
	UpperLayerRetries bool
	// ExpectedLatency is the expected duration of an attempt; 0 when unknown.
	ExpectedLatency time.Duration
	Picker          Picker
	// MaxQueueWait is how long the call may wait in a queue of the local data centre
	// before a remote one is tried.
	MaxQueueWait time.Duration
	// LocalPicker picks upstreams for no-queue attempts; nil disables them.
	LocalPicker LocalPicker
	RetryBudget Spender
	// HedgeBudget is the budget for hedged requests; nil disables them.
	HedgeBudget Spender
	// MinRetryAfter is the minimum retry delay returned to the caller if no gate
	// returned one.
	MinRetryAfter time.Duration
	// Jitter returns a random number in [0, 1).
	Jitter func() float64
}

// Picker selects upstreams.
type Picker interface {
	// Pick returns an upstream whose host is not in tried.
	Pick(tried []host.ID, now time.Time) (datacentre.Upstream, bool)
	// PickWithCapacity is Pick restricted to upstreams that are not known to be full.
	PickWithCapacity(tried []host.ID, now time.Time) (datacentre.Upstream, bool)
}

// LocalPicker selects upstreams of the local data centre.
type LocalPicker interface {
	// PickLocal returns an upstream whose host is not in tried and that is not known
	// to be full.
	PickLocal(tried []host.ID, now time.Time) (datacentre.Upstream, bool)
}

// Spender is a budget of retries or hedged requests.
type Spender interface {
	// Spend takes one from the budget and reports whether there was one left.
	// Spend takes one from the budget and reports whether there was one left.
	Spend(now time.Time) bool
}
