package call

import (
	"lynxfold/core/contract"
	"lynxfold/core/datacentre"
)

// Resolve follows the fallbacks of a route while its service has no usable
// upstream. Without any, the first route stands.
func Resolve(vi *datacentre.View, ta *contract.Target) *contract.Target {
	for next := ta; next != nil; next = next.Fallback {
		if len(vi.Upstreams[next.Route.Service]) > 0 {
			return next
		}
	}
	return ta
}
