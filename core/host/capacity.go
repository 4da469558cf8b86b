package host

import (
	"math"
	"time"

	"lynxfold/core/contract"
)

// limit is how many calls the upstream may work on at once.
func (ga *Gate) limit() int {
	limit := int(ga.upstream.Slots)
	if ga.upstream.Connections > 0 {
		limit = min(limit, ga.upstream.Connections)
	}
	return min(limit, ga.ledger.cfg.MaxEntries/2)
}

func (ga *Gate) free() int { return ga.limit() - len(ga.running) - ga.occupancy.held() }

// longBulk is how many times as long as a lookup a bulk attempt must take for
// slots to be kept from it.
const longBulk = 4

// bulkAllowed keeps as many slots for lookups of the same rank or a higher one as
// they have lately needed at once, and some more; bulk has one at least. Bulk that
// is about as quick as lookups holds nobody up and may have every slot. None may
// run while its body could not arrive.
func (ga *Gate) bulkAllowed(rank int) bool {
	if ga.transfers.full() {
		return false
	}
	if ga.uploads.mean > 0 && ga.uploads.mean <= longBulk*ga.lookups.mean {
		return true
	}
	demand := 0.0
	for ra, de := range ga.demand {
		if ra <= rank {
			demand += de
		}
	}
	reserve := int(math.Ceil(demand + math.Sqrt(demand)))
	return ga.bulk < max(1, ga.limit()-max(1, reserve))
}

// demandWeight is the share of the latest sample, as one in this many.
const demandWeight = 64

// open tells whether an attempt that arrives finds a slot at once. Waiting bulk
// that may have no slot is not ahead of a lookup.
func (ga *Gate) open(at Attempt) bool {
	if at.Class == contract.ClassBulk && at.Body != 0 && ga.transfers.full() {
		return false
	}
	ahead := ga.queue.len()
	if at.Class != contract.ClassBulk && len(ga.queue.bulk) > 0 && !ga.bulkAllowed(ga.queue.bulk[0].attempt.Rank) {
		ahead = len(ga.queue.lookups)
	}
	return ga.free() > ahead
}

// noteDemand learns how many lookups there are at once, by rank, when one arrives.
func (ga *Gate) noteDemand(rank int) {
	counts := ga.counts
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
	for ra := range ga.demand {
		counts[ra] += 0
	}
	for ra, co := range counts {
		ga.demand[ra] += (float64(co) - ga.demand[ra]) / demandWeight
	}
}

// wait estimates how long a new attempt waits for a slot, and for its body's turn.
func (ga *Gate) wait(en *entry) time.Duration {
	work := ga.service(en.attempt).mean
	bodies := 0
	ga.queue.ahead(en, func(it *entry) {
		work += ga.service(it.attempt).mean
		if it.attempt.Body != 0 {
			bodies++
		}
	})
	wait := work / time.Duration(max(1, ga.limit()))
	if en.attempt.Class == contract.ClassBulk && en.attempt.Body != 0 {
		wait = max(wait, ga.transfers.wait(bodies))
	}
	return wait
}

// maxKinds bounds the kinds whose service times are learnt apart.
const maxKinds = 64

// service is what is known of the service time of an attempt.
func (ga *Gate) service(at Attempt) *estimate {
	if at.Kind != "" {
		if es := ga.kinds[at.Kind]; es != nil {
			return es
		}
		if len(ga.kinds) < maxKinds {
			es := &estimate{}
			ga.kinds[at.Kind] = es
			return es
		}
	}
	if at.Class == contract.ClassBulk {
		return &ga.uploads
	}
	return &ga.lookups
}
