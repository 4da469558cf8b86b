package host_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lynxfold/core/contract"
	"lynxfold/core/host"
)

// link shares its bandwidth equally among the bodies on it, each of which is
// bounded by its own sender as well.
type link struct {
	gate *host.Gate
	now  time.Time
	rnd  *rand.Rand
	// rate is what the link carries, sender what one sender can send, both in
	// bytes a second.
	rate, sender float64
	// size is the mean length of a body, in bytes.
	size float64
	left map[host.AttemptID]float64
	// whole are the lengths of the bodies on their way.
	whole map[host.AttemptID]float64
	work  map[host.AttemptID]time.Time
	calls uint64
	// most is the most bodies at once, in the second half of the time.
	most    int
	ran     int
	refused int
}

const (
	linkSlots   = 9
	linkStep    = time.Millisecond
	linkWork    = 100 * time.Millisecond
	linkSeconds = 60
)

func newLink(rate, sender float64) *link {
	li := &link{
		gate: host.NewGate(host.Config{
			Incarnation:  incarnation,
			QueuePerSlot: 2,
			ComeBack:     time.Second,
		}),
		now:    time.Unix(1_000_000, 0),
		rnd:    rand.New(rand.NewPCG(3, 4)),
		rate:   rate,
		sender: sender,
		size:   60_000,
		left:   map[host.AttemptID]float64{},
		whole:  map[host.AttemptID]float64{},
		work:   map[host.AttemptID]time.Time{},
	}
	li.step(host.Announced{
		Announcement: host.Announcement{Service: "booking", Slots: linkSlots},
		Lapse:        li.now.Add(time.Hour),
	})
	return li
}

func (li *link) step(ev host.Event) {
	for _, ac := range li.gate.Step(ev, li.now) {
		switch ac := ac.(type) {
		case host.Dispatch:
			li.whole[ac.ID] = li.size * (0.5 + li.rnd.Float64())
			li.left[ac.ID] = li.whole[ac.ID]
		case host.Refuse:
			li.refused++
		}
	}
}

// play offers uploads at a rate, by chance, and lets the bodies arrive.
func (li *link) play(perSecond float64) {
	for i := range linkSeconds * int(time.Second/linkStep) {
		li.now = li.now.Add(linkStep)
		if li.rnd.Float64() < perSecond*linkStep.Seconds() {
			li.calls++
			li.step(host.Arrived{
				Attempt: host.Attempt{
					ID:          host.Origin{Issuer: host.Issuer{Host: "node-1", Incarnation: 3}, Call: li.calls, Try: 1}.ID(),
					Incarnation: incarnation,
					Service:     "booking",
					Class:       contract.ClassBulk,
					Body:        int64(li.size),
					Objective:   li.now.Add(1200 * time.Millisecond),
					Deadline:    li.now.Add(8 * time.Second),
				},
			})
		}
		if i > linkSeconds*int(time.Second/linkStep)/2 {
			li.most = max(li.most, len(li.left))
		}
		li.carry()
	}
}

// carry moves the bodies on, and ends the work on those that are there.
func (li *link) carry() {
	share := min(li.sender, li.rate/float64(max(1, len(li.left)))) * linkStep.Seconds()
	for id, left := range li.left {
		if left > share {
			li.left[id] = left - share
			continue
		}
		delete(li.left, id)
		li.step(host.Received{ID: id, Bytes: int64(li.whole[id])})
		li.work[id] = li.now.Add(linkWork)
	}
	for id, end := range li.work {
		if li.now.After(end) {
			delete(li.work, id)
			li.ran++
			li.step(host.Ended{ID: id, Outcome: host.OutcomeRan})
		}
	}
}

// TestTransfersOnNarrowLink keeps the bodies on a link that is short to a few,
// so that what else crosses it is not held up, and still uses the link.
func TestTransfersOnNarrowLink(t *testing.T) {
	li := newLink(600_000, 10_000_000)
	li.play(14)
	assert.Assert(t, li.most <= 4, "%d bodies at once", li.most)
	// The link carries ten bodies a second.
	assert.Assert(t, li.ran >= 9*linkSeconds, "%d ran, %d refused", li.ran, li.refused)
}

// TestTransfersOnWideLink lets bodies whose senders are slow arrive side by side.
func TestTransfersOnWideLink(t *testing.T) {
	li := newLink(100_000_000, 200_000)
	li.play(18)
	assert.Assert(t, li.refused <= linkSeconds/2, "%d ran, %d refused, %d bodies at once", li.ran, li.refused, li.most)
	assert.Assert(t, li.most >= linkSlots-2, "%d bodies at once", li.most)
}
