// Package distribution_test distributes configurations on meshes of separate
// processes while links, data centres and the platform fail.
package distribution_test

import (
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"lynxfold/io/operator"
	"lynxfold/io/platform/standin"
	"lynxfold/testkit"
)

// waitTimeout limits every wait; a working mesh needs a small fraction of it.
const waitTimeout = 30 * time.Second

// startMesh starts a mesh of a layout and waits until version 1 is in force
// everywhere and every host knows all upstreams.
func startMesh(t testing.TB, la testkit.Layout) *testkit.Mesh {
	t.Helper()
	me := testkit.StartMesh(t, testkit.MeshConfig{
		Hosts:           la.Hosts(),
		ProxiedRemote:   true,
		ProxiedPlatform: true,
	})
	testkit.Eventually(t, waitTimeout, "a first version is accepted", func() bool {
		if me.Status(firstHostIn(me, la, 0)) == nil {
			return false
		}
		status, _ := me.Apply(firstHostIn(me, la, 0), 0, la.Document(1000))
		return status == fasthttp.StatusOK
	})
	testkit.Eventually(t, waitTimeout, "version 1 is in force everywhere", func() bool { return me.AllAtVersion(1) })
	testkit.Eventually(t, waitTimeout, "all upstreams are known everywhere", func() bool { return me.AllUpstreamsKnown(la) })
	return me
}

// firstHostIn returns the id of the first host of a data centre.
func firstHostIn(me *testkit.Mesh, la testkit.Layout, dataCentre int) string {
	return me.HostIDsIn(la.DataCentres[dataCentre])[0]
}

// acceptNextVersion submits a version to a host until it is accepted, as the host
// may not have its base version yet.
func acceptNextVersion(t testing.TB, me *testkit.Mesh, la testkit.Layout, id string, base uint64) {
	t.Helper()
	testkit.Eventually(t, waitTimeout, "a version is accepted by "+id, func() bool {
		status, _ := me.Apply(id, base, la.Document(1000+int(base)))
		return status == fasthttp.StatusOK
	})
}

// TestChangeIsInForceEverywhere accepts versions in alternating data centres.
func TestChangeIsInForceEverywhere(t *testing.T) {
	for _, la := range []testkit.Layout{testkit.Szeged(), testkit.Cuyo()} {
		t.Run(la.Name, func(t *testing.T) {
			me := startMesh(t, la)
			defer me.WatchVersions()()
			for base := uint64(1); base <= 6; base++ {
				acceptNextVersion(t, me, la, firstHostIn(me, la, int(base)%len(la.DataCentres)), base)
			}
			testkit.Eventually(t, waitTimeout, "the last version is in force everywhere", func() bool { return me.AllAtVersion(7) })
		})
	}
}

// TestDataCentreCutOff accepts two versions while all data centres are disconnected
// from each other and one also from the platform. The others get both versions, that
// one only after the partition.
func TestDataCentreCutOff(t *testing.T) {
	for _, la := range []testkit.Layout{testkit.Szeged(), testkit.Cuyo()} {
		t.Run(la.Name, func(t *testing.T) {
			me := startMesh(t, la)
			defer me.WatchVersions()()
			isolated := la.DataCentres[0]
			me.Partition(isolated)
			acceptNextVersion(t, me, la, firstHostIn(me, la, 1), 1)
			acceptNextVersion(t, me, la, firstHostIn(me, la, 2), 2)
			others := append(me.HostIDsIn(la.DataCentres[1]), me.HostIDsIn(la.DataCentres[2])...)
			testkit.Eventually(t, waitTimeout, "both versions are in force in the other data centres", func() bool { return me.AllAtVersion(3, others...) })
			assert.Assert(t, me.AllAtVersion(1, me.HostIDsIn(isolated)...))
			me.HealPartition(isolated)
			testkit.Eventually(t, waitTimeout, "all are at the highest version", func() bool { return me.AllAtVersion(3) })
			testkit.Eventually(t, waitTimeout, "all upstreams are known everywhere", func() bool { return me.AllUpstreamsKnown(la) })
		})
	}
}

