package call

import (
	"time"

	"lynxfold/core/host"
)

// Statuses of an upstream that another upstream may not give.
const (
	statusBadGateway         = 502
	statusServiceUnavailable = 503
	statusGatewayTimeout     = 504
)

// retryable tells whether an upstream's status says that it could not serve
// the call just then. A 500 or 429 comes from the call or the caller itself.
func retryable(status int) bool {
	switch status {
	case statusBadGateway, statusServiceUnavailable, statusGatewayTimeout:
		return true
	}
	return false
}

// failed tells whether a result is one that an upper layer might retry.
func failed(re Result) bool { return re.Outcome != OutcomeRan || retryable(re.Status) }

// Moved tells whether a refusal comes from a gate that is leaving, was replaced or
// can't be reached: its upstream gets no load from another attempt.
func Moved(re Result) bool {
	switch re.Reason {
	case host.ReasonDraining, host.ReasonNoUpstream, host.ReasonSettling,
		host.ReasonWrongIncarnation, host.ReasonWrongService, ReasonLinkDial:
		return re.Outcome == OutcomeNotRun
	}
	return false
}

// Full tells whether a result is the refusal of a gate without room: no upstream
// has seen the attempt, so that another gate may be asked at no cost to them.
func Full(re Result) bool {
	return re.Outcome == OutcomeNotRun && re.Reason == host.ReasonQueueFull
}

// final tells whether a result is the upstream's last word.
func (ca *Call) final(re Result) bool {
	if re.Outcome != OutcomeRan {
		return false
	}
	return !ca.cfg.Terms.Idempotent || !retryable(re.Status)
}

// mayRetry tells why another attempt is or isn't allowed by the contract; the
// budget and the deadline come later.
func (ca *Call) mayRetry(re Result) (RetryReason, bool) {
	te := ca.cfg.Terms
	switch {
	case re.Reason == host.ReasonCancelled:
		return NoRetryCallerIsGone, false
	case !te.Idempotent && ca.mayHaveRun:
		return NoRetryUnknown, false
	case !ca.cfg.Replayable && !re.BodyUnread:
		return NoRetryBody, false
	case (Moved(re) || Full(re)) && ca.moves < maxMoves:
		return RetryMoved, true
	case Full(re):
		return NoRetryNoRoom, false
	case re.GaveUp:
		return NoRetryLowerLayer, false
	case ca.cfg.UpperRetries:
		return NoRetryUpperLayer, false
	case ca.retries >= te.Retries:
		return NoRetryLimit, false
	}
	return retryAfter(re.Outcome), true
}

// retryAfter names the reason for an attempt after one with this outcome.
func retryAfter(ou Outcome) RetryReason {
	switch ou {
	case OutcomeRan:
		return RetryStatus
	case OutcomeUnknown:
		return RetryUnknown
	case OutcomeNotRun:
	}
	return RetryNotRun
}

// plan sets the time of the next attempt, or gives up when none can help.
func (ca *Call) plan(why RetryReason, now time.Time) {
	at := now
	if why == RetryMoved {
		ca.moves++
	} else {
		at = now.Add(ca.backoff(ca.retries))
		ca.retries++
	}
	if !ca.inTime(at) {
		ca.giveUp(NoRetryDeadline)
		return
	}
	if why != RetryMoved && !ca.cfg.Budget.Spend(now) {
		ca.giveUp(NoRetryBudget)
		return
	}
	ca.retryAt = at
	ca.retryReason = why
	if !now.Before(at) {
		ca.retry(now)
	}
}

// inTime tells whether an attempt that starts at a time can meet the deadline.
func (ca *Call) inTime(at time.Time) bool {
	return at.Add(ca.cfg.Estimate + ca.cfg.Margin).Before(ca.cfg.Deadline)
}

// backoff is the jittered delay before the nth retry; the first goes to another
// upstream at once.
func (ca *Call) backoff(nth int) time.Duration {
	if nth == 0 {
		return 0
	}
	limit := backoffBase << min(nth, 10)
	return time.Duration(ca.cfg.Jitter() * float64(min(limit, backoffCap)))
}

// retry makes the planned attempt. When all upstreams were tried, the same ones
// are tried again from the time that they gave.
func (ca *Call) retry(now time.Time) {
	ca.retryAt = time.Time{}
	pick := ca.cfg.Chooser.Pick
	if Full(ca.last) {
		pick = ca.cfg.Chooser.PickSpare
	}
	up, ok := pick(ca.tried, now)
	if ok {
		ca.try(up, ca.retryReason)
		return
	}
	if ca.retryReason == RetryMoved {
		// The move was free since it goes elsewhere; there is nowhere else.
		ca.giveUp(NoRetryNoCandidate)
		return
	}
	at := ca.last.ComeBack
	if now.Before(at) && ca.inTime(at) {
		ca.retryAt = at
		return
	}
	up, ok = ca.cfg.Chooser.Pick(nil, now)
	if !ok || now.Before(at) {
		ca.giveUp(NoRetryNoCandidate)
		return
	}
	ca.tried = ca.tried[:0]
	ca.try(up, ca.retryReason)
}

// hedge starts an attempt beside the first one.
func (ca *Call) hedge(now time.Time) {
	ca.hedgeAt = time.Time{}
	if len(ca.open) != 1 || !ca.retryAt.IsZero() || !ca.inTime(now) {
		return
	}
	up, ok := ca.cfg.Chooser.Pick(ca.tried, now)
	if !ok {
		ca.do(Skip{Reason: NoHedgeNoCandidate})
		return
	}
	if !ca.cfg.Hedges.Spend(now) {
		ca.do(Skip{Reason: NoHedgeBudget})
		return
	}
	ca.try(up, RetryHedge)
}
