package host

import (
	"math"
	"time"
)

// RequestRate is a number of requests per second.
type RequestRate float64

// RateLimit is a limit on the requests that an upstream gets from all hosts together.
// The zero value is no limit.
type RateLimit struct {
	Limited   bool
	PerSecond RequestRate
}

const (
	// rateBurst is the time over which an unused rate accumulates.
	rateBurst = 250 * time.Millisecond
	// minRequestRate, in requests per second, is kept up under any limit: only the
	// response to a request tells that a limit has risen.
	minRequestRate RequestRate = 0.1
	// tokenTolerance absorbs rounding, in requests.
	tokenTolerance = 1e-6
)

// rateLimiter is a token bucket that keeps the requests to an upstream within the rate
// limit that its responses state.
type rateLimiter struct {
	limit RateLimit
	// tokens is the number of requests that may be sent, as of refilledAt.
	tokens     float64
	refilledAt time.Time
	// statedAt is when a response last stated the limit or a lower one.
	statedAt time.Time
	// heard is set once a response of the upstream has arrived.
	heard bool
}

// observe updates the limit with what a response states; sentAt is when its request was
// sent. Responses may arrive out of order: a limit is lowered at once, and raised or
// lifted only by the response to a request sent after the limit was last stated.
func (rl *rateLimiter) observe(stated RateLimit, sentAt, now time.Time) {
	rl.heard = true
	lower := stated.Limited && (!rl.limit.Limited || stated.PerSecond <= rl.limit.PerSecond)
	if !lower && sentAt.Before(rl.statedAt) {
		return
	}
	if stated.Limited {
		rl.statedAt = now
	}
	rl.set(stated, now)
}

// adopt takes over a limit that another host has heard of, unless the upstream itself
// has been heard.
func (rl *rateLimiter) adopt(stated RateLimit, now time.Time) {
	if rl.heard || !stated.Limited || rl.limit.Limited && rl.limit.PerSecond <= stated.PerSecond {
		return
	}
	rl.statedAt = now
	rl.set(stated, now)
}

// set replaces the limit. A new limit starts without tokens, as the requests before it
// were not counted.
func (rl *rateLimiter) set(limit RateLimit, now time.Time) {
	wasLimited := rl.limit.Limited
	if wasLimited {
		rl.refill(now)
	}
	rl.limit = limit
	if !wasLimited {
		rl.tokens = 0
		rl.refilledAt = now
	}
	rl.tokens = min(rl.tokens, rl.capacity())
}

func (rl *rateLimiter) rate() float64 { return float64(max(rl.limit.PerSecond, minRequestRate)) }

// capacity is the maximum number of tokens.
func (rl *rateLimiter) capacity() float64 { return max(1, rl.rate()*rateBurst.Seconds()) }

// refill adds the tokens since the last refill. The times of events may be out of order.
func (rl *rateLimiter) refill(now time.Time) {
	elapsed := now.Sub(rl.refilledAt).Seconds()
	if elapsed <= 0 {
		return
	}
	rl.tokens = min(rl.capacity(), rl.tokens+elapsed*rl.rate())
	rl.refilledAt = now
}

// allows reports whether n requests may be sent now.
func (rl *rateLimiter) allows(n int, now time.Time) bool { return rl.wait(n, now) == 0 }

// take counts a request that is sent.
func (rl *rateLimiter) take(now time.Time) {
	if !rl.limit.Limited {
		return
	}
	rl.refill(now)
	rl.tokens--
}

// wait returns the time until n requests may have been sent.
func (rl *rateLimiter) wait(n int, now time.Time) time.Duration {
	if !rl.limit.Limited {
		return 0
	}
	rl.refill(now)
	missing := float64(n) - rl.tokens
	if missing <= tokenTolerance {
		return 0
	}
	return time.Duration(math.Ceil(missing / rl.rate() * float64(time.Second)))
}
