package testkit_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	_ "lynxfold/cmd" // the tests run its binary: a change of it must run them again
	upstreamstandin "lynxfold/io/upstream/standin"
	"lynxfold/testkit"
)

// generous bounds waits whose length is no verdict.
const generous = 30 * time.Second

const callsDocument = `{
  "services": [{"name": "booking"}],
  "contracts": [
    {"name": "book", "timeout_ms": 8000, "retries": 2},
    {"name": "scan", "timeout_ms": 30000, "class": "bulk"},
    {"name": "certify", "timeout_ms": 8000, "retries": 2, "keyed": true},
    {"name": "read", "idempotent": true, "timeout_ms": 8000, "retries": 2}
  ],
  "routes": [
    {"name": "bookings", "path_prefix": "/bookings", "service": "booking", "contract": "book"},
    {"name": "scans", "path_prefix": "/scans", "service": "booking", "contract": "scan"},
    {"name": "certificates", "path_prefix": "/certificates", "service": "booking", "contract": "certify"},
    {"name": "results", "path_prefix": "/results", "service": "booking", "contract": "read"}
  ]
}`

// ingress is the host where the tests' callers are; it has no upstream.
const ingress = "press-hall-1"

// startCalls starts a mesh of an ingress and two hosts with upstreams.
func startCalls(t *testing.T) (*testkit.Mesh, *testkit.Callers) {
	t.Helper()
	me := testkit.StartMesh(t, testkit.MeshConfig{
		Proxied: true,
		Hosts: []testkit.HostSpec{
			{ID: ingress, DataCentre: "press-hall"},
			upstreamHost("curing-room-1"),
			upstreamHost("curing-room-2"),
		},
	})
	testkit.Eventually(t, generous, "the console answers", func() bool { return me.Status(ingress) != nil })
	status, _ := me.Apply(ingress, 0, callsDocument)
	assert.Equal(t, status, fasthttp.StatusOK)
	waitUpstreams(t, me, 2)
	return me, testkit.NewCallers(me)
}

func upstreamHost(id string) testkit.HostSpec {
	return testkit.HostSpec{
		ID:         id,
		DataCentre: "press-hall",
		Upstream: upstreamstandin.Config{
			Name:    id,
			Service: "booking",
			Slots:   8,
			Work:    5 * time.Millisecond,
		},
	}
}

func waitUpstreams(t *testing.T, me *testkit.Mesh, n int) {
	t.Helper()
	testkit.Eventually(t, generous, fmt.Sprintf("%d upstreams are known", n), func() bool {
		st := me.Status(ingress)
		return st != nil && len(st.Services) == 1 && st.Services[0].Upstreams == n
	})
}

// waitRan waits until calls run again.
func waitRan(t *testing.T, ca *testkit.Callers) {
	t.Helper()
	testkit.Eventually(t, generous, "calls run again", func() bool {
		return ca.Call(ingress, "POST", "/bookings", 10).Outcome == "ran"
	})
}

// bookings makes bookings of mixed lengths.
func bookings(ca *testkit.Callers) func(worker int) {
	return func(worker int) {
		ca.Call(ingress, "POST", fmt.Sprintf("/bookings?work=%dms", 1+worker*7%40), worker*100)
	}
}

// TestBookingsUnderFaults injects one fault after the other under a load of
// bookings: none runs twice, and nobody is told a falsehood.
func TestBookingsUnderFaults(t *testing.T) {
	me, ca := startCalls(t)
	one := me.Hosts["curing-room-1"]
	two := me.Hosts["curing-room-2"]
	for _, it := range []struct {
		name  string
		fault func()
		mend  func()
	}{
		{name: "link cut for a moment", fault: one.Flicker, mend: func() {}},
		{name: "link cut", fault: one.Cut, mend: one.Mend},
		{name: "link silent", fault: one.Silence, mend: one.Speak},
		{name: "both links silent", fault: func() { one.Silence(); two.Silence() }, mend: func() { one.Speak(); two.Speak() }},
		{name: "upstream killed", fault: one.KillUpstream, mend: one.StartUpstream},
		{
			name:  "upstream silent",
			fault: func() { one.Upstream.SetSilent(true) },
			mend:  func() { one.Upstream.SetSilent(false) },
		},
		{name: "node killed", fault: one.Kill, mend: one.Start},
		{
			name:  "node paused",
			fault: func() { one.Signal(syscall.SIGSTOP) },
			mend:  func() { one.Signal(syscall.SIGCONT) },
		},
	} {
		t.Run(it.name, func(t *testing.T) {
			stop := ca.Load(12, bookings(ca))
			time.Sleep(300 * time.Millisecond)
			it.fault()
			time.Sleep(1200 * time.Millisecond)
			it.mend()
			time.Sleep(300 * time.Millisecond)
			stop()
			waitRan(t, ca)
			t.Log(ca.Check(t))
		})
	}
}

