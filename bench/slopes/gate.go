package main

import (
	"time"

	"lynxfold/bench/capacity"
	"lynxfold/core/contract"
	"lynxfold/core/host"
)

var (
	// attemptSizes are attempts remembered by a gate's ledger.
	attemptSizes = []int{4000, 8000, 16000, 32000}
	// runningSizes are attempts that the upstream runs at once.
	runningSizes = []int{5, 10, 20, 40, 80}
)

const gateIncarnation host.Incarnation = 7

// loadedGate has an upstream with free slots.
func loadedGate(slots int, now time.Time) *host.Gate {
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

// attempt is the nth attempt of one issuer.
func attempt(n int, idempotent bool, now time.Time) host.Attempt {
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

// pass lets one attempt through a gate.
func pass(ga *host.Gate, at host.Attempt, now time.Time) {
	ga.Step(host.Arrived{Attempt: at}, now)
	ga.Step(host.Ended{ID: at.ID, Outcome: host.OutcomeRan}, now)
}

func measureGate() ([]capacity.Slope, error) {
	const source = "bench/slopes/gate.go"
	now := time.Unix(1_796_000_000, 0)
	return []capacity.Slope{
		{
			Name: "attempt_memory", Unit: "bytes", Driver: "kept attempt", Source: source,
			Points: series(attemptSizes, func(si int) float64 {
				return heapOf(func() any {
					ga := loadedGate(20, now)
					for i := range si {
						pass(ga, attempt(i, false, now), now)
					}
					return ga
				})
			}),
		},
		{
			Name: "gate_decision_time", Unit: "µs", Driver: "attempt running", Source: source,
			Points: series(runningSizes, func(si int) float64 { return decisionTime(si, now) }),
		},
	}, nil
}

// decisionTime is the time of the gate's decisions on one idempotent call.
func decisionTime(running int, now time.Time) float64 {
	ga := loadedGate(running+2, now)
	for i := range running {
		ga.Step(host.Arrived{Attempt: attempt(i, true, now)}, now)
	}
	n := running
	return timeOf(func() {
		n++
		pass(ga, attempt(n, true, now), now)
	})
}
