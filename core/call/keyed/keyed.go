package keyed

import (
	"cmp"
	"time"

	"lynxfold/core/call"
	"lynxfold/core/datacentre"
	"lynxfold/core/host"
)

// phase is what a call is waiting for.
type phase int

const (
	phaseNew phase = iota
	// phaseClaiming waits for the write of this call's claim.
	phaseClaiming
	// phaseResolving waits for the read that shows whether the claim was
	// stored.
	phaseResolving
	// phaseRunning waits for the result of this call's attempt.
	phaseRunning
	// phaseFollowing waits for the gate of another call's attempt.
	phaseFollowing
	// phaseRereading waits for a read of a row that may have become finished in
	// the meantime.
	phaseRereading
	// phaseRevoking waits for the write of a tombstone.
	phaseRevoking
	// phaseFinishing waits for the write of the finished row; the caller has
	// been answered.
	phaseFinishing
	phaseDone
)

// Bounds on what one call does.
const (
	// maxTableRetries bounds the consecutive table operations that follow one
	// without a definite result.
	maxTableRetries = 4
	// maxQueries bounds the consecutive queries without an answer.
	maxQueries = 3
	// maxFreeRetries bounds the retries that cost no budget, after refusals by
	// gates that drain, were replaced or cannot be reached.
	maxFreeRetries = 2
	// queryWait bounds how long a gate may delay the answer to a query.
	queryWait = 500 * time.Millisecond
	// followDelay gives another call's attempt time to arrive before its gate
	// is queried: a gate that has not seen the attempt refuses it from then on.
	followDelay = 20 * time.Millisecond
	// backoffBase and backoffCap bound the jittered delay before an operation
	// is repeated.
	backoffBase = 20 * time.Millisecond
	backoffCap  = 2 * time.Second
)

// Call is the state of one keyed call at its ingress node.
type Call struct {
	cfg   Config
	phase phase
	op    Op
	// row and etag are the row's content and version as last seen; etag is
	// empty when there is no row.
	row  Row
	etag ETag
	// claim is the row that this call is writing or has written.
	claim    Row
	attempts int
	retries  int
	// freeRetries counts the retries that cost no budget.
	freeRetries int
	tried       []host.ID
	// queriedAttempt is the attempt of the query that is in progress or
	// scheduled.
	queriedAttempt  host.AttemptID
	queriedUpstream datacentre.Upstream
	queries         int
	tableRetries    int
	answered        bool
	// writeInDoubt says that a claim of this call may still take effect.
	writeInDoubt bool
	wakeAt       time.Time
	// wakeFunc is run at wakeAt.
	wakeFunc   func()
	now        time.Time
	lastResult call.Result
	actions    []Action
}

// New returns a call that has not started.
func New(cfg Config) *Call { return &Call{cfg: cfg} }

// Done reports whether the call needs no more events.
func (ca *Call) Done() bool { return ca.phase == phaseDone }

// WakeAt returns when the next Tick is due. It is zero when the call is done,
// or when its caller is answered and no timer is set.
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

// Step handles one event and returns the actions to execute. They are valid
// until the next Step.
func (ca *Call) Step(ev Event, now time.Time) []Action {
	clear(ca.actions)
	ca.actions = ca.actions[:0]
	ca.now = now
	if ca.phase == phaseDone {
		return nil
	}
	if !ca.answered && !now.Before(ca.cfg.Deadline) {
		ca.expire()
		return ca.actions
	}
	switch ev := ev.(type) {
	case call.Begin:
		ca.claimKey()
	case RowResult:
		ca.handleRowResult(ev)
	case call.AttemptEnded:
		ca.handleAttemptEnded(ev)
	case call.LinkLost:
		ca.handleLinkLost(ev)
	case call.QueryResult:
		ca.handleQueryResult(ev)
	case call.QueryFailed:
		ca.handleQueryFailed(ev)
	case call.CallerGone:
		ca.handleCallerGone()
	case call.Tick:
		ca.handleTick()
	}
	return ca.actions
}

