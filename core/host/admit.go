package host

import (
	"time"

	"lynxfold/core/contract"
)

func (ga *Gate) handleArrived(at Attempt, now time.Time) {
	or, ok := at.ID.Origin()
	if !ok {
		ga.emit(RefuseArrival{ID: at.ID, Reason: ReasonBadAttempt, NotRun: true})
		return
	}
	if at.Incarnation != ga.cfg.Incarnation {
		ga.emit(RefuseArrival{ID: at.ID, Reason: ReasonWrongIncarnation, NotRun: true})
		return
	}
	if en := ga.ledger.entries[at.ID]; en != nil {
		ga.refuseDuplicate(en)
		return
	}
	if !or.Idempotent && ga.ledger.mayHaveDropped(or) {
		ga.emit(RefuseArrival{ID: at.ID, Reason: ReasonForgotten})
		return
	}
	ga.adoptNotice(at.Notice, now)
	en := ga.ledger.add(at, or)
	ga.setUrgency(en)
	ga.setDue(en, now)
	if re := ga.refusalReason(en, now); re != ReasonNone {
		ga.refuse(en, re, now)
		return
	}
	if !at.Nested && !en.deferred && at.Class != contract.ClassBulk {
		en.estimatedWait = ga.queueWait(en)
		en.waits = en.waitError()
	}
	ga.fair.charge(en, ga.levels.list)
	ga.queue.push(en)
	if at.Class != contract.ClassBulk {
		ga.recordLookupDemand()
	}
}

// noObjectiveDelay places attempts without an objective behind those that have one,
// in order of arrival among themselves.
const noObjectiveDelay = 24 * time.Hour

// setDue sets the queue position of an attempt. A retry by the caller that can no
// longer meet its objective is queued behind attempts that can; an attempt that would
// miss its objective because the upstream is slow keeps its position.
func (ga *Gate) setDue(en *entry, now time.Time) {
	at := en.attempt
	en.arrived = now
	en.fairTag = ga.fair.tag(en)
	en.fairCost = ga.estimateFor(at).mean
	ga.recordSlack(en, now)
	en.due = at.Objective
	if at.Objective.IsZero() {
		en.due = now.Add(noObjectiveDelay)
		return
	}
	en.deferred = at.CallerRetry && ga.missesObjective(at, now)
}

// refuseDuplicate refuses an arriving attempt that the ledger already holds.
func (ga *Gate) refuseDuplicate(en *entry) {
	re := ReasonDuplicateAttempt
	if en.state == stateRefused {
		re = en.reason
	}
	ga.emit(RefuseArrival{
		ID:     en.attempt.ID,
		Reason: re,
		NotRun: en.state == stateRefused,
	})
}

// refusalReason returns why an attempt is refused on arrival, or ReasonNone when it
// is admitted.
func (ga *Gate) refusalReason(en *entry, now time.Time) Reason {
	if re := ga.gateRefusalReason(en, now); re != ReasonNone {
		return re
	}
	at := en.attempt
	if !at.Nested && ga.downstream.sheds(at.Kind, en.deferred, now) {
		return ReasonDownstreamFull
	}
	return ReasonNone
}

// gateRefusalReason returns why an attempt can't be admitted at this gate, or ReasonNone
// when it can.
func (ga *Gate) gateRefusalReason(en *entry, now time.Time) Reason {
	at := en.attempt
	if re := ga.UnavailableReason(now); re != ReasonNone {
		return re
	}
	if re := ga.destinationReason(at); re != ReasonNone {
		return re
	}
	if re := ga.quarantineReason(at, now); re != ReasonNone {
		return re
	}
	if re := ga.timeReason(at, now); re != ReasonNone {
		return re
	}
	if en.deferred && at.BodyWait > maxLateBodyWait {
		return ReasonQueueFull
	}
	if ga.hasFreeSlot(en, now) {
		return ReasonNone
	}
	if ga.draining() {
		return ReasonDraining
	}
	if at.NoQueue {
		return ReasonBusy
	}
	if ga.queueFull(en) {
		return ReasonQueueFull
	}
	if ga.limitWait(en, now) > en.maxLimitWait() {
		return ReasonQueueFull
	}
	wait := ga.estimateWait(en, now)
	if now.Add(wait + ga.estimateFor(at).low).After(at.Deadline) {
		return ReasonDeadline
	}
	if !at.Objective.IsZero() && wait > ga.maxWait(en, now) {
		return ReasonQueueFull
	}
	return ReasonNone
}

// timeReason returns why no time is left for an attempt that is dispatched at once, or
// ReasonNone.
func (ga *Gate) timeReason(at Attempt, now time.Time) Reason {
	switch {
	case !now.Before(at.Deadline):
		return ReasonDeadline
	case ga.outlastsHost(at, now):
		return ReasonDraining
	}
	return ReasonNone
}

