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

// field is a chooser with the upstreams that it chooses from.
type field struct {
	t       *testing.T
	chooser *call.Chooser
	all     []datacentre.Upstream
	now     time.Time
}

const local datacentre.Name = "press-hall"

func newField(t *testing.T, perCentre map[datacentre.Name]int) *field {
	fi := &field{
		t: t,
		chooser: call.NewChooser(call.ChooserConfig{
			DataCentre: local,
			Rand:       rand.New(rand.NewPCG(1, 2)),
		}),
		now: time.Unix(1_000_000, 0),
	}
	for _, dc := range []datacentre.Name{local, "curing-room", "server-room"} {
		for i := range perCentre[dc] {
			fi.all = append(fi.all, datacentre.Upstream{
				Host:        host.ID(fmt.Sprintf("%s-%d", dc, i)),
				DataCentre:  dc,
				Incarnation: 1,
				Service:     service,
				Slots:       20,
			})
		}
	}
	return fi
}

// ok is a good answer.
func ok(latency time.Duration, load uint32) call.Observation {
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

// picks makes calls one after another and counts them by host.
func (fi *field) picks(n int, observe func(up datacentre.Upstream) call.Observation) map[host.ID]int {
	if fi.t != nil {
		fi.t.Helper()
	}
	counts := map[host.ID]int{}
	for range n {
		up, found := fi.chooser.Pick(service, fi.all, nil, fi.now)
		assert.Assert(fi.t, found)
		counts[up.Host]++
		fi.chooser.Started(up)
		fi.chooser.Ended(up, observe(up), fi.now)
		fi.now = fi.now.Add(time.Millisecond)
	}
	return counts
}

func always(ob call.Observation) func(datacentre.Upstream) call.Observation {
	return func(datacentre.Upstream) call.Observation { return ob }
}

// at observes one host otherwise than the rest.
func at(id host.ID, there, elsewhere call.Observation) func(datacentre.Upstream) call.Observation {
	return func(up datacentre.Upstream) call.Observation {
		if up.Host == id {
			return there
		}
		return elsewhere
	}
}

// centres sums the picks by data centre.
func (fi *field) centres(counts map[host.ID]int) map[datacentre.Name]int {
	sums := map[datacentre.Name]int{}
	for _, up := range fi.all {
		sums[up.DataCentre] += counts[up.Host]
	}
	return sums
}

func TestChooserStaysNear(t *testing.T) {
	fi := newField(t, map[datacentre.Name]int{local: 2, "curing-room": 6})
	sums := fi.centres(fi.picks(1000, always(ok(2*time.Millisecond, 300))))
	assert.Equal(t, sums[local], 1000)
}

// TestChooserSpills loads the own data centre beyond its limit, and returns when
// the load has fallen.
func TestChooserSpills(t *testing.T) {
	fi := newField(t, map[datacentre.Name]int{local: 2, "curing-room": 2, "server-room": 2})
	fi.chooser.SetDistance("curing-room", 5*time.Millisecond)
	fi.chooser.SetDistance("server-room", time.Millisecond)
	loaded := func(up datacentre.Upstream) call.Observation {
		if up.DataCentre == local {
			return ok(2*time.Millisecond, 950)
		}
		return ok(3*time.Millisecond, 100)
	}
	sums := fi.centres(fi.picks(3000, loaded))
	assert.Assert(t, sums["server-room"] > 1000, "%v", sums)
	assert.Equal(t, sums["curing-room"], 0, "the nearer one is enough")
	for range 6 {
		sums = fi.centres(fi.picks(1000, loaded))
		assert.Assert(t, sums["server-room"] > 300, "it flaps: %v", sums)
	}
	fi.picks(3000, always(ok(2*time.Millisecond, 100)))
	sums = fi.centres(fi.picks(1000, always(ok(2*time.Millisecond, 100))))
	assert.Equal(t, sums[local], 1000)
}

func TestChooserWithoutOwnDataCentre(t *testing.T) {
	fi := newField(t, map[datacentre.Name]int{"curing-room": 1, "server-room": 1})
	fi.chooser.SetDistance("curing-room", 20*time.Millisecond)
	fi.chooser.SetDistance("server-room", time.Millisecond)
	counts := fi.picks(100, always(ok(time.Millisecond, 100)))
	assert.Equal(t, counts["server-room-0"], 100)
}

// TestChooserAvoidsSlow has one upstream that is five times slower than the rest.
func TestChooserAvoidsSlow(t *testing.T) {
	fi := newField(t, map[datacentre.Name]int{local: 6})
	slow := at("press-hall-0", ok(10*time.Millisecond, 100), ok(2*time.Millisecond, 100))
	fi.picks(200, slow)
	counts := fi.picks(6000, slow)
	assert.Assert(t, counts["press-hall-0"] < 400, "%v", counts)
}

// TestChooserLeavesDraining takes no more than one refusal.
func TestChooserLeavesDraining(t *testing.T) {
	for _, re := range []host.Reason{host.ReasonDraining, host.ReasonWrongIncarnation, host.ReasonNoUpstream} {
		fi := newField(t, map[datacentre.Name]int{local: 3})
		counts := fi.picks(1000, at("press-hall-1", refused(re), ok(time.Millisecond, 100)))
		assert.Equal(t, counts["press-hall-1"], 1, "%s", re)
	}
}

// TestChooserLastResort uses upstreams that it avoids when there are no others.
func TestChooserLastResort(t *testing.T) {
	fi := newField(t, map[datacentre.Name]int{local: 2})
	counts := fi.picks(10, always(refused(host.ReasonSettling)))
	assert.Equal(t, len(counts), 2)
}

// TestChooserNextNearest goes to the next data centre, not to any, when the own
// one has nobody.
func TestChooserNextNearest(t *testing.T) {
	fi := newField(t, map[datacentre.Name]int{local: 1, "curing-room": 2, "server-room": 2})
	fi.chooser.SetDistance("curing-room", 50*time.Millisecond)
	fi.chooser.SetDistance("server-room", time.Millisecond)
	gone := at("press-hall-0", refused(host.ReasonDraining), ok(time.Millisecond, 100))
	sums := fi.centres(fi.picks(200, gone))
	assert.Equal(t, sums["curing-room"], 0)
	assert.Equal(t, sums["server-room"], 199)
}

// TestChooserEjects keeps a failing upstream out for a while, and gives it a
// chance afterwards.
func TestChooserEjects(t *testing.T) {
	fi := newField(t, map[datacentre.Name]int{local: 6})
	failing := at("press-hall-1", refused(host.ReasonUpstreamConnect), ok(time.Millisecond, 100))
	counts := fi.picks(4000, failing)
	assert.Assert(t, counts["press-hall-1"] >= 5 && counts["press-hall-1"] < 30, "%v", counts)
	fi.now = fi.now.Add(time.Minute)
	counts = fi.picks(4000, always(ok(time.Millisecond, 100)))
	assert.Assert(t, counts["press-hall-1"] > 200, "%v", counts)
}

// TestChooserEjectsSlow ejects an upstream that is far slower than its service.
func TestChooserEjectsSlow(t *testing.T) {
	fi := newField(t, map[datacentre.Name]int{local: 6})
	slow := at("press-hall-1", ok(100*time.Millisecond, 100), ok(time.Millisecond, 100))
	counts := fi.picks(4000, slow)
	assert.Assert(t, counts["press-hall-1"] < 100, "%v", counts)
}

// TestChooserCapsEjection never ejects more than a third.
func TestChooserCapsEjection(t *testing.T) {
	fi := newField(t, map[datacentre.Name]int{local: 6})
	bad := func(up datacentre.Upstream) call.Observation {
		switch up.Host {
		case "press-hall-0", "press-hall-1", "press-hall-2":
			return refused(host.ReasonUpstreamConnect)
		}
		return ok(time.Millisecond, 100)
	}
	fi.picks(300, bad)
	counts := fi.picks(1000, bad)
	used := 0
	for range counts {
		used++
	}
	assert.Assert(t, used >= 4, "%v", counts)
}

// TestChooserUsesAllWhenAllLookBad takes the failures of most for its own.
func TestChooserUsesAllWhenAllLookBad(t *testing.T) {
	fi := newField(t, map[datacentre.Name]int{local: 6})
	fi.picks(500, always(refused(call.ReasonLinkDial)))
	counts := fi.picks(600, always(refused(call.ReasonLinkDial)))
	assert.Equal(t, len(counts), 6, "%v", counts)
}

// TestChooserStartsSlowly gives a new incarnation a growing share.
func TestChooserStartsSlowly(t *testing.T) {
	fi := newField(t, map[datacentre.Name]int{local: 4})
	good := always(ok(time.Millisecond, 100))
	fi.picks(1000, good)
	fi.all = append([]datacentre.Upstream(nil), fi.all...)
	fi.all[2].Incarnation = 2
	first := fi.picks(1000, good)["press-hall-2"]
	assert.Assert(t, first < 130, "%d", first)
	fi.now = fi.now.Add(20 * time.Second)
	later := fi.picks(1000, good)["press-hall-2"]
	assert.Assert(t, later > 150, "%d", later)
}

// TestChooserHonoursTried never returns what was tried, and reports when all were.
func TestChooserHonoursTried(t *testing.T) {
	fi := newField(t, map[datacentre.Name]int{local: 2, "curing-room": 1})
	tried := []host.ID{"press-hall-0"}
	for range 50 {
		up, found := fi.chooser.Pick(service, fi.all, tried, fi.now)
		assert.Assert(t, found)
		assert.Equal(t, up.Host, host.ID("press-hall-1"))
	}
	up, found := fi.chooser.Pick(service, fi.all, append(tried, "press-hall-1"), fi.now)
	assert.Assert(t, found)
	assert.Equal(t, up.Host, host.ID("curing-room-0"))
	_, found = fi.chooser.Pick(service, fi.all, append(tried, "press-hall-1", "curing-room-0"), fi.now)
	assert.Assert(t, !found)
	_, found = fi.chooser.Pick(service, nil, nil, fi.now)
	assert.Assert(t, !found)
}

// TestChooserAllocatesNothing counts the allocations of a pick.
func TestChooserAllocatesNothing(t *testing.T) {
	fi := newField(t, map[datacentre.Name]int{local: 200})
	fi.picks(10, always(ok(time.Millisecond, 100)))
	ob := ok(time.Millisecond, 100)
	allocs := testing.AllocsPerRun(1000, func() {
		up, _ := fi.chooser.Pick(service, fi.all, nil, fi.now)
		fi.chooser.Started(up)
		fi.chooser.Ended(up, ob, fi.now)
	})
	assert.Equal(t, allocs, 0.0)
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{3, 17, 500} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			fi := newField(nil, map[datacentre.Name]int{local: n})
			ob := ok(time.Millisecond, 100)
			b.ReportAllocs()
			for b.Loop() {
				up, _ := fi.chooser.Pick(service, fi.all, nil, fi.now)
				fi.chooser.Started(up)
				fi.chooser.Ended(up, ob, fi.now)
			}
		})
	}
}

