package host

import (
	"time"

	"lynxfold/core/contract"
)

// queue holds the attempts that wait for a slot, by class.
type queue struct {
	lookups, bulk []*entry
	// passed counts the lookups dispatched before waiting bulk.
	passed int
}

// bulkShare lets one waiting bulk attempt go after this many lookups.
const bulkShare = 4

func (qu *queue) len() int { return len(qu.lookups) + len(qu.bulk) }

// count is how many attempts of a class wait.
func (qu *queue) count(cl contract.Class) int {
	if cl == contract.ClassBulk {
		return len(qu.bulk)
	}
	return len(qu.lookups)
}

func (qu *queue) push(en *entry) {
	if en.attempt.Class == contract.ClassBulk {
		qu.bulk = append(qu.bulk, en)
		return
	}
	qu.lookups = append(qu.lookups, en)
}

// pop takes the next attempt; bulk only when it may run.
func (qu *queue) pop(bulkAllowed bool) *entry {
	if len(qu.bulk) > 0 && bulkAllowed && (len(qu.lookups) == 0 || qu.passed >= bulkShare) {
		qu.passed = 0
		return take(&qu.bulk)
	}
	if len(qu.lookups) == 0 {
		return nil
	}
	if len(qu.bulk) > 0 {
		qu.passed++
	}
	return take(&qu.lookups)
}

func take(list *[]*entry) *entry {
	en := (*list)[0]
	(*list)[0] = nil
	*list = (*list)[1:]
	return en
}

// remove takes out one attempt.
func (qu *queue) remove(en *entry) {
	qu.removeIf(func(it *entry) bool { return it == en })
}

// removeIf takes out all attempts that a condition holds for.
func (qu *queue) removeIf(cond func(en *entry) bool) []*entry {
	var out []*entry
	for _, list := range []*[]*entry{&qu.lookups, &qu.bulk} {
		kept := (*list)[:0]
		for _, en := range *list {
			if cond(en) {
				out = append(out, en)
				continue
			}
			kept = append(kept, en)
		}
		clear((*list)[len(kept):])
		*list = kept
	}
	return out
}

// estimate learns the service time of a class.
type estimate struct {
	// mean is an exponentially weighted moving average.
	mean time.Duration
	// low falls fast and rises slowly; few calls are quicker.
	low time.Duration
}

// Weights of a sample, as one in this many.
const (
	meanWeight = 8
	fallWeight = 2
	riseWeight = 64
)

func (es *estimate) add(sample time.Duration) {
	if es.mean == 0 {
		es.mean = sample
		es.low = sample
		return
	}
	es.mean += (sample - es.mean) / meanWeight
	if sample < es.low {
		es.low += (sample - es.low) / fallWeight
		return
	}
	es.low += (sample - es.low) / riseWeight
}
