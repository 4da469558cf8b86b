package testkit_test

import (
	"bufio"
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

	upstreamstandin "lynxfold/io/upstream/standin"
	"lynxfold/testkit"
)

// drainSettings make a node leave soon after SIGTERM.
const drainSettings = "[caller]\nlinger_for = 500ms\ndrain_within = 5s\n"

// TestCallsAdmittedByLeavingHostsAreAnswered stops hosts that news of their leaving is late
// from, so that calls arrive until they end: a call that a leaving gate admits was cut when
// the gate had run nothing a moment before.
func TestCallsAdmittedByLeavingHostsAreAnswered(t *testing.T) {
	const gates = 6
	me := startCallsMesh(t, gates, testkit.MeshConfig{
		Proxied:  true,
		Settings: drainSettings,
	})
	ca := testkit.NewCallers(me)
	ca.EnableKeepAlive()
	me.Hosts[ingressID].AddLatency(300 * time.Millisecond)
	stop := ca.StartLoad(24, func(worker int) {
		ca.Call(ingressID, "GET", fmt.Sprintf("/reports?work=%dms", 20+worker), 0)
		time.Sleep(time.Duration(20+worker) * time.Millisecond)
	})
	time.Sleep(500 * time.Millisecond)
	for i := range gates {
		ho := me.Hosts[fmt.Sprintf("curing-room-%d", i+1)]
		ho.AddResponseLatency(100 * time.Millisecond)
		ho.Signal(syscall.SIGTERM)
		time.Sleep(130 * time.Millisecond)
	}
	for i := range gates {
		ho := me.Hosts[fmt.Sprintf("curing-room-%d", i+1)]
		checkDrained(t, ho)
	}
	stop()
	t.Log(ca.CheckOutcomes(t))
	for _, cr := range ca.Results() {
		assert.Check(t, cr.Outcome == "ran" || cr.Outcome == "not_run", "%+v", cr)
	}
	if t.Failed() {
		t.Log(me.Hosts[ingressID].Log())
	}
}

// checkDrained waits until a node that drains has ended, and checks that it has cut no call.
func checkDrained(t *testing.T, ho *testkit.Host) {
	t.Helper()
	assert.Check(t, ho.WaitExit(waitTimeout), "%s", ho.Log())
	assert.Check(t, strings.Contains(ho.Log(), `"cut":0`), "%s", ho.Log())
}

// pipeline writes requests with the given targets on one connection to a host, without
// waiting for their answers. A target is a method and a path, and the ids of the calls are
// call-1 and so on.
func pipeline(t *testing.T, ho *testkit.Host, targets []string) net.Conn {
	t.Helper()
	nc, err := net.Dial("tcp", ho.CallerAddress)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = nc.Close() })
	assert.NilError(t, nc.SetDeadline(time.Now().Add(waitTimeout)))
	text := ""
	for i, it := range targets {
		text += fmt.Sprintf("%s HTTP/1.1\r\nHost: x\r\n%s: call-%d\r\nContent-Length: 0\r\n\r\n", it, upstreamstandin.HeaderCallID, i+1)
	}
	_, err = io.WriteString(nc, text)
	assert.NilError(t, err)
	return nc
}

// waitForDrain sends SIGTERM to a node and waits until it drains.
func waitForDrain(t *testing.T, ho *testkit.Host) {
	t.Helper()
	ho.Signal(syscall.SIGTERM)
	testkit.Eventually(t, waitTimeout, "the node drains", func() bool {
		return strings.Contains(ho.Log(), "node drains")
	})
}

// TestPipelinedCallsAreAnsweredDuringDrain sends calls behind each other to a node that
// drains: those that were passed on were dropped when the first answer closed the connection.
// Those that may not be repeated wait for those before them, and do not run; that they are not
// read must not reset the connection, which could discard the last answers on their way.
func TestPipelinedCallsAreAnsweredDuringDrain(t *testing.T) {
	const reads = 6
	me, _ := startBookingMesh(t)
	ho := me.Hosts[ingressID]
	waitForDrain(t, ho)
	targets := []string{"GET /results?work=300ms"}
	for range reads - 1 {
		targets = append(targets, "GET /results?work=600ms")
	}
	for range 2_000 {
		targets = append(targets, "POST /bookings?work=10ms")
	}
	nc := pipeline(t, ho, targets)
	answers := bufio.NewReader(nc)
	for i := range reads {
		rs, err := http.ReadResponse(answers, nil)
		assert.NilError(t, err, "call-%d", i+1)
		body, err := io.ReadAll(rs.Body)
		assert.NilError(t, err)
		assert.Check(t, strings.Contains(string(body), fmt.Sprintf(`"call":"call-%d"`, i+1)), "%s", body)
		assert.Equal(t, rs.Close, i == reads-1, "call-%d", i+1)
	}
	_, err := answers.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
	checkDrained(t, ho)
	assert.Equal(t, len(me.Runs()[fmt.Sprintf("call-%d", reads+1)]), 0)
}

// lateBodySettings leave 3 s after SIGTERM for calls.
const lateBodySettings = "[caller]\nlinger_for = 500ms\ndrain_within = 3s\n"

// startLateBodyMesh starts a mesh whose nodes know that the calls of these tests take 0.8 s.
func startLateBodyMesh(t *testing.T) *testkit.Mesh {
	t.Helper()
	me := startCallsMesh(t, 2, testkit.MeshConfig{Settings: lateBodySettings})
	ca := testkit.NewCallersWithPrefix(me, "before")
	stop := ca.StartLoad(4, func(int) { ca.Call(ingressID, "POST", "/bookings?work=800ms", 10) })
	time.Sleep(2 * time.Second)
	stop()
	return me
}

