package call_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lynxfold/core/call"
	"lynxfold/core/datacentre"
	"lynxfold/core/host"
)

// chooserFixture is a chooser with the upstreams that it selects from.
type chooserFixture struct {
	t       *testing.T
	chooser *call.Chooser
	all     []datacentre.Upstream
	now     time.Time
}

const local datacentre.Name = "press-hall"

func newChooserFixture(t *testing.T, perDataCentre map[datacentre.Name]int) *chooserFixture {
	cf := &chooserFixture{
		t: t,
		chooser: call.NewChooser(call.ChooserConfig{
			DataCentre: local,
			Rand:       rand.New(rand.NewPCG(1, 2)),
		}),
		now: time.Unix(1_000_000, 0),
	}
	for _, dc := range []datacentre.Name{local, "curing-room", "server-room"} {
		for i := range perDataCentre[dc] {
			cf.all = append(cf.all, datacentre.Upstream{
				Host:        host.ID(fmt.Sprintf("%s-%d", dc, i)),
				DataCentre:  dc,
				Incarnation: 1,
				Service:     service,
				Slots:       20,
			})
		}
	}
	return cf
}

// succeeded is the observation of a successful attempt.
func succeeded(latency time.Duration, load uint32) call.Observation {
	return call.Observation{
		Result:       call.Result{Outcome: call.OutcomeRan, Status: 200},
		Latency:      latency,
		LoadPermille: load,
		HasLoad:      true,
	}
}

func refused(re host.Reason) call.Observation {
	return call.Observation{Result: call.Result{Outcome: call.OutcomeNotRun, Reason: re}}
}

// picks makes calls one after the other and counts them by host.
func (cf *chooserFixture) picks(n int, observe func(up datacentre.Upstream) call.Observation) map[host.ID]int {
	if cf.t != nil {
		cf.t.Helper()
	}
	counts := map[host.ID]int{}
	for range n {
		up, found := cf.chooser.Pick(service, cf.all, nil, cf.now)
		assert.Assert(cf.t, found)
		counts[up.Host]++
		cf.chooser.Started(up)
		cf.chooser.Ended(up, observe(up), cf.now)
		cf.now = cf.now.Add(time.Millisecond)
	}
	return counts
}

func always(ob call.Observation) func(datacentre.Upstream) call.Observation {
	return func(datacentre.Upstream) call.Observation { return ob }
}

// onHost returns one observation for a host and another for the rest.
func onHost(id host.ID, there, elsewhere call.Observation) func(datacentre.Upstream) call.Observation {
	return func(up datacentre.Upstream) call.Observation {
		if up.Host == id {
			return there
		}
		return elsewhere
	}
}

// byDataCentre sums the picks by data centre.
func (cf *chooserFixture) byDataCentre(counts map[host.ID]int) map[datacentre.Name]int {
	sums := map[datacentre.Name]int{}
	for _, up := range cf.all {
		sums[up.DataCentre] += counts[up.Host]
	}
	return sums
}

// TestPickHost checks that the upstream of a certain host is picked unless it is full, was
// tried, or is not there.
func TestPickHost(t *testing.T) {
	ch := call.NewChooser(call.ChooserConfig{Rand: rand.New(rand.NewPCG(1, 2))})
	now := time.Unix(1_000_000, 0)
	all := []datacentre.Upstream{
		{
			Service: service,
			Host:    "a",
			Slots:   2,
		},
		{
			Service: service,
			Host:    "b",
			Slots:   2,
		},
	}
	up, ok := ch.PickHost(service, all, "b", nil, now)
	assert.Assert(t, ok)
	assert.Equal(t, up.Host, host.ID("b"))
	_, ok = ch.PickHost(service, all, "b", []host.ID{"b"}, now)
	assert.Assert(t, !ok, "tried")
	_, ok = ch.PickHost(service, all, "c", nil, now)
	assert.Assert(t, !ok, "not there")
	ch.Started(up)
	ch.Started(up)
	_, ok = ch.PickHost(service, all, "b", nil, now)
	assert.Assert(t, !ok, "full")
}

