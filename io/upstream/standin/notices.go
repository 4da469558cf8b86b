package standin

import (
	"time"

	"github.com/valyala/fasthttp"

	"lynxfold/io/upstream"
)

// RateLimitPeriod is a time in which the server stated a rate limit.
type RateLimitPeriod struct {
	// Limit is the value of the response header.
	Limit string
	From  time.Time
	// Until is zero while the limit is stated.
	Until time.Time
}

// SetRateLimit makes all responses state a rate limit, in requests per second. An
// empty one makes them state none.
func (sv *Server) SetRateLimit(limit string) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	now := time.Now()
	sv.endRateLimit(now)
	if limit != "" {
		sv.limits = append(sv.limits, RateLimitPeriod{Limit: limit, From: now})
	}
}

// endRateLimit makes the responses state no rate limit; sv.mu is held.
func (sv *Server) endRateLimit(now time.Time) {
	if n := len(sv.limits); n > 0 && sv.limits[n-1].Until.IsZero() {
		sv.limits[n-1].Until = now
	}
}

// RateLimits returns the periods in which the server stated a rate limit.
func (sv *Server) RateLimits() []RateLimitPeriod {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return append([]RateLimitPeriod(nil), sv.limits...)
}

// SetLeaving makes all responses state that the server is leaving, while its
// announcements go on as before.
func (sv *Server) SetLeaving() {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.leaving = true
}

// LeavingStatedAt returns when a response first stated that the server is leaving; zero
// if none has.
func (sv *Server) LeavingStatedAt() time.Time {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return sv.leavingStatedAt
}

// Arrival is a request that arrived at the server.
type Arrival struct {
	// Call is the caller's id of the call; empty for a health check.
	Call string
	At   time.Time
}

// Arrivals returns the requests in the order of their arrival, health checks included.
func (sv *Server) Arrivals() []Arrival {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return append([]Arrival(nil), sv.arrivals...)
}

// withNotices records each arrival and adds to the response what the server states
// about itself.
func (sv *Server) withNotices(next fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		sv.recordArrival(string(ctx.Request.Header.Peek(HeaderCallID)))
		next(ctx)
		sv.mu.Lock()
		defer sv.mu.Unlock()
		if n := len(sv.limits); n > 0 && sv.limits[n-1].Until.IsZero() {
			ctx.Response.Header.Set(upstream.HeaderRateLimit, sv.limits[n-1].Limit)
		}
		if sv.leaving {
			ctx.Response.Header.Set(upstream.HeaderLeaving, "1")
			if sv.leavingStatedAt.IsZero() {
				sv.leavingStatedAt = time.Now()
			}
		}
	}
}

func (sv *Server) recordArrival(call string) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.arrivals = append(sv.arrivals, Arrival{
		Call: call,
		At:   time.Now(),
	})
}