// TestBlackholedLinksAreReplaced drops the data of the open connections between
// data centres in both directions without closing them.
func TestBlackholedLinksAreReplaced(t *testing.T) {
	la := testkit.Szeged()
	me := startMesh(t, la)
	defer me.WatchVersions()()
	for _, ho := range me.Hosts {
		testkit.BlackholeOpenConnections(t, ho.Proxy)
	}
	acceptNextVersion(t, me, la, firstHostIn(me, la, 0), 1)
	testkit.Eventually(t, waitTimeout, "the version is in force everywhere", func() bool { return me.AllAtVersion(2) })
	testkit.Eventually(t, waitTimeout, "blackholed links are being replaced", func() bool {
		return me.SumMetric(`lynxfold_link_replacements_total{outcome="started"}`) > 0
	})
	testkit.Eventually(t, waitTimeout, "all upstreams are known everywhere", func() bool { return me.AllUpstreamsKnown(la) })
}

// TestDataCentreComesBackWhilePlatformIsDown kills all nodes of a data centre at
// once and restarts them while the platform is down.
func TestDataCentreComesBackWhilePlatformIsDown(t *testing.T) {
	la := testkit.Szeged()
	me := startMesh(t, la)
	defer me.WatchVersions()()
	acceptNextVersion(t, me, la, firstHostIn(me, la, 1), 1)
	testkit.Eventually(t, waitTimeout, "version 2 is in force everywhere", func() bool { return me.AllAtVersion(2) })
	me.Platform.SetFaults(standin.Faults{Down: true})
	for _, id := range me.HostIDsIn(la.DataCentres[0]) {
		me.Hosts[id].Kill()
	}
	for _, id := range me.HostIDsIn(la.DataCentres[0]) {
		me.Hosts[id].Start()
	}
	testkit.Eventually(t, waitTimeout, "version 2 is in force again", func() bool { return me.AllAtVersion(2) })
	testkit.Eventually(t, waitTimeout, "all upstreams are known everywhere", func() bool { return me.AllUpstreamsKnown(la) })
	me.Platform.SetFaults(standin.Faults{})
	acceptNextVersion(t, me, la, firstHostIn(me, la, 0), 2)
	testkit.Eventually(t, waitTimeout, "version 3 is in force everywhere", func() bool { return me.AllAtVersion(3) })
}

// TestAcceptingUnderFaults accepts versions under platform faults and concurrent
// changes. The subtests share one mesh and run in order.
func TestAcceptingUnderFaults(t *testing.T) {
	la := testkit.Cuyo()
	me := startMesh(t, la)
	defer me.WatchVersions()()
	t.Run("platform down", func(t *testing.T) { platformDown(t, me, la) })
	t.Run("lost reply", func(t *testing.T) { lostReply(t, me, la) })
	t.Run("failed after effect", func(t *testing.T) { failedAfterEffect(t, me, la) })
	t.Run("racing operators", func(t *testing.T) { racingOperators(t, me, la) })
	t.Run("slow platform", func(t *testing.T) { slowPlatform(t, me, la) })
}

// TestNodeWithoutContactsIsIntroducedByThePlatform starts a node without contacts
// in a mesh whose other nodes have each other's addresses.
func TestNodeWithoutContactsIsIntroducedByThePlatform(t *testing.T) {
	la := testkit.Szeged()
	hosts := la.Hosts()
	hosts[len(hosts)-1].WithoutContacts = true
	me := testkit.StartMesh(t, testkit.MeshConfig{Hosts: hosts})
	id := hosts[len(hosts)-1].ID
	testkit.Eventually(t, waitTimeout, "a version is accepted", func() bool {
		if me.Status(firstHostIn(me, la, 0)) == nil {
			return false
		}
		status, _ := me.Apply(firstHostIn(me, la, 0), 0, la.Document(1000))
		return status == fasthttp.StatusOK
	})
	testkit.Eventually(t, 2*waitTimeout, "the node has links", func() bool {
		return me.HostMetric(id, "lynxfold_control_links") > 0
	})
	testkit.Eventually(t, waitTimeout, "all upstreams are known everywhere", func() bool { return me.AllUpstreamsKnown(la) })
	assert.Assert(t, len(me.Platform.Rows("introductions/")) > 0)
}