// TestBudget grants a share of the successes, a floor each second, and no more
// than its ceiling.
func TestBudget(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	bu := call.NewBudget(call.BudgetConfig{
		PerSuccess: 0.25,
		PerSecond:  1,
		Ceiling:    2,
	})
	spend := func() (n int) {
		for bu.Spend(now) {
			n++
		}
		return n
	}
	assert.Equal(t, spend(), 2)
	for range 4 {
		bu.Succeeded(now)
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
		bu.Succeeded(now)
	}
	assert.Equal(t, spend(), 102, "a share of the last second's successes is saved too")
	for range 400 {
		bu.Succeeded(now)
	}
	now = now.Add(time.Minute)
	assert.Equal(t, spend(), 2, "but not for long")
}

// TestMarkers follows the headers through layers.
func TestMarkers(t *testing.T) {
	assert.Equal(t, call.AttemptMark("", 1), "1")
	assert.Equal(t, call.AttemptMark("", 2), "2")
	assert.Equal(t, call.AttemptMark("3", 1), "3")
	for value, want := range map[string]bool{
		"": false, "1": false, "2": true, "7": true, "x": false, "-2": false, "1000": false,
	} {
		assert.Equal(t, call.UpperRetries(value), want, "%q", value)
	}
	assert.Assert(t, call.GaveUp("1"))
	assert.Assert(t, !call.GaveUp(""))
	assert.Equal(t, call.GaveUpMark(call.Result{Outcome: call.OutcomeUnknown, GaveUp: true}), "1")
	assert.Equal(t, call.GaveUpMark(call.Result{Outcome: call.OutcomeRan, Status: 503, GaveUp: true}), "1")
	assert.Equal(t, call.GaveUpMark(call.Result{Outcome: call.OutcomeRan, Status: 200, GaveUp: true}), "")
	assert.Equal(t, call.GaveUpMark(call.Result{Outcome: call.OutcomeRan, Status: 503}), "")
}

