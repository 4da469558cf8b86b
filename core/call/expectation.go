package call

import (
	"math"
	"slices"
	"time"

	"lynxfold/core/contract"
	"lynxfold/core/datacentre"
	"lynxfold/core/host"
)

const (
	// siteRefreshPeriod is how long the mean of a site is used before it is computed anew.
	siteRefreshPeriod = 20 * time.Millisecond
	// siteWindow is the age at which a report has the weight 1/e in the mean of its site.
	siteWindow = time.Second
	// minSiteReports is the weight of reports below which the rest of a site is taken to be
	// idle, so that a site that was full is tried again.
	minSiteReports = 1.0
	// relaxationTimes is the time constant with which a report loses its weight, in service
	// times. After one, most of what the gate reported has ended; the load of an upstream
	// that is slower than the others changes more slowly.
	relaxationTimes = 2.0
	// fullDeviations is by how many standard deviations the expected load of an upstream
	// must be below its slots for a free one to be likely enough.
	fullDeviations = 0.5
	// minRelativeVariance bounds the variance of a load of which nothing is known, as a
	// share of the slots.
	minRelativeVariance = 0.1
	// maxReportedFill bounds a load report, and maxSiteFill its part in the mean of a site, so
	// that an absurd one does not make a whole site look full.
	maxReportedFill = 6
	maxSiteFill     = 1.5
	// maxServiceTimeRatio bounds the service time that a gate reports, relative to the
	// latency of the service as this node measures it.
	maxServiceTimeRatio = 8
)

// siteLoad is the expected utilisation of the upstreams of one service in one data
// centre.
type siteLoad struct {
	mean      float64
	updatedAt time.Time
}

// siteMean returns the expected utilisation of the upstreams in the data centre of one.
func (po *pool) siteMean(us *upstreamStats, now time.Time) float64 {
	si := us.site
	if si == nil {
		return 0
	}
	if age := now.Sub(si.updatedAt); age >= 0 && age < siteRefreshPeriod {
		return si.mean
	}
	sum, weights := 0.0, 0.0
	for _, it := range po.upstreams {
		// A rate limit says nothing about the load of the others.
		if it.site != si || it.loadAt.IsZero() || it.loadLimited || now.Before(it.limitedUntil) {
			continue
		}
		we := math.Exp(-now.Sub(it.loadAt).Seconds() / siteWindow.Seconds())
		sum += we * min(it.active/it.slots(), maxSiteFill)
		weights += we
	}
	si.mean = sum / max(weights, minSiteReports)
	si.updatedAt = now
	return si.mean
}

func (us *upstreamStats) slots() float64 { return float64(max(1, us.upstream.Slots)) }

// expectation is what is expected of the load of an upstream.
type expectation struct {
	// active is the number of attempts in the slots and the queue of the upstream, and
	// deviation its standard deviation.
	active, deviation float64
	slots             float64
	// runTime is the service time in seconds.
	runTime float64
	limited bool
}

// expect returns what is expected of the upstream. What the gate reported is exact at its
// time. From then on, the attempts in it end and those of other nodes arrive, so that the
// load tends to the mean of the site; this node's attempts since are known.
func (us *upstreamStats) expect(po *pool, now time.Time) expectation {
	slots := us.slots()
	run := us.runTime(po, now).Seconds()
	mean := po.siteMean(us, now) * slots
	weight := 0.0
	if !us.loadAt.IsZero() {
		weight = math.Exp(-now.Sub(us.loadAt).Seconds() / (relaxationTimes * run))
	}
	own := float64(us.outstanding)
	active := mean + (us.active-mean)*weight + min(float64(us.sentSince), own)
	return expectation{
		active:    max(active, own),
		deviation: math.Sqrt((1 - weight*weight) * max(mean, minRelativeVariance*slots)),
		slots:     slots,
		runTime:   run,
		limited:   now.Before(us.limitedUntil),
	}
}

// runTime returns the expected service time of the upstream.
func (us *upstreamStats) runTime(po *pool, now time.Time) time.Duration {
	if us.serviceTime <= 0 {
		return us.decayedLatency(po, now)
	}
	usual := max(defaultLatency, po.latency)
	return min(max(us.serviceTime, usual/maxServiceTimeRatio), usual*maxServiceTimeRatio)
}

