package upstream

import (
	"context"

	"lynxfold/core/contract"
	"lynxfold/core/host"
)

// Prober requests an announcement from an upstream that has not sent one yet.
type Prober interface {
	// Probe queries the upstream at a path; ok is false when the upstream can't
	// be used or doesn't support probes.
	Probe(ctx context.Context, path string) (an host.Announcement, ok bool)
	// Service returns the upstream's service; empty when upstreams are not probed.
	Service() contract.ServiceName
}

// NoProber is a Prober for upstreams that are not probed.
type NoProber struct{}

// Probe implements Prober.
func (NoProber) Probe(context.Context, string) (host.Announcement, bool) {
	return host.Announcement{}, false
}

// Service implements Prober.
func (NoProber) Service() contract.ServiceName { return "" }
