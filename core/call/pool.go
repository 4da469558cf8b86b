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
	// spillAbove is the utilisation of an upstream at which calls that can't wait go
	// on to the next data centre.
	spillAbove = 0.9
	// spillGain is how much less an upstream of a farther data centre must be used
	// when all are full.
	spillGain = 0.15
	// slowFactor is how many times slower than its service an upstream may be
	// before a farther one is looked at.
	slowFactor = 3
	// unknownDistance stands for the round trip to a data centre not yet measured.
	unknownDistance = 10 * time.Millisecond
	// ejectShare is the largest share of a service's upstreams that is ejected.
	ejectShare = 1.0 / 3
	// panicShare is the share of suspect upstreams at which all are used again.
	panicShare = 1.0 / 2
)

// pool is one service's upstreams, ordered by the distance of their data centres.
type pool struct {
	first *datacentre.Upstream
	size  int
	peers []*peer
	// ends are the places in peers where each data centre ends.
	ends    []int
	latency time.Duration
}

// pool returns a service's pool; it is built anew when the view has changed.
func (ch *Chooser) pool(name contract.ServiceName, all []datacentre.Upstream, now time.Time) *pool {
	po := ch.pools[name]
	if po != nil && po.first == &all[0] && po.size == len(all) {
		return po
	}
	return ch.rebuild(name, all, now)
}

// rebuild orders a service's upstreams and keeps what is known of them.
func (ch *Chooser) rebuild(name contract.ServiceName, all []datacentre.Upstream, now time.Time) *pool {
	po := ch.pools[name]
	known := po != nil
	if !known {
		po = &pool{}
		ch.pools[name] = po
	}
	ch.removeGone(po, all)
	po.first = &all[0]
	po.size = len(all)
	po.peers = po.peers[:0]
	for _, up := range all {
		po.peers = append(po.peers, ch.peer(up, known, now))
	}
	slices.SortStableFunc(po.peers, func(a, b *peer) int {
		return cmp.Or(
			cmp.Compare(ch.distance(a.upstream.DataCentre), ch.distance(b.upstream.DataCentre)),
			cmp.Compare(a.upstream.DataCentre, b.upstream.DataCentre),
		)
	})
	po.mark()
	return po
}

// removeGone forgets upstreams that left the view; those with attempts
// outstanding are forgotten when the last one ends.
func (ch *Chooser) removeGone(po *pool, all []datacentre.Upstream) {
	here := make(map[host.ID]bool, len(all))
	for _, up := range all {
		here[up.Host] = true
	}
	for _, pe := range po.peers {
		if here[pe.upstream.Host] {
			continue
		}
		pe.gone = true
		if pe.outstanding == 0 {
			delete(ch.peers, pe.upstream.Host)
		}
	}
}

// peer returns what is known of an upstream; one that joins a known service
// starts slowly.
func (ch *Chooser) peer(up datacentre.Upstream, known bool, now time.Time) *peer {
	pe := ch.peers[up.Host]
	if pe != nil {
		pe.renew(up, now)
		return pe
	}
	pe = &peer{upstream: up}
	if known {
		pe.warmFrom = now
	}
	ch.peers[up.Host] = pe
	return pe
}

func (ch *Chooser) distance(dc datacentre.Name) time.Duration {
	if dc == ch.cfg.DataCentre {
		return 0
	}
	if rtt, ok := ch.distances[dc]; ok {
		return max(1, rtt)
	}
	return unknownDistance
}

// mark notes where each data centre ends.
func (po *pool) mark() {
	po.ends = po.ends[:0]
	for i, pe := range po.peers {
		last := i == len(po.peers)-1
		if last || po.peers[i+1].upstream.DataCentre != pe.upstream.DataCentre {
			po.ends = append(po.ends, i+1)
		}
	}
}

// observe learns the service's latency.
func (po *pool) observe(ob Observation) {
	if ob.Result.Outcome != OutcomeRan || ob.Bulk || ob.Latency <= 0 {
		return
	}
	if po.latency == 0 {
		po.latency = ob.Latency
	}
	po.latency += (ob.Latency - po.latency) / (latencyWeight * 4)
}

// judge ejects an upstream that looks bad, unless too many do.
func (ch *Chooser) judge(po *pool, pe *peer, now time.Time) {
	if now.Before(pe.ejectedTo) || !pe.suspect(po) {
		return
	}
	ejected, suspect := 0, 0
	for _, it := range po.peers {
		out := now.Before(it.ejectedTo)
		if out {
			ejected++
		}
		if out || it.suspect(po) {
			suspect++
		}
	}
	if float64(suspect) > panicShare*float64(len(po.peers)) {
		po.readmit()
		return
	}
	if float64(ejected+1) > ejectShare*float64(len(po.peers)) {
		return
	}
	pe.eject(now)
}

// readmit uses all upstreams again: what most of them show is not their own fault.
func (po *pool) readmit() {
	for _, pe := range po.peers {
		pe.ejectedTo = time.Time{}
	}
}
