package rollout

import (
	"slices"
	"time"

	"lynxfold/core/contract"
	"lynxfold/core/host"
)

// takeoverAfter is for how long a host must have been the successor of a coordinator that
// it does not see alive before it takes over. A host that has just started knows few
// others, and would take over from coordinators that it has not heard of yet.
const takeoverAfter = time.Second

// Succession decides which host coordinates the roll-out of each service. A coordinator
// goes on for as long as it is alive, also when a host before it in rendezvous order
// joins. It is not safe for concurrent use.
type Succession struct {
	cfg SuccessionConfig
	// successorSince is since when this host has been the successor, by service.
	successorSince map[contract.ServiceName]time.Time
}

// SuccessionConfig configures a Succession.
type SuccessionConfig struct {
	Host host.ID
	// StartedAt is when this host's process started.
	StartedAt time.Time
}

// NewSuccession returns a succession in which this host coordinates nothing.
func NewSuccession(cfg SuccessionConfig) *Succession {
	return &Succession{
		cfg:            cfg,
		successorSince: map[contract.ServiceName]time.Time{},
	}
}

// Coordinator returns the host that coordinates a roll-out as far as this host knows, given
// the live hosts; empty if there is none yet.
func (su *Succession) Coordinator(re Record, hosts []host.ID, now time.Time) host.ID {
	if slices.Contains(hosts, re.Coordinator) {
		delete(su.successorSince, re.Service)
		return re.Coordinator
	}
	first := CoordinatorHost(re.Service, hosts)
	if first != su.cfg.Host {
		delete(su.successorSince, re.Service)
		return first
	}
	since, known := su.successorSince[re.Service]
	if !known {
		since = now
		su.successorSince[re.Service] = now
	}
	// A new order has no coordinator yet; only a host that has just started may be wrong
	// about who comes first.
	waits := re.Coordinator != "" || now.Sub(su.cfg.StartedAt) < takeoverAfter
	if waits && now.Sub(since) < takeoverAfter {
		return ""
	}
	return first
}
