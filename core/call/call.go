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
	brief bool
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
	briefs   int
	// leastBusy is where a call waits when all brief attempts were refused.
	leastBusy leastBusy
	// wentFar says that a brief attempt has left the data centre, or could not.
	wentFar bool
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
	ca.first(up, now)
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
func (ca *Call) try(up datacentre.Upstream, re RetryReason) { ca.tryAs(up, re, false) }

// tryAs starts an attempt at an upstream, which may be a brief one.
func (ca *Call) tryAs(up datacentre.Upstream, re RetryReason, brief bool) {
	if !ca.cfg.Terms.Idempotent && (ca.mayHaveRun || len(ca.open) > 0) {
		ca.do(Violated{Upstream: up})
		ca.answer("", Result{Outcome: OutcomeUnknown, Reason: host.ReasonInvariant}, NoRetryInvariant)
		return
	}
	ca.attempts++
	if brief {
		ca.briefs++
	}
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
		brief:    brief,
	})
	ca.do(Try{
		Attempt:  id,
		Upstream: up,
		Deadline: ca.cfg.Deadline.Add(-ca.cfg.Margin),
		Number:   ca.attempts,
		Reason:   re,
		Brief:    brief,
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
func (ca *Call) remove(id host.AttemptID) (trial, bool) {
	for i, tr := range ca.open {
		if tr.id == id {
			ca.open = append(ca.open[:i], ca.open[i+1:]...)
			return tr, true
		}
	}
	return trial{}, false
}

// ended takes the result of an attempt.
func (ca *Call) ended(id host.AttemptID, re Result, now time.Time) {
	tr, found := ca.remove(id)
	if !found {
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
	if tr.brief && re.Outcome == OutcomeNotRun && re.Reason == host.ReasonBusy {
		ca.busy(tr, re, now)
		return
	}
	why, again := ca.mayRetry(re)
	if !again {
		ca.giveUp(why)
		return
	}
	ca.plan(why, now)
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
