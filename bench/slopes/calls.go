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

// rateSizes are the rates to measure, in calls per second through one ingress and
// one gate.
var rateSizes = []int{200, 400, 800, 1600, 3200}

const (
	// rateDuration is how long each rate is sustained.
	rateDuration = 4 * time.Second
	// readyTimeout bounds the wait for a mesh to serve calls.
	readyTimeout = 20 * time.Second
	// cpuSecondsMetric and residentBytesMetric are metrics of a node's process.
	cpuSecondsMetric    = "process_cpu_seconds_total"
	residentBytesMetric = "process_resident_memory_bytes"
)

const callDocument = `{
  "services": [{"name": "lookup"}],
  "contracts": [{"name": "read", "idempotent": true, "timeout_ms": 20000, "retries": 2}],
  "routes": [{"name": "results", "path_prefix": "/results", "service": "lookup", "contract": "read"}]
}`

// callMeshConfig returns a mesh of one ingress without an upstream and one gate with
// one.
func callMeshConfig(serviceTime time.Duration, slots int) testkit.MeshConfig {
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
					ServiceTime: serviceTime,
				},
			},
		},
	}
}

// startServing applies the document, waits until the ingress serves calls, and
// returns the URL to call.
func startServing(me *testkit.Mesh) string {
	testkit.Eventually(me.T, readyTimeout, "the console answers", func() bool {
		return me.Status("ingress-1") != nil
	})
	me.Apply("ingress-1", 0, callDocument)
	url := "http://" + me.Hosts["ingress-1"].CallerAddress + "/results/cube-17"
	testkit.Eventually(me.T, readyTimeout, "a call is answered", func() bool {
		code, _, err := fasthttp.Get(nil, url)
		return err == nil && code == fasthttp.StatusOK
	})
	return url
}

// callCost is what calls cost each node, in seconds of CPU time per second at a rate
// or in bytes of memory for calls in flight, and the latency that both nodes add to
// a call.
type callCost struct {
	ingress    float64
	gate       float64
	addedP50MS float64
	addedP99MS float64
}

func measureCalls() ([]capacity.Slope, error) {
	costs := map[int]callCost{}
	withMesh(callMeshConfig(2*time.Millisecond, 200), func(me *testkit.Mesh) {
		url := startServing(me)
		for _, ra := range rateSizes {
			costs[ra] = measureRate(me, url, ra)
		}
	})
	const source = "bench/slopes/calls.go"
	inFlight := inFlightMemory()
	return []capacity.Slope{
		{
			Name: "ingress_call_time", Unit: "µs", Driver: "call a second", Source: source,
			Points: measurePoints(rateSizes, func(si int) float64 { return 1e6 * costs[si].ingress }),
		},
		{
			Name: "gate_call_time", Unit: "µs", Driver: "call a second", Source: source,
			Points: measurePoints(rateSizes, func(si int) float64 { return 1e6 * costs[si].gate }),
		},
		{
			Name: "added_p50", Unit: "ms", Driver: "call a second", Source: source,
			Points: measurePoints(rateSizes, func(si int) float64 { return costs[si].addedP50MS }),
		},
		{
			Name: "added_p99", Unit: "ms", Driver: "call a second", Source: source,
			Points: measurePoints(rateSizes, func(si int) float64 { return costs[si].addedP99MS }),
		},
		{
			Name: "ingress_flight_memory", Unit: "bytes", Driver: "call in flight", Source: source,
			Points: measurePoints(inFlightSizes, func(si int) float64 { return inFlight[si].ingress }),
		},
		{
			Name: "gate_flight_memory", Unit: "bytes", Driver: "call in flight", Source: source,
			Points: measurePoints(inFlightSizes, func(si int) float64 { return inFlight[si].gate }),
		},
	}, nil
}

