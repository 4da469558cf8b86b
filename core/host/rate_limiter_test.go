package host_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lynxfold/core/host"
)

// limitedWorld runs a gate whose upstream states a rate limit that changes, under more
// load than the limit allows. Responses arrive late and out of order, and gates restart.
type limitedWorld struct {
	t       *testing.T
	rnd     *rand.Rand
	now     time.Time
	gate    *host.Gate
	process host.Announcement
	limit   host.RateLimit
	// known is what the only ingress knows.
	known host.PeerNotice
	calls uint64
	// pending are the responses that have not arrived.
	pending []pendingResponse
	// arrivals are the times at which requests reached the upstream since the limit
	// was last stated anew.
	arrivals []time.Time
	statedAt time.Time
}

// pendingResponse is a response with what it states.
type pendingResponse struct {
	id     host.AttemptID
	sentAt time.Time
	at     time.Time
	notice host.Notice
}

const (
	worldStep  = 5 * time.Millisecond
	worldSteps = 6000
)

func newLimitedWorld(t *testing.T, seed uint64) *limitedWorld {
	lw := &limitedWorld{
		t:   t,
		rnd: rand.New(rand.NewPCG(seed, 3)),
		now: time.Unix(1_000_000, 0),
		process: host.Announcement{
			Service:   "booking",
			Slots:     6,
			Instance:  "a",
			StartedAt: time.Unix(1, 0),
		},
	}
	lw.restartGate()
	return lw
}

// restartGate replaces the gate by one that knows nothing. Its running attempts are lost.
func (lw *limitedWorld) restartGate() {
	lw.gate = host.NewGate(host.Config{
		Incarnation:       incarnation,
		QueuePerSlot:      2,
		DefaultRetryAfter: time.Second,
	})
	lw.pending = nil
	lw.process.Sequence++
	assert.Assert(lw.t, lw.gate.AcceptAnnouncement(lw.process, lw.now))
	lw.step(host.Announced{
		Announcement: lw.process,
		ExpiresAt:    lw.now.Add(time.Hour),
	})
}

func (lw *limitedWorld) step(ev host.Event) {
	for _, ac := range slices.Clone(lw.gate.Step(ev, lw.now)) {
		switch ac := ac.(type) {
		case host.Dispatch:
			lw.serve(ac.ID)
		case host.InvariantViolated:
			lw.t.Fatalf("invariant %s violated", ac.Invariant)
		}
	}
}

// serve answers a request after a random time. The response states the limit that holds
// shortly before it arrives.
func (lw *limitedWorld) serve(id host.AttemptID) {
	lw.arrivals = append(lw.arrivals, lw.now)
	took := time.Duration(20+lw.rnd.IntN(200)) * time.Millisecond
	lw.pending = append(lw.pending, pendingResponse{
		id:     id,
		sentAt: lw.now,
		at:     lw.now.Add(took),
		notice: host.Notice{RateLimit: lw.limit},
	})
}

// deliver delivers the responses that are due.
func (lw *limitedWorld) deliver() {
	var due, rest []pendingResponse
	for _, pr := range lw.pending {
		if pr.at.After(lw.now) {
			rest = append(rest, pr)
			continue
		}
		due = append(due, pr)
	}
	lw.pending = rest
	for _, pr := range due {
		if lw.rnd.IntN(3) > 0 {
			pr.notice.RateLimit = lw.limit
		}
		lw.step(host.Noticed{
			SentAt: pr.sentAt,
			Notice: pr.notice,
		})
		lw.step(host.Ended{ID: pr.id, Outcome: host.OutcomeRan})
		lw.known = lw.gate.PeerNotice()
	}
}

// changeLimit makes the upstream state another limit, or none.
func (lw *limitedWorld) changeLimit() {
	lw.check()
	lw.statedAt = lw.now
	lw.arrivals = nil
	lw.limit = host.RateLimit{
		Limited:   lw.rnd.IntN(5) > 0,
		PerSecond: host.RequestRate(lw.rnd.Float64() * 30),
	}
	if !lw.limit.Limited {
		lw.limit = host.RateLimit{}
	}
}

