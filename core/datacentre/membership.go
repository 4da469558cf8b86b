package datacentre

import (
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"lynxfold/core/host"
	"lynxfold/core/wire"
)

// handleLocalUpstream stores the state of this host's own upstream. A state that
// removes it from views is broadcast at once; other changes at most once per
// ownUpdateInterval, so that an upstream that changes all the time does not flood the
// mesh.
func (me *Member) handleLocalUpstream(ev LocalUpstream, now time.Time) {
	me.ownUpstream = &wire.Upstream{
		Service:     string(ev.Service),
		Slots:       uint32(ev.Slots),
		Connections: uint32(ev.Connections),
		State:       wire.UpstreamState(ev.State),
		Release:     string(ev.Release),
	}
	if ev.State != host.StateReady {
		me.ownUpstream.Instance = string(ev.Instance)
		me.ownUpstream.StartedUnixMs = startToWire(ev.StartedAt)
		me.ownUpdateAt = now
	}
	me.announceUpstream(now)
}

// announceUpstream broadcasts the state of the node's own upstream if it has changed
// and an update is due.
func (me *Member) announceUpstream(now time.Time) {
	up := me.ownUpstream
	known := me.self.GetUpstreams()
	if up == nil || now.Before(me.ownUpdateAt) || len(known) == 1 && proto.Equal(known[0], up) {
		return
	}
	me.ownUpdateAt = now.Add(ownUpdateInterval)
	me.updateSelf(now, func(ho *wire.Host) { ho.Upstreams = []*wire.Upstream{up} })
}

func (me *Member) handleLeave(now time.Time) {
	me.leaving = true
	me.updateSelf(now, func(ho *wire.Host) { ho.Status = wire.Status_STATUS_LEFT })
}

// updateSelf replaces the node's own record by a newer one and broadcasts it.
func (me *Member) updateSelf(now time.Time, change func(ho *wire.Host)) {
	ho := proto.CloneOf(me.self)
	ho.Sequence++
	change(ho)
	me.self = ho
	old := me.hosts[me.cfg.Host].host
	me.storeRecord(ho, now)
	me.forwardRecords([]recordUpdate{{record: ho, urgent: urgent(old, ho)}}, "")
}

// recordUpdate is a host record that replaces an older one.
type recordUpdate struct {
	record *wire.Host
	// urgent updates are forwarded at once instead of being batched: suspicions, their
	// refutations, hosts that died or left, and upstreams that are not ready.
	urgent bool
}

// urgent reports whether the change from one record to the next must be forwarded at
// once.
func urgent(old, ho *wire.Host) bool {
	if ho.GetStatus() != wire.Status_STATUS_ALIVE || old.GetStatus() == wire.Status_STATUS_SUSPECT {
		return true
	}
	return slices.ContainsFunc(ho.GetUpstreams(), func(up *wire.Upstream) bool {
		return up.GetState() != wire.UpstreamState_UPSTREAM_STATE_READY
	})
}

// merge stores the host records that are newer than the known ones and returns them.
func (me *Member) merge(hosts []*wire.Host, from host.ID, now time.Time) []recordUpdate {
	var updates []recordUpdate
	for _, ho := range hosts {
		id := host.ID(ho.GetId())
		switch {
		case id == "" || ho.GetDataCentre() == "" || ho.GetAddress() == "":
			me.note(NoteBadMessage, from, now)
		case id == me.cfg.Host:
			me.refute(ho, now)
		default:
			if ru, newer := me.mergeRecord(id, ho, now); newer {
				updates = append(updates, ru)
			} else if seen := me.outbox[id]; seen != nil {
				seen[from] = true
			}
		}
	}
	return updates
}

// mergeRecord stores a record if it is newer. A reported death of a host that is alive
// here is stored as a suspicion, so that the host can refute it.
func (me *Member) mergeRecord(id host.ID, ho *wire.Host, now time.Time) (recordUpdate, bool) {
	old := me.hosts[id]
	if old != nil && old.live() && ho.GetStatus() == wire.Status_STATUS_DEAD {
		ho = withStatus(ho, wire.Status_STATUS_SUSPECT)
	}
	if old != nil && !newer(ho, old.host) {
		return recordUpdate{}, false
	}
	wasLive := old != nil && old.live()
	var oldHost *wire.Host
	if old != nil {
		oldHost = old.host
	}
	re := me.storeRecord(ho, now)
	switch ho.GetStatus() {
	case wire.Status_STATUS_SUSPECT:
		me.startSuspicion(re, now)
	case wire.Status_STATUS_ALIVE:
		if !wasLive {
			me.note(NoteHostAlive, id, now)
		}
	case wire.Status_STATUS_DEAD:
		me.note(NoteHostDead, id, now)
	case wire.Status_STATUS_LEFT:
		me.note(NoteHostLeft, id, now)
	}
	return recordUpdate{record: ho, urgent: urgent(oldHost, ho)}, true
}

// refute answers a record of this host that did not come from this process, such as a
// suspicion, with a newer one. A record with a higher incarnation comes from an earlier
// process on this host whose clock was ahead: the node moves to an incarnation above it
// and tells its gate.
func (me *Member) refute(ho *wire.Host, now time.Time) {
	me.learnDepartures(ho, now)
	if me.leaving || !newer(ho, me.self) {
		return
	}
	if ho.GetIncarnation() > me.self.GetIncarnation() {
		in := ho.GetIncarnation() + 1
		me.emit(RaiseIncarnation{Incarnation: host.Incarnation(in)})
		me.note(NoteReincarnated, me.cfg.Host, now)
		me.updateSelf(now, func(self *wire.Host) {
			self.Incarnation = in
			self.Sequence = 0
		})
		return
	}
	me.note(NoteSuspicionRefuted, me.cfg.Host, now)
	me.updateSelf(now, func(self *wire.Host) { self.Sequence = ho.GetSequence() + 1 })
}

// forwardRecords forwards records to all linked peers except the sender: urgent ones
// at once, the others with the next tick and only to peers that have not sent them in
// the meantime.
func (me *Member) forwardRecords(updates []recordUpdate, from host.ID) {
	var urgentRecords []*wire.Host
	for _, ru := range updates {
		id := host.ID(ru.record.GetId())
		if ru.urgent {
			urgentRecords = append(urgentRecords, ru.record)
			delete(me.outbox, id)
			continue
		}
		me.outbox[id] = map[host.ID]bool{from: true}
	}
	if len(urgentRecords) > 0 {
		me.broadcastRecords(urgentRecords, from)
	}
}

// flushOutbox forwards the batched records.
func (me *Member) flushOutbox() {
	if len(me.outbox) == 0 {
		return
	}
	ids := slices.Sorted(maps.Keys(me.outbox))
	for _, peer := range me.peers() {
		var hosts []*wire.Host
		for _, id := range ids {
			if re := me.hosts[id]; re != nil && !me.outbox[id][peer] && id != peer {
				hosts = append(hosts, re.host)
			}
		}
		for chunk := range slices.Chunk(hosts, maxRecordsPerMessage) {
			me.send(peer, membersMessage(chunk))
		}
	}
	clear(me.outbox)
}

// broadcastRecords sends records to every linked peer except one.
func (me *Member) broadcastRecords(hosts []*wire.Host, except host.ID) {
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
