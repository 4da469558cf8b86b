package call

import (
	"time"

	"lynxfold/core/datacentre"
	"lynxfold/core/host"
)

// maxBrief bounds the brief attempts of a call. Each costs a round trip within the
// data centre; the chance that all find a full gate falls with each.
const maxBrief = 3

// leastBusy is the gate that named the shortest wait so far.
type leastBusy struct {
	upstream datacentre.Upstream
	comeBack time.Time
}

// first makes the first attempt. It is a brief one when other upstreams near by
// may have a free slot: what this node knows of their load is as old as its last
// call to each.
func (ca *Call) first(up datacentre.Upstream, now time.Time) {
	brief := false
	if ca.cfg.Near != nil {
		_, brief = ca.cfg.Near.PickNear([]host.ID{up.Host}, now)
	}
	ca.tryAs(up, "", brief)
}

// busy goes on after a gate without a free slot: to another one near by, or in the
// end into the queue that named the shortest wait.
func (ca *Call) busy(tr trial, re Result, now time.Time) {
	lb := &ca.leastBusy
	if lb.upstream.Host == "" || re.ComeBack.Before(lb.comeBack) {
		lb.upstream = tr.upstream
		lb.comeBack = re.ComeBack
	}
	switch {
	case !ca.cfg.Replayable && !re.BodyUnread:
		ca.giveUp(NoRetryBody)
		return
	case !ca.inTime(now):
		ca.giveUp(NoRetryDeadline)
		return
	}
	if up, ok := ca.pickBrief(now); ok {
		ca.tryAs(up, RetryBusy, true)
		return
	}
	// Enough gates have been asked.
	ca.moves = maxMoves
	ca.tryAs(lb.upstream, RetryBusy, false)
}

// pickBrief chooses where to ask next: near by, and then once farther away, when
// the queues near by are longer than the call can wait in.
func (ca *Call) pickBrief(now time.Time) (datacentre.Upstream, bool) {
	if ca.briefs < maxBrief {
		if up, ok := ca.cfg.Near.PickNear(ca.tried, now); ok {
			return up, true
		}
	}
	if ca.wentFar || ca.leastBusy.comeBack.Sub(now) <= ca.cfg.Patience {
		return datacentre.Upstream{}, false
	}
	ca.wentFar = true
	return ca.cfg.Chooser.PickSpare(ca.tried, now)
}
