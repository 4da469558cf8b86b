package rollout_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lynxfold/core/host"
	"lynxfold/core/rollout"
)

// TestCoordinatorStaysWhileAlive guards against hosts that take turns in coordinating a
// roll-out, each with a new record that all hosts pass on, while many hosts start.
func TestCoordinatorStaysWhileAlive(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	hosts := []host.ID{"a", "b", "c"}
	first := rollout.CoordinatorHost("portal", hosts)
	var other host.ID
	for _, id := range hosts {
		if id != first {
			other = id
		}
	}
	re := rollout.Record{Service: "portal", Order: 7}
	settled := rollout.NewSuccession(rollout.SuccessionConfig{Host: first, StartedAt: now.Add(-time.Minute)})
	assert.Equal(t, settled.Coordinator(re, hosts, now), first, "a new order has a coordinator at once")

	re.Coordinator = other
	assert.Equal(t, settled.Coordinator(re, hosts, now), other, "the first in order joins")

	without := []host.ID{first}
	assert.Equal(t, settled.Coordinator(re, without, now), host.ID(""), "the coordinator is not seen alive")
	assert.Equal(t, settled.Coordinator(re, without, now.Add(900*time.Millisecond)), host.ID(""))
	assert.Equal(t, settled.Coordinator(re, hosts, now.Add(950*time.Millisecond)), other, "it is seen again")
	assert.Equal(t, settled.Coordinator(re, without, now.Add(2*time.Second)), host.ID(""), "the time counts anew")
	assert.Equal(t, settled.Coordinator(re, without, now.Add(3*time.Second)), first)

	re.Coordinator = ""
	fresh := rollout.NewSuccession(rollout.SuccessionConfig{Host: first, StartedAt: now})
	assert.Equal(t, fresh.Coordinator(re, without, now.Add(100*time.Millisecond)), host.ID(""), "it has just started")
	assert.Equal(t, fresh.Coordinator(re, without, now.Add(1100*time.Millisecond)), first)
}
