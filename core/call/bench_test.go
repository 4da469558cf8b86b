package call_test

import (
	"testing"
	"time"

	"lynxfold/core/call"
	"lynxfold/core/contract"
	"lynxfold/core/host"
)

// BenchmarkCall measures the cost of the state machine for a call with one attempt.
func BenchmarkCall(b *testing.B) {
	now := time.Unix(1_000_000, 0)
	picker := listPicker{"a", "b"}
	bu := call.NewBudget(call.BudgetConfig{PerSuccess: 0.1, Burst: 20})
	number := uint64(0)
	b.ReportAllocs()
	for b.Loop() {
		number++
		ca := call.New(call.Config{
			Issuer:      host.Issuer{Host: "press-hall-1", Incarnation: 7},
			Number:      number,
			Terms:       contract.Terms{Retries: 2},
			Deadline:    now.Add(time.Second),
			Picker:      picker,
			RetryBudget: bu,
		})
		sa := ca.Step(call.Begin{}, now)[0].(call.SendAttempt)
		ca.Step(call.AttemptEnded{
			Attempt: sa.Attempt,
			Result:  call.Result{Outcome: call.OutcomeRan, Status: 200},
		}, now)
	}
}
