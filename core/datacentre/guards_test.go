package datacentre

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lynxfold/core/contract"
	"lynxfold/core/wire"
)

// versions compiles versions 1 to n of a document.
func versions(t *testing.T, n int) []*contract.Snapshot {
	t.Helper()
	var all []*contract.Snapshot
	for i := range n {
		sn, err := contract.Compile(contract.Version(i+1), &contract.Document{
			Services: []contract.Service{{
				Name:        "booking",
				Description: string(rune('a' + i)),
			}},
		})
		assert.NilError(t, err)
		all = append(all, sn)
	}
	return all
}

// TestOlderVersionsAreIgnored feeds what is older than the held version, or is it,
// on each way by which a version comes. Every way has a check of its own: none asks
// anybody for anything, takes the version in, or reports a fault.
func TestOlderVersionsAreIgnored(t *testing.T) {
	all := versions(t, 3)
	now := time.Unix(1_000_000, 0)
	for name, feed := range map[string]func(me *Member){
		"late delta": func(me *Member) {
			de := contract.Diff(all[0], all[1])
			me.offer(de, de.Encode(), "", now)
		},
		"delta again": func(me *Member) {
			de := contract.Diff(all[1], all[2])
			me.offer(de, de.Encode(), "", now)
		},
		"late document":  func(me *Member) { me.whole(wholeOf(all[1]), "", now) },
		"document again": func(me *Member) { me.whole(wholeOf(all[2]), "", now) },
	} {
		t.Run(name, func(t *testing.T) {
			me := guarded(now)
			assert.Assert(t, me.hold(all[2], now))
			me.acts = nil
			pull := me.spread.pull
			feed(me)
			assert.Equal(t, me.spread.held, all[2])
			assert.Equal(t, len(me.acts), 0, "%v", me.acts)
			assert.Equal(t, me.spread.pull, pull)
			assert.Equal(t, len(me.spread.pending), 0)
		})
	}
}

// TestHoldNeverGoesBack refuses what is not newer than the held version at the only
// place that changes it, whatever was checked before.
func TestHoldNeverGoesBack(t *testing.T) {
	all := versions(t, 2)
	now := time.Unix(1_000_000, 0)
	me := guarded(now)
	assert.Assert(t, me.hold(all[1], now))
	for _, sn := range all {
		me.acts = nil
		assert.Assert(t, !me.hold(sn, now))
		assert.Equal(t, me.spread.held, all[1])
		no, ok := me.acts[len(me.acts)-1].(Note)
		assert.Assert(t, ok && no.Kind == NoteInvariant)
	}
}

// guarded is a member that knows nobody.
func guarded(now time.Time) *Member {
	return New(Config{
		Host:       "host-0",
		DataCentre: "press-hall",
		Rand:       rand.New(rand.NewPCG(1, 2)),
		StartedAt:  now,
	})
}

func wholeOf(sn *contract.Snapshot) *wire.Whole {
	return &wire.Whole{
		Version:  uint64(sn.Version),
		Digest:   string(sn.Digest),
		Document: contract.Pack(sn.Document),
	}
}
