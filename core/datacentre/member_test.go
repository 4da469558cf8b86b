package datacentre

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"

	"lynxfold/core/contract"
	"lynxfold/core/host"
	"lynxfold/core/wire"
)

// newTestMember returns a member without peers.
func newTestMember(id host.ID, now time.Time) *Member {
	return New(Config{
		Mesh:           "mesh",
		Host:           id,
		DataCentre:     "dc-0",
		Address:        string(id) + ":1",
		Incarnation:    1,
		FleetSize:      1000,
		ReadsPerSecond: 100,
		DialBase:       200 * time.Millisecond,
		DialCap:        5 * time.Second,
		Rand:           rand.New(rand.NewPCG(9, xxhash.Sum64String(string(id)))),
		StartedAt:      now,
	})
}

// TestUnmetFloor: a host with a floor of 5 activates no lower version, however long it
// waits, and reports this once.
func TestUnmetFloor(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	me := newTestMember("host-a", now)
	rnd := rand.New(rand.NewPCG(1, 1))
	next := nextVersion(contract.EmptySnapshot(), rnd)
	me.Step(LinkOpened{Peer: "host-b", Hello: &wire.Hello{
		Host:    &wire.Host{Id: "host-b", DataCentre: "dc-0", Address: "host-b:1", Incarnation: 1},
		Version: 1,
		Settled: true,
	}}, now)
	me.Step(MessageReceived{Peer: "host-b", Message: &wire.Control{Kind: &wire.Control_Floor{
		Floor: &wire.Floor{Version: 5, Known: true},
	}}}, now)
	me.Step(VersionAccepted{Delta: contract.Diff(contract.EmptySnapshot(), next)}, now)
	unmet := 0
	for range 600 {
		now = now.Add(100 * time.Millisecond)
		for _, ac := range me.Step(Tick{}, now) {
			if no, ok := ac.(Note); ok && no.Kind == NoteFloorUnmet {
				unmet++
			}
		}
	}
	rp := me.Report()
	assert.Equal(t, rp.Verified, contract.Version(1))
	assert.Equal(t, rp.Active, contract.Version(0))
	assert.Equal(t, rp.Basis, BasisNone)
	assert.Equal(t, unmet, 1)
}

// TestOwnUpdatesAreRateLimited: an upstream that changes its slots with every
// announcement is broadcast about once a second, and its drain at once.
func TestOwnUpdatesAreRateLimited(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	me := newTestMember("host-a", now)
	for i := range 1000 {
		now = now.Add(10 * time.Millisecond)
		me.Step(LocalUpstream{Service: "lookup", Slots: host.Slots(i + 1)}, now)
		if i%10 == 0 {
			me.Step(Tick{}, now)
		}
	}
	assert.Equal(t, me.self.GetSequence(), uint64(10))
	me.Step(LocalUpstream{Service: "lookup", Slots: 1, State: host.StateDraining}, now)
	assert.Equal(t, me.self.GetSequence(), uint64(11))
	assert.Equal(t, me.self.GetUpstreams()[0].GetState(), wire.UpstreamState_UPSTREAM_STATE_DRAINING)
	now = now.Add(2 * ownUpdateInterval)
	me.Step(Tick{}, now)
	assert.Equal(t, me.self.GetSequence(), uint64(11))
}

// TestReadsOfIsolatedMembers starts 1,000 members without peers at once, with the
// platform up and down, and counts the reads in each second.
func TestReadsOfIsolatedMembers(t *testing.T) {
	for name, err := range map[string]error{"up": nil, "down": errDown} {
		t.Run(name, func(t *testing.T) {
			startedAt := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
			perSecond := map[int]int{}
			total := 0
			for i := range 1000 {
				me := newTestMember(host.ID(fmt.Sprintf("host-%d", i)), startedAt)
				for now := startedAt; now.Before(startedAt.Add(2 * time.Minute)); now = now.Add(time.Second) {
					for _, ac := range me.Step(Tick{}, now) {
						if rd, ok := ac.(ReadPlatform); ok {
							cost := 1
							if rd.Introductions {
								cost++
							}
							perSecond[int(now.Sub(startedAt)/time.Second)] += cost
							total += cost
							me.Step(PlatformRead{Err: err}, now)
						}
					}
				}
			}
			for second, reads := range perSecond {
				assert.Assert(t, reads <= 100, "%d reads in second %d", reads, second)
			}
			assert.Assert(t, total > 100, "only %d reads; the check needs more to be meaningful", total)
		})
	}
}

