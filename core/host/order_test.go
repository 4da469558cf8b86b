package host_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lynxfold/core/host"
)

// heard is one announcement and whether it counts.
type heard struct {
	instance host.InstanceID
	born     int
	sequence uint64
	state    host.State
	// after is the time since the announcement before, in seconds.
	after int
	taken bool
}

// TestAnnouncementsInOrder takes only what is newer than what is known, also when
// instances keep their names and clocks go back.
func TestAnnouncementsInOrder(t *testing.T) {
	ready, draining := host.StateReady, host.StateDraining
	for name, sequence := range map[string][]heard{
		"late": {
			{instance: "a", born: 1, sequence: 5, taken: true},
			{instance: "a", born: 1, sequence: 4},
			{instance: "a", born: 1, sequence: 5},
			{instance: "a", born: 1, sequence: 6, taken: true},
		},
		"one that leaves does not come back": {
			{instance: "a", born: 1, sequence: 1, taken: true},
			{instance: "a", born: 1, sequence: 3, state: draining, taken: true},
			{instance: "a", born: 1, sequence: 4, state: ready},
			{instance: "a", born: 1, sequence: 5, state: draining, taken: true},
		},
		"started again under its name": {
			{instance: "a", born: 1, sequence: 9, state: draining, taken: true},
			{instance: "a", born: 2, sequence: 1, state: ready, taken: true},
			{instance: "a", born: 1, sequence: 10, state: draining},
		},
		"another one at the address": {
			{instance: "a", born: 1, sequence: 9, taken: true},
			{instance: "b", born: 2, sequence: 1, taken: true},
			{instance: "a", born: 1, sequence: 10},
			{instance: "b", born: 2, sequence: 2, taken: true},
		},
		"a clock that went back": {
			{instance: "a", born: 9, sequence: 9, taken: true},
			{instance: "b", born: 2, sequence: 1, after: 2},
			{instance: "b", born: 2, sequence: 2, after: 2, taken: true},
			{instance: "b", born: 2, sequence: 3, after: 2, taken: true},
		},
		"two that both live": {
			{instance: "a", born: 9, sequence: 9, taken: true},
			{instance: "b", born: 2, sequence: 1},
			{instance: "a", born: 9, sequence: 10, after: 1, taken: true},
			{instance: "b", born: 2, sequence: 2, after: 1},
			{instance: "a", born: 9, sequence: 11, after: 1, taken: true},
		},
		"departure": {
			{instance: "a", born: 1, sequence: 1, taken: true},
			{instance: "b", state: host.StateGone},
			{instance: "a", state: host.StateGone, taken: true},
			{instance: "a", state: host.StateGone},
			{instance: "a", born: 1, sequence: 2, state: ready},
		},
		"departure of one that was not known": {
			{instance: "a", state: host.StateGone, after: 100, taken: true},
			{instance: "a", born: 50, sequence: 2, state: ready},
			{instance: "b", born: 101, sequence: 1, state: ready, taken: true},
		},
	} {
		t.Run(name, func(t *testing.T) {
			ga := host.NewGate(host.Config{Incarnation: 1})
			now := time.Unix(0, 0)
			for i, it := range sequence {
				now = now.Add(time.Duration(it.after) * time.Second)
				an := host.Announcement{
					Service:  "booking",
					Instance: it.instance,
					Sequence: it.sequence,
					State:    it.state,
				}
				if it.born > 0 {
					an.Born = time.Unix(int64(it.born), 0)
				}
				assert.Equal(t, ga.Takes(an, now), it.taken, "announcement %d", i)
			}
		})
	}
}
