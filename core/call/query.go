package call

import (
	"time"

	"lynxfold/core/host"
)

// linkLost starts the queries about a non-idempotent attempt. An idempotent one
// ends with an unknown outcome, since it can be repeated safely.
func (ca *Call) linkLost(id host.AttemptID, now time.Time) {
	oa := ca.findOpen(id)
	if oa == nil || oa.linkLost {
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

// queryFailed queries again after a backoff. After maxUnansweredQueries the outcome
// of the attempt is unknown.
func (ca *Call) queryFailed(id host.AttemptID, now time.Time) {
	oa := ca.findOpen(id)
	if oa == nil || !oa.linkLost {
		return
	}
	if oa.unansweredQueries >= maxUnansweredQueries {
		ca.attemptEnded(id, Result{Outcome: OutcomeUnknown, Reason: ReasonLinkLost}, now)
		return
	}
	oa.queryAt = now.Add(ca.backoff(oa.unansweredQueries))
}
