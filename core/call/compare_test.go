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

// compare enables the tests that print the comparisons quoted in the design
// documents.
var compare = flag.Bool("weigh", false, "compare retry policies and load balancing strategies")

// serviceChain is a chain of services, each of which calls the next one.
type serviceChain struct {
	layers    []*layer
	failing   bool
	leafCalls int
	now       time.Time
	limit     int
}

// layer is a service of the chain with its retry policy. It counts its calls in
// number, and uses the retry headers if headers is set.
type layer struct {
	retries int
	budget  call.Spender
	succeed func(now time.Time)
	headers bool
	number  uint64
}

func newChain(depth int, policy func() *layer) *serviceChain {
	sc := &serviceChain{
		now:   time.Unix(1_000_000, 0),
		limit: 2_000_000,
	}
	for range depth {
		sc.layers = append(sc.layers, policy())
	}
	return sc
}

// serve handles a request at a layer. The upstream of the last layer is the leaf.
func (sc *serviceChain) serve(at int, attemptHeader string) (status int, gaveUp bool) {
	if at == len(sc.layers) {
		sc.leafCalls++
		if sc.failing {
			return 503, false
		}
		return 200, false
	}
	la := sc.layers[at]
	la.number++
	ca := call.New(call.Config{
		Issuer:            host.Issuer{Host: "node", Incarnation: 1},
		Number:            la.number,
		Terms:             contract.Terms{Idempotent: true, Retries: la.retries},
		Deadline:          sc.now.Add(time.Minute),
		Replayable:        true,
		UpperLayerRetries: la.headers && call.UpperLayerRetries(attemptHeader),
		Picker:            listPicker{"a", "b", "c", "d"},
		RetryBudget:       la.budget,
		Jitter:            func() float64 { return 0 },
	})
	acts := ca.Step(call.Begin{}, sc.now)
	for sc.leafCalls < sc.limit {
		switch ac := acts[len(acts)-1].(type) {
		case call.SendAttempt:
			status, gaveUp := sc.serve(at+1, call.AttemptHeaderValue(attemptHeader, ac.Number))
			acts = ca.Step(call.AttemptEnded{
				Attempt: ac.Attempt,
				Result: call.Result{
					Outcome: call.OutcomeRan,
					Status:  status,
					GaveUp:  la.headers && gaveUp,
				},
			}, sc.now)
		case call.Respond:
			if ac.Result.Status == 200 {
				la.succeed(sc.now)
			}
			return ac.Result.Status, call.GaveUpHeaderValue(ac.Result) != ""
		}
	}
	return 503, true
}

// amplification returns the calls that reach the leaf for each call at the top
// while the leaf fails, after a number of successful calls. The failing calls end
// early if the leaf gets more than the limit.
func (sc *serviceChain) amplification(healthy, failing int) float64 {
	for range healthy {
		sc.now = sc.now.Add(time.Millisecond)
		sc.serve(0, "")
	}
	sc.failing = true
	sc.leafCalls = 0
	done := 0
	for ; done < failing && sc.leafCalls < sc.limit; done++ {
		sc.now = sc.now.Add(time.Millisecond)
		sc.serve(0, "")
	}
	return float64(sc.leafCalls) / float64(done)
}

// TestCompareRetryPolicies compares the retry amplification of a fixed number of
// retries and of a budget, with and without retry headers, when all calls at the end
// of a chain fail.
func TestCompareRetryPolicies(t *testing.T) {
	if !*compare {
		t.Skip("runs with -weigh")
	}
	fixed := func() *layer {
		return &layer{retries: 2, budget: unlimitedBudget{}, succeed: func(time.Time) {}}
	}
	budget := func(headers bool) func() *layer {
		return func() *layer {
			bu := call.NewBudget(call.BudgetConfig{PerSuccess: 0.1, PerSecond: 0.5, Burst: 20})
			return &layer{retries: 2, budget: bu, succeed: bu.RecordSuccess, headers: headers}
		}
	}
	fixedWithHeaders := func() *layer {
		la := fixed()
		la.headers = true
		return la
	}
	for _, depth := range []int{1, 5, 19} {
		t.Logf("depth %2d: fixed count %.2f, fixed count with headers %.2f, budget %.3f, budget with headers %.3f", depth,
			newChain(depth, fixed).amplification(100, 10_000),
			newChain(depth, fixedWithHeaders).amplification(100, 10_000),
			newChain(depth, budget(false)).amplification(1000, 10_000),
			newChain(depth, budget(true)).amplification(1000, 10_000))
	}
}

