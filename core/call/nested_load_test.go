package call_test

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lynxfold/core/call"
	"lynxfold/core/contract"
	"lynxfold/core/host"
)

// Load of the simulation: lists are less urgent than orders, and call the service of the
// orders while they run.
const (
	listsPerSecond  = 160
	ordersPerSecond = 50
	listWork        = 220 * time.Millisecond
	orderWork       = 340 * time.Millisecond
	checkWork       = 60 * time.Millisecond
	checksPerList   = 2
	listRank        = 2
	orderRank       = 1
	playedSeconds   = 40
	// warmUp is not counted.
	warmUp = 5 * time.Second
	// maxGap is by how much less often a more urgent kind may be served.
	maxGap = 0.05
)

// playedCall is one attempt in the simulation.
type playedCall struct {
	attempt host.Attempt
	gate    *host.Gate
	work    time.Duration
	// ended is called with the result.
	ended func(re call.Result)
	// started is called when the upstream begins to work on it; it may be nil.
	started func()
}

// nestedLoad plays two services in virtual time, one of which calls the other.
type nestedLoad struct {
	now           time.Time
	start         time.Time
	rnd           *rand.Rand
	timers        eventQueue
	lists, orders *host.Gate
	meter         *call.ShortageMeter
	calls         map[host.AttemptID]*playedCall
	sent          uint64
	// reports says that the gate of the lists is told of the shortages.
	reports bool
	// offered and served count the calls by kind, after the warm-up.
	offered, served map[host.Kind]int
	wasted          int
}

func newNestedLoad(listSlots, orderSlots host.Slots, reports bool) *nestedLoad {
	nl := &nestedLoad{
		now:     time.Unix(1_000_000, 0),
		rnd:     rand.New(rand.NewPCG(7, 8)),
		meter:   call.NewShortageMeter(),
		calls:   map[host.AttemptID]*playedCall{},
		reports: reports,
		offered: map[host.Kind]int{},
		served:  map[host.Kind]int{},
	}
	nl.start = nl.now
	nl.lists = nl.newGate("lists", listSlots)
	nl.orders = nl.newGate("orders", orderSlots)
	return nl
}

func (nl *nestedLoad) newGate(sv contract.ServiceName, slots host.Slots) *host.Gate {
	ga := host.NewGate(host.Config{
		QueuePerSlot:      2,
		DefaultRetryAfter: time.Second,
	})
	ga.Step(host.Announced{
		Announcement: host.Announcement{
			Service: sv,
			Slots:   slots,
		},
		ExpiresAt: nl.now.Add(time.Hour),
	}, nl.now)
	return ga
}

func (nl *nestedLoad) after(delay time.Duration, run func()) {
	heap.Push(&nl.timers, timedEvent{at: nl.now.Add(delay), run: run})
}

func (nl *nestedLoad) step(ga *host.Gate, ev host.Event) {
	for _, ac := range slices.Clone(ga.Step(ev, nl.now)) {
		switch ac := ac.(type) {
		case host.Dispatch:
			nl.serve(nl.calls[ac.ID])
		case host.Refuse:
			nl.finish(ac.ID, call.Result{Outcome: call.OutcomeNotRun, Reason: ac.Reason})
		}
	}
}

func (nl *nestedLoad) serve(pc *playedCall) {
	if pc.started != nil {
		pc.started()
		return
	}
	nl.after(nl.spread(pc.work), func() { nl.complete(pc, 200) })
}

// spread returns a service time with a given mean.
func (nl *nestedLoad) spread(mean time.Duration) time.Duration {
	return time.Duration(float64(mean) * (0.5 + nl.rnd.ExpFloat64()/2))
}

// complete ends an attempt that ran with a status.
func (nl *nestedLoad) complete(pc *playedCall, status int) {
	id := pc.attempt.ID
	nl.step(pc.gate, host.Ended{ID: id, Outcome: host.OutcomeRan})
	nl.finish(id, call.Result{Outcome: call.OutcomeRan, Status: status})
}

func (nl *nestedLoad) finish(id host.AttemptID, re call.Result) {
	pc := nl.calls[id]
	delete(nl.calls, id)
	nl.meter.Record(pc.attempt.Service, pc.attempt.Rank, pc.attempt.Nested, re, nl.now)
	pc.ended(re)
}

func (nl *nestedLoad) send(pc *playedCall) {
	nl.sent++
	pc.attempt.ID = host.Origin{
		Issuer: host.Issuer{Host: "ingress", Incarnation: 1},
		Call:   nl.sent,
		Try:    1,
	}.ID()
	pc.attempt.Service = pc.gate.Service()
	nl.calls[pc.attempt.ID] = pc
	nl.step(pc.gate, host.Arrived{Attempt: pc.attempt})
}

