package datacentre

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lynxfold/core/contract"
	"lynxfold/core/wire"
)

// compileVersions compiles versions 1 to n of a document.
func compileVersions(t *testing.T, n int) []*contract.Snapshot {
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

// TestOlderVersionsAreIgnored feeds versions that are not above the verified one on
// each path by which versions arrive. Each path checks this itself, so on none of them
// the member sends a message, schedules a pull, stores the version or notes a violation.
func TestOlderVersionsAreIgnored(t *testing.T) {
	all := compileVersions(t, 3)
	now := time.Unix(1_000_000, 0)
	for name, feed := range map[string]func(me *Member){
		"late delta": func(me *Member) {
			de := contract.Diff(all[0], all[1])
			me.processDelta(encodeDelta(de), "", now)
		},
		"duplicate delta": func(me *Member) {
			de := contract.Diff(all[1], all[2])
			me.processDelta(encodeDelta(de), "", now)
		},
		"late document":      func(me *Member) { me.handleSnapshot(snapshotMessage(all[1]), "", now) },
		"duplicate document": func(me *Member) { me.handleSnapshot(snapshotMessage(all[2]), "", now) },
	} {
		t.Run(name, func(t *testing.T) {
			me := newIsolatedMember(now)
			assert.Assert(t, me.setVerified(all[2], now))
			me.actions = nil
			pull := me.versions.pull
			feed(me)
			assert.Equal(t, me.versions.verified, all[2])
			assert.Equal(t, len(me.actions), 0, "%v", me.actions)
			assert.Equal(t, me.versions.pull, pull)
			assert.Equal(t, len(me.versions.pending), 0)
		})
	}
}

// TestVerifiedVersionNeverDecreases: setVerified refuses versions that are not above
// the verified one, whatever its callers have checked before.
func TestVerifiedVersionNeverDecreases(t *testing.T) {
	all := compileVersions(t, 2)
	now := time.Unix(1_000_000, 0)
	me := newIsolatedMember(now)
	assert.Assert(t, me.setVerified(all[1], now))
	for _, sn := range all {
		me.actions = nil
		assert.Assert(t, !me.setVerified(sn, now))
		assert.Equal(t, me.versions.verified, all[1])
		no, ok := me.actions[len(me.actions)-1].(Note)
		assert.Assert(t, ok && no.Kind == NoteInvariantViolation)
	}
}

// newIsolatedMember returns a member without peers or contacts.
func newIsolatedMember(now time.Time) *Member {
	return New(Config{
		Host:       "host-0",
		DataCentre: "press-hall",
		Rand:       rand.New(rand.NewPCG(1, 2)),
		StartedAt:  now,
	})
}

func snapshotMessage(sn *contract.Snapshot) *wire.Whole {
	return &wire.Whole{
		Version:  uint64(sn.Version),
		Digest:   string(sn.Digest),
		Document: contract.Pack(sn.Document),
	}
}
