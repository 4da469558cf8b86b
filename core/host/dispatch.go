package host

import (
	"time"

	"lynxfold/core/contract"
)

// dispatchQueued dispatches queued attempts while slots are free and the rate limit
// allows it.
func (ga *Gate) dispatchQueued(now time.Time) {
	for ga.freeSlots() > 0 && ga.queue.len() > 0 && ga.limiter.allows(1, now) && ga.UnavailableReason(now) == ReasonNone {
		en := ga.queue.pop(ga.mayTakeSlot)
		if en == nil {
			return
		}
		if !ga.meetsDeadline(en.attempt, now) {
			ga.refuse(en, ReasonDeadline, now)
			continue
		}
		if ga.outlastsHost(en.attempt, now) {
			ga.refuse(en, ReasonDraining, now)
			continue
		}
		if ga.objectiveExpired(en, now) {
			ga.refuse(en, ReasonQueueFull, now)
			continue
		}
		if iv := ga.violatedInvariant(en, now); iv != "" {
			ga.emit(InvariantViolated{ID: en.attempt.ID, Invariant: iv})
			ga.refuse(en, ReasonInvariant, now)
			continue
		}
		ga.recordWait(en, now)
		ga.recordShare(en, 0)
		ga.dispatch(en, now)
	}
}

// violatedInvariant returns the invariant that a dispatch would violate, if any. It
// repeats the checks independently of the admission decisions.
func (ga *Gate) violatedInvariant(en *entry, now time.Time) Invariant {
	cutoff := earlier(ga.nodeCutoff, ga.upstreamCutoff)
	active := len(ga.running) + ga.orphans.count() + 1
	switch {
	case en.state != stateQueued || ga.running[en.attempt.ID] != nil || !en.dispatched.IsZero():
		return InvariantDispatchedOnce
	case active > int(ga.upstream.Slots) || ga.upstream.Connections > 0 && active > ga.upstream.Connections:
		return InvariantSlots
	case !ga.limiter.allows(1, now):
		return InvariantRateLimit
	case !cutoff.IsZero() && !now.Before(cutoff):
		return InvariantDrain
	}
	return ""
}

// meetsDeadline reports whether an attempt can finish before its deadline. The
// estimate is used only while other attempts are queued; otherwise a wrong estimate
// would refuse every attempt and never be corrected.
func (ga *Gate) meetsDeadline(at Attempt, now time.Time) bool {
	if ga.queue.len() == 0 {
		return now.Before(at.Deadline)
	}
	return now.Add(ga.estimateFor(at).low).Before(at.Deadline)
}

// objectiveExpired reports whether an attempt could meet its objective on arrival but
// no longer can, while other attempts are queued that may still meet theirs.
func (ga *Gate) objectiveExpired(en *entry, now time.Time) bool {
	if en.deferred || en.attempt.Objective.IsZero() || ga.queue.len() == 0 {
		return false
	}
	mean := ga.estimateFor(en.attempt).mean
	return mean < en.attempt.Objective.Sub(en.arrived) && now.Add(mean).After(en.attempt.Objective)
}

func (ga *Gate) dispatch(en *entry, now time.Time) {
	en.state = stateRunning
	en.dispatched = now
	ga.running[en.attempt.ID] = en
	en.level.running++
	en.level.virtualTime = max(en.level.virtualTime, en.fairTag)
	ga.limiter.take(now)
	if en.attempt.Class == contract.ClassBulk {
		ga.runningBulk++
	}
	if en.attempt.BodyBytes != 0 {
		ga.transfers.begin(en)
	}
	ga.emit(Dispatch{
		ID:       en.attempt.ID,
		Address:  ga.upstream.Address,
		Instance: ga.upstream.Instance,
	})
}

// handleProgress handles an event of a dispatched attempt.
func (ga *Gate) handleProgress(ev Event, now time.Time) {
	switch ev := ev.(type) {
	case Started:
		ga.handleStarted(ev.ID)
	case Identified:
		ga.handleIdentified(ev)
	case BodyReceived:
		ga.handleBodyReceived(ev, now)
	case Ended:
		ga.handleEnded(ev, now)
	}
}

// handleStarted records that an attempt was written to the upstream.
func (ga *Gate) handleStarted(id AttemptID) {
	if en := ga.running[id]; en != nil && !en.started {
		en.started = true
		ga.startedCount++
	}
}

func (ga *Gate) handleIdentified(ev Identified) {
	if en := ga.running[ev.ID]; en != nil {
		en.attempt.Fingerprint = ev.Fingerprint
	}
}

// handleBodyReceived records that the body of a dispatched attempt has arrived.
func (ga *Gate) handleBodyReceived(ev BodyReceived, now time.Time) {
	if en := ga.running[ev.ID]; en != nil {
		ga.transfers.end(en, ev.Bytes, now)
	}
}

// handleEnded records the end of a dispatched attempt; events for other attempts are
// ignored.
func (ga *Gate) handleEnded(ev Ended, now time.Time) {
	en := ga.running[ev.ID]
	if en == nil {
		return
	}
	delete(ga.running, ev.ID)
	en.level.running--
	ga.transfers.end(en, 0, now)
	if en.attempt.Class == contract.ClassBulk {
		ga.runningBulk--
	}
	if en.started {
		ga.startedCount--
		ga.orphans.recordStarted(ga.startedCount)
	}
	if ev.MayStillRun {
		ga.orphans.abandon(en.attempt.Deadline)
	}
	ga.crashes.recordEnd(en, ev, now)
	switch ev.Outcome {
	case OutcomeRan:
		ga.recordServiceTime(en, now.Sub(en.dispatched))
		ga.endAttempt(en, stateFinished, ev.Reason, ev.KeptBytes, now)
	case OutcomeNotRun:
		ga.endAttempt(en, stateRefused, ev.Reason, 0, now)
	case OutcomeUnknown:
		ga.endAttempt(en, stateBroken, ev.Reason, 0, now)
	}
}

// recordServiceTime updates the service time estimates with a finished attempt.
func (ga *Gate) recordServiceTime(en *entry, took time.Duration) {
	at := en.attempt
	if at.Class != contract.ClassBulk {
		en.level.time.add(took)
	}
	es := ga.recordedEstimate(at)
	ga.slowdown.recordServiceTime(es.mean, took)
	es.add(took)
	class := &ga.lookupTime
	if at.Class == contract.ClassBulk {
		class = &ga.bulkTime
	}
	if class != es {
		class.add(took)
	}
}

// endAttempt records the end of an attempt and answers the queries that wait for it.
func (ga *Gate) endAttempt(en *entry, st entryState, re Reason, keptBytes int, now time.Time) {
	dropped := ga.ledger.end(en, st, re, keptBytes, now)
	for _, wa := range en.waiters {
		ga.answerQuery(wa.query, en)
	}
	en.waiters = nil
	for _, id := range dropped {
		ga.emit(DropAnswer{ID: id})
	}
}
