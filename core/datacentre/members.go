package datacentre

import (
	"time"

	"google.golang.org/protobuf/proto"

	"lynxfold/core/host"
	"lynxfold/core/wire"
)

func (me *Member) localUpstream(ev LocalUpstream, now time.Time) {
	up := &wire.Upstream{
		Service:     string(ev.Service),
		Slots:       uint32(ev.Slots),
		Connections: uint32(ev.Connections),
		State:       wire.UpstreamState(ev.State),
	}
	if len(me.self.GetUpstreams()) == 1 && proto.Equal(me.self.GetUpstreams()[0], up) {
		return
	}
	me.updateSelf(now, func(ho *wire.Host) { ho.Upstreams = []*wire.Upstream{up} })
}

func (me *Member) leave(now time.Time) {
	me.leaving = true
	me.updateSelf(now, func(ho *wire.Host) { ho.Status = wire.Status_STATUS_LEFT })
}

// updateSelf replaces the node's own record by a newer one and spreads it.
func (me *Member) updateSelf(now time.Time, change func(ho *wire.Host)) {
	ho := proto.CloneOf(me.self)
	ho.Sequence++
	change(ho)
	me.self = ho
	me.put(ho, now)
	me.tellMembers([]*wire.Host{ho}, "")
}

// merge takes in host records and returns the newer ones.
func (me *Member) merge(hosts []*wire.Host, from host.ID, now time.Time) []*wire.Host {
	var news []*wire.Host
	for _, ho := range hosts {
		id := host.ID(ho.GetId())
		switch {
		case id == "" || ho.GetDataCentre() == "" || ho.GetAddress() == "":
			me.note(NoteBadMessage, from, now)
		case id == me.cfg.Host:
			me.refute(ho, now)
		default:
			if up := me.mergeHost(id, ho, now); up != nil {
				news = append(news, up)
			}
		}
	}
	return news
}

// mergeHost stores a newer record and returns it. A death that this node has
// not found itself counts as a suspicion, so that a host that lives can refute.
func (me *Member) mergeHost(id host.ID, ho *wire.Host, now time.Time) *wire.Host {
	old := me.hosts[id]
	if old != nil && old.live() && ho.GetStatus() == wire.Status_STATUS_DEAD {
		ho = withStatus(ho, wire.Status_STATUS_SUSPECT)
	}
	if old != nil && !newer(ho, old.ho) {
		return nil
	}
	wasLive := old != nil && old.live()
	re := me.put(ho, now)
	switch ho.GetStatus() {
	case wire.Status_STATUS_SUSPECT:
		me.suspect(re, now)
	case wire.Status_STATUS_ALIVE:
		if !wasLive {
			me.note(NoteHostAlive, id, now)
		}
	case wire.Status_STATUS_DEAD:
		me.note(NoteHostDead, id, now)
	case wire.Status_STATUS_LEFT:
		me.note(NoteHostLeft, id, now)
	}
	return ho
}

// refute answers a false claim about this host with a newer record. A claim with
// a higher incarnation comes from an earlier process on this host whose clock
// was ahead: the host goes above it and tells its gate.
func (me *Member) refute(ho *wire.Host, now time.Time) {
	if me.leaving || !newer(ho, me.self) {
		return
	}
	if ho.GetIncarnation() > me.self.GetIncarnation() {
		in := ho.GetIncarnation() + 1
		me.do(Reincarnate{Incarnation: host.Incarnation(in)})
		me.note(NoteReincarnated, me.cfg.Host, now)
		me.updateSelf(now, func(self *wire.Host) {
			self.Incarnation = in
			self.Sequence = 0
		})
		return
	}
	me.note(NoteRefuted, me.cfg.Host, now)
	me.updateSelf(now, func(self *wire.Host) { self.Sequence = ho.GetSequence() + 1 })
}

// tellMembers passes records on to every linked peer but one.
func (me *Member) tellMembers(hosts []*wire.Host, except host.ID) {
	for _, id := range me.peers() {
		if id != except {
			me.send(id, membersMessage(hosts))
		}
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
