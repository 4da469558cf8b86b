package testkit_test

import (
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"lynxfold/testkit"
)

// TestConsoleConflictAndRollback creates, changes and rolls back a configuration
// through the consoles of two nodes and resolves a conflict between two operators.
// Each step uses the other node, since hosts store no part of a draft.
func TestConsoleConflictAndRollback(t *testing.T) {
	me := testkit.StartMesh(t, testkit.MeshConfig{
		Hosts: []testkit.HostSpec{
			{ID: "press-hall-1", DataCentre: "press-hall"},
			{ID: "curing-room-1", DataCentre: "curing-room"},
		},
	})
	for _, id := range []string{"press-hall-1", "curing-room-1"} {
		testkit.Eventually(t, 20*time.Second, id+" answers", func() bool { return me.Status(id) != nil })
	}
	one := "http://" + me.Hosts["press-hall-1"].OperatorAddress
	two := "http://" + me.Hosts["curing-room-1"].OperatorAddress
	ac := &alternatingConsoles{t: t, mesh: me, nodes: []string{one, two}}

	ana := testkit.NewBrowser(t, one)
	ana.Get("/")
	ac.press(ana, "keep:service:", "name", "lookup")
	ac.press(ana, "keep:contract:", "name", "read", "timeout_ms", "2000", "retries", "1", "hedge_after_ms", "0", "class", "lookup")
	ac.press(ana, "keep:route:", "name", "results", "path_prefix", "/results", "service", "lookup", "contract", "read")
	ac.press(ana, "review")
	assert.Assert(t, strings.Contains(ana.Body, "no usable upstream of service lookup"), ana.Body)
	ac.press(ana, "accept", "confirm", "yes")
	assert.Assert(t, strings.Contains(ana.Body, "Version 1 is accepted"), ana.Body)
	ac.waitForVersion(1)

	ben := testkit.NewBrowser(t, two)
	ben.Get("/console")
	ana.Get("/console")
	ac.press(ben, "keep:contract:read", "timeout_ms", "3000", "retries", "1", "hedge_after_ms", "0", "class", "lookup")
	ac.press(ana, "keep:contract:read", "idempotent", "yes", "timeout_ms", "2000", "retries", "1", "hedge_after_ms", "0", "class", "lookup")
	ac.press(ben, "review")
	ac.press(ben, "accept")
	assert.Assert(t, strings.Contains(ben.Body, "Version 2 is accepted"), ben.Body)
	ac.waitForVersion(2)

	ac.press(ana, "review")
	assert.Equal(t, ana.Status, fasthttp.StatusConflict, ana.Body)
	ac.press(ana, "carry", "choice:contract:read", "yours")
	ac.press(ana, "accept", "confirm", "yes")
	assert.Assert(t, strings.Contains(ana.Body, "Version 3 is accepted"), ana.Body)
	ac.waitForVersion(3)

	ac.press(ana, "history")
	ac.press(ana, "rollback:2")
	ac.press(ana, "accept", "confirm", "yes")
	assert.Assert(t, strings.Contains(ana.Body, "Version 4 is accepted"), ana.Body)
	ac.waitForVersion(4)

	ana.Get("/console/download/4")
	rolledBack := ana.Body
	ana.Get("/console/download/2")
	assert.Equal(t, rolledBack, ana.Body)
}

// alternatingConsoles presses each button on a different node than the one before.
type alternatingConsoles struct {
	t     *testing.T
	mesh  *testkit.Mesh
	nodes []string
	step  int
}

func (ac *alternatingConsoles) press(br *testkit.Browser, button string, fields ...string) {
	ac.t.Helper()
	ac.step++
	br.Base = ac.nodes[ac.step%len(ac.nodes)]
	br.Press(button, fields...)
}

// waitForVersion waits until every node has the version, or a later one, in force.
func (ac *alternatingConsoles) waitForVersion(version uint64) {
	ac.t.Helper()
	for id := range ac.mesh.Hosts {
		testkit.Eventually(ac.t, 20*time.Second, id+" has the version in force", func() bool {
			st := ac.mesh.Status(id)
			return st != nil && uint64(st.Version) >= version
		})
	}
}
