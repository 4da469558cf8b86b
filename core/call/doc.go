// Package call implements the ingress side of a call: load balancing across
// upstreams, retries, hedged requests, and the response that the caller receives.
//
// The ingress is the node that accepts the call. It sends each attempt to the gate
// of an upstream, which dispatches, queues or refuses it; see package host.
package call
