package datacentre

import (
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"lynxfold/core/host"
	"lynxfold/core/wire"
)

// localUpstream takes in the state of this host's own upstream. What takes it out
// of views is spread at once; all else at most once in ownEvery, so that an
// upstream that changes all the time does not flood the mesh.
func (me *Member) localUpstream(ev LocalUpstream, now time.Time) {
	me.upstream = &wire.Upstream{
		Service:     string(ev.Service),
		Slots:       uint32(ev.Slots),
		Connections: uint32(ev.Connections),
		State:       wire.UpstreamState(ev.State),
	}
	if ev.State != host.StateReady {
		me.ownAt = now
	}
	me.announceOwn(now)
}

// announceOwn spreads the state of the own upstream when it has changed and is due.
func (me *Member) announceOwn(now time.Time) {
	up := me.upstream
	known := me.self.GetUpstreams()
	if up == nil || now.Before(me.ownAt) || len(known) == 1 && proto.Equal(known[0], up) {
		return
	}
	me.ownAt = now.Add(ownEvery)
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
	old := me.hosts[me.cfg.Host].ho
	me.put(ho, now)
	me.passOn([]news{{record: ho, urgent: urgent(old, ho)}}, "")
}

// news is a record that is newer than what was known.
type news struct {
	record *wire.Host
	// urgent news take something out of views, or keep it in; they are not
	// collected before they are passed on.
	urgent bool
}

// urgent tells whether the step from one record to the next must not wait.
func urgent(old, ho *wire.Host) bool {
	if ho.GetStatus() != wire.Status_STATUS_ALIVE || old.GetStatus() == wire.Status_STATUS_SUSPECT {
		return true
	}
	return slices.ContainsFunc(ho.GetUpstreams(), func(up *wire.Upstream) bool {
		return up.GetState() != wire.UpstreamState_UPSTREAM_STATE_READY
	})
}

// merge takes in host records and returns the newer ones.
func (me *Member) merge(hosts []*wire.Host, from host.ID, now time.Time) []news {
	var fresh []news
	for _, ho := range hosts {
		id := host.ID(ho.GetId())
		switch {
		case id == "" || ho.GetDataCentre() == "" || ho.GetAddress() == "":
			me.note(NoteBadMessage, from, now)
		case id == me.cfg.Host:
			me.refute(ho, now)
		default:
			if nw, newer := me.mergeHost(id, ho, now); newer {
				fresh = append(fresh, nw)
			} else if seen := me.outbox[id]; seen != nil {
				seen[from] = true
			}
		}
	}
	return fresh
}

// mergeHost stores a newer record. A death that this node has
// not found itself counts as a suspicion, so that a host that lives can refute.
func (me *Member) mergeHost(id host.ID, ho *wire.Host, now time.Time) (news, bool) {
	old := me.hosts[id]
	if old != nil && old.live() && ho.GetStatus() == wire.Status_STATUS_DEAD {
		ho = withStatus(ho, wire.Status_STATUS_SUSPECT)
	}
	if old != nil && !newer(ho, old.ho) {
		return news{}, false
	}
	wasLive := old != nil && old.live()
	var was *wire.Host
	if old != nil {
		was = old.ho
	}
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
	return news{record: ho, urgent: urgent(was, ho)}, true
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

// passOn spreads news to the linked peers but the one they came from: urgent
// ones now, the others with the next tick and only to peers that have not sent
// them meanwhile.
func (me *Member) passOn(fresh []news, from host.ID) {
	var now []*wire.Host
	for _, nw := range fresh {
		id := host.ID(nw.record.GetId())
		if nw.urgent {
			now = append(now, nw.record)
			delete(me.outbox, id)
			continue
		}
		me.outbox[id] = map[host.ID]bool{from: true}
	}
	if len(now) > 0 {
		me.tellMembers(now, from)
	}
}

// flushOutbox spreads the collected news.
func (me *Member) flushOutbox() {
	if len(me.outbox) == 0 {
		return
	}
	ids := slices.Sorted(maps.Keys(me.outbox))
	for _, peer := range me.peers() {
		var hosts []*wire.Host
		for _, id := range ids {
			if re := me.hosts[id]; re != nil && !me.outbox[id][peer] && id != peer {
				hosts = append(hosts, re.ho)
			}
		}
		for piece := range slices.Chunk(hosts, pieceRecords) {
			me.send(peer, membersMessage(piece))
		}
	}
	clear(me.outbox)
}

// tellMembers sends records to every linked peer but one.
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
