package testkit_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"lynxfold/core/call"
	"lynxfold/testkit"
)

// crashUpstreams is the number of upstreams of startCrashMesh, and crashRestart the time
// that a crashed one takes to start again.
const (
	crashUpstreams = 5
	crashRestart   = 400 * time.Millisecond
)

// longQuarantine outlasts each test.
const longQuarantine = time.Minute

// startCrashMesh starts a mesh of an ingress host and crashUpstreams hosts whose upstreams
// start again after a crash. It returns the hosts that take calls.
func startCrashMesh(t *testing.T, quarantineFor time.Duration) (*testkit.Mesh, []string) {
	t.Helper()
	hosts := []testkit.HostSpec{{ID: ingressID, DataCentre: "press-hall"}}
	ids := []string{ingressID}
	for i := range crashUpstreams {
		hs := upstreamHost(fmt.Sprintf("curing-room-%d", i+1))
		hs.Upstream.RestartAfter = crashRestart
		hosts = append(hosts, hs)
		ids = append(ids, hs.ID)
	}
	me := startMeshForCalls(t, crashUpstreams, testkit.MeshConfig{
		Proxied:  true,
		Hosts:    hosts,
		Settings: "[caller]\nretry_burst = 200\nretry_per_second = 100\n[upstream]\nquarantine_for = " + quarantineFor.String() + "\n",
	})
	ca := testkit.NewCallersWithPrefix(me, "warm")
	for _, id := range ids {
		testkit.Eventually(t, waitTimeout, "calls run at "+id, func() bool {
			return ca.Call(id, http.MethodPost, "/bookings", 10).Outcome == "ran"
		})
	}
	return me, ids
}

// crashingRequest is a request that crashes the upstream that runs it.
type crashingRequest struct {
	method string
	path   string
	// size is the length of the body, which is sent in chunks if chunked is set.
	size    int
	chunked bool
	header  map[string]string
	// keyed gives each copy a key of its own.
	keyed bool
}

// crashAnswer is the answer to a crashing request.
type crashAnswer struct {
	status     int
	reason     string
	outcome    string
	retryAfter string
	callID     string
}

// requestCount distinguishes the keys of keyed requests.
var requestCount atomic.Int64

// send sends the request to a host.
func (cr crashingRequest) send(me *testkit.Mesh, id string) crashAnswer {
	var body io.Reader
	if cr.size > 0 {
		body = bytes.NewReader(make([]byte, cr.size))
	}
	if cr.chunked {
		body = io.MultiReader(body)
	}
	rq, err := http.NewRequest(cr.method, "http://"+me.Hosts[id].CallerAddress+cr.path, body)
	assert.Check(me.T, err)
	for key, value := range cr.header {
		rq.Header.Set(key, value)
	}
	if cr.keyed {
		rq.Header.Set("Idempotency-Key", strconv.FormatInt(requestCount.Add(1), 10))
	}
	cl := http.Client{
		Transport: &http.Transport{DisableKeepAlives: true},
		Timeout:   waitTimeout,
	}
	rs, err := cl.Do(rq)
	if err != nil {
		return crashAnswer{}
	}
	defer func() { _ = rs.Body.Close() }()
	_, _ = io.Copy(io.Discard, rs.Body)
	return crashAnswer{
		status:     rs.StatusCode,
		reason:     rs.Header.Get("Lynxfold-Reason"),
		outcome:    rs.Header.Get("Lynxfold-Outcome"),
		retryAfter: rs.Header.Get("Retry-After"),
		callID:     rs.Header.Get("Lynxfold-Call"),
	}
}

// sendEvery sends the request at one host after the other until the duration has passed.
func (cr crashingRequest) sendEvery(me *testkit.Mesh, ids []string, every, duration time.Duration) {
	var wg sync.WaitGroup
	for n, until := 0, time.Now().Add(duration); time.Now().Before(until); n++ {
		wg.Go(func() { cr.send(me, ids[n%len(ids)]) })
		time.Sleep(every)
	}
	wg.Wait()
}