// outlastsHost reports whether an attempt that is dispatched at a time is expected to run
// when the host stops.
func (ga *Gate) outlastsHost(at Attempt, now time.Time) bool {
	return !ga.stopAt.IsZero() && ga.stopAt.Before(at.Deadline) && now.Add(ga.estimateFor(at).upper()).After(ga.stopAt)
}

// queueFull reports whether the queue has no room for an attempt. Less urgent attempts
// take no room from it, since they are dispatched after it. The queues of both classes
// use at most half of the ledger, and running attempts the other half.
func (ga *Gate) queueFull(en *entry) bool {
	cl := en.attempt.Class
	return ga.queue.countAhead(en) >= ga.cfg.QueuePerSlot*ga.concurrencyLimit() ||
		ga.queue.count(cl) >= ga.ledger.cfg.MaxEntries/4-1
}

// destinationReason returns why an attempt is refused because it is not meant for the
// upstream, or ReasonNone.
func (ga *Gate) destinationReason(at Attempt) Reason {
	switch {
	case at.Service != ga.upstream.Service:
		return ReasonWrongService
	case at.ReleaseReplaced:
		return ReasonReleaseReplaced
	case at.Release != "" && at.Release != ga.upstream.Release:
		return ReasonWrongRelease
	}
	return ReasonNone
}

// quarantineReason returns why an attempt is refused for crashes that its request may have
// caused, or ReasonNone.
func (ga *Gate) quarantineReason(at Attempt, now time.Time) Reason {
	switch {
	case now.Before(at.Quarantine.Until):
		return ReasonQuarantined
	case at.Quarantine.Isolated && ga.hasIsolated():
		return ReasonSuspectRunning
	}
	return ReasonNone
}

// maxLateBodyWait bounds the time for which a body that is too late for its objective waits
// behind others: on a saturated link, it would make one late that can still meet its own.
const maxLateBodyWait = 20 * time.Millisecond

// lateWaitDivisor bounds the queue wait of an attempt that would miss its objective to
// the upper bound of its service time divided by this number.
const lateWaitDivisor = 4

// maxWait is the longest queue wait for which an attempt with an objective is admitted.
// When the wait is longer, the slots are better used for attempts that can still meet
// their objective.
func (ga *Gate) maxWait(en *entry, now time.Time) time.Duration {
	upper := ga.estimateFor(en.attempt).upper()
	if ga.missesObjective(en.attempt, now) {
		return upper / lateWaitDivisor
	}
	return en.attempt.Objective.Sub(now) - upper
}

// missesObjective reports whether an attempt would miss its objective even if it ran
// at once.
func (ga *Gate) missesObjective(at Attempt, now time.Time) bool {
	return now.Add(ga.estimateFor(at).upper()).After(at.Objective)
}

func (ga *Gate) refuse(en *entry, re Reason, now time.Time) {
	ac := Refuse{
		ID:          en.attempt.ID,
		Reason:      re,
		RetryAfter:  ga.retryAt(re, en, now),
		RateLimited: ga.isRateLimited(en, re, now),
	}
	if isCapacityReason(re) {
		ga.queue.visitAhead(en, func(*entry) { ac.Ahead++ })
		ac.KeptSlots = ga.keptSlots(en)
	}
	ga.emit(ac)
	if isCapacityReason(re) {
		ga.recordWait(en, now)
		if re != ReasonBusy {
			ga.recordShare(en, 1)
		}
	}
	if en.charged {
		en.charged = false
		ga.fair.refund(en)
	}
	ga.endAttempt(en, stateRefused, re, 0, now)
}

// isCapacityReason reports whether an attempt was refused because the upstream has no
// room for it in time.
func isCapacityReason(re Reason) bool {
	return re == ReasonQueueFull || re == ReasonDeadline || re == ReasonBusy
}

// retryAt returns when a retry at this gate makes sense; zero means at once, at another
// gate.
func (ga *Gate) retryAt(re Reason, en *entry, now time.Time) time.Time {
	switch {
	case isCapacityReason(re):
		if wait := ga.estimateWait(en, now); wait > 0 {
			return now.Add(wait)
		}
		return now.Add(ga.cfg.DefaultRetryAfter)
	case re == ReasonQuarantined:
		return en.attempt.Quarantine.Until
	case re == ReasonSuspectRunning:
		return now.Add(ga.meanServiceTime())
	case re == ReasonNoUpstream, re == ReasonDraining, re == ReasonSettling, re == ReasonDownstreamFull:
		return now.Add(ga.cfg.DefaultRetryAfter)
	}
	return time.Time{}
}
