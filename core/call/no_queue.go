package call

import (
	"time"

	"lynxfold/core/datacentre"
	"lynxfold/core/host"
)

// maxNoQueueAttempts bounds the no-queue attempts of a call in the local data centre.
// Each costs a round trip, and lowers the probability that all of them find a full
// gate.
const maxNoQueueAttempts = 3

// shortestQueue is the upstream whose gate reported the shortest wait so far.
type shortestQueue struct {
	upstream   datacentre.Upstream
	retryAfter time.Time
}

// sendFirst sends the first attempt. It is a no-queue attempt if another upstream of
// the local data centre may have a free slot: the choice of up may be wrong, since
// the load that this node knows of an upstream is as old as its last call to it.
func (ca *Call) sendFirst(up datacentre.Upstream, now time.Time) {
	noQueue := false
	if ca.cfg.LocalPicker != nil {
		_, noQueue = ca.cfg.LocalPicker.PickLocal([]host.ID{up.Host}, now)
	}
	ca.send(up, "", noQueue)
}

// retryAfterBusy continues after a gate without a free slot refused a no-queue
// attempt: with another gate or, once enough were tried, in the queue of the gate
// that reported the shortest wait.
func (ca *Call) retryAfterBusy(oa openAttempt, re Result, now time.Time) {
	sq := &ca.shortestQueue
	if sq.upstream.Host == "" || re.RetryAfter.Before(sq.retryAfter) {
		sq.upstream = oa.upstream
		sq.retryAfter = re.RetryAfter
	}
	switch {
	case !ca.cfg.Replayable && !re.BodyUnread:
		ca.giveUp(NoRetryBody)
		return
	case !ca.canMeetDeadline(now):
		ca.giveUp(NoRetryDeadline)
		return
	}
	if up, ok := ca.pickNoQueue(now); ok {
		ca.send(up, RetryBusy, true)
		return
	}
	// Enough gates were tried: allow no more free attempts.
	ca.freeAttempts = maxFreeAttempts
	ca.send(sq.upstream, RetryBusy, false)
}

// pickNoQueue picks the upstream for the next no-queue attempt: a local one, and
// then once a remote one, if the local queues are longer than the call may wait.
func (ca *Call) pickNoQueue(now time.Time) (datacentre.Upstream, bool) {
	if ca.noQueueAttempts < maxNoQueueAttempts {
		if up, ok := ca.cfg.LocalPicker.PickLocal(ca.triedHosts, now); ok {
			return up, true
		}
	}
	if ca.triedRemote || ca.shortestQueue.retryAfter.Sub(now) <= ca.cfg.MaxQueueWait {
		return datacentre.Upstream{}, false
	}
	ca.triedRemote = true
	return ca.cfg.Picker.PickWithCapacity(ca.triedHosts, now)
}
