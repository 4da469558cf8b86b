package call_test

import (
	"container/heap"
	"slices"
	"time"
)

// boundStep is the resolution of the upper bound.
const boundStep = 5 * time.Millisecond

// fluidJob is a call in the upper bound: work that may be spread over slots and time.
type fluidJob struct {
	from, until time.Duration
	work        time.Duration
}

// fluidQueue is a heap.Interface of jobs in order of their ends.
type fluidQueue []fluidJob

func (fq fluidQueue) Len() int           { return len(fq) }
func (fq fluidQueue) Less(i, j int) bool { return fq[i].until < fq[j].until }
func (fq fluidQueue) Swap(i, j int)      { fq[i], fq[j] = fq[j], fq[i] }
func (fq *fluidQueue) Push(it any)       { *fq = append(*fq, it.(fluidJob)) }
func (fq *fluidQueue) Pop() any {
	old := *fq
	it := old[len(old)-1]
	*fq = old[:len(old)-1]
	return it
}

// maxWork returns how much of the work of some kinds can be done between the arrivals and
// the ends of their calls if all slots are one divisible resource. The soonest end first
// does the most work.
func (rl *roomLoad) maxWork(end func(ki *roomKind) time.Duration, kinds []*roomKind) time.Duration {
	var queue fluidQueue
	done, at, next := time.Duration(0), time.Duration(0), 0
	for next < len(rl.offered) || len(queue) > 0 {
		for ; next < len(rl.offered) && rl.offered[next].begun.Sub(rl.start) <= at; next++ {
			rc := rl.offered[next]
			from := rc.begun.Sub(rl.start)
			if slices.Contains(kinds, rc.kind) {
				heap.Push(&queue, fluidJob{from: from, until: from + end(rc.kind), work: rc.kind.work})
			}
		}
		room := boundStep * time.Duration(rl.cfg.upstreams*rl.cfg.slots)
		if rl.cfg.slowdown > 0 && rl.cfg.slowPeriod.contains(at) {
			room = time.Duration(float64(room) / rl.cfg.slowdown)
		}
		for room > 0 && len(queue) > 0 {
			if queue[0].until <= at {
				heap.Pop(&queue)
				continue
			}
			part := min(room, queue[0].work)
			queue[0].work -= part
			room -= part
			done += part
			if queue[0].work == 0 {
				heap.Pop(&queue)
			}
		}
		at += boundStep
	}
	return done
}

// bound returns an upper bound on the value of a schedule that knows all arrivals. Kinds
// gain work in the order of their worth per slot and time, which is the best for divisible
// work; what does not fit within the objectives counts as late as far as it fits at all.
func (rl *roomLoad) bound() float64 {
	var kinds []*roomKind
	for i := range rl.cfg.kinds {
		kinds = append(kinds, &rl.cfg.kinds[i])
	}
	density := func(ki *roomKind) float64 { return ki.worth / ki.work.Seconds() }
	slices.SortFunc(kinds, func(a, b *roomKind) int {
		if density(a) > density(b) {
			return -1
		}
		return 1
	})
	objective := func(ki *roomKind) time.Duration { return ki.objective }
	timeout := func(ki *roomKind) time.Duration { return ki.timeout }
	value, done := 0.0, time.Duration(0)
	lateRoom := rl.maxWork(timeout, kinds) - rl.maxWork(objective, kinds)
	for i, ki := range kinds {
		total := rl.maxWork(objective, kinds[:i+1])
		value += density(ki) * (total - done).Seconds()
		missing := -(total - done)
		for _, rc := range rl.offered {
			if rc.kind == ki {
				missing += ki.work
			}
		}
		late := min(max(0, missing), lateRoom)
		lateRoom -= late
		value += ki.lateWorth / ki.work.Seconds() * late.Seconds()
		done = total
	}
	return value
}
