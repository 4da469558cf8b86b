package host

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"gotest.tools/v3/assert"
)

// TestSlowdown plays statements of an upstream about its slowdown, and prints the estimate
// of the service time relative to that without statements. It guards against estimates
// that a stuck, absurd or wrong statement spoils.
func TestSlowdown(t *testing.T) {
	datadriven.RunTest(t, "testdata/slowdown", func(t *testing.T, da *datadriven.TestData) string {
		var stated, real Slowdown
		calls := 0
		flip := da.HasArg("flip")
		da.ScanArgs(t, "stated", &stated)
		da.ScanArgs(t, "real", &real)
		da.ScanArgs(t, "calls", &calls)
		now := time.Unix(1_000_000, 0)
		rnd := rand.New(rand.NewPCG(1, 2))
		var st slowdownTracker
		es := &estimate{}
		play := func(stated, factor Slowdown) {
			st.record(stated, now)
			took := time.Duration(float64(factor) * float64(time.Millisecond) * (0.9 + rnd.Float64()/5))
			st.recordServiceTime(es.mean, took)
			es.add(took)
			now = now.Add(10 * time.Millisecond)
			st.expire(now)
		}
		for i := range calls {
			if flip && i/20%2 == 1 {
				play(stated, real)
				continue
			}
			play(100, 100)
		}
		play(100, 100)
		st.record(stated, now)
		return fmt.Sprintf("factor %.1f\n", st.factor())
	})
}

// TestSlowdownExpires checks that a slowdown that is not stated again is forgotten.
func TestSlowdownExpires(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	var st slowdownTracker
	st.record(250, now)
	assert.Equal(t, st.stated(), Slowdown(250))
	st.expire(now.Add(slowdownKeepTime + 1))
	assert.Equal(t, st.stated(), Slowdown(0))
	assert.Equal(t, st.factor(), 1.0)
}
