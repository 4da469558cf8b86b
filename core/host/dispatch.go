package host

import (
	"time"

	"lynxfold/core/contract"
)

// fill moves attempts from the queue into free slots.
func (ga *Gate) fill(now time.Time) {
	for ga.free() > 0 && ga.queue.len() > 0 && ga.Usable(now) == ReasonNone {
		en := ga.queue.pop(ga.bulkAllowed)
		if en == nil {
			return
		}
		if !ga.inTime(en.attempt, now) {
			ga.refuse(en, ReasonDeadline, now)
			continue
		}
		if ga.overtaken(en, now) {
			ga.refuse(en, ReasonQueueFull, now)
			continue
		}
		if iv := ga.broken(en, now); iv != "" {
			ga.do(Violated{ID: en.attempt.ID, Invariant: iv})
			ga.refuse(en, ReasonInvariant, now)
			continue
		}
		ga.dispatch(en, now)
	}
}

// broken checks what must hold for a dispatch, apart from the decisions that led
// to it.
func (ga *Gate) broken(en *entry, now time.Time) Invariant {
	ends := earlier(ga.nodeEnds, ga.upstreamEnds)
	works := len(ga.running) + ga.occupancy.held() + 1
	switch {
	case en.state != stateQueued || ga.running[en.attempt.ID] != nil || !en.dispatched.IsZero():
		return InvariantOnce
	case works > int(ga.upstream.Slots) || ga.upstream.Connections > 0 && works > ga.upstream.Connections:
		return InvariantSlots
	case !ends.IsZero() && !now.Before(ends):
		return InvariantDrain
	}
	return ""
}

// inTime tells whether an attempt can finish before its deadline. The estimate
// counts only while others wait, so that a wrong one is corrected.
func (ga *Gate) inTime(at Attempt, now time.Time) bool {
	if ga.queue.len() == 0 {
		return now.Before(at.Deadline)
	}
	return now.Add(ga.service(at).low).Before(at.Deadline)
}

// overtaken tells whether an attempt has waited until its objective was out of
// reach, while others wait that can still meet theirs.
func (ga *Gate) overtaken(en *entry, now time.Time) bool {
	if en.late || en.attempt.Objective.IsZero() || ga.queue.len() == 0 {
		return false
	}
	mean := ga.service(en.attempt).mean
	return mean < en.attempt.Objective.Sub(en.arrived) && now.Add(mean).After(en.attempt.Objective)
}

func (ga *Gate) dispatch(en *entry, now time.Time) {
	en.state = stateRunning
	en.dispatched = now
	ga.running[en.attempt.ID] = en
	if en.attempt.Class == contract.ClassBulk {
		ga.bulk++
	}
	if en.attempt.Body != 0 {
		ga.transfers.begin(en)
	}
	ga.do(Dispatch{
		ID:       en.attempt.ID,
		Address:  ga.upstream.Address,
		Instance: ga.upstream.Instance,
	})
}

// begun notes that the upstream has an attempt.
func (ga *Gate) begun(id AttemptID) {
	if en := ga.running[id]; en != nil && !en.started {
		en.started = true
		ga.started++
	}
}

// ended takes the end of a dispatched attempt; others are ignored.
func (ga *Gate) ended(ev Ended, now time.Time) {
	en := ga.running[ev.ID]
	if en == nil {
		return
	}
	delete(ga.running, ev.ID)
	ga.transfers.end(en, 0, now)
	if en.attempt.Class == contract.ClassBulk {
		ga.bulk--
	}
	if en.started {
		ga.started--
		ga.occupancy.fell(ga.started)
	}
	if ev.Working {
		ga.occupancy.leave(en.attempt.Deadline)
	}
	switch ev.Outcome {
	case OutcomeRan:
		ga.learn(en.attempt, now.Sub(en.dispatched))
		ga.close(en, stateFinished, ev.Reason, ev.KeptBytes, now)
	case OutcomeNotRun:
		ga.close(en, stateRefused, ev.Reason, 0, now)
	case OutcomeUnknown:
		ga.close(en, stateBroken, ev.Reason, 0, now)
	}
}

// learn takes in how long the upstream took over an attempt.
func (ga *Gate) learn(at Attempt, took time.Duration) {
	es := ga.service(at)
	es.add(took)
	class := &ga.lookups
	if at.Class == contract.ClassBulk {
		class = &ga.uploads
	}
	if class != es {
		class.add(took)
	}
}

// close records an attempt's end and answers the queries that wait for it.
func (ga *Gate) close(en *entry, st entryState, re Reason, kept int, now time.Time) {
	gone := ga.ledger.end(en, st, re, kept, now)
	for _, wa := range en.waiters {
		ga.tell(wa.query, en)
	}
	en.waiters = nil
	for _, id := range gone {
		ga.do(DropAnswer{ID: id})
	}
}