// crashingRequests are requests that reach the upstream in different ways.
var crashingRequests = map[string]crashingRequest{
	"lookup":            {method: http.MethodGet, path: "/results/1?crash=true&work=20ms"},
	"booking":           {method: http.MethodPost, path: "/bookings/2?crash=true&work=20ms", size: 300},
	"call of upstream":  {method: http.MethodGet, path: "/results/3?crash=true&work=20ms", header: map[string]string{call.HeaderAttempt: "1"}},
	"upload":            {method: http.MethodPost, path: "/scans/4?crash=true&work=20ms", size: 200 << 10},
	"upload in chunks":  {method: http.MethodPost, path: "/scans/5?crash=true&work=20ms", size: 40 << 10, chunked: true},
	"bulk with length":  {method: http.MethodPost, path: "/scans/6?crash=true&work=20ms", size: 40 << 10},
	"crashes at once":   {method: http.MethodGet, path: "/results/7?crash=true&work=0ms"},
	"crashes later":     {method: http.MethodGet, path: "/results/8?crash=true&work=300ms"},
	"keyed":             {method: http.MethodPost, path: "/certificates/10?crash=true&work=20ms", size: 300, keyed: true},
	"runs in both ways": {method: http.MethodPost, path: "/bookings/9?crash=true&work=20ms", size: 70 << 10},
}

// TestRequestThatCrashesUpstreamsStopsReachingThem sends the same request at all hosts
// again and again.
func TestRequestThatCrashesUpstreamsStopsReachingThem(t *testing.T) {
	for name, cr := range crashingRequests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			me, ids := startCrashMesh(t, longQuarantine)
			cr.sendEvery(me, ids, 100*time.Millisecond, 8*time.Second)
			assert.Check(t, me.CheckCrashingRequests(t) > 0)
		})
	}
}

// quarantineEverywhere sends the request until every host refuses it at once.
func (cr crashingRequest) quarantineEverywhere(t *testing.T, me *testkit.Mesh, ids []string) {
	t.Helper()
	for _, id := range ids {
		testkit.Eventually(t, waitTimeout, "the request is quarantined at "+id, func() bool {
			return cr.send(me, id).reason == "quarantined"
		})
	}
}

// crashes returns the number of crashes of the mesh's upstreams.
func crashes(me *testkit.Mesh) int {
	n := 0
	for _, ho := range me.Hosts {
		if ho.Upstream != nil {
			n += len(ho.Upstream.CrashTimes())
		}
	}
	return n
}

var crashingLookup = crashingRequest{method: http.MethodGet, path: "/results/crashing?crash=true&work=20ms"}

// TestRefusalOfCrashingRequestSaysWhy checks what callers are told, and operators by
// explain.
func TestRefusalOfCrashingRequestSaysWhy(t *testing.T) {
	t.Parallel()
	me, ids := startCrashMesh(t, longQuarantine)
	crashingLookup.quarantineEverywhere(t, me, ids)
	an := crashingLookup.send(me, ingressID)
	assert.Equal(t, an.status, http.StatusServiceUnavailable)
	assert.Equal(t, an.outcome, "not_run")
	seconds, err := strconv.Atoi(an.retryAfter)
	assert.NilError(t, err)
	assert.Assert(t, seconds > 0 && seconds <= 14, "Retry-After: %d", seconds)
	_, explained, err := fasthttp.Get(nil, "http://"+me.Hosts[ingressID].OperatorAddress+"/api/explain/call/"+an.callID)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(explained), "may have crashed"), "%s", explained)
	assert.Assert(t, strings.Contains(string(explained), "tried again in"), "%s", explained)
}

// TestRestartedHostRefusesCrashingRequest restarts hosts, and then all but one at once.
func TestRestartedHostRefusesCrashingRequest(t *testing.T) {
	t.Parallel()
	me, ids := startCrashMesh(t, longQuarantine)
	crashingLookup.quarantineEverywhere(t, me, ids)
	before := crashes(me)
	for _, restarted := range [][]string{ids[:1], ids[1:2], ids[2:]} {
		for _, id := range restarted {
			me.Hosts[id].Kill()
			me.Hosts[id].Start()
		}
		for _, id := range restarted {
			testkit.Eventually(t, waitTimeout, id+" answers", func() bool {
				reason := crashingLookup.send(me, id).reason
				return reason != "" && reason != "no_configuration" && reason != "no_candidate"
			})
		}
	}
	crashingLookup.sendEvery(me, ids, 50*time.Millisecond, 3*time.Second)
	assert.Assert(t, crashes(me)-before <= 3, "%d more crashes", crashes(me)-before)
	crashingLookup.quarantineEverywhere(t, me, ids)
}

