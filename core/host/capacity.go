package host

import (
	"slices"
	"time"

	"lynxfold/core/contract"
)

// concurrencyLimit is the maximum number of calls that the upstream may work on at
// once. Running attempts use at most half of the ledger.
func (ga *Gate) concurrencyLimit() int {
	limit := int(ga.upstream.Slots)
	if ga.upstream.Connections > 0 {
		limit = min(limit, ga.upstream.Connections)
	}
	return min(limit, ga.ledger.cfg.MaxEntries/2)
}

func (ga *Gate) freeSlots() int { return ga.concurrencyLimit() - len(ga.running) - ga.orphans.count() }

// hasIsolated reports whether an isolated attempt is running or queued.
func (ga *Gate) hasIsolated() bool {
	return slices.ContainsFunc(ga.activeEntries(), func(en *entry) bool { return en.attempt.Quarantine.Isolated })
}

// hasFreeSlot reports whether an arriving attempt gets a slot at once and the rate limit
// allows it. Queued attempts that may not take a slot do not count as ahead of one that is
// dispatched before them.
func (ga *Gate) hasFreeSlot(en *entry, now time.Time) bool {
	at := &en.attempt
	if at.Class == contract.ClassBulk && at.BodyBytes != 0 && ga.transfers.full() {
		return false
	}
	if at.Class != contract.ClassBulk && !ga.mayTakeSlot(en) {
		return false
	}
	ahead := ga.queue.len()
	if at.Class != contract.ClassBulk {
		ahead = ga.queuedAhead(en)
	}
	return ga.freeSlots() > ahead && ga.limiter.allows(ahead+1, now)
}

// queuedAhead returns the number of queued attempts that count as ahead of an arriving
// lookup.
func (ga *Gate) queuedAhead(en *entry) int {
	ahead := ga.queue.len()
	if bulk := ga.queue.bulk; len(bulk) > 0 && !ga.mayTakeSlot(bulk[0]) {
		ahead -= len(bulk)
	}
	if lookups := ga.queue.lookups; len(lookups) > 0 && en.moreUrgentThan(lookups[0]) && !ga.mayTakeSlot(lookups[0]) {
		ahead -= len(lookups)
	}
	return ahead
}

// estimateWait estimates how long a new attempt waits until a slot is free, the rate
// limit allows it and its body may be received.
func (ga *Gate) estimateWait(en *entry, now time.Time) time.Duration {
	return max(ga.slotWait(en), ga.limitWait(en, now))
}

// slotWait estimates how long a new attempt waits until a slot is free and its body may
// be received.
func (ga *Gate) slotWait(en *entry) time.Duration {
	wait := ga.queueWait(en)
	if en.attempt.Class != contract.ClassBulk {
		if !en.attempt.Nested && !en.deferred {
			wait = en.correctWait(wait)
		}
		return wait
	}
	if en.attempt.BodyBytes != 0 {
		bodies := 0
		ga.queue.visitAhead(en, func(it *entry) {
			if it.attempt.BodyBytes != 0 {
				bodies++
			}
		})
		wait = max(wait, ga.transfers.estimateWait(bodies), en.attempt.BodyWait+ga.transfers.queuedTime(bodies))
	}
	return wait
}

// queueWait estimates how long the attempts take that are queued ahead of a new one, with
// the slots that more urgent attempts have left lately.
func (ga *Gate) queueWait(en *entry) time.Duration {
	work := ga.estimateFor(en.attempt).mean
	ga.queue.visitAhead(en, func(it *entry) { work += ga.estimateFor(it.attempt).mean })
	slots := float64(ga.concurrencyLimit())
	if en.attempt.Class != contract.ClassBulk && !en.attempt.Nested {
		slots -= ga.levels.demandAbove(en.urgency)
	}
	return time.Duration(float64(work) / max(1, slots))
}

// defaultServiceTime is assumed before the first call has ended.
const defaultServiceTime = 100 * time.Millisecond

// meanServiceTime returns the service time of lookups, or of bulk attempts if there were
// no lookups.
func (ga *Gate) meanServiceTime() time.Duration {
	for _, mean := range []time.Duration{ga.lookupTime.mean, ga.bulkTime.mean} {
		if mean > 0 {
			return time.Duration(float64(mean) * ga.slowdown.factor())
		}
	}
	return defaultServiceTime
}

// maxKinds bounds the number of kinds with service time estimates of their own.
const maxKinds = 64

// estimateFor returns the service time estimate for an attempt under the slowdown that the
// upstream states.
func (ga *Gate) estimateFor(at Attempt) estimate {
	return ga.recordedEstimate(at).scaled(ga.slowdown.factor())
}

// recordedEstimate returns the estimate that the service time of an attempt belongs to.
func (ga *Gate) recordedEstimate(at Attempt) *estimate {
	if at.Kind != "" {
		if es := ga.kindTimes[at.Kind]; es != nil {
			return es
		}
		if len(ga.kindTimes) < maxKinds {
			es := &estimate{}
			ga.kindTimes[at.Kind] = es
			return es
		}
	}
	if at.Class == contract.ClassBulk {
		return &ga.bulkTime
	}
	return &ga.lookupTime
}
