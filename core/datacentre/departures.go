package datacentre

import (
	"time"

	"google.golang.org/protobuf/proto"

	"lynxfold/core/host"
	"lynxfold/core/wire"
)

// sendFormerRecord sends a host that has started again the record of its former process, if that
// says that the upstream has left. It comes before the Floor message, so that the host knows it
// once it has heard a neighbour. A node of an earlier release ignores it.
func (me *Member) sendFormerRecord(ho *wire.Host) {
	old := me.hosts[host.ID(ho.GetId())]
	if old == nil || old.host.GetIncarnation() >= ho.GetIncarnation() {
		return
	}
	for _, up := range old.host.GetUpstreams() {
		if hasLeft(up) {
			me.send(old.id, membersMessage([]*wire.Host{old.host}))
			return
		}
	}
}

func hasLeft(up *wire.Upstream) bool {
	return up.GetState() != wire.UpstreamState_UPSTREAM_STATE_READY && up.GetInstance() != ""
}

// learnDepartures takes from a record of this host's former process which upstream had left,
// tells the gate, and goes on telling the neighbours.
func (me *Member) learnDepartures(former *wire.Host, now time.Time) {
	if former.GetIncarnation() >= me.self.GetIncarnation() {
		return
	}
	for _, up := range former.GetUpstreams() {
		if !hasLeft(up) {
			continue
		}
		me.emit(LearnDeparture{
			Departure: host.Departure{
				Instance:  host.InstanceID(up.GetInstance()),
				StartedAt: startFromWire(up.GetStartedUnixMs()),
				At:        now,
			},
		})
		me.note(NoteDepartureLearnt, me.cfg.Host, now)
		if me.ownUpstream == nil {
			me.ownUpstream = proto.CloneOf(up)
			me.ownUpstream.State = wire.UpstreamState_UPSTREAM_STATE_GONE
			me.ownUpdateAt = now
			me.announceUpstream(now)
		}
	}
}

// heardNeighbours tells the gate, once, that it need not wait for neighbours any longer.
func (me *Member) heardNeighbours() {
	if !me.neighboursHeard {
		me.neighboursHeard = true
		me.emit(NeighboursHeard{})
	}
}

// startToWire returns a start time in Unix milliseconds; 0 when it is unknown.
func startToWire(at time.Time) int64 {
	if at.IsZero() {
		return 0
	}
	return at.UnixMilli()
}

func startFromWire(ms int64) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return time.UnixMilli(ms)
}
