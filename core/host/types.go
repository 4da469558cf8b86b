package host

import (
	"time"

	"lynxfold/core/contract"
)

// ID names a host; it stays the same when the host is restarted.
type ID string

// Incarnation tells the processes on one host apart; a later one is higher.
type Incarnation uint64

// Slots counts calls that an upstream runs at once.
type Slots int

// Reason names why a call was refused.
type Reason string

// Reasons for refusals by a gate.
const (
	ReasonNone       Reason = ""
	ReasonNoUpstream Reason = "no_upstream"
	ReasonSettling   Reason = "settling"
	ReasonDraining   Reason = "draining"
	ReasonQueueFull  Reason = "queue_full"
	// ReasonBusy refuses a brief attempt that would have to wait.
	ReasonBusy              Reason = "busy"
	ReasonDeadline          Reason = "deadline"
	ReasonCancelled         Reason = "cancelled"
	ReasonWrongIncarnation  Reason = "wrong_incarnation"
	ReasonWrongService      Reason = "wrong_service"
	ReasonBadAttempt        Reason = "bad_attempt"
	ReasonTombstone         Reason = "tombstone"
	ReasonDuplicateAttempt  Reason = "duplicate_attempt"
	ReasonForgotten         Reason = "forgotten"
	ReasonInvariant         Reason = "invariant"
	ReasonUpstreamConnect   Reason = "upstream_connect"
	ReasonUpstreamBroken    Reason = "upstream_broken"
	ReasonUpstreamTimeout   Reason = "upstream_timeout"
	ReasonBodyAborted       Reason = "body_aborted"
	ReasonUpstreamTruncated Reason = "upstream_truncated"
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

// Fate is what a gate knows of an attempt.
type Fate string

// Fates.
const (
	// FateUnknown means that the gate can't tell: another incarnation, or the
	// record was dropped for want of memory.
	FateUnknown Fate = "unknown"
	// FateNeverSeen means that the attempt did not arrive and, as the gate now
	// remembers it, never runs.
	FateNeverSeen Fate = "never_seen"
	// FateRunning means that the attempt waits in the queue or runs.
	FateRunning Fate = "running"
	// FateFinished means that the attempt ran and its answer is kept.
	FateFinished Fate = "finished"
	// FateAnswerLost means that the attempt ran and its answer is not kept.
	FateAnswerLost Fate = "answer_lost"
	// FateBroken means that the attempt was sent and it is not known whether it ran.
	FateBroken Fate = "broken"
	// FateRefused means that the attempt did not run and never will.
	FateRefused Fate = "refused"
)

// Outcome is what a fate says about the attempt; a running one is not known yet.
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

// State is what an upstream says about itself.
type State int

// States of an upstream.
const (
	StateReady State = iota
	StateDraining
	StateGone
)

// InstanceID names one incarnation of an upstream.
type InstanceID string

// String is the state as logs show it.
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

// Announcement is what an upstream tells its own host's node, repeatedly.
type Announcement struct {
	Service     contract.ServiceName
	Address     string
	Slots       Slots
	Connections int
	State       State
	// InFlight is what the upstream itself counts as running.
	InFlight int
	// Instance is empty when the upstream does not name its incarnations.
	Instance InstanceID
	// Born is when the instance started, by its own clock; zero when unknown.
	Born time.Time
	// Sequence grows with each announcement of an instance; 0 when unknown.
	Sequence uint64
}

// Attempt is one attempt at a call as its gate sees it.
type Attempt struct {
	ID          AttemptID
	Incarnation Incarnation
	Service     contract.ServiceName
	Class       contract.Class
	// Rank orders the attempts that wait: 0 goes first.
	Rank int
	// Kind tells apart the attempts whose service times are alike; those without
	// one are told apart by their class.
	Kind Kind
	// Objective is when the answer is wanted; zero means any time before the
	// deadline.
	Objective time.Time
	// Returning says that the caller comes back after a refusal.
	Returning bool
	// Nested attempts are part of a call that an upstream runs, which fails with
	// them; they go before all others.
	Nested bool
	// Brief attempts are refused when they find no free slot, since another gate
	// may have one.
	Brief bool
	// Body is the length of a body that follows when the attempt is dispatched, in
	// bytes; 0 when the attempt carries it, and negative when it is not known.
	Body     int64
	Deadline time.Time
}

// Kind names attempts whose service times are alike.
type Kind string
