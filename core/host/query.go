package host

import (
	"cmp"
	"slices"
	"time"
)

// asked answers a query. A query for an attempt that never arrived leaves a
// tombstone, so that a late arrival is refused.
func (ga *Gate) asked(ev Asked, now time.Time) {
	if ev.Incarnation != ga.cfg.Incarnation {
		ga.tellUnknown(ev, ReasonWrongIncarnation)
		return
	}
	en := ga.ledger.entries[ev.ID]
	if en == nil {
		en = ga.bury(ev.ID, ReasonTombstone, now)
	}
	if en == nil {
		ga.tellUnknown(ev, ReasonForgotten)
		return
	}
	if en.open() && now.Before(ev.WaitUntil) {
		en.waiters = append(en.waiters, waiter{
			query: ev.Query,
			until: ev.WaitUntil,
		})
		return
	}
	ga.tell(ev.Query, en)
}

// bury writes a tombstone for an attempt that has not arrived; it is nil when
// the attempt may have been here.
func (ga *Gate) bury(id AttemptID, re Reason, now time.Time) *entry {
	or, ok := id.Origin()
	if !ok || or.Idempotent || ga.ledger.forgotten(or) {
		return nil
	}
	en := ga.ledger.open(Attempt{ID: id}, or)
	ga.close(en, stateRefused, re, 0, now)
	return en
}

func (ga *Gate) tell(qu QueryID, en *entry) {
	ga.do(Tell{
		Query:  qu,
		ID:     en.attempt.ID,
		Fate:   en.fate(),
		Reason: en.reason,
	})
}

func (ga *Gate) tellUnknown(ev Asked, re Reason) {
	ga.do(Tell{
		Query:  ev.Query,
		ID:     ev.ID,
		Fate:   FateUnknown,
		Reason: re,
	})
}

// cancel withdraws an attempt: one that waits never runs, one that runs is
// interrupted, and one that has not arrived is refused when it does.
func (ga *Gate) cancel(id AttemptID, now time.Time) {
	en := ga.ledger.entries[id]
	if en == nil {
		ga.bury(id, ReasonCancelled, now)
		return
	}
	switch en.state {
	case stateQueued:
		ga.queue.remove(en)
		ga.refuse(en, ReasonCancelled, now)
	case stateRunning:
		ga.interrupt(en)
	case stateFinished, stateBroken, stateRefused:
	}
}

func (ga *Gate) interrupt(en *entry) {
	if en.cancelled {
		return
	}
	en.cancelled = true
	ga.do(Interrupt{ID: en.attempt.ID})
}

// ordered lists the open attempts in a fixed order.
func (ga *Gate) ordered() []*entry {
	list := make([]*entry, 0, len(ga.running)+ga.queue.len())
	for _, en := range ga.running {
		list = append(list, en)
	}
	slices.SortFunc(list, func(a, b *entry) int {
		return cmp.Compare(a.attempt.ID, b.attempt.ID)
	})
	list = append(list, ga.queue.lookups...)
	return append(list, ga.queue.bulk...)
}

// expireWaiters answers the queries that have waited long enough.
func (ga *Gate) expireWaiters(en *entry, now time.Time) {
	kept := en.waiters[:0]
	for _, wa := range en.waiters {
		if now.Before(wa.until) {
			kept = append(kept, wa)
			continue
		}
		ga.tell(wa.query, en)
	}
	en.waiters = kept
}

// dropOld forgets attempts that are too old or too many.
func (ga *Gate) dropOld(now time.Time) {
	for _, id := range ga.ledger.drop(now) {
		ga.do(DropAnswer{ID: id})
	}
}