// TestReadsOfPartitionedFleet sums the read rates of all readers for several
// partitions of a fleet of 120 hosts: the total stays within the budget.
func TestReadsOfPartitionedFleet(t *testing.T) {
	const fleet, budget = 120, 10.0
	for _, groups := range []int{1, 2, 3, 10, 40, 120} {
		total := 0.0
		for i := range fleet {
			now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
			me := newTestMember(host.ID(fmt.Sprintf("host-%d", i)), now)
			me.cfg.FleetSize = fleet
			me.cfg.ReadsPerSecond = budget
			me.self.DataCentre = fmt.Sprintf("dc-%d", i/groups%3)
			me.cfg.DataCentre = Name(me.self.DataCentre)
			me.storeRecord(me.self, now)
			for j := range fleet {
				if j != i && j%groups == i%groups {
					id := fmt.Sprintf("host-%d", j)
					me.storeRecord(&wire.Host{Id: id, DataCentre: fmt.Sprintf("dc-%d", j/groups%3), Address: id + ":1"}, now)
				}
			}
			if me.isReader() {
				total += 1 / me.readPeriod(1).Seconds()
			}
		}
		t.Logf("%d groups: %.2f reads per second", groups, total)
		assert.Assert(t, total <= budget, "%d groups: %.2f reads per second", groups, total)
	}
}

// BenchmarkView changes the state of one upstream among 12,000 hosts.
func BenchmarkView(b *testing.B) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	me := newTestMember("host-self", now)
	var hosts []*wire.Host
	for i := range 12_000 {
		id := fmt.Sprintf("host-%d", i)
		hosts = append(hosts, &wire.Host{
			Id:          id,
			DataCentre:  fmt.Sprintf("dc-%d", i%29),
			Address:     id + ":1",
			Incarnation: 1,
			Upstreams:   []*wire.Upstream{{Service: fmt.Sprintf("service-%d", i%700), Slots: 10}},
		})
		me.storeRecord(hosts[i], now)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		old := hosts[i%len(hosts)]
		ho := withStatus(old, wire.Status_STATUS_ALIVE)
		ho.Sequence++
		ho.Upstreams[0].Slots++
		hosts[i%len(hosts)] = ho
		me.actions = nil
		me.storeRecord(ho, now)
		me.publishView()
	}
}

// BenchmarkTick runs one tick of a member that knows 12,000 hosts.
func BenchmarkTick(b *testing.B) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	me := newTestMember("host-self", now)
	for i := range 12_000 {
		id := fmt.Sprintf("host-%d", i)
		me.storeRecord(&wire.Host{Id: id, DataCentre: fmt.Sprintf("dc-%d", i%29), Address: id + ":1", Incarnation: 1}, now)
	}
	for b.Loop() {
		now = now.Add(100 * time.Millisecond)
		me.Step(Tick{}, now)
	}
}

// TestReadSnapshotIsForwardedAsDelta: a reader that reads a full document, however
// many versions later, forwards the difference as a delta and not only a notice of the
// version.
func TestReadSnapshotIsForwardedAsDelta(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	me := newTestMember("host-a", now)
	rnd := rand.New(rand.NewPCG(1, 1))
	first := nextVersion(contract.EmptySnapshot(), rnd)
	me.Step(PlatformRead{Snapshot: first}, now)
	me.Step(LinkOpened{Peer: "host-b", Hello: &wire.Hello{
		Host:    &wire.Host{Id: "host-b", DataCentre: "dc-0", Address: "host-b:1", Incarnation: 1},
		Version: uint64(first.Version),
		Digest:  string(first.Digest),
		Settled: true,
	}}, now)
	later := first
	for range 3 {
		later = nextVersion(later, rnd)
	}
	sent := 0
	for _, ac := range me.Step(PlatformRead{Snapshot: later}, now) {
		se, ok := ac.(Send)
		if !ok || se.Message.GetUpdate() == nil {
			continue
		}
		sent++
		de, err := contract.ParseDelta(se.Message.GetUpdate().GetDelta())
		assert.NilError(t, err)
		got, err := de.Apply(first)
		assert.NilError(t, err)
		assert.Equal(t, got.Digest, later.Digest)
	}
	assert.Equal(t, sent, 1)
	assert.Equal(t, me.Report().Active, later.Version)
}
