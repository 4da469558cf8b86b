// Package host decides for one upstream's host: which calls its upstream runs,
// which wait in the queue, which are refused, and what became of each attempt.
package host
