// Package testkit holds what tests of several packages share: fixed seeds, and
// meshes of real processes behind fault-injecting proxies.
package testkit

import (
	"flag"
	"os"
	"strconv"
	"testing"
)

const (
	// fixedSeed makes randomised runs the same on every run.
	fixedSeed = 20261203
	// Sequences is how many sequences a randomised run makes in CI.
	Sequences = 2000
)

// FixRapid gives rapid a fixed seed and its number of sequences, unless the
// command line set them. Call it first in TestMain.
func FixRapid() {
	flag.Parse()
	set := map[string]bool{}
	flag.Visit(func(fl *flag.Flag) { set[fl.Name] = true })
	for name, value := range map[string]string{
		"rapid.seed":       strconv.Itoa(fixedSeed),
		"rapid.checks":     strconv.Itoa(Sequences),
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
