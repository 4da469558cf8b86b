package rollout

import (
	"math"
	"time"

	"lynxfold/core/contract"
)

const (
	// baseBadRate is the share of bad responses that a good release may have above that of
	// the other releases: its upstreams are slower for some seconds after their start.
	baseBadRate = 0.12
	// badShare is the share of the otherwise good responses that a bad release spoils, at
	// least. It is below one half, so that a release that fails half of them is detected
	// early.
	badShare = 0.4
	// verdictThreshold is the log-likelihood ratio at which a release counts as bad. With
	// 6.9 the test exceeds it once in about 1,000 sequences of good responses at
	// baseBadRate.
	verdictThreshold = 6.9
	// maxComparable is the rate of bad responses of the other releases from which a
	// comparison says nothing.
	maxComparable = 0.8
	// baselineHalfLife weights the responses of the other releases by their age.
	baselineHalfLife = 2 * time.Second
	// troubleBadRate and troubleSlowdown are the rate of bad responses of the other
	// releases and the ratio of their latency to the usual one from which the service as
	// a whole is in trouble.
	troubleBadRate  = 0.15
	troubleSlowdown = 1.3
	// latencyHalfLife weights the latencies of the other releases by their age. It is
	// short, so that trouble is seen before the slow calls of the release that it causes.
	latencyHalfLife = 500 * time.Millisecond
	// baselinePrior is the number of good responses that the baseline of a route starts
	// with, so that a single failure does not hide a bad release.
	baselinePrior = 4
)

// verdict compares the responses of a release with those of the other releases, route by
// route, by Page's cumulative sum test: a sequential probability ratio test that starts
// over when the ratio favours the release, so that a fault that begins late is found as
// fast as one that is there from the start.
type verdict struct {
	routes map[contract.RouteName]*routeTest
	// total is the test over all routes, which finds a fault of all of them earlier.
	total routeTest
	// baseLatency and baseUsual are the durations of the attempts at the other releases,
	// and what is usual for them, in seconds and weighted by age.
	baseLatency, baseUsual float64
	comparedAt             time.Time
}

func newVerdict() verdict { return verdict{routes: map[contract.RouteName]*routeTest{}} }

// routeTest is the test of one route.
type routeTest struct {
	// ratio is the log-likelihood ratio of a bad release to a good one.
	ratio float64
	// baseGood and baseBad are the responses of the other releases, weighted by age.
	baseGood, baseBad float64
	// freshGood and freshBad are the responses of the release since the last comparison.
	freshGood, freshBad float64
	// good and bad are all responses of the release.
	good, bad float64
}

func (ve *verdict) route(name contract.RouteName) *routeTest {
	rt := ve.routes[name]
	if rt == nil {
		rt = &routeTest{}
		ve.routes[name] = rt
	}
	return rt
}

// add adds responses of the release, or of the others.
func (ve *verdict) add(name contract.RouteName, ofRelease bool, good, bad float64) {
	for _, rt := range []*routeTest{ve.route(name), &ve.total} {
		if ofRelease {
			rt.freshGood += good
			rt.freshBad += bad
			continue
		}
		rt.baseGood += good
		rt.baseBad += bad
	}
}

// Finding is the result of a comparison.
type Finding struct {
	// Bad says that the release is bad, on Route or, when it is empty, on all routes.
	Bad   bool
	Route contract.RouteName
	// Ratio is the largest log-likelihood ratio of all routes.
	Ratio float64
	// Responses and Failures count the responses of the release on the route, and those
	// that failed or were slow; BaselineRate is the rate of the others.
	Responses, Failures int
	BaselineRate        float64
}

// troubled reports whether the service as a whole is in trouble, as its other releases
// show: they fail often, or take longer than is usual.
func (ve *verdict) troubled() bool {
	rt := &ve.total
	return rt.baseBad > troubleBadRate*(rt.baseGood+rt.baseBad+baselinePrior) ||
		ve.baseLatency > troubleSlowdown*ve.baseUsual
}

// startOver forgets what the responses of the release have shown.
func (ve *verdict) startOver() {
	ve.total.startOver()
	for _, rt := range ve.routes {
		rt.startOver()
	}
}

func (rt *routeTest) startOver() {
	rt.freshGood, rt.freshBad = 0, 0
	rt.ratio = 0
}

// compare compares the responses since the last comparison, and returns the finding with
// the largest ratio.
func (ve *verdict) compare(now time.Time) Finding {
	decay, latencyDecay := 1.0, 1.0
	if !ve.comparedAt.IsZero() {
		decay = decayOver(now.Sub(ve.comparedAt), baselineHalfLife)
		latencyDecay = decayOver(now.Sub(ve.comparedAt), latencyHalfLife)
	}
	ve.comparedAt = now
	ve.baseLatency *= latencyDecay
	ve.baseUsual *= latencyDecay
	worst := ve.total.compare(decay)
	for name, rt := range ve.routes {
		fi := rt.compare(decay)
		if fi.Ratio > worst.Ratio {
			worst = fi
			worst.Route = name
		}
	}
	worst.Bad = worst.Ratio >= verdictThreshold
	return worst
}

func decayOver(span, halfLife time.Duration) float64 {
	return math.Exp2(-span.Seconds() / halfLife.Seconds())
}

// compare updates the ratio with the fresh responses.
func (rt *routeTest) compare(decay float64) Finding {
	base := rt.baseBad / (rt.baseGood + rt.baseBad + baselinePrior)
	if base < maxComparable {
		ifGood := base + baseBadRate*(1-base)
		ifBad := ifGood + badShare*(1-ifGood)
		rt.ratio += rt.freshBad*math.Log(ifBad/ifGood) + rt.freshGood*math.Log((1-ifBad)/(1-ifGood))
		rt.ratio = max(0, rt.ratio)
	}
	rt.good += rt.freshGood
	rt.bad += rt.freshBad
	rt.freshGood, rt.freshBad = 0, 0
	rt.baseGood *= decay
	rt.baseBad *= decay
	return Finding{
		Ratio:        rt.ratio,
		Responses:    int(rt.good + rt.bad),
		Failures:     int(rt.bad),
		BaselineRate: base,
	}
}