// check checks that no more than one and a half times the limit, and five requests,
// reached the upstream in any 4 s, from 3 s after the limit was first stated.
func (lw *limitedWorld) check() {
	if !lw.limit.Limited {
		return
	}
	from := lw.statedAt.Add(3 * time.Second)
	counted := slices.DeleteFunc(slices.Clone(lw.arrivals), func(at time.Time) bool { return at.Before(from) })
	first := 0
	for i, at := range counted {
		for at.Sub(counted[first]) > 4*time.Second {
			first++
		}
		allowed := 1.5*4*float64(lw.limit.PerSecond) + 5
		assert.Assert(lw.t, float64(i-first+1) <= allowed, "%d requests in 4s with a limit of %v", i-first+1, lw.limit.PerSecond)
	}
}

func (lw *limitedWorld) run() {
	for range worldSteps {
		lw.now = lw.now.Add(worldStep)
		lw.deliver()
		if lw.rnd.IntN(1500) == 0 {
			lw.changeLimit()
		}
		if lw.rnd.IntN(1000) == 0 {
			lw.restartGate()
		}
		if lw.rnd.IntN(5) == 0 {
			lw.calls++
			at := host.Attempt{
				ID:          host.Origin{Issuer: host.Issuer{Host: "node-1", Incarnation: 3}, Call: lw.calls, Try: 1, Idempotent: lw.rnd.IntN(2) == 0}.ID(),
				Incarnation: incarnation,
				Service:     "booking",
				NoQueue:     lw.rnd.IntN(2) == 0,
				Nested:      lw.rnd.IntN(3) == 0,
				Deadline:    lw.now.Add(time.Duration(500+lw.rnd.IntN(5000)) * time.Millisecond),
				Notice:      lw.known,
			}
			lw.step(host.Arrived{Attempt: at})
		}
		lw.step(host.Tick{})
	}
	lw.check()
}

// TestRateLimitHoldsAtRandom runs random sequences of limits, loads and restarts.
func TestRateLimitHoldsAtRandom(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { newLimitedWorld(t, seed).run() })
	}
}

// TestRateLimitIsUsed checks that a saturated gate sends what the limit allows.
func TestRateLimitIsUsed(t *testing.T) {
	for _, perSecond := range []host.RequestRate{0.5, 3, 12.5} {
		lw := newLimitedWorld(t, 1)
		lw.limit = host.RateLimit{Limited: true, PerSecond: perSecond}
		lw.step(host.Noticed{SentAt: lw.now, Notice: host.Notice{RateLimit: lw.limit}})
		for range 20_000 / 5 {
			lw.now = lw.now.Add(worldStep)
			lw.deliver()
			lw.calls++
			lw.step(host.Arrived{Attempt: host.Attempt{
				ID:          host.Origin{Issuer: host.Issuer{Host: "node-1", Incarnation: 3}, Call: lw.calls, Try: 1, Idempotent: true}.ID(),
				Incarnation: incarnation,
				Service:     "booking",
				Deadline:    lw.now.Add(20 * time.Second),
			}})
		}
		want := float64(perSecond) * 20
		got := float64(len(lw.arrivals))
		assert.Check(t, got >= 0.9*want-1 && got <= want+1, "%v requests in 20s with a limit of %v", got, perSecond)
	}
}

// TestRateLimitHoldsWhileEventsAreOutOfOrder reports events with times that are not in
// order, as by goroutines that wait for the gate.
func TestRateLimitHoldsWhileEventsAreOutOfOrder(t *testing.T) {
	const perSecond = 10
	lw := newLimitedWorld(t, 1)
	lw.limit = host.RateLimit{Limited: true, PerSecond: perSecond}
	lw.step(host.Noticed{SentAt: lw.now, Notice: host.Notice{RateLimit: lw.limit}})
	for range 4 * time.Second / worldStep {
		lw.now = lw.now.Add(worldStep)
		lw.deliver()
		lw.calls++
		at := host.Attempt{
			ID:          host.Origin{Issuer: host.Issuer{Host: "node-1", Incarnation: 3}, Call: lw.calls, Try: 1, Idempotent: true}.ID(),
			Incarnation: incarnation,
			Service:     "booking",
			NoQueue:     true,
			Deadline:    lw.now.Add(time.Second),
		}
		late := lw.now
		lw.now = lw.now.Add(-20 * time.Millisecond)
		lw.step(host.Arrived{Attempt: at})
		lw.now = late
	}
	assert.Check(t, len(lw.arrivals) <= 4*perSecond+1, "%d requests in 4s with a limit of %d", len(lw.arrivals), perSecond)
}
