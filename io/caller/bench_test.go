package caller_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"lynxfold/core/call"
	"lynxfold/core/contract"
	"lynxfold/core/datacentre"
	"lynxfold/core/host"
	"lynxfold/io/caller"
	"lynxfold/io/node"
	"lynxfold/io/upstream"
	"lynxfold/io/upstream/standin"
)

// The upstream and the load of the benchmarks. The capacity of the upstream is
// benchSlots / benchWork calls per second. A round of load takes benchRoundDuration.
const (
	benchSlots         = 20
	benchWork          = 4 * time.Millisecond
	benchCapacity      = int(benchSlots * time.Second / benchWork)
	benchWorkers       = 120
	benchRoundDuration = time.Second
	benchRounds        = 5
	announceEvery      = 100 * time.Millisecond
)

const benchDocument = `{
  "services": [{"name": "lookup"}],
  "contracts": [
    {"name": "read", "idempotent": true, "timeout_ms": 5000, "retries": 2},
    {"name": "soon", "idempotent": true, "timeout_ms": 100, "retries": 2}
  ],
  "routes": [
    {"name": "results", "path_prefix": "/results", "service": "lookup", "contract": "read"},
    {"name": "soon", "path_prefix": "/soon", "service": "lookup", "contract": "soon"}
  ]
}`

// benchPath is an ingress and the upstreams that it forwards to. The upstreams
// are on other hosts, which it reaches over TCP.
type benchPath struct {
	ingress   string
	upstreams []string
	set       *metrics.Set
	quotas    caller.Quotas
}

// startBenchPath starts a benchPath. With rotate, each call sees a single
// upstream, in round-robin order.
func startBenchPath(b *testing.B, rotate bool, upstreams ...standin.Config) *benchPath {
	b.Helper()
	return startBenchPathWith(b, rotate, nil, upstreams...)
}

// startBenchPathWith is like startBenchPath, with quotas of a customer unless they are nil.
func startBenchPathWith(b *testing.B, rotate bool, quotas caller.Quotas, upstreams ...standin.Config) *benchPath {
	b.Helper()
	bp := &benchPath{
		set:    metrics.NewSet(),
		quotas: quotas,
	}
	var all []datacentre.Upstream
	for i, cfg := range upstreams {
		up, announceTo := startGate(b, i)
		cfg.Service = "lookup"
		cfg.AnnounceTo = announceTo
		cfg.AnnounceInterval = announceEvery
		sv, err := standin.Start("127.0.0.1:0", cfg)
		assert.NilError(b, err)
		b.Cleanup(sv.Kill)
		bp.upstreams = append(bp.upstreams, sv.Address())
		all = append(all, up)
	}
	bp.serve(b, all, rotate)
	time.Sleep(3 * announceEvery) // gates admit calls only after the first announcements
	return bp
}

// startGate starts a gate with its listeners for calls and announcements. It
// returns its upstream for the view and the URL for announcements.
func startGate(b *testing.B, i int) (datacentre.Upstream, string) {
	b.Helper()
	cl := upstream.NewClient()
	b.Cleanup(cl.Close)
	ga := upstream.NewGate(upstream.GateConfig{
		Core: host.Config{
			Incarnation:       7,
			QueuePerSlot:      2,
			DefaultRetryAfter: time.Second,
			AnnounceLag:       announceEvery,
		},
		AnnouncementTTL:      time.Hour,
		OnAnnouncementChange: func(host.Announcement) {},
		Client:               cl,
	})
	an, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	al := upstream.NewAnnouncementServer(ga, upstream.NativeRegistrar{})
	go func() { _ = al.Serve(an) }()
	b.Cleanup(func() { _ = al.Shutdown() })
	li, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	ln := node.NewListener(li, node.ListenerConfig{
		Calls:   node.NewCallServer(ga).Serve,
		Control: func(*node.Conn) {},
		Refused: func(*node.RefusedError) {},
	})
	go func() { _ = ln.Serve() }()
	b.Cleanup(ln.Close)
	return datacentre.Upstream{
		Host:        host.ID(fmt.Sprintf("host-%d", i)),
		Address:     li.Addr().String(),
		Incarnation: 7,
		Service:     "lookup",
	}, "http://" + an.Addr().String()
}

