package host_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lynxfold/core/host"
)

// announceStep is one announcement and whether the gate accepts it.
type announceStep struct {
	instance  host.InstanceID
	startedAt int
	sequence  uint64
	state     host.State
	// afterSeconds is the time since the previous announcement.
	afterSeconds int
	accepted     bool
}

// TestAnnouncementsInOrder checks that only announcements newer than the known state are
// accepted, also when instances reuse IDs and clocks are set back.
func TestAnnouncementsInOrder(t *testing.T) {
	ready, draining := host.StateReady, host.StateDraining
	for name, steps := range map[string][]announceStep{
		"delayed announcement": {
			{instance: "a", startedAt: 1, sequence: 5, accepted: true},
			{instance: "a", startedAt: 1, sequence: 4},
			{instance: "a", startedAt: 1, sequence: 5},
			{instance: "a", startedAt: 1, sequence: 6, accepted: true},
		},
		"draining instance does not become ready": {
			{instance: "a", startedAt: 1, sequence: 1, accepted: true},
			{instance: "a", startedAt: 1, sequence: 3, state: draining, accepted: true},
			{instance: "a", startedAt: 1, sequence: 4, state: ready},
			{instance: "a", startedAt: 1, sequence: 5, state: draining, accepted: true},
		},
		"restart with the same ID": {
			{instance: "a", startedAt: 1, sequence: 9, state: draining, accepted: true},
			{instance: "a", startedAt: 2, sequence: 1, state: ready, accepted: true},
			{instance: "a", startedAt: 1, sequence: 10, state: draining},
		},
		"new instance at the same address": {
			{instance: "a", startedAt: 1, sequence: 9, accepted: true},
			{instance: "b", startedAt: 2, sequence: 1, accepted: true},
			{instance: "a", startedAt: 1, sequence: 10},
			{instance: "b", startedAt: 2, sequence: 2, accepted: true},
		},
		"clock set back": {
			{instance: "a", startedAt: 9, sequence: 9, accepted: true},
			{instance: "b", startedAt: 2, sequence: 1, afterSeconds: 2},
			{instance: "b", startedAt: 2, sequence: 2, afterSeconds: 2, accepted: true},
			{instance: "b", startedAt: 2, sequence: 3, afterSeconds: 2, accepted: true},
		},
		"two live instances": {
			{instance: "a", startedAt: 9, sequence: 9, accepted: true},
			{instance: "b", startedAt: 2, sequence: 1},
			{instance: "a", startedAt: 9, sequence: 10, afterSeconds: 1, accepted: true},
			{instance: "b", startedAt: 2, sequence: 2, afterSeconds: 1},
			{instance: "a", startedAt: 9, sequence: 11, afterSeconds: 1, accepted: true},
		},
		"gone": {
			{instance: "a", startedAt: 1, sequence: 1, accepted: true},
			{instance: "b", state: host.StateGone},
			{instance: "a", state: host.StateGone, accepted: true},
			{instance: "a", state: host.StateGone},
			{instance: "a", startedAt: 1, sequence: 2, state: ready},
		},
		"unknown instance gone": {
			{instance: "a", state: host.StateGone, afterSeconds: 100, accepted: true},
			{instance: "a", startedAt: 50, sequence: 2, state: ready},
			{instance: "b", startedAt: 101, sequence: 1, state: ready, accepted: true},
		},
	} {
		t.Run(name, func(t *testing.T) {
			ga := host.NewGate(host.Config{Incarnation: 1})
			now := time.Unix(0, 0)
			for i, it := range steps {
				now = now.Add(time.Duration(it.afterSeconds) * time.Second)
				an := host.Announcement{
					Service:  "booking",
					Instance: it.instance,
					Sequence: it.sequence,
					State:    it.state,
				}
				if it.startedAt > 0 {
					an.StartedAt = time.Unix(int64(it.startedAt), 0)
				}
				assert.Equal(t, ga.AcceptAnnouncement(an, now), it.accepted, "announcement %d", i)
			}
		})
	}
}
