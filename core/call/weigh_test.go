package call_test

import (
	"container/heap"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lynxfold/core/call"
	"lynxfold/core/contract"
	"lynxfold/core/datacentre"
	"lynxfold/core/host"
)

// weigh runs the comparisons of ways that the design notes quote.
var weigh = flag.Bool("weigh", false, "compare ways to retry and to choose")

// chain is a number of layers, each a service that calls the next one.
type chain struct {
	layers  []*layer
	failing bool
	leaf    int
	now     time.Time
	limit   int
}

// layer makes its calls with a retry policy.
type layer struct {
	retries int
	budget  call.Spender
	succeed func(now time.Time)
	markers bool
	number  uint64
}

func newChain(depth int, policy func() *layer) *chain {
	ch := &chain{
		now:   time.Unix(1_000_000, 0),
		limit: 2_000_000,
	}
	for range depth {
		ch.layers = append(ch.layers, policy())
	}
	return ch
}

// serve answers a request at a layer: the last one's upstream is the leaf.
func (ch *chain) serve(at int, mark string) (status int, gaveUp bool) {
	if at == len(ch.layers) {
		ch.leaf++
		if ch.failing {
			return 503, false
		}
		return 200, false
	}
	la := ch.layers[at]
	la.number++
	ca := call.New(call.Config{
		Issuer:       host.Issuer{Host: "node", Incarnation: 1},
		Number:       la.number,
		Terms:        contract.Terms{Idempotent: true, Retries: la.retries},
		Deadline:     ch.now.Add(time.Minute),
		Replayable:   true,
		UpperRetries: la.markers && call.UpperRetries(mark),
		Chooser:      hosts{"a", "b", "c", "d"},
		Budget:       la.budget,
		Jitter:       func() float64 { return 0 },
	})
	acts := ca.Step(call.Begin{}, ch.now)
	for ch.leaf < ch.limit {
		switch ac := acts[len(acts)-1].(type) {
		case call.Try:
			status, gaveUp := ch.serve(at+1, call.AttemptMark(mark, ac.Number))
			acts = ca.Step(call.AttemptEnded{
				Attempt: ac.Attempt,
				Result: call.Result{
					Outcome: call.OutcomeRan,
					Status:  status,
					GaveUp:  la.markers && gaveUp,
				},
			}, ch.now)
		case call.Answer:
			if ac.Result.Status == 200 {
				la.succeed(ch.now)
			}
			return ac.Result.Status, call.GaveUpMark(ac.Result) != ""
		}
	}
	return 503, true
}

// amplification is how many calls reach the leaf for each call at the top, over
// a time in which all fail after a time in which all were answered.
func (ch *chain) amplification(healthy, failing int) float64 {
	for range healthy {
		ch.now = ch.now.Add(time.Millisecond)
		ch.serve(0, "")
	}
	ch.failing = true
	ch.leaf = 0
	done := 0
	for ; done < failing && ch.leaf < ch.limit; done++ {
		ch.now = ch.now.Add(time.Millisecond)
		ch.serve(0, "")
	}
	return float64(ch.leaf) / float64(done)
}

// TestWeighRetries compares a fixed count of retries, a budget, and a budget with
// markers when the last service of a chain fails wholly.
func TestWeighRetries(t *testing.T) {
	if !*weigh {
		t.Skip("runs with -weigh")
	}
	fixed := func() *layer {
		return &layer{retries: 2, budget: unlimited{}, succeed: func(time.Time) {}}
	}
	budget := func(markers bool) func() *layer {
		return func() *layer {
			bu := call.NewBudget(call.BudgetConfig{PerSuccess: 0.1, PerSecond: 0.5, Ceiling: 20})
			return &layer{retries: 2, budget: bu, succeed: bu.Succeeded, markers: markers}
		}
	}
	fixedMarked := func() *layer {
		la := fixed()
		la.markers = true
		return la
	}
	for _, depth := range []int{1, 5, 19} {
		t.Logf("depth %2d: fixed count %.2f, fixed count with markers %.2f, budget %.3f, budget with markers %.3f", depth,
			newChain(depth, fixed).amplification(100, 10_000),
			newChain(depth, fixedMarked).amplification(100, 10_000),
			newChain(depth, budget(false)).amplification(1000, 10_000),
			newChain(depth, budget(true)).amplification(1000, 10_000))
	}
}

