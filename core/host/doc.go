// Package host implements the admission controller in front of the upstream on one
// host: it dispatches, queues or refuses attempts and records the outcome of each.
package host
