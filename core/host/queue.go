package host

import (
	"slices"
	"time"

	"lynxfold/core/contract"
)

// queue holds the attempts that wait for a slot, by class. Each list is in dispatch
// order.
type queue struct {
	lookups, bulk []*entry
	// lookupsSinceBulk counts the lookups dispatched while bulk attempts were queued,
	// since the last bulk dispatch.
	lookupsSinceBulk int
}

// lookupsPerBulk is the number of lookups after which one queued bulk attempt is
// dispatched, so that bulk is not starved.
const lookupsPerBulk = 4

func (qu *queue) len() int { return len(qu.lookups) + len(qu.bulk) }

// count returns the number of queued attempts of a class.
func (qu *queue) count(cl contract.Class) int { return len(*qu.list(cl)) }

// countAhead returns the number of queued attempts of the same class that are not less
// urgent than en.
func (qu *queue) countAhead(en *entry) int {
	list := *qu.list(en.attempt.Class)
	at, _ := slices.BinarySearchFunc(list, en, func(it, en *entry) int {
		if en.moreUrgentThan(it) {
			return 1
		}
		return -1
	})
	return at
}

// moreUrgentThan reports whether an attempt is dispatched before another one of its class
// whatever their objectives are.
func (en *entry) moreUrgentThan(it *entry) bool {
	if en.attempt.Nested != it.attempt.Nested {
		return en.attempt.Nested
	}
	return en.urgency < it.urgency
}

func (qu *queue) list(cl contract.Class) *[]*entry {
	if cl == contract.ClassBulk {
		return &qu.bulk
	}
	return &qu.lookups
}

// push inserts an attempt in dispatch order.
func (qu *queue) push(en *entry) {
	list := qu.list(en.attempt.Class)
	at, _ := slices.BinarySearchFunc(*list, en, func(it, en *entry) int {
		if en.before(it) {
			return 1
		}
		return -1
	})
	*list = slices.Insert(*list, at, en)
}

// before reports whether an attempt is dispatched before another of its class. Nested
// attempts come first, since the call that they are part of already holds a slot; then
// attempts are ordered by urgency, by whether they can still meet their objective, by the
// fair shares of their customers, and by due time.
func (en *entry) before(it *entry) bool {
	switch {
	case en.moreUrgentThan(it):
		return true
	case it.moreUrgentThan(en):
		return false
	case en.deferred != it.deferred:
		return it.deferred
	case en.fairTag != it.fairTag:
		return en.fairTag < it.fairTag
	}
	return en.due.Before(it.due)
}

// pop removes and returns the next attempt that may take a slot, or nil.
func (qu *queue) pop(mayTakeSlot func(en *entry) bool) *entry {
	bulkAllowed := len(qu.bulk) > 0 && mayTakeSlot(qu.bulk[0])
	if bulkAllowed && qu.bulkNext() {
		qu.lookupsSinceBulk = 0
		return popFront(&qu.bulk)
	}
	for i, en := range qu.lookups {
		if i > 0 && en.level == qu.lookups[i-1].level || !mayTakeSlot(en) {
			continue
		}
		if len(qu.bulk) > 0 {
			qu.lookupsSinceBulk++
		}
		if i == 0 {
			return popFront(&qu.lookups)
		}
		qu.lookups = slices.Delete(qu.lookups, i, i+1)
		return en
	}
	if bulkAllowed {
		qu.lookupsSinceBulk = 0
		return popFront(&qu.bulk)
	}
	return nil
}

// bulkNext reports whether the first bulk attempt precedes the first lookup.
func (qu *queue) bulkNext() bool {
	if len(qu.lookups) == 0 {
		return true
	}
	bulk, lookup := qu.bulk[0].urgency, qu.lookups[0].urgency
	if qu.lookups[0].attempt.Nested {
		return false
	}
	if bulk != lookup {
		return bulk < lookup
	}
	return qu.lookupsSinceBulk >= lookupsPerBulk
}

// visitAhead calls visit for each queued attempt that would be dispatched before en,
// which is not in the queue.
func (qu *queue) visitAhead(en *entry, visit func(it *entry)) {
	for _, it := range qu.lookups {
		if en.attempt.Class == contract.ClassBulk && (it.attempt.Nested || it.urgency <= en.urgency) ||
			en.attempt.Class != contract.ClassBulk && !en.before(it) {
			visit(it)
		}
	}
	for _, it := range qu.bulk {
		if en.attempt.Class != contract.ClassBulk && !en.attempt.Nested && it.urgency < en.urgency ||
			en.attempt.Class == contract.ClassBulk && !en.before(it) {
			visit(it)
		}
	}
}

func popFront(list *[]*entry) *entry {
	en := (*list)[0]
	(*list)[0] = nil
	*list = (*list)[1:]
	return en
}

// remove removes one attempt.
func (qu *queue) remove(en *entry) {
	qu.removeIf(func(it *entry) bool { return it == en })
}

// removeIf removes and returns the attempts that satisfy a condition.
func (qu *queue) removeIf(match func(en *entry) bool) []*entry {
	var out []*entry
	for _, list := range []*[]*entry{&qu.lookups, &qu.bulk} {
		rest := (*list)[:0]
		for _, en := range *list {
			if match(en) {
				out = append(out, en)
				continue
			}
			rest = append(rest, en)
		}
		clear((*list)[len(rest):])
		*list = rest
	}
	return out
}

// estimate tracks the service time of a group of attempts.
type estimate struct {
	// mean is an exponentially weighted moving average.
	mean time.Duration
	// low is a lower bound: it falls quickly and rises slowly, so that few attempts
	// are faster.
	low time.Duration
	// deviation is the moving average of the absolute deviation from the mean.
	deviation time.Duration
}

// upper returns an upper bound on the service time of most attempts.
func (es estimate) upper() time.Duration { return es.mean + upperHalfDeviations*es.deviation/2 }

// scaled returns the estimate for work that takes a multiple of the time.
func (es *estimate) scaled(factor float64) estimate {
	if factor == 1 {
		return *es
	}
	return estimate{
		mean:      time.Duration(float64(es.mean) * factor),
		low:       time.Duration(float64(es.low) * factor),
		deviation: time.Duration(float64(es.deviation) * factor),
	}
}

// Windows of the moving averages in samples: a new sample has the weight 1/window.
const (
	meanWindow = 8
	// fallWindow and riseWindow apply to low.
	fallWindow = 2
	riseWindow = 64
	// upperHalfDeviations is the distance of upper from the mean, in halves of the
	// average deviation.
	upperHalfDeviations = 3
)

func (es *estimate) add(sample time.Duration) {
	if es.mean == 0 {
		es.mean = sample
		es.low = sample
		return
	}
	es.deviation += ((sample - es.mean).Abs() - es.deviation) / meanWindow
	es.mean += (sample - es.mean) / meanWindow
	if sample < es.low {
		es.low += (sample - es.low) / fallWindow
		return
	}
	es.low += (sample - es.low) / riseWindow
}