func (ca *Call) emit(ac Action) { ca.actions = append(ca.actions, ac) }

func (ca *Call) claimKey() {
	if !ca.cfg.WriteBudget.Spend(ca.now) {
		ca.refuse(ReasonWriteBudget)
		return
	}
	if !ca.prepareClaim() {
		ca.refuse(call.ReasonNoCandidate)
		return
	}
	ca.writeClaim()
}

// prepareClaim builds the next claim. It returns false when no upstream is left
// to try.
func (ca *Call) prepareClaim() bool {
	up, ok := ca.cfg.Picker.Pick(ca.tried, ca.now)
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

// sendAttempt sends the attempt of this call's claim, or revokes the claim when
// too little time is left.
func (ca *Call) sendAttempt() {
	ca.writeInDoubt = false
	if !ca.hasTimeForAttempt() {
		ca.revokeClaim()
		return
	}
	ca.phase = phaseRunning
	ca.emit(call.SendAttempt{
		Attempt:  ca.claim.Attempt,
		Upstream: ca.claim.Upstream,
		Deadline: ca.attemptDeadline(),
		Number:   ca.attempts,
	})
}

func (ca *Call) attemptDeadline() time.Time { return ca.cfg.Deadline.Add(-ca.cfg.DeadlineMargin) }

func (ca *Call) hasTimeForAttempt() bool {
	return ca.now.Add(ca.cfg.ExpectedLatency).Before(ca.attemptDeadline())
}

func (ca *Call) handleAttemptEnded(ev call.AttemptEnded) {
	if ca.phase != phaseRunning || ev.Attempt != ca.claim.Attempt {
		return
	}
	ca.handleResult(ev.Result)
}

// handleResult answers with the result of this call's attempt, or retries.
func (ca *Call) handleResult(re call.Result) {
	ca.cancelScheduled()
	ca.lastResult = re
	switch re.Outcome {
	case call.OutcomeRan:
		ca.answer(ca.claim.Attempt, re)
		ca.writeFinished(ca.claim)
	case call.OutcomeUnknown:
		ca.answer("", re)
		ca.phase = phaseDone
	case call.OutcomeNotRun:
		ca.retry(re)
	}
}

// retry claims the next attempt after one that did not run, when the contract,
// the retry budget and the deadline allow it.
func (ca *Call) retry(re call.Result) {
	if ca.answered || re.Reason == host.ReasonQuarantined || !ca.hasTimeForAttempt() || !ca.spendRetry(re) {
		ca.answer("", re)
		ca.phase = phaseDone
		return
	}
	ca.claimNextAttempt()
}

// spendRetry takes a retry from the budget. A retry is free when the refusing
// gate drains, was replaced or cannot be reached, as its upstream gets no load
// from it.
func (ca *Call) spendRetry(re call.Result) bool {
	if call.GateUnavailable(re) && ca.freeRetries < maxFreeRetries {
		ca.freeRetries++
		return true
	}
	if ca.retries >= ca.cfg.Terms.Retries {
		return false
	}
	ca.retries++
	return ca.cfg.RetryBudget.Spend(ca.now)
}

// claimNextAttempt replaces a claim whose attempt did not run by a claim for
// the next upstream.
func (ca *Call) claimNextAttempt() {
	if !ca.hasTimeForAttempt() {
		ca.refuse(host.ReasonDeadline)
		return
	}
	if !ca.prepareClaim() {
		ca.refuse(cmp.Or(ca.lastResult.Reason, call.ReasonNoCandidate))
		return
	}
	ca.writeClaim()
}

// handleLinkLost queries the gate for the fate of this call's attempt.
func (ca *Call) handleLinkLost(ev call.LinkLost) {
	if ca.phase != phaseRunning || ev.Attempt != ca.claim.Attempt || ca.queriedAttempt == ev.Attempt {
		return
	}
	ca.queries = 0
	ca.query(ca.claim)
}
