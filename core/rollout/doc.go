// Package rollout decides how the traffic of a service moves to another release of its
// software: what is known of each order (Table), what a host may send to the release
// (Follower), and when the release is taken into use or back (Coordinator).
package rollout
