package host

import (
	"time"

	"lynxfold/core/contract"
)

// ID identifies a host; it stays the same across restarts.
type ID string

// Incarnation numbers the successive processes on one host; a later process has a
// higher number.
type Incarnation uint64

// Release names the release of the software that an upstream runs; empty when it states
// none.
type Release string

// Slots is a number of calls that an upstream runs concurrently.
type Slots int

// Reason says why an attempt was refused or failed.
type Reason string

// Reasons for refused and failed attempts.
const (
	ReasonNone       Reason = ""
	ReasonNoUpstream Reason = "no_upstream"
	// ReasonSettling refuses attempts at a new gate that does not know yet which calls
	// its former incarnation left running.
	ReasonSettling Reason = "settling"
	ReasonDraining Reason = "draining"
	// ReasonQueueFull also refuses an attempt that would wait too long in the queue to
	// meet its objective.
	ReasonQueueFull Reason = "queue_full"
	// ReasonDownstreamFull refuses an attempt because a service that it would call is
	// short of capacity.
	ReasonDownstreamFull Reason = "downstream_full"
	// ReasonBusy refuses a fail-fast attempt that finds no free slot.
	ReasonBusy      Reason = "busy"
	ReasonDeadline  Reason = "deadline"
	ReasonCancelled Reason = "cancelled"
	// ReasonWrongIncarnation refuses an attempt or query that names another
	// incarnation of the gate.
	ReasonWrongIncarnation Reason = "wrong_incarnation"
	ReasonWrongService     Reason = "wrong_service"
	// ReasonWrongRelease refuses an attempt that names another release than the upstream's.
	ReasonWrongRelease Reason = "wrong_release"
	// ReasonReleaseReplaced refuses an attempt at a release that a roll-out has replaced.
	ReasonReleaseReplaced Reason = "release_replaced"
	// ReasonQuarantined refuses an attempt at a request that has crashed upstreams which
	// ran it.
	ReasonQuarantined Reason = "quarantined"
	// ReasonSuspectRunning refuses an attempt at a request that may have crashed upstreams
	// while the upstream runs another such request.
	ReasonSuspectRunning Reason = "suspect_running"
	// ReasonBadAttempt refuses an attempt with a malformed ID.
	ReasonBadAttempt Reason = "bad_attempt"
	// ReasonTombstone refuses an attempt that was queried before it arrived.
	ReasonTombstone        Reason = "tombstone"
	ReasonDuplicateAttempt Reason = "duplicate_attempt"
	// ReasonForgotten means that the gate may have had a record of the attempt and
	// dropped it.
	ReasonForgotten Reason = "forgotten"
	// ReasonInvariant refuses an attempt whose dispatch would violate an invariant.
	ReasonInvariant Reason = "invariant"
	// ReasonUpstreamRefused means that the upstream itself turned the attempt away without
	// running it.
	ReasonUpstreamRefused Reason = "upstream_refused"
	// ReasonUpstreamConnect means that no connection to the upstream could be made.
	ReasonUpstreamConnect Reason = "upstream_connect"
	// ReasonUpstreamBroken means that the connection failed before an answer arrived.
	ReasonUpstreamBroken Reason = "upstream_broken"
	// ReasonUpstreamCrashed means that the upstream's process ended before an answer
	// arrived.
	ReasonUpstreamCrashed Reason = "upstream_crashed"
	ReasonUpstreamTimeout Reason = "upstream_timeout"
	// ReasonBodyAborted means that the request body did not arrive completely.
	ReasonBodyAborted Reason = "body_aborted"
	// ReasonUpstreamTruncated means that the answer of the upstream was cut off.
	ReasonUpstreamTruncated Reason = "upstream_truncated"
)

// Outcome says whether a call or attempt ran, as far as is known.
type Outcome string

// Outcomes of calls and attempts.
const (
	// OutcomeRan means that the upstream ran the call and returned a complete answer.
	OutcomeRan Outcome = "ran"
	// OutcomeNotRun means that certainly no upstream ran the call.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeUnknown means that an upstream may have run the call.
	OutcomeUnknown Outcome = "unknown"
)

// Fate is the status of an attempt that a gate reports to a query.
type Fate string

