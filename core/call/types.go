package call

import (
	"time"

	"lynxfold/core/contract"
	"lynxfold/core/datacentre"
	"lynxfold/core/host"
)

// Outcome says what is known of a call or attempt.
type Outcome string

// Outcomes.
const (
	// OutcomeRan means that the upstream ran the call and its answer is there.
	OutcomeRan Outcome = "ran"
	// OutcomeNotRun means that it is certain that no upstream ran the call.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeUnknown means that an upstream may have run the call.
	OutcomeUnknown Outcome = "unknown"
)

// Reasons for refusals by the ingress, beside those of gates.
const (
	ReasonNoRoute      host.Reason = "no_route"
	ReasonNoCandidate  host.Reason = "no_candidate"
	ReasonLinkDial     host.Reason = "link_dial"
	ReasonLinkLost     host.Reason = "link_lost"
	ReasonRetryBudget  host.Reason = "retry_budget"
	ReasonCallerGone   host.Reason = "caller_gone"
	ReasonBodyTooLarge host.Reason = "body_too_large"
	ReasonBadRequest   host.Reason = "bad_request"
	ReasonStopping     host.Reason = "stopping"
)

// Result is how one attempt ended.
type Result struct {
	Outcome Outcome
	Reason  host.Reason
	// Status is the upstream's HTTP status when the attempt ran.
	Status int
	// ComeBack is when a refused attempt makes sense again; zero when unknown.
	ComeBack time.Time
}

// Event is an input of a call.
type Event interface{ isEvent() }

// Action is an output of a call.
type Action interface{ isAction() }

// Begin starts the call.
type Begin struct{}

// AttemptEnded brings the result of an attempt.
type AttemptEnded struct {
	Attempt host.AttemptID
	Result  Result
}

// CallerGone says that nobody waits for the answer.
type CallerGone struct{}

func (Begin) isEvent()        {}
func (AttemptEnded) isEvent() {}
func (CallerGone) isEvent()   {}

// Try sends an attempt to an upstream.
type Try struct {
	Attempt  host.AttemptID
	Upstream datacentre.Upstream
	// At is when the attempt starts; zero means at once.
	At time.Time
}

// Answer ends the call with the result of an attempt.
type Answer struct {
	Attempt host.AttemptID
	Result  Result
}

func (Try) isAction()    {}
func (Answer) isAction() {}

// Config sets up one call.
type Config struct {
	// ID is the prefix of the ids of its attempts.
	ID       string
	Terms    contract.Terms
	Deadline time.Time
	// Replayable says that the request's body can be sent again.
	Replayable bool
	Chooser    Picker
	Budget     Spender
}

// Picker chooses upstreams.
type Picker interface {
	Pick(tried map[host.ID]bool, now time.Time) (datacentre.Upstream, bool)
}

// Spender grants retries.
type Spender interface {
	Spend() bool
}
