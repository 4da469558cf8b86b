package datacentre

import (
	"maps"
	"slices"
	"time"

	"lynxfold/core/host"
	"lynxfold/core/wire"
)

// detectPause detects that this process itself was paused. Peers may then seem silent
// only because of the pause, so running timeouts are extended by a grace period.
func (me *Member) detectPause(now time.Time) {
	if !me.lastStepAt.IsZero() && now.Sub(me.lastStepAt) > pauseThreshold {
		me.graceUntil = now.Add(pauseGrace)
		for id := range me.redialDeadlines {
			me.redialDeadlines[id] = me.graceUntil
		}
		for id := range me.suspects {
			me.hosts[id].suspicionDeadline = me.graceUntil
		}
	}
	me.lastStepAt = now
}

// canSuspect reports whether this node may raise a suspicion about a host. The host must
// be in the same data centre, so that a partition between data centres declares no host
// dead, and not be suspected already.
func (me *Member) canSuspect(id host.ID) bool {
	re := me.hosts[id]
	return re != nil && id != me.cfg.Host && !me.leaving && re.centre() == me.cfg.DataCentre &&
		re.host.GetStatus() == wire.Status_STATUS_ALIVE
}

// raiseSuspicion marks a host as suspect and broadcasts this.
func (me *Member) raiseSuspicion(id host.ID, now time.Time) {
	delete(me.redialDeadlines, id)
	if !me.canSuspect(id) {
		return
	}
	re := me.storeRecord(withStatus(me.hosts[id].host, wire.Status_STATUS_SUSPECT), now)
	re.suspectedHere = true
	me.startSuspicion(re, now)
	me.broadcastRecords([]*wire.Host{re.host}, "")
}

// startSuspicion starts the timeout within which a host may refute.
func (me *Member) startSuspicion(re *record, now time.Time) {
	deadline := now.Add(suspicionTimeout)
	if deadline.Before(me.graceUntil) {
		deadline = me.graceUntil
	}
	re.suspicionDeadline = deadline
	me.suspects[re.id] = true
	me.note(NoteHostSuspect, re.id, now)
}

// confirmDeaths declares hosts dead whose suspicion timed out. Every node does so by
// itself; only suspicions are broadcast, not deaths.
func (me *Member) confirmDeaths(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(me.suspects)) {
		re := me.hosts[id]
		if now.Before(re.suspicionDeadline) {
			continue
		}
		delete(me.suspects, id)
		me.note(NoteHostDead, id, now)
		if len(me.links) == 0 {
			re.unconfirmedDead = true
			me.updateView(re)
			continue
		}
		me.storeRecord(withStatus(re.host, wire.Status_STATUS_DEAD), now)
	}
}

// endIsolation reverts the suspicions and deaths concluded while this node had no link
// at all: it was probably cut off itself.
func (me *Member) endIsolation(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(me.hosts)) {
		re := me.hosts[id]
		if re.unconfirmedDead || re.suspectedHere {
			me.storeRecord(withStatus(re.host, wire.Status_STATUS_ALIVE), now)
		}
	}
}

// suspectLostHosts raises suspicion about hosts whose link was not re-established in
// time.
func (me *Member) suspectLostHosts(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(me.redialDeadlines)) {
		if !now.Before(me.redialDeadlines[id]) {
			me.raiseSuspicion(id, now)
		}
	}
}
