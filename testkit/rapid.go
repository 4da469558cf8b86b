// Package testkit holds helpers shared by the tests of several packages: fixed
// seeds for property-based tests, and meshes of separate processes behind
// fault-injecting proxies.
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
	// fixedSeed makes randomised tests reproducible.
	fixedSeed = 20261203
	// ciChecks is the number of generated sequences per randomised test in CI.
	ciChecks = 2000
)

// longChecks requests a longer run with a new seed, which is printed.
var longChecks = flag.Int("long", 0, "number of sequences of a longer randomised run with a new seed")

// SetRapidFlags sets rapid's seed and number of checks, unless they are set on the
// command line. Call it first in TestMain.
func SetRapidFlags() {
	flag.Parse()
	seed, checks := fixedSeed, ciChecks
	if *longChecks > 0 {
		seed, checks = int(time.Now().UnixNano()>>10), *longChecks
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

// Main calls SetRapidFlags and runs a package's tests.
func Main(m *testing.M) {
	SetRapidFlags()
	os.Exit(m.Run())
}
