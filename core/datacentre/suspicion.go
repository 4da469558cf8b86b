package datacentre

import (
	"maps"
	"slices"
	"time"

	"lynxfold/core/host"
	"lynxfold/core/wire"
)

// noticePause finds that this process itself stood still: what it then takes
// for the silence of others may be its own, so it waits before it accuses.
func (me *Member) noticePause(now time.Time) {
	if !me.stepAt.IsZero() && now.Sub(me.stepAt) > pauseLimit {
		me.graceBy = now.Add(pauseGrace)
		for id := range me.lost {
			me.lost[id] = me.graceBy
		}
		for id := range me.suspects {
			me.hosts[id].suspectBy = me.graceBy
		}
	}
	me.stepAt = now
}

// mayAccuse tells whether this node watches a host: only hosts of the same data
// centre do, so that a partition between data centres kills nobody.
func (me *Member) mayAccuse(id host.ID) bool {
	re := me.hosts[id]
	return re != nil && id != me.cfg.Host && !me.leaving && re.centre() == me.cfg.DataCentre &&
		re.ho.GetStatus() == wire.Status_STATUS_ALIVE
}

// accuse spreads the suspicion that a host is dead.
func (me *Member) accuse(id host.ID, now time.Time) {
	delete(me.lost, id)
	if !me.mayAccuse(id) {
		return
	}
	re := me.put(withStatus(me.hosts[id].ho, wire.Status_STATUS_SUSPECT), now)
	re.accused = true
	me.suspect(re, now)
	me.tellMembers([]*wire.Host{re.ho}, "")
}

// suspect starts the time in which a host may refute.
func (me *Member) suspect(re *record, now time.Time) {
	by := now.Add(suspectFor)
	if by.Before(me.graceBy) {
		by = me.graceBy
	}
	re.suspectBy = by
	me.suspects[re.id] = true
	me.note(NoteHostSuspect, re.id, now)
}

// confirmSuspects takes hosts for dead that have not refuted in time. Every
// node does so by itself; a death is not spread, only its suspicion is.
func (me *Member) confirmSuspects(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(me.suspects)) {
		re := me.hosts[id]
		if now.Before(re.suspectBy) {
			continue
		}
		delete(me.suspects, id)
		me.note(NoteHostDead, id, now)
		if len(me.links) == 0 {
			re.doubted = true
			me.show(re)
			continue
		}
		me.put(withStatus(re.ho, wire.Status_STATUS_DEAD), now)
	}
}

// endIsolation takes back what this node concluded while it had no link at all:
// it was probably cut off itself.
func (me *Member) endIsolation(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(me.hosts)) {
		re := me.hosts[id]
		if re.doubted || re.accused {
			me.put(withStatus(re.ho, wire.Status_STATUS_ALIVE), now)
		}
	}
}

// accuseLost suspects hosts whose link did not come back.
func (me *Member) accuseLost(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(me.lost)) {
		if !now.Before(me.lost[id]) {
			me.accuse(id, now)
		}
	}
}