// TestChooserAvoidsSheddingUpstreams plays six upstreams of which two turn away most of
// their arrivals: few attempts are wasted on them, and they are used again afterwards.
func TestChooserAvoidsSheddingUpstreams(t *testing.T) {
	cf := newChooserFixture(t, map[datacentre.Name]int{local: 6})
	rnd := rand.New(rand.NewPCG(3, 4))
	sheds := func(up datacentre.Upstream) bool { return up.Host == cf.all[0].Host || up.Host == cf.all[1].Host }
	counts := cf.picks(6000, func(up datacentre.Upstream) call.Observation {
		if sheds(up) && rnd.Float64() < 0.8 {
			return refused(host.ReasonUpstreamRefused)
		}
		return succeeded(2*time.Millisecond, 300)
	})
	share := float64(counts[cf.all[0].Host]+counts[cf.all[1].Host]) / 6000
	assert.Check(t, share < 0.15, "%.2f of the attempts went to the upstreams that shed", share)
	assert.Check(t, share > 0.01, "they are not tried again: %.3f", share)
	cf.now = cf.now.Add(10 * time.Second)
	counts = cf.picks(6000, always(succeeded(2*time.Millisecond, 300)))
	share = float64(counts[cf.all[0].Host]+counts[cf.all[1].Host]) / 6000
	assert.Check(t, share > 0.25, "%.2f of the attempts go to the upstreams that shed before", share)
}

func TestChooserStaysLocal(t *testing.T) {
	cf := newChooserFixture(t, map[datacentre.Name]int{local: 2, "curing-room": 6})
	sums := cf.byDataCentre(cf.picks(1000, always(succeeded(2*time.Millisecond, 300))))
	assert.Equal(t, sums[local], 1000)
}

// TestChooserSpills checks that calls spill over to the nearest remote data centre
// while the local one is full, without flapping, and return when the local load falls.
func TestChooserSpills(t *testing.T) {
	cf := newChooserFixture(t, map[datacentre.Name]int{local: 2, "curing-room": 2, "server-room": 2})
	cf.chooser.SetRTT("curing-room", 5*time.Millisecond)
	cf.chooser.SetRTT("server-room", time.Millisecond)
	loaded := func(up datacentre.Upstream) call.Observation {
		if up.DataCentre == local {
			return succeeded(2*time.Millisecond, 950)
		}
		return succeeded(3*time.Millisecond, 100)
	}
	sums := cf.byDataCentre(cf.picks(3000, loaded))
	assert.Assert(t, sums["server-room"] > 1000, "%v", sums)
	assert.Equal(t, sums["curing-room"], 0, "calls skip a nearer data centre with capacity")
	for range 6 {
		sums = cf.byDataCentre(cf.picks(1000, loaded))
		assert.Assert(t, sums["server-room"] > 300, "the choice flaps: %v", sums)
	}
	cf.picks(3000, always(succeeded(2*time.Millisecond, 100)))
	sums = cf.byDataCentre(cf.picks(1000, always(succeeded(2*time.Millisecond, 100))))
	assert.Equal(t, sums[local], 1000)
}

func TestChooserWithoutLocalUpstreams(t *testing.T) {
	cf := newChooserFixture(t, map[datacentre.Name]int{"curing-room": 1, "server-room": 1})
	cf.chooser.SetRTT("curing-room", 20*time.Millisecond)
	cf.chooser.SetRTT("server-room", time.Millisecond)
	counts := cf.picks(100, always(succeeded(time.Millisecond, 100)))
	assert.Equal(t, counts["server-room-0"], 100)
}

// TestChooserAvoidsSlow checks that an upstream that is five times slower than the
// rest gets few calls.
func TestChooserAvoidsSlow(t *testing.T) {
	cf := newChooserFixture(t, map[datacentre.Name]int{local: 6})
	slow := onHost("press-hall-0", succeeded(10*time.Millisecond, 100), succeeded(2*time.Millisecond, 100))
	cf.picks(200, slow)
	counts := cf.picks(6000, slow)
	assert.Assert(t, counts["press-hall-0"] < 400, "%v", counts)
}

// TestChooserAvoidsDraining checks that an upstream gets no more calls after the first
// refusal by a gate that drains, was replaced or has no upstream.
func TestChooserAvoidsDraining(t *testing.T) {
	for _, re := range []host.Reason{host.ReasonDraining, host.ReasonWrongIncarnation, host.ReasonNoUpstream} {
		cf := newChooserFixture(t, map[datacentre.Name]int{local: 3})
		counts := cf.picks(1000, onHost("press-hall-1", refused(re), succeeded(time.Millisecond, 100)))
		assert.Equal(t, counts["press-hall-1"], 1, "%s", re)
	}
}

