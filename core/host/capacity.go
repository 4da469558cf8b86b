package host

import (
	"math"
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

// slowBulkRatio is the ratio of bulk to lookup service time above which slots are
// reserved for lookups.
const slowBulkRatio = 4

// bulkAllowed reports whether a bulk attempt may take a slot. It reserves slots for
// lookups of the same or a higher priority: their recent average concurrency plus its
// square root as headroom. Bulk always gets at least one slot. Bulk that is about
// as fast as lookups delays none and may take every slot. No bulk attempt is dispatched
// while its body could not be received.
func (ga *Gate) bulkAllowed(rank int) bool {
	if ga.transfers.full() {
		return false
	}
	if ga.bulkTime.mean > 0 && ga.bulkTime.mean <= slowBulkRatio*ga.lookupTime.mean {
		return true
	}
	demand := 0.0
	for ra, de := range ga.lookupDemand {
		if ra <= rank {
			demand += de
		}
	}
	reserve := int(math.Ceil(demand + math.Sqrt(demand)))
	return ga.runningBulk < max(1, ga.concurrencyLimit()-max(1, reserve))
}

// demandWindow is the window of the moving average of the lookup demand, in samples.
const demandWindow = 64

// hasFreeSlot reports whether an arriving attempt gets a slot at once and the rate limit
// allows it. Queued bulk that may not take a slot does not count as ahead of a lookup.
func (ga *Gate) hasFreeSlot(at Attempt, now time.Time) bool {
	if at.Class == contract.ClassBulk && at.BodyBytes != 0 && ga.transfers.full() {
		return false
	}
	ahead := ga.queue.len()
	if at.Class != contract.ClassBulk && len(ga.queue.bulk) > 0 && !ga.bulkAllowed(ga.queue.bulk[0].attempt.Rank) {
		ahead = len(ga.queue.lookups)
	}
	return ga.freeSlots() > ahead && ga.limiter.allows(ahead+1, now)
}

// recordLookupDemand samples the number of concurrent lookups by rank when a lookup
// arrives.
func (ga *Gate) recordLookupDemand(rank int) {
	counts := ga.lookupCounts
	clear(counts)
	counts[rank] = 0
	for _, en := range ga.running {
		if en.attempt.Class != contract.ClassBulk {
			counts[en.attempt.Rank]++
		}
	}
	for _, en := range ga.queue.lookups {
		counts[en.attempt.Rank]++
	}
	// Ranks without lookups are sampled as 0.
	for ra := range ga.lookupDemand {
		counts[ra] += 0
	}
	for ra, co := range counts {
		ga.lookupDemand[ra] += (float64(co) - ga.lookupDemand[ra]) / demandWindow
	}
}

// estimateWait estimates how long a new attempt waits until a slot is free, the rate
// limit allows it and its body may be received.
func (ga *Gate) estimateWait(en *entry, now time.Time) time.Duration {
	return max(ga.slotWait(en), ga.limitWait(en, now))
}

// slotWait estimates how long a new attempt waits until a slot is free and its body may
// be received.
func (ga *Gate) slotWait(en *entry) time.Duration {
	work := ga.estimateFor(en.attempt).mean
	bodies := 0
	ga.queue.visitAhead(en, func(it *entry) {
		work += ga.estimateFor(it.attempt).mean
		if it.attempt.BodyBytes != 0 {
			bodies++
		}
	})
	wait := work / time.Duration(max(1, ga.concurrencyLimit()))
	if en.attempt.Class == contract.ClassBulk && en.attempt.BodyBytes != 0 {
		wait = max(wait, ga.transfers.estimateWait(bodies), en.attempt.BodyWait+ga.transfers.queuedTime(bodies))
	}
	return wait
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
