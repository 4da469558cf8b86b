package node

import (
	"sync"
	"time"

	"lynxfold/core/link"
)

// receiver grants the request bodies that arrive on all call connections of this node.
type receiver struct {
	mu     sync.Mutex
	window link.ReceiveWindow
	lastID link.BodyID
	bodies map[link.BodyID]*grantedTransfer
	// wakeAt is when the next wake is due; zero while none is scheduled.
	wakeAt time.Time
}

// grantedTransfer is a body that arrives part by part.
type grantedTransfer struct {
	receiver *receiver
	id       link.BodyID
	// request asks the sender for further bytes.
	request func(bytes int64)

	mu    sync.Mutex
	ended bool
}

// grant asks the sender for further bytes unless the transfer has ended.
func (gt *grantedTransfer) grant(bytes int64) {
	gt.mu.Lock()
	defer gt.mu.Unlock()
	if !gt.ended {
		gt.request(bytes)
	}
}

// newTransfer returns a transfer that has not begun.
func (re *receiver) newTransfer(request func(bytes int64)) *grantedTransfer {
	re.mu.Lock()
	defer re.mu.Unlock()
	re.lastID++
	return &grantedTransfer{
		receiver: re,
		id:       re.lastID,
		request:  request,
	}
}

// begin starts to receive the body.
func (gt *grantedTransfer) begin(length int64) {
	re := gt.receiver
	re.mu.Lock()
	if re.bodies == nil {
		re.bodies = map[link.BodyID]*grantedTransfer{}
	}
	re.bodies[gt.id] = gt
	re.finish(re.window.Begin(gt.id, length, time.Now()))
}

// received records bytes of the body.
func (gt *grantedTransfer) received(bytes int64) {
	re := gt.receiver
	re.mu.Lock()
	re.finish(re.window.Received(gt.id, bytes, time.Now()))
}

// end ends the transfer of a body that is complete or no longer needed. Nothing is asked
// for after it returns.
func (gt *grantedTransfer) end() {
	gt.mu.Lock()
	gt.ended = true
	gt.mu.Unlock()
	re := gt.receiver
	re.mu.Lock()
	delete(re.bodies, gt.id)
	re.finish(re.window.End(gt.id, time.Now()))
}

// backlog returns how long the bodies that are being received take to arrive.
func (re *receiver) backlog() time.Duration {
	re.mu.Lock()
	defer re.mu.Unlock()
	return re.window.Backlog(time.Now())
}

func (re *receiver) wake() {
	re.mu.Lock()
	re.wakeAt = time.Time{}
	re.finish(re.window.Tick(time.Now()))
}

// finish schedules the next wake, unlocks re.mu and sends the grants.
func (re *receiver) finish(grants []link.Grant) {
	now := time.Now()
	if at := re.window.WakeAt(now); !at.IsZero() && (re.wakeAt.IsZero() || at.Before(re.wakeAt)) {
		re.wakeAt = at
		time.AfterFunc(at.Sub(now), re.wake)
	}
	transfers := make([]*grantedTransfer, len(grants))
	for i, gr := range grants {
		transfers[i] = re.bodies[gr.ID]
	}
	re.mu.Unlock()
	for i, gr := range grants {
		if transfers[i] != nil {
			transfers[i].grant(gr.Bytes)
		}
	}
}
