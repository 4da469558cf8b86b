package datacentre

import (
	"time"

	"lynxfold/core/contract"
	"lynxfold/core/host"
	"lynxfold/core/wire"
)

// start is what decides whether a version may be in force after a start: a host
// keeps nothing, so others remember how far it was.
type start struct {
	grounds Grounds
	// by bounds the wait for floors.
	by time.Time
	// earliest is when versions that were on their way when this host ended have
	// arrived at the neighbours; zero until one is heard.
	earliest time.Time
	// floor is the highest version that a neighbour remembers of this host.
	floor contract.Version
	known bool
	unmet bool
	// read is set once the platform's current version was read.
	read bool
	// reported are the highest versions that other hosts may have had in force.
	reported map[host.ID]contract.Version
}

// answersWanted is how many neighbours are heard before the wait is over.
const answersWanted = 2

// heardWait is how long a node listens after the first neighbour that has grounds.
const heardWait = 500 * time.Millisecond

func newStart(now time.Time) start {
	return start{
		by:       now.Add(floorWait),
		reported: map[host.ID]contract.Version{},
	}
}

func (me *Member) settled() bool { return me.start.grounds != GroundsNone }

// remember keeps the highest version that a peer reported.
func (me *Member) remember(pe *peer) {
	if pe.settled {
		me.mayHave(pe.id, pe.version)
	}
}

// mayHave keeps that a peer may have a version, from the moment it is sent.
func (me *Member) mayHave(id host.ID, ve contract.Version) {
	me.start.reported[id] = max(me.start.reported[id], ve)
}

// giveFloor tells a peer the highest version that it is remembered to have had.
func (me *Member) giveFloor(pe *peer) {
	ve, known := me.start.reported[pe.id]
	me.send(pe.id, &wire.Control{
		Kind: &wire.Control_Floor{
			Floor: &wire.Floor{
				Version: uint64(ve),
				Known:   known,
			},
		},
	})
}

func (me *Member) floorGiven(pe *peer, fl *wire.Floor, now time.Time) {
	pe.answered = true
	if me.settled() {
		return
	}
	if !fl.GetKnown() {
		return
	}
	ve := contract.Version(fl.GetVersion())
	me.start.known = true
	if ve > me.start.floor {
		me.start.floor = ve
		me.noteVersion(NoteFloorKnown, ve, pe.id, nil, now)
	}
}

// settle puts the held version in force once there are grounds for it.
func (me *Member) settle(now time.Time) {
	if !me.settled() {
		gr := me.findGrounds(now)
		if gr == GroundsNone {
			return
		}
		me.start.grounds = gr
		me.view.dirty = true
		me.do(Note{
			Kind:    NoteGrounds,
			Version: me.spread.held.Version,
			Grounds: gr,
			At:      now,
		})
		me.tellNotice(now)
	}
	sp := &me.spread
	switch {
	case sp.held.Version == sp.inForce.Version:
	case sp.held.Version < sp.inForce.Version:
		me.noteVersion(NoteInvariant, sp.held.Version, "", nil, now)
	default:
		sp.inForce = sp.held
		me.view.dirty = true
		me.noteVersion(NoteVersionInForce, sp.held.Version, "", nil, now)
	}
}

// findGrounds looks for a reason to put the held version in force.
func (me *Member) findGrounds(now time.Time) Grounds {
	if me.spread.held.Version < me.start.floor {
		me.noteUnmet(now)
		return GroundsNone
	}
	if me.start.read {
		return GroundsPlatform
	}
	heard, answered, top := me.heard(now)
	over := !now.Before(me.start.by)
	switch {
	case heard == 0 || me.spread.held.Version < top && !me.refusedVersion(top):
		return GroundsNone
	case now.Before(me.start.earliest):
		return GroundsNone
	case me.start.known && (over || answered == heard && heard >= answersWanted):
		return GroundsFloor
	case over:
		return GroundsNeighbours
	}
	return GroundsNone
}

func (me *Member) refusedVersion(ve contract.Version) bool {
	_, bad := me.spread.refused[ve]
	return bad
}

// heard counts the neighbours that have grounds themselves, and gives the
// highest version among them.
func (me *Member) heard(now time.Time) (heard, answered int, top contract.Version) {
	for _, pe := range me.links {
		if !pe.settled {
			continue
		}
		heard++
		top = max(top, pe.version)
		if pe.answered {
			answered++
		}
	}
	if heard > 0 && me.start.earliest.IsZero() {
		me.start.earliest = now.Add(heardWait)
	}
	return heard, answered, top
}

// noteUnmet records once that a floor holds this node back.
func (me *Member) noteUnmet(now time.Time) {
	if !me.start.unmet && !now.Before(me.start.by) {
		me.start.unmet = true
		me.noteVersion(NoteFloorUnmet, me.start.floor, "", nil, now)
	}
}
