package testkit_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	_ "lynxfold/cmd" // the tests run the built binary; the import invalidates cached results when its code changes
	upstreamstandin "lynxfold/io/upstream/standin"
	"lynxfold/testkit"
)

// waitTimeout limits waits whose duration is not under test.
const waitTimeout = 30 * time.Second

const callsDocument = `{
  "services": [{"name": "booking"}],
  "contracts": [
    {"name": "book", "timeout_ms": 8000, "retries": 2},
    {"name": "scan", "timeout_ms": 30000, "class": "bulk"},
    {"name": "certify", "timeout_ms": 8000, "retries": 2, "keyed": true},
    {"name": "check", "idempotent": true, "timeout_ms": 600},
    {"name": "read", "idempotent": true, "timeout_ms": 8000, "retries": 2},
    {"name": "reread", "idempotent": true, "timeout_ms": 8000, "retries": 0}
  ],
  "routes": [
    {"name": "checks", "path_prefix": "/checks", "service": "booking", "contract": "check"},
    {"name": "bookings", "path_prefix": "/bookings", "service": "booking", "contract": "book"},
    {"name": "scans", "path_prefix": "/scans", "service": "booking", "contract": "scan"},
    {"name": "certificates", "path_prefix": "/certificates", "service": "booking", "contract": "certify"},
    {"name": "results", "path_prefix": "/results", "service": "booking", "contract": "read"},
    {"name": "reports", "path_prefix": "/reports", "service": "booking", "contract": "reread"}
  ]
}`

// ingressID is the host that receives the callers' requests; it has no upstream.
const ingressID = "press-hall-1"

// startBookingMesh starts a mesh of an ingress host and two hosts with upstreams.
func startBookingMesh(t *testing.T) (*testkit.Mesh, *testkit.Callers) {
	t.Helper()
	me := startCallsMesh(t, 2, testkit.MeshConfig{Proxied: true})
	return me, testkit.NewCallers(me)
}

// startCallsMesh starts a mesh of an ingress host and a number of hosts with upstreams, named
// curing-room-1 and so on, with callsDocument in force.
func startCallsMesh(t *testing.T, upstreams int, cfg testkit.MeshConfig) *testkit.Mesh {
	t.Helper()
	cfg.Hosts = []testkit.HostSpec{{ID: ingressID, DataCentre: "press-hall"}}
	for i := range upstreams {
		cfg.Hosts = append(cfg.Hosts, upstreamHost(fmt.Sprintf("curing-room-%d", i+1)))
	}
	return startMeshForCalls(t, upstreams, cfg)
}

// startMeshForCalls starts a mesh with callsDocument in force, and waits until the ingress host
// knows a number of upstreams.
func startMeshForCalls(t *testing.T, upstreams int, cfg testkit.MeshConfig) *testkit.Mesh {
	t.Helper()
	me := testkit.StartMesh(t, cfg)
	testkit.Eventually(t, waitTimeout, "the ingress host answers", func() bool { return me.Status(ingressID) != nil })
	status, _ := me.Apply(ingressID, 0, callsDocument)
	assert.Equal(t, status, fasthttp.StatusOK)
	waitForUpstreams(t, me, upstreams)
	return me
}

func upstreamHost(id string) testkit.HostSpec {
	return testkit.HostSpec{
		ID:         id,
		DataCentre: "press-hall",
		Upstream: upstreamstandin.Config{
			Name:        id,
			Service:     "booking",
			Slots:       8,
			ServiceTime: 5 * time.Millisecond,
		},
	}
}

func waitForUpstreams(t *testing.T, me *testkit.Mesh, n int) {
	t.Helper()
	testkit.Eventually(t, waitTimeout, fmt.Sprintf("%d upstreams are known", n), func() bool {
		st := me.Status(ingressID)
		return st != nil && len(st.Services) == 1 && st.Services[0].Upstreams == n
	})
}

