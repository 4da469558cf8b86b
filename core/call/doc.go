// Package call implements the ingress side of a call: load balancing across
// upstreams, retries, hedged requests, and the response that the caller receives.
package call
