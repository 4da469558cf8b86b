package host

import (
	"time"

	"lynxfold/core/contract"
)

// ID names a host; it stays the same when the host is restarted.
type ID string

// Incarnation tells the processes on one host apart; a later one is higher.
type Incarnation uint64

// AttemptID names one attempt at a call; it is unique in the mesh.
type AttemptID string

// Slots counts calls that an upstream runs at once.
type Slots int

// Reason names why a call was refused.
type Reason string

// Reasons for refusals by a gate.
const (
	ReasonNone              Reason = ""
	ReasonNoUpstream        Reason = "no_upstream"
	ReasonDraining          Reason = "draining"
	ReasonQueueFull         Reason = "queue_full"
	ReasonDeadline          Reason = "deadline"
	ReasonCancelled         Reason = "cancelled"
	ReasonWrongIncarnation  Reason = "wrong_incarnation"
	ReasonWrongService      Reason = "wrong_service"
	ReasonTombstone         Reason = "tombstone"
	ReasonDuplicateAttempt  Reason = "duplicate_attempt"
	ReasonLedgerFull        Reason = "ledger_full"
	ReasonUpstreamConnect   Reason = "upstream_connect"
	ReasonUpstreamBroken    Reason = "upstream_broken"
	ReasonUpstreamTimeout   Reason = "upstream_timeout"
	ReasonBodyAborted       Reason = "body_aborted"
	ReasonUpstreamTruncated Reason = "upstream_truncated"
)

// State is what an upstream says about itself.
type State int

// States of an upstream.
const (
	StateReady State = iota
	StateDraining
	StateGone
)

// Announcement is what an upstream tells its own host's node, repeatedly.
type Announcement struct {
	Service     contract.ServiceName
	Address     string
	Slots       Slots
	Connections int
	State       State
	// InFlight is what the upstream itself counts as running.
	InFlight int
}

// Attempt is one attempt at a call as its gate sees it.
type Attempt struct {
	ID          AttemptID
	Incarnation Incarnation
	Service     contract.ServiceName
	Class       contract.Class
	Deadline    time.Time
}
