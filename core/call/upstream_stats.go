package call

import (
	"time"

	"lynxfold/core/datacentre"
	"lynxfold/core/host"
)

const (
	// latencyEWMADivisor is the inverse of the weight of a new sample in the moving
	// average of the latency.
	latencyEWMADivisor = 8
	// defaultLatency is assumed for an upstream without samples.
	defaultLatency = time.Millisecond
	// latencyDecay is the time without a sample over which an upstream's average
	// latency decays to that of its service.
	latencyDecay = 20 * time.Second
	// shedEWMADivisor is the inverse of the weight of a new sample in the moving average of
	// the share of attempts that an upstream turns away, shedDecay the time without one
	// turned away over which it decays, and maxShedShare its bound.
	shedEWMADivisor = 16
	shedDecay       = 5 * time.Second
	maxShedShare    = 0.9
	// slowStartDuration is the time in which the weight of a new incarnation, or of an
	// upstream after its ejection, grows to 1.
	slowStartDuration = 10 * time.Second
	// minSlowStartWeight is the weight at the beginning of the slow start.
	minSlowStartWeight = 0.1
	// avoidDrainingFor is how long an upstream is avoided after its gate refused an
	// attempt because it drains, and avoidRefusingFor if it was unavailable for another
	// reason.
	avoidDrainingFor = 5 * time.Second
	avoidRefusingFor = time.Second
	// ejectionBase and ejectionMax bound the duration of an ejection, which doubles
	// each time.
	ejectionBase = 5 * time.Second
	ejectionMax  = time.Minute
	// ejectAfterFailures is the number of consecutive failures that eject an upstream.
	ejectAfterFailures = 5
	// outlierLatencyFactor is the ratio to the latency of its service above which an
	// upstream is ejected.
	outlierLatencyFactor = 8
	// minOutlierSamples is the number of latency samples required to eject a slow one.
	minOutlierSamples = 20
)

// upstreamStats is what a node has observed of one upstream.
type upstreamStats struct {
	upstream    datacentre.Upstream
	outstanding int
	// latency is a moving average, last updated at latencyAt; 0 without samples.
	latency        time.Duration
	latencyAt      time.Time
	latencySamples int
	// active is the number of attempts in the slots and the queue of the gate at loadAt, and
	// sentSince how many this node has sent since.
	active    float64
	loadAt    time.Time
	sentSince int
	// loadLimited reports that attempts wait at the gate beside free slots.
	loadLimited bool
	// site is shared by the upstreams of the pool in the same data centre.
	site *siteLoad
	// serviceTime is the mean service time that the gate reported; 0 when unknown.
	serviceTime time.Duration
	// limitedUntil is when the upstream accepts another call, as its gate or it itself
	// said with the last refusal.
	limitedUntil time.Time
	// slowStartFrom is when a new incarnation was first seen or when an ejection
	// ends; zero if the weight is not reduced.
	slowStartFrom       time.Time
	consecutiveFailures int
	// shedShare is the moving average of the share of attempts that the upstream itself
	// turns away although its gate found a slot for them, last updated at shedAt.
	shedShare    float64
	shedAt       time.Time
	avoidedUntil time.Time
	ejectedUntil time.Time
	ejections    int
	// removed says that the upstream left the view while attempts were outstanding.
	removed bool
}

// update replaces the record of the upstream. A new incarnation resets the
// statistics.
func (us *upstreamStats) update(up datacentre.Upstream, now time.Time) {
	if up.Incarnation != us.upstream.Incarnation {
		*us = upstreamStats{
			outstanding:   us.outstanding,
			slowStartFrom: now,
		}
	}
	us.upstream = up
	us.removed = false
}

// slowStartWeight returns the probability that a sampled upstream is taken, from 0
// to 1.
func (us *upstreamStats) slowStartWeight(now time.Time) float64 {
	if us.slowStartFrom.IsZero() {
		return 1
	}
	share := now.Sub(us.slowStartFrom).Seconds() / slowStartDuration.Seconds()
	if share >= 1 {
		us.slowStartFrom = time.Time{}
		return 1
	}
	return max(minSlowStartWeight, share)
}

// decayedLatency returns the average latency. Without new samples it decays to the
// latency of the service, so that an upstream that was slow is tried again.
func (us *upstreamStats) decayedLatency(po *pool, now time.Time) time.Duration {
	serviceLatency := max(defaultLatency, po.latency)
	if us.latency == 0 {
		return serviceLatency
	}
	weight := 1 - now.Sub(us.latencyAt).Seconds()/latencyDecay.Seconds()
	return serviceLatency + time.Duration(float64(us.latency-serviceLatency)*max(0, weight))
}

