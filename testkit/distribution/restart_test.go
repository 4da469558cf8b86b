package distribution_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"lynxfold/core/contract"
	"lynxfold/io/platform/standin"
	"lynxfold/testkit"
)

// recoveryTimeout is how long a mesh may take to serve again after all its hosts have
// restarted.
const recoveryTimeout = 15 * time.Second

// documentWithRoutes returns a layout's document with additional routes, whose paths are
// random so that they do not compress.
func documentWithRoutes(t testing.TB, la testkit.Layout, count int) string {
	t.Helper()
	var doc contract.Document
	assert.NilError(t, json.Unmarshal([]byte(la.Document(1000)), &doc))
	rnd := rand.New(rand.NewPCG(1, 1))
	for i := range count {
		doc.Routes = append(doc.Routes, contract.Route{
			Name:       contract.RouteName(fmt.Sprintf("route-%d", i)),
			PathPrefix: fmt.Sprintf("/%016x%016x", rnd.Uint64(), rnd.Uint64()),
			Service:    doc.Services[0].Name,
			Contract:   doc.Contracts[0].Name,
		})
	}
	data, err := json.Marshal(doc)
	assert.NilError(t, err)
	return string(data)
}

// startMeshWithoutContacts starts a mesh whose hosts find each other only through the
// platform, and waits until a version is in force everywhere.
func startMeshWithoutContacts(t testing.TB, la testkit.Layout, document string) *testkit.Mesh {
	t.Helper()
	hosts := la.Hosts()
	for i := range hosts {
		hosts[i].WithoutContacts = true
	}
	me := testkit.StartMesh(t, testkit.MeshConfig{
		Hosts:           hosts,
		ProxiedPlatform: true,
	})
	testkit.Eventually(t, waitTimeout, "a first version is accepted", func() bool {
		if me.Status(firstHostIn(me, la, 0)) == nil {
			return false
		}
		status, _ := me.Apply(firstHostIn(me, la, 0), 0, document)
		return status == fasthttp.StatusOK
	})
	testkit.Eventually(t, waitTimeout, "version 1 is in force everywhere", func() bool { return me.AllAtVersion(1) })
	testkit.Eventually(t, waitTimeout, "all upstreams are known everywhere", func() bool { return me.AllUpstreamsKnown(la) })
	return me
}

// restartAll kills all nodes at once and starts them again.
func restartAll(me *testkit.Mesh) {
	for _, ho := range me.Hosts {
		ho.Kill()
	}
	for _, ho := range me.Hosts {
		ho.Start()
	}
}

// TestMeshRestartsWhenDocumentTakesLongerThanPlatformTimeout restarts all hosts behind
// links on which the document takes three times the timeout of a request.
func TestMeshRestartsWhenDocumentTakesLongerThanPlatformTimeout(t *testing.T) {
	la := testkit.Szeged()
	me := startMeshWithoutContacts(t, la, documentWithRoutes(t, la, 6000))
	me.LimitPlatformBandwidth(250)
	restartAll(me)
	testkit.Eventually(t, recoveryTimeout, "version 1 is in force again", func() bool { return me.AllAtVersion(1) })
	testkit.Eventually(t, recoveryTimeout, "all upstreams are known again", func() bool { return me.AllUpstreamsKnown(la) })
}

// TestHostsMeetWhileConfigurationIsUnreadable restarts all hosts while only the rows of
// the configuration can't be read.
func TestHostsMeetWhileConfigurationIsUnreadable(t *testing.T) {
	la := testkit.Szeged()
	me := startMeshWithoutContacts(t, la, la.Document(1000))
	me.Platform.SetFaults(standin.Faults{UnreadablePrefix: "config/"})
	restartAll(me)
	testkit.Eventually(t, recoveryTimeout, "every host has links", func() bool {
		for id := range me.Hosts {
			if me.HostMetric(id, "lynxfold_control_links") == 0 {
				return false
			}
		}
		return true
	})
	me.Platform.SetFaults(standin.Faults{})
	testkit.Eventually(t, recoveryTimeout, "version 1 is in force again", func() bool { return me.AllAtVersion(1) })
}