// waitForRunningCalls waits until a call runs.
func waitForRunningCalls(t *testing.T, ca *testkit.Callers) {
	t.Helper()
	testkit.Eventually(t, waitTimeout, "calls run again", func() bool {
		return ca.Call(ingressID, "POST", "/bookings", 10).Outcome == "ran"
	})
}

// bookingCalls returns a load function that makes bookings of varying duration and
// body size.
func bookingCalls(ca *testkit.Callers) func(worker int) {
	return func(worker int) {
		ca.Call(ingressID, "POST", fmt.Sprintf("/bookings?work=%dms", 1+worker*7%40), worker*100)
	}
}

// TestBookingsUnderFaults injects one fault after the other under load: no booking
// runs twice, and every reported outcome agrees with the upstreams' ledgers.
func TestBookingsUnderFaults(t *testing.T) {
	me, ca := startBookingMesh(t)
	one := me.Hosts["curing-room-1"]
	two := me.Hosts["curing-room-2"]
	for _, it := range []struct {
		name  string
		begin func()
		end   func()
	}{
		{name: "link proxy restarted", begin: one.RestartProxy, end: func() {}},
		{name: "link down", begin: one.StopProxy, end: one.StartProxy},
		{name: "link blackholed", begin: one.Blackhole, end: one.EndBlackhole},
		{name: "both links blackholed", begin: func() { one.Blackhole(); two.Blackhole() }, end: func() { one.EndBlackhole(); two.EndBlackhole() }},
		{name: "upstream killed", begin: one.KillUpstream, end: one.StartUpstream},
		{
			name:  "upstream unresponsive",
			begin: func() { one.Upstream.SetUnresponsive(true) },
			end:   func() { one.Upstream.SetUnresponsive(false) },
		},
		{name: "node killed", begin: one.Kill, end: one.Start},
		{
			name:  "node paused",
			begin: func() { one.Signal(syscall.SIGSTOP) },
			end:   func() { one.Signal(syscall.SIGCONT) },
		},
	} {
		t.Run(it.name, func(t *testing.T) {
			stop := ca.StartLoad(12, bookingCalls(ca))
			time.Sleep(300 * time.Millisecond)
			it.begin()
			time.Sleep(1200 * time.Millisecond)
			it.end()
			time.Sleep(300 * time.Millisecond)
			stop()
			waitForRunningCalls(t, ca)
			t.Log(ca.CheckOutcomes(t))
		})
	}
}

// TestNodeDrainsUnderLoad stops a node with SIGTERM: it exits, and aborts no call
// that it accepted.
func TestNodeDrainsUnderLoad(t *testing.T) {
	me, ca := startBookingMesh(t)
	one := me.Hosts["curing-room-1"]
	stop := ca.StartLoad(8, bookingCalls(ca))
	time.Sleep(300 * time.Millisecond)
	one.Signal(syscall.SIGTERM)
	assert.Check(t, one.WaitExit(waitTimeout), "%s", one.Log())
	stop()
	counts := ca.CheckOutcomes(t)
	t.Log(counts)
	for _, cr := range ca.Results() {
		assert.Check(t, cr.Outcome == "ran" || cr.Outcome == "not_run", "%+v", cr)
	}
	assert.Check(t, strings.Contains(one.Log(), `"cut":0`), "%s", one.Log())
}

// TestSecondSignalEndsAtOnce sends a second SIGTERM to a node that is draining while
// a long call runs: it exits at once and logs the number of calls it aborted.
func TestSecondSignalEndsAtOnce(t *testing.T) {
	me, ca := startBookingMesh(t)
	one := me.Hosts["curing-room-1"]
	me.Hosts["curing-room-2"].KillUpstream()
	waitForUpstreams(t, me, 1)
	go ca.Call(ingressID, "POST", "/scans?work=25s", 10)
	testkit.Eventually(t, waitTimeout, "the call runs", func() bool { return len(one.Upstream.Ledger()) == 1 })
	one.Signal(syscall.SIGTERM)
	testkit.Eventually(t, waitTimeout, "the node drains", func() bool {
		return strings.Contains(one.Log(), "node drains")
	})
	one.Signal(syscall.SIGTERM)
	assert.Check(t, one.WaitExit(10*time.Second), "%s", one.Log())
	assert.Check(t, strings.Contains(one.Log(), `"cut":1`), "%s", one.Log())
}

