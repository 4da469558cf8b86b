package call

import (
	"time"

	"lynxfold/core/contract"
	"lynxfold/core/datacentre"
	"lynxfold/core/host"
)

// Bounds on attempts and queries.
const (
	// maxMoves bounds the free attempts after refusals by gates that leave.
	maxMoves = 2
	// maxAsks bounds the queries that get no answer.
	maxAsks = 4
	// askWait bounds how long a gate holds the answer to a query back.
	askWait = 500 * time.Millisecond
	// backoffBase and backoffCap bound the jittered delay before a retry.
	backoffBase = 25 * time.Millisecond
	backoffCap  = time.Second
)

// trial is one attempt of the call.
type trial struct {
	id       host.AttemptID
	upstream datacentre.Upstream
	// doubt says that the link was lost and the gate is asked.
	doubt bool
	asks  int
	// askAt is when the next query is due; zero while one is under way.
	askAt time.Time
}

// Call is the state of one call at its ingress.
type Call struct {
	cfg      Config
	tried    []host.ID
	open     []trial
	attempts int
	retries  int
	moves    int
	// retryAt is when the next attempt is due; zero means none is planned.
	retryAt     time.Time
	retryReason RetryReason
	hedgeAt     time.Time
	last        Result
	lastAttempt host.AttemptID
	// mayHaveRun says that an attempt ran, or may have, and is not the answer.
	mayHaveRun bool
	done       bool
	now        time.Time
	acts       []Action
}

// New builds a call that has made no attempt.
func New(cfg Config) *Call { return &Call{cfg: cfg} }

// Step feeds one event and returns what to do. The actions are valid until the
// next Step.
func (ca *Call) Step(ev Event, now time.Time) []Action {
	clear(ca.acts)
	ca.acts = ca.acts[:0]
	if ca.done {
		return nil
	}
	ca.now = now
	switch ev := ev.(type) {
	case Begin:
		ca.begin(now)
	case AttemptEnded:
		ca.ended(ev.Attempt, ev.Result, now)
	case LinkLost:
		ca.linkLost(ev.Attempt, now)
	case Verdict:
		ca.verdict(ev, now)
	case AskFailed:
		ca.askFailed(ev.Attempt, now)
	case CallerGone:
		ca.callerGone()
	case Tick:
		ca.tick(now)
	}
	return ca.acts
}

// WakeAt is when the next Tick is due; zero when the call has ended.
func (ca *Call) WakeAt() time.Time {
	if ca.done {
		return time.Time{}
	}
	at := ca.cfg.Deadline
	for _, it := range []time.Time{ca.retryAt, ca.hedgeAt} {
		at = soonest(at, it)
	}
	for _, tr := range ca.open {
		at = soonest(at, tr.askAt)
	}
	return at
}

// soonest returns the earlier of two times, of which the second may be zero.
func soonest(a, b time.Time) time.Time {
	if b.IsZero() || a.Before(b) {
		return a
	}
	return b
}

func (ca *Call) do(ac Action) { ca.acts = append(ca.acts, ac) }

func (ca *Call) begin(now time.Time) {
	up, ok := ca.cfg.Chooser.Pick(nil, now)
	if !ok {
		ca.answer("", Result{Outcome: OutcomeNotRun, Reason: ReasonNoCandidate}, NoRetryNoCandidate)
		return
	}
	ca.try(up, "")
	if ca.mayHedge() {
		ca.hedgeAt = now.Add(ca.cfg.Terms.HedgeAfter())
	}
}

// mayHedge tells whether the contract lets a second attempt start beside the first.
func (ca *Call) mayHedge() bool {
	te := ca.cfg.Terms
	return ca.cfg.Hedges != nil && te.Idempotent && te.HedgeAfter() > 0 &&
		te.Class != contract.ClassBulk && ca.cfg.Replayable && !ca.cfg.UpperRetries
}

// try starts an attempt at an upstream.
func (ca *Call) try(up datacentre.Upstream, re RetryReason) {
	if !ca.cfg.Terms.Idempotent && (ca.mayHaveRun || len(ca.open) > 0) {
		ca.do(Violated{Upstream: up})
		ca.answer("", Result{Outcome: OutcomeUnknown, Reason: host.ReasonInvariant}, NoRetryInvariant)
		return
	}
	ca.attempts++
	id := host.Origin{
		Issuer:     ca.cfg.Issuer,
		Call:       ca.cfg.Number,
		Try:        uint32(ca.attempts),
		Idempotent: ca.cfg.Terms.Idempotent,
	}.ID()
	ca.tried = append(ca.tried, up.Host)
	ca.open = append(ca.open, trial{
		id:       id,
		upstream: up,
	})
	ca.do(Try{
		Attempt:  id,
		Upstream: up,
		Deadline: ca.cfg.Deadline.Add(-ca.cfg.Margin),
		Number:   ca.attempts,
		Reason:   re,
	})
}

// find returns an open attempt, or nil.
func (ca *Call) find(id host.AttemptID) *trial {
	for i := range ca.open {
		if ca.open[i].id == id {
			return &ca.open[i]
		}
	}
	return nil
}

// remove takes an attempt out of the open ones; it is false when it is not there.
func (ca *Call) remove(id host.AttemptID) bool {
	for i := range ca.open {
		if ca.open[i].id == id {
			ca.open = append(ca.open[:i], ca.open[i+1:]...)
			return true
		}
	}
	return false
}

// ended takes the result of an attempt.
func (ca *Call) ended(id host.AttemptID, re Result, now time.Time) {
	if !ca.remove(id) {
		return
	}
	if re.Outcome != OutcomeNotRun {
		ca.mayHaveRun = true
	}
	ca.last = re
	ca.lastAttempt = id
	if ca.final(re) {
		ca.answer(id, re, NoRetryFinal)
		return
	}
	if len(ca.open) > 0 || !ca.retryAt.IsZero() {
		return // the other attempt may still answer
	}
	why, again := ca.mayRetry(re)
	if !again {
		ca.giveUp(why)
		return
	}
	ca.plan(why, now)
}

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

func (ca *Call) tick(now time.Time) {
	if !now.Before(ca.cfg.Deadline) {
		ca.expire()
		return
	}
	for i := range ca.open {
		tr := &ca.open[i]
		if !tr.askAt.IsZero() && !now.Before(tr.askAt) {
			ca.ask(tr, now)
		}
	}
	if !ca.hedgeAt.IsZero() && !now.Before(ca.hedgeAt) {
		ca.hedge(now)
	}
	if !ca.retryAt.IsZero() && !now.Before(ca.retryAt) {
		ca.retry(now)
	}
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
