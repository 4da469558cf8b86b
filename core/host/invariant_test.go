package host

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestInvariantsCanFail corrupts the state of a gate and checks that the invalid dispatch
// is refused and reported.
func TestInvariantsCanFail(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	ready := func() (*Gate, *entry) {
		ga := NewGate(Config{QueuePerSlot: 1})
		ga.Step(Announced{
			Announcement: Announcement{Slots: 1},
			ExpiresAt:    now.Add(time.Hour),
		}, now)
		or := Origin{Issuer: Issuer{Host: "a"}, Call: 1, Try: 1}
		return ga, ga.ledger.add(Attempt{ID: or.ID(), Deadline: now.Add(time.Second)}, or)
	}
	t.Run("dispatched before", func(t *testing.T) {
		ga, en := ready()
		en.dispatched = now
		ga.queue.push(en)
		acts := ga.Step(Tick{}, now)
		assert.DeepEqual(t, acts[0], InvariantViolated{ID: en.attempt.ID, Invariant: InvariantDispatchedOnce})
		assert.Equal(t, acts[1].(Refuse).Reason, ReasonInvariant)
		assert.Equal(t, ga.Running(), 0)
	})
	t.Run("slots", func(t *testing.T) {
		ga, en := ready()
		ga.orphans.add(now.Add(time.Hour))
		assert.Equal(t, ga.violatedInvariant(en, now), InvariantSlots)
	})
	t.Run("drain", func(t *testing.T) {
		ga, en := ready()
		ga.nodeCutoff = now
		assert.Equal(t, ga.violatedInvariant(en, now), InvariantDrain)
	})
	t.Run("none", func(t *testing.T) {
		ga, en := ready()
		assert.Equal(t, ga.violatedInvariant(en, now), Invariant(""))
	})
}
