package upstream

import (
	"context"

	"lynxfold/core/contract"
	"lynxfold/core/host"
)

// Prober asks an upstream about itself, for when it has not announced itself yet.
type Prober interface {
	// Probe asks at a path; ok is false when the upstream can't be used or is not
	// asked in this way.
	Probe(ctx context.Context, path string) (an host.Announcement, ok bool)
	// Service is that of the upstream; empty when upstreams are never asked.
	Service() contract.ServiceName
}

// NoProber is for upstreams that are not asked.
type NoProber struct{}

// Probe implements Prober.
func (NoProber) Probe(context.Context, string) (host.Announcement, bool) {
	return host.Announcement{}, false
}

// Service implements Prober.
func (NoProber) Service() contract.ServiceName { return "" }
