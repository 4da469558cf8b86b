package datacentre

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"lynxfold/core/host"
	"lynxfold/core/wire"
)

// selectLinks selects the hosts that this node keeps links to, after the set of live
// hosts or links has changed.
func (me *Member) selectLinks(now time.Time) {
	if !me.linksOutdated || now.Before(me.selectLinksAt) || me.leaving {
		return
	}
	me.linksOutdated = false
	me.selectLinksAt = now.Add(linkSelectionInterval)
	me.desiredLinks = map[host.ID]bool{}
	me.selectLocalLinks()
	for _, name := range slices.Sorted(maps.Keys(me.centres)) {
		if name != me.cfg.DataCentre {
			me.selectRemoteLink(me.centres[name], now)
		}
	}
	for id := range me.desiredLinks {
		me.dialHost(id, now)
	}
	me.closeUndesiredLinks()
}

// selectLocalLinks selects the next hosts on the ring of the node's own data centre,
// and some at halving distances, which keep the number of hops low.
func (me *Member) selectLocalLinks() {
	ring := me.centre(me.cfg.DataCentre).liveRing()
	self := slices.IndexFunc(ring, func(re *record) bool { return re.id == me.cfg.Host })
	if self < 0 {
		return
	}
	want := func(distance int) {
		if re := ring[(self+distance)%len(ring)]; re.id != me.cfg.Host {
			me.desiredLinks[re.id] = true
		}
	}
	for distance := 1; distance <= successorLinks; distance++ {
		want(distance)
	}
	distance := len(ring) / 2
	for range fingerLinks {
		want(distance)
		distance /= 2
	}
}

// selectRemoteLink selects a host of another data centre if this node is one of the
// border hosts to it, which are chosen by rendezvous hashing over the live hosts.
func (me *Member) selectRemoteLink(ce *centre, now time.Time) {
	rc := me.reachabilityOf(ce.name)
	rc.borderHosts = me.rendezvousHosts(me.cfg.DataCentre, "links to "+string(ce.name), borderHostsPerCentre)
	if ce.liveHosts == 0 || !slices.Contains(rc.borderHosts, me.cfg.Host) {
		return
	}
	self := me.hosts[me.cfg.Host]
	best := slices.MaxFunc(ce.liveRing(), func(a, b *record) int {
		return cmp.Or(
			-compareBool(me.avoided(a.id, now), me.avoided(b.id, now)),
			cmp.Compare(rendezvousWeight(self.hash, a.hash), rendezvousWeight(self.hash, b.hash)),
		)
	})
	me.desiredLinks[best.id] = true
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// avoided reports whether a recent dial of a host of another data centre failed.
func (me *Member) avoided(id host.ID, now time.Time) bool {
	return now.Before(me.avoidUntil[id])
}

// closeUndesiredLinks closes links that this node opened and no longer desires, while
// most desired links are established; the other end closes those that it opened.
func (me *Member) closeUndesiredLinks() {
	for _, id := range me.peers() {
		pe := me.links[id]
		if !pe.dialled || pe.closing || me.desiredLinks[id] || !me.hasMostDesiredLinks() {
			continue
		}
		pe.closing = true
		me.send(id, linkEndMessage(false, nil))
		me.emit(CloseLink{Peer: id})
	}
}

// hasMostDesiredLinks reports whether this node has links to more than half of the
// desired hosts.
func (me *Member) hasMostDesiredLinks() bool {
	have := 0
	for id := range me.desiredLinks {
		if me.links[id] != nil {
			have++
		}
	}
	return have*2 > len(me.desiredLinks)
}

func linkEndMessage(refused bool, addresses []string) *wire.Control {
	return &wire.Control{
		Kind: &wire.Control_LinkEnd{
			LinkEnd: &wire.LinkEnd{
				Refused:   refused,
				Addresses: addresses,
			},
		},
	}
}
