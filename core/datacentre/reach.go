package datacentre

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"lynxfold/core/host"
	"lynxfold/core/wire"
)

// reach is what the own data centre knows of its links to another one.
type reach struct {
	holders    []host.ID
	statements map[host.ID]statement
	// lostAt is since when this node, as a holder, has no link; zero while it has one.
	lostAt time.Time
	saidAt time.Time
}

// statement is what one holder said last.
type statement struct {
	reached  bool
	sequence uint64
	lapse    time.Time
}

// rank returns the live hosts of a data centre with the highest weights for a purpose.
func (me *Member) rank(name Name, purpose string, count int) []host.ID {
	key := xxhash.Sum64String(purpose)
	ring := slices.Clone(me.centre(name).hashes())
	slices.SortFunc(ring, func(a, b *record) int {
		return cmp.Compare(weight(key, b.hash), weight(key, a.hash))
	})
	ids := make([]host.ID, 0, count)
	for _, re := range ring[:min(count, len(ring))] {
		ids = append(ids, re.id)
	}
	return ids
}

func (me *Member) reachOf(name Name) *reach {
	rc := me.reaches[name]
	if rc == nil {
		rc = &reach{statements: map[host.ID]statement{}}
		me.reaches[name] = rc
	}
	return rc
}

// linkedCentre tells whether this node has a link into a data centre.
func (me *Member) linkedCentre(name Name) bool {
	for id := range me.links {
		if re := me.hosts[id]; re != nil && re.centre() == name {
			return true
		}
	}
	return false
}

// reachOpened takes in that a link works, and tells a neighbour what others said.
func (me *Member) reachOpened(pe *peer, now time.Time) {
	re := me.hosts[pe.id]
	if re == nil {
		return
	}
	if name := re.centre(); name != me.cfg.DataCentre {
		rc := me.reachOf(name)
		rc.lostAt = time.Time{}
		if st, said := rc.statements[me.cfg.Host]; said && !st.reached {
			me.stateReach(name, true, now)
		}
		return
	}
	for _, name := range slices.Sorted(maps.Keys(me.reaches)) {
		for _, id := range slices.Sorted(maps.Keys(me.reaches[name].statements)) {
			if st := me.reaches[name].statements[id]; !st.reached && now.Before(st.lapse) {
				me.send(pe.id, reachMessage(id, name, st))
			}
		}
	}
}

// reachLost takes in that a link to another data centre is gone.
func (me *Member) reachLost(name Name, now time.Time) {
	rc := me.reachOf(name)
	if rc.lostAt.IsZero() && !me.linkedCentre(name) {
		rc.lostAt = now
	}
}

// tickReach states which data centres this node, as a holder, does not reach,
// and takes those for separated that no holder reaches.
func (me *Member) tickReach(now time.Time) {
	for _, name := range slices.Sorted(maps.Keys(me.centres)) {
		if name == me.cfg.DataCentre {
			continue
		}
		rc := me.reachOf(name)
		me.stateLoss(name, rc, now)
		me.judgeReach(name, rc, now)
	}
}

func (me *Member) stateLoss(name Name, rc *reach, now time.Time) {
	if !slices.Contains(me.holders(rc), me.cfg.Host) || me.linkedCentre(name) {
		rc.lostAt = time.Time{}
		return
	}
	if rc.lostAt.IsZero() {
		rc.lostAt = now
	}
	if now.Sub(rc.lostAt) >= reachWait && now.Sub(rc.saidAt) >= reachEvery {
		rc.saidAt = now
		me.stateReach(name, false, now)
	}
}

// holders are the hosts whose word counts; a node without any link has only its own.
func (me *Member) holders(rc *reach) []host.ID {
	if len(me.links) == 0 {
		return []host.ID{me.cfg.Host}
	}
	return rc.holders
}

func (me *Member) stateReach(name Name, reached bool, now time.Time) {
	st := statement{
		reached:  reached,
		sequence: uint64(now.UnixNano()),
		lapse:    now.Add(reachLapse),
	}
	rc := me.reachOf(name)
	rc.statements[me.cfg.Host] = st
	if reached {
		rc.saidAt = time.Time{}
	}
	me.tellReach(reachMessage(me.cfg.Host, name, st), "")
	me.judgeReach(name, rc, now)
}

// reachStated takes in what a holder of the own data centre says.
func (me *Member) reachStated(rs *wire.Reach, from host.ID, now time.Time) {
	id := host.ID(rs.GetHost())
	re := me.hosts[id]
	name := Name(rs.GetDataCentre())
	if re == nil || re.centre() != me.cfg.DataCentre || name == me.cfg.DataCentre || me.centres[name] == nil {
		return
	}
	rc := me.reachOf(name)
	if id == me.cfg.Host || rs.GetSequence() <= rc.statements[id].sequence {
		return
	}
	rc.statements[id] = statement{
		reached:  rs.GetReached(),
		sequence: rs.GetSequence(),
		lapse:    now.Add(reachLapse),
	}
	me.tellReach(reachMessage(id, name, rc.statements[id]), from)
	me.judgeReach(name, rc, now)
}

// judgeReach decides whether a data centre is separated from the own one: all
// holders say that they do not reach it.
func (me *Member) judgeReach(name Name, rc *reach, now time.Time) {
	holders := me.holders(rc)
	separated := len(holders) > 0
	for _, id := range holders {
		st, said := rc.statements[id]
		if !said || st.reached || !now.Before(st.lapse) {
			separated = false
		}
	}
	ce := me.centres[name]
	if ce.separated == separated {
		return
	}
	ce.separated = separated
	kind := NoteRejoined
	if separated {
		kind = NoteSeparated
	}
	me.do(Note{
		Kind:       kind,
		DataCentre: name,
		At:         now,
	})
	for _, re := range ce.hosts {
		me.show(re)
	}
}

// tellReach spreads a statement inside the own data centre.
func (me *Member) tellReach(ms *wire.Control, except host.ID) {
	for _, id := range me.peers() {
		if re := me.hosts[id]; id != except && re != nil && re.centre() == me.cfg.DataCentre {
			me.send(id, ms)
		}
	}
}

func reachMessage(id host.ID, name Name, st statement) *wire.Control {
	return &wire.Control{
		Kind: &wire.Control_Reach{
			Reach: &wire.Reach{
				Host:       string(id),
				DataCentre: string(name),
				Reached:    st.reached,
				Sequence:   st.sequence,
			},
		},
	}
}
