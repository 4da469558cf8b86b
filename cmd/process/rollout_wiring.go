package process

import (
	"context"

	"lynxfold/io/caller"
	"lynxfold/io/operator"
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

func operatorRollouts(ro *rollouts) operator.Rollouts {
	if ro == nil {
		return nil
	}
	return ro
}

// Order implements operator.Rollouts. The order is known here at once; other hosts learn
// of it from this one.
func (ro *rollouts) Order(ctx context.Context, or platform.Order) (platform.Order, error) {
	or, err := ro.rows.Order(ctx, or)
	if err == nil {
		ro.ordersFound([]platform.Order{or})
	}
	return or, err
}

// States implements operator.Rollouts.
func (ro *rollouts) States() []operator.RolloutState {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	states := []operator.RolloutState{}
	for _, re := range ro.table.All() {
		rs := operator.RolloutState{
			Service:       re.Service,
			Order:         re.Order,
			Release:       re.Release,
			Phase:         re.Phase.String(),
			SharePermille: re.Share,
			Reason:        re.Reason,
			Coordinator:   re.Coordinator,
			Confirmed:     re.Confirmed,
		}
		if co := ro.coordinators[re.Service]; co != nil && re.Coordinator == ro.cfg.Host {
			rs.Finding = co.Finding().String()
		}
		states = append(states, rs)
	}
	return states
}

// readOrders reads the orders that are written through lynxfold, beside the versions: a
// host that takes an order may fail before it tells others.
func (ro *rollouts) readOrders(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, rolloutStoreTimeout)
	defer cancel()
	orders, err := ro.rows.Orders(ctx)
	if err != nil {
		ro.log.Warn().Err(err).Msg("orders of roll-outs could not be read")
		return
	}
	ro.ordersFound(orders)
}
