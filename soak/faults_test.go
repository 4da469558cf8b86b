package soak

import (
	"math/rand/v2"
	"syscall"
	"time"

	"gotest.tools/v3/assert"

	platformstandin "lynxfold/io/platform/standin"
	"lynxfold/testkit"
)

// fault is one kind of fault. Begin returns what ends it.
type fault struct {
	name string
	// upstream faults need a host with an upstream.
	upstream bool
	begin    func(se *series, ho *testkit.Host) (end func())
}

// hostFaults befall one host at a time.
var hostFaults = []fault{
	{name: "link cut", begin: func(_ *series, ho *testkit.Host) func() {
		ho.Cut()
		return ho.Mend
	}},
	{name: "link flickers", begin: func(_ *series, ho *testkit.Host) func() {
		ho.Flicker()
		return func() {}
	}},
	{name: "link silent", begin: func(_ *series, ho *testkit.Host) func() {
		ho.Silence()
		return ho.Speak
	}},
	{name: "link silent one way", begin: func(se *series, ho *testkit.Host) func() {
		return ho.SilenceOneWay([]string{"upstream", "downstream"}[se.rnd.IntN(2)])
	}},
	{name: "link slow", begin: func(se *series, ho *testkit.Host) func() {
		return ho.Delay(time.Duration(20+se.rnd.IntN(300)) * time.Millisecond)
	}},
	{name: "node killed", begin: func(_ *series, ho *testkit.Host) func() {
		ho.Kill()
		return ho.Start
	}},
	{name: "node stopped", begin: func(se *series, ho *testkit.Host) func() {
		ho.Signal(syscall.SIGTERM)
		return func() {
			assert.Check(se.t, ho.Exited(generous), "a node that was asked to stop has not ended")
			ho.Start()
		}
	}},
	{name: "node frozen", begin: func(_ *series, ho *testkit.Host) func() {
		ho.Signal(syscall.SIGSTOP)
		return func() { ho.Signal(syscall.SIGCONT) }
	}},
	{name: "settings read again", begin: func(_ *series, ho *testkit.Host) func() {
		ho.Signal(syscall.SIGHUP)
		return func() {}
	}},
	{name: "upstream killed", upstream: true, begin: func(_ *series, ho *testkit.Host) func() {
		ho.KillUpstream()
		return ho.StartUpstream
	}},
	{name: "upstream silent", upstream: true, begin: func(_ *series, ho *testkit.Host) func() {
		ho.Upstream.SetSilent(true)
		return func() { ho.Upstream.SetSilent(false) }
	}},
	{name: "upstream drains", upstream: true, begin: beginDrain},
}

// drainGrace is how long a draining upstream may still get new work: 3 s by the
// settings, and what an announcement and a call take.
const drainGrace = 3500 * time.Millisecond

func beginDrain(se *series, ho *testkit.Host) func() {
	ho.Upstream.Drain()
	begun := time.Now()
	return func() {
		time.Sleep(time.Until(begun.Add(drainGrace)))
		after := len(ho.Upstream.Ledger())
		time.Sleep(500 * time.Millisecond)
		assert.Check(se.t, len(ho.Upstream.Ledger()) == after, "seed %d: %s got new work while it drained", se.seed, ho.Spec.ID)
		ho.KillUpstream()
		ho.StartUpstream()
	}
}

// platformFaults befall the platform, or the way of one data centre to it.
var platformFaults = []struct {
	name  string
	begin func(se *series) (end func())
}{
	{name: "platform down", begin: func(se *series) func() {
		return se.platform(platformstandin.Faults{Down: true})
	}},
	{name: "platform slow", begin: func(se *series) func() {
		return se.platform(platformstandin.Faults{DelayMS: int64(se.rnd.IntN(1500)), JitterMS: 300})
	}},
	{name: "platform loses answers", begin: func(se *series) func() {
		return se.platform(platformstandin.Faults{LoseReplies: 1 + se.rnd.IntN(4)})
	}},
	{name: "platform late", begin: func(se *series) func() {
		return se.platform(platformstandin.Faults{LateWrites: 1 + se.rnd.IntN(2), LateByMS: 700})
	}},
	{name: "platform fails after effect", begin: func(se *series) func() {
		return se.platform(platformstandin.Faults{FailAfterEffect: 1 + se.rnd.IntN(3)})
	}},
	{name: "platform refuses some", begin: func(se *series) func() {
		return se.platform(platformstandin.Faults{RefuseEvery: int64(2 + se.rnd.IntN(3))})
	}},
	{name: "platform out of reach", begin: func(se *series) func() {
		px := se.mesh.PlatformProxies[dataCentres[se.rnd.IntN(len(dataCentres))]]
		px.Stop()
		return func() { assert.Check(se.t, px.Start()) }
	}},
}

func (se *series) platform(fa platformstandin.Faults) func() {
	se.mesh.Platform.SetFaults(fa)
	return func() { se.mesh.Platform.SetFaults(platformstandin.Faults{}) }
}

// planned is a fault with its times, from the beginning of the series. The faults of
// one target come one after the other, however long one takes to end.
type planned struct {
	target   string
	name     string
	from, to time.Duration
	begin    func(se *series) (end func())
}

// plan draws the faults of a series: several at a time, but one for each target.
func plan(rnd *rand.Rand, me *testkit.Mesh, length time.Duration) []planned {
	var all []planned
	for _, id := range hostIDs {
		ho := me.Hosts[id]
		for at := pause(rnd); at < length; at += pause(rnd) {
			fa := hostFaults[rnd.IntN(len(hostFaults))]
			if fa.upstream && ho.Spec.Upstream.Service == "" {
				continue
			}
			lasts := time.Duration(200+rnd.IntN(2000)) * time.Millisecond
			all = append(all, planned{
				target: id,
				name:   fa.name,
				from:   at,
				to:     at + lasts,
				begin:  func(se *series) func() { return fa.begin(se, ho) },
			})
			at += lasts
		}
	}
	for at := pause(rnd); at < length; at += pause(rnd) {
		fa := platformFaults[rnd.IntN(len(platformFaults))]
		lasts := time.Duration(200+rnd.IntN(2500)) * time.Millisecond
		all = append(all, planned{
			target: "platform",
			name:   fa.name,
			from:   at,
			to:     at + lasts,
			begin:  fa.begin,
		})
		at += lasts
	}
	return all
}

// pause is the time between two faults of one target.
func pause(rnd *rand.Rand) time.Duration {
	return time.Duration(300+rnd.IntN(3000)) * time.Millisecond
}
