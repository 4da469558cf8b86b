package host_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lynxfold/core/host"
)

// TestShortagesOfFormerKindsAreForgotten reports shortages for more kinds than a gate
// remembers, as when each configuration changes a timeout: the last kind is shed all the
// same.
func TestShortagesOfFormerKindsAreForgotten(t *testing.T) {
	ga := host.NewGate(host.Config{
		Incarnation:       incarnation,
		QueuePerSlot:      1,
		DefaultRetryAfter: time.Second,
	})
	now := time.Unix(1_000_000, 0)
	ga.Step(host.Announced{
		Announcement: host.Announcement{
			Service: "booking",
			Slots:   1000,
		},
		ExpiresAt: now.Add(time.Hour),
	}, now)
	calls := 0
	arrive := func(ki host.Kind) host.Action {
		calls++
		acts := ga.Step(host.Arrived{
			Attempt: host.Attempt{
				ID:          attemptID(fmt.Sprint(calls)),
				Request:     host.RequestID(fmt.Sprint(calls)),
				Incarnation: incarnation,
				Service:     "booking",
				Kind:        ki,
				Rank:        2,
				Deadline:    now.Add(time.Hour),
			},
		}, now)
		return acts[0]
	}
	for i := range 200 {
		ki := host.Kind(fmt.Sprintf("kind-%d", i))
		_, dispatched := arrive(ki).(host.Dispatch)
		assert.Assert(t, dispatched)
		ga.Step(host.NestedCalled{
			Parent:    host.RequestID(fmt.Sprint(calls)),
			Service:   "billing",
			Shortages: []host.Shortage{{Rank: 1, Refused: 1}},
		}, now)
		refuse, refused := arrive(ki).(host.Refuse)
		assert.Assert(t, refused, "kind %d is not shed", i)
		assert.Equal(t, refuse.Reason, host.ReasonDownstreamFull)
		now = now.Add(100 * time.Millisecond)
	}
}