// TestAmplification bounds what a service that fails wholly gets from retries, at
// any depth of the chain above it, by the share that the budget allows.
func TestAmplification(t *testing.T) {
	const share = 0.1
	policy := func() *layer {
		bu := call.NewBudget(call.BudgetConfig{PerSuccess: share, PerSecond: 0.5, Ceiling: 20})
		return &layer{retries: 2, budget: bu, succeed: bu.Succeeded, markers: true}
	}
	for _, depth := range []int{1, 5, 19} {
		got := newChain(depth, policy).amplification(200, 1000)
		assert.Assert(t, got >= 1 && got <= 1+share, "depth %d: %.3f", depth, got)
	}
	unbounded := func() *layer { return &layer{retries: 2, budget: unlimited{}, succeed: func(time.Time) {}} }
	got := newChain(5, unbounded).amplification(10, 100)
	assert.Assert(t, got > 1+share, "without budget and markers: %.3f", got)
}

// picker is a way to choose among the upstreams.
type picker interface {
	pick(all []datacentre.Upstream, now time.Time) datacentre.Upstream
	ended(up datacentre.Upstream, latency time.Duration, load uint32, now time.Time)
}

// roundRobin takes one after another.
type roundRobin struct {
	next int
}

func (rr *roundRobin) pick(all []datacentre.Upstream, _ time.Time) datacentre.Upstream {
	rr.next++
	return all[rr.next%len(all)]
}

func (rr *roundRobin) ended(datacentre.Upstream, time.Duration, uint32, time.Time) {}

// leastLoaded takes the one with the fewest outstanding of its own node.
type leastLoaded struct {
	outstanding map[host.ID]int
	rnd         *rand.Rand
}

func (ll *leastLoaded) pick(all []datacentre.Upstream, _ time.Time) datacentre.Upstream {
	from := ll.rnd.IntN(len(all))
	best := all[from]
	for i := range all {
		if up := all[(from+i)%len(all)]; ll.outstanding[up.Host] < ll.outstanding[best.Host] {
			best = up
		}
	}
	ll.outstanding[best.Host]++
	return best
}

func (ll *leastLoaded) ended(up datacentre.Upstream, _ time.Duration, _ uint32, _ time.Time) {
	ll.outstanding[up.Host]--
}

// reportedLoad takes the lowest load that the upstreams last published, as a
// load page does; the page is as old as its period.
type reportedLoad struct {
	loads  map[host.ID]uint32
	latest map[host.ID]uint32
	at     time.Time
	period time.Duration
}

func (rl *reportedLoad) pick(all []datacentre.Upstream, now time.Time) datacentre.Upstream {
	if now.Sub(rl.at) > rl.period {
		rl.at = now
		for id, load := range rl.latest {
			rl.loads[id] = load
		}
	}
	best := all[0]
	for _, up := range all {
		if rl.loads[up.Host] < rl.loads[best.Host] {
			best = up
		}
	}
	return best
}

func (rl *reportedLoad) ended(up datacentre.Upstream, _ time.Duration, load uint32, _ time.Time) {
	rl.latest[up.Host] = load
}

// chosen is the product's chooser.
type chosen struct {
	chooser *call.Chooser
}

func (cn chosen) pick(all []datacentre.Upstream, now time.Time) datacentre.Upstream {
	up, _ := cn.chooser.Pick(service, all, nil, now)
	cn.chooser.Started(up)
	return up
}

func (cn chosen) ended(up datacentre.Upstream, latency time.Duration, load uint32, now time.Time) {
	cn.chooser.Ended(up, ok(latency, load), now)
}

// server is an upstream with slots, a queue and a service time.
type server struct {
	slots   int
	busy    int
	queue   []*request
	service time.Duration
	served  int
}

// request is one call of a node.
type request struct {
	begun time.Time
	node  picker
	up    datacentre.Upstream
	at    *server
	// counted is false while the nodes know nothing yet.
	counted bool
}

// happening is an arrival or the end of a request.
type happening struct {
	at  time.Time
	run func()
}

type happenings []happening

func (ha happenings) Len() int           { return len(ha) }
func (ha happenings) Less(i, j int) bool { return ha[i].at.Before(ha[j].at) }
func (ha happenings) Swap(i, j int)      { ha[i], ha[j] = ha[j], ha[i] }
func (ha *happenings) Push(it any)       { *ha = append(*ha, it.(happening)) }
func (ha *happenings) Pop() any {
	old := *ha
	it := old[len(old)-1]
	*ha = old[:len(old)-1]
	return it
}

