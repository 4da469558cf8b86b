package main

import (
	"time"

	"lynxfold/bench/capacity"
	"lynxfold/core/contract"
	"lynxfold/core/host"
)

var (
	// attemptSizes are the numbers of attempts in the ledger of a gate.
	attemptSizes = []int{4000, 8000, 16000, 32000}
	// runningSizes are the numbers of attempts that the upstream runs concurrently.
	runningSizes = []int{5, 10, 20, 40, 80}
)

const gateIncarnation host.Incarnation = 7

// newGateWithUpstream returns a gate whose upstream has free slots.
func newGateWithUpstream(slots int, now time.Time) *host.Gate {
	ga := host.NewGate(host.Config{
		Incarnation:       gateIncarnation,
		QueuePerSlot:      2,
		DefaultRetryAfter: time.Second,
	})
	for range 2 {
		ga.Step(host.Announced{
			Announcement: host.Announcement{
				Service: "lookup",
				Address: "127.0.0.1:1",
				Slots:   host.Slots(slots),
			},
			ExpiresAt: now.Add(24 * time.Hour),
		}, now)
	}
	return ga
}

// newAttempt returns the first attempt of the nth call of one issuer.
func newAttempt(n int, idempotent bool, now time.Time) host.Attempt {
	return host.Attempt{
		ID: host.Origin{
			Issuer: host.Issuer{
				Host:        "press-hall-1",
				Incarnation: 1_796_000_000_000_000_000,
			},
			Call:       uint64(n),
			Try:        1,
			Idempotent: idempotent,
		}.ID(),
		Incarnation: gateIncarnation,
		Service:     "lookup",
		Class:       contract.ClassLookup,
		Deadline:    now.Add(time.Second),
	}
}

// runAttempt admits one attempt to a gate and completes it.
func runAttempt(ga *host.Gate, at host.Attempt, now time.Time) {
	ga.Step(host.Arrived{Attempt: at}, now)
	ga.Step(host.Ended{ID: at.ID, Outcome: host.OutcomeRan}, now)
}

func measureGate() ([]capacity.Slope, error) {
	const source = "bench/slopes/gate.go"
	now := time.Unix(1_796_000_000, 0)
	return []capacity.Slope{
		{
			Name: "attempt_memory", Unit: "bytes", Driver: "kept attempt", Source: source,
			Points: measurePoints(attemptSizes, func(si int) float64 {
				return heapBytes(func() any {
					ga := newGateWithUpstream(20, now)
					for i := range si {
						runAttempt(ga, newAttempt(i, false, now), now)
					}
					return ga
				})
			}),
		},
		{
			Name: "gate_decision_time", Unit: "µs", Driver: "attempt running", Source: source,
			Points: measurePoints(runningSizes, func(si int) float64 { return decisionMicros(si, now) }),
		},
	}, nil
}

// decisionMicros measures the time that a gate takes to admit and complete one
// idempotent call, in microseconds.
func decisionMicros(running int, now time.Time) float64 {
	ga := newGateWithUpstream(running+2, now)
	for i := range running {
		ga.Step(host.Arrived{Attempt: newAttempt(i, true, now)}, now)
	}
	n := running
	return operationMicros(func() {
		n++
		runAttempt(ga, newAttempt(n, true, now), now)
	})
}
