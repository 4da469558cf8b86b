package upstream

import (
	"context"

	"lynxfold/core/contract"
	"lynxfold/core/host"
)

// Prober requests an announcement from an upstream that has not sent one yet, or that is older
// than the node's process.
type Prober interface {
	// Probe queries the upstream at a path; ok is false when the upstream can't
	// be used or doesn't support probes. Answered, the instance and the notice are set in any
	// case.
	Probe(ctx context.Context, path string) (re ProbeResult, ok bool)
	// Service returns the upstream's service; empty when upstreams are not probed.
	Service() contract.ServiceName
}

// ProbeResult is what a probe has revealed of an upstream.
type ProbeResult struct {
	Announcement host.Announcement
	// Notice is what the response states about the upstream.
	Notice host.Notice
	// Answered says that the upstream has answered at all.
	Answered bool
}

// NoProber is a Prober for upstreams that are not probed.
type NoProber struct{}

// Probe implements Prober.
func (NoProber) Probe(context.Context, string) (ProbeResult, bool) { return ProbeResult{}, false }

// Service implements Prober.
func (NoProber) Service() contract.ServiceName { return "" }
