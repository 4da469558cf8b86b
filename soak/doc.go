// Package soak injects random concurrent faults into a mesh of separate processes
// under load and checks invariants from outside. A seed determines the faults, their
// targets and their times, but not the order of events inside the processes.
package soak
