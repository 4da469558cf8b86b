package call

import (
	"cmp"
	"slices"
	"time"

	"lynxfold/core/contract"
	"lynxfold/core/datacentre"
	"lynxfold/core/host"
)

const (
	// spilloverUtilisation is the utilisation of an upstream from which it counts as
	// full, and calls that can't wait spill over to the next data centre.
	spilloverUtilisation = 0.9
	// spilloverMinGain is by how much lower the utilisation of an upstream in a farther
	// data centre must be for calls to spill over to it if all are full or slow.
	spilloverMinGain = 0.15
	// slowLatencyFactor is the ratio to the latency of its service above which an
	// upstream is slow, and calls spill over to the next data centre.
	slowLatencyFactor = 3
	// maxTierRatio is the ratio of round-trip times up to which data centres count as
	// equally far, so that not all others spill over to the same one first.
	maxTierRatio = 1.25
	// defaultRTT is assumed for a data centre without a measured round-trip time.
	defaultRTT = 10 * time.Millisecond
	// maxEjectedShare bounds the share of a service's upstreams that are ejected.
	maxEjectedShare = 1.0 / 3
	// panicThreshold is the share of ejected upstreams and outliers above which all
	// ejections are lifted.
	panicThreshold = 1.0 / 2
)

// pool holds the upstreams of one service, ordered by the round-trip time to their
// data centres.
type pool struct {
	// firstUpstream and size identify the slice of the view that the pool was built
	// from.
	firstUpstream *datacentre.Upstream
	size          int
	upstreams     []*upstreamStats
	// tierEnds are the indexes in upstreams after the last upstream of each tier: the data
	// centres that are about equally far.
	tierEnds []int
	// latency is the moving average of the service's latency; 0 when unknown.
	latency time.Duration
}

// pool returns the pool of a service, rebuilt if the view has changed.
func (ch *Chooser) pool(name contract.ServiceName, all []datacentre.Upstream, now time.Time) *pool {
	po := ch.pools[name]
	if po != nil && po.firstUpstream == &all[0] && po.size == len(all) {
		return po
	}
	return ch.rebuildPool(name, all, now)
}

// rebuildPool orders the upstreams of a service anew; their statistics are kept.
func (ch *Chooser) rebuildPool(name contract.ServiceName, all []datacentre.Upstream, now time.Time) *pool {
	po := ch.pools[name]
	known := po != nil
	if !known {
		po = &pool{}
		ch.pools[name] = po
	}
	ch.removeAbsent(po, all)
	po.firstUpstream = &all[0]
	po.size = len(all)
	po.upstreams = po.upstreams[:0]
	for _, up := range all {
		po.upstreams = append(po.upstreams, ch.statsOf(up, known, now))
	}
	slices.SortStableFunc(po.upstreams, func(a, b *upstreamStats) int {
		return cmp.Or(
			cmp.Compare(ch.rtt(a.upstream.DataCentre), ch.rtt(b.upstream.DataCentre)),
			cmp.Compare(a.upstream.DataCentre, b.upstream.DataCentre),
		)
	})
	ch.markTiers(po)
	return po
}

// removeAbsent removes upstreams that left the view. The statistics of one with
// outstanding attempts are deleted when the last of these ends.
func (ch *Chooser) removeAbsent(po *pool, all []datacentre.Upstream) {
	present := make(map[host.ID]bool, len(all))
	for _, up := range all {
		present[up.Host] = true
	}
	for _, us := range po.upstreams {
		if present[us.upstream.Host] {
			continue
		}
		us.removed = true
		if us.outstanding == 0 {
			delete(ch.upstreams, us.upstream.Host)
		}
	}
}

// statsOf returns the statistics of an upstream. An upstream that joins a known
// service begins with a slow start.
func (ch *Chooser) statsOf(up datacentre.Upstream, known bool, now time.Time) *upstreamStats {
	us := ch.upstreams[up.Host]
	if us != nil {
		us.update(up, now)
		return us
	}
	us = &upstreamStats{upstream: up}
	if known {
		us.slowStartFrom = now
	}
	ch.upstreams[up.Host] = us
	return us
}

// rtt returns the round-trip time to a data centre. It is 0 only for the local one,
// which therefore comes first.
func (ch *Chooser) rtt(dc datacentre.Name) time.Duration {
	if dc == ch.cfg.DataCentre {
		return 0
	}
	if rtt, ok := ch.rtts[dc]; ok {
		return max(1, rtt)
	}
	return defaultRTT
}

// markTiers sets tierEnds and the sites of the upstreams.
func (ch *Chooser) markTiers(po *pool) {
	po.tierEnds = po.tierEnds[:0]
	si := &siteLoad{}
	nearest := ch.rtt(po.upstreams[0].upstream.DataCentre)
	for i, us := range po.upstreams {
		us.site = si
		if i == len(po.upstreams)-1 {
			po.tierEnds = append(po.tierEnds, i+1)
			break
		}
		next := po.upstreams[i+1].upstream.DataCentre
		if next == us.upstream.DataCentre {
			continue
		}
		si = &siteLoad{}
		if rtt := ch.rtt(next); float64(rtt) > maxTierRatio*float64(nearest) {
			po.tierEnds = append(po.tierEnds, i+1)
			nearest = rtt
		}
	}
}

// observe updates the moving average of the service's latency, which changes four
// times slower than that of an upstream.
func (po *pool) observe(ob Observation) {
	if ob.Result.Outcome != OutcomeRan || ob.Bulk || ob.Latency <= 0 {
		return
	}
	if po.latency == 0 {
		po.latency = ob.Latency
	}
	po.latency += (ob.Latency - po.latency) / (latencyEWMADivisor * 4)
}

// ejectIfOutlier ejects an upstream that is an outlier, unless too many are.
func (ch *Chooser) ejectIfOutlier(po *pool, us *upstreamStats, now time.Time) {
	if now.Before(us.ejectedUntil) || !us.isOutlier(po) {
		return
	}
	ejected, outliers := 0, 0
	for _, it := range po.upstreams {
		isEjected := now.Before(it.ejectedUntil)
		if isEjected {
			ejected++
		}
		if isEjected || it.isOutlier(po) {
			outliers++
		}
	}
	if float64(outliers) > panicThreshold*float64(len(po.upstreams)) {
		po.readmit()
		return
	}
	if float64(ejected+1) > maxEjectedShare*float64(len(po.upstreams)) {
		return
	}
	us.eject(now)
}

// readmit lifts all ejections: a failure of most upstreams has a cause outside of
// them.
func (po *pool) readmit() {
	for _, us := range po.upstreams {
		us.ejectedUntil = time.Time{}
	}
}
