package host_test

import (
	"container/heap"
	"flag"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"lynxfold/core/contract"
	"lynxfold/core/host"
)

// weigh runs the comparisons of ways that the design notes quote.
var weigh = flag.Bool("weigh", false, "compare ways to queue")

// load is what callers send to one gate.
type load struct {
	// factor is the rate as a multiple of what the slots can serve.
	factor float64
	// bulk is the share of long transfers.
	bulk float64
	// blind hides the class from the gate.
	blind bool
	queue int
	// patience is the time from arrival to deadline.
	patience time.Duration
}

const (
	weighSlots  = 20
	lookupTime  = 2 * time.Millisecond
	bulkTime    = 200 * time.Millisecond
	weighCalls  = 100_000
	bulkTimeout = 10 * time.Second
)

// timer is an arrival or the end of a service.
type timer struct {
	at  time.Time
	run func()
}

type timers []timer

func (ts timers) Len() int           { return len(ts) }
func (ts timers) Less(i, j int) bool { return ts[i].at.Before(ts[j].at) }
func (ts timers) Swap(i, j int)      { ts[i], ts[j] = ts[j], ts[i] }
func (ts *timers) Push(it any)       { *ts = append(*ts, it.(timer)) }
func (ts *timers) Pop() any {
	old := *ts
	it := old[len(old)-1]
	*ts = old[:len(old)-1]
	return it
}

// crowd drives a gate with a load.
type crowd struct {
	load     load
	gate     *host.Gate
	now      time.Time
	rnd      *rand.Rand
	timers   timers
	begun    map[host.AttemptID]host.Attempt
	arrived  map[host.AttemptID]time.Time
	good     int
	late     int
	lookups  []time.Duration
	bulkDone int
	sent     uint64
}

func newCrowd(lo load) *crowd {
	cr := &crowd{
		load:    lo,
		gate:    host.NewGate(host.Config{Incarnation: incarnation, QueuePerSlot: lo.queue}),
		now:     time.Unix(1_000_000, 0),
		rnd:     rand.New(rand.NewPCG(5, 6)),
		begun:   map[host.AttemptID]host.Attempt{},
		arrived: map[host.AttemptID]time.Time{},
	}
	cr.step(host.Announced{
		Announcement: host.Announcement{Service: "booking", Slots: weighSlots},
		Lapse:        cr.now.Add(time.Hour),
	})
	return cr
}

func (cr *crowd) later(after time.Duration, run func()) {
	heap.Push(&cr.timers, timer{at: cr.now.Add(after), run: run})
}

func (cr *crowd) step(ev host.Event) {
	for _, ac := range slices.Clone(cr.gate.Step(ev, cr.now)) {
		if di, ok := ac.(host.Dispatch); ok {
			cr.serve(di.ID)
		}
	}
}

// serve runs an attempt at the upstream. One past its deadline ends all the same:
// the upstream does not look at deadlines here.
func (cr *crowd) serve(id host.AttemptID) {
	mean := lookupTime
	if cr.isBulk(id) {
		mean = bulkTime
	}
	took := time.Duration(float64(mean) * (0.5 + cr.rnd.ExpFloat64()/2))
	cr.later(took, func() {
		cr.count(id)
		cr.step(host.Ended{ID: id, Outcome: host.OutcomeRan})
	})
}

func (cr *crowd) isBulk(id host.AttemptID) bool {
	return cr.begun[id].Deadline.Sub(cr.arrived[id]) == bulkTimeout
}

func (cr *crowd) count(id host.AttemptID) {
	if cr.isBulk(id) {
		cr.bulkDone++
		return
	}
	if cr.now.After(cr.begun[id].Deadline) {
		cr.late++
		return
	}
	cr.good++
	cr.lookups = append(cr.lookups, cr.now.Sub(cr.arrived[id]))
}

func (cr *crowd) arrive() {
	cr.sent++
	id := host.Origin{
		Issuer:     host.Issuer{Host: "a", Incarnation: 1},
		Call:       cr.sent,
		Try:        1,
		Idempotent: true,
	}.ID()
	at := host.Attempt{
		ID:          id,
		Incarnation: incarnation,
		Service:     "booking",
		Class:       contract.ClassLookup,
		Deadline:    cr.now.Add(cr.load.patience),
	}
	if cr.rnd.Float64() < cr.load.bulk {
		at.Deadline = cr.now.Add(bulkTimeout)
		if !cr.load.blind {
			at.Class = contract.ClassBulk
		}
	}
	cr.begun[id] = at
	cr.arrived[id] = cr.now
	cr.step(host.Arrived{Attempt: at})
	mean := lookupTime.Seconds()*(1-cr.load.bulk) + bulkTime.Seconds()*cr.load.bulk
	gap := mean / weighSlots / cr.load.factor
	if cr.sent < weighCalls {
		cr.later(time.Duration(cr.rnd.ExpFloat64()*gap*float64(time.Second)), cr.arrive)
	}
}

// run returns the goodput in lookups as a share of what the slots can serve.
func (cr *crowd) run() float64 {
	begun := cr.now
	cr.later(0, cr.arrive)
	for cr.timers.Len() > 0 {
		it := heap.Pop(&cr.timers).(timer)
		cr.now = it.at
		it.run()
	}
	slices.Sort(cr.lookups)
	return float64(cr.good) * lookupTime.Seconds() / weighSlots / cr.now.Sub(begun).Seconds()
}

func (cr *crowd) at(share float64) time.Duration {
	return cr.lookups[int(share*float64(len(cr.lookups)-1))].Round(100 * time.Microsecond)
}

// TestWeighQueue compares lengths of the queue under overload, and one queue for
// all with a queue for each class.
func TestWeighQueue(t *testing.T) {
	if !*weigh {
		t.Skip("runs with -weigh")
	}
	for _, factor := range []float64{0.9, 1.5, 3} {
		for _, queue := range []int{0, 1, 4, 16, 1000} {
			cr := newCrowd(load{
				factor:   factor,
				queue:    queue,
				patience: 50 * time.Millisecond,
			})
			goodput := cr.run()
			t.Logf("load %.1f, queue of %4d a slot: goodput %.2f, late %d, p50 %s, p99 %s", factor, queue, goodput,
				cr.late, cr.at(0.5), cr.at(0.99))
		}
	}
	for _, bulk := range []float64{0.002, 0.02, 0.2} {
		for _, blind := range []bool{true, false} {
			cr := newCrowd(load{
				factor:   0.9,
				bulk:     bulk,
				blind:    blind,
				queue:    4,
				patience: time.Second,
			})
			cr.run()
			t.Logf("load 0.9, %.3f transfers, classes known %t: lookups p50 %s, p99 %s, %d done, %d transfers done",
				bulk, !blind, cr.at(0.5), cr.at(0.99), cr.good, cr.bulkDone)
		}
	}
}
