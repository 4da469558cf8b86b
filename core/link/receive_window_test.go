package link_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lynxfold/core/link"
)

// narrowLink plays a link that carries granted bytes one after the other.
type narrowLink struct {
	now            time.Time
	bytesPerSecond float64
	// senderDelay is the time from a grant until its bytes reach the link.
	senderDelay time.Duration
	window      link.ReceiveWindow
	// busyUntil is when the link has carried all bytes that are on it.
	busyUntil time.Time
	arrivals  []arrival
	// remaining holds the bytes of each body that are not on the link yet, and missing
	// those that have not arrived.
	remaining map[link.BodyID]int64
	missing   map[link.BodyID]int64
	began     map[link.BodyID]time.Time
	took      []time.Duration
	// maxDelay is the longest time for which a short message would have waited.
	maxDelay time.Duration
	received int64
}

// arrival is the end of a grant's transfer.
type arrival struct {
	at    time.Time
	id    link.BodyID
	bytes int64
}

func newNarrowLink(bytesPerSecond float64, senderDelay time.Duration) *narrowLink {
	now := time.Unix(1_000_000, 0)
	return &narrowLink{
		now:            now,
		bytesPerSecond: bytesPerSecond,
		senderDelay:    senderDelay,
		busyUntil:      now,
		remaining:      map[link.BodyID]int64{},
		missing:        map[link.BodyID]int64{},
		began:          map[link.BodyID]time.Time{},
	}
}

func (nl *narrowLink) begin(id link.BodyID, length int64) {
	nl.remaining[id] = length
	nl.missing[id] = length
	nl.began[id] = nl.now
	nl.send(nl.window.Begin(id, length, nl.now))
}

// send puts granted bytes on the link.
func (nl *narrowLink) send(grants []link.Grant) {
	for _, gr := range grants {
		start := nl.now.Add(nl.senderDelay)
		if nl.busyUntil.After(start) {
			start = nl.busyUntil
		}
		bytes := min(gr.Bytes, nl.remaining[gr.ID])
		nl.remaining[gr.ID] -= bytes
		nl.busyUntil = start.Add(time.Duration(float64(bytes) / nl.bytesPerSecond * float64(time.Second)))
		nl.arrivals = append(nl.arrivals, arrival{
			at:    nl.busyUntil,
			id:    gr.ID,
			bytes: bytes,
		})
	}
	nl.maxDelay = max(nl.maxDelay, nl.busyUntil.Sub(nl.now)-nl.senderDelay)
}

// advance plays the link until a time.
func (nl *narrowLink) advance(until time.Time) {
	for len(nl.arrivals) > 0 && !nl.arrivals[0].at.After(until) {
		ar := nl.arrivals[0]
		nl.arrivals = nl.arrivals[1:]
		nl.now = ar.at
		nl.received += ar.bytes
		nl.missing[ar.id] -= ar.bytes
		nl.send(nl.window.Received(ar.id, ar.bytes, nl.now))
		if nl.missing[ar.id] > 0 {
			continue
		}
		nl.took = append(nl.took, nl.now.Sub(nl.began[ar.id]))
		nl.send(nl.window.End(ar.id, nl.now))
	}
	nl.now = until
}

// TestBodiesDoNotQueueUpOnNarrowLink begins more bodies than a link of 7 Mbit/s can carry:
// it stays busy, but a short message waits no longer than for the smallest window.
func TestBodiesDoNotQueueUpOnNarrowLink(t *testing.T) {
	const (
		bytesPerSecond = 875_000
		seconds        = 20
		perSecond      = 20
	)
	nl := newNarrowLink(bytesPerSecond, time.Millisecond)
	rnd := rand.New(rand.NewPCG(1, 2))
	start := nl.now
	for id := range link.BodyID(seconds * perSecond) {
		nl.advance(start.Add(time.Duration(id) * time.Second / perSecond))
		nl.begin(id, 20_000+rnd.Int64N(80_000))
	}
	nl.advance(start.Add(seconds * time.Second))
	assert.Check(t, nl.maxDelay <= 60*time.Millisecond, "a short message waits %s", nl.maxDelay)
	assert.Check(t, nl.received > bytesPerSecond*seconds*95/100, "%d bytes", nl.received)
	wait := nl.window.Backlog(nl.now)
	left := int64(0)
	for _, bytes := range nl.missing {
		left += bytes
	}
	want := time.Duration(float64(left) / bytesPerSecond * float64(time.Second))
	assert.Check(t, (wait-want).Abs() < want/10, "backlog %s, want about %s", wait, want)
}

// TestBodiesArriveOneAfterTheOther begins two bodies together: the first is not slowed
// down by the second.
func TestBodiesArriveOneAfterTheOther(t *testing.T) {
	nl := newNarrowLink(1_000_000, time.Millisecond)
	nl.begin(1, 100_000)
	nl.begin(2, 100_000)
	nl.advance(nl.now.Add(time.Second))
	assert.Equal(t, len(nl.took), 2)
	assert.Check(t, nl.took[0] < 120*time.Millisecond, "first body took %s", nl.took[0])
	assert.Check(t, nl.took[1] < 220*time.Millisecond, "second body took %s", nl.took[1])
}

// TestWindowGrowsOnWideLink checks that on a fast link the window doesn't bound the rate.
func TestWindowGrowsOnWideLink(t *testing.T) {
	nl := newNarrowLink(125_000_000, time.Millisecond)
	start := nl.now
	for id := range link.BodyID(20) {
		nl.begin(id, 8<<20)
	}
	nl.advance(start.Add(30 * time.Second))
	assert.Equal(t, len(nl.took), 20)
	assert.Check(t, nl.took[19] < 5*time.Second, "20 bodies of 8 MB took %s", nl.took[19])
}

// TestSlowSenderHoldsNoneUp checks that the bodies of senders that send nothing don't hold
// up others for long, and that a body of unknown length gets further grants.
func TestSlowSenderHoldsNoneUp(t *testing.T) {
	var rw link.ReceiveWindow
	now := time.Unix(1_000_000, 0)
	granted := map[link.BodyID]int64{}
	record := func(grants []link.Grant) {
		for _, gr := range grants {
			granted[gr.ID] += gr.Bytes
		}
	}
	record(rw.Begin(1, 1<<20, now))
	record(rw.Begin(2, -1, now))
	record(rw.Begin(3, 1000, now))
	assert.Check(t, granted[1] > 0 && granted[2] == 0 && granted[3] == 0)
	for range 20 {
		at := rw.WakeAt(now)
		if at.IsZero() {
			break
		}
		assert.Assert(t, at.After(now))
		now = at
		record(rw.Tick(now))
	}
	assert.Check(t, granted[3] == 1001, "%d bytes granted to the last body", granted[3])
	before := granted[2]
	assert.Check(t, before > 0)
	record(rw.Received(2, before, now))
	record(rw.End(1, now))
	record(rw.Tick(now.Add(time.Second)))
	assert.Check(t, granted[2] > before)
}
