package host_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lynxfold/core/contract"
	"lynxfold/core/host"
)

// link simulates a network link that divides its bandwidth equally among the bodies on
// it, each of which is also limited by its own sender.
type link struct {
	gate *host.Gate
	now  time.Time
	rnd  *rand.Rand
	// linkBytesPerSecond is the bandwidth of the link, senderBytesPerSecond that of one
	// sender.
	linkBytesPerSecond, senderBytesPerSecond float64
	// meanBytes is the mean length of a body.
	meanBytes float64
	// remainingBytes holds the unsent part of each body, totalBytes its length.
	remainingBytes map[host.AttemptID]float64
	totalBytes     map[host.AttemptID]float64
	workEnds       map[host.AttemptID]time.Time
	calls          uint64
	// maxBodies is the maximum number of concurrent bodies in the second half of the run.
	maxBodies int
	ran       int
	refused   int
}

const (
	linkSlots       = 9
	linkStep        = time.Millisecond
	linkServiceTime = 100 * time.Millisecond
	linkSeconds     = 60
)

func newLink(linkBytesPerSecond, senderBytesPerSecond float64) *link {
	li := &link{
		gate: host.NewGate(host.Config{
			Incarnation:       incarnation,
			QueuePerSlot:      2,
			DefaultRetryAfter: time.Second,
		}),
		now:                  time.Unix(1_000_000, 0),
		rnd:                  rand.New(rand.NewPCG(3, 4)),
		linkBytesPerSecond:   linkBytesPerSecond,
		senderBytesPerSecond: senderBytesPerSecond,
		meanBytes:            60_000,
		remainingBytes:       map[host.AttemptID]float64{},
		totalBytes:           map[host.AttemptID]float64{},
		workEnds:             map[host.AttemptID]time.Time{},
	}
	li.step(host.Announced{
		Announcement: host.Announcement{Service: "booking", Slots: linkSlots},
		ExpiresAt:    li.now.Add(time.Hour),
	})
	return li
}

func (li *link) step(ev host.Event) {
	for _, ac := range li.gate.Step(ev, li.now) {
		switch ac := ac.(type) {
		case host.Dispatch:
			li.totalBytes[ac.ID] = li.meanBytes * (0.5 + li.rnd.Float64())
			li.remainingBytes[ac.ID] = li.totalBytes[ac.ID]
		case host.Refuse:
			li.refused++
		}
	}
}

// run offers uploads at random times with the given mean rate and simulates their
// transfer.
func (li *link) run(callsPerSecond float64) {
	for i := range linkSeconds * int(time.Second/linkStep) {
		li.now = li.now.Add(linkStep)
		if li.rnd.Float64() < callsPerSecond*linkStep.Seconds() {
			li.calls++
			li.step(host.Arrived{
				Attempt: host.Attempt{
					ID:          host.Origin{Issuer: host.Issuer{Host: "node-1", Incarnation: 3}, Call: li.calls, Try: 1}.ID(),
					Incarnation: incarnation,
					Service:     "booking",
					Class:       contract.ClassBulk,
					BodyBytes:   int64(li.meanBytes),
					Objective:   li.now.Add(1200 * time.Millisecond),
					Deadline:    li.now.Add(8 * time.Second),
				},
			})
		}
		if i > linkSeconds*int(time.Second/linkStep)/2 {
			li.maxBodies = max(li.maxBodies, len(li.remainingBytes))
		}
		li.transfer()
	}
}

// transfer advances the bodies by one step and ends attempts whose work is done.
func (li *link) transfer() {
	share := min(li.senderBytesPerSecond, li.linkBytesPerSecond/float64(max(1, len(li.remainingBytes)))) * linkStep.Seconds()
	for id, remaining := range li.remainingBytes {
		if remaining > share {
			li.remainingBytes[id] = remaining - share
			continue
		}
		delete(li.remainingBytes, id)
		li.step(host.BodyReceived{ID: id, Bytes: int64(li.totalBytes[id])})
		li.workEnds[id] = li.now.Add(linkServiceTime)
	}
	for id, end := range li.workEnds {
		if li.now.After(end) {
			delete(li.workEnds, id)
			li.ran++
			li.step(host.Ended{ID: id, Outcome: host.OutcomeRan})
		}
	}
}

// TestTransfersOnNarrowLink checks that on a slow link the limit keeps the number of
// concurrent bodies low, so that other traffic is not delayed, and that the link is
// still fully used.
func TestTransfersOnNarrowLink(t *testing.T) {
	li := newLink(600_000, 10_000_000)
	li.run(14)
	assert.Assert(t, li.maxBodies <= 4, "%d bodies at once", li.maxBodies)
	// The link carries ten bodies a second.
	assert.Assert(t, li.ran >= 9*linkSeconds, "%d ran, %d refused", li.ran, li.refused)
}

// TestTransfersOnWideLink checks that bodies from slow senders are received concurrently
// on a fast link.
func TestTransfersOnWideLink(t *testing.T) {
	li := newLink(100_000_000, 200_000)
	li.run(18)
	assert.Assert(t, li.refused <= linkSeconds/2, "%d ran, %d refused, %d bodies at once", li.ran, li.refused, li.maxBodies)
	assert.Assert(t, li.maxBodies >= linkSlots-2, "%d bodies at once", li.maxBodies)
}
