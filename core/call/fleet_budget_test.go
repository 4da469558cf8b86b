package call_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"lynxfold/core/call"
)

// fleetNodes and fleetCallsPerSecond describe one service at the size that the
// project is designed for: the number of nodes, and the calls per second of all of
// them to the service.
const (
	fleetNodes          = 12_000
	fleetCallsPerSecond = 3_400_000.0 / 700
)

// simulateFleet simulates the calls of one service at all nodes. It returns the retries
// per call in the first ten seconds of a failure and in the minute after that.
func simulateFleet(cfg call.BudgetConfig) (early, late float64) {
	rnd := rand.New(rand.NewPCG(7, 8))
	budgets := make([]*call.Budget, fleetNodes)
	for i := range budgets {
		budgets[i] = call.NewBudget(cfg)
	}
	start := time.Unix(1_000_000, 0)
	failsAt := start.Add(time.Minute)
	calls, retries := [2]int{}, [2]int{}
	for now := start; now.Before(failsAt.Add(70 * time.Second)); now = now.Add(time.Duration(rnd.ExpFloat64() / fleetCallsPerSecond * float64(time.Second))) {
		bu := budgets[rnd.IntN(fleetNodes)]
		if now.Before(failsAt) {
			bu.RecordSuccess(now)
			continue
		}
		phase := 0
		if now.Sub(failsAt) > 10*time.Second {
			phase = 1
		}
		calls[phase]++
		for range 2 {
			if !bu.Spend(now) {
				break
			}
			retries[phase]++
		}
	}
	return float64(retries[0]) / float64(calls[0]), float64(retries[1]) / float64(calls[1])
}

// TestCompareFleetBudgets compares budgets when every node makes few calls to a
// service and all of them fail.
func TestCompareFleetBudgets(t *testing.T) {
	if !*compare {
		t.Skip("runs with -weigh")
	}
	for _, cfg := range []call.BudgetConfig{
		{PerSuccess: 0.1, PerSecond: 0.5, Burst: 20},
		{PerSuccess: 0.1, PerSecond: 0.02, Burst: 20},
		call.FleetBudget(call.FleetConfig{
			PerSuccess: 0.1,
			Burst:      240,
			PerSecond:  6,
			Size:       fleetNodes,
		}),
	} {
		early, late := simulateFleet(cfg)
		t.Logf("%+v: %.2f retries per call in the first 10 s, %.2f later", cfg, early, late)
	}
}
