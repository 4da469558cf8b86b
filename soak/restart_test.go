package soak

import (
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lynxfold/core/contract"
	upstreamstandin "lynxfold/io/upstream/standin"
	"lynxfold/testkit"
)

var restartHosts = flag.Int("restart-hosts", 16, "number of hosts of the mesh that TestRestartsOfAllHosts restarts")

const (
	// recoveryTimeout is how long after a restart of all hosts a quarter of the calls must
	// run again.
	recoveryTimeout = 15 * time.Second
	// recoveredShare is the share of calls that must run again.
	recoveredShare = 0.25
	// recoveryWindow is the time over which the share is taken.
	recoveryWindow = 500 * time.Millisecond
	// restartRoutes is the number of routes of the document, whose transfer takes several
	// seconds at restartBandwidthKBPerSecond.
	restartRoutes               = 4000
	restartBandwidthKBPerSecond = 300
	restartIngresses            = 8
	// readsPerHost is the budget for reads of the platform, per second.
	readsPerHost = 50
)

// restartRounds are the ways in which all hosts stop, in order.
var restartRounds = []struct {
	name string
	stop func(sr *soakRun)
}{
	{name: "all killed", stop: killAll},
	{name: "all terminated", stop: func(sr *soakRun) {
		sr.signalAll(syscall.SIGTERM)
		time.Sleep(time.Duration(500+sr.rnd.IntN(1500)) * time.Millisecond)
		killAll(sr)
	}},
	{name: "killed again while starting", stop: func(sr *soakRun) {
		killAll(sr)
		sr.startAll()
		time.Sleep(time.Duration(100+sr.rnd.IntN(900)) * time.Millisecond)
		killAll(sr)
	}},
	{name: "killed during a change", stop: func(sr *soakRun) {
		sr.acceptRestartVersion()
		time.Sleep(time.Duration(sr.rnd.IntN(300)) * time.Millisecond)
		killAll(sr)
	}},
}

func killAll(sr *soakRun) {
	for _, ho := range sr.mesh.Hosts {
		ho.Kill()
	}
}

func (sr *soakRun) signalAll(sig syscall.Signal) {
	for _, ho := range sr.mesh.Hosts {
		ho.Signal(sig)
	}
}

// startAll starts all nodes within about 0.3 s, in random order.
func (sr *soakRun) startAll() {
	var wg sync.WaitGroup
	for _, ho := range sr.mesh.Hosts {
		delay := time.Duration(sr.rnd.IntN(300)) * time.Millisecond
		wg.Go(func() {
			time.Sleep(delay)
			ho.Start()
		})
	}
	wg.Wait()
}

// acceptRestartVersion submits the next version to an ingress host.
func (sr *soakRun) acceptRestartVersion() bool {
	status, body, err := sr.mesh.TryApply(sr.ingressIDs[0], sr.version, restartDocument(sr.t, sr.version+1))
	if err != nil {
		return false
	}
	if status == 200 || status == 409 {
		sr.version = max(sr.version, uint64(body.Version))
	}
	return status == 200
}

// restartDocument returns the document of a version, with restartRoutes random routes.
func restartDocument(t *testing.T, version uint64) string {
	t.Helper()
	var doc contract.Document
	assert.NilError(t, json.Unmarshal(fmt.Appendf(nil, document, version), &doc))
	rnd := rand.New(rand.NewPCG(1, 1))
	for i := range restartRoutes {
		doc.Routes = append(doc.Routes, contract.Route{
			Name:       contract.RouteName(fmt.Sprintf("route-%d", i)),
			PathPrefix: fmt.Sprintf("/%016x%016x", rnd.Uint64(), rnd.Uint64()),
			Service:    "booking",
			Contract:   "read",
		})
	}
	data, err := json.Marshal(doc)
	assert.NilError(t, err)
	return string(data)
}

// startRestartMesh starts a mesh whose hosts find each other only through the platform,
// to which they have narrow links.
func startRestartMesh(t *testing.T, seed uint64) *soakRun {
	t.Helper()
	cfg := testkit.MeshConfig{
		ProxiedPlatform: true,
		Settings:        fmt.Sprintf("[platform]\nreads_per_second = %d\n", readsPerHost**restartHosts),
	}
	for i := range *restartHosts {
		dc := dataCentres[i%len(dataCentres)]
		id := fmt.Sprintf("%s-%d", dc, i/len(dataCentres)+1)
		cfg.Hosts = append(cfg.Hosts, testkit.HostSpec{
			ID:              id,
			DataCentre:      dc,
			WithoutContacts: true,
			Upstream: upstreamstandin.Config{
				Name:        id,
				Service:     "booking",
				Slots:       8,
				ServiceTime: 5 * time.Millisecond,
			},
		})
	}
	var ids []string
	for _, hs := range cfg.Hosts[:min(restartIngresses, len(cfg.Hosts))] {
		ids = append(ids, hs.ID)
	}
	sr := newRun(t, seed, cfg, ids)
	testkit.Eventually(t, waitTimeout, "a version is accepted", sr.acceptRestartVersion)
	testkit.Eventually(t, waitTimeout, "version 1 is in force everywhere", func() bool { return sr.mesh.AllAtVersion(1) })
	sr.mesh.LimitPlatformBandwidth(restartBandwidthKBPerSecond)
	return sr
}

// ranShare returns the share of the bookings within recoveryWindow that ran.
func (sr *soakRun) ranShare() float64 {
	before := len(sr.bookings.Results())
	time.Sleep(recoveryWindow)
	results := sr.bookings.Results()[before:]
	ran := 0
	for _, cr := range results {
		if cr.Outcome == "ran" && cr.Status == 200 {
			ran++
		}
	}
	if len(results) == 0 {
		return 0
	}
	return float64(ran) / float64(len(results))
}

// awaitShare waits until a share of the bookings runs, and returns how long that took.
func (sr *soakRun) awaitShare(share float64) time.Duration {
	startedAt := time.Now()
	testkit.Eventually(sr.t, waitTimeout, fmt.Sprintf("%.0f%% of the bookings run", 100*share), func() bool { return sr.ranShare() >= share })
	return time.Since(startedAt)
}

// TestRestartsOfAllHosts stops all hosts at once under load, again and again in different
// ways, and measures how soon calls run again. The seed of the flag -seed applies.
func TestRestartsOfAllHosts(t *testing.T) {
	seed := max(*onlySeed, 1)
	sr := startRestartMesh(t, seed)
	checkVersions := sr.mesh.WatchVersions()
	stop := sr.startLoad()
	sr.awaitShare(0.9)
	for _, ro := range restartRounds {
		ro.stop(sr)
		sr.startAll()
		quarter := sr.awaitShare(recoveredShare)
		most := quarter + sr.awaitShare(0.9)
		t.Logf("seed %d, %d hosts, %s: %.0f%% of the bookings run after %.1f s, 90%% after %.1f s", seed, *restartHosts, ro.name, 100*recoveredShare, quarter.Seconds(), most.Seconds())
		assert.Check(t, quarter < recoveryTimeout, "%s", ro.name)
	}
	stop()
	sr.mesh.PlatformBandwidthUnlimited()
	testkit.Eventually(t, waitTimeout, "the same version is in force everywhere", func() bool { return sr.mesh.AllAtVersion(sr.version) })
	checkVersions()
	sr.checkBookings()
	sr.checkReads()
}
