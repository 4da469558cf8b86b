package host

import "time"

// limitWaitDivisor bounds the time for which an attempt waits for the rate limit to this
// part of its time until the deadline, so that the caller can still retry.
const limitWaitDivisor = 4

// maxLimitWait returns how long an attempt waits for the rate limit at most. A nested
// attempt waits as long as it can: without it the outer call, which already runs, fails.
func (en *entry) maxLimitWait() time.Duration {
	if en.attempt.Nested {
		return en.attempt.Deadline.Sub(en.arrived)
	}
	return en.attempt.Deadline.Sub(en.arrived) / limitWaitDivisor
}

// limitWait returns the time until the rate limit allows a new attempt.
func (ga *Gate) limitWait(en *entry, now time.Time) time.Duration {
	if !ga.limiter.limit.Limited {
		return 0
	}
	ahead := 0
	ga.queue.visitAhead(en, func(*entry) { ahead++ })
	return ga.limiter.wait(ahead+1, now)
}

// isRateLimited reports whether the rate limit, and not the slots, left no room for an
// attempt that is refused for a reason.
func (ga *Gate) isRateLimited(en *entry, re Reason, now time.Time) bool {
	wait := ga.limitWait(en, now)
	return isCapacityReason(re) && wait > 0 && (ga.freeSlots() > 0 || wait >= ga.slotWait(en))
}

// refuseOverdue refuses the queued attempts that have waited long enough for the rate
// limit, since others were sent before them.
func (ga *Gate) refuseOverdue(now time.Time) {
	if !ga.limiter.limit.Limited || ga.freeSlots() <= 0 {
		return
	}
	overdue := ga.queue.removeIf(func(en *entry) bool { return now.Sub(en.arrived) >= en.maxLimitWait() })
	for _, en := range overdue {
		ga.refuse(en, ReasonQueueFull, now)
	}
}

// WakeAt returns when the rate limit allows the next queued attempt; zero if no attempt
// waits for it.
func (ga *Gate) WakeAt(now time.Time) time.Time {
	if !ga.limiter.limit.Limited || ga.queue.len() == 0 || ga.freeSlots() <= 0 {
		return time.Time{}
	}
	if wait := ga.limiter.wait(1, now); wait > 0 {
		return now.Add(wait)
	}
	return time.Time{}
}
