package keyed

import (
	"lynxfold/core/call"
	"lynxfold/core/host"
)

// followClaim queries the gate for the fate of another call's attempt. A gate
// that has not seen the attempt refuses it from then on, so that the attempt of
// a node that was suspended after its claim cannot run later.
func (ca *Call) followClaim() {
	ca.phase = phaseFollowing
	ca.writeInDoubt = false
	ca.queries = 0
	ca.cancelScheduled()
	row := ca.row
	ca.schedule(ca.now.Add(followDelay), func() { ca.query(row) })
}

func (ca *Call) query(row Row) {
	ca.queriedAttempt = row.Attempt
	ca.queriedUpstream = row.Upstream
	ca.queries++
	until := ca.now.Add(queryWait)
	if de := ca.attemptDeadline(); de.Before(until) {
		until = de
	}
	ca.emit(call.QueryAttempt{
		Attempt:   row.Attempt,
		Upstream:  row.Upstream,
		WaitUntil: until,
	})
}

// handleQueryResult handles the gate's answer to a query.
func (ca *Call) handleQueryResult(ev call.QueryResult) {
	if ev.Attempt != ca.queriedAttempt {
		return
	}
	if ev.Fate == host.FateRunning {
		ca.queries = 0
		ca.queryAgain()
		return
	}
	ca.cancelScheduled()
	re := ev.Result
	re.Outcome = ev.Fate.Outcome()
	switch ca.phase {
	case phaseRunning:
		ca.handleOwnFate(ev.Fate, re)
	case phaseFollowing:
		ca.handleOtherFate(ev.Fate, re)
	case phaseNew, phaseClaiming, phaseResolving, phaseRereading, phaseRevoking, phaseFinishing, phaseDone:
	}
}

// handleOwnFate handles the fate of this call's attempt.
func (ca *Call) handleOwnFate(fa host.Fate, re call.Result) {
	if fa == host.FateAnswerLost {
		re.Reason = call.ReasonAnswerLost
	}
	if re.Outcome == call.OutcomeUnknown && re.Reason == "" {
		re.Reason = call.ReasonLinkLost
	}
	ca.handleResult(re)
}

// handleOtherFate handles the fate of another call's attempt.
func (ca *Call) handleOtherFate(fa host.Fate, re call.Result) {
	switch {
	case re.Outcome == call.OutcomeRan:
		ca.answer(ca.row.Attempt, re)
		ca.writeFinished(ca.row)
	case re.Outcome == call.OutcomeNotRun:
		ca.claimNextAttempt()
	case fa == host.FateAnswerLost:
		ca.rereadRow(call.ReasonAnswerLost)
	default:
		ca.rereadRow(ReasonClaimUnknown)
	}
}

// handleQueryFailed repeats the query, up to maxQueries queries in a row.
func (ca *Call) handleQueryFailed(ev call.QueryFailed) {
	if ev.Attempt != ca.queriedAttempt {
		return
	}
	if ca.queries < maxQueries {
		ca.queryAgain()
		return
	}
	ca.queriedAttempt = ""
	if ca.phase == phaseRunning {
		ca.handleResult(call.Result{
			Outcome: call.OutcomeUnknown,
			Reason:  call.ReasonLinkLost,
		})
		return
	}
	ca.rereadRow(ReasonClaimUnreachable)
}

// queryAgain repeats a query after a backoff, unless the caller has its answer
// and the call's deadline has passed.
func (ca *Call) queryAgain() {
	if ca.answered && !ca.now.Before(ca.cfg.Deadline) {
		ca.phase = phaseDone
		return
	}
	row := Row{
		Attempt:  ca.queriedAttempt,
		Upstream: ca.queriedUpstream,
	}
	ca.scheduleWithBackoff(ca.queries, func() { ca.query(row) })
}

// rereadRow reads whether the row has become finished in the meantime. If not,
// the call ends with an unknown outcome and the reason re.
func (ca *Call) rereadRow(re host.Reason) {
	ca.lastResult.Reason = re
	ca.readRow(phaseRereading)
}

func (ca *Call) handleReread(ev RowResult) {
	if ev.Status == OpDone && ca.row.State == RowFinished {
		ca.actOnRow()
		return
	}
	ca.endCall(call.OutcomeUnknown, ca.lastResult.Reason)
}