// TestAmplification checks that the retries that reach a failing service stay within
// the share that the budget allows, however deep the chain above it.
func TestAmplification(t *testing.T) {
	const share = 0.1
	policy := func() *layer {
		bu := call.NewBudget(call.BudgetConfig{PerSuccess: share, PerSecond: 0.5, Burst: 20})
		return &layer{retries: 2, budget: bu, succeed: bu.RecordSuccess, headers: true}
	}
	for _, depth := range []int{1, 5, 19} {
		got := newChain(depth, policy).amplification(200, 1000)
		assert.Assert(t, got >= 1 && got <= 1+share, "depth %d: %.3f", depth, got)
	}
	unbounded := func() *layer { return &layer{retries: 2, budget: unlimitedBudget{}, succeed: func(time.Time) {}} }
	got := newChain(5, unbounded).amplification(10, 100)
	assert.Assert(t, got > 1+share, "without budget and headers: %.3f", got)
}

// strategy is a load balancing strategy.
type strategy interface {
	pick(all []datacentre.Upstream, now time.Time) datacentre.Upstream
	ended(up datacentre.Upstream, latency time.Duration, load uint32, now time.Time)
}

// roundRobinStrategy picks the upstreams in turn.
type roundRobinStrategy struct {
	next int
}

func (rr *roundRobinStrategy) pick(all []datacentre.Upstream, _ time.Time) datacentre.Upstream {
	rr.next++
	return all[rr.next%len(all)]
}

func (rr *roundRobinStrategy) ended(datacentre.Upstream, time.Duration, uint32, time.Time) {}

// leastOutstandingStrategy picks the upstream with the fewest outstanding calls of
// the own node.
type leastOutstandingStrategy struct {
	outstanding map[host.ID]int
	rnd         *rand.Rand
}

func (lo *leastOutstandingStrategy) pick(all []datacentre.Upstream, _ time.Time) datacentre.Upstream {
	from := lo.rnd.IntN(len(all))
	best := all[from]
	for i := range all {
		if up := all[(from+i)%len(all)]; lo.outstanding[up.Host] < lo.outstanding[best.Host] {
			best = up
		}
	}
	lo.outstanding[best.Host]++
	return best
}

func (lo *leastOutstandingStrategy) ended(up datacentre.Upstream, _ time.Duration, _ uint32, _ time.Time) {
	lo.outstanding[up.Host]--
}

// reportedLoadStrategy picks the upstream with the lowest published load. The loads
// are published once in each period.
type reportedLoadStrategy struct {
	loads  map[host.ID]uint32
	latest map[host.ID]uint32
	at     time.Time
	period time.Duration
}

func (rp *reportedLoadStrategy) pick(all []datacentre.Upstream, now time.Time) datacentre.Upstream {
	if now.Sub(rp.at) > rp.period {
		rp.at = now
		for id, load := range rp.latest {
			rp.loads[id] = load
		}
	}
	best := all[0]
	for _, up := range all {
		if rp.loads[up.Host] < rp.loads[best.Host] {
			best = up
		}
	}
	return best
}

func (rp *reportedLoadStrategy) ended(up datacentre.Upstream, _ time.Duration, load uint32, _ time.Time) {
	rp.latest[up.Host] = load
}

// chooserStrategy is call.Chooser.
type chooserStrategy struct {
	chooser *call.Chooser
}

func (cs chooserStrategy) pick(all []datacentre.Upstream, now time.Time) datacentre.Upstream {
	up, _ := cs.chooser.Pick(service, all, nil, now)
	cs.chooser.Started(up)
	return up
}

func (cs chooserStrategy) ended(up datacentre.Upstream, latency time.Duration, load uint32, now time.Time) {
	cs.chooser.Ended(up, succeeded(latency, load), now)
}

// server simulates an upstream with slots, a queue and a mean service time.
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
	// node is the load balancing strategy of the node.
	node   strategy
	up     datacentre.Upstream
	server *server
	// counted is false during the warm-up.
	counted bool
}