// TestChooserFallsBackToAvoidedUpstreams checks that avoided upstreams are used if
// there are no others.
func TestChooserFallsBackToAvoidedUpstreams(t *testing.T) {
	cf := newChooserFixture(t, map[datacentre.Name]int{local: 2})
	counts := cf.picks(10, always(refused(host.ReasonSettling)))
	assert.Equal(t, len(counts), 2)
}

// TestChooserNextNearest checks that calls go to the nearest remote data centre
// when the local one has no usable upstream.
func TestChooserNextNearest(t *testing.T) {
	cf := newChooserFixture(t, map[datacentre.Name]int{local: 1, "curing-room": 2, "server-room": 2})
	cf.chooser.SetRTT("curing-room", 50*time.Millisecond)
	cf.chooser.SetRTT("server-room", time.Millisecond)
	gone := onHost("press-hall-0", refused(host.ReasonDraining), succeeded(time.Millisecond, 100))
	sums := cf.byDataCentre(cf.picks(200, gone))
	assert.Equal(t, sums["curing-room"], 0)
	assert.Equal(t, sums["server-room"], 199)
}

// TestChooserEjects checks that a failing upstream is ejected, and used again after
// the ejection.
func TestChooserEjects(t *testing.T) {
	cf := newChooserFixture(t, map[datacentre.Name]int{local: 6})
	failing := onHost("press-hall-1", refused(host.ReasonUpstreamConnect), succeeded(time.Millisecond, 100))
	counts := cf.picks(4000, failing)
	assert.Assert(t, counts["press-hall-1"] >= 5 && counts["press-hall-1"] < 30, "%v", counts)
	cf.now = cf.now.Add(time.Minute)
	counts = cf.picks(4000, always(succeeded(time.Millisecond, 100)))
	assert.Assert(t, counts["press-hall-1"] > 200, "%v", counts)
}

// TestChooserEjectsSlow checks that an upstream that is far slower than its service
// is ejected.
func TestChooserEjectsSlow(t *testing.T) {
	cf := newChooserFixture(t, map[datacentre.Name]int{local: 6})
	slow := onHost("press-hall-1", succeeded(100*time.Millisecond, 100), succeeded(time.Millisecond, 100))
	counts := cf.picks(4000, slow)
	assert.Assert(t, counts["press-hall-1"] < 100, "%v", counts)
}

// TestChooserCapsEjection checks that no more than a third of the upstreams are
// ejected.
func TestChooserCapsEjection(t *testing.T) {
	cf := newChooserFixture(t, map[datacentre.Name]int{local: 6})
	bad := func(up datacentre.Upstream) call.Observation {
		switch up.Host {
		case "press-hall-0", "press-hall-1", "press-hall-2":
			return refused(host.ReasonUpstreamConnect)
		}
		return succeeded(time.Millisecond, 100)
	}
	cf.picks(300, bad)
	counts := cf.picks(1000, bad)
	used := 0
	for range counts {
		used++
	}
	assert.Assert(t, used >= 4, "%v", counts)
}

// TestChooserLiftsEjectionsWhenMostFail checks that no upstream is ejected when most of
// them fail: the cause is then likely outside of them.
func TestChooserLiftsEjectionsWhenMostFail(t *testing.T) {
	cf := newChooserFixture(t, map[datacentre.Name]int{local: 6})
	cf.picks(500, always(refused(call.ReasonLinkDial)))
	counts := cf.picks(600, always(refused(call.ReasonLinkDial)))
	assert.Equal(t, len(counts), 6, "%v", counts)
}

// TestChooserStartsSlowly checks the slow start of a new incarnation.
func TestChooserStartsSlowly(t *testing.T) {
	cf := newChooserFixture(t, map[datacentre.Name]int{local: 4})
	good := always(succeeded(time.Millisecond, 100))
	cf.picks(1000, good)
	cf.all = append([]datacentre.Upstream(nil), cf.all...)
	cf.all[2].Incarnation = 2
	first := cf.picks(1000, good)["press-hall-2"]
	assert.Assert(t, first < 130, "%d", first)
	cf.now = cf.now.Add(20 * time.Second)
	later := cf.picks(1000, good)["press-hall-2"]
	assert.Assert(t, later > 150, "%d", later)
}

