package cmd_test

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"lynxfold/cmd"
	"lynxfold/io/operator"
	platformstandin "lynxfold/io/platform/standin"
	upstreamstandin "lynxfold/io/upstream/standin"
	"lynxfold/testkit"
)

// eventuallyTimeout bounds each wait of these tests.
const eventuallyTimeout = 60 * time.Second

const outageDocument = `{
  "services": [{"name": "lookup"}],
  "contracts": [{"name": "read", "idempotent": true, "timeout_ms": %d, "retries": 2}],
  "routes": [{"name": "results", "path_prefix": "/results", "service": "lookup", "contract": "read"}]
}`

// outageTest is a mesh of two data centres with the operators' commands.
type outageTest struct {
	t    *testing.T
	mesh *testkit.Mesh
	dir  string
}

// startOutageTest starts two data centres of three hosts.
func startOutageTest(t *testing.T) *outageTest {
	t.Helper()
	var hosts []testkit.HostSpec
	for _, centre := range []string{"press-hall", "curing-room"} {
		for i := 1; i <= 3; i++ {
			id := fmt.Sprintf("%s-%d", centre, i)
			hosts = append(hosts, testkit.HostSpec{
				ID:         id,
				DataCentre: centre,
				Upstream:   upstreamstandin.Config{Name: id, Service: "lookup", Slots: 4},
			})
		}
	}
	return &outageTest{
		t:    t,
		mesh: testkit.StartMesh(t, testkit.MeshConfig{Hosts: hosts, ProxiedRemote: true}),
		dir:  t.TempDir(),
	}
}

// TestDataCentreSeparated cuts the links between two data centres and checks that both
// sides record the separation and its end.
func TestDataCentreSeparated(t *testing.T) {
	ou := startOutageTest(t)
	ids := []string{"press-hall-1", "curing-room-1"}
	for _, id := range ids {
		ou.eventually("all hosts are known", func() bool { return ou.alive(id) == 6 })
	}
	for _, ho := range ou.mesh.Hosts {
		ho.StopProxy()
	}
	for _, id := range ids {
		ou.eventually(id+" detects the separation", func() bool { return ou.separated(id) })
	}
	for _, ho := range ou.mesh.Hosts {
		ho.StartProxy()
	}
	for _, id := range ids {
		ou.eventually(id+" detects the end of the separation", func() bool { return ou.alive(id) == 6 && !ou.separated(id) })
		_, out := ou.run("explain", "--node", ou.node(id), "latest")
		for _, what := range []string{"data centre separated", "data centre rejoined"} {
			assert.Assert(t, strings.Contains(out, what), out)
		}
	}
}

// TestOutageAndRecovery takes the platform down, kills two hosts and separates the data
// centres, then restores everything. Each data centre serves calls meanwhile, a new
// configuration is refused, and status and explain show afterwards what happened.
func TestOutageAndRecovery(t *testing.T) {
	ou := startOutageTest(t)
	ou.eventually("all hosts are known", func() bool { return ou.alive("press-hall-1") == 6 && ou.alive("curing-room-1") == 6 })
	assert.Equal(t, ou.apply(2000), 0)

	ou.injectFaults()
	assert.Equal(t, ou.call("press-hall-1"), http.StatusOK, "a separated data centre serves its own calls")
	assert.Equal(t, ou.call("curing-room-1"), http.StatusOK, "a separated data centre serves its own calls")
	assert.Equal(t, ou.apply(3000), 3, "no version is accepted without the platform")
	ou.removeFaults()

	assert.Equal(t, ou.apply(4000), 0)
	ou.checkRecord()
}

// injectFaults takes the platform down, kills two hosts and cuts the links between the
// data centres.
func (ou *outageTest) injectFaults() {
	ou.mesh.Platform.SetFaults(platformstandin.Faults{Down: true})
	ou.mesh.Hosts["press-hall-3"].Kill()
	ou.mesh.Hosts["curing-room-3"].Kill()
	for _, ho := range ou.mesh.Hosts {
		ho.StopProxy()
	}
	ou.eventually("lost hosts are detected", func() bool { return ou.alive("press-hall-1") < 6 && ou.alive("curing-room-1") < 6 })
	ou.eventually("the killed host is declared dead", func() bool {
		_, out := ou.run("explain", "--node", ou.node("press-hall-1"), "host", "press-hall-3")
		return strings.Contains(out, "host dead, host press-hall-3")
	})
	ou.eventually("the platform outage is recorded", func() bool {
		_, out := ou.run("explain", "--node", ou.node("press-hall-1"), "latest")
		return strings.Contains(out, "platform read failed")
	})
}

