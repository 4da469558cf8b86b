package host

import (
	"time"

	"lynxfold/core/contract"
)

func (ga *Gate) arrive(at Attempt, now time.Time) {
	or, ok := at.ID.Origin()
	if !ok {
		ga.do(RefuseDuplicate{ID: at.ID, Reason: ReasonBadAttempt, NotRun: true})
		return
	}
	if at.Incarnation != ga.cfg.Incarnation {
		ga.do(RefuseDuplicate{ID: at.ID, Reason: ReasonWrongIncarnation, NotRun: true})
		return
	}
	if en := ga.ledger.entries[at.ID]; en != nil {
		ga.duplicate(en)
		return
	}
	if !or.Idempotent && ga.ledger.forgotten(or) {
		ga.do(RefuseDuplicate{ID: at.ID, Reason: ReasonForgotten})
		return
	}
	en := ga.ledger.open(at, or)
	ga.schedule(en, now)
	if re := ga.check(en, now); re != ReasonNone {
		ga.refuse(en, re, now)
		return
	}
	ga.queue.push(en)
	if at.Class != contract.ClassBulk {
		ga.noteDemand(at.Rank)
	}
}

// withoutObjective orders attempts that have no objective behind those that have
// one, and among themselves as they arrived.
const withoutObjective = 24 * time.Hour

// schedule decides the place of an attempt in the queue. One whose caller has come
// back too late for its objective waits behind those that can meet theirs; one
// that is out of reach because the upstream is slow keeps its place.
func (ga *Gate) schedule(en *entry, now time.Time) {
	at := en.attempt
	en.arrived = now
	en.due = at.Objective
	if at.Objective.IsZero() {
		en.due = now.Add(withoutObjective)
		return
	}
	en.late = at.Returning && ga.outOfReach(at, now)
}

// duplicate answers an arrival of an attempt that the ledger holds.
func (ga *Gate) duplicate(en *entry) {
	re := ReasonDuplicateAttempt
	if en.state == stateRefused {
		re = en.reason
	}
	ga.do(RefuseDuplicate{
		ID:     en.attempt.ID,
		Reason: re,
		NotRun: en.state == stateRefused,
	})
}

// check says why an attempt can't be let in.
func (ga *Gate) check(en *entry, now time.Time) Reason {
	at := en.attempt
	if re := ga.Usable(now); re != ReasonNone {
		return re
	}
	if at.Service != ga.upstream.Service {
		return ReasonWrongService
	}
	if !now.Before(at.Deadline) {
		return ReasonDeadline
	}
	if ga.open(at) {
		return ReasonNone
	}
	if ga.leaving() {
		return ReasonDraining
	}
	if at.Brief {
		return ReasonBusy
	}
	if ga.queue.count(at.Class) >= min(ga.cfg.QueuePerSlot*ga.limit(), ga.ledger.cfg.MaxEntries/4-1) {
		return ReasonQueueFull
	}
	wait := ga.wait(en)
	if now.Add(wait + ga.service(at).low).After(at.Deadline) {
		return ReasonDeadline
	}
	if !at.Objective.IsZero() && wait > ga.patience(en, now) {
		return ReasonQueueFull
	}
	return ReasonNone
}

// lateShare is the part of its usual service time that an attempt may wait whose
// objective is out of reach.
const lateShare = 4

// patience is how long an attempt with an objective may wait. While the queue is
// longer, the slots are better spent on attempts that can still meet theirs.
func (ga *Gate) patience(en *entry, now time.Time) time.Duration {
	usual := ga.service(en.attempt).usual()
	if ga.outOfReach(en.attempt, now) {
		return usual / lateShare
	}
	return en.attempt.Objective.Sub(now) - usual
}

// outOfReach tells whether an attempt would miss its objective if it ran at once.
func (ga *Gate) outOfReach(at Attempt, now time.Time) bool {
	return now.Add(ga.service(at).usual()).After(at.Objective)
}

func (ga *Gate) refuse(en *entry, re Reason, now time.Time) {
	ga.do(Refuse{
		ID:       en.attempt.ID,
		Reason:   re,
		ComeBack: ga.comeBack(re, en, now),
	})
	ga.close(en, stateRefused, re, 0, now)
}

// comeBack is when another attempt at this gate makes sense.
func (ga *Gate) comeBack(re Reason, en *entry, now time.Time) time.Time {
	switch re {
	case ReasonQueueFull, ReasonDeadline, ReasonBusy:
		if wait := ga.wait(en); wait > 0 {
			return now.Add(wait)
		}
		return now.Add(ga.cfg.ComeBack)
	case ReasonNoUpstream, ReasonDraining, ReasonSettling:
		return now.Add(ga.cfg.ComeBack)
	}
	return time.Time{}
}