// postSlowly sends a request in two parts, the second one after a channel is closed, and
// returns the response.
func postSlowly(ho *testkit.Host, head, first, rest string, resume <-chan struct{}) (*http.Response, error) {
	nc, err := net.Dial("tcp", ho.CallerAddress)
	if err != nil {
		return nil, err
	}
	defer func() { _ = nc.Close() }()
	_ = nc.SetDeadline(time.Now().Add(waitTimeout))
	if _, err := io.WriteString(nc, head+first); err != nil {
		return nil, err
	}
	<-resume
	// The node may have refused the request already.
	_, _ = io.WriteString(nc, rest)
	rs, err := http.ReadResponse(bufio.NewReader(nc), nil)
	if err != nil {
		return nil, err
	}
	_, err = io.ReadAll(rs.Body)
	return rs, err
}

// TestCallsWithLateBodiesAreNotCut sends requests that may not be repeated to a node that
// drains, whose bodies are complete soon or late. The late ones were passed on, and cut at the
// end of the drain: they are refused as not run.
func TestCallsWithLateBodiesAreNotCut(t *testing.T) {
	me := startLateBodyMesh(t)
	ho := me.Hosts[ingressID]
	waitForDrain(t, ho)
	soon, late := make(chan struct{}), make(chan struct{})
	time.AfterFunc(400*time.Millisecond, func() { close(soon) })
	time.AfterFunc(2200*time.Millisecond, func() { close(late) })
	short, long := strings.Repeat("s", 500), strings.Repeat("l", 100_000)
	var done sync.WaitGroup
	for _, it := range []struct {
		name   string
		path   string
		resume <-chan struct{}
		half   string
		status int
		runs   int
	}{
		{name: "short-soon", path: "/bookings", resume: soon, half: short, status: 200, runs: 1},
		{name: "long-soon", path: "/scans", resume: soon, half: long, status: 200, runs: 1},
		{name: "short-late", path: "/bookings", resume: late, half: short, status: 503},
		{name: "long-late", path: "/scans", resume: late, half: long, status: 503},
	} {
		for _, chunked := range []bool{false, true} {
			id := fmt.Sprintf("%s-%t", it.name, chunked)
			head := fmt.Sprintf("POST %s?work=800ms HTTP/1.1\r\nHost: x\r\n%s: %s\r\n", it.path, upstreamstandin.HeaderCallID, id)
			first, rest := it.half, it.half
			if chunked {
				head += "Transfer-Encoding: chunked\r\n\r\n"
				first = fmt.Sprintf("%x\r\n%s\r\n", len(it.half), it.half)
				rest = first + "0\r\n\r\n"
			} else {
				head += fmt.Sprintf("Content-Length: %d\r\n\r\n", 2*len(it.half))
			}
			done.Go(func() {
				rs, err := postSlowly(ho, head, first, rest, it.resume)
				if assert.Check(t, err == nil, "%s: %v", id, err) {
					assert.Check(t, rs.StatusCode == it.status, "%s: status %d, outcome %s", id, rs.StatusCode, rs.Header.Get("Lynxfold-Outcome"))
				}
				assert.Check(t, len(me.Runs()[id]) == it.runs, "%s ran %d times", id, len(me.Runs()[id]))
			})
		}
	}
	done.Wait()
	checkDrained(t, ho)
}

// TestCallsThatOutlastTheDrainGoElsewhere stops a host under calls that take longer than the
// rest of its drain: its gate admitted them, and they were cut at the end.
func TestCallsThatOutlastTheDrainGoElsewhere(t *testing.T) {
	me := startCallsMesh(t, 2, testkit.MeshConfig{Settings: "[caller]\nlinger_for = 1s\ndrain_within = 1500ms\n"})
	ca := testkit.NewCallers(me)
	stop := ca.StartLoad(8, func(worker int) {
		ca.Call(ingressID, "GET", fmt.Sprintf("/reports?work=%dms", 700+20*worker), 0)
		time.Sleep(time.Duration(10*worker) * time.Millisecond)
	})
	time.Sleep(4 * time.Second)
	ho := me.Hosts["curing-room-1"]
	ho.Signal(syscall.SIGTERM)
	checkDrained(t, ho)
	stop()
	t.Log(ca.CheckOutcomes(t))
	for _, cr := range ca.Results() {
		assert.Check(t, cr.Outcome == "ran", "%+v", cr)
	}
}

// TestUpstreamsCallThroughLeavingHosts stops a host whose upstream makes a call at the end of
// each of its runs: a call after linger_for found the listener closed, and its run failed.
func TestUpstreamsCallThroughLeavingHosts(t *testing.T) {
	me := startCallsMesh(t, 2, testkit.MeshConfig{Settings: drainSettings})
	ca := testkit.NewCallers(me)
	stop := ca.StartLoad(6, func(worker int) {
		ca.Call(ingressID, "POST", fmt.Sprintf("/bookings?work=%dms&call=/results", 700+20*worker), 10)
	})
	time.Sleep(time.Second)
	ho := me.Hosts["curing-room-1"]
	ho.Signal(syscall.SIGTERM)
	checkDrained(t, ho)
	stop()
	t.Log(ca.CheckOutcomes(t))
	for _, cr := range ca.Results() {
		assert.Check(t, cr.Outcome == "ran" && cr.Status == fasthttp.StatusOK, "%+v", cr)
	}
}
