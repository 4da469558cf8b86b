package call

import (
	"time"

	"lynxfold/core/contract"
	"lynxfold/core/datacentre"
	"lynxfold/core/host"
)

// Limits on attempts and queries.
const (
	// maxFreeAttempts bounds the attempts outside the retry budget that follow
	// refusals by full or unavailable gates.
	maxFreeAttempts = 2
	// maxUnansweredQueries bounds the queries about an attempt without an answer.
	maxUnansweredQueries = 4
	// maxQueryWait bounds how long a gate may delay its answer to a query.
	maxQueryWait = 500 * time.Millisecond
	// backoffBase and backoffMax bound the exponential backoff with jitter.
	backoffBase = 25 * time.Millisecond
	backoffMax  = time.Second
)

// openAttempt is an attempt of the call that has not ended.
type openAttempt struct {
	id       host.AttemptID
	upstream datacentre.Upstream
	// linkLost says that the link was lost or is silent, and the gate is queried.
	linkLost bool
	// silent says that nothing arrives on the link, which is still open.
	silent  bool
	noQueue bool
	// unansweredQueries counts the queries since the gate's last answer.
	unansweredQueries int
	// queryAt is when the next query is due; zero while one is in flight.
	queryAt time.Time
}

// Call is the state machine of one call at its ingress.
type Call struct {
	cfg          Config
	triedHosts   []host.ID
	openAttempts []openAttempt
	attempts     int
	// retries counts the attempts that use the retry budget, and freeAttempts those
	// that maxFreeAttempts bounds.
	retries         int
	freeAttempts    int
	noQueueAttempts int
	// shortestQueue is where the call queues once its no-queue attempts are refused.
	shortestQueue shortestQueue
	// triedRemote says that a no-queue attempt to a remote data centre was sent, or
	// that no upstream was available for one.
	triedRemote bool
	// retryAt is when the next attempt is due; zero if none is scheduled.
	retryAt     time.Time
	retryReason RetryReason
	// hedgeAt is when the hedged request is due; zero if there will be none.
	hedgeAt     time.Time
	lastResult  Result
	lastAttempt host.AttemptID
	// earliestRetry is the earliest RetryAfter of the attempts that full gates refused.
	earliestRetry time.Time
	// mayHaveRun says that an attempt has ended that ran or may have run.
	mayHaveRun bool
	done       bool
	// now is the time of the latest event.
	now     time.Time
	actions []Action
}

// New returns a call that has made no attempt.
func New(cfg Config) *Call { return &Call{cfg: cfg} }

// Step handles one event and returns the resulting actions, which are valid until
// the next Step.
func (ca *Call) Step(ev Event, now time.Time) []Action {
	clear(ca.actions)
	ca.actions = ca.actions[:0]
	if ca.done {
		return nil
	}
	ca.now = now
	switch ev := ev.(type) {
	case Begin:
		ca.begin(now)
	case AttemptEnded:
		ca.attemptEnded(ev.Attempt, ev.Result, now)
	case LinkLost:
		ca.linkLost(ev.Attempt, now)
	case LinkSilent:
		ca.linkSilent(ev.Attempt, now)
	case QueryResult:
		ca.queryResult(ev, now)
	case QueryFailed:
		ca.queryFailed(ev.Attempt, now)
	case CallerGone:
		ca.callerGone()
	case Tick:
		ca.tick(now)
	}
	return ca.actions
}

// WakeAt returns when the next Tick is due; zero if the call has ended.
func (ca *Call) WakeAt() time.Time {
	if ca.done {
		return time.Time{}
	}
	at := ca.cfg.Deadline
	for _, it := range []time.Time{ca.retryAt, ca.hedgeAt} {
		at = earliest(at, it)
	}
	for _, oa := range ca.openAttempts {
		at = earliest(at, oa.queryAt)
	}
	return at
}

// earliest returns the earlier of two times; b is ignored if it is zero.
func earliest(a, b time.Time) time.Time {
	if b.IsZero() || a.Before(b) {
		return a
	}
	return b
}

func (ca *Call) emit(ac Action) { ca.actions = append(ca.actions, ac) }

func (ca *Call) begin(now time.Time) {
	up, ok := ca.cfg.Picker.Pick(nil, now)
	if !ok {
		ca.respond("", Result{Outcome: OutcomeNotRun, Reason: ReasonNoCandidate}, NoRetryNoCandidate)
		return
	}
	ca.sendFirst(up, now)
	if ca.mayHedge() {
		ca.hedgeAt = now.Add(ca.cfg.Terms.HedgeAfter())
	}
}