// count records whether a call of a kind was served.
func (nl *nestedLoad) count(ki host.Kind, served bool) {
	if nl.now.Before(nl.start.Add(warmUp)) {
		return
	}
	nl.offered[ki]++
	if served {
		nl.served[ki]++
	}
}

func (nl *nestedLoad) sendOrder() {
	nl.send(&playedCall{
		gate: nl.orders,
		work: orderWork,
		attempt: host.Attempt{
			Kind:      "order",
			Rank:      orderRank,
			Objective: nl.now.Add(800 * time.Millisecond),
			Deadline:  nl.now.Add(2500 * time.Millisecond),
		},
		ended: func(re call.Result) { nl.count("order", re.Outcome == call.OutcomeRan) },
	})
}

// sendList sends a list, which runs for its work and then until its nested calls end.
func (nl *nestedLoad) sendList() {
	pc := &playedCall{
		gate: nl.lists,
		attempt: host.Attempt{
			Request:   host.RequestID("list-" + time.Duration(nl.sent).String()),
			Kind:      "list",
			Rank:      listRank,
			Objective: nl.now.Add(600 * time.Millisecond),
			Deadline:  nl.now.Add(2 * time.Second),
		},
		ended: func(re call.Result) {
			nl.count("list", re.Outcome == call.OutcomeRan && re.Status == 200)
			if re.Status == 500 {
				nl.wasted++
			}
		},
	}
	pc.started = func() {
		nl.after(nl.spread(listWork), func() {
			left, failed := checksPerList, false
			for range checksPerList {
				nl.sendCheck(pc.attempt.Request, func(re call.Result) {
					left--
					failed = failed || re.Outcome != call.OutcomeRan
					switch {
					case left > 0:
					case failed:
						nl.complete(pc, 500)
					default:
						nl.complete(pc, 200)
					}
				})
			}
		})
	}
	nl.send(pc)
}

func (nl *nestedLoad) sendCheck(parent host.RequestID, ended func(re call.Result)) {
	if nl.reports {
		nl.step(nl.lists, host.NestedCalled{
			Parent:          parent,
			Service:         "orders",
			Shortages:       nl.meter.Shortages("orders", nl.now),
			ParentShortages: nl.meter.Shortages("lists", nl.now),
		})
	}
	nl.send(&playedCall{
		gate: nl.orders,
		work: checkWork,
		attempt: host.Attempt{
			Kind:     "check",
			Rank:     orderRank,
			Nested:   true,
			Deadline: nl.now.Add(600 * time.Millisecond),
		},
		ended: ended,
	})
}

// play plays the load and returns the share of the lists and of the orders served.
func (nl *nestedLoad) play() (lists, orders float64) {
	nl.arrive(listsPerSecond, nl.sendList)
	nl.arrive(ordersPerSecond, nl.sendOrder)
	for end := nl.start.Add(playedSeconds * time.Second); nl.timers[0].at.Before(end); {
		ti := heap.Pop(&nl.timers).(timedEvent)
		nl.now = ti.at
		ti.run()
		nl.step(nl.orders, host.Tick{})
		nl.step(nl.lists, host.Tick{})
	}
	share := func(ki host.Kind) float64 { return float64(nl.served[ki]) / float64(nl.offered[ki]) }
	return share("list"), share("order")
}

// arrive calls send at random times, at a rate per second.
func (nl *nestedLoad) arrive(perSecond float64, send func()) {
	nl.after(time.Duration(nl.rnd.ExpFloat64()/perSecond*float64(time.Second)), func() {
		nl.arrive(perSecond, send)
		send()
	})
}

// TestMoreUrgentCallsServedAsOften plays lists whose nested calls take the slots of the
// more urgent orders, at several capacities of the orders' service.
func TestMoreUrgentCallsServedAsOften(t *testing.T) {
	for _, slots := range []host.Slots{16, 24, 30} {
		lists, orders := newNestedLoad(60, slots, true).play()
		oldLists, oldOrders := newNestedLoad(60, slots, false).play()
		t.Logf("%d slots: lists %.2f, orders %.2f; without shedding: lists %.2f, orders %.2f",
			slots, lists, orders, oldLists, oldOrders)
		assert.Assert(t, orders >= lists-maxGap)
		assert.Assert(t, oldOrders < oldLists-maxGap, "the load doesn't show the fault")
	}
}

// TestNoSheddingWithoutShortage plays the same load with enough slots for all.
func TestNoSheddingWithoutShortage(t *testing.T) {
	nl := newNestedLoad(70, 60, true)
	lists, orders := nl.play()
	assert.Assert(t, lists > 0.99 && orders > 0.99, "lists %.3f, orders %.3f", lists, orders)
}
