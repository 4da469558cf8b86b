package call

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lynxfold/core/datacentre"
)

// TestInvariantViolationIsReported checks that a non-idempotent call that may have run
// reports a violation instead of sending another attempt. The state is set directly,
// since no sequence of events should lead to it.
func TestInvariantViolationIsReported(t *testing.T) {
	ca := New(Config{Jitter: func() float64 { return 0 }})
	ca.mayHaveRun = true
	ca.sendQueueing(datacentre.Upstream{Host: "a"}, RetryNotRun)
	assert.Equal(t, len(ca.actions), 2)
	assert.DeepEqual(t, ca.actions[0], InvariantViolated{Upstream: datacentre.Upstream{Host: "a"}})
	assert.Equal(t, ca.actions[1].(Respond).Result.Outcome, OutcomeUnknown)
	assert.Assert(t, ca.WakeAt().Equal(time.Time{}))
}
