package call_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lynxfold/core/call"
	"lynxfold/core/contract"
	"lynxfold/core/host"
)

// TestLostAttemptThatCannotBeRepeatedIsNotGivenUp lets the link of an idempotent attempt go
// silent while no retry is allowed: its upstream may be at work on it, and there is time left.
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
			awaited := false
			for _, ac := range ca.Step(call.LinkSilent{Attempt: "node.1.1.1i"}, now.Add(800*time.Millisecond)) {
				switch ac := ac.(type) {
				case call.Respond:
					assert.Check(t, false, "the call was answered: %v", ac.Result)
				case call.CancelAttempt:
					assert.Check(t, false, "the attempt was cancelled")
				case call.AwaitAnswer:
					awaited = true
				}
			}
			assert.Check(t, awaited)
			acts := ca.Step(call.AttemptEnded{
				Attempt: "node.1.1.1i",
				Result:  call.Result{Outcome: call.OutcomeRan, Status: 200},
			}, now.Add(1900*time.Millisecond))
			re, ok := acts[len(acts)-1].(call.Respond)
			assert.Check(t, ok && re.Result.Outcome == call.OutcomeRan && re.Attempt == "node.1.1.1i", "%v", acts)
		})
	}
}

// TestSilentAttemptIsNotCancelledForItsRetry lets the link of an idempotent attempt go silent
// and its retry fail: the first attempt may still be answered.
func TestSilentAttemptIsNotCancelledForItsRetry(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	ca := call.New(call.Config{
		Issuer:      host.Issuer{Host: "node", Incarnation: 1},
		Number:      1,
		Terms:       contract.Terms{Idempotent: true, Retries: 1},
		Replayable:  true,
		RetryBudget: &fixedBudget{left: 10},
		Deadline:    now.Add(4 * time.Second),
		Picker:      listPicker{"a", "b"},
		Jitter:      func() float64 { return 0.5 },
	})
	ca.Step(call.Begin{}, now)
	acts := ca.Step(call.LinkSilent{Attempt: "node.1.1.1i"}, now.Add(800*time.Millisecond))
	assert.Equal(t, len(acts), 2, "%v", acts)
	assert.Equal(t, acts[0], call.Action(call.AwaitAnswer{Attempt: "node.1.1.1i"}))
	se, ok := acts[1].(call.SendAttempt)
	assert.Check(t, ok && se.Attempt == "node.1.1.2i", "%v", acts)
	acts = ca.Step(call.AttemptEnded{
		Attempt: "node.1.1.2i",
		Result:  call.Result{Outcome: call.OutcomeNotRun, Reason: host.ReasonQueueFull},
	}, now.Add(900*time.Millisecond))
	assert.Equal(t, len(acts), 0, "%v", acts)
	acts = ca.Step(call.LinkLost{Attempt: "node.1.1.1i"}, now.Add(2*time.Second))
	re, ok := acts[len(acts)-1].(call.Respond)
	assert.Check(t, ok && re.Result.Outcome == call.OutcomeUnknown, "%v", acts)
}

// TestCommandOnSilentLinkIsNotGivenUp lets the link of a non-idempotent attempt go silent and
// all queries about it fail: on a full link they are late too.
func TestCommandOnSilentLinkIsNotGivenUp(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	ca := call.New(call.Config{
		Issuer:      host.Issuer{Host: "node", Incarnation: 1},
		Number:      1,
		Replayable:  true,
		RetryBudget: &fixedBudget{left: 10},
		Deadline:    now.Add(20 * time.Second),
		Picker:      listPicker{"a", "b"},
		Jitter:      func() float64 { return 0.5 },
	})
	ca.Step(call.Begin{}, now)
	now = now.Add(800 * time.Millisecond)
	ca.Step(call.LinkSilent{Attempt: "node.1.1.1"}, now)
	for range 10 {
		now = now.Add(400 * time.Millisecond)
		acts := ca.Step(call.QueryFailed{Attempt: "node.1.1.1"}, now)
		assert.Equal(t, len(acts), 0, "%v", acts)
		if at := ca.WakeAt(); at.After(now) {
			now = at
		}
		acts = ca.Step(call.Tick{}, now)
		assert.Equal(t, len(acts), 1, "%v", acts)
	}
	acts := ca.Step(call.AttemptEnded{
		Attempt: "node.1.1.1",
		Result:  call.Result{Outcome: call.OutcomeRan, Status: 200},
	}, now)
	re, ok := acts[len(acts)-1].(call.Respond)
	assert.Check(t, ok && re.Result.Outcome == call.OutcomeRan, "%v", acts)
}