// canServeWithin reports whether the upstream is not slow, and a call is expected to
// get a slot within maxWait.
func (us *upstreamStats) canServeWithin(po *pool, maxWait time.Duration, now time.Time) bool {
	latency := us.decayedLatency(po, now)
	if latency > slowLatencyFactor*max(defaultLatency, po.latency) {
		return false
	}
	if us.limitedUntil.Sub(now) > maxWait {
		return false
	}
	ep := us.expect(po, now)
	excess := ep.fill() - spilloverUtilisation
	return excess < 0 || excess*ep.runTime <= maxWait.Seconds()
}

// score returns the cost of sending an attempt to the upstream: lower is better.
func (us *upstreamStats) score(po *pool, now time.Time) float64 {
	limitWait := max(0, us.limitedUntil.Sub(now).Seconds())
	served := 1 - us.decayedShedShare(now)
	return limitWait + us.expect(po, now).cost()*float64(1+us.consecutiveFailures)/(served*served)
}

// decayedShedShare returns the share of attempts that the upstream turns away. Without new
// samples it decays to 0, so that the upstream is tried again.
func (us *upstreamStats) decayedShedShare(now time.Time) float64 {
	left := 1 - now.Sub(us.shedAt).Seconds()/shedDecay.Seconds()
	return min(maxShedShare, us.shedShare) * min(1, max(0, left))
}

// observeShed updates the share of attempts that the upstream turns away.
func (us *upstreamStats) observeShed(turnedAway bool, now time.Time) {
	sample := 0.0
	if turnedAway {
		sample = 1
		us.shedAt = now
	}
	us.shedShare += (sample - us.shedShare) / shedEWMADivisor
}

// avoidFor returns how long an upstream is avoided after its gate was unavailable.
func avoidFor(re host.Reason) time.Duration {
	if re == host.ReasonDraining {
		return avoidDrainingFor
	}
	return avoidRefusingFor
}

// isUpstreamFault reports whether a result is a failure of the upstream or of the
// path to it.
func isUpstreamFault(re Result) bool {
	if re.Outcome == OutcomeRan {
		return isRetryableStatus(re.Status)
	}
	switch re.Reason {
	case ReasonLinkDial, ReasonLinkLost, host.ReasonUpstreamConnect, host.ReasonUpstreamBroken, host.ReasonUpstreamCrashed,
		host.ReasonUpstreamTimeout, host.ReasonUpstreamTruncated:
		return true
	}
	return false
}

// observe updates the statistics with the result of an attempt.
func (us *upstreamStats) observe(ob Observation, now time.Time) {
	us.observeLoad(ob, now)
	us.limitedUntil = time.Time{}
	if ob.Result.RateLimited {
		us.limitedUntil = ob.Result.RetryAfter
	}
	if GateUnavailable(ob.Result) {
		us.avoidedUntil = now.Add(avoidFor(ob.Result.Reason))
		return
	}
	if ob.Result.Outcome == OutcomeRan || ob.Result.Reason == host.ReasonUpstreamRefused {
		us.observeShed(ob.Result.Outcome != OutcomeRan, now)
	}
	if isUpstreamFault(ob.Result) {
		us.consecutiveFailures++
		return
	}
	if ob.Result.Outcome != OutcomeRan {
		return
	}
	us.consecutiveFailures = 0
	if ob.Bulk || ob.Latency <= 0 {
		return
	}
	us.latencySamples++
	us.latencyAt = now
	if us.latency == 0 {
		us.latency = ob.Latency
		return
	}
	us.latency += (ob.Latency - us.latency) / latencyEWMADivisor
}

// isOutlier reports whether the upstream fails repeatedly or is far slower than
// its service.
func (us *upstreamStats) isOutlier(po *pool) bool {
	if us.consecutiveFailures >= ejectAfterFailures {
		return true
	}
	return us.latencySamples >= minOutlierSamples && us.latency > outlierLatencyFactor*po.latency
}

// eject excludes the upstream for a duration that doubles with each ejection.
func (us *upstreamStats) eject(now time.Time) {
	span := min(ejectionMax, ejectionBase<<min(us.ejections, 6))
	us.ejections++
	us.ejectedUntil = now.Add(span)
	us.slowStartFrom = us.ejectedUntil
	us.consecutiveFailures = 0
	us.latencySamples = 0
}
