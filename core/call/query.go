package call

import (
	"time"

	"lynxfold/core/host"
)

// linkLost starts the queries about a non-idempotent attempt. An idempotent one
// ends with an unknown outcome, since it can be repeated safely.
func (ca *Call) linkLost(id host.AttemptID, now time.Time) {
	oa := ca.findOpen(id)
	if oa == nil {
		return
	}
	oa.silent = false
	if oa.linkLost {
		return
	}
	if ca.cfg.Terms.Idempotent {
		ca.emit(CancelAttempt{Attempt: id})
		ca.attemptEnded(id, Result{Outcome: OutcomeUnknown, Reason: ReasonLinkLost}, now)
		return
	}
	oa.linkLost = true
	ca.query(oa, now)
}

// linkSilent handles an attempt whose link is silent: it goes on, since its upstream may be
// at work on it. A non-idempotent one is also queried, and an idempotent one is repeated if
// a retry is allowed.
func (ca *Call) linkSilent(id host.AttemptID, now time.Time) {
	oa := ca.findOpen(id)
	if oa == nil || oa.silent || oa.linkLost {
		return
	}
	oa.silent = true
	ca.emit(AwaitAnswer{Attempt: id})
	if !ca.cfg.Terms.Idempotent {
		oa.linkLost = true
		ca.query(oa, now)
		return
	}
	if ca.progressExpected() {
		return
	}
	if why, again := ca.mayRetry(Result{Outcome: OutcomeUnknown, Reason: ReasonLinkLost}); again {
		ca.scheduleRetry(why, now)
	}
}

func (ca *Call) query(oa *openAttempt, now time.Time) {
	oa.unansweredQueries++
	oa.queryAt = time.Time{}
	ca.emit(QueryAttempt{
		Attempt:   oa.id,
		Upstream:  oa.upstream,
		WaitUntil: earliest(now.Add(maxQueryWait), ca.cfg.Deadline.Add(-ca.cfg.DeadlineMargin)),
	})
}

// queryResult ends an attempt with the outcome that the gate reports, or schedules
// another query if the attempt still runs.
func (ca *Call) queryResult(ev QueryResult, now time.Time) {
	oa := ca.findOpen(ev.Attempt)
	if oa == nil || !oa.linkLost {
		return
	}
	if ev.Fate == host.FateRunning {
		oa.unansweredQueries = 0
		oa.queryAt = now.Add(backoffBase)
		return
	}
	re := ev.Result
	re.Outcome = ev.Fate.Outcome()
	switch ev.Fate {
	case host.FateNeverSeen:
		re.Reason = ReasonNeverSeen
	case host.FateAnswerLost:
		re.Reason = ReasonAnswerLost
	case host.FateUnknown, host.FateRunning, host.FateFinished, host.FateBroken, host.FateRefused:
		if re.Reason == "" && re.Outcome != OutcomeRan {
			re.Reason = ReasonLinkLost
		}
	}
	ca.attemptEnded(ev.Attempt, re, now)
}

// queryFailed queries again after a backoff. After maxUnansweredQueries the outcome of the
// attempt is unknown, unless its link is only silent: queries are late on a full link too.
func (ca *Call) queryFailed(id host.AttemptID, now time.Time) {
	oa := ca.findOpen(id)
	if oa == nil || !oa.linkLost {
		return
	}
	if oa.unansweredQueries >= maxUnansweredQueries && !oa.silent {
		ca.attemptEnded(id, Result{Outcome: OutcomeUnknown, Reason: ReasonLinkLost}, now)
		return
	}
	oa.queryAt = now.Add(ca.backoff(oa.unansweredQueries))
}
