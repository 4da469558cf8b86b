package keyed

import (
	"lynxfold/core/call"
	"lynxfold/core/host"
)

// follow asks the gate of another claim what became of its attempt. A gate that
// has not seen the attempt refuses it from then on, so that a claimant which was
// paused does no harm.
func (ca *Call) follow() {
	ca.phase = phaseFollowing
	ca.doubtful = false
	ca.asks = 0
	ca.forgetPlan()
	row := ca.row
	ca.at(ca.now.Add(followDelay), func() { ca.ask(row) })
}

func (ca *Call) ask(row Row) {
	ca.asked = row.Attempt
	ca.askedAt = row.Upstream
	ca.asks++
	until := ca.now.Add(askWait)
	if de := ca.attemptDeadline(); de.Before(until) {
		until = de
	}
	ca.do(call.QueryAttempt{
		Attempt:   row.Attempt,
		Upstream:  row.Upstream,
		WaitUntil: until,
	})
}

// verdict takes a gate's word on the attempt asked about.
func (ca *Call) verdict(ev call.QueryResult) {
	if ev.Attempt != ca.asked {
		return
	}
	if ev.Fate == host.FateRunning {
		ca.asks = 0
		ca.askAgain()
		return
	}
	ca.forgetPlan()
	re := ev.Result
	re.Outcome = ev.Fate.Outcome()
	switch ca.phase {
	case phaseRunning:
		ca.ownVerdict(ev.Fate, re)
	case phaseFollowing:
		ca.othersVerdict(ev.Fate, re)
	case phaseNew, phaseClaiming, phaseResolving, phaseRereading, phaseBurying, phaseFinishing, phaseDone:
	}
}

// ownVerdict takes the fate of the own attempt.
func (ca *Call) ownVerdict(fa host.Fate, re call.Result) {
	if fa == host.FateAnswerLost {
		re.Reason = call.ReasonAnswerLost
	}
	if re.Outcome == call.OutcomeUnknown && re.Reason == "" {
		re.Reason = call.ReasonLinkLost
	}
	ca.settle(re)
}

// othersVerdict takes the fate of another claim's attempt.
func (ca *Call) othersVerdict(fa host.Fate, re call.Result) {
	switch {
	case re.Outcome == call.OutcomeRan:
		ca.answer(ca.row.Attempt, re)
		ca.finish(ca.row)
	case re.Outcome == call.OutcomeNotRun:
		ca.takeOver()
	case fa == host.FateAnswerLost:
		ca.readOnce(call.ReasonAnswerLost)
	default:
		ca.readOnce(ReasonClaimUnknown)
	}
}

// askFailed asks again, and gives up after a few times.
func (ca *Call) askFailed(ev call.QueryFailed) {
	if ev.Attempt != ca.asked {
		return
	}
	if ca.asks < maxAsks {
		ca.askAgain()
		return
	}
	ca.asked = ""
	if ca.phase == phaseRunning {
		ca.settle(call.Result{
			Outcome: call.OutcomeUnknown,
			Reason:  call.ReasonLinkLost,
		})
		return
	}
	ca.readOnce(ReasonClaimUnreachable)
}

// askAgain repeats a query, unless the caller has its answer already and the
// attempt's deadline has passed.
func (ca *Call) askAgain() {
	if ca.answered && !ca.now.Before(ca.cfg.Deadline) {
		ca.phase = phaseDone
		return
	}
	row := Row{
		Attempt:  ca.asked,
		Upstream: ca.askedAt,
	}
	ca.later(ca.asks, func() { ca.ask(row) })
}

// readOnce looks whether the claimant has finished the row meanwhile; if not,
// the call ends with the reason.
func (ca *Call) readOnce(re host.Reason) {
	ca.last.Reason = re
	ca.read(phaseRereading)
}

func (ca *Call) rereadDone(ev RowResult) {
	if ev.Status == RowDone && ca.row.State == RowFinished {
		ca.see()
		return
	}
	ca.end(call.OutcomeUnknown, ca.last.Reason)
}