// measureRate sustains a rate and reads the CPU time of both nodes before and after.
// It warms up both paths first, and calls the upstream directly for comparison.
func measureRate(me *testkit.Mesh, url string, rate int) callCost {
	in, ga := me.Hosts["ingress-1"], me.Hosts["gate-1"]
	directURL := "http://" + ga.Upstream.Address() + "/results/cube-17"
	generateLoad(url, rate, rateDuration/4)
	generateLoad(directURL, rate, rateDuration/4)
	start := time.Now()
	inBefore, gaBefore := sumMetric(in, cpuSecondsMetric), sumMetric(ga, cpuSecondsMetric)
	viaMesh := generateLoad(url, rate, rateDuration)
	took := time.Since(start).Seconds()
	co := callCost{
		ingress: (sumMetric(in, cpuSecondsMetric) - inBefore) / took,
		gate:    (sumMetric(ga, cpuSecondsMetric) - gaBefore) / took,
	}
	withoutMesh := generateLoad(directURL, rate, rateDuration)
	co.addedP50MS = addedMillis(viaMesh, withoutMesh, 50)
	co.addedP99MS = addedMillis(viaMesh, withoutMesh, 99)
	return co
}

// addedMillis returns the difference of a quantile between two histograms, in
// milliseconds.
func addedMillis(viaMesh, withoutMesh *hdrhistogram.Histogram, quantile float64) float64 {
	return float64(viaMesh.ValueAtQuantile(quantile)-withoutMesh.ValueAtQuantile(quantile)) / 1000
}

// maxLatencyMicros is the upper bound of the latency histogram, in microseconds.
const maxLatencyMicros = 60_000_000

// generateLoad makes calls at a constant rate (open loop: a slow call does not delay
// the next) and returns their latencies in microseconds.
func generateLoad(url string, rate int, dur time.Duration) *hdrhistogram.Histogram {
	cl := &fasthttp.Client{
		MaxConnsPerHost:           4096,
		MaxIdemponentCallAttempts: 1,
	}
	defer cl.CloseIdleConnections()
	hist := hdrhistogram.New(1, maxLatencyMicros, 3)
	var mu sync.Mutex
	var calls sync.WaitGroup
	start := time.Now()
	total := int(float64(rate) * dur.Seconds())
	for i := range total {
		time.Sleep(time.Until(start.Add(dur * time.Duration(i) / time.Duration(total))))
		calls.Go(func() {
			took := timedGet(cl, url)
			mu.Lock()
			defer mu.Unlock()
			// The error only reports a latency above the upper bound, which no call reaches.
			_ = hist.RecordValue(took.Microseconds())
		})
	}
	calls.Wait()
	return hist
}

func timedGet(cl *fasthttp.Client, url string) time.Duration {
	start := time.Now()
	code, body, err := cl.Get(nil, url)
	if err != nil || code != fasthttp.StatusOK {
		panic(&MeshError{Detail: string(body)})
	}
	return time.Since(start)
}

// inFlightSizes are the numbers of concurrent calls to measure.
var inFlightSizes = []int{50, 100, 150, 200}

// inFlightMemory measures the resident memory that calls in flight add to each node.
func inFlightMemory() map[int]callCost {
	costs := map[int]callCost{}
	for _, si := range inFlightSizes {
		withMesh(callMeshConfig(3*time.Second, 1000), func(me *testkit.Mesh) {
			url := startServing(me)
			in, ga := me.Hosts["ingress-1"], me.Hosts["gate-1"]
			inBefore, gaBefore := sumMetric(in, residentBytesMetric), sumMetric(ga, residentBytesMetric)
			var calls sync.WaitGroup
			calls.Go(func() { generateLoad(url, 2*si, time.Second/2) })
			time.Sleep(2 * time.Second)
			costs[si] = callCost{
				ingress: sumMetric(in, residentBytesMetric) - inBefore,
				gate:    sumMetric(ga, residentBytesMetric) - gaBefore,
			}
			calls.Wait()
		})
	}
	return costs
}