// TestCutOffHostLearnsOfCrashingRequest cuts two hosts off while the others find out.
func TestCutOffHostLearnsOfCrashingRequest(t *testing.T) {
	t.Parallel()
	me, ids := startCrashMesh(t, longQuarantine)
	cut := ids[len(ids)-2:]
	for _, id := range ids {
		me.Hosts[id].StopProxy()
	}
	rest := ids[:len(ids)-2]
	for _, id := range rest {
		me.Hosts[id].StartProxy()
	}
	testkit.Eventually(t, waitTimeout, "the others find out", func() bool {
		return crashingLookup.send(me, ingressID).reason == "quarantined"
	})
	before := crashes(me)
	for _, id := range cut {
		me.Hosts[id].StartProxy()
	}
	ca := testkit.NewCallersWithPrefix(me, "healed")
	for _, id := range cut {
		testkit.Eventually(t, waitTimeout, "calls run at "+id, func() bool {
			return ca.Call(id, http.MethodPost, "/bookings", 10).Outcome == "ran"
		})
	}
	crashingLookup.sendEvery(me, ids, 50*time.Millisecond, 3*time.Second)
	assert.Assert(t, crashes(me)-before <= 3, "%d more crashes", crashes(me)-before)
	crashingLookup.quarantineEverywhere(t, me, ids)
}

// TestRequestsBesideCrashingOneAreServed sends others at all hosts, some of which are
// repeated, while one crashes upstreams.
func TestRequestsBesideCrashingOneAreServed(t *testing.T) {
	t.Parallel()
	me, ids := startCrashMesh(t, longQuarantine)
	lookups, bookings := testkit.NewCallersWithPrefix(me, "lookup"), testkit.NewCallersWithPrefix(me, "booking")
	var count atomic.Int64
	stopLookups := lookups.StartLoad(8, func(worker int) {
		path := fmt.Sprintf("/results/%d?work=30ms", worker)
		if worker%2 == 0 {
			path = fmt.Sprintf("/results/new-%d?work=30ms", count.Add(1))
		}
		lookups.Call(ids[worker%len(ids)], http.MethodGet, path, 0)
	})
	stopBookings := bookings.StartLoad(4, func(worker int) {
		bookings.Call(ids[worker%len(ids)], http.MethodPost, fmt.Sprintf("/bookings/%d?work=30ms", worker), 100)
	})
	crashingLookup.sendEvery(me, ids, 100*time.Millisecond, 8*time.Second)
	stopLookups()
	stopBookings()
	me.CheckCrashingRequests(t)
	bookings.CheckOutcomes(t)
	var crashTimes []time.Time
	for _, ho := range me.Hosts {
		if ho.Upstream != nil {
			crashTimes = append(crashTimes, ho.Upstream.CrashTimes()...)
		}
	}
	all, apart := 0, 0
	for _, cr := range append(lookups.Results(), bookings.Results()...) {
		assert.Check(t, cr.Reason != "quarantined", "%+v", cr)
		all++
		if !slices.ContainsFunc(crashTimes, func(at time.Time) bool {
			return cr.AnsweredAt.After(at) && cr.AnsweredAt.Before(at.Add(3*crashRestart))
		}) {
			apart++
			assert.Check(t, cr.Status == http.StatusOK, "apart from crashes: %+v", cr)
		}
	}
	assert.Assert(t, apart > all/2, "%d of %d calls are apart from crashes", apart, all)
}