// TestChooserSpillsOnlyWhatDoesNotFit fills the one upstream of the own data
// centre now and then: calls leave it only while it is full, and those that can
// wait stay until its queue is long. Calls take 100 ms here.
func TestChooserSpillsOnlyWhatDoesNotFit(t *testing.T) {
	for _, it := range []struct {
		load      uint32
		far, late bool
	}{
		{load: 850},
		{load: 1000, far: true},
		{load: 1400, far: true},
		{load: 1600, far: true, late: true},
	} {
		fi := newField(t, map[datacentre.Name]int{local: 1, "curing-room": 3})
		loaded := at("press-hall-0", ok(100*time.Millisecond, it.load), ok(100*time.Millisecond, 300))
		fi.chooser.Ended(fi.all[0], loaded(fi.all[0]), fi.now)
		fi.picks(1, loaded)
		fi.chooser.Started(fi.all[0])
		fi.chooser.Ended(fi.all[0], loaded(fi.all[0]), fi.now)
		up, _ := fi.chooser.Pick(service, fi.all, nil, fi.now)
		assert.Equal(t, up.DataCentre != local, it.far, "load %d", it.load)
		up, _ = fi.chooser.PickPatient(service, fi.all, nil, 60*time.Millisecond, fi.now)
		assert.Equal(t, up.DataCentre != local, it.late, "load %d", it.load)
	}
}

// TestChooserSpare passes over upstreams that said lately that they are full, and
// looks at them again when that is old.
func TestChooserSpare(t *testing.T) {
	fi := newField(t, map[datacentre.Name]int{local: 2, "curing-room": 1})
	fi.picks(50, at("curing-room-0", ok(2*time.Millisecond, 100), ok(2*time.Millisecond, 1200)))
	tried := []host.ID{"press-hall-0"}
	up, found := fi.chooser.PickSpare(service, fi.all, tried, fi.now)
	assert.Assert(t, found)
	assert.Equal(t, up.Host, host.ID("curing-room-0"))
	tried = append(tried, "curing-room-0")
	_, found = fi.chooser.PickSpare(service, fi.all, tried, fi.now)
	assert.Assert(t, !found)
	up, found = fi.chooser.PickSpare(service, fi.all, tried, fi.now.Add(2*time.Second))
	assert.Assert(t, found)
	assert.Equal(t, up.Host, host.ID("press-hall-1"))
}