// mayHedge reports whether the contract and the request allow hedged requests.
func (ca *Call) mayHedge() bool {
	te := ca.cfg.Terms
	return ca.cfg.HedgeBudget != nil && te.Idempotent && te.HedgeAfter() > 0 &&
		te.Class != contract.ClassBulk && ca.cfg.Replayable && !ca.cfg.UpperLayerRetries
}

// sendQueueing sends an attempt that may wait in the gate's queue.
func (ca *Call) sendQueueing(up datacentre.Upstream, re RetryReason) { ca.send(up, re, false) }

// send sends an attempt to an upstream. The gate refuses it if noQueue is set and no
// slot is free.
func (ca *Call) send(up datacentre.Upstream, re RetryReason, noQueue bool) {
	if !ca.cfg.Terms.Idempotent && (ca.mayHaveRun || len(ca.openAttempts) > 0) {
		ca.emit(InvariantViolated{Upstream: up})
		ca.respond("", Result{Outcome: OutcomeUnknown, Reason: host.ReasonInvariant}, NoRetryInvariant)
		return
	}
	ca.attempts++
	if noQueue {
		ca.noQueueAttempts++
	}
	id := host.Origin{
		Issuer:     ca.cfg.Issuer,
		Call:       ca.cfg.Number,
		Try:        uint32(ca.attempts),
		Idempotent: ca.cfg.Terms.Idempotent,
	}.ID()
	ca.triedHosts = append(ca.triedHosts, up.Host)
	ca.openAttempts = append(ca.openAttempts, openAttempt{
		id:       id,
		upstream: up,
		noQueue:  noQueue,
	})
	ca.emit(SendAttempt{
		Attempt:  id,
		Upstream: up,
		Deadline: ca.cfg.Deadline.Add(-ca.cfg.DeadlineMargin),
		Number:   ca.attempts,
		Reason:   re,
		NoQueue:  noQueue,
	})
}

// findOpen returns the open attempt with an id, or nil.
func (ca *Call) findOpen(id host.AttemptID) *openAttempt {
	for i := range ca.openAttempts {
		if ca.openAttempts[i].id == id {
			return &ca.openAttempts[i]
		}
	}
	return nil
}

// progressExpected reports whether an attempt is open whose link is not silent, or one is
// scheduled.
func (ca *Call) progressExpected() bool {
	for _, oa := range ca.openAttempts {
		if !oa.silent {
			return true
		}
	}
	return !ca.retryAt.IsZero()
}

// removeOpen removes an attempt from the open ones and reports whether it was
// among them.
func (ca *Call) removeOpen(id host.AttemptID) (openAttempt, bool) {
	for i, oa := range ca.openAttempts {
		if oa.id == id {
			ca.openAttempts = append(ca.openAttempts[:i], ca.openAttempts[i+1:]...)
			return oa, true
		}
	}
	return openAttempt{}, false
}

// attemptEnded handles the result of an attempt: it ends the call, waits for
// another open attempt, or schedules a retry.
func (ca *Call) attemptEnded(id host.AttemptID, re Result, now time.Time) {
	oa, found := ca.removeOpen(id)
	if !found {
		return
	}
	if re.Outcome != OutcomeNotRun {
		ca.mayHaveRun = true
	}
	ca.lastResult = re
	ca.lastAttempt = id
	if re.Outcome == OutcomeNotRun && !GateUnavailable(re) && !re.RetryAfter.IsZero() {
		ca.earliestRetry = earliest(re.RetryAfter, ca.earliestRetry)
	}
	if ca.isFinal(re) {
		ca.respond(id, re, NoRetryFinal)
		return
	}
	if ca.progressExpected() {
		return // the other attempt may still succeed
	}
	if oa.noQueue && re.Outcome == OutcomeNotRun && re.Reason == host.ReasonBusy {
		ca.retryAfterBusy(oa, re, now)
		return
	}
	why, again := ca.mayRetry(re)
	if !again {
		ca.giveUp(why)
		return
	}
	ca.scheduleRetry(why, now)
}

func (ca *Call) tick(now time.Time) {
	if !now.Before(ca.cfg.Deadline) {
		ca.expire()
		return
	}
	for i := range ca.openAttempts {
		oa := &ca.openAttempts[i]
		if !oa.queryAt.IsZero() && !now.Before(oa.queryAt) {
			ca.query(oa, now)
		}
	}
	if !ca.hedgeAt.IsZero() && !now.Before(ca.hedgeAt) {
		ca.hedge(now)
	}
	if !ca.retryAt.IsZero() && !now.Before(ca.retryAt) {
		ca.retry(now)
	}
}
