package testkit

import (
	"net/http"
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

// countedRequest reports whether a request counts against a rate limit.
type countedRequest func(ar upstreamstandin.Arrival) bool

// CheckRateLimits checks for each period in which an upstream stated one rate limit that
// no more requests than allowed arrived in any window of it, whatever host they came from.
func CheckRateLimits(t testing.TB, sv *upstreamstandin.Server) {
	t.Helper()
	for _, pe := range sv.RateLimits() {
		checkRateLimit(t, sv, pe, func(upstreamstandin.Arrival) bool { return true })
	}
}

// CheckRateLimits is like the function, for all upstreams of the mesh. A request counts if
// it came from a host that had told a caller of the limit for toldFor, and was not
// restarted since; calls holds the results of all calls.
func (me *Mesh) CheckRateLimits(calls []CallResult) {
	me.T.Helper()
	hosts := map[string]string{}
	for _, cr := range calls {
		hosts[cr.CallID] = cr.Host
	}
	for _, sv := range me.upstreams() {
		for _, pe := range sv.RateLimits() {
			told := me.toldTimes(sv, pe, calls)
			checkRateLimit(me.T, sv, pe, func(ar upstreamstandin.Arrival) bool {
				id := hosts[ar.Call]
				return id == "" || me.knewLimit(id, told[id], ar.At)
			})
		}
	}
}

// toldFor is the time after a host has passed on a response from which it acts on it.
const toldFor = 500 * time.Millisecond

// toldTimes returns when each host passed on a response of the upstream in a period.
func (me *Mesh) toldTimes(sv *upstreamstandin.Server, pe upstreamstandin.RateLimitPeriod, calls []CallResult) map[string][]time.Time {
	finished := map[string]time.Time{}
	for _, ru := range sv.Ledger() {
		finished[ru.Call] = ru.FinishedAt
	}
	told := map[string][]time.Time{}
	for _, cr := range calls {
		at := finished[cr.CallID]
		if cr.Status == http.StatusOK && at.After(pe.From) && (pe.Until.IsZero() || at.Before(pe.Until)) {
			told[cr.Host] = append(told[cr.Host], cr.AnsweredAt)
		}
	}
	return told
}

// knewLimit reports whether a host knew of a limit at a time, of which it told callers at
// the given times.
func (me *Mesh) knewLimit(id string, told []time.Time, at time.Time) bool {
	startedAt := time.Time{}
	for _, st := range me.Hosts[id].startTimes {
		if !st.After(at) {
			startedAt = st
		}
	}
	return slices.ContainsFunc(told, func(told time.Time) bool {
		return told.After(startedAt) && !told.Add(toldFor).After(at)
	})
}

func checkRateLimit(t testing.TB, sv *upstreamstandin.Server, pe upstreamstandin.RateLimitPeriod, counts countedRequest) {
	t.Helper()
	limit, err := strconv.ParseFloat(pe.Limit, 64)
	if err != nil {
		return // not a limit that anybody could keep to
	}
	until := pe.Until
	if until.IsZero() {
		until = time.Now()
	}
	var counted []time.Time
	for _, ar := range sv.Arrivals() {
		if !ar.At.Before(pe.From.Add(rateLimitGrace)) && ar.At.Before(until) && counts(ar) {
			counted = append(counted, ar.At)
		}
	}
	allowed := rateLimitFactor*limit*rateLimitWindow.Seconds() + rateLimitSlack
	most := busiestWindow(counted)
	assert.Check(t, float64(most) <= allowed, "%d requests in %s with a rate limit of %s per second; allowed %.0f",
		most, rateLimitWindow, pe.Limit, allowed)
}

// busiestWindow returns the highest number of arrivals, which are in order, in any window.
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