// TestUpstreamDrains drains one of two upstreams under load: its running calls are
// answered, and after the grace period of 3 s it gets no new ones.
func TestUpstreamDrains(t *testing.T) {
	me, ca := startBookingMesh(t)
	one := me.Hosts["curing-room-1"]
	stop := ca.StartLoad(8, bookingCalls(ca))
	time.Sleep(300 * time.Millisecond)
	one.Upstream.Drain()
	time.Sleep(3 * time.Second)
	after := len(one.Upstream.Ledger())
	time.Sleep(500 * time.Millisecond)
	stop()
	assert.Equal(t, len(one.Upstream.Ledger()), after, "the upstream got new calls more than 3 s after it began to drain")
	t.Log(ca.CheckOutcomes(t))
	for _, cr := range ca.Results() {
		assert.Equal(t, cr.Outcome, "ran", "%+v", cr)
	}
}

// TestOnlyUpstreamDrains drains a service's only upstream: its callers get the
// outcome not_run, and the upstream gets no new calls.
func TestOnlyUpstreamDrains(t *testing.T) {
	me, ca := startBookingMesh(t)
	me.Hosts["curing-room-2"].KillUpstream()
	waitForUpstreams(t, me, 1)
	one := me.Hosts["curing-room-1"]
	one.Upstream.Drain()
	time.Sleep(3 * time.Second)
	before := len(one.Upstream.Ledger())
	for range 20 {
		cr := ca.Call(ingressID, "POST", "/bookings", 10)
		assert.Equal(t, cr.Outcome, "not_run", "%+v", cr)
	}
	assert.Equal(t, len(one.Upstream.Ledger()), before)
}

// TestIngressDrainsUnderLoad stops the node that receives the callers' requests: a
// call without a complete answer did not run.
func TestIngressDrainsUnderLoad(t *testing.T) {
	me, ca := startBookingMesh(t)
	one := me.Hosts["curing-room-1"]
	stop := ca.StartLoad(8, func(worker int) {
		cr := ca.Call("curing-room-1", "POST", fmt.Sprintf("/bookings?work=%dms", 1+worker*7%40), worker*100)
		if cr.Err != nil {
			time.Sleep(10 * time.Millisecond) // the node no longer listens
		}
	})
	time.Sleep(300 * time.Millisecond)
	one.Signal(syscall.SIGTERM)
	assert.Check(t, one.WaitExit(waitTimeout), "%s", one.Log())
	stop()
	t.Log(ca.CheckOutcomes(t))
	runs := me.Runs()
	for _, cr := range ca.Results() {
		if cr.Err != nil {
			assert.Check(t, len(runs[cr.CallID]) == 0, "%+v ran, but its caller got no complete answer", cr)
		}
	}
	assert.Check(t, strings.Contains(one.Log(), `"cut":0`), "%s", one.Log())
}

// makeKeyedCall makes a call with an idempotency key at a host and returns its
// outcome and answer.
func makeKeyedCall(me *testkit.Mesh, id, key string) (outcome, answer string, err error) {
	rq, err := http.NewRequest("POST", "http://"+me.Hosts[id].CallerAddress+"/certificates?work=300ms", strings.NewReader("cube 17"))
	if err != nil {
		return "", "", err
	}
	rq.Header.Set("Idempotency-Key", key)
	rq.Header.Set(upstreamstandin.HeaderCallID, key)
	cl := &http.Client{
		Transport: &http.Transport{DisableKeepAlives: true},
		Timeout:   waitTimeout,
	}
	rs, err := cl.Do(rq)
	if err != nil {
		return "", "", err
	}
	defer func() { _ = rs.Body.Close() }()
	data, err := io.ReadAll(rs.Body)
	return rs.Header.Get("Lynxfold-Outcome"), string(data), err
}