// fill returns the expected number of attempts at the upstream relative to its slots.
func (ep expectation) fill() float64 {
	fill := ep.active / ep.slots
	if ep.limited {
		return max(fill, 1)
	}
	return fill
}

// wait returns the expected time in seconds until an attempt that is sent now gets a slot.
func (ep expectation) wait() float64 {
	over := ep.active + 1 - ep.slots
	// Approximates the mean of the positive part of a normal variable.
	const spread = 0.64
	over = (over + math.Sqrt(over*over+spread*ep.deviation*ep.deviation)) / 2
	return over / ep.slots * ep.runTime
}

// cost returns the expected time to an answer by which upstreams are compared. The wait
// makes slots that are free now preferred, and the rest spreads the attempts by speed while
// there are enough of them.
func (ep expectation) cost() float64 {
	return ep.wait() + (ep.fill()+1/ep.slots)*ep.runTime
}

// Expectation is what a node expects of an upstream.
type Expectation struct {
	// Fill is the number of attempts relative to the slots, and Wait the time until a new
	// attempt gets a slot.
	Fill    float64
	Wait    time.Duration
	RunTime time.Duration
	// ReportAge is the age of the last load report; negative if there is none.
	ReportAge time.Duration
}

// Expectation returns what is expected of an upstream, and whether it is known.
func (ch *Chooser) Expectation(up datacentre.Upstream, now time.Time) (Expectation, bool) {
	us, po := ch.upstreams[up.Host], ch.pools[up.Service]
	if us == nil || po == nil {
		return Expectation{}, false
	}
	ep := us.expect(po, now)
	ex := Expectation{
		Fill:      ep.fill(),
		Wait:      time.Duration(ep.wait() * float64(time.Second)),
		RunTime:   time.Duration(ep.runTime * float64(time.Second)),
		ReportAge: -1,
	}
	if !us.loadAt.IsZero() {
		ex.ReportAge = now.Sub(us.loadAt)
	}
	return ex, true
}

// Spread returns the ratio of the highest to the mean expected utilisation of a service's
// upstreams in the nearest data centre, 1 if they are idle or unknown.
func (ch *Chooser) Spread(name contract.ServiceName, now time.Time) float64 {
	po := ch.pools[name]
	if po == nil || len(po.upstreams) == 0 {
		return 1
	}
	highest, sum, count := 0.0, 0.0, 0
	for _, us := range po.upstreams {
		if us.site != po.upstreams[0].site {
			break
		}
		fill := us.expect(po, now).fill()
		highest = max(highest, fill)
		sum += fill
		count++
	}
	if sum == 0 {
		return 1
	}
	return highest * float64(count) / sum
}

// observeLoad takes over the load that a reply reports.
func (us *upstreamStats) observeLoad(ob Observation, now time.Time) {
	if !ob.HasLoad && !ob.HasDetail {
		return
	}
	us.active = min(float64(ob.LoadPermille)/1000, maxReportedFill) * us.slots()
	us.loadAt = now
	us.sentSince = 0
	us.loadLimited = ob.HasDetail && ob.Load.Wait > 0 && ob.Load.Running < int(ob.Load.Slots)
	if !ob.HasDetail {
		return
	}
	us.active = float64(ob.Load.Running + ob.Load.Queued)
	if wait := ob.Load.Wait; ob.Load.Queued == 0 && wait > 0 {
		// The rate limit makes attempts wait beside free slots.
		us.active = max(us.active, float64(ob.LoadPermille)/1000*us.slots())
	}
	us.active = min(max(us.active, 0), maxReportedFill*us.slots())
	us.serviceTime = ob.Load.ServiceTime
}

// hasCapacity reports whether the upstream is usable and not known to be full.
func (us *upstreamStats) hasCapacity(po *pool, tried []host.ID, now time.Time) bool {
	if !us.isUsable(tried, now) || now.Before(us.limitedUntil) {
		return false
	}
	ep := us.expect(po, now)
	full := spilloverUtilisation * ep.slots
	return float64(us.outstanding) < full && ep.active-fullDeviations*ep.deviation < full
}

// isUsable reports whether the upstream is neither avoided nor ejected nor tried yet.
func (us *upstreamStats) isUsable(tried []host.ID, now time.Time) bool {
	return !now.Before(us.avoidedUntil) && !now.Before(us.ejectedUntil) && !slices.Contains(tried, us.upstream.Host)
}
