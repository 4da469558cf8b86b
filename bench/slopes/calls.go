package main

import (
	"sync"
	"time"

	hdrhistogram "github.com/HdrHistogram/hdrhistogram-go"
	"github.com/valyala/fasthttp"

	"lynxfold/bench/capacity"
	upstreamstandin "lynxfold/io/upstream/standin"
	"lynxfold/testkit"
)

// rateSizes are calls a second through one ingress and one gate.
var rateSizes = []int{200, 400, 800, 1600, 3200}

const (
	// measureFor is how long each rate is held.
	measureFor = 4 * time.Second
	// readyWithin bounds the wait for a mesh.
	readyWithin = 20 * time.Second
	// processorSeconds and residentBytes are metrics of a node's process.
	processorSeconds = "process_cpu_seconds_total"
	residentBytes    = "process_resident_memory_bytes"
)

const callDocument = `{
  "services": [{"name": "lookup"}],
  "contracts": [{"name": "read", "idempotent": true, "timeout_ms": 20000, "retries": 2}],
  "routes": [{"name": "results", "path_prefix": "/results", "service": "lookup", "contract": "read"}]
}`

// callMesh is one ingress without an upstream and one gate with one.
func callMesh(work time.Duration, slots int) testkit.MeshConfig {
	return testkit.MeshConfig{
		Hosts: []testkit.HostSpec{
			{ID: "ingress-1", DataCentre: "press-hall"},
			{
				ID:         "gate-1",
				DataCentre: "press-hall",
				Upstream: upstreamstandin.Config{
					Name:        "gate-1",
					Service:     "lookup",
					Slots:       slots,
					ServiceTime: work,
				},
			},
		},
	}
}

// serving has the document accepted and waits until the ingress serves it.
func serving(me *testkit.Mesh) string {
	testkit.Eventually(me.T, readyWithin, "the console answers", func() bool {
		return me.Status("ingress-1") != nil
	})
	me.Apply("ingress-1", 0, callDocument)
	url := "http://" + me.Hosts["ingress-1"].CallerAddress + "/results/cube-17"
	testkit.Eventually(me.T, readyWithin, "a call is answered", func() bool {
		code, _, err := fasthttp.Get(nil, url)
		return err == nil && code == fasthttp.StatusOK
	})
	return url
}

// callCost is what a rate of calls costs both nodes, in seconds of processor
// time a second, and what the two nodes add to a call, in milliseconds.
type callCost struct {
	ingress  float64
	gate     float64
	addedP50 float64
	addedP99 float64
}

func measureCalls() ([]capacity.Slope, error) {
	costs := map[int]callCost{}
	withMesh(callMesh(2*time.Millisecond, 200), func(me *testkit.Mesh) {
		url := serving(me)
		for _, ra := range rateSizes {
			costs[ra] = costAt(me, url, ra)
		}
	})
	const source = "bench/slopes/calls.go"
	flight := flightMemory()
	return []capacity.Slope{
		{
			Name: "ingress_call_time", Unit: "µs", Driver: "call a second", Source: source,
			Points: series(rateSizes, func(si int) float64 { return 1e6 * costs[si].ingress }),
		},
		{
			Name: "gate_call_time", Unit: "µs", Driver: "call a second", Source: source,
			Points: series(rateSizes, func(si int) float64 { return 1e6 * costs[si].gate }),
		},
		{
			Name: "added_p50", Unit: "ms", Driver: "call a second", Source: source,
			Points: series(rateSizes, func(si int) float64 { return costs[si].addedP50 }),
		},
		{
			Name: "added_p99", Unit: "ms", Driver: "call a second", Source: source,
			Points: series(rateSizes, func(si int) float64 { return costs[si].addedP99 }),
		},
		{
			Name: "ingress_flight_memory", Unit: "bytes", Driver: "call in flight", Source: source,
			Points: series(flightSizes, func(si int) float64 { return flight[si].ingress }),
		},
		{
			Name: "gate_flight_memory", Unit: "bytes", Driver: "call in flight", Source: source,
			Points: series(flightSizes, func(si int) float64 { return flight[si].gate }),
		},
	}, nil
}

// costAt holds a rate and reads both nodes' processor time before and after.
func costAt(me *testkit.Mesh, url string, rate int) callCost {
	in, ga := me.Hosts["ingress-1"], me.Hosts["gate-1"]
	direct := "http://" + ga.Upstream.Address() + "/results/cube-17"
	hold(url, rate, measureFor/4)
	hold(direct, rate, measureFor/4)
	begun := time.Now()
	inBefore, gaBefore := metric(in, processorSeconds), metric(ga, processorSeconds)
	passed := hold(url, rate, measureFor)
	took := time.Since(begun).Seconds()
	co := callCost{
		ingress: (metric(in, processorSeconds) - inBefore) / took,
		gate:    (metric(ga, processorSeconds) - gaBefore) / took,
	}
	straight := hold(direct, rate, measureFor)
	co.addedP50 = added(passed, straight, 50)
	co.addedP99 = added(passed, straight, 99)
	return co
}

// added is what a quantile grew by, in milliseconds.
func added(passed, straight *hdrhistogram.Histogram, quantile float64) float64 {
	return float64(passed.ValueAtQuantile(quantile)-straight.ValueAtQuantile(quantile)) / 1000
}

// longest is the longest time in a histogram, in microseconds.
const longest = 60_000_000

// hold makes calls at a steady rate for a time, each on time even when others
// are late, and returns how long they took, in microseconds.
func hold(url string, rate int, dur time.Duration) *hdrhistogram.Histogram {
	cl := &fasthttp.Client{
		MaxConnsPerHost:           4096,
		MaxIdemponentCallAttempts: 1,
	}
	defer cl.CloseIdleConnections()
	hist := hdrhistogram.New(1, longest, 3)
	var mu sync.Mutex
	var calls sync.WaitGroup
	begun := time.Now()
	total := int(float64(rate) * dur.Seconds())
	for i := range total {
		time.Sleep(time.Until(begun.Add(dur * time.Duration(i) / time.Duration(total))))
		calls.Go(func() {
			took := get(cl, url)
			mu.Lock()
			defer mu.Unlock()
			// No call takes longer than the histogram holds.
			_ = hist.RecordValue(took.Microseconds())
		})
	}
	calls.Wait()
	return hist
}

func get(cl *fasthttp.Client, url string) time.Duration {
	begun := time.Now()
	code, body, err := cl.Get(nil, url)
	if err != nil || code != fasthttp.StatusOK {
		panic(&FailedError{Detail: string(body)})
	}
	return time.Since(begun)
}

// flightSizes are calls in flight at once.
var flightSizes = []int{50, 100, 150, 200}

// flightMemory measures what calls in flight add to both nodes' resident memory.
func flightMemory() map[int]callCost {
	costs := map[int]callCost{}
	for _, si := range flightSizes {
		withMesh(callMesh(3*time.Second, 1000), func(me *testkit.Mesh) {
			url := serving(me)
			in, ga := me.Hosts["ingress-1"], me.Hosts["gate-1"]
			inBefore, gaBefore := metric(in, residentBytes), metric(ga, residentBytes)
			var calls sync.WaitGroup
			calls.Go(func() { hold(url, 2*si, time.Second/2) })
			time.Sleep(2 * time.Second)
			costs[si] = callCost{
				ingress: metric(in, residentBytes) - inBefore,
				gate:    metric(ga, residentBytes) - gaBefore,
			}
			calls.Wait()
		})
	}
	return costs
}
