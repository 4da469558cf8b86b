package testkit_test

import (
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"lynxfold/testkit"
)

// TestConsoleWalk goes from an empty mesh to a changed, conflicting and rolled
// back configuration through the consoles of two real nodes, each step on the
// other node than the one before: hosts keep nothing of a draft.
func TestConsoleWalk(t *testing.T) {
	me := testkit.StartMesh(t, testkit.MeshConfig{
		Hosts: []testkit.HostSpec{
			{ID: "press-hall-1", DataCentre: "press-hall"},
			{ID: "curing-room-1", DataCentre: "curing-room"},
		},
	})
	for _, id := range []string{"press-hall-1", "curing-room-1"} {
		testkit.Eventually(t, 20*time.Second, id+" answers", func() bool { return me.Status(id) != nil })
	}
	one := "http://" + me.Hosts["press-hall-1"].Operator
	two := "http://" + me.Hosts["curing-room-1"].Operator
	wa := &walk{t: t, mesh: me, nodes: []string{one, two}}

	ana := testkit.NewBrowser(t, one)
	ana.Get("/")
	wa.press(ana, "keep:service:", "name", "lookup")
	wa.press(ana, "keep:contract:", "name", "read", "timeout_ms", "2000", "retries", "1", "hedge_after_ms", "0", "class", "lookup")
	wa.press(ana, "keep:route:", "name", "results", "path_prefix", "/results", "service", "lookup", "contract", "read")
	wa.press(ana, "review")
	assert.Assert(t, strings.Contains(ana.Body, "no usable upstream of service lookup"), ana.Body)
	wa.press(ana, "accept", "confirm", "yes")
	assert.Assert(t, strings.Contains(ana.Body, "Version 1 is accepted"), ana.Body)
	wa.everywhere(1)

	ben := testkit.NewBrowser(t, two)
	ben.Get("/console")
	ana.Get("/console")
	wa.press(ben, "keep:contract:read", "timeout_ms", "3000", "retries", "1", "hedge_after_ms", "0", "class", "lookup")
	wa.press(ana, "keep:contract:read", "idempotent", "yes", "timeout_ms", "2000", "retries", "1", "hedge_after_ms", "0", "class", "lookup")
	wa.press(ben, "review")
	wa.press(ben, "accept")
	assert.Assert(t, strings.Contains(ben.Body, "Version 2 is accepted"), ben.Body)
	wa.everywhere(2)

	wa.press(ana, "review")
	assert.Equal(t, ana.Status, fasthttp.StatusConflict, ana.Body)
	wa.press(ana, "carry", "choice:contract:read", "yours")
	wa.press(ana, "accept", "confirm", "yes")
	assert.Assert(t, strings.Contains(ana.Body, "Version 3 is accepted"), ana.Body)
	wa.everywhere(3)

	wa.press(ana, "history")
	wa.press(ana, "rollback:2")
	wa.press(ana, "accept", "confirm", "yes")
	assert.Assert(t, strings.Contains(ana.Body, "Version 4 is accepted"), ana.Body)
	wa.everywhere(4)

	ana.Get("/console/download/4")
	rolledBack := ana.Body
	ana.Get("/console/download/2")
	assert.Equal(t, rolledBack, ana.Body)
}

// walk presses buttons, each on the next node.
type walk struct {
	t     *testing.T
	mesh  *testkit.Mesh
	nodes []string
	step  int
}

func (wa *walk) press(br *testkit.Browser, button string, typed ...string) {
	wa.t.Helper()
	wa.step++
	br.Base = wa.nodes[wa.step%len(wa.nodes)]
	br.Press(button, typed...)
}

// everywhere waits until every node has a version in force.
func (wa *walk) everywhere(version uint64) {
	wa.t.Helper()
	for id := range wa.mesh.Hosts {
		testkit.Eventually(wa.t, 20*time.Second, id+" has the version in force", func() bool {
			st := wa.mesh.Status(id)
			return st != nil && uint64(st.Version) >= version
		})
	}
}