func (bp *benchPath) serve(b *testing.B, all []datacentre.Upstream, rotate bool) {
	b.Helper()
	doc, err := contract.ParseDocument([]byte(benchDocument))
	assert.NilError(b, err)
	if bp.quotas != nil {
		doc.Customers = []contract.Customer{{
			Name:          "bench",
			Keys:          []contract.KeyDigest{contract.DigestKey([]byte("bench"))},
			RatePerSecond: 1,
		}}
	}
	sn, err := contract.Compile(1, doc)
	assert.NilError(b, err)
	views := []*datacentre.View{{
		Config:    sn,
		Upstreams: map[contract.ServiceName][]datacentre.Upstream{"lookup": all},
	}}
	if rotate {
		views = nil
		for i := range all {
			views = append(views, &datacentre.View{
				Config:    sn,
				Upstreams: map[contract.ServiceName][]datacentre.Upstream{"lookup": all[i : i+1]},
			})
		}
	}
	var roundRobin atomic.Int64
	lanes := node.NewCallPool(&node.Dialer{Timeout: time.Second})
	b.Cleanup(lanes.Close)
	sv := caller.New(caller.Config{
		Host:           "ingress",
		Incarnation:    7,
		View:           func() *datacentre.View { return views[int(roundRobin.Add(1))%len(views)] },
		RemoteGates:    lanes,
		MaxHeaderBytes: 8 << 10,
		MaxBodyBytes:   64 << 20,
		MaxConnections: 4096,
		RetryBudget: call.FleetConfig{
			PerSuccess: 0.1,
			Burst:      240,
			PerSecond:  6,
		},
		Rand:     rand.New(rand.NewPCG(1, 2)),
		Log:      zerolog.Nop(),
		Counters: caller.NewCounters(bp.set),
		Quotas:   bp.quotas,
	})
	li, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	bp.ingress = li.Addr().String()
	go func() { _ = sv.Serve(li) }()
	b.Cleanup(func() { _ = sv.Shutdown(context.Background()) })
}

// loadResult holds the measurements of one round of calls.
type loadResult struct {
	latency *hdrhistogram.Histogram
	good    int64
	total   int64
	mallocs uint64
	cpu     time.Duration
}

// runLoad makes calls at a constant rate for one round. Workers that are late
// catch up instead of skipping calls.
func runLoad(address, uri string, rate, workers int) *loadResult {
	lr := &loadResult{latency: hdrhistogram.New(1, 60_000_000, 3)}
	cl := &fasthttp.HostClient{
		Addr:                      address,
		MaxConns:                  workers,
		MaxIdemponentCallAttempts: 1,
	}
	defer cl.CloseIdleConnections()
	interval := time.Duration(workers) * time.Second / time.Duration(rate)
	begin := time.Now()
	mallocs, cpu := usage()
	var mu sync.Mutex
	var done sync.WaitGroup
	for i := range workers {
		done.Go(func() {
			took, good := runWorker(cl, uri, begin.Add(interval*time.Duration(i)/time.Duration(workers)), begin.Add(benchRoundDuration), interval)
			mu.Lock()
			defer mu.Unlock()
			lr.good += good
			lr.total += int64(len(took))
			for _, us := range took {
				_ = lr.latency.RecordValue(us)
			}
		})
	}
	done.Wait()
	mallocs2, cpu2 := usage()
	lr.mallocs = mallocs2 - mallocs
	lr.cpu = cpu2 - cpu
	return lr
}

// runWorker makes the calls of one worker and returns their durations in
// microseconds.
func runWorker(cl *fasthttp.HostClient, uri string, next, end time.Time, interval time.Duration) (took []int64, good int64) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + cl.Addr + uri)
	req.Header.Set("Accept", "application/json")
	req.Header.Set(standin.HeaderCallID, "bench")
	for ; next.Before(end); next = next.Add(interval) {
		time.Sleep(time.Until(next))
		begin := time.Now()
		err := cl.Do(req, resp)
		took = append(took, max(1, time.Since(begin).Microseconds()))
		if err == nil && resp.StatusCode() == fasthttp.StatusOK {
			good++
		}
	}
	return took, good
}

// usage returns the heap allocations and the processor time of the process so
// far.
func usage() (uint64, time.Duration) {
	var ms runtime.MemStats
	runtime.ReadMemStats(&ms)
	var ru syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &ru)
	return ms.Mallocs, time.Duration(ru.Utime.Nano() + ru.Stime.Nano())
}

