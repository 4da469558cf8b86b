// Package testkit holds what tests of several packages share: fixed seeds, and
// meshes of real processes behind fault-injecting proxies.
package testkit

import (
	"flag"
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"
)

const (
	// fixedSeed makes randomised runs the same on every run.
	fixedSeed = 20261203
	// Sequences is how many sequences a randomised run makes in CI.
	Sequences = 2000
)

// long asks for a longer run with a new seed, which is printed.
var long = flag.Int("long", 0, "sequences of a longer randomised run with a new seed")

// FixRapid gives rapid a fixed seed and its number of sequences, unless the
// command line set them. Call it first in TestMain.
func FixRapid() {
	flag.Parse()
	seed, checks := fixedSeed, Sequences
	if *long > 0 {
		seed, checks = int(time.Now().UnixNano()>>10), *long
		fmt.Printf("randomised run: -rapid.seed=%d -rapid.checks=%d\n", seed, checks)
	}
	set := map[string]bool{}
	flag.Visit(func(fl *flag.Flag) { set[fl.Name] = true })
	for name, value := range map[string]string{
		"rapid.seed":       strconv.Itoa(seed),
		"rapid.checks":     strconv.Itoa(checks),
		"rapid.nofailfile": "true",
	} {
		if !set[name] {
			_ = flag.Set(name, value)
		}
	}
}

// Main runs a package's tests with fixed seeds.
func Main(m *testing.M) {
	FixRapid()
	os.Exit(m.Run())
}
