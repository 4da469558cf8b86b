package call

import (
	"time"

	"lynxfold/core/host"
)

// callerGone ends the call without an answer.
func (ca *Call) callerGone() {
	ca.done = true
	ca.abandonOpen()
}

func (ca *Call) abandonOpen() {
	for _, tr := range ca.open {
		ca.do(Abandon{Attempt: tr.id})
	}
	ca.open = nil
}

// expire answers a call whose deadline has come.
func (ca *Call) expire() {
	re := Result{
		Outcome:  OutcomeNotRun,
		Reason:   host.ReasonDeadline,
		ComeBack: ca.last.ComeBack,
	}
	if len(ca.open) > 0 || ca.mayHaveRun {
		re.Outcome = OutcomeUnknown
	}
	ca.answer("", re, NoRetryDeadline)
}

// giveUp answers with the last result; an earlier attempt that may have run
// makes the outcome unknown.
func (ca *Call) giveUp(why RetryReason) {
	re := ca.last
	if re.Outcome == OutcomeNotRun && ca.mayHaveRun {
		re.Outcome = OutcomeUnknown
	}
	id := host.AttemptID("")
	if re.Outcome == OutcomeRan {
		id = ca.lastAttempt
	}
	ca.answer(id, re, why)
}

// answer ends the call; attempts still open are cancelled.
func (ca *Call) answer(id host.AttemptID, re Result, why RetryReason) {
	ca.done = true
	re.GaveUp = re.GaveUp || failed(re)
	re.ComeBack = ca.comeBack(re)
	ca.abandonOpen()
	ca.do(Answer{
		Attempt: id,
		Result:  re,
		Retry:   why,
	})
}

// comeBack is when the caller of a failed call may ask again. A call that may
// not be repeated and may have run has none.
func (ca *Call) comeBack(re Result) time.Time {
	again := re.Outcome == OutcomeNotRun || ca.cfg.Terms.Idempotent
	if re.Outcome == OutcomeRan || !again {
		return time.Time{}
	}
	return SpreadComeBack(re.ComeBack, ca.now, ca.cfg.ComeBack, ca.cfg.Jitter())
}

// SpreadComeBack lengthens the delay until a time, or a shortest delay when the
// time is past, by up to its half, so that callers who are refused together don't
// come back together. Jitter is from 0 up to 1.
func SpreadComeBack(at, now time.Time, shortest time.Duration, jitter float64) time.Time {
	delay := shortest
	if at.After(now) {
		delay = at.Sub(now)
	}
	return now.Add(delay + time.Duration(jitter*float64(delay)/2))
}
