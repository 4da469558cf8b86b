package upstream

import (
	"time"

	"lynxfold/core/contract"
	"lynxfold/core/host"
)

// Releases decides whether a release of a service may run new calls.
type Releases interface {
	// Accepts reports whether new calls may go to a release.
	Accepts(name contract.ServiceName, re host.Release, now time.Time) bool
}

// releaseReplaced reports whether a roll-out has replaced the release of the upstream;
// ga.mu is held, so that an attempt that is admitted before the roll-out is known here is
// counted by Occupancy afterwards.
func (ga *Gate) releaseReplaced(name contract.ServiceName, now time.Time) bool {
	return ga.cfg.Releases != nil && !ga.cfg.Releases.Accepts(name, ga.core.Upstream().Release, now)
}

// Occupancy returns the service and release of the upstream, and the number of attempts
// that run or wait.
func (ga *Gate) Occupancy() (contract.ServiceName, host.Release, int) {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	up := ga.core.Upstream()
	return up.Service, up.Release, ga.core.Running() + ga.core.Queued()
}