func platformDown(t *testing.T, me *testkit.Mesh, la testkit.Layout) {
	me.Platform.SetFaults(standin.Faults{Down: true})
	status, _ := me.Apply(firstHostIn(me, la, 0), 1, la.Document(1))
	assert.Equal(t, status, fasthttp.StatusServiceUnavailable)
	assert.Assert(t, me.AllAtVersion(1))
	assert.Equal(t, len(me.Platform.Rows("config/versions/")), 1)
	me.Platform.SetFaults(standin.Faults{})
	acceptNextVersion(t, me, la, firstHostIn(me, la, 0), 1)
	testkit.Eventually(t, waitTimeout, "version 2 is in force everywhere", func() bool { return me.AllAtVersion(2) })
}

func lostReply(t *testing.T, me *testkit.Mesh, la testkit.Layout) {
	me.Platform.SetFaults(standin.Faults{LoseReplies: 1})
	status, _ := me.Apply(firstHostIn(me, la, 0), 2, la.Document(2))
	assert.Equal(t, status, fasthttp.StatusOK)
	testkit.Eventually(t, waitTimeout, "version 3 is in force everywhere", func() bool { return me.AllAtVersion(3) })
	assert.Equal(t, len(me.Platform.Rows("config/versions/")), 3)
}

func failedAfterEffect(t *testing.T, me *testkit.Mesh, la testkit.Layout) {
	me.Platform.SetFaults(standin.Faults{FailAfterEffect: 1})
	status, _ := me.Apply(firstHostIn(me, la, 1), 3, la.Document(3))
	assert.Equal(t, status, fasthttp.StatusOK)
	testkit.Eventually(t, waitTimeout, "version 4 is in force everywhere", func() bool { return me.AllAtVersion(4) })
}

func racingOperators(t *testing.T, me *testkit.Mesh, la testkit.Layout) {
	var racers sync.WaitGroup
	statuses := make([]int, len(la.DataCentres))
	bodies := make([]operator.ConfigBody, len(la.DataCentres))
	for i := range la.DataCentres {
		racers.Go(func() { statuses[i], bodies[i] = me.Apply(firstHostIn(me, la, i), 4, la.Document(10+i)) })
	}
	racers.Wait()
	accepted := 0
	for i, status := range statuses {
		if status == fasthttp.StatusOK {
			accepted++
			assert.Equal(t, uint64(bodies[i].Version), uint64(5))
		} else {
			assert.Equal(t, status, fasthttp.StatusConflict)
		}
	}
	assert.Equal(t, accepted, 1)
	testkit.Eventually(t, waitTimeout, "version 5 is in force everywhere", func() bool { return me.AllAtVersion(5) })
	assert.Equal(t, len(me.Platform.Rows("config/versions/")), 5)
}

// slowPlatform delays the platform's answers beyond every deadline: a change is
// answered with 503, and a node still exits on SIGTERM.
func slowPlatform(t *testing.T, me *testkit.Mesh, la testkit.Layout) {
	me.Platform.SetFaults(standin.Faults{DelayMS: 10_000})
	defer me.Platform.SetFaults(standin.Faults{})
	status, _ := me.Apply(firstHostIn(me, la, 0), 5, la.Document(20))
	assert.Equal(t, status, fasthttp.StatusServiceUnavailable)
	ho := me.Hosts[firstHostIn(me, la, 1)]
	assert.Assert(t, me.Status(ho.Spec.ID) != nil)
	ho.Signal(syscall.SIGTERM)
	assert.Assert(t, ho.WaitExit(waitTimeout))
	me.Platform.SetFaults(standin.Faults{})
	ho.Start()
	testkit.Eventually(t, waitTimeout, "version 5 is in force everywhere", func() bool { return me.AllAtVersion(5) })
}