// median returns the median and sorts its argument.
func median(of []float64) float64 {
	for i := range of {
		for j := i; j > 0 && of[j] < of[j-1]; j-- {
			of[j], of[j-1] = of[j-1], of[j]
		}
	}
	return of[len(of)/2]
}

// reportComparison alternates between two loads and reports medians over the
// rounds: the difference and the ratio of the second to the first.
func reportComparison(b *testing.B, first, second func() *loadResult) {
	b.Helper()
	for _, run := range []func() *loadResult{first, second} {
		run() // warm-up: opens the connections
	}
	quantiles := map[string]float64{"p50": 50, "p99": 99, "p99.9": 99.9}
	added := map[string][]float64{}
	ratio := map[string][]float64{}
	var mallocs, cpu []float64
	for range benchRounds {
		a, c := first(), second()
		for name, qu := range quantiles {
			before := float64(a.latency.ValueAtQuantile(qu))
			after := float64(c.latency.ValueAtQuantile(qu))
			added[name] = append(added[name], after-before)
			ratio[name] = append(ratio[name], after/before)
		}
		mallocs = append(mallocs, float64(c.mallocs)/float64(c.total)-float64(a.mallocs)/float64(a.total))
		cpu = append(cpu, float64(c.cpu.Microseconds())/float64(c.total)-float64(a.cpu.Microseconds())/float64(a.total))
	}
	for name := range quantiles {
		b.ReportMetric(median(added[name]), "added-"+name+"-us")
		b.ReportMetric(median(ratio[name]), "ratio-"+name)
	}
	b.ReportMetric(median(mallocs), "added-allocs/call")
	b.ReportMetric(median(cpu), "added-cpu-us/call")
	b.ReportMetric(0, "ns/op")
}

func benchUpstream() standin.Config {
	return standin.Config{
		Slots:       benchSlots,
		ServiceTime: benchWork,
		ColdFactor:  1,
	}
}

// BenchmarkAdded measures the overhead of a call through the ingress and the gate
// over a direct call of the same upstream.
func BenchmarkAdded(b *testing.B) {
	for _, it := range []struct {
		name string
		rate int
	}{
		{name: "300 a second", rate: 300},
		{name: "a tenth", rate: benchCapacity / 10},
		{name: "half", rate: benchCapacity / 2},
		{name: "nine tenths", rate: benchCapacity * 9 / 10},
	} {
		b.Run(it.name, func(b *testing.B) {
			bp := startBenchPath(b, false, benchUpstream())
			for b.Loop() {
				reportComparison(b,
					func() *loadResult {
						return runLoad(bp.upstreams[0], "/results/1", it.rate, min(it.rate/4, benchWorkers))
					},
					func() *loadResult { return runLoad(bp.ingress, "/results/1", it.rate, min(it.rate/4, benchWorkers)) })
			}
		})
	}
}

// BenchmarkOverload measures the goodput under overload, direct and through the
// ingress. Goodput is the rate of successful answers within the deadline, divided
// by the capacity of the upstream.
func BenchmarkOverload(b *testing.B) {
	for _, times := range []float64{1.5, 3} {
		b.Run(fmt.Sprintf("%g times", times), func(b *testing.B) {
			bp := startBenchPath(b, false, benchUpstream())
			rate := int(times * float64(benchCapacity))
			for b.Loop() {
				var direct, through []float64
				for range benchRounds {
					direct = append(direct, float64(runLoad(bp.upstreams[0], "/soon/1", rate, 400).good)/float64(benchCapacity))
					through = append(through, float64(runLoad(bp.ingress, "/soon/1", rate, 400).good)/float64(benchCapacity))
				}
				b.ReportMetric(median(direct), "direct-goodput")
				b.ReportMetric(median(through), "goodput")
				b.ReportMetric(0, "ns/op")
			}
		})
	}
}

// BenchmarkOneSlow compares the picker with round robin when one of six upstreams
// is ten times slower.
func BenchmarkOneSlow(b *testing.B) {
	six := make([]standin.Config, 6)
	for i := range six {
		six[i] = benchUpstream()
	}
	six[5].ServiceTime *= 10
	benchPicker(b, six)
}

// BenchmarkColdStart compares the picker with round robin when one of six
// upstreams starts cold.
func BenchmarkColdStart(b *testing.B) {
	six := make([]standin.Config, 6)
	for i := range six {
		six[i] = benchUpstream()
	}
	six[5].ColdPeriod = time.Hour
	six[5].ColdFactor = 5
	benchPicker(b, six)
}

