// Package distribution_test puts configurations in force on meshes of real
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

// within bounds every wait; a working mesh needs a small part of it.
const within = 30 * time.Second

// start starts a mesh of a layout with a first version in force everywhere.
func start(t testing.TB, la testkit.Layout) *testkit.Mesh {
	t.Helper()
	me := testkit.StartMesh(t, testkit.MeshConfig{
		Hosts:           la.Hosts(),
		ProxiedRemote:   true,
		ProxiedPlatform: true,
	})
	testkit.Eventually(t, within, "a first version is accepted", func() bool {
		if me.Status(first(me, la, 0)) == nil {
			return false
		}
		status, _ := me.Apply(first(me, la, 0), 0, la.Document(1000))
		return status == fasthttp.StatusOK
	})
	testkit.Eventually(t, within, "version 1 is in force everywhere", func() bool { return me.AllAt(1) })
	testkit.Eventually(t, within, "all upstreams are known everywhere", func() bool { return me.AllServed(la) })
	return me
}

// first is the first host of a data centre.
func first(me *testkit.Mesh, la testkit.Layout, dataCentre int) string {
	return me.In(la.DataCentres[dataCentre])[0]
}

// accept has a version accepted, and waits until the host that is asked holds
// the base.
func accept(t testing.TB, me *testkit.Mesh, la testkit.Layout, id string, base uint64) {
	t.Helper()
	testkit.Eventually(t, within, "a version is accepted by "+id, func() bool {
		status, _ := me.Apply(id, base, la.Document(1000+int(base)))
		return status == fasthttp.StatusOK
	})
}

func TestChangeIsInForceEverywhere(t *testing.T) {
	for _, la := range []testkit.Layout{testkit.Szeged(), testkit.Cuyo()} {
		t.Run(la.Name, func(t *testing.T) {
			me := start(t, la)
			defer me.WatchVersions()()
			for base := uint64(1); base <= 6; base++ {
				accept(t, me, la, first(me, la, int(base)%len(la.DataCentres)), base)
			}
			testkit.Eventually(t, within, "the last version is in force everywhere", func() bool { return me.AllAt(7) })
		})
	}
}

// TestDataCentreCutOff accepts two versions while one data centre reaches
// neither the others nor the platform.
func TestDataCentreCutOff(t *testing.T) {
	for _, la := range []testkit.Layout{testkit.Szeged(), testkit.Cuyo()} {
		t.Run(la.Name, func(t *testing.T) {
			me := start(t, la)
			defer me.WatchVersions()()
			cut := la.DataCentres[0]
			me.Isolate(cut)
			accept(t, me, la, first(me, la, 1), 1)
			accept(t, me, la, first(me, la, 2), 2)
			others := append(me.In(la.DataCentres[1]), me.In(la.DataCentres[2])...)
			testkit.Eventually(t, within, "both versions are in force on the other side", func() bool { return me.AllAt(3, others...) })
			assert.Assert(t, me.AllAt(1, me.In(cut)...))
			me.Rejoin(cut)
			testkit.Eventually(t, within, "all are at the highest version", func() bool { return me.AllAt(3) })
			testkit.Eventually(t, within, "all upstreams are known everywhere", func() bool { return me.AllServed(la) })
		})
	}
}

// TestLinksGoneSilent swallows the bytes of the open connections between data
// centres, both ways, without a reset.
func TestLinksGoneSilent(t *testing.T) {
	la := testkit.Szeged()
	me := start(t, la)
	defer me.WatchVersions()()
	for _, ho := range me.Hosts {
		testkit.SwallowOpen(t, ho.Proxy)
	}
	accept(t, me, la, first(me, la, 0), 1)
	testkit.Eventually(t, within, "the version is in force everywhere", func() bool { return me.AllAt(2) })
	testkit.Eventually(t, within, "silent links were found", func() bool {
		return me.Metric(`lynxfold_link_replacements_total{outcome="started"}`) > 0
	})
	testkit.Eventually(t, within, "all upstreams are known everywhere", func() bool { return me.AllServed(la) })
}

// TestDataCentreComesBackWhilePlatformIsDown kills all nodes of a data centre
// at once and starts them again with the platform down.
func TestDataCentreComesBackWhilePlatformIsDown(t *testing.T) {
	la := testkit.Szeged()
	me := start(t, la)
	defer me.WatchVersions()()
	accept(t, me, la, first(me, la, 1), 1)
	testkit.Eventually(t, within, "version 2 is in force everywhere", func() bool { return me.AllAt(2) })
	me.Platform.SetFaults(standin.Faults{Down: true})
	for _, id := range me.In(la.DataCentres[0]) {
		me.Hosts[id].Kill()
	}
	for _, id := range me.In(la.DataCentres[0]) {
		me.Hosts[id].Start()
	}
	testkit.Eventually(t, within, "version 2 is in force again", func() bool { return me.AllAt(2) })
	testkit.Eventually(t, within, "all upstreams are known everywhere", func() bool { return me.AllServed(la) })
	me.Platform.SetFaults(standin.Faults{})
	accept(t, me, la, first(me, la, 0), 2)
	testkit.Eventually(t, within, "version 3 is in force everywhere", func() bool { return me.AllAt(3) })
}

