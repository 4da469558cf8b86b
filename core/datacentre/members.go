package datacentre

import (
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"lynxfold/core/host"
	"lynxfold/core/link"
	"lynxfold/core/wire"
)

func (me *Member) contact(address string) {
	if address == "" || address == me.cfg.Address || me.dials[address] != nil {
		return
	}
	me.dials[address] = &dial{
		backoff: link.Backoff{
			Base: me.cfg.DialBase,
			Cap:  me.cfg.DialCap,
		},
	}
}

// addressOf is where this node reaches another host.
func (me *Member) addressOf(ho *wire.Host) string {
	if ho.GetDataCentre() != string(me.cfg.DataCentre) && ho.GetRemoteAddress() != "" {
		return ho.GetRemoteAddress()
	}
	return ho.GetAddress()
}

func (me *Member) linkedTo(address string) bool {
	for id := range me.links {
		if ho := me.hosts[id]; ho != nil && me.addressOf(ho) == address {
			return true
		}
	}
	return false
}

func (me *Member) linkOpened(ev LinkOpened, now time.Time) {
	me.links[ev.Peer] = true
	if di := me.dials[me.addressOf(ev.Hello.GetHost())]; di != nil {
		di.pending = false
		di.backoff.Reset()
	}
	me.merge([]*wire.Host{ev.Hello.GetHost()}, ev.Peer, now)
	me.do(Send{
		Peer:    ev.Peer,
		Message: me.allMembers(),
	})
	me.compare(ev.Peer, ev.Hello.GetVersion())
}

func (me *Member) linkClosed(peer host.ID, now time.Time) {
	delete(me.links, peer)
	ho := me.hosts[peer]
	if ho == nil || ho.GetStatus() != wire.Status_STATUS_ALIVE {
		return
	}
	if di := me.dials[me.addressOf(ho)]; di != nil {
		di.pending = false
		di.at = di.backoff.Next(now, me.cfg.Rand)
	}
	dead := proto.CloneOf(ho)
	dead.Status = wire.Status_STATUS_DEAD
	me.hosts[peer] = dead
	me.changed = true
	me.note(NoteHostDead, peer, 0, nil, now)
	me.tellMembers([]*wire.Host{dead}, "")
}

func (me *Member) dialFailed(address string, now time.Time) {
	if di := me.dials[address]; di != nil {
		di.pending = false
		di.at = di.backoff.Next(now, me.cfg.Rand)
	}
}

func (me *Member) localUpstream(ev LocalUpstream) {
	up := &wire.Upstream{
		Service:     string(ev.Service),
		Slots:       uint32(ev.Slots),
		Connections: uint32(ev.Connections),
		State:       wire.UpstreamState(ev.State),
	}
	if len(me.self.GetUpstreams()) == 1 && proto.Equal(me.self.GetUpstreams()[0], up) {
		return
	}
	me.updateSelf(func(ho *wire.Host) { ho.Upstreams = []*wire.Upstream{up} })
}

func (me *Member) leave() {
	me.leaving = true
	me.updateSelf(func(ho *wire.Host) { ho.Status = wire.Status_STATUS_LEFT })
}

// updateSelf replaces the node's own record by a newer one and spreads it.
func (me *Member) updateSelf(change func(ho *wire.Host)) {
	ho := proto.CloneOf(me.self)
	change(ho)
	ho.Sequence++
	me.self = ho
	me.hosts[me.cfg.Host] = ho
	me.changed = true
	me.tellMembers([]*wire.Host{ho}, "")
}

// newer tells whether record a replaces record b of the same host.
func newer(a, b *wire.Host) bool {
	if a.GetIncarnation() != b.GetIncarnation() {
		return a.GetIncarnation() > b.GetIncarnation()
	}
	if a.GetSequence() != b.GetSequence() {
		return a.GetSequence() > b.GetSequence()
	}
	return a.GetStatus() > b.GetStatus()
}

// merge takes in host records and passes the newer ones on.
func (me *Member) merge(hosts []*wire.Host, from host.ID, now time.Time) {
	var news []*wire.Host
	for _, ho := range hosts {
		id := host.ID(ho.GetId())
		if id == me.cfg.Host {
			me.refute(ho)
			continue
		}
		old := me.hosts[id]
		if old != nil && !newer(ho, old) {
			continue
		}
		me.hosts[id] = ho
		me.changed = true
		news = append(news, ho)
		me.contact(me.addressOf(ho))
		me.noteStatus(id, ho, now)
	}
	if len(news) > 0 {
		me.tellMembers(news, from)
	}
}

func (me *Member) noteStatus(id host.ID, ho *wire.Host, now time.Time) {
	switch ho.GetStatus() {
	case wire.Status_STATUS_ALIVE:
		me.note(NoteHostAlive, id, 0, nil, now)
	case wire.Status_STATUS_DEAD:
		me.note(NoteHostDead, id, 0, nil, now)
	case wire.Status_STATUS_LEFT:
		me.note(NoteHostLeft, id, 0, nil, now)
	case wire.Status_STATUS_SUSPECT:
	}
}

// refute answers a false claim about this host with a newer record.
func (me *Member) refute(ho *wire.Host) {
	if me.leaving || !newer(ho, me.self) {
		return
	}
	me.updateSelf(func(self *wire.Host) { self.Sequence = max(self.Sequence, ho.GetSequence()) })
}

func (me *Member) allMembers() *wire.Control {
	hosts := make([]*wire.Host, 0, len(me.hosts))
	for _, id := range slices.Sorted(maps.Keys(me.hosts)) {
		hosts = append(hosts, me.hosts[id])
	}
	return membersMessage(hosts)
}

func (me *Member) tellMembers(hosts []*wire.Host, except host.ID) {
	for _, peer := range slices.Sorted(maps.Keys(me.links)) {
		if peer == except {
			continue
		}
		me.do(Send{
			Peer:    peer,
			Message: membersMessage(hosts),
		})
	}
}

func membersMessage(hosts []*wire.Host) *wire.Control {
	return &wire.Control{
		Kind: &wire.Control_Members{
			Members: &wire.Members{
				Hosts: hosts,
			},
		},
	}
}