// TestChooserSkipsTriedHosts checks that hosts that were tried are not picked again,
// and that nothing is picked if all were tried.
func TestChooserSkipsTriedHosts(t *testing.T) {
	cf := newChooserFixture(t, map[datacentre.Name]int{local: 2, "curing-room": 1})
	tried := []host.ID{"press-hall-0"}
	for range 50 {
		up, found := cf.chooser.Pick(service, cf.all, tried, cf.now)
		assert.Assert(t, found)
		assert.Equal(t, up.Host, host.ID("press-hall-1"))
	}
	up, found := cf.chooser.Pick(service, cf.all, append(tried, "press-hall-1"), cf.now)
	assert.Assert(t, found)
	assert.Equal(t, up.Host, host.ID("curing-room-0"))
	_, found = cf.chooser.Pick(service, cf.all, append(tried, "press-hall-1", "curing-room-0"), cf.now)
	assert.Assert(t, !found)
	_, found = cf.chooser.Pick(service, nil, nil, cf.now)
	assert.Assert(t, !found)
}

// TestChooserAllocatesNothing checks that a pick does not allocate.
func TestChooserAllocatesNothing(t *testing.T) {
	cf := newChooserFixture(t, map[datacentre.Name]int{local: 200})
	cf.picks(10, always(succeeded(time.Millisecond, 100)))
	ob := succeeded(time.Millisecond, 100)
	allocs := testing.AllocsPerRun(1000, func() {
		up, _ := cf.chooser.Pick(service, cf.all, nil, cf.now)
		cf.chooser.Started(up)
		cf.chooser.Ended(up, ob, cf.now)
	})
	assert.Equal(t, allocs, 0.0)
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{3, 17, 500} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			cf := newChooserFixture(nil, map[datacentre.Name]int{local: n})
			ob := succeeded(time.Millisecond, 100)
			b.ReportAllocs()
			for b.Loop() {
				up, _ := cf.chooser.Pick(service, cf.all, nil, cf.now)
				cf.chooser.Started(up)
				cf.chooser.Ended(up, ob, cf.now)
			}
		})
	}
}

// TestBudget checks the share of the successes, the rate per second and the burst.
func TestBudget(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	bu := call.NewBudget(call.BudgetConfig{
		PerSuccess: 0.25,
		PerSecond:  1,
		Burst:      2,
	})
	spend := func() (n int) {
		for bu.Spend(now) {
			n++
		}
		return n
	}
	assert.Equal(t, spend(), 2)
	for range 4 {
		bu.RecordSuccess(now)
	}
	assert.Equal(t, spend(), 1)
	now = now.Add(time.Second)
	assert.Equal(t, spend(), 1)
	now = now.Add(time.Hour)
	assert.Equal(t, spend(), 2)
	now = now.Add(-time.Hour)
	assert.Equal(t, spend(), 0)
	now = now.Add(2 * time.Hour)
	for range 400 {
		bu.RecordSuccess(now)
	}
	assert.Equal(t, spend(), 102, "the share of the last second's successes accumulates beyond the burst")
	for range 400 {
		bu.RecordSuccess(now)
	}
	now = now.Add(time.Minute)
	assert.Equal(t, spend(), 2, "the share of old successes expires")
}

// TestRetryHeaders checks the values of the retry headers.
func TestRetryHeaders(t *testing.T) {
	assert.Equal(t, call.AttemptHeaderValue("", 1), "1")
	assert.Equal(t, call.AttemptHeaderValue("", 2), "2")
	assert.Equal(t, call.AttemptHeaderValue("3", 1), "3")
	for value, want := range map[string]bool{
		"": false, "1": false, "2": true, "7": true, "x": false, "-2": false, "1000": false,
	} {
		assert.Equal(t, call.UpperLayerRetries(value), want, "%q", value)
	}
	assert.Assert(t, call.ParseGaveUp("1"))
	assert.Assert(t, !call.ParseGaveUp(""))
	assert.Equal(t, call.GaveUpHeaderValue(call.Result{Outcome: call.OutcomeUnknown, GaveUp: true}), "1")
	assert.Equal(t, call.GaveUpHeaderValue(call.Result{Outcome: call.OutcomeRan, Status: 503, GaveUp: true}), "1")
	assert.Equal(t, call.GaveUpHeaderValue(call.Result{Outcome: call.OutcomeRan, Status: 200, GaveUp: true}), "")
	assert.Equal(t, call.GaveUpHeaderValue(call.Result{Outcome: call.OutcomeRan, Status: 503}), "")
}