// TestAcceptingUnderFaults shares one mesh for what operators meet.
func TestAcceptingUnderFaults(t *testing.T) {
	la := testkit.Cuyo()
	me := start(t, la)
	defer me.WatchVersions()()
	t.Run("platform down", func(t *testing.T) { platformDown(t, me, la) })
	t.Run("lost reply", func(t *testing.T) { lostReply(t, me, la) })
	t.Run("failed after effect", func(t *testing.T) { failedAfterEffect(t, me, la) })
	t.Run("racing operators", func(t *testing.T) { racingOperators(t, me, la) })
	t.Run("slow platform", func(t *testing.T) { slowPlatform(t, me, la) })
}

func platformDown(t *testing.T, me *testkit.Mesh, la testkit.Layout) {
	me.Platform.SetFaults(standin.Faults{Down: true})
	status, _ := me.Apply(first(me, la, 0), 1, la.Document(1))
	assert.Equal(t, status, fasthttp.StatusServiceUnavailable)
	assert.Assert(t, me.AllAt(1))
	assert.Equal(t, len(me.Platform.Rows("config/versions/")), 1)
	me.Platform.SetFaults(standin.Faults{})
	accept(t, me, la, first(me, la, 0), 1)
	testkit.Eventually(t, within, "version 2 is in force everywhere", func() bool { return me.AllAt(2) })
}

func lostReply(t *testing.T, me *testkit.Mesh, la testkit.Layout) {
	me.Platform.SetFaults(standin.Faults{LoseReplies: 1})
	status, _ := me.Apply(first(me, la, 0), 2, la.Document(2))
	assert.Equal(t, status, fasthttp.StatusOK)
	testkit.Eventually(t, within, "version 3 is in force everywhere", func() bool { return me.AllAt(3) })
	assert.Equal(t, len(me.Platform.Rows("config/versions/")), 3)
}

func failedAfterEffect(t *testing.T, me *testkit.Mesh, la testkit.Layout) {
	me.Platform.SetFaults(standin.Faults{FailAfterEffect: 1})
	status, _ := me.Apply(first(me, la, 1), 3, la.Document(3))
	assert.Equal(t, status, fasthttp.StatusOK)
	testkit.Eventually(t, within, "version 4 is in force everywhere", func() bool { return me.AllAt(4) })
}

func racingOperators(t *testing.T, me *testkit.Mesh, la testkit.Layout) {
	var racers sync.WaitGroup
	statuses := make([]int, len(la.DataCentres))
	bodies := make([]operator.ConfigBody, len(la.DataCentres))
	for i := range la.DataCentres {
		racers.Go(func() { statuses[i], bodies[i] = me.Apply(first(me, la, i), 4, la.Document(10+i)) })
	}
	racers.Wait()
	won := 0
	for i, status := range statuses {
		if status == fasthttp.StatusOK {
			won++
			assert.Equal(t, uint64(bodies[i].Version), uint64(5))
		} else {
			assert.Equal(t, status, fasthttp.StatusConflict)
		}
	}
	assert.Equal(t, won, 1)
	testkit.Eventually(t, within, "version 5 is in force everywhere", func() bool { return me.AllAt(5) })
	assert.Equal(t, len(me.Platform.Rows("config/versions/")), 5)
}

// slowPlatform has the platform answer long after every deadline.
func slowPlatform(t *testing.T, me *testkit.Mesh, la testkit.Layout) {
	me.Platform.SetFaults(standin.Faults{DelayMS: 10_000})
	defer me.Platform.SetFaults(standin.Faults{})
	status, _ := me.Apply(first(me, la, 0), 5, la.Document(20))
	assert.Equal(t, status, fasthttp.StatusServiceUnavailable)
	ho := me.Hosts[first(me, la, 1)]
	assert.Assert(t, me.Status(ho.Spec.ID) != nil)
	ho.Signal(syscall.SIGTERM)
	assert.Assert(t, ho.Exited(within))
	me.Platform.SetFaults(standin.Faults{})
	ho.Start()
	testkit.Eventually(t, within, "version 5 is in force everywhere", func() bool { return me.AllAt(5) })
}
