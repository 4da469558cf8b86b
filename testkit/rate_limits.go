package testkit

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	upstreamstandin "lynxfold/io/upstream/standin"
)

// Bounds on the requests that reach an upstream which states a rate limit.
const (
	// rateLimitWindow is the length of the sliding window in which requests count.
	rateLimitWindow = 4 * time.Second
	// rateLimitGrace is the time after the upstream first stated a limit in which
	// requests do not count.
	rateLimitGrace = 3 * time.Second
	// rateLimitFactor and rateLimitSlack, in requests, bound the excess over the limit.
	rateLimitFactor = 1.5
	rateLimitSlack  = 5
)

// CheckRateLimits checks for each period in which the upstream stated one rate limit
// that no more requests than allowed arrived in any window of it.
func CheckRateLimits(t testing.TB, sv *upstreamstandin.Server) {
	t.Helper()
	arrivals := sv.Arrivals()
	slices.SortFunc(arrivals, time.Time.Compare)
	for _, pe := range sv.RateLimits() {
		limit, err := strconv.ParseFloat(pe.Limit, 64)
		if err != nil {
			continue // not a limit that anybody could keep to
		}
		until := pe.Until
		if until.IsZero() {
			until = time.Now()
		}
		counted := arrivalsBetween(arrivals, pe.From.Add(rateLimitGrace), until)
		allowed := rateLimitFactor*limit*rateLimitWindow.Seconds() + rateLimitSlack
		most := busiestWindow(counted)
		assert.Check(t, float64(most) <= allowed, "%d requests in %s with a rate limit of %s per second; allowed %.0f",
			most, rateLimitWindow, pe.Limit, allowed)
	}
}

func arrivalsBetween(arrivals []time.Time, from, until time.Time) []time.Time {
	var between []time.Time
	for _, at := range arrivals {
		if !at.Before(from) && at.Before(until) {
			between = append(between, at)
		}
	}
	return between
}

// busiestWindow returns the highest number of arrivals in any window.
func busiestWindow(arrivals []time.Time) int {
	most, first := 0, 0
	for i, at := range arrivals {
		for at.Sub(arrivals[first]) > rateLimitWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}