// TestKeyedAcrossNodes sends calls with one idempotency key to all nodes
// concurrently, and repeats another call at a second node after the first was killed
// during it. Each key runs once, the concurrent calls get the same answer, and the
// repeated call gets an answer too.
func TestKeyedAcrossNodes(t *testing.T) {
	me, _ := startBookingMesh(t)
	answers := make(chan string)
	hosts := []string{ingressID, "curing-room-1", "curing-room-2"}
	for _, id := range hosts {
		testkit.Eventually(t, waitTimeout, id+" knows the upstreams", func() bool {
			st := me.Status(id)
			return st != nil && len(st.Services) == 1 && st.Services[0].Upstreams == 2
		})
	}
	for _, id := range hosts {
		go func() {
			outcome, answer, err := makeKeyedCall(me, id, "at-once")
			answers <- fmt.Sprint(outcome, answer, err)
		}()
	}
	first := <-answers
	assert.Check(t, strings.HasPrefix(first, "ran"), "%s", first)
	for range hosts[1:] {
		assert.Equal(t, <-answers, first)
	}
	assert.Equal(t, len(me.Runs()["at-once"]), 1)

	go func() { _, _, _ = makeKeyedCall(me, ingressID, "killed") }()
	testkit.Eventually(t, waitTimeout, "the call runs", func() bool { return len(me.Runs()["killed"]) == 1 })
	me.Hosts[ingressID].Kill()
	testkit.Eventually(t, waitTimeout, "the repeated call gets the answer", func() bool {
		outcome, answer, err := makeKeyedCall(me, "curing-room-1", "killed")
		return err == nil && outcome == "ran" && strings.Contains(answer, `"call":"killed"`)
	})
	assert.Equal(t, len(me.Runs()["killed"]), 1)
}

// TestTruncatedAndSlowAnswers checks that a truncated answer is never reported as
// ran, and that a slow complete one is.
func TestTruncatedAndSlowAnswers(t *testing.T) {
	_, ca := startBookingMesh(t)
	for _, path := range []string{
		"/bookings?bytes=1000&truncate=true",
		"/bookings?bytes=3000000&truncate=true",
		"/results?bytes=1000&truncate=true",
	} {
		cr := ca.Call(ingressID, "POST", path, 10)
		assert.Check(t, cr.Outcome != "ran", "%s: %+v", path, cr)
	}
	cr := ca.Call(ingressID, "POST", "/bookings?work=3s&bytes=1000000&chunked=true", 10)
	assert.Equal(t, cr.Outcome, "ran")
	assert.Check(t, cr.AnswerMatches)
}

// TestLookupsDuringStalledTransfers checks that lookups go on while long answers
// are stalled on the same link because their callers don't read them.
func TestLookupsDuringStalledTransfers(t *testing.T) {
	me, ca := startBookingMesh(t)
	var stalled []net.Conn
	for range 4 {
		nc, err := net.Dial("tcp", me.Hosts[ingressID].CallerAddress)
		assert.NilError(t, err)
		_, err = io.WriteString(nc, "GET /scans?bytes=20000000 HTTP/1.1\r\nHost: x\r\nCall-Id: stalled\r\n\r\n")
		assert.NilError(t, err)
		_, err = io.ReadFull(nc, make([]byte, 16))
		assert.NilError(t, err)
		stalled = append(stalled, nc)
	}
	done := make(chan bool)
	go func() { done <- ca.Call(ingressID, "POST", "/scans?bytes=20000000", 20_000_000).AnswerMatches }()
	for i := range 200 {
		cr := ca.Call(ingressID, "GET", "/results", i)
		assert.Equal(t, cr.Outcome, "ran", "%+v", cr)
		assert.Check(t, cr.AnswerMatches)
	}
	assert.Check(t, <-done, "the concurrent transfer is incomplete")
	for _, nc := range stalled {
		assert.NilError(t, nc.Close())
	}
}

