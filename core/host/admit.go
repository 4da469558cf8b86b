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
	if re := ga.check(at, now); re != ReasonNone {
		ga.refuse(en, re, now)
		return
	}
	ga.queue.push(en)
	if at.Class != contract.ClassBulk {
		ga.noteDemand()
	}
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
func (ga *Gate) check(at Attempt, now time.Time) Reason {
	if re := ga.Usable(now); re != ReasonNone {
		return re
	}
	if at.Service != ga.upstream.Service {
		return ReasonWrongService
	}
	if !now.Before(at.Deadline) {
		return ReasonDeadline
	}
	if ga.free() > ga.queue.len() {
		return ReasonNone
	}
	if ga.leaving() {
		return ReasonDraining
	}
	if ga.queue.count(at.Class) >= min(ga.cfg.QueuePerSlot*ga.limit(), ga.ledger.cfg.MaxEntries/4-1) {
		return ReasonQueueFull
	}
	if now.Add(ga.wait(at.Class) + ga.service(at.Class).low).After(at.Deadline) {
		return ReasonDeadline
	}
	return ReasonNone
}

func (ga *Gate) refuse(en *entry, re Reason, now time.Time) {
	ga.do(Refuse{
		ID:       en.attempt.ID,
		Reason:   re,
		ComeBack: ga.comeBack(re, en.attempt.Class, now),
	})
	ga.close(en, stateRefused, re, 0, now)
}

// comeBack is when another attempt at this gate makes sense.
func (ga *Gate) comeBack(re Reason, cl contract.Class, now time.Time) time.Time {
	switch re {
	case ReasonQueueFull, ReasonDeadline:
		if wait := ga.wait(cl); wait > 0 {
			return now.Add(wait)
		}
		return now.Add(ga.cfg.ComeBack)
	case ReasonNoUpstream, ReasonDraining, ReasonSettling:
		return now.Add(ga.cfg.ComeBack)
	}
	return time.Time{}
}
