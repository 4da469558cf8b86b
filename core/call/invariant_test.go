package call

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lynxfold/core/datacentre"
)

// TestInvariantCanFail breaks a call's state by hand: the attempt that would
// follow is not made.
func TestInvariantCanFail(t *testing.T) {
	ca := New(Config{Jitter: func() float64 { return 0 }})
	ca.mayHaveRun = true
	ca.try(datacentre.Upstream{Host: "a"}, RetryNotRun)
	assert.Equal(t, len(ca.acts), 2)
	assert.DeepEqual(t, ca.acts[0], Violated{Upstream: datacentre.Upstream{Host: "a"}})
	assert.Equal(t, ca.acts[1].(Answer).Result.Outcome, OutcomeUnknown)
	assert.Assert(t, ca.WakeAt().Equal(time.Time{}))
}
