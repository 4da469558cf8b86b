package rollout

import (
	"time"

	"lynxfold/core/contract"
	"lynxfold/core/host"
)

// OrderID identifies an order; later orders for a service have higher numbers.
type OrderID uint64

// Revision numbers the states of an order.
type Revision uint64

// Permille is a share in thousandths.
type Permille uint32

// everything is the share of a release that receives all calls.
const everything Permille = 1000

// Phase is the phase of a roll-out.
type Phase int

// Phases of a roll-out.
const (
	// PhaseCanary: the release receives its share of the calls.
	PhaseCanary Phase = iota + 1
	// PhaseShifted: the release receives all new calls; the others finish theirs.
	PhaseShifted
	PhaseCompleted
	PhaseRolledBack
)

// String returns the name of the phase for logs.
func (ph Phase) String() string {
	switch ph {
	case PhaseCanary:
		return "canary"
	case PhaseShifted:
		return "shifted"
	case PhaseCompleted:
		return "completed"
	case PhaseRolledBack:
		return "rolled_back"
	}
	return "unknown"
}

// Final reports whether an order has ended.
func (ph Phase) Final() bool { return ph == PhaseCompleted || ph == PhaseRolledBack }

// Record is the state of the latest order for a service.
type Record struct {
	Service  contract.ServiceName
	Order    OrderID
	Release  host.Release
	Phase    Phase
	Revision Revision
	// Share is the share of the calls that the release receives in PhaseCanary.
	Share Permille
	// OrderedAt and Deadline are by the clock of this host.
	OrderedAt time.Time
	Deadline  time.Time
	Reason    Reason
	// Coordinator is the host that has decided this state; empty before any has.
	Coordinator host.ID
	// Confirmed says that the status row of the order says that it has ended in Phase.
	Confirmed bool
}

// Supersedes reports whether the record replaces another one of its service. A confirmed
// outcome is what the store says; an unconfirmed one is a roll-back that is spread before
// it is written.
func (re Record) Supersedes(old Record) bool {
	switch {
	case re.Order != old.Order:
		return re.Order > old.Order
	case re.Confirmed != old.Confirmed:
		return re.Confirmed
	case re.Phase.Final() != old.Phase.Final():
		return re.Phase.Final()
	}
	return re.Revision > old.Revision
}

// Reason says why a phase was entered.
type Reason string

// Reasons for phases.
const (
	ReasonOrdered Reason = "ordered"
	ReasonTrial   Reason = "trial"
	ReasonHealthy Reason = "healthy"
	// ReasonEstablished: the release is in use anyway.
	ReasonEstablished Reason = "established"
	ReasonDrained     Reason = "drained"
	ReasonFailing     Reason = "failing"
	// ReasonSuspected: the release seems to fail, or the whole service.
	ReasonSuspected   Reason = "suspected"
	ReasonNoUpstreams Reason = "no_upstreams"
	ReasonNoEvidence  Reason = "no_evidence"
	ReasonDeadline    Reason = "deadline_passed"
	// ReasonStatusRow: another host has written the outcome.
	ReasonStatusRow Reason = "status_row"
	// ReasonOverspent: the release has received more requests than its share.
	ReasonOverspent Reason = "share_spent"
)

// Evidence counts the observed attempts at one release on one route. Each attempt is
// observed once: as good, failed or slow.
type Evidence struct {
	Sent     uint64
	Observed uint64
	Failed   uint64
	Slow     uint64
	// Latency is the sum of the durations of the observed attempts whose route has a known
	// usual latency, and Usual the sum of these usual latencies.
	Latency time.Duration
	Usual   time.Duration
}

// Stream identifies the attempts at one release on one route.
type Stream struct {
	Release host.Release
	Route   contract.RouteName
	// Warming says that the attempts began when the upstreams of the release had just
	// started; the Follower sets it.
	Warming bool
}

// Report is what a host has observed since it learnt of an order.
type Report struct {
	Host    host.ID
	Service contract.ServiceName
	Order   OrderID
	// Revision is the revision that the host acts by.
	Revision Revision
	Evidence map[Stream]Evidence
	// OthersInFlight is the number of attempts in flight at other releases than the
	// ordered one.
	OthersInFlight int
}
