package quota_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lynxfold/core/contract"
	"lynxfold/core/datacentre"
	"lynxfold/core/quota"
)

// TestWindowsHold plays random loads and faults. It guards against a customer getting more
// than its limit through a cut, a killed, paused or restarted quota host, a changed limit
// that the hosts learn one after another, or callers that move.
func TestWindowsHold(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		hosts := rapid.SampledFrom([]int{3, 12, 40}).Draw(rt, "hosts")
		rnd := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 0))
		si := newSim(rnd, hosts, rapid.SampledFrom([]float64{0, 0.1, 0.5}).Draw(rt, "busy"))
		for i, perSecond := range []float64{3, 40, 400} {
			cu := contract.CustomerName(fmt.Sprintf("customer-%d", i))
			burst := perSecond * rapid.SampledFrom([]float64{0, 1, 2}).Draw(rt, "burst")
			si.setLimit(cu, limitOf(perSecond, burst, 1), 0)
			playCustomer(rt, si, cu, perSecond)
			if rapid.Bool().Draw(rt, "lower") {
				si.after(7*time.Second, func() { si.setLimit(cu, limitOf(perSecond/2, burst/2, 2), 2*time.Second) })
			}
		}
		for range rapid.IntRange(0, 4).Draw(rt, "faults") {
			playFault(rt, si)
		}
		si.run(20 * time.Second)
		for cu, cl := range si.customers {
			if largest, part := cl.largestWindow(); part > 1 {
				rt.Fatalf("%s: %d requests in 5 s, %.0f are allowed", cu, largest, allowed(cl.maxLimit))
			}
		}
	})
}

// playCustomer plays a customer that is above its limit part of the time, with callers
// that are spread, at one host, or moving.
func playCustomer(rt *rapid.T, si *sim, cu contract.CustomerName, perSecond float64) {
	factor := rapid.SampledFrom([]float64{0.6, 1, 3, 7}).Draw(rt, "factor")
	quiet := time.Duration(rapid.IntRange(0, 8).Draw(rt, "quiet")) * time.Second
	startedAt := si.now
	rate := func() float64 {
		if si.now.Sub(startedAt) < quiet {
			return perSecond / 1.6
		}
		return perSecond * factor
	}
	stay := rapid.SampledFrom([]time.Duration{0, 300 * time.Millisecond, time.Second, time.Hour}).Draw(rt, "stay")
	si.load(cu, rate, si.placement(stay), func() {})
}

// placement returns hosts at random, and the same one for a time; 0 means a new one for
// each request.
func (si *sim) placement(stay time.Duration) func() *simHost {
	var (
		at    *simHost
		until time.Time
	)
	return func() *simHost {
		if at == nil || !si.now.Before(until) {
			at = si.hosts[si.rnd.IntN(len(si.hosts))]
			until = si.now.Add(stay)
		}
		return at
	}
}

// playFault plays a kill with a restart, a pause, or a cut between two parts of the mesh
// that heals.
func playFault(rt *rapid.T, si *sim) {
	at := time.Duration(rapid.IntRange(1000, 12000).Draw(rt, "fault at ms")) * time.Millisecond
	lasts := time.Duration(rapid.IntRange(100, 8000).Draw(rt, "lasts ms")) * time.Millisecond
	sh := si.hosts[rapid.IntRange(0, len(si.hosts)-1).Draw(rt, "host")]
	if rapid.Bool().Draw(rt, "quota host") {
		sh = si.quotaHost("customer-2")
	}
	begin, end := func() {}, func() {}
	switch rapid.SampledFrom([]string{"kill", "pause", "cut"}).Draw(rt, "fault") {
	case "kill":
		begin = func() { sh.dead, sh.diedAt = true, si.now }
		end = func() {
			sh.dead = false
			si.reset(sh, si.now)
			si.refreshView(sh)
		}
	case "pause":
		begin = func() { sh.pausedUntil = si.now.Add(lasts) }
	case "cut":
		others := rapid.IntRange(1, len(si.hosts)-1).Draw(rt, "cut off")
		begin = func() {
			for _, other := range si.hosts[:others] {
				other.side = 1
			}
		}
		end = func() {
			for _, other := range si.hosts {
				other.side = 0
			}
		}
	}
	si.after(at, func() {
		begin()
		si.topologyChanged(maxDetectTime)
	})
	si.after(at+lasts, func() {
		end()
		si.topologyChanged(maxJoinTime)
	})
}

// quotaHost returns the host that a customer's bucket is kept at while all are alive.
func (si *sim) quotaHost(cu contract.CustomerName) *simHost {
	le := quota.NewLedger(1)
	hl := &datacentre.HostList{}
	for _, sh := range si.hosts {
		hl.Live = append(hl.Live, datacentre.NewLiveHost(sh.id, "", false))
	}
	le.SetHosts(hl)
	return si.host(le.Admit(cu, limitOf(1, 1, 1), false, si.now).Host.ID)
}
