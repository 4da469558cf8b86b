// Package soak plays random faults, several at a time, against a mesh of real
// processes while callers use it, and checks from outside what must hold at all
// times. A seed gives the faults, their targets and their times; the order of what
// happens inside the processes is their own.
package soak