// TestCrashesForOtherReasonsQuarantineNothing kills upstreams and hosts, several at once,
// and replaces upstreams, while the same requests come again and again.
func TestCrashesForOtherReasonsQuarantineNothing(t *testing.T) {
	t.Parallel()
	me, ids := startCrashMesh(t, longQuarantine)
	lookups, bookings := testkit.NewCallersWithPrefix(me, "lookup"), testkit.NewCallersWithPrefix(me, "booking")
	stopLookups := lookups.StartLoad(12, func(worker int) {
		lookups.Call(ids[worker%len(ids)], http.MethodGet, fmt.Sprintf("/results/%d?work=40ms", worker%3), 0)
	})
	stopBookings := bookings.StartLoad(6, func(worker int) {
		bookings.Call(ids[worker%len(ids)], http.MethodPost, "/bookings/same?work=40ms", 100)
	})
	for round := range 6 {
		time.Sleep(300 * time.Millisecond)
		some := ids[1+round%2 : 4+round%2]
		for _, id := range some {
			switch round % 3 {
			case 0:
				me.Hosts[id].KillUpstream()
			case 1:
				me.Hosts[id].Kill()
				me.Hosts[id].KillUpstream()
			case 2:
				me.Hosts[id].Upstream.Drain()
			}
		}
		time.Sleep(300 * time.Millisecond)
		for _, id := range some {
			switch round % 3 {
			case 0:
				me.Hosts[id].StartUpstream()
			case 1:
				me.Hosts[id].Start()
				me.Hosts[id].StartUpstream()
			case 2:
				me.Hosts[id].KillUpstream()
				me.Hosts[id].Signal(syscall.SIGTERM)
				assert.Check(t, me.Hosts[id].WaitExit(waitTimeout))
				me.Hosts[id].Start()
				me.Hosts[id].StartUpstream()
			}
		}
	}
	time.Sleep(time.Second)
	stopLookups()
	stopBookings()
	for _, cr := range append(lookups.Results(), bookings.Results()...) {
		assert.Check(t, cr.Reason != "quarantined", "%+v", cr)
	}
	for _, id := range ids {
		testkit.Eventually(t, waitTimeout, "calls run at "+id, func() bool {
			return bookings.Call(id, http.MethodPost, "/bookings/same", 100).Outcome == "ran"
		})
	}
}

// TestQuarantineEndsWhenCauseIsGone mends the upstreams: the request is served again.
func TestQuarantineEndsWhenCauseIsGone(t *testing.T) {
	t.Parallel()
	const quarantineFor = 10 * time.Second
	me, ids := startCrashMesh(t, quarantineFor)
	crashingLookup.quarantineEverywhere(t, me, ids[:1])
	before := crashes(me)
	crashingLookup.sendEvery(me, ids, 50*time.Millisecond, quarantineFor/2)
	trials := crashes(me) - before
	assert.Assert(t, trials >= 1, "it is tried again")
	assert.Assert(t, trials <= 3, "%d crashes in trials", trials)
	for _, ho := range me.Hosts {
		if ho.Upstream != nil {
			ho.Upstream.Fix()
		}
	}
	for _, id := range ids {
		testkit.Eventually(t, waitTimeout, "the request is served at "+id, func() bool {
			return crashingLookup.send(me, id).status == http.StatusOK
		})
	}
}

// TestFewTrialsWhileNewsIsSlow delays what hosts tell each other by more than the time in
// which they all begin to try a quarantined request.
func TestFewTrialsWhileNewsIsSlow(t *testing.T) {
	t.Parallel()
	const quarantineFor = 30 * time.Second
	me, ids := startCrashMesh(t, quarantineFor)
	crashingLookup.quarantineEverywhere(t, me, ids)
	before := crashes(me)
	for _, ho := range me.Hosts {
		t.Cleanup(ho.AddLatency(1500 * time.Millisecond))
	}
	crashingLookup.sendEvery(me, ids, 20*time.Millisecond, 8*time.Second)
	assert.Check(t, crashes(me) > before, "it is tried again")
	me.CheckCrashingRequests(t)
}

// TestManyCrashingRequests sends many different requests that crash upstreams.
func TestManyCrashingRequests(t *testing.T) {
	t.Parallel()
	const requests = 12
	me, ids := startCrashMesh(t, longQuarantine)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for n := range requests {
		wg.Go(func() {
			cr := crashingRequest{method: http.MethodGet, path: fmt.Sprintf("/results/many-%d?crash=true&work=20ms", n)}
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				cr.send(me, ids[i%len(ids)])
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	time.Sleep(15 * time.Second)
	close(stop)
	wg.Wait()
	me.CheckCrashingRequests(t)
	ca := testkit.NewCallersWithPrefix(me, "after")
	for _, id := range ids {
		testkit.Eventually(t, waitTimeout, "calls run at "+id, func() bool {
			return ca.Call(id, http.MethodGet, "/results/other", 0).Outcome == "ran"
		})
	}
}
