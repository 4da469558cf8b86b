package call

import (
	"time"

	"lynxfold/core/host"
)

// callerGone ends the call without a response.
func (ca *Call) callerGone() {
	ca.done = true
	ca.cancelOpen()
}

func (ca *Call) cancelOpen() {
	for _, oa := range ca.openAttempts {
		ca.emit(CancelAttempt{Attempt: oa.id})
	}
	ca.openAttempts = nil
}

// expire ends a call whose deadline has passed.
func (ca *Call) expire() {
	re := Result{
		Outcome:     OutcomeNotRun,
		Reason:      host.ReasonDeadline,
		RetryAfter:  ca.lastResult.RetryAfter,
		RateLimited: ca.lastResult.RateLimited,
	}
	if len(ca.openAttempts) > 0 || ca.mayHaveRun {
		re.Outcome = OutcomeUnknown
	}
	ca.respond("", re, NoRetryDeadline)
}

// giveUp ends the call with the last result, without another attempt. The outcome of
// a refusal becomes unknown if an earlier attempt may have run. A call with an open attempt
// waits for its end instead: its upstream may be at work on it.
func (ca *Call) giveUp(why RetryReason) {
	if len(ca.openAttempts) > 0 {
		return
	}
	re := ca.lastResult
	if re.Outcome == OutcomeNotRun && ca.mayHaveRun {
		re.Outcome = OutcomeUnknown
	}
	id := host.AttemptID("")
	if re.Outcome == OutcomeRan {
		id = ca.lastAttempt
	}
	ca.respond(id, re, why)
}

// respond ends the call and cancels the attempts that are still open.
func (ca *Call) respond(id host.AttemptID, re Result, why RetryReason) {
	ca.done = true
	re.GaveUp = re.GaveUp || isFailure(re)
	re.RetryAfter = ca.retryAfter(re)
	ca.cancelOpen()
	ca.emit(Respond{
		Attempt:       id,
		Result:        re,
		NoRetryReason: why,
	})
}

// retryAfter returns the time from which the caller of a failed call may retry. It is
// zero for a non-idempotent call that may have run, which must not be repeated.
func (ca *Call) retryAfter(re Result) time.Time {
	mayRepeat := re.Outcome == OutcomeNotRun || ca.cfg.Terms.Idempotent
	if re.Outcome == OutcomeRan || !mayRepeat {
		return time.Time{}
	}
	if re.RateLimited {
		// Other upstreams may accept the call long before the limited one does.
		re.RetryAfter = ca.earliestRetry
	}
	return JitterRetryAfter(re.RetryAfter, ca.now, ca.cfg.MinRetryAfter, ca.cfg.Jitter())
}

// JitterRetryAfter adds up to half of the delay until at as jitter, so that callers
// that are refused together do not retry together. The delay is minDelay if at is
// not in the future. The jitter is in [0, 1).
func JitterRetryAfter(at, now time.Time, minDelay time.Duration, jitter float64) time.Time {
	delay := minDelay
	if at.After(now) {
		delay = at.Sub(now)
	}
	return now.Add(delay + time.Duration(jitter*float64(delay)/2))
}