// removeFaults restores hosts, links and platform, in another order than they were lost.
func (ou *outageTest) removeFaults() {
	ou.mesh.Hosts["press-hall-3"].Start()
	ou.mesh.Hosts["curing-room-3"].Start()
	for _, ho := range ou.mesh.Hosts {
		ho.StartProxy()
	}
	ou.mesh.Platform.SetFaults(platformstandin.Faults{})
	for _, id := range []string{"press-hall-1", "curing-room-3"} {
		ou.eventually("all hosts are back", func() bool { return ou.alive(id) == 6 && !ou.separated(id) })
		ou.eventually("all upstreams are back", func() bool {
			_, page, err := fasthttp.Get(nil, ou.node(id)+"/metrics")
			return err == nil && strings.Contains(string(page), "lynxfold_usable_upstreams 6\n")
		})
	}
}

// checkRecord checks status and explain on a node that stayed up.
func (ou *outageTest) checkRecord() {
	node := ou.node("press-hall-1")
	_, out := ou.run("explain", "--node", node, "latest")
	ou.t.Log(out)
	code, out := ou.run("status", "--node", node)
	ou.t.Log(out)
	assert.Equal(ou.t, code, 0, out)
	assert.Assert(ou.t, strings.Contains(out, "has version 2 in force; the oldest in force is 2"), out)
	assert.Equal(ou.t, strings.Count(out, "3 alive"), 2, out)
	assert.Equal(ou.t, strings.Count(out, "2 on 3"), 2, out)

	code, out = ou.run("explain", "--node", node, "host", "press-hall-3")
	assert.Equal(ou.t, code, 0, out)
	dead := strings.Index(out, "host dead, host press-hall-3")
	assert.Assert(ou.t, dead >= 0, out)
	assert.Assert(ou.t, strings.LastIndex(out, "host alive, host press-hall-3") > dead, out)

	for _, version := range []string{"1", "2"} {
		code, out = ou.run("explain", "--node", node, "version", version)
		assert.Equal(ou.t, code, 0, out)
		assert.Assert(ou.t, strings.Contains(out, "version in force, version "+version), out)
	}
	for id := range ou.mesh.Hosts {
		assert.Assert(ou.t, !strings.Contains(ou.mesh.Hosts[id].Log(), "invariant_violation"), id)
	}
}

func (ou *outageTest) node(id string) string { return "http://" + ou.mesh.Hosts[id].OperatorAddress }

func (ou *outageTest) run(args ...string) (int, string) {
	var out, err bytes.Buffer
	code := cmd.Run(args, &out, &err)
	return code, out.String() + err.String()
}

// apply submits a document with a timeout and waits until it is in force everywhere.
func (ou *outageTest) apply(timeoutMS int) int {
	file := filepath.Join(ou.dir, "mesh.json")
	assert.NilError(ou.t, os.WriteFile(file, []byte(fmt.Sprintf(outageDocument, timeoutMS)), 0o600))
	code, out := ou.run("apply", "--node", ou.node("press-hall-1"), file)
	ou.t.Log(out)
	return code
}

func (ou *outageTest) call(id string) int {
	resp, err := http.Get("http://" + ou.mesh.Hosts[id].CallerAddress + "/results/cube-17")
	assert.NilError(ou.t, err)
	_ = resp.Body.Close()
	return resp.StatusCode
}

// alive returns the number of hosts that a node considers alive.
func (ou *outageTest) alive(id string) int {
	st := ou.mesh.Status(id)
	if st == nil {
		return 0
	}
	count := 0
	for _, ce := range st.DataCentres {
		for _, ho := range ce.Hosts {
			if ho.Status == "alive" {
				count++
			}
		}
	}
	return count
}

// separated reports whether a node considers any data centre separated.
func (ou *outageTest) separated(id string) bool {
	st := ou.mesh.Status(id)
	return st != nil && slices.ContainsFunc(st.DataCentres, func(ce operator.DataCentreStatus) bool { return ce.Separated })
}

// eventually waits for a condition; on failure it logs the view of each node.
func (ou *outageTest) eventually(what string, holds func() bool) {
	ou.t.Helper()
	defer func() {
		if !ou.t.Failed() {
			return
		}
		for id := range ou.mesh.Hosts {
			_, status := ou.run("status", "--local", "--hosts", "--node", ou.node(id))
			_, latest := ou.run("explain", "--node", ou.node(id), "latest")
			ou.t.Log(status, latest)
		}
	}()
	testkit.Eventually(ou.t, eventuallyTimeout, what, holds)
}
