package process

import (
	"lynxfold/io/caller"
	"lynxfold/io/platform"
	"lynxfold/io/upstream"
)

// connectRollouts gives the roll-outs the components that are built with them.
func (pa processParams) connectRollouts() {
	ro := pa.Rollouts
	if ro == nil {
		return
	}
	ro.control = pa.Control
	ro.gate = pa.Gate
	ro.pool = pa.CallPool
	ro.rows = pa.RolloutRows
	pa.CallServer.OnRolloutReport = ro.handleReport
}

// callerRollouts returns nil, not an interface that holds a nil pointer, while roll-outs
// are off; so do the following.
func callerRollouts(ro *rollouts) caller.Rollouts {
	if ro == nil {
		return nil
	}
	return ro
}

func gateReleases(ro *rollouts) upstream.Releases {
	if ro == nil {
		return nil
	}
	return ro
}

func ordersReceiver(ro *rollouts) func(orders []platform.Order) {
	if ro == nil {
		return nil
	}
	return ro.ordersFound
}
