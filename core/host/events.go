package host

import (
	"time"

	"lynxfold/core/contract"
)

// Event is an input of the gate. It is reported by the adapter, which does the network
// I/O.
type Event interface{ isEvent() }

// Action is an output of the gate, which the adapter executes.
type Action interface{ isAction() }

// Arrived reports a new attempt. The gate answers with exactly one Dispatch or Refuse
// for its ID, at once or later, or with a RefuseArrival at once.
type Arrived struct {
	Attempt Attempt
}

// Started reports that a dispatched attempt was written to the upstream, which counts
// it as in flight from then on. Without this event, the gate overestimates how long
// calls of a former incarnation last.
type Started struct {
	ID AttemptID
}

// Identified reports the fingerprint of a dispatched attempt that arrived without one,
// once the beginning of its body has been received.
type Identified struct {
	ID          AttemptID
	Fingerprint Fingerprint
}

// BodyReceived reports that the body of a dispatched attempt is complete or that no
// more of it will arrive. Without this event, the body counts as being received until the
// attempt ends.
type BodyReceived struct {
	ID AttemptID
	// Bytes is the length of a complete body; 0 for any other.
	Bytes int64
}

// Ended reports how a dispatched attempt ended. It must follow each Dispatch exactly
// once.
type Ended struct {
	ID AttemptID
	// Outcome is OutcomeNotRun only when no byte of the request was written.
	Outcome Outcome
	// Reason says why the outcome is not OutcomeRan.
	Reason Reason
	// KeptBytes is the size of the complete answer that the adapter keeps for later
	// queries; 0 when it keeps none.
	KeptBytes int
	// MayStillRun is set when the upstream may still be working on the attempt because
	// its connection was abandoned before the end of the answer.
	MayStillRun bool
}

// Cancelled cancels an attempt, which may not have arrived yet.
type Cancelled struct {
	ID AttemptID
}

// Announced reports an announcement of the upstream.
type Announced struct {
	Announcement Announcement
	// ExpiresAt is when the announcement expires.
	ExpiresAt time.Time
}

// Noticed reports what the header of a response states about the upstream.
type Noticed struct {
	// SentAt is when the request of the response was sent.
	SentAt time.Time
	Notice Notice
}

// UpstreamLost reports that connections to the upstream fail, so that it counts as gone
// until its next announcement.
type UpstreamLost struct {
	// Refused says that its host refuses them: the upstream's process has ended.
	Refused bool
	// SentAt is when the request was sent that led to this; zero when unknown.
	SentAt time.Time
}

// Drain permanently stops the admission of new attempts.
type Drain struct {
	// RefuseFrom is the time from which all attempts are refused; zero means now. Until
	// then, attempts that find a free slot are admitted.
	RefuseFrom time.Time
}

// Stopping states when the gate's host stops: attempts that are expected to run at that time
// are refused.
type Stopping struct {
	At time.Time
}

// IncarnationRaised raises the incarnation of the gate: attempts that name an earlier
// one are refused from now on.
type IncarnationRaised struct {
	Incarnation Incarnation
}

// NestedCalled reports that the upstream calls a service while it runs an attempt.
type NestedCalled struct {
	// Parent is the request that the upstream runs.
	Parent  RequestID
	Service contract.ServiceName
	// Shortages are those of the called service, and ParentShortages those of the
	// upstream's own.
	Shortages       []Shortage
	ParentShortages []Shortage
}

// Tick reports that time has passed.
type Tick struct{}

// QueryID identifies a query of the adapter.
type QueryID uint64

// Queried reports a query for the fate of an attempt; it is answered by one
// AnswerQuery.
type Queried struct {
	Query QueryID
	ID    AttemptID
	// Incarnation is the incarnation of the gate that the attempt was meant for.
	Incarnation Incarnation
	// WaitUntil is the time until which the answer is delayed while the attempt is
	// queued or running; zero means that the query is answered at once.
	WaitUntil time.Time
}