// Fates of attempts.
const (
	// FateUnknown means that the gate has no record: the query names another
	// incarnation, the record was dropped, or the attempt is idempotent and not active.
	FateUnknown Fate = "unknown"
	// FateNeverSeen means that the attempt had not arrived; the gate has written a
	// tombstone, so it will never run.
	FateNeverSeen Fate = "never_seen"
	// FateRunning means that the attempt is queued or running.
	FateRunning Fate = "running"
	// FateFinished means that the attempt ran and its answer is kept.
	FateFinished Fate = "finished"
	// FateAnswerLost means that the attempt ran and its answer is not kept.
	FateAnswerLost Fate = "answer_lost"
	// FateBroken means that the attempt was sent and it is unknown whether it ran.
	FateBroken Fate = "broken"
	// FateRefused means that the attempt did not run and never will.
	FateRefused Fate = "refused"
)

// Outcome returns the outcome that a fate implies. Running attempts have an unknown
// outcome.
func (fa Fate) Outcome() Outcome {
	switch fa {
	case FateFinished:
		return OutcomeRan
	case FateNeverSeen, FateRefused:
		return OutcomeNotRun
	case FateUnknown, FateRunning, FateAnswerLost, FateBroken:
	}
	return OutcomeUnknown
}

// State is the lifecycle state that an upstream announces.
type State int

// States of an upstream.
const (
	StateReady State = iota
	StateDraining
	StateGone
)

// InstanceID identifies an upstream process. A restarted process may reuse the ID of
// its predecessor.
type InstanceID string

// String returns the name of the state for logs.
func (st State) String() string {
	switch st {
	case StateReady:
		return "ready"
	case StateDraining:
		return "draining"
	case StateGone:
	}
	return "gone"
}

// Announcement is the periodic status message from an upstream to the node on its
// host.
type Announcement struct {
	Service contract.ServiceName
	Address string
	Slots   Slots
	// Connections is the maximum number of connections to the upstream, each for one
	// running call; 0 means no limit.
	Connections int
	State       State
	// InFlight is the number of running calls, as counted by the upstream.
	InFlight int
	// Instance is empty when the upstream does not identify its instances.
	Instance InstanceID
	// StartedAt is the start time of the instance by its own clock; zero when unknown.
	StartedAt time.Time
	// Sequence increases with each announcement of an instance; 0 when unknown.
	Sequence uint64
	// Release is empty when the upstream states none.
	Release Release
}

// Attempt is one attempt at a call, as received by its gate.
type Attempt struct {
	ID AttemptID
	// Request is the caller's request that the attempt serves.
	Request RequestID
	// Incarnation is the incarnation of the gate that the attempt is meant for.
	Incarnation Incarnation
	Service     contract.ServiceName
	// Release is the release that the sender has chosen; empty for any.
	Release Release
	// ReleaseReplaced says that a roll-out has replaced the release of the upstream.
	ReleaseReplaced bool
	Class           contract.Class
	// Rank is the queue priority; 0 is dispatched first.
	Rank int
	// Customer is the customer that the call is made for; empty when there is none.
	Customer contract.CustomerName
	// CustomerRank is the priority of the customer plus 1, which takes precedence over
	// Rank; 0 when the customer has none.
	CustomerRank int
	// Kind groups attempts with similar service times; attempts without a kind are
	// grouped by class.
	Kind Kind
	// Objective is the time by which the answer is wanted; zero means any time before
	// the deadline.
	Objective time.Time
	// CallerRetry marks a retry by the caller after a refusal.
	CallerRetry bool
	// Nested marks an attempt at a call that an upstream makes while it runs another
	// call. The outer call holds a slot and fails with the nested one, so nested
	// attempts are dispatched before all others.
	Nested bool
	// NoQueue marks an attempt that fails fast: it is refused when no slot is free,
	// since another gate may have one.
	NoQueue bool
	// BodyBytes is the length in bytes of a request body that is sent after the dispatch;
	// 0 when the attempt includes its body, and negative when the length is unknown.
	BodyBytes int64
	// BodyWait is how long the bodies that are already being received take to arrive.
	BodyWait time.Duration
	Deadline time.Time
	// Notice is what the sender knows of the upstream.
	Notice PeerNotice
	// Fingerprint identifies the request when it comes again.
	Fingerprint Fingerprint
	// ServedLately says that the sender had an answer to such a request lately.
	ServedLately bool
	// Quarantine says how the request may run.
	Quarantine QuarantineState
}

// QuarantineState says how a request may run that may have crashed upstreams.
type QuarantineState struct {
	// Isolated requests run beside no other isolated request.
	Isolated bool
	// Until is the time before which the request is not run; zero if it may run.
	Until time.Time
}

// Kind names a group of attempts with similar service times.
type Kind string
