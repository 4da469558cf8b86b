package keyed

import (
	"cmp"
	"time"

	"lynxfold/core/call"
	"lynxfold/core/datacentre"
	"lynxfold/core/host"
)

// phase is what a call waits for.
type phase int

const (
	phaseNew phase = iota
	// phaseClaiming waits for the write of the own claim.
	phaseClaiming
	// phaseResolving waits for the read that says whether a write took effect.
	phaseResolving
	// phaseRunning waits for the own attempt.
	phaseRunning
	// phaseFollowing waits for the gate of another node's claim.
	phaseFollowing
	// phaseRereading waits for a row that may have been finished meanwhile.
	phaseRereading
	// phaseBurying waits for the write of a tombstone.
	phaseBurying
	// phaseFinishing has answered and waits for the write of the finished row.
	phaseFinishing
	phaseDone
)

// Bounds on what one call does.
const (
	// maxDoubts bounds the table operations without a clear end, in a row.
	maxDoubts = 4
	// maxAsks bounds the queries without an answer, in a row.
	maxAsks = 3
	// maxMoves bounds the free attempts after refusals by gates that leave.
	maxMoves = 2
	// askWait bounds how long a gate holds the answer to a query back.
	askWait = 500 * time.Millisecond
	// followDelay lets a claimant's attempt arrive before its gate is asked.
	followDelay = 20 * time.Millisecond
	// pauseBase and pauseCap bound the jittered delay before an operation is repeated.
	pauseBase = 20 * time.Millisecond
	pauseCap  = 2 * time.Second
)

// Call is the state of one keyed call at its ingress.
type Call struct {
	cfg   Config
	phase phase
	op    Op
	// row and tag are the table's, as last seen; tag is empty when there is no row.
	row Row
	tag Tag
	// claim is the row that this call writes or has written.
	claim    Row
	attempts int
	retries  int
	moves    int
	tried    []host.ID
	// asked is the attempt that a query is under way or planned for.
	asked    host.AttemptID
	askedAt  datacentre.Upstream
	asks     int
	doubts   int
	answered bool
	// doubtful says that an own write may take effect yet.
	doubtful bool
	wakeAt   time.Time
	wake     func()
	now      time.Time
	last     call.Result
	acts     []Action
}

// New builds a call that has done nothing.
func New(cfg Config) *Call { return &Call{cfg: cfg} }

// Done tells whether nothing more will follow.
func (ca *Call) Done() bool { return ca.phase == phaseDone }

// WakeAt is when the next Tick is due; zero when none is, as the call is done or
// only waits for its attempt.
func (ca *Call) WakeAt() time.Time {
	switch {
	case ca.phase == phaseDone:
		return time.Time{}
	case ca.answered:
		return ca.wakeAt
	case ca.wakeAt.IsZero() || ca.cfg.Deadline.Before(ca.wakeAt):
		return ca.cfg.Deadline
	}
	return ca.wakeAt
}

// Step feeds one event and returns what to do. The actions are valid until the
// next Step.
func (ca *Call) Step(ev Event, now time.Time) []Action {
	clear(ca.acts)
	ca.acts = ca.acts[:0]
	ca.now = now
	if ca.phase == phaseDone {
		return nil
	}
	if !ca.answered && !now.Before(ca.cfg.Deadline) {
		ca.expire()
		return ca.acts
	}
	switch ev := ev.(type) {
	case call.Begin:
		ca.begin()
	case RowResult:
		ca.rowResult(ev)
	case call.AttemptEnded:
		ca.attemptEnded(ev)
	case call.LinkLost:
		ca.linkLost(ev)
	case call.QueryResult:
		ca.verdict(ev)
	case call.QueryFailed:
		ca.askFailed(ev)
	case call.CallerGone:
		ca.callerGone()
	case call.Tick:
		ca.tick()
	}
	return ca.acts
}

func (ca *Call) do(ac Action) { ca.acts = append(ca.acts, ac) }

func (ca *Call) begin() {
	if !ca.cfg.Writes.Spend(ca.now) {
		ca.refuse(ReasonWriteBudget)
		return
	}
	if !ca.prepare() {
		ca.refuse(call.ReasonNoCandidate)
		return
	}
	ca.write()
}

// prepare builds the next claim; it is false when no upstream can be tried.
func (ca *Call) prepare() bool {
	up, ok := ca.cfg.Chooser.Pick(ca.tried, ca.now)
	if !ok {
		return false
	}
	ca.tried = append(ca.tried, up.Host)
	ca.attempts++
	ca.claim = Row{
		State: RowClaimed,
		Attempt: host.Origin{
			Issuer: ca.cfg.Issuer,
			Call:   ca.cfg.Number,
			Try:    uint32(ca.attempts),
		}.ID(),
		Upstream: up,
		Digest:   ca.cfg.Digest,
	}
	return true
}

// dispatch sends the attempt of the own claim, when it is still in time.
func (ca *Call) dispatch() {
	ca.doubtful = false
	if !ca.inTime() {
		ca.bury()
		return
	}
	ca.phase = phaseRunning
	ca.do(call.SendAttempt{
		Attempt:  ca.claim.Attempt,
		Upstream: ca.claim.Upstream,
		Deadline: ca.attemptDeadline(),
		Number:   ca.attempts,
	})
}

func (ca *Call) attemptDeadline() time.Time { return ca.cfg.Deadline.Add(-ca.cfg.Margin) }

func (ca *Call) inTime() bool {
	return ca.now.Add(ca.cfg.Estimate).Before(ca.attemptDeadline())
}

// attemptEnded takes the end of the own attempt.
func (ca *Call) attemptEnded(ev call.AttemptEnded) {
	if ca.phase != phaseRunning || ev.Attempt != ca.claim.Attempt {
		return
	}
	ca.settle(ev.Result)
}

// settle answers with the own attempt's result, or claims another one.
func (ca *Call) settle(re call.Result) {
	ca.forgetPlan()
	ca.last = re
	switch re.Outcome {
	case call.OutcomeRan:
		ca.answer(ca.claim.Attempt, re)
		ca.finish(ca.claim)
	case call.OutcomeUnknown:
		ca.answer("", re)
		ca.phase = phaseDone
	case call.OutcomeNotRun:
		ca.again(re)
	}
}

// again claims the next attempt after one that did not run, when the contract,
// the budget and the deadline allow it.
func (ca *Call) again(re call.Result) {
	if ca.answered || !ca.inTime() || !ca.granted(re) {
		ca.answer("", re)
		ca.phase = phaseDone
		return
	}
	ca.takeOver()
}

// granted takes a retry from the budget; a gate that leaves costs none.
func (ca *Call) granted(re call.Result) bool {
	if call.GateUnavailable(re) && ca.moves < maxMoves {
		ca.moves++
		return true
	}
	if ca.retries >= ca.cfg.Terms.Retries {
		return false
	}
	ca.retries++
	return ca.cfg.Budget.Spend(ca.now)
}

// takeOver replaces a claim or tombstone whose attempt did not run.
func (ca *Call) takeOver() {
	if !ca.inTime() {
		ca.refuse(host.ReasonDeadline)
		return
	}
	if !ca.prepare() {
		ca.refuse(cmp.Or(ca.last.Reason, call.ReasonNoCandidate))
		return
	}
	ca.write()
}

// linkLost asks the gate of the own attempt what became of it.
func (ca *Call) linkLost(ev call.LinkLost) {
	if ca.phase != phaseRunning || ev.Attempt != ca.claim.Attempt || ca.asked == ev.Attempt {
		return
	}
	ca.asks = 0
	ca.ask(ca.claim)
}