// TestCallerGoneAcrossNodes closes callers' connections during calls and uploads:
// the upstream on the other node gets the cancellation and frees its slots.
func TestCallerGoneAcrossNodes(t *testing.T) {
	me, ca := startBookingMesh(t)
	for _, request := range []string{
		"POST /bookings?work=20s HTTP/1.1\r\nHost: x\r\nCall-Id: gone\r\nContent-Length: 3\r\n\r\nabc",
		"POST /scans HTTP/1.1\r\nHost: x\r\nCall-Id: cut\r\nContent-Length: 9000000\r\n\r\n" + strings.Repeat("x", 1_000_000),
	} {
		for range 16 {
			nc, err := net.Dial("tcp", me.Hosts[ingressID].CallerAddress)
			assert.NilError(t, err)
			_, err = io.WriteString(nc, request)
			assert.NilError(t, err)
			time.Sleep(20 * time.Millisecond)
			assert.NilError(t, nc.Close())
		}
	}
	testkit.Eventually(t, waitTimeout, "upstreams got the cancellation", func() bool {
		for _, ru := range me.Runs()["gone"] {
			if !ru.Cancelled {
				return false
			}
		}
		return true
	})
	assert.Equal(t, len(me.Runs()["cut"]), 0, "an incomplete upload was run as a call")
	testkit.Eventually(t, waitTimeout, "slots are free", func() bool {
		rs, err := http.Get("http://" + me.Hosts[ingressID].CallerAddress + "/results")
		if err != nil {
			return false
		}
		defer func() { _ = rs.Body.Close() }()
		return rs.StatusCode == http.StatusOK
	})
	waitForRunningCalls(t, ca)
}

// TestCallDelayedOnTheLinkBeyondItsDeadlineDoesNotRun delays what the ingress sends to
// the gates by more than the calls' timeout, once there are connections between them.
func TestCallDelayedOnTheLinkBeyondItsDeadlineDoesNotRun(t *testing.T) {
	me, ca := startBookingMesh(t)
	const workers = 12
	warm := ca.StartLoad(workers, func(int) { ca.Call(ingressID, "GET", "/checks?work=20ms", 0) })
	time.Sleep(time.Second)
	warm()
	const delay = 1500 * time.Millisecond
	for _, id := range []string{"curing-room-1", "curing-room-2"} {
		me.Hosts[id].AddLatency(delay)
	}
	late := testkit.NewCallersWithPrefix(me, "late")
	var wg sync.WaitGroup
	for range workers {
		wg.Go(func() { late.Call(ingressID, "GET", "/checks", 0) })
	}
	wg.Wait()
	time.Sleep(2 * delay)
	runs := me.Runs()
	for _, cr := range late.Results() {
		assert.Check(t, cr.Outcome != "ran", "%+v", cr)
		assert.Check(t, len(runs[cr.CallID]) == 0, "%s ran after its deadline", cr.CallID)
	}
}

// TestCallsDelayedOnTheLinkAreNotGivenUp delays what the ingress sends to the gates by more
// than the time after which a connection counts as silent, and by less than the calls' timeout.
func TestCallsDelayedOnTheLinkAreNotGivenUp(t *testing.T) {
	const delay = 1500 * time.Millisecond
	for _, path := range []string{"/reports", "/results", "/bookings"} {
		t.Run(strings.Trim(path, "/"), func(t *testing.T) {
			me, ca := startBookingMesh(t)
			const workers = 4
			warm := ca.StartLoad(workers, func(int) { ca.Call(ingressID, "GET", path+"?work=20ms", 0) })
			time.Sleep(time.Second)
			warm()
			for _, id := range []string{"curing-room-1", "curing-room-2"} {
				me.Hosts[id].AddLatency(delay)
			}
			late := testkit.NewCallersWithPrefix(me, "late")
			var wg sync.WaitGroup
			for range workers {
				wg.Go(func() { late.Call(ingressID, "GET", path, 0) })
			}
			wg.Wait()
			for _, cr := range late.Results() {
				assert.Check(t, cr.Outcome == "ran" && cr.Status == fasthttp.StatusOK, "%+v", cr)
			}
		})
	}
}
