package testkit_test

import (
	"bufio"
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
	cfg := testkit.MeshConfig{
		Proxied:  true,
		Hosts:    []testkit.HostSpec{{ID: ingressID, DataCentre: "press-hall"}},
		Settings: drainSettings,
	}
	for i := range gates {
		cfg.Hosts = append(cfg.Hosts, upstreamHost(fmt.Sprintf("curing-room-%d", i+1)))
	}
	me := testkit.StartMesh(t, cfg)
	ca := testkit.NewCallers(me)
	ca.EnableKeepAlive()
	testkit.Eventually(t, waitTimeout, "the ingress host answers", func() bool { return me.Status(ingressID) != nil })
	status, _ := me.Apply(ingressID, 0, callsDocument)
	assert.Equal(t, status, fasthttp.StatusOK)
	waitForUpstreams(t, me, gates)
	me.Hosts[ingressID].AddLatency(300 * time.Millisecond)
	stop := ca.StartLoad(24, func(worker int) {
		ca.Call(ingressID, "GET", fmt.Sprintf("/reports?work=%dms", 20+worker), 0)
		time.Sleep(time.Duration(20+worker) * time.Millisecond)
	})
	time.Sleep(500 * time.Millisecond)
	for i := range gates {
		ho := me.Hosts[cfg.Hosts[i+1].ID]
		ho.AddResponseLatency(100 * time.Millisecond)
		ho.Signal(syscall.SIGTERM)
		time.Sleep(130 * time.Millisecond)
	}
	for i := range gates {
		ho := me.Hosts[cfg.Hosts[i+1].ID]
		assert.Check(t, ho.WaitExit(waitTimeout), "%s", ho.Log())
		assert.Check(t, strings.Contains(ho.Log(), `"cut":0`), "%s", ho.Log())
	}
	stop()
	t.Log(ca.CheckOutcomes(t))
	for _, cr := range ca.Results() {
		assert.Check(t, cr.Outcome == "ran" || cr.Outcome == "not_run", "%+v", cr)
	}
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
// One that may not be repeated waits for those before it, and does not run.
func TestPipelinedCallsAreAnsweredDuringDrain(t *testing.T) {
	const reads = 6
	me, _ := startBookingMesh(t)
	ho := me.Hosts[ingressID]
	waitForDrain(t, ho)
	targets := []string{"GET /results?work=300ms"}
	for range reads - 1 {
		targets = append(targets, "GET /results?work=600ms")
	}
	nc := pipeline(t, ho, append(targets, "POST /bookings?work=10ms"))
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
	assert.Check(t, ho.WaitExit(waitTimeout), "%s", ho.Log())
	assert.Equal(t, len(me.Runs()[fmt.Sprintf("call-%d", reads+1)]), 0)
	assert.Check(t, strings.Contains(ho.Log(), `"cut":0`), "%s", ho.Log())
}
