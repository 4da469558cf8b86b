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

// compareQueues enables the comparison of queue designs that the design notes quote.
var compareQueues = flag.Bool("weigh", false, "compare queue designs")

// load describes the traffic that callers send to one gate.
type load struct {
	// factor is the arrival rate as a multiple of the service capacity.
	factor float64
	// bulk is the share of bulk attempts.
	bulk float64
	// classHidden marks every attempt as a lookup for the gate.
	classHidden  bool
	queuePerSlot int
	// timeout is the time from the arrival of a lookup to its deadline.
	timeout time.Duration
}

const (
	simSlots    = 20
	lookupTime  = 2 * time.Millisecond
	bulkTime    = 200 * time.Millisecond
	simCalls    = 100_000
	bulkTimeout = 10 * time.Second
)

// timer is a scheduled arrival or end of service.
type timer struct {
	at  time.Time
	run func()
}

type timerHeap []timer

func (th timerHeap) Len() int           { return len(th) }
func (th timerHeap) Less(i, j int) bool { return th[i].at.Before(th[j].at) }
func (th timerHeap) Swap(i, j int)      { th[i], th[j] = th[j], th[i] }
func (th *timerHeap) Push(it any)       { *th = append(*th, it.(timer)) }
func (th *timerHeap) Pop() any {
	old := *th
	it := old[len(old)-1]
	*th = old[:len(old)-1]
	return it
}

// simulation drives a gate with a load in virtual time.
type simulation struct {
	load      load
	gate      *host.Gate
	now       time.Time
	rnd       *rand.Rand
	timers    timerHeap
	attempts  map[host.AttemptID]host.Attempt
	arrived   map[host.AttemptID]time.Time
	inTime    int
	late      int
	latencies []time.Duration
	bulkDone  int
	sent      uint64
}

func newSimulation(lo load) *simulation {
	sim := &simulation{
		load:     lo,
		gate:     host.NewGate(host.Config{Incarnation: incarnation, QueuePerSlot: lo.queuePerSlot}),
		now:      time.Unix(1_000_000, 0),
		rnd:      rand.New(rand.NewPCG(5, 6)),
		attempts: map[host.AttemptID]host.Attempt{},
		arrived:  map[host.AttemptID]time.Time{},
	}
	sim.step(host.Announced{
		Announcement: host.Announcement{Service: "booking", Slots: simSlots},
		ExpiresAt:    sim.now.Add(time.Hour),
	})
	return sim
}

func (sim *simulation) schedule(after time.Duration, run func()) {
	heap.Push(&sim.timers, timer{at: sim.now.Add(after), run: run})
}

func (sim *simulation) step(ev host.Event) {
	for _, ac := range slices.Clone(sim.gate.Step(ev, sim.now)) {
		if di, ok := ac.(host.Dispatch); ok {
			sim.serve(di.ID)
		}
	}
}

// serve runs an attempt at the upstream. The upstream ignores deadlines, so that an
// attempt past its deadline ends normally.
func (sim *simulation) serve(id host.AttemptID) {
	mean := lookupTime
	if sim.isBulk(id) {
		mean = bulkTime
	}
	took := time.Duration(float64(mean) * (0.5 + sim.rnd.ExpFloat64()/2))
	sim.schedule(took, func() {
		sim.recordEnd(id)
		sim.step(host.Ended{ID: id, Outcome: host.OutcomeRan})
	})
}

func (sim *simulation) isBulk(id host.AttemptID) bool {
	return sim.attempts[id].Deadline.Sub(sim.arrived[id]) == bulkTimeout
}

func (sim *simulation) recordEnd(id host.AttemptID) {
	if sim.isBulk(id) {
		sim.bulkDone++
		return
	}
	if sim.now.After(sim.attempts[id].Deadline) {
		sim.late++
		return
	}
	sim.inTime++
	sim.latencies = append(sim.latencies, sim.now.Sub(sim.arrived[id]))
}

func (sim *simulation) arrive() {
	sim.sent++
	id := host.Origin{
		Issuer:     host.Issuer{Host: "a", Incarnation: 1},
		Call:       sim.sent,
		Try:        1,
		Idempotent: true,
	}.ID()
	at := host.Attempt{
		ID:          id,
		Incarnation: incarnation,
		Service:     "booking",
		Class:       contract.ClassLookup,
		Deadline:    sim.now.Add(sim.load.timeout),
	}
	if sim.rnd.Float64() < sim.load.bulk {
		at.Deadline = sim.now.Add(bulkTimeout)
		if !sim.load.classHidden {
			at.Class = contract.ClassBulk
		}
	}
	sim.attempts[id] = at
	sim.arrived[id] = sim.now
	sim.step(host.Arrived{Attempt: at})
	mean := lookupTime.Seconds()*(1-sim.load.bulk) + bulkTime.Seconds()*sim.load.bulk
	gap := mean / simSlots / sim.load.factor
	if sim.sent < simCalls {
		sim.schedule(time.Duration(sim.rnd.ExpFloat64()*gap*float64(time.Second)), sim.arrive)
	}
}

// run returns the goodput in lookups as a share of the service capacity.
func (sim *simulation) run() float64 {
	start := sim.now
	sim.schedule(0, sim.arrive)
	for sim.timers.Len() > 0 {
		it := heap.Pop(&sim.timers).(timer)
		sim.now = it.at
		it.run()
	}
	slices.Sort(sim.latencies)
	return float64(sim.inTime) * lookupTime.Seconds() / simSlots / sim.now.Sub(start).Seconds()
}

func (sim *simulation) percentile(share float64) time.Duration {
	return sim.latencies[int(share*float64(len(sim.latencies)-1))].Round(100 * time.Microsecond)
}

// TestCompareQueues compares queue lengths under overload, and a single queue with one
// queue per class.
func TestCompareQueues(t *testing.T) {
	if !*compareQueues {
		t.Skip("runs with -weigh")
	}
	for _, factor := range []float64{0.9, 1.5, 3} {
		for _, queuePerSlot := range []int{0, 1, 4, 16, 1000} {
			sim := newSimulation(load{
				factor:       factor,
				queuePerSlot: queuePerSlot,
				timeout:      50 * time.Millisecond,
			})
			goodput := sim.run()
			t.Logf("load %.1f, queue of %4d per slot: goodput %.2f, late %d, p50 %s, p99 %s", factor, queuePerSlot, goodput,
				sim.late, sim.percentile(0.5), sim.percentile(0.99))
		}
	}
	for _, bulk := range []float64{0.002, 0.02, 0.2} {
		for _, classHidden := range []bool{true, false} {
			sim := newSimulation(load{
				factor:       0.9,
				bulk:         bulk,
				classHidden:  classHidden,
				queuePerSlot: 4,
				timeout:      time.Second,
			})
			sim.run()
			t.Logf("load 0.9, %.3f bulk, classes known %t: lookups p50 %s, p99 %s, %d done, %d bulk done",
				bulk, !classHidden, sim.percentile(0.5), sim.percentile(0.99), sim.inTime, sim.bulkDone)
		}
	}
}
