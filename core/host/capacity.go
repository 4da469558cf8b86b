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

func (ga *Gate) free() int { return ga.limit() - len(ga.running) - ga.occupancy.held }

// bulkAllowed keeps as many slots for lookups as they have lately needed at once,
// and some more; bulk has one at least.
func (ga *Gate) bulkAllowed() bool {
	reserve := int(math.Ceil(ga.demand + math.Sqrt(ga.demand)))
	return ga.bulk < max(1, ga.limit()-max(1, reserve))
}

// demandWeight is the share of the latest sample, as one in this many.
const demandWeight = 64

// noteDemand learns how many lookups there are at once.
func (ga *Gate) noteDemand() {
	lookups := len(ga.running) - ga.bulk + len(ga.queue.lookups)
	ga.demand += (float64(lookups) - ga.demand) / demandWeight
}

// wait estimates how long a new attempt of a class waits for a slot.
func (ga *Gate) wait(cl contract.Class) time.Duration {
	work := time.Duration(len(ga.queue.lookups)+1) * ga.lookups.mean
	if cl == contract.ClassBulk {
		work += time.Duration(len(ga.queue.bulk)+1) * ga.uploads.mean
	}
	return work / time.Duration(max(1, ga.limit()))
}

func (ga *Gate) service(cl contract.Class) *estimate {
	if cl == contract.ClassBulk {
		return &ga.uploads
	}
	return &ga.lookups
}
