package call

import (
	"time"

	"lynxfold/core/host"
)

// linkLost starts the queries about a non-idempotent attempt; an idempotent one
// is as good as ended.
func (ca *Call) linkLost(id host.AttemptID, now time.Time) {
	tr := ca.find(id)
	if tr == nil || tr.doubt {
		return
	}
	if ca.cfg.Terms.Idempotent {
		ca.do(Abandon{Attempt: id})
		ca.ended(id, Result{Outcome: OutcomeUnknown, Reason: ReasonLinkLost}, now)
		return
	}
	tr.doubt = true
	ca.ask(tr, now)
}

func (ca *Call) ask(tr *trial, now time.Time) {
	tr.asks++
	tr.askAt = time.Time{}
	ca.do(Ask{
		Attempt:   tr.id,
		Upstream:  tr.upstream,
		WaitUntil: soonest(now.Add(askWait), ca.cfg.Deadline.Add(-ca.cfg.Margin)),
	})
}

// verdict ends the doubt about an attempt, unless it still runs.
func (ca *Call) verdict(ev Verdict, now time.Time) {
	tr := ca.find(ev.Attempt)
	if tr == nil || !tr.doubt {
		return
	}
	if ev.Fate == host.FateRunning {
		tr.asks = 0
		tr.askAt = now.Add(backoffBase)
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
	ca.ended(ev.Attempt, re, now)
}

// askFailed asks again after a delay, and gives up after a few times.
func (ca *Call) askFailed(id host.AttemptID, now time.Time) {
	tr := ca.find(id)
	if tr == nil || !tr.doubt {
		return
	}
	if tr.asks >= maxAsks {
		ca.ended(id, Result{Outcome: OutcomeUnknown, Reason: ReasonLinkLost}, now)
		return
	}
	tr.askAt = now.Add(ca.backoff(tr.asks))
}