func benchPicker(b *testing.B, upstreams []standin.Config) {
	b.Helper()
	roundRobin := startBenchPath(b, true, upstreams...)
	picker := startBenchPath(b, false, upstreams...)
	rate := benchCapacity
	for b.Loop() {
		reportComparison(b,
			func() *loadResult { return runLoad(roundRobin.ingress, "/results/1", rate, benchWorkers) },
			func() *loadResult { return runLoad(picker.ingress, "/results/1", rate, benchWorkers) })
	}
}

// BenchmarkAmplification measures retry amplification when the lowest service
// always fails: the calls that reach it per call at the top, with one layer and
// with five.
func BenchmarkAmplification(b *testing.B) {
	for _, depth := range []int{1, 5} {
		b.Run(fmt.Sprintf("depth %d", depth), func(b *testing.B) {
			var reached atomic.Int64
			next := ""
			for range depth {
				next = startLayer(b, next, &reached)
			}
			for b.Loop() {
				reached.Store(0)
				lr := runLoad(next, "/results/1", 500, 50)
				b.ReportMetric(float64(reached.Load())/float64(lr.total), "lowest-calls/call")
				b.ReportMetric(0, "ns/op")
			}
		})
	}
}

// startLayer starts an ingress with two upstreams that call the next layer, or
// fail if there is none.
func startLayer(b *testing.B, next string, reached *atomic.Int64) string {
	b.Helper()
	bp := &benchPath{set: metrics.NewSet()}
	var all []datacentre.Upstream
	for i := range 2 {
		li, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(b, err)
		sv := &http.Server{Handler: layerHandler(benchClient(b), next, reached)}
		go func() { _ = sv.Serve(li) }()
		b.Cleanup(func() { _ = sv.Close() })
		up, announceTo := startGate(b, i)
		keepAnnouncing(b, announceTo, li.Addr().String())
		all = append(all, up)
	}
	bp.serve(b, all, false)
	time.Sleep(3 * announceEvery)
	return bp.ingress
}

// keepAnnouncing announces an upstream to a gate until the benchmark ends.
func keepAnnouncing(b *testing.B, to, address string) {
	b.Helper()
	body := fmt.Sprintf(`{"service":"lookup","address":%q,"slots":100,"connections":120,"state":"ready"}`, address)
	ti := time.NewTicker(announceEvery)
	cl := benchClient(b)
	stop := make(chan struct{})
	var done sync.WaitGroup
	b.Cleanup(func() {
		close(stop)
		done.Wait()
		ti.Stop()
	})
	done.Go(func() {
		for {
			rs, err := cl.Post(to+"/announce", "application/json", strings.NewReader(body))
			if err != nil {
				return
			}
			_ = rs.Body.Close()
			select {
			case <-ti.C:
			case <-stop:
				return
			}
		}
	})
}

// benchClient returns a client whose connections are closed when the benchmark
// ends.
func benchClient(b *testing.B) *http.Client {
	b.Helper()
	tr := &http.Transport{MaxIdleConnsPerHost: 100}
	b.Cleanup(tr.CloseIdleConnections)
	return &http.Client{Transport: tr}
}

func layerHandler(cl *http.Client, next string, reached *atomic.Int64) http.HandlerFunc {
	return func(wr http.ResponseWriter, rq *http.Request) {
		if next == "" {
			reached.Add(1)
			wr.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		down, err := http.NewRequestWithContext(rq.Context(), rq.Method, "http://"+next+rq.URL.Path, bytes.NewReader(nil))
		if err != nil {
			wr.WriteHeader(http.StatusInternalServerError)
			return
		}
		down.Header.Set(call.HeaderAttempt, rq.Header.Get(call.HeaderAttempt))
		down.Header.Set(upstream.HeaderDeadline, rq.Header.Get(upstream.HeaderDeadline))
		rs, err := cl.Do(down)
		if err != nil {
			wr.WriteHeader(http.StatusBadGateway)
			return
		}
		defer func() { _ = rs.Body.Close() }()
		wr.Header().Set(call.HeaderGaveUp, rs.Header.Get(call.HeaderGaveUp))
		wr.WriteHeader(rs.StatusCode)
		_, _ = io.Copy(wr, rs.Body)
	}
}
