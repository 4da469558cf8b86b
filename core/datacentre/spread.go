package datacentre

import (
	"maps"
	"slices"
	"time"

	"lynxfold/core/contract"
	"lynxfold/core/host"
	"lynxfold/core/wire"
)

func (me *Member) received(ev Received, now time.Time) {
	switch ki := ev.Message.GetKind().(type) {
	case *wire.Control_Members:
		me.merge(ki.Members.GetHosts(), ev.Peer, now)
	case *wire.Control_Update:
		me.update(ki.Update, ev.Peer, now)
	case *wire.Control_Notice:
		me.compare(ev.Peer, ki.Notice.GetVersion())
	case *wire.Control_Pull:
		me.pulled(ev.Peer, contract.Version(ki.Pull.GetAfter()))
	case *wire.Control_Whole:
		me.whole(ki.Whole, ev.Peer, now)
	}
}

func (me *Member) update(up *wire.Update, from host.ID, now time.Time) {
	de, err := contract.ParseDelta(up.GetDelta())
	if err != nil {
		me.note(NoteVersionRefused, from, contract.Version(up.GetVersion()), err, now)
		return
	}
	me.offer(de, from, now)
}

// offer puts a delta in force when it fits, and asks for what is missing when it does not.
func (me *Member) offer(de *contract.Delta, from host.ID, now time.Time) {
	if de.Result <= me.config.Version {
		return
	}
	sn, err := de.Apply(me.config)
	if err != nil {
		me.note(NoteVersionRefused, from, de.Result, err, now)
		me.pull(from)
		return
	}
	me.keep(de)
	me.putInForce(sn, now)
	me.tellConfig(de, from)
}

func (me *Member) keep(de *contract.Delta) {
	me.kept = append(me.kept, de)
	if len(me.kept) > keptDeltas {
		me.kept = slices.Delete(me.kept, 0, len(me.kept)-keptDeltas)
	}
}

// putInForce is the only place that changes the configuration.
func (me *Member) putInForce(sn *contract.Snapshot, now time.Time) {
	if sn.Version <= me.config.Version || len(sn.CheckRoutes()) > 0 {
		me.note(NoteInvariant, "", sn.Version, nil, now)
		return
	}
	me.config = sn
	me.changed = true
	me.note(NoteVersionInForce, "", sn.Version, nil, now)
}

func (me *Member) tellConfig(de *contract.Delta, except host.ID) {
	for _, peer := range slices.Sorted(maps.Keys(me.links)) {
		if peer != except {
			me.do(Send{
				Peer:    peer,
				Message: updateMessage(de),
			})
		}
	}
}

func updateMessage(de *contract.Delta) *wire.Control {
	return &wire.Control{
		Kind: &wire.Control_Update{
			Update: &wire.Update{
				Version: uint64(de.Result),
				Delta:   de.Encode(),
			},
		},
	}
}

// compare asks a peer that is ahead for what is missing here.
func (me *Member) compare(peer host.ID, version uint64) {
	if contract.Version(version) > me.config.Version {
		me.pull(peer)
	}
}

func (me *Member) pull(peer host.ID) {
	if peer == "" {
		return
	}
	me.do(Send{
		Peer: peer,
		Message: &wire.Control{
			Kind: &wire.Control_Pull{
				Pull: &wire.Pull{
					After: uint64(me.config.Version),
				},
			},
		},
	})
}

// pulled answers with the kept deltas, or with the whole document when they do not reach back.
func (me *Member) pulled(peer host.ID, after contract.Version) {
	first := slices.IndexFunc(me.kept, func(de *contract.Delta) bool { return de.Base == after })
	if first < 0 {
		me.sendWhole(peer, after)
		return
	}
	for _, de := range me.kept[first:] {
		me.do(Send{
			Peer:    peer,
			Message: updateMessage(de),
		})
	}
}

func (me *Member) sendWhole(peer host.ID, after contract.Version) {
	if me.config.Version <= after {
		return
	}
	me.do(Send{
		Peer: peer,
		Message: &wire.Control{
			Kind: &wire.Control_Whole{
				Whole: &wire.Whole{
					Version:  uint64(me.config.Version),
					Digest:   string(me.config.Digest),
					Document: contract.Pack(me.config.Document),
				},
			},
		},
	})
}

func (me *Member) whole(wh *wire.Whole, from host.ID, now time.Time) {
	ve := contract.Version(wh.GetVersion())
	if ve <= me.config.Version {
		return
	}
	sn, err := contract.Unpack(ve, contract.Digest(wh.GetDigest()), wh.GetDocument())
	if err != nil {
		me.note(NoteVersionRefused, from, ve, err, now)
		return
	}
	me.replace(sn, now)
}

// replace puts a whole document in force and tells the neighbours that it is there.
func (me *Member) replace(sn *contract.Snapshot, now time.Time) {
	me.kept = nil
	me.putInForce(sn, now)
	for _, peer := range slices.Sorted(maps.Keys(me.links)) {
		me.do(Send{
			Peer: peer,
			Message: &wire.Control{
				Kind: &wire.Control_Notice{
					Notice: &wire.Notice{
						Version: uint64(sn.Version),
						Digest:  string(sn.Digest),
					},
				},
			},
		})
	}
}

func (me *Member) platformRead(ev PlatformRead, now time.Time) {
	me.reading = false
	every := time.Duration(float64(me.cfg.FleetSize) / me.cfg.ReadsPerSecond * float64(time.Second))
	me.readAt = now.Add(every/2 + time.Duration(me.cfg.Rand.Int64N(int64(every))))
	for _, ad := range ev.Contacts {
		me.contact(ad)
	}
	if ev.Whole != nil && ev.Whole.Version > me.config.Version {
		me.replace(ev.Whole, now)
	}
	for _, de := range ev.Deltas {
		me.offer(de, "", now)
	}
}
