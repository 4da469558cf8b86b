package caller

import (
	"time"

	"lynxfold/core/call"
	"lynxfold/core/datacentre"
	"lynxfold/core/host"
)

// Pick implements call.Picker.
func (ex *exchange) Pick(tried []host.ID, now time.Time) (datacentre.Upstream, bool) {
	if ex.trial {
		return ex.pickTrial(tried)
	}
	if up, ok := ex.pickOwnHost(tried, now); ok {
		return up, true
	}
	return ex.server.pick(ex, tried, false, now)
}

// PickWithCapacity implements call.Picker.
func (ex *exchange) PickWithCapacity(tried []host.ID, now time.Time) (datacentre.Upstream, bool) {
	if ex.trial {
		return ex.pickTrial(tried)
	}
	return ex.server.pick(ex, tried, true, now)
}

// PickLocal implements call.LocalPicker.
func (ex *exchange) PickLocal(tried []host.ID, now time.Time) (datacentre.Upstream, bool) {
	if ex.trial {
		return ex.pickTrial(tried)
	}
	if up, ok := ex.pickOwnHost(tried, now); ok {
		return up, true
	}
	sv := ex.server
	sv.mu.Lock()
	defer sv.mu.Unlock()
	name, all := ex.candidates(now)
	return sv.chooser.PickLocal(name, all, tried, now)
}

// pickOwnHost returns the upstream of this host for a request with a long body, which has
// crossed the host's link already and need not cross that of another one.
func (ex *exchange) pickOwnHost(tried []host.ID, now time.Time) (datacentre.Upstream, bool) {
	if ex.streamedBody == nil && len(ex.bufferedBody) <= maxEagerBodyBytes {
		return datacentre.Upstream{}, false
	}
	sv := ex.server
	sv.mu.Lock()
	defer sv.mu.Unlock()
	name, all := ex.candidates(now)
	return sv.chooser.PickHost(name, all, sv.cfg.Host, tried, now)
}

// Spend implements call.Spender for retries.
func (ex *exchange) Spend(now time.Time) bool {
	return ex.server.retryBudgets.spend(ex.target.Route.Service, now)
}

// hedgeBudget returns the budget for hedged requests; nil for a request that may have
// crashed an upstream, since a second one would run it at the same time.
func (ex *exchange) hedgeBudget() call.Spender {
	if ex.server.cfg.Quarantine.Verdict(ex.fingerprint).Crashes > 0 {
		return nil
	}
	return hedgeBudget{exchange: ex}
}

// hedgeBudget implements call.Spender for hedged requests.
type hedgeBudget struct {
	exchange *exchange
}

// Spend takes one hedged request from the budget and reports whether there was
// one left.
func (hb hedgeBudget) Spend(now time.Time) bool {
	return hb.exchange.server.hedgeBudgets.spend(hb.exchange.target.Route.Service, now)
}
