package host

import (
	"slices"
	"time"

	"lynxfold/core/contract"
)

// queue holds the attempts that wait for a slot, by class. Each list is in the
// order in which its attempts go.
type queue struct {
	lookups, bulk []*entry
	// passed counts the lookups dispatched before waiting bulk of the same rank.
	passed int
}

// bulkShare lets one waiting bulk attempt go after this many lookups.
const bulkShare = 4

func (qu *queue) len() int { return len(qu.lookups) + len(qu.bulk) }

// count is how many attempts of a class wait.
func (qu *queue) count(cl contract.Class) int { return len(*qu.list(cl)) }

func (qu *queue) list(cl contract.Class) *[]*entry {
	if cl == contract.ClassBulk {
		return &qu.bulk
	}
	return &qu.lookups
}

// push puts an attempt behind those that go before it.
func (qu *queue) push(en *entry) {
	list := qu.list(en.attempt.Class)
	at, _ := slices.BinarySearchFunc(*list, en, func(it, en *entry) int {
		if en.goesBefore(it) {
			return 1
		}
		return -1
	})
	*list = slices.Insert(*list, at, en)
}

// goesBefore tells whether an attempt goes before another of its class: those that
// are part of another call, which has a slot already, then by rank,
// then those that can still meet their objective, then by the objective.
func (en *entry) goesBefore(it *entry) bool {
	switch {
	case en.attempt.Nested != it.attempt.Nested:
		return en.attempt.Nested
	case en.attempt.Rank != it.attempt.Rank:
		return en.attempt.Rank < it.attempt.Rank
	case en.late != it.late:
		return it.late
	}
	return en.due.Before(it.due)
}

// pop takes the next attempt; bulk only when it may run.
func (qu *queue) pop(bulkAllowed func(rank int) bool) *entry {
	if len(qu.bulk) > 0 && qu.bulkNext() && bulkAllowed(qu.bulk[0].attempt.Rank) {
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

// bulkNext tells whether the first bulk attempt goes before the first lookup.
func (qu *queue) bulkNext() bool {
	if len(qu.lookups) == 0 {
		return true
	}
	bulk, lookup := qu.bulk[0].attempt.Rank, qu.lookups[0].attempt.Rank
	if qu.lookups[0].attempt.Nested {
		return false
	}
	if bulk != lookup {
		return bulk < lookup
	}
	return qu.passed >= bulkShare
}

// ahead visits the attempts that go before one that is not in the queue.
func (qu *queue) ahead(en *entry, visit func(it *entry)) {
	for _, it := range qu.lookups {
		if en.attempt.Class == contract.ClassBulk && (it.attempt.Nested || it.attempt.Rank <= en.attempt.Rank) ||
			en.attempt.Class != contract.ClassBulk && !en.goesBefore(it) {
			visit(it)
		}
	}
	for _, it := range qu.bulk {
		if en.attempt.Class != contract.ClassBulk && !en.attempt.Nested && it.attempt.Rank < en.attempt.Rank ||
			en.attempt.Class == contract.ClassBulk && !en.goesBefore(it) {
			visit(it)
		}
	}
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
	// deviation is the average distance of a sample from the mean.
	deviation time.Duration
}

// usual is what most calls take at most.
func (es *estimate) usual() time.Duration { return es.mean + usualDeviations*es.deviation/2 }

// Weights of a sample, as one in this many.
const (
	meanWeight = 8
	fallWeight = 2
	riseWeight = 64
	// usualDeviations is how far above the mean most calls end, in halves of the
	// average deviation.
	usualDeviations = 3
)

func (es *estimate) add(sample time.Duration) {
	if es.mean == 0 {
		es.mean = sample
		es.low = sample
		return
	}
	es.deviation += ((sample - es.mean).Abs() - es.deviation) / meanWeight
	es.mean += (sample - es.mean) / meanWeight
	if sample < es.low {
		es.low += (sample - es.low) / fallWeight
		return
	}
	es.low += (sample - es.low) / riseWeight
}
