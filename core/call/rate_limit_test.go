package call_test

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lynxfold/core/host"
)

// TestSurplusOfLimitedUpstreamsIsServedElsewhere limits some upstreams of a data centre to
// a third of what they can serve. As long as all upstreams together have room, no more
// than twice as many calls miss the objective as would without any wait, and beyond that
// what can be served is.
func TestSurplusOfLimitedUpstreamsIsServedElsewhere(t *testing.T) {
	alone := math.Exp(-float64(objective-simServiceTime/2) / float64(simServiceTime/2))
	full := simSlots / simServiceTime.Seconds()
	for _, it := range []struct {
		limited int
		// utilisation of the local data centre, as if it had no limits.
		utilisation float64
	}{
		{limited: 3, utilisation: 0.6},
		{limited: 5, utilisation: 0.6},
		{limited: 5, utilisation: 0.9},
		{limited: simGates, utilisation: 0.5},
	} {
		ss := newSparseSimulation()
		for _, up := range ss.all[:it.limited] {
			ss.limits[up.Host] = host.RateLimit{Limited: true, PerSecond: host.RequestRate(full / 3)}
		}
		ss.play(it.utilisation, true)
		missed := float64(ss.late+ss.refused) / float64(ss.done)
		t.Logf("%d limited, utilisation %.2f: late or refused %.4f (%d, %d), attempts per call %.2f", it.limited, it.utilisation,
			missed, ss.late, ss.refused, float64(ss.attempts)/simCalls)
		used := 0
		for _, up := range ss.all[:it.limited] {
			used += len(ss.dispatched[up.Host])
		}
		t.Logf("used %.2f of the limits", float64(used)/float64(it.limited)/(full/3)/ss.now.Sub(time.Unix(1_000_000, 0)).Seconds())
		assert.Equal(t, ss.done, simCalls)
		assert.Check(t, missed <= 2*alone, "late or refused: %.4f, without any wait %.4f", missed, alone)
		for _, up := range ss.all[:it.limited] {
			ss.checkLimit(t, up.Host)
		}
	}
}

// checkLimit checks that no more than one and a half times what the limit allows, and five
// requests, were dispatched to an upstream in any 4 s, from 3 s after the first response.
func (ss *sparseSimulation) checkLimit(t *testing.T, id host.ID) {
	t.Helper()
	times := ss.dispatched[id]
	assert.Assert(t, len(times) > 0)
	from := times[0].Add(3*time.Second + simServiceTime)
	first := 0
	for i, at := range times {
		for at.Sub(times[first]) > 4*time.Second || times[first].Before(from) && first < i {
			first++
		}
		allowed := 1.5*4*float64(ss.limits[id].PerSecond) + 5
		assert.Assert(t, float64(i-first+1) <= allowed, "%s got %d requests in 4s with a limit of %v", id, i-first+1, ss.limits[id].PerSecond)
	}
}