// TestNodeDrainsUnderLoad stops a node with SIGTERM: no call that it let in is
// cut off, and it ends.
func TestNodeDrainsUnderLoad(t *testing.T) {
	me, ca := startCalls(t)
	one := me.Hosts["curing-room-1"]
	stop := ca.Load(8, bookings(ca))
	time.Sleep(300 * time.Millisecond)
	one.Signal(syscall.SIGTERM)
	assert.Check(t, one.Exited(generous), "%s", one.Log())
	stop()
	counts := ca.Check(t)
	t.Log(counts)
	for _, te := range ca.Told() {
		assert.Check(t, te.Outcome == "ran" || te.Outcome == "not_run", "%+v", te)
	}
	assert.Check(t, strings.Contains(one.Log(), `"cut":0`), "%s", one.Log())
}

// TestSecondSignalEndsAtOnce ends a node whose call would take long, and says
// what was cut.
func TestSecondSignalEndsAtOnce(t *testing.T) {
	me, ca := startCalls(t)
	one := me.Hosts["curing-room-1"]
	me.Hosts["curing-room-2"].KillUpstream()
	waitUpstreams(t, me, 1)
	go ca.Call(ingress, "POST", "/scans?work=25s", 10)
	testkit.Eventually(t, generous, "the call runs", func() bool { return len(one.Upstream.Ledger()) == 1 })
	one.Signal(syscall.SIGTERM)
	testkit.Eventually(t, generous, "the node drains", func() bool {
		return strings.Contains(one.Log(), "node drains")
	})
	one.Signal(syscall.SIGTERM)
	assert.Check(t, one.Exited(10*time.Second), "%s", one.Log())
	assert.Check(t, strings.Contains(one.Log(), `"cut":1`), "%s", one.Log())
}

// TestUpstreamDrains has an upstream leave under load: what it runs is
// answered, and after the grace it gets nothing new.
func TestUpstreamDrains(t *testing.T) {
	me, ca := startCalls(t)
	one := me.Hosts["curing-room-1"]
	stop := ca.Load(8, bookings(ca))
	time.Sleep(300 * time.Millisecond)
	one.Upstream.Drain()
	time.Sleep(3 * time.Second)
	after := len(one.Upstream.Ledger())
	time.Sleep(500 * time.Millisecond)
	stop()
	assert.Equal(t, len(one.Upstream.Ledger()), after, "new work after 3 s")
	t.Log(ca.Check(t))
	for _, te := range ca.Told() {
		assert.Equal(t, te.Outcome, "ran", "%+v", te)
	}
}

// TestOnlyUpstreamDrains has a service's only upstream leave: its callers are
// told at once that nothing ran.
func TestOnlyUpstreamDrains(t *testing.T) {
	me, ca := startCalls(t)
	me.Hosts["curing-room-2"].KillUpstream()
	waitUpstreams(t, me, 1)
	one := me.Hosts["curing-room-1"]
	one.Upstream.Drain()
	time.Sleep(3 * time.Second)
	before := len(one.Upstream.Ledger())
	for range 20 {
		te := ca.Call(ingress, "POST", "/bookings", 10)
		assert.Equal(t, te.Outcome, "not_run", "%+v", te)
	}
	assert.Equal(t, len(one.Upstream.Ledger()), before)
}

// TestIngressDrainsUnderLoad stops the node that the callers use: whoever has no
// whole answer had a call that did not run.
func TestIngressDrainsUnderLoad(t *testing.T) {
	me, ca := startCalls(t)
	one := me.Hosts["curing-room-1"]
	stop := ca.Load(8, func(worker int) {
		te := ca.Call("curing-room-1", "POST", fmt.Sprintf("/bookings?work=%dms", 1+worker*7%40), worker*100)
		if te.Err != nil {
			time.Sleep(10 * time.Millisecond) // nobody listens any more
		}
	})
	time.Sleep(300 * time.Millisecond)
	one.Signal(syscall.SIGTERM)
	assert.Check(t, one.Exited(generous), "%s", one.Log())
	stop()
	t.Log(ca.Check(t))
	runs := me.Runs()
	for _, te := range ca.Told() {
		if te.Err != nil {
			assert.Check(t, len(runs[te.Call]) == 0, "%+v ran, and its caller was cut off", te)
		}
	}
	assert.Check(t, strings.Contains(one.Log(), `"cut":0`), "%s", one.Log())
}

// certify makes a keyed call at a host, and returns its outcome and answer.
func certify(me *testkit.Mesh, id, key string) (outcome, answer string, err error) {
	rq, err := http.NewRequest("POST", "http://"+me.Hosts[id].Caller+"/certificates?work=300ms", strings.NewReader("cube 17"))
	if err != nil {
		return "", "", err
	}
	rq.Header.Set("Idempotency-Key", key)
	rq.Header.Set(upstreamstandin.HeaderCall, key)
	cl := &http.Client{
		Transport: &http.Transport{DisableKeepAlives: true},
		Timeout:   generous,
	}
	rs, err := cl.Do(rq)
	if err != nil {
		return "", "", err
	}
	defer func() { _ = rs.Body.Close() }()
	data, err := io.ReadAll(rs.Body)
	return rs.Header.Get("Lynxfold-Outcome"), string(data), err
}

