package call

import (
	"time"

	"lynxfold/core/contract"
	"lynxfold/core/datacentre"
	"lynxfold/core/host"
)

// Outcome says what is known of a call or attempt.
type Outcome = host.Outcome

// Outcomes.
const (
	OutcomeRan     = host.OutcomeRan
	OutcomeNotRun  = host.OutcomeNotRun
	OutcomeUnknown = host.OutcomeUnknown
)

// Reasons for refusals by the ingress, beside those of gates.
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

// RetryReason says why a further attempt was or wasn't made.
type RetryReason string

// Reasons for and against further attempts.
const (
	// RetryStatus follows an upstream's status that another upstream may not give.
	RetryStatus RetryReason = "status"
	// RetryNotRun follows a refusal.
	RetryNotRun RetryReason = "not_run"
	// RetryUnknown follows an attempt whose outcome is unknown; idempotent calls only.
	RetryUnknown RetryReason = "unknown"
	// RetryMoved follows a refusal by a gate that is leaving or was replaced; it
	// is free.
	RetryMoved RetryReason = "moved"
	// RetryBusy follows the refusal of a brief attempt; it is free.
	RetryBusy RetryReason = "busy"
	// RetryHedge starts beside a slow attempt.
	RetryHedge RetryReason = "hedge"

	NoRetryFinal        RetryReason = "final"
	NoRetryUnknown      RetryReason = "outcome_unknown"
	NoRetryLimit        RetryReason = "limit"
	NoRetryBody         RetryReason = "body_gone"
	NoRetryBudget       RetryReason = "budget"
	NoRetryDeadline     RetryReason = "deadline"
	NoRetryUpperLayer   RetryReason = "upper_layer_retries"
	NoRetryLowerLayer   RetryReason = "lower_layer_gave_up"
	NoRetryNoCandidate  RetryReason = "no_candidate"
	NoHedgeBudget       RetryReason = "hedge_budget"
	NoHedgeNoCandidate  RetryReason = "hedge_no_candidate"
	NoRetryNoRoom       RetryReason = "no_room"
	NoRetryInvariant    RetryReason = "invariant"
	NoRetryCallerIsGone RetryReason = "caller_gone"
)

// Result is how one attempt ended.
type Result struct {
	Outcome Outcome
	Reason  host.Reason
	// Status is the upstream's HTTP status when the attempt ran.
	Status int
	// ComeBack is when a refused attempt makes sense again; zero when unknown.
	ComeBack time.Time
	// GaveUp says that the answer carries the marker of a lower layer that has
	// made all the attempts it could.
	GaveUp bool
	// BodyUnread says that no part of the request's body was taken, so that it
	// can still be sent to another upstream.
	BodyUnread bool
}

// Event is an input of a call.
type Event interface{ isEvent() }

// Action is an output of a call.
type Action interface{ isAction() }

// Begin starts the call.
type Begin struct{}

// AttemptEnded brings the result of an attempt. The outcome is not_run only
// when the gate said so or no byte of the attempt was written to a link.
type AttemptEnded struct {
	Attempt host.AttemptID
	Result  Result
}

// LinkLost says that the link or lane of an attempt ended or went silent after
// the attempt was written to it, in whole or in part.
type LinkLost struct {
	Attempt host.AttemptID
}

// Verdict brings a gate's answer to an Ask. Result holds the kept answer's
// status when the fate is finished, and the refusal's reason otherwise.
type Verdict struct {
	Attempt host.AttemptID
	Fate    host.Fate
	Result  Result
}

// AskFailed says that an Ask got no answer.
type AskFailed struct {
	Attempt host.AttemptID
}

// CallerGone says that nobody waits for the answer.
type CallerGone struct{}

// Tick lets time pass; it is due at WakeAt.
type Tick struct{}

func (Begin) isEvent()        {}
func (AttemptEnded) isEvent() {}
func (LinkLost) isEvent()     {}
func (Verdict) isEvent()      {}
func (AskFailed) isEvent()    {}
func (CallerGone) isEvent()   {}
func (Tick) isEvent()         {}

// Try sends an attempt to an upstream now.
type Try struct {
	Attempt  host.AttemptID
	Upstream datacentre.Upstream
	// Deadline is the attempt's; it is a margin before the call's, so that the
	// gate's answer still arrives in time.
	Deadline time.Time
	// Number counts the attempts at the call, from 1; it goes into the marker.
	Number int
	// Reason says why a further attempt is made; empty for the first.
	Reason RetryReason
	// Brief asks the gate to refuse the attempt when it has no free slot.
	Brief bool
}

// Ask asks the attempt's gate, on a link that was opened after the doubt, what
// became of it. Verdict or AskFailed follows.
type Ask struct {
	Attempt  host.AttemptID
	Upstream datacentre.Upstream
	// WaitUntil is how long the gate may hold its answer back.
	WaitUntil time.Time
}

// Abandon cancels an attempt whose result is no longer of use. Nothing follows.
type Abandon struct {
	Attempt host.AttemptID
}

// Skip says that a hedge was due and why it was not made.
type Skip struct {
	Reason RetryReason
}

// Answer ends the call. Attempt is the attempt whose answer the caller gets;
// it is empty when there is none.
type Answer struct {
	Attempt host.AttemptID
	Result  Result
	// Retry says why no further attempt was made.
	Retry RetryReason
}

// Violated reports a fault of the call's own decisions: an attempt at a
// non-idempotent call that may have run. It was not made; the call is answered.
type Violated struct {
	Upstream datacentre.Upstream
}

func (Try) isAction()      {}
func (Ask) isAction()      {}
func (Abandon) isAction()  {}
func (Skip) isAction()     {}
func (Answer) isAction()   {}
func (Violated) isAction() {}

// Config sets up one call.
type Config struct {
	// Issuer and Number name the call; its attempts' ids are made of them.
	Issuer host.Issuer
	Number uint64
	Terms  contract.Terms
	// Deadline is when the caller gets an answer at the latest.
	Deadline time.Time
	// Margin is kept between the attempts' deadline and the call's.
	Margin time.Duration
	// Replayable says that the request's body can be sent again.
	Replayable bool
	// UpperRetries says that the request carries the marker of an upper layer
	// whose attempt is a retry already.
	UpperRetries bool
	// Estimate is how long an attempt takes as a rule; 0 when unknown.
	Estimate time.Duration
	Chooser  Picker
	// Patience is how long the call may wait in a queue before it goes farther.
	Patience time.Duration
	// Near finds upstreams for brief attempts; nil means that none are made.
	Near   NearPicker
	Budget Spender
	// Hedges grants hedges; nil means that there are none.
	Hedges Spender
	// ComeBack is the shortest delay that a caller is told when no gate named one.
	ComeBack time.Duration
	// Jitter returns a random number from 0 up to 1.
	Jitter func() float64
}

// Picker chooses upstreams.
type Picker interface {
	// Pick returns an upstream that is not among the hosts tried.
	Pick(tried []host.ID, now time.Time) (datacentre.Upstream, bool)
	// PickSpare is Pick among the upstreams that are not known to be full.
	PickSpare(tried []host.ID, now time.Time) (datacentre.Upstream, bool)
}

// NearPicker chooses upstreams of the own data centre.
type NearPicker interface {
	// PickNear returns an upstream that is not among the hosts tried and not known
	// to be full.
	PickNear(tried []host.ID, now time.Time) (datacentre.Upstream, bool)
}

// Spender grants retries or hedges.
type Spender interface {
	Spend(now time.Time) bool
}
