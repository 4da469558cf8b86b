package host

import (
	"cmp"
	"slices"
	"time"
)

// handleQueried answers a query. A query for an attempt that has not arrived writes a
// tombstone, so that a late arrival is refused.
func (ga *Gate) handleQueried(ev Queried, now time.Time) {
	if ev.Incarnation != ga.cfg.Incarnation {
		ga.answerUnknown(ev, ReasonWrongIncarnation)
		return
	}
	en := ga.ledger.entries[ev.ID]
	if en == nil {
		en = ga.addTombstone(ev.ID, ReasonTombstone, now)
	}
	if en == nil {
		ga.answerUnknown(ev, ReasonForgotten)
		return
	}
	if en.active() && now.Before(ev.WaitUntil) {
		en.waiters = append(en.waiters, waiter{
			query: ev.Query,
			until: ev.WaitUntil,
		})
		return
	}
	ga.answerQuery(ev.Query, en)
}

// addTombstone records an attempt that has not arrived as refused. It returns nil when
// the attempt may have arrived before.
func (ga *Gate) addTombstone(id AttemptID, re Reason, now time.Time) *entry {
	or, ok := id.Origin()
	if !ok || or.Idempotent || ga.ledger.mayHaveDropped(or) {
		return nil
	}
	en := ga.ledger.add(Attempt{ID: id}, or)
	ga.endAttempt(en, stateRefused, re, 0, now)
	return en
}

func (ga *Gate) answerQuery(qu QueryID, en *entry) {
	ga.emit(AnswerQuery{
		Query:  qu,
		ID:     en.attempt.ID,
		Fate:   en.fate(),
		Reason: en.reason,
	})
}

func (ga *Gate) answerUnknown(ev Queried, re Reason) {
	ga.emit(AnswerQuery{
		Query:  ev.Query,
		ID:     ev.ID,
		Fate:   FateUnknown,
		Reason: re,
	})
}

// handleCancelled cancels an attempt: a queued one is refused, a running one is
// interrupted, and one that has not arrived is refused on arrival.
func (ga *Gate) handleCancelled(id AttemptID, now time.Time) {
	en := ga.ledger.entries[id]
	if en == nil {
		ga.addTombstone(id, ReasonCancelled, now)
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
	if en.interrupted {
		return
	}
	en.interrupted = true
	ga.emit(Interrupt{ID: en.attempt.ID})
}

// activeEntries lists the running and queued attempts in a deterministic order.
func (ga *Gate) activeEntries() []*entry {
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

// answerExpiredWaiters answers the queries whose wait time is over.
func (ga *Gate) answerExpiredWaiters(en *entry, now time.Time) {
	waiting := en.waiters[:0]
	for _, wa := range en.waiters {
		if now.Before(wa.until) {
			waiting = append(waiting, wa)
			continue
		}
		ga.answerQuery(wa.query, en)
	}
	en.waiters = waiting
}

// dropRecords drops the records of attempts that are too old or exceed the limit.
func (ga *Gate) dropRecords(now time.Time) {
	for _, id := range ga.ledger.dropRecords(now) {
		ga.emit(DropAnswer{ID: id})
	}
}