// TestKeyedAcrossNodes repeats keyed calls at every node at once, and after the
// node that took the first one was killed in mid-call: each runs once, and all
// repeats get the first answer.
func TestKeyedAcrossNodes(t *testing.T) {
	me, _ := startCalls(t)
	answers := make(chan string)
	hosts := []string{ingress, "curing-room-1", "curing-room-2"}
	for _, id := range hosts {
		go func() {
			outcome, answer, err := certify(me, id, "at-once")
			answers <- fmt.Sprint(outcome, answer, err)
		}()
	}
	first := <-answers
	assert.Check(t, strings.HasPrefix(first, "ran"), "%s", first)
	for range hosts[1:] {
		assert.Equal(t, <-answers, first)
	}
	assert.Equal(t, len(me.Runs()["at-once"]), 1)

	go func() { _, _, _ = certify(me, ingress, "killed") }()
	testkit.Eventually(t, generous, "the call runs", func() bool { return len(me.Runs()["killed"]) == 1 })
	me.Hosts[ingress].Kill()
	testkit.Eventually(t, generous, "the repeat has the answer", func() bool {
		outcome, answer, err := certify(me, "curing-room-1", "killed")
		return err == nil && outcome == "ran" && strings.Contains(answer, `"call":"killed"`)
	})
	assert.Equal(t, len(me.Runs()["killed"]), 1)
}

// TestTruncatedAndSlowAnswers passes no part of an answer for the whole.
func TestTruncatedAndSlowAnswers(t *testing.T) {
	_, ca := startCalls(t)
	for _, path := range []string{
		"/bookings?bytes=1000&truncate=true",
		"/bookings?bytes=3000000&truncate=true",
		"/results?bytes=1000&truncate=true",
	} {
		te := ca.Call(ingress, "POST", path, 10)
		assert.Check(t, te.Outcome != "ran", "%s: %+v", path, te)
	}
	te := ca.Call(ingress, "POST", "/bookings?work=3s&bytes=1000000&chunked=true", 10)
	assert.Equal(t, te.Outcome, "ran")
	assert.Check(t, te.Own)
}

// TestLookupsBesideTransfers keeps lookups going while long answers stand still
// on the same link, because their callers do not read.
func TestLookupsBesideTransfers(t *testing.T) {
	me, ca := startCalls(t)
	var stalled []net.Conn
	for range 4 {
		nc, err := net.Dial("tcp", me.Hosts[ingress].Caller)
		assert.NilError(t, err)
		_, err = io.WriteString(nc, "GET /scans?bytes=20000000 HTTP/1.1\r\nHost: x\r\nCall-Id: stalled\r\n\r\n")
		assert.NilError(t, err)
		_, err = io.ReadFull(nc, make([]byte, 16))
		assert.NilError(t, err)
		stalled = append(stalled, nc)
	}
	done := make(chan bool)
	go func() { done <- ca.Call(ingress, "POST", "/scans?bytes=20000000", 20_000_000).Own }()
	for i := range 200 {
		te := ca.Call(ingress, "GET", "/results", i)
		assert.Equal(t, te.Outcome, "ran", "%+v", te)
		assert.Check(t, te.Own)
	}
	assert.Check(t, <-done, "the transfer beside the lookups is whole")
	for _, nc := range stalled {
		assert.NilError(t, nc.Close())
	}
}

// TestCallerGoneAcrossNodes ends callers in mid-call and mid-upload: the upstream
// on the other node is told, and its slots are free again.
func TestCallerGoneAcrossNodes(t *testing.T) {
	me, ca := startCalls(t)
	for _, request := range []string{
		"POST /bookings?work=20s HTTP/1.1\r\nHost: x\r\nCall-Id: gone\r\nContent-Length: 3\r\n\r\nabc",
		"POST /scans HTTP/1.1\r\nHost: x\r\nCall-Id: cut\r\nContent-Length: 9000000\r\n\r\n" + strings.Repeat("x", 1_000_000),
	} {
		for range 16 {
			nc, err := net.Dial("tcp", me.Hosts[ingress].Caller)
			assert.NilError(t, err)
			_, err = io.WriteString(nc, request)
			assert.NilError(t, err)
			time.Sleep(20 * time.Millisecond)
			assert.NilError(t, nc.Close())
		}
	}
	testkit.Eventually(t, generous, "upstreams are told", func() bool {
		for _, ru := range me.Runs()["gone"] {
			if !ru.Cancelled {
				return false
			}
		}
		return true
	})
	assert.Equal(t, len(me.Runs()["cut"]), 0, "a part of an upload was taken for the whole")
	testkit.Eventually(t, generous, "slots are free", func() bool {
		rs, err := http.Get("http://" + me.Hosts[ingress].Caller + "/results")
		if err != nil {
			return false
		}
		defer func() { _ = rs.Body.Close() }()
		return rs.StatusCode == http.StatusOK
	})
	waitRan(t, ca)
}
