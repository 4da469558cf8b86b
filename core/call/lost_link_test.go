package call_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lynxfold/core/call"
	"lynxfold/core/contract"
	"lynxfold/core/host"
)

// TestLostAttemptThatCannotBeRepeatedIsNotGivenUp loses the link of an idempotent attempt
// while no retry is allowed: its upstream may be at work on it, and there is time left.
func TestLostAttemptThatCannotBeRepeatedIsNotGivenUp(t *testing.T) {
	for name, cfg := range map[string]call.Config{
		"no budget": {
			Terms:       contract.Terms{Idempotent: true, Retries: 2},
			Replayable:  true,
			RetryBudget: &fixedBudget{},
		},
		"no retries": {
			Terms:       contract.Terms{Idempotent: true},
			Replayable:  true,
			RetryBudget: &fixedBudget{left: 10},
		},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1_000_000, 0)
			cfg.Issuer = host.Issuer{Host: "node", Incarnation: 1}
			cfg.Number = 1
			cfg.Deadline = now.Add(2 * time.Second)
			cfg.Picker = listPicker{"a", "b"}
			cfg.Jitter = func() float64 { return 0.5 }
			ca := call.New(cfg)
			ca.Step(call.Begin{}, now)
			for _, ac := range ca.Step(call.LinkLost{Attempt: "node.1.1.1i"}, now.Add(800*time.Millisecond)) {
				switch ac := ac.(type) {
				case call.Respond:
					assert.Check(t, false, "the call was answered: %v", ac.Result)
				case call.CancelAttempt:
					assert.Check(t, false, "the attempt was cancelled")
				}
			}
		})
	}
}
