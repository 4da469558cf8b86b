package call_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"lynxfold/core/call"
)

// fleetNodes and fleetCalls are one service of the target: calls a second from
// every node.
const (
	fleetNodes = 12_000
	fleetCalls = 3_400_000.0 / 700
)

// fleet makes the calls of one service at all nodes and returns the further
// attempts for each call, in the first ten seconds of a failure and in the minute
// after that.
func fleet(cfg call.BudgetConfig) (early, late float64) {
	rnd := rand.New(rand.NewPCG(7, 8))
	budgets := make([]*call.Budget, fleetNodes)
	for i := range budgets {
		budgets[i] = call.NewBudget(cfg)
	}
	start := time.Unix(1_000_000, 0)
	fails := start.Add(time.Minute)
	calls, retries := [2]int{}, [2]int{}
	for now := start; now.Before(fails.Add(70 * time.Second)); now = now.Add(time.Duration(rnd.ExpFloat64() / fleetCalls * float64(time.Second))) {
		bu := budgets[rnd.IntN(fleetNodes)]
		if now.Before(fails) {
			bu.Succeeded(now)
			continue
		}
		phase := 0
		if now.Sub(fails) > 10*time.Second {
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

// TestWeighFleetBudget compares budgets when every node of the target calls one
// service a little, and it fails wholly.
func TestWeighFleetBudget(t *testing.T) {
	if !*weigh {
		t.Skip("runs with -weigh")
	}
	for _, cfg := range []call.BudgetConfig{
		{PerSuccess: 0.1, PerSecond: 0.5, Ceiling: 20},
		{PerSuccess: 0.1, PerSecond: 0.02, Ceiling: 20},
		call.FleetBudget(call.FleetConfig{
			PerSuccess: 0.1,
			Burst:      240,
			PerSecond:  6,
			Size:       fleetNodes,
		}),
	} {
		early, late := fleet(cfg)
		t.Logf("%+v: %.2f further attempts a call in the first 10 s, %.2f later", cfg, early, late)
	}
}
