package testkit

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	upstreamstandin "lynxfold/io/upstream/standin"
)

// Bounds on the runs of a request that crashes the upstreams that run it.
const (
	// crashesToKnow is the number of upstreams that a request crashes before it counts as
	// the cause.
	crashesToKnow = 3
	// crashGrace is the time after the last of these crashes in which further runs don't
	// count.
	crashGrace = 3 * time.Second
	// maxCountedRuns bounds the runs after the grace.
	maxCountedRuns = 3
)

// CheckCrashingRequests checks for each path that crashed upstreams that it reached them
// in few more runs once it had crashed several. Requests with different bodies must have
// different paths. It returns the number of runs of such paths.
func (me *Mesh) CheckCrashingRequests(t testing.TB) int {
	t.Helper()
	return me.CheckCrashingRequestsSince(t, time.Time{})
}

// CheckCrashingRequestsSince is CheckCrashingRequests for the runs and crashes since a time.
func (me *Mesh) CheckCrashingRequestsSince(t testing.TB, since time.Time) int {
	t.Helper()
	all := 0
	for path, runs := range me.crashingRuns(since) {
		all += len(runs)
		crashes := slices.DeleteFunc(slices.Clone(runs), func(ru upstreamstandin.Run) bool { return ru.CrashedAt.IsZero() })
		t.Logf("%s: %d runs, %d crashes", path, len(runs), len(crashes))
		if len(crashes) < crashesToKnow {
			continue
		}
		slices.SortFunc(crashes, func(a, b upstreamstandin.Run) int { return a.CrashedAt.Compare(b.CrashedAt) })
		from := crashes[crashesToKnow-1].CrashedAt.Add(crashGrace)
		counted := 0
		history := ""
		slices.SortFunc(runs, func(a, b upstreamstandin.Run) int { return a.StartedAt.Compare(b.StartedAt) })
		for _, ru := range runs {
			history += "\n" + ru.StartedAt.Format(time.StampMilli)
			if ru.StartedAt.After(from) {
				counted++
				history += " counted"
			}
			if !ru.CrashedAt.IsZero() {
				history += ", crash after " + ru.CrashedAt.Sub(ru.StartedAt).Round(time.Millisecond).String()
			}
		}
		assert.Check(t, counted <= maxCountedRuns, "%s reached upstreams %d times later than %s after its third crash; %d crashes; runs:%s",
			path, counted, crashGrace, len(crashes), history)
	}
	return all
}

// crashingRuns returns the runs since a time of all paths that crashed an upstream.
func (me *Mesh) crashingRuns(since time.Time) map[string][]upstreamstandin.Run {
	runs := map[string][]upstreamstandin.Run{}
	crashing := map[string]bool{}
	for _, sv := range me.upstreams() {
		for _, ru := range sv.Ledger() {
			if ru.StartedAt.Before(since) {
				continue
			}
			runs[ru.Path] = append(runs[ru.Path], ru)
			crashing[ru.Path] = crashing[ru.Path] || !ru.CrashedAt.IsZero()
		}
	}
	for path := range runs {
		if !crashing[path] {
			delete(runs, path)
		}
	}
	return runs
}
