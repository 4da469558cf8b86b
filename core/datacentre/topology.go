package datacentre

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"lynxfold/core/host"
	"lynxfold/core/wire"
)

// chooseLinks decides which hosts this node keeps links to, when the hosts have changed.
func (me *Member) chooseLinks(now time.Time) {
	if !me.stale || now.Before(me.wantsAt) || me.leaving {
		return
	}
	me.stale = false
	me.wantsAt = now.Add(wantsEvery)
	me.wants = map[host.ID]bool{}
	me.wantNear()
	for _, name := range slices.Sorted(maps.Keys(me.centres)) {
		if name != me.cfg.DataCentre {
			me.wantFar(me.centres[name], now)
		}
	}
	for id := range me.wants {
		me.dialHost(id, now)
	}
	me.dropUnwanted()
}

// wantNear wants the next hosts on the own data centre's ring, and some at
// halving distances, which keep the number of hops low.
func (me *Member) wantNear() {
	ring := me.centre(me.cfg.DataCentre).hashes()
	self := slices.IndexFunc(ring, func(re *record) bool { return re.id == me.cfg.Host })
	if self < 0 {
		return
	}
	want := func(distance int) {
		if re := ring[(self+distance)%len(ring)]; re.id != me.cfg.Host {
			me.wants[re.id] = true
		}
	}
	for distance := 1; distance <= successors; distance++ {
		want(distance)
	}
	distance := len(ring) / 2
	for range fingers {
		want(distance)
		distance /= 2
	}
}

// wantFar wants a host of another data centre when this node is one of those
// that hold the links to it, chosen by rendezvous hashing over the live hosts.
func (me *Member) wantFar(ce *centre, now time.Time) {
	rc := me.reachOf(ce.name)
	rc.holders = me.rank(me.cfg.DataCentre, "links to "+string(ce.name), holdersPerCentre)
	if ce.alive == 0 || !slices.Contains(rc.holders, me.cfg.Host) {
		return
	}
	self := me.hosts[me.cfg.Host]
	best := slices.MaxFunc(ce.hashes(), func(a, b *record) int {
		return cmp.Or(
			-compareBool(me.avoided(a.id, now), me.avoided(b.id, now)),
			cmp.Compare(weight(self.hash, a.hash), weight(self.hash, b.hash)),
		)
	})
	me.wants[best.id] = true
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// avoided tells whether a host of another data centre did not answer lately.
func (me *Member) avoided(id host.ID, now time.Time) bool {
	return now.Before(me.avoid[id])
}

// dropUnwanted closes links that this node opened and no longer wants; the
// other end closes those that it opened.
func (me *Member) dropUnwanted() {
	for _, id := range me.peers() {
		pe := me.links[id]
		if !pe.dialed || pe.ended || me.wants[id] || !me.connected() {
			continue
		}
		pe.ended = true
		me.send(id, linkEndMessage(false, nil))
		me.do(CloseLink{Peer: id})
	}
}

// connected tells whether this node has links to most hosts that it wants.
func (me *Member) connected() bool {
	have := 0
	for id := range me.wants {
		if me.links[id] != nil {
			have++
		}
	}
	return have*2 > len(me.wants)
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
