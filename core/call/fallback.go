package call

import (
	"lynxfold/core/contract"
	"lynxfold/core/datacentre"
)

// ResolveFallback returns the first target in the chain of fallbacks whose service has a
// usable upstream, or ta if there is none.
func ResolveFallback(vi *datacentre.View, ta *contract.Target) *contract.Target {
	for next := ta; next != nil; next = next.Fallback {
		if len(vi.Upstreams[next.Route.Service]) > 0 {
			return next
		}
	}
	return ta
}
