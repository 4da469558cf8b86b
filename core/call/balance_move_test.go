package call_test

import (
	"maps"
	"slices"
	"time"

	"lynxfold/core/call"
	"lynxfold/core/host"
)

// movePeriod is the time between two searches for calls that can move.
const movePeriod = 5 * time.Millisecond

// move moves queued calls to free slots.
func (bm *balanceModel) move() {
	for _, id := range slices.Sorted(maps.Keys(bm.calls)) {
		bc := bm.calls[id]
		from := bm.byHost[bc.up.Host]
		if !bc.dispatched.IsZero() || bc.queuedAs.ID != id || from.gate.Queued() == 0 {
			continue
		}
		to := bm.freeSlot(bc)
		if to == nil {
			continue
		}
		queued := from.gate.Queued()
		bc.moving = true
		bm.step(from, host.Cancelled{ID: id})
		bc.moving = false
		if from.gate.Queued() == queued {
			continue
		}
		bc.host.picker.Ended(bc.up, call.Observation{Cancelled: true}, bm.now)
		bc.up = bm.all[to.index]
		bc.host.picker.Started(bc.up)
		bm.figures.moved++
		bm.step(to, host.Arrived{Attempt: bc.queuedAs})
	}
	if bm.now.Sub(bm.start) < bm.cfg.length {
		bm.schedule(movePeriod, bm.move)
	}
}

// freeSlot returns the fastest upstream with a free slot that a call may move to.
func (bm *balanceModel) freeSlot(bc *balanceCall) *balanceUpstream {
	var best *balanceUpstream
	for i, bu := range bm.upstreams {
		isLocal := bm.all[i].DataCentre == bc.host.dataCentre
		if bm.cfg.moves == moveLocal && !isLocal || bu.gate.Running() >= int(bm.cfg.slots) || bu.gate.Queued() > 0 {
			continue
		}
		if best == nil || bu.speed > best.speed {
			best = bu
		}
	}
	return best
}