// race sends calls at a rate from some nodes to six upstreams of 20 slots, the
// first of them slow, and returns the latencies and the slow one's share.
func race(utilisation float64, slow time.Duration, nodes []picker) ([]time.Duration, float64) {
	const calls, slots = 600_000, 20
	rnd := rand.New(rand.NewPCG(3, 4))
	quick := 2 * time.Millisecond
	var all []datacentre.Upstream
	servers := map[host.ID]*server{}
	capacity := 0.0
	for i := range 6 {
		up := datacentre.Upstream{
			Host:        host.ID(fmt.Sprint("up-", i)),
			DataCentre:  local,
			Incarnation: 1,
			Service:     service,
			Slots:       slots,
		}
		se := &server{slots: slots, service: quick}
		if i == 0 {
			se.service = slow
		}
		capacity += float64(slots) / se.service.Seconds()
		servers[up.Host] = se
		all = append(all, up)
	}
	gap := 1 / (capacity * utilisation)
	now := time.Unix(1_000_000, 0)
	var queue happenings
	var latencies []time.Duration
	var start func(rq *request)
	finish := func(rq *request) {
		se := rq.at
		se.busy--
		se.served++
		if rq.counted {
			latencies = append(latencies, now.Sub(rq.begun))
		}
		load := uint32(1000 * (se.busy + len(se.queue)) / se.slots)
		rq.node.ended(rq.up, now.Sub(rq.begun), load, now)
		if len(se.queue) > 0 {
			next := se.queue[0]
			se.queue = se.queue[1:]
			start(next)
		}
	}
	start = func(rq *request) {
		rq.at.busy++
		took := time.Duration(float64(rq.at.service) * (0.5 + rnd.ExpFloat64()/2))
		heap.Push(&queue, happening{at: now.Add(took), run: func() { finish(rq) }})
	}
	var arrive func()
	sent := 0
	arrive = func() {
		node := nodes[rnd.IntN(len(nodes))]
		up := node.pick(all, now)
		rq := &request{begun: now, node: node, up: up, at: servers[up.Host], counted: sent > calls/50}
		if rq.at.busy < rq.at.slots {
			start(rq)
		} else {
			rq.at.queue = append(rq.at.queue, rq)
		}
		if sent++; sent < calls {
			next := time.Duration(rnd.ExpFloat64() * gap * float64(time.Second))
			heap.Push(&queue, happening{at: now.Add(next), run: arrive})
		}
	}
	heap.Push(&queue, happening{at: now, run: arrive})
	for queue.Len() > 0 {
		it := heap.Pop(&queue).(happening)
		now = it.at
		it.run()
	}
	slices.Sort(latencies)
	return latencies, float64(servers["up-0"].served) / calls
}

// TestWeighChoice compares ways to choose with one slow upstream of six.
func TestWeighChoice(t *testing.T) {
	if !*weigh {
		t.Skip("runs with -weigh")
	}
	ways := []struct {
		name string
		make func(seed uint64) picker
	}{
		{name: "round robin", make: func(uint64) picker { return &roundRobin{} }},
		{name: "least outstanding", make: func(seed uint64) picker {
			return &leastLoaded{outstanding: map[host.ID]int{}, rnd: rand.New(rand.NewPCG(seed, 1))}
		}},
		{name: "load page, 1 s old", make: func(uint64) picker {
			return &reportedLoad{loads: map[host.ID]uint32{}, latest: map[host.ID]uint32{}, period: time.Second}
		}},
		{name: "two choices", make: func(seed uint64) picker {
			return chosen{chooser: call.NewChooser(call.ChooserConfig{
				DataCentre: local,
				Rand:       rand.New(rand.NewPCG(seed, 1)),
			})}
		}},
	}
	for _, utilisation := range []float64{0.1, 0.5, 0.9} {
		for _, way := range ways {
			var nodes []picker
			for i := range uint64(12) {
				nodes = append(nodes, way.make(i))
			}
			la, share := race(utilisation, 20*time.Millisecond, nodes)
			at := func(q float64) time.Duration {
				return la[int(q*float64(len(la)-1))].Round(100 * time.Microsecond)
			}
			t.Logf("utilisation %.1f %-18s p50 %-7s p99 %-7s p99.9 %-7s slow one's share %.3f",
				utilisation, way.name, at(0.5), at(0.99), at(0.999), share)
		}
	}
}
