package call_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lynxfold/core/call"
	"lynxfold/core/contract"
	"lynxfold/core/host"
)

// throttleRun sends calls for some seconds, 100 a second, of which a service has room for
// some, and returns how many were refused without an attempt in the last second.
func throttleRun(th *call.Throttle, start time.Time, seconds, room int, returning bool) int {
	refused := 0
	for i := range 100 * seconds {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		if _, refuse := th.Refuse(call.ThrottleKey{}, returning, now); refuse {
			if i >= 100*(seconds-1) {
				refused++
			}
			continue
		}
		re := call.Result{Outcome: call.OutcomeRan}
		if i%100 >= room {
			re = call.Result{
				Outcome:    call.OutcomeNotRun,
				Reason:     host.ReasonQueueFull,
				RetryAfter: now.Add(time.Second),
			}
		}
		th.Record(call.ThrottleKey{}, re, now)
	}
	return refused
}

// TestThrottle guards against refusals while there is room, against a service that is
// given up, and against refusals of callers that come back.
func TestThrottle(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	var th call.Throttle
	assert.Equal(t, throttleRun(&th, start, 5, 100, false), 0, "all served")
	short := throttleRun(&th, start.Add(5*time.Second), 5, 20, false)
	assert.Assert(t, short > 30 && short <= 76, "%d refused", short)
	assert.Equal(t, throttleRun(&th, start.Add(10*time.Second), 1, 20, true), 0, "callers that come back")
	assert.Equal(t, throttleRun(&th, start.Add(11*time.Second), 5, 100, false), 0, "room again")
}

// TestThrottleIsBounded guards against memory that grows with the number of customers.
func TestThrottleIsBounded(t *testing.T) {
	var th call.Throttle
	now := time.Unix(1_000_000, 0)
	refused := call.Result{Outcome: call.OutcomeNotRun, Reason: host.ReasonQueueFull}
	key := func(i int) call.ThrottleKey {
		return call.ThrottleKey{Customer: contract.CustomerName(time.Duration(i).String())}
	}
	const full = 10
	recordFull := func(i int, at time.Time) {
		for range full {
			th.Record(key(i), refused, at)
		}
	}
	for i := range 10_000 {
		recordFull(i, now)
	}
	assert.Assert(t, th.Share(key(0), now) > 0)
	assert.Equal(t, th.Share(key(9_999), now), 0.0)
	now = now.Add(time.Minute)
	recordFull(9_999, now)
	assert.Assert(t, th.Share(key(9_999), now) > 0, "older groups make room")
}

// TestKindLatencies guards against the latency of long calls being expected of short ones.
func TestKindLatencies(t *testing.T) {
	var kl call.KindLatencies
	kl.Observe("readings", "long", time.Second)
	assert.Equal(t, kl.Expected("readings", "short", time.Minute), time.Minute, "unknown")
	kl.Observe("readings", "short", 10*time.Millisecond)
	assert.Equal(t, kl.Expected("readings", "short", time.Minute), 10*time.Millisecond)
	assert.Equal(t, kl.Expected("readings", "long", time.Minute), time.Second)
}

// BenchmarkThrottle measures the decision whether to refuse a call without an attempt.
func BenchmarkThrottle(b *testing.B) {
	var th call.Throttle
	now := time.Unix(1_000_000, 0)
	key := call.ThrottleKey{Service: "readings", Customer: "customer-1"}
	full := call.Result{Outcome: call.OutcomeNotRun, Reason: host.ReasonQueueFull}
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		if _, refuse := th.Refuse(key, false, now); !refuse {
			th.Record(key, full, now)
		}
	}
}