// timedEvent is a function to run at a simulated time.
type timedEvent struct {
	at  time.Time
	run func()
}

// eventQueue is a heap.Interface of events in order of time.
type eventQueue []timedEvent

func (eq eventQueue) Len() int           { return len(eq) }
func (eq eventQueue) Less(i, j int) bool { return eq[i].at.Before(eq[j].at) }
func (eq eventQueue) Swap(i, j int)      { eq[i], eq[j] = eq[j], eq[i] }
func (eq *eventQueue) Push(it any)       { *eq = append(*eq, it.(timedEvent)) }
func (eq *eventQueue) Pop() any {
	old := *eq
	it := old[len(old)-1]
	*eq = old[:len(old)-1]
	return it
}

// simulateLoad sends calls at a rate from nodes to six upstreams of 20 slots, the
// first of which is slow. It returns the sorted latencies and the slow upstream's share
// of the calls.
func simulateLoad(utilisation float64, slow time.Duration, nodes []strategy) ([]time.Duration, float64) {
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
	var queue eventQueue
	var latencies []time.Duration
	var start func(rq *request)
	finish := func(rq *request) {
		se := rq.server
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
		rq.server.busy++
		took := time.Duration(float64(rq.server.service) * (0.5 + rnd.ExpFloat64()/2))
		heap.Push(&queue, timedEvent{at: now.Add(took), run: func() { finish(rq) }})
	}
	var arrive func()
	sent := 0
	arrive = func() {
		node := nodes[rnd.IntN(len(nodes))]
		up := node.pick(all, now)
		rq := &request{begun: now, node: node, up: up, server: servers[up.Host], counted: sent > calls/50}
		if rq.server.busy < rq.server.slots {
			start(rq)
		} else {
			rq.server.queue = append(rq.server.queue, rq)
		}
		if sent++; sent < calls {
			next := time.Duration(rnd.ExpFloat64() * gap * float64(time.Second))
			heap.Push(&queue, timedEvent{at: now.Add(next), run: arrive})
		}
	}
	heap.Push(&queue, timedEvent{at: now, run: arrive})
	for queue.Len() > 0 {
		it := heap.Pop(&queue).(timedEvent)
		now = it.at
		it.run()
	}
	slices.Sort(latencies)
	return latencies, float64(servers["up-0"].served) / calls
}

// TestCompareUpstreamChoice compares load balancing strategies with one slow upstream
// of six.
func TestCompareUpstreamChoice(t *testing.T) {
	if !*compare {
		t.Skip("runs with -weigh")
	}
	strategies := []struct {
		name string
		make func(seed uint64) strategy
	}{
		{name: "round robin", make: func(uint64) strategy { return &roundRobinStrategy{} }},
		{name: "least outstanding", make: func(seed uint64) strategy {
			return &leastOutstandingStrategy{outstanding: map[host.ID]int{}, rnd: rand.New(rand.NewPCG(seed, 1))}
		}},
		{name: "reported load, 1 s", make: func(uint64) strategy {
			return &reportedLoadStrategy{loads: map[host.ID]uint32{}, latest: map[host.ID]uint32{}, period: time.Second}
		}},
		{name: "two choices", make: func(seed uint64) strategy {
			return chooserStrategy{chooser: call.NewChooser(call.ChooserConfig{
				DataCentre: local,
				Rand:       rand.New(rand.NewPCG(seed, 1)),
			})}
		}},
	}
	for _, utilisation := range []float64{0.1, 0.5, 0.9} {
		for _, st := range strategies {
			var nodes []strategy
			for i := range uint64(12) {
				nodes = append(nodes, st.make(i))
			}
			latencies, share := simulateLoad(utilisation, 20*time.Millisecond, nodes)
			percentile := func(q float64) time.Duration {
				return latencies[int(q*float64(len(latencies)-1))].Round(100 * time.Microsecond)
			}
			t.Logf("utilisation %.1f %-18s p50 %-7s p99 %-7s p99.9 %-7s share of the slow upstream %.3f",
				utilisation, st.name, percentile(0.5), percentile(0.99), percentile(0.999), share)
		}
	}
}
