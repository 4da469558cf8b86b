package host

import "time"

// Event is an input of the gate.
type Event interface{ isEvent() }

// Action is an output of the gate.
type Action interface{ isAction() }

// Arrived brings an attempt to the gate. It is answered at once or later by one
// Dispatch or Refuse with its ID, or at once by a RefuseDuplicate.
type Arrived struct {
	Attempt Attempt
}

// Started says that a dispatched attempt was written to the upstream, which
// counts it as in flight from then on. Without it, the calls of a former
// incarnation are taken to last longer.
type Started struct {
	ID AttemptID
}

// Received says that the body of a dispatched attempt has arrived, or that no
// more of it comes. Without it, the body ends with its attempt.
type Received struct {
	ID AttemptID
	// Bytes is the length of a body that is whole; 0 for any other.
	Bytes int64
}

// Ended says how a dispatched attempt ended. It comes once for each Dispatch.
type Ended struct {
	ID AttemptID
	// Outcome is not_run only when no byte of the request was written.
	Outcome Outcome
	// Reason says why the outcome is not ran.
	Reason Reason
	// KeptBytes is the size of the complete answer that the adapter holds for
	// later queries; 0 when it holds none.
	KeptBytes int
	// Working says that the upstream may still work on the attempt, as its
	// connection was left before the answer's end.
	Working bool
}

// Cancelled withdraws an attempt, also one that has not arrived yet.
type Cancelled struct {
	ID AttemptID
}

// Announced brings an upstream's announcement.
type Announced struct {
	Announcement Announcement
	// Lapse is when the announcement counts no more.
	Lapse time.Time
}

// Lost says that the upstream's own connections fail.
type Lost struct{}

// Drain stops new work for good.
type Drain struct {
	// RefuseFrom is when the last attempts are let in, zero for now; until then
	// only those that find a free slot are.
	RefuseFrom time.Time
}

// Reincarnated gives the gate a higher incarnation: attempts at an earlier one
// are refused from now on.
type Reincarnated struct {
	Incarnation Incarnation
}

// Tick lets time pass.
type Tick struct{}

// QueryID tells the queries of an adapter apart.
type QueryID uint64

// Asked is a query about an attempt; it is answered by one Tell.
type Asked struct {
	Query       QueryID
	ID          AttemptID
	Incarnation Incarnation
	// WaitUntil holds the answer back while the attempt runs; zero means that
	// the answer comes at once.
	WaitUntil time.Time
}

func (Arrived) isEvent()      {}
func (Started) isEvent()      {}
func (Received) isEvent()     {}
func (Ended) isEvent()        {}
func (Cancelled) isEvent()    {}
func (Reincarnated) isEvent() {}
func (Announced) isEvent()    {}
func (Lost) isEvent()         {}
func (Drain) isEvent()        {}
func (Tick) isEvent()         {}
func (Asked) isEvent()        {}

// Dispatch sends an attempt to the upstream. From here on only the adapter
// knows whether a byte went out: it says so with Ended.
type Dispatch struct {
	ID       AttemptID
	Address  string
	Instance InstanceID
}

// Refuse ends an attempt that did not run and never will.
type Refuse struct {
	ID     AttemptID
	Reason Reason
	// ComeBack is when another attempt makes sense; zero means at once, elsewhere.
	ComeBack time.Time
}

// RefuseDuplicate answers the arrival just fed, and nobody else: the attempt is
// known already, or may have been.
type RefuseDuplicate struct {
	ID     AttemptID
	Reason Reason
	// NotRun says that the attempt did not run and never will.
	NotRun bool
}

// Interrupt cancels an attempt that the upstream runs; Ended still follows.
type Interrupt struct {
	ID AttemptID
}

// Tell answers a query.
type Tell struct {
	Query QueryID
	ID    AttemptID
	Fate  Fate
	// Reason says why the attempt was refused or broken.
	Reason Reason
}

// DropAnswer tells the adapter to drop the answer that it holds for an attempt.
type DropAnswer struct {
	ID AttemptID
}

// Invariant names what a gate must never do.
type Invariant string

// Invariants of a gate.
const (
	// InvariantOnce: an attempt is dispatched at most once.
	InvariantOnce Invariant = "attempt_dispatched_once"
	// InvariantSlots: the upstream works on no more calls than it has slots and
	// connections.
	InvariantSlots Invariant = "slots"
	// InvariantDrain: nothing is dispatched after the grace of a drain.
	InvariantDrain Invariant = "drain"
)

// Violated reports a fault of the gate itself. The dispatch that would have
// broken the invariant was not made: the attempt was refused.
type Violated struct {
	ID        AttemptID
	Invariant Invariant
}

func (Dispatch) isAction()        {}
func (Refuse) isAction()          {}
func (RefuseDuplicate) isAction() {}
func (Interrupt) isAction()       {}
func (Tell) isAction()            {}
func (DropAnswer) isAction()      {}
func (Violated) isAction()        {}