// TestChooserSpillsOnlyWhatDoesNotFit checks that calls spill over only while the
// local upstream is full, and calls that may wait only while the expected wait is
// longer than that. Calls take 100 ms here.
func TestChooserSpillsOnlyWhatDoesNotFit(t *testing.T) {
	for _, it := range []struct {
		load                   uint32
		remote, remoteWithWait bool
	}{
		{load: 850},
		{load: 1000, remote: true},
		{load: 1400, remote: true},
		{load: 1600, remote: true, remoteWithWait: true},
	} {
		cf := newChooserFixture(t, map[datacentre.Name]int{local: 1, "curing-room": 3})
		loaded := onHost("press-hall-0", succeeded(100*time.Millisecond, it.load), succeeded(100*time.Millisecond, 300))
		cf.chooser.Ended(cf.all[0], loaded(cf.all[0]), cf.now)
		cf.picks(1, loaded)
		cf.chooser.Started(cf.all[0])
		cf.chooser.Ended(cf.all[0], loaded(cf.all[0]), cf.now)
		up, _ := cf.chooser.Pick(service, cf.all, nil, cf.now)
		assert.Equal(t, up.DataCentre != local, it.remote, "load %d", it.load)
		up, _ = cf.chooser.PickWithMaxWait(service, cf.all, nil, 60*time.Millisecond, cf.now)
		assert.Equal(t, up.DataCentre != local, it.remoteWithWait, "load %d", it.load)
	}
}

// TestChooserPicksUpstreamWithCapacity checks that an upstream whose gate reported
// that it is full is skipped until the reported load has decayed.
func TestChooserPicksUpstreamWithCapacity(t *testing.T) {
	cf := newChooserFixture(t, map[datacentre.Name]int{local: 2, "curing-room": 1})
	cf.picks(50, onHost("curing-room-0", succeeded(2*time.Millisecond, 100), succeeded(2*time.Millisecond, 1200)))
	tried := []host.ID{"press-hall-0"}
	up, found := cf.chooser.PickWithCapacity(service, cf.all, tried, cf.now)
	assert.Assert(t, found)
	assert.Equal(t, up.Host, host.ID("curing-room-0"))
	tried = append(tried, "curing-room-0")
	_, found = cf.chooser.PickWithCapacity(service, cf.all, tried, cf.now)
	assert.Assert(t, !found)
	up, found = cf.chooser.PickWithCapacity(service, cf.all, tried, cf.now.Add(2*time.Second))
	assert.Assert(t, found)
	assert.Equal(t, up.Host, host.ID("press-hall-1"))
}

// TestLimitedUpstreamDoesNotMakeOthersLookFull lets an upstream with free slots state a rate
// limit: its wait was taken for the load of the data centre, and no call went to the other.
func TestLimitedUpstreamDoesNotMakeOthersLookFull(t *testing.T) {
	cf := newChooserFixture(t, map[datacentre.Name]int{local: 2})
	ob := succeeded(2*time.Millisecond, 2_000_000)
	ob.Load = host.Load{
		Slots:       20,
		Wait:        4 * time.Second,
		ServiceTime: 2 * time.Millisecond,
	}
	ob.HasDetail = true
	limited := cf.all[0]
	_, found := cf.chooser.PickHost(service, cf.all, limited.Host, nil, cf.now)
	assert.Assert(t, found)
	cf.chooser.Started(limited)
	cf.chooser.Ended(limited, ob, cf.now)
	cf.now = cf.now.Add(50 * time.Millisecond)
	up, found := cf.chooser.PickWithCapacity(service, cf.all, []host.ID{limited.Host}, cf.now)
	assert.Assert(t, found)
	assert.Equal(t, up.Host, cf.all[1].Host)
}
