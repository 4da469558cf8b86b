package call

import (
	"time"

	"lynxfold/core/host"
)

// HTTP statuses of failures. Another upstream may not return the last three.
const (
	statusInternalServerError = 500
	statusBadGateway          = 502
	statusServiceUnavailable  = 503
	statusGatewayTimeout      = 504
)

// isRetryableStatus reports whether a status means that the upstream was
// temporarily unable to serve the call. A 500 or 429 is caused by the call or its
// caller.
func isRetryableStatus(status int) bool {
	switch status {
	case statusBadGateway, statusServiceUnavailable, statusGatewayTimeout:
		return true
	}
	return false
}

// isFailure reports whether a result is one that an upper layer might retry.
func isFailure(re Result) bool { return re.Outcome != OutcomeRan || isRetryableStatus(re.Status) }

// GateUnavailable reports whether a refusal comes from a gate that drains, was replaced or
// can't be reached: the attempt reached no upstream, so that an attempt at another
// gate adds no load to them.
func GateUnavailable(re Result) bool {
	switch re.Reason {
	case host.ReasonDraining, host.ReasonNoUpstream, host.ReasonSettling,
		host.ReasonWrongIncarnation, host.ReasonWrongService, ReasonLinkDial,
		host.ReasonWrongRelease, host.ReasonReleaseReplaced:
		return re.Outcome == OutcomeNotRun
	}
	return false
}

// isQueueFull reports whether a gate refused an attempt because its queue is full:
// the attempt reached no upstream, so that an attempt at another gate adds no load
// to them.
func isQueueFull(re Result) bool {
	return re.Outcome == OutcomeNotRun && re.Reason == host.ReasonQueueFull
}

// ranNowhere reports whether a gate refused an attempt for a reason that need not hold at
// another one, without load on its upstream.
func ranNowhere(re Result) bool {
	return GateUnavailable(re) || isQueueFull(re) ||
		re.Outcome == OutcomeNotRun && re.Reason == host.ReasonSuspectRunning
}

// isFinal reports whether a result is passed on to the caller without a retry.
func (ca *Call) isFinal(re Result) bool {
	if re.Outcome != OutcomeRan {
		return false
	}
	return !ca.cfg.Terms.Idempotent || !isRetryableStatus(re.Status)
}

// noRetryReasons are the results that no other gate can change.
var noRetryReasons = map[host.Reason]RetryReason{
	host.ReasonCancelled:      NoRetryCallerGone,
	host.ReasonDownstreamFull: NoRetryDownstreamFull,
	host.ReasonQuarantined:    NoRetryQuarantined,
}

// mayRetry reports whether another attempt is allowed after a result, and the reason
// for or against it. The budget and the deadline are checked later.
func (ca *Call) mayRetry(re Result) (RetryReason, bool) {
	te := ca.cfg.Terms
	if why, ok := noRetryReasons[re.Reason]; ok {
		return why, false
	}
	switch {
	case !te.Idempotent && ca.mayHaveRun:
		return NoRetryUnknown, false
	case !ca.cfg.Replayable && !re.BodyUnread:
		return NoRetryBody, false
	case ranNowhere(re) && ca.freeAttempts < maxFreeAttempts:
		return RetryOtherGate, true
	case isQueueFull(re):
		return NoRetryQueuesFull, false
	case re.GaveUp:
		return NoRetryLowerLayer, false
	case ca.cfg.UpperLayerRetries:
		return NoRetryUpperLayer, false
	case ca.retries >= te.Retries:
		return NoRetryLimit, false
	}
	return retryReasonFor(re.Outcome), true
}

// retryReasonFor returns the reason for a retry after an attempt with an outcome.
func retryReasonFor(ou Outcome) RetryReason {
	switch ou {
	case OutcomeRan:
		return RetryStatus
	case OutcomeUnknown:
		return RetryUnknown
	case OutcomeNotRun:
	}
	return RetryNotRun
}

// scheduleRetry sets the time of the next attempt, or gives up if it can't meet the
// deadline or if the budget is exhausted.
func (ca *Call) scheduleRetry(why RetryReason, now time.Time) {
	at := now
	if why == RetryOtherGate {
		ca.freeAttempts++
	} else {
		at = now.Add(ca.backoff(ca.retries))
		ca.retries++
	}
	if !ca.canMeetDeadline(at) {
		ca.giveUp(NoRetryDeadline)
		return
	}
	if why != RetryOtherGate && !ca.cfg.RetryBudget.Spend(now) {
		ca.giveUp(NoRetryBudget)
		return
	}
	ca.retryAt = at
	ca.retryReason = why
	if !now.Before(at) {
		ca.retry(now)
	}
}

// canMeetDeadline reports whether an attempt that starts at a time is expected to
// end before the deadline.
func (ca *Call) canMeetDeadline(at time.Time) bool {
	return at.Add(ca.cfg.ExpectedLatency + ca.cfg.DeadlineMargin).Before(ca.cfg.Deadline)
}

// backoff returns the exponential delay with jitter before the nth retry. The first
// one goes to another upstream at once.
func (ca *Call) backoff(nth int) time.Duration {
	if nth == 0 {
		return 0
	}
	limit := backoffBase << min(nth, 10)
	return time.Duration(ca.cfg.Jitter() * float64(min(limit, backoffMax)))
}

// retry sends the scheduled attempt. If all upstreams were tried, it starts over
// with them, but not before the time that the last refusal named.
func (ca *Call) retry(now time.Time) {
	ca.retryAt = time.Time{}
	pick := ca.cfg.Picker.Pick
	if isQueueFull(ca.lastResult) {
		pick = ca.cfg.Picker.PickWithCapacity
	}
	up, ok := pick(ca.triedHosts, now)
	if ok {
		ca.sendQueueing(up, ca.retryReason)
		return
	}
	if ca.retryReason == RetryOtherGate {
		// An attempt outside the budget must go to an untried upstream.
		ca.giveUp(NoRetryNoCandidate)
		return
	}
	at := ca.lastResult.RetryAfter
	if now.Before(at) && ca.canMeetDeadline(at) {
		ca.retryAt = at
		return
	}
	up, ok = ca.cfg.Picker.Pick(nil, now)
	if !ok || now.Before(at) {
		ca.giveUp(NoRetryNoCandidate)
		return
	}
	ca.triedHosts = ca.triedHosts[:0]
	ca.sendQueueing(up, ca.retryReason)
}

// hedge sends a hedged request if one attempt is open and no retry is scheduled.
func (ca *Call) hedge(now time.Time) {
	ca.hedgeAt = time.Time{}
	if len(ca.openAttempts) != 1 || !ca.retryAt.IsZero() || !ca.canMeetDeadline(now) {
		return
	}
	up, ok := ca.cfg.Picker.Pick(ca.triedHosts, now)
	if !ok {
		ca.emit(SkipHedge{Reason: NoHedgeNoCandidate})
		return
	}
	if !ca.cfg.HedgeBudget.Spend(now) {
		ca.emit(SkipHedge{Reason: NoHedgeBudget})
		return
	}
	ca.sendQueueing(up, RetryHedge)
}