func (Arrived) isEvent()           {}
func (Started) isEvent()           {}
func (Identified) isEvent()        {}
func (BodyReceived) isEvent()      {}
func (Noticed) isEvent()           {}
func (Ended) isEvent()             {}
func (Cancelled) isEvent()         {}
func (IncarnationRaised) isEvent() {}
func (Announced) isEvent()         {}
func (UpstreamLost) isEvent()      {}
func (Stopping) isEvent()          {}
func (Drain) isEvent()             {}
func (NestedCalled) isEvent()      {}
func (Tick) isEvent()              {}
func (Queried) isEvent()           {}

// Dispatch sends an attempt to the upstream. From then on only the adapter knows
// whether a byte was written; it reports this with Ended.
type Dispatch struct {
	ID       AttemptID
	Address  string
	Instance InstanceID
}

// Refuse rejects an attempt that did not run and never will.
type Refuse struct {
	ID     AttemptID
	Reason Reason
	// RetryAfter is when a retry makes sense; zero means at once, at another gate.
	RetryAfter time.Time
	// RateLimited says that the upstream's rate limit left no room for the attempt, not
	// its slots.
	RateLimited bool
	// Ahead is the number of attempts that were queued ahead, and KeptSlots that of the
	// slots kept free for more urgent ones, if the upstream had no room.
	Ahead     int
	KeptSlots int
}

// RefuseArrival rejects only the arrival that was just reported: the gate has a
// record of the attempt, may have dropped one, or cannot accept its ID or incarnation.
type RefuseArrival struct {
	ID     AttemptID
	Reason Reason
	// NotRun is set when the attempt did not run and never will.
	NotRun bool
}

// Interrupt cancels a running attempt; Ended still follows.
type Interrupt struct {
	ID AttemptID
}

// AnswerQuery answers a query.
type AnswerQuery struct {
	Query QueryID
	ID    AttemptID
	Fate  Fate
	// Reason says why the attempt was refused or broken.
	Reason Reason
}

// RateLimitChanged reports a change of the upstream's rate limit.
type RateLimitChanged struct {
	Before RateLimit
	After  RateLimit
}

// UpstreamCrashed reports that the upstream's process has ended unexpectedly.
type UpstreamCrashed struct {
	Instance InstanceID
	Process  ProcessID
	// Since is when the process was first announced.
	Since time.Time
	// Suspects are the requests that may have caused the crash.
	Suspects []Fingerprint
}

// UpstreamLeaving reports that a response has stated that the upstream is leaving.
type UpstreamLeaving struct{}

// DropAnswer tells the adapter to drop the kept answer of an attempt.
type DropAnswer struct {
	ID AttemptID
}

// Invariant names a property that a gate must always maintain.
type Invariant string

// Invariants of a gate.
const (
	// InvariantDispatchedOnce requires that an attempt is dispatched at most once.
	InvariantDispatchedOnce Invariant = "attempt_dispatched_once"
	// InvariantSlots requires that the upstream works on no more calls than it has
	// slots and connections.
	InvariantSlots Invariant = "slots"
	// InvariantRateLimit requires that nothing is dispatched beyond the upstream's rate
	// limit.
	InvariantRateLimit Invariant = "rate_limit"
	// InvariantDrain requires that nothing is dispatched after the grace period of a drain.
	InvariantDrain Invariant = "drain"
)

// InvariantViolated reports a bug in the gate itself. The dispatch that would have
// violated the invariant was not made; the attempt was refused.
type InvariantViolated struct {
	ID        AttemptID
	Invariant Invariant
}

func (Dispatch) isAction()          {}
func (Refuse) isAction()            {}
func (RefuseArrival) isAction()     {}
func (Interrupt) isAction()         {}
func (AnswerQuery) isAction()       {}
func (DropAnswer) isAction()        {}
func (RateLimitChanged) isAction()  {}
func (UpstreamCrashed) isAction()   {}
func (UpstreamLeaving) isAction()   {}
func (InvariantViolated) isAction() {}
