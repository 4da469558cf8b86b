package testkit_test

import (
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

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
