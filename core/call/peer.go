package call

import (
	"slices"
	"time"

	"lynxfold/core/datacentre"
	"lynxfold/core/host"
)

const (
	// latencyWeight is the share of the latest latency, as one in this many.
	latencyWeight = 8
	// firstLatency stands for the latency of an upstream not yet seen.
	firstLatency = time.Millisecond
	// loadAge is how long a gate's load counts; it fades over that time.
	loadAge = 2 * time.Second
	// latencyAge is how long an average latency counts without a new sample.
	latencyAge = 20 * time.Second
	// slowStart is how long a new incarnation takes to get its full share.
	slowStart = 10 * time.Second
	// slowStartFloor is the share that a new incarnation begins with.
	slowStartFloor = 0.1
	// drainingFor is how long an upstream is avoided whose gate drains, and
	// unreadyFor one whose gate refused for another reason of its own.
	drainingFor = 5 * time.Second
	unreadyFor  = time.Second
	// ejectBase and ejectCap bound how long an upstream is ejected.
	ejectBase = 5 * time.Second
	ejectCap  = time.Minute
	// ejectAfter is the number of failures in a row that ejects an upstream.
	ejectAfter = 5
	// outlierFactor ejects an upstream that is this many times slower than its service.
	outlierFactor = 8
	// outlierSamples is the number of latencies needed to call an upstream slow.
	outlierSamples = 20
)

// peer is what a node has seen of one upstream.
type peer struct {
	upstream    datacentre.Upstream
	outstanding int
	latency     time.Duration
	latencyAt   time.Time
	samples     int
	load        float64
	loadAt      time.Time
	// warmFrom is when a new incarnation was first seen, or when an ejection ends;
	// zero when the upstream was there from the beginning.
	warmFrom  time.Time
	failures  int
	avoidedTo time.Time
	ejectedTo time.Time
	ejections int
	// gone upstreams left the view with attempts outstanding.
	gone bool
}

// renew takes a newer record of the upstream; a new incarnation starts afresh.
func (pe *peer) renew(up datacentre.Upstream, now time.Time) {
	if up.Incarnation != pe.upstream.Incarnation {
		*pe = peer{
			outstanding: pe.outstanding,
			warmFrom:    now,
		}
	}
	pe.upstream = up
	pe.gone = false
}

// usable tells whether the upstream may be picked.
func (pe *peer) usable(tried []host.ID, now time.Time) bool {
	return !now.Before(pe.avoidedTo) && !now.Before(pe.ejectedTo) && !slices.Contains(tried, pe.upstream.Host)
}

// spare tells whether the upstream may be picked and is not known to be full.
func (pe *peer) spare(tried []host.ID, now time.Time) bool {
	return pe.usable(tried, now) && pe.utilisation(now) < spillAbove
}

// weight is the share of picks that the upstream takes, from 0 to 1.
func (pe *peer) weight(now time.Time) float64 {
	if pe.warmFrom.IsZero() {
		return 1
	}
	share := now.Sub(pe.warmFrom).Seconds() / slowStart.Seconds()
	if share >= 1 {
		pe.warmFrom = time.Time{}
		return 1
	}
	return max(slowStartFloor, share)
}

// agedLoad is the gate's last load, faded by its age.
func (pe *peer) agedLoad(now time.Time) float64 {
	left := 1 - now.Sub(pe.loadAt).Seconds()/loadAge.Seconds()
	return pe.load * min(1, max(0, left))
}

// agedLatency is the average latency, which nears its service's with its age, so
// that an upstream that was slow is tried again.
func (pe *peer) agedLatency(po *pool, now time.Time) time.Duration {
	usual := max(firstLatency, po.latency)
	if pe.latency == 0 {
		return usual
	}
	fresh := 1 - now.Sub(pe.latencyAt).Seconds()/latencyAge.Seconds()
	return usual + time.Duration(float64(pe.latency-usual)*max(0, fresh))
}

// utilisation is the share of the slots in use: by the own calls, or by all as
// the gate said, if that is more.
func (pe *peer) utilisation(now time.Time) float64 {
	own := float64(pe.outstanding) / float64(max(1, pe.upstream.Slots))
	return max(own, pe.agedLoad(now))
}

// roomy tells whether a call that may wait for so long is well served here.
func (pe *peer) roomy(po *pool, patience time.Duration, now time.Time) bool {
	latency := pe.agedLatency(po, now)
	if latency > slowFactor*max(firstLatency, po.latency) {
		return false
	}
	over := pe.utilisation(now) - spillAbove
	return over < 0 || time.Duration(over*float64(latency)) <= patience
}

// score is lower for the better upstream.
func (pe *peer) score(po *pool, now time.Time) float64 {
	slots := float64(max(1, pe.upstream.Slots))
	return (pe.utilisation(now) + 1/slots) * pe.agedLatency(po, now).Seconds() * float64(1+pe.failures)
}

// avoidFor is how long an upstream is avoided after a refusal.
func avoidFor(re host.Reason) time.Duration {
	if re == host.ReasonDraining {
		return drainingFor
	}
	return unreadyFor
}

// faulty tells whether a result speaks against the upstream itself.
func faulty(re Result) bool {
	if re.Outcome == OutcomeRan {
		return retryable(re.Status)
	}
	switch re.Reason {
	case ReasonLinkDial, ReasonLinkLost, host.ReasonUpstreamConnect, host.ReasonUpstreamBroken,
		host.ReasonUpstreamTimeout, host.ReasonUpstreamTruncated:
		return true
	}
	return false
}

// observe learns from an attempt.
func (pe *peer) observe(ob Observation, now time.Time) {
	if ob.HasLoad {
		pe.load = float64(ob.LoadPermille) / 1000
		pe.loadAt = now
	}
	if Moved(ob.Result) {
		pe.avoidedTo = now.Add(avoidFor(ob.Result.Reason))
		return
	}
	if faulty(ob.Result) {
		pe.failures++
		return
	}
	if ob.Result.Outcome != OutcomeRan {
		return
	}
	pe.failures = 0
	if ob.Bulk || ob.Latency <= 0 {
		return
	}
	pe.samples++
	pe.latencyAt = now
	if pe.latency == 0 {
		pe.latency = ob.Latency
		return
	}
	pe.latency += (ob.Latency - pe.latency) / latencyWeight
}

// suspect tells whether the upstream looks bad beside its service.
func (pe *peer) suspect(po *pool) bool {
	if pe.failures >= ejectAfter {
		return true
	}
	return pe.samples >= outlierSamples && pe.latency > outlierFactor*po.latency
}

// eject keeps the upstream out for a time that grows with each ejection.
func (pe *peer) eject(now time.Time) {
	span := min(ejectCap, ejectBase<<min(pe.ejections, 6))
	pe.ejections++
	pe.ejectedTo = now.Add(span)
	pe.warmFrom = pe.ejectedTo
	pe.failures = 0
	pe.samples = 0
}
