package host

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lynxfold/core/contract"
)

// TestOrderWithoutCustomers guards against a change of the dispatch order where attempts name
// no customer: it is by nesting, rank, lateness and objective alone.
func TestOrderWithoutCustomers(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 2))
	now := time.Unix(1_000_000, 0)
	ga := NewGate(Config{})
	newEntry := func() *entry {
		en := &entry{attempt: Attempt{
			Rank:        rnd.IntN(4),
			Nested:      rnd.IntN(8) == 0,
			CallerRetry: rnd.IntN(2) == 0,
			Objective:   now.Add(time.Duration(rnd.IntN(200)-50) * time.Millisecond),
		}}
		ga.setUrgency(en)
		ga.setDue(en, now)
		ga.fair.charge(en, ga.levels.list)
		en.level.virtualTime = max(en.level.virtualTime, en.fairTag)
		return en
	}
	for range 10_000 {
		a, b := newEntry(), newEntry()
		want := a.due.Before(b.due)
		switch {
		case a.attempt.Nested != b.attempt.Nested:
			want = a.attempt.Nested
		case a.attempt.Rank != b.attempt.Rank:
			want = a.attempt.Rank < b.attempt.Rank
		case a.deferred != b.deferred:
			want = b.deferred
		}
		assert.Equal(t, a.before(b), want, "%+v and %+v", a.attempt, b.attempt)
	}
	assert.Equal(t, len(ga.fair.finish), 0)
}

// TestTablesAreBounded guards against state that grows with the number of customers and
// priorities.
func TestTablesAreBounded(t *testing.T) {
	ga := NewGate(Config{})
	for i := range 10_000 {
		en := &entry{
			attempt: Attempt{
				Customer:     contract.CustomerName(time.Duration(i).String()),
				CustomerRank: 1 + i%100,
			},
			fairCost: time.Second,
		}
		ga.setUrgency(en)
		en.fairTag = ga.fair.tag(en)
		ga.fair.charge(en, ga.levels.list)
		en.level.running++
	}
	assert.Assert(t, len(ga.fair.finish) <= maxFairCustomers)
	assert.Assert(t, len(ga.levels.list) <= maxLevels)
}

// BenchmarkDecision measures the decision about an attempt at a gate whose slots and queue
// are full, with and without customers.
func BenchmarkDecision(b *testing.B) {
	for _, customers := range []int{0, 20} {
		b.Run(time.Duration(customers).String(), func(b *testing.B) {
			now := time.Unix(1_000_000, 0)
			ga := NewGate(Config{QueuePerSlot: 2})
			ga.Step(Announced{
				Announcement: Announcement{Slots: 18},
				ExpiresAt:    now.Add(time.Hour),
			}, now)
			var entries []*entry
			for i := range 64 {
				en := &entry{attempt: Attempt{
					ID:        Origin{Issuer: Issuer{Host: "a"}, Call: uint64(i), Try: 1}.ID(),
					Rank:      i % 3,
					Objective: now.Add(time.Second),
					Deadline:  now.Add(time.Second),
				}}
				if customers > 0 {
					en.attempt.Customer = contract.CustomerName(time.Duration(i % customers).String())
					en.attempt.CustomerRank = 1 + i%2
				}
				entries = append(entries, en)
				ga.Step(Arrived{Attempt: en.attempt}, now)
			}
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				en := entries[i%len(entries)]
				i++
				ga.setUrgency(en)
				ga.setDue(en, now)
				ga.refusalReason(en, now)
			}
		})
	}
}
