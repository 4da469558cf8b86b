package node

import (
	"sync"
	"time"

	"lynxfold/core/host"
	"lynxfold/core/link"
	"lynxfold/core/wire"
)

// maxTransits limits the peers whose delays are estimated. Beyond it all estimates begin
// anew.
const maxTransits = 16 << 10

// transits estimates the delays of requests by the process that issued them.
type transits struct {
	mu    sync.Mutex
	peers map[host.Issuer]*link.Transit
}

// delay returns how long a request was delayed on the way; 0 when that is unknown.
func (ts *transits) delay(rq *wire.Request, receivedAt time.Duration) time.Duration {
	or, ok := host.AttemptID(rq.GetAttempt()).Origin()
	if !ok || rq.GetSentUs() == 0 || receivedAt == 0 {
		return 0
	}
	ts.mu.Lock()
	defer ts.mu.Unlock()
	tr := ts.peers[or.Issuer]
	if tr == nil {
		if ts.peers == nil || len(ts.peers) >= maxTransits {
			ts.peers = map[host.Issuer]*link.Transit{}
		}
		tr = &link.Transit{}
		ts.peers[or.Issuer] = tr
	}
	return tr.Delay(time.Duration(rq.GetSentUs())*time.Microsecond, receivedAt)
}

// subtractTime takes time that has passed off the time that a request has left.
func subtractTime(rq *wire.Request, passed time.Duration) {
	rq.RemainingUs -= passed.Microseconds()
	if rq.GetHasObjective() {
		rq.ObjectiveUs -= passed.Microseconds()
	}
}
