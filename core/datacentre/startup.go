package datacentre

import (
	"time"

	"lynxfold/core/contract"
	"lynxfold/core/host"
	"lynxfold/core/wire"
)

// startupState decides when a version may become active after a start. A host persists
// nothing, so its neighbours remember the highest version that it may have had (its
// floor), and it activates no lower one after a restart.
type startupState struct {
	basis ActivationBasis
	// floorDeadline ends the wait for floors.
	floorDeadline time.Time
	// earliestActivation is when versions that were in flight when the previous
	// process ended are taken to have arrived at the neighbours; zero until a
	// neighbour with an active version is linked.
	earliestActivation time.Time
	// floor is the highest floor received from a neighbour.
	floor contract.Version
	// floorKnown is set once a neighbour that remembers this host has sent a floor.
	floorKnown      bool
	floorUnmetNoted bool
	// platformRead is set once the platform's current version was read.
	platformRead bool
	// peerFloors holds the highest version that each other host may have had active.
	peerFloors map[host.ID]contract.Version
}

// minFloorAnswers is how many neighbours with an active version must have sent a floor
// before a node activates ahead of floorDeadline; all that are linked must have.
const minFloorAnswers = 2

// inFlightWait is how long after the first neighbour with an active version is linked
// a node waits for versions that are still in flight to its neighbours.
const inFlightWait = 500 * time.Millisecond

func newStartupState(now time.Time) startupState {
	return startupState{
		floorDeadline: now.Add(floorTimeout),
		peerFloors:    map[host.ID]contract.Version{},
	}
}

func (me *Member) activated() bool { return me.startup.basis != BasisNone }

// updatePeerFloor raises the floor of a peer with an active version to its version.
func (me *Member) updatePeerFloor(pe *peer) {
	if pe.activated {
		me.raisePeerFloor(pe.id, pe.version)
	}
}

// raisePeerFloor remembers that a peer may have a version.
func (me *Member) raisePeerFloor(id host.ID, ve contract.Version) {
	me.startup.peerFloors[id] = max(me.startup.peerFloors[id], ve)
}

// sendFloor sends a peer the highest version that this node remembers it may have had.
func (me *Member) sendFloor(pe *peer) {
	ve, known := me.startup.peerFloors[pe.id]
	me.send(pe.id, &wire.Control{
		Kind: &wire.Control_Floor{
			Floor: &wire.Floor{
				Version: uint64(ve),
				Known:   known,
			},
		},
	})
}

func (me *Member) handleFloor(pe *peer, fl *wire.Floor, now time.Time) {
	pe.floorAnswered = true
	me.heardNeighbours()
	if me.activated() {
		return
	}
	if !fl.GetKnown() {
		return
	}
	ve := contract.Version(fl.GetVersion())
	me.startup.floorKnown = true
	if ve > me.startup.floor {
		me.startup.floor = ve
		me.noteVersion(NoteFloorKnown, ve, pe.id, nil, now)
	}
}

// tryActivate activates the verified version once there is a basis for it.
func (me *Member) tryActivate(now time.Time) {
	if !me.activated() {
		ba := me.activationBasis(now)
		if ba == BasisNone {
			return
		}
		me.startup.basis = ba
		me.view.dirty = true
		me.emit(Note{
			Kind:    NoteActivated,
			Version: me.versions.verified.Version,
			Basis:   ba,
			At:      now,
		})
		me.broadcastNotice(now)
	}
	vs := &me.versions
	switch {
	case vs.verified.Version == vs.active.Version:
	case vs.verified.Version < vs.active.Version:
		me.noteVersion(NoteInvariantViolation, vs.verified.Version, "", nil, now)
	default:
		vs.active = vs.verified
		me.view.dirty = true
		me.noteVersion(NoteVersionActive, vs.verified.Version, vs.verifiedFrom, nil, now)
	}
}

// activationBasis returns the basis on which the verified version may be activated;
// empty when there is none.
func (me *Member) activationBasis(now time.Time) ActivationBasis {
	if me.versions.verified.Version < me.startup.floor {
		me.noteFloorUnmet(now)
		return BasisNone
	}
	if me.startup.platformRead {
		return BasisPlatform
	}
	activated, answered, highest := me.activatedPeers(now)
	deadlinePassed := !now.Before(me.startup.floorDeadline)
	switch {
	case activated == 0 || me.versions.verified.Version < highest && !me.isRefused(highest):
		return BasisNone
	case now.Before(me.startup.earliestActivation):
		return BasisNone
	case me.startup.floorKnown && (deadlinePassed || answered == activated && activated >= minFloorAnswers):
		return BasisFloor
	case deadlinePassed:
		return BasisNeighbours
	}
	return BasisNone
}

func (me *Member) isRefused(ve contract.Version) bool {
	_, bad := me.versions.refused[ve]
	return bad
}

// activatedPeers counts the peers that have an active version and those of them that
// sent a floor, and returns the highest version among them. With the first such peer it
// sets earliestActivation.
func (me *Member) activatedPeers(now time.Time) (activated, answered int, highest contract.Version) {
	for _, pe := range me.links {
		if !pe.activated {
			continue
		}
		activated++
		highest = max(highest, pe.version)
		if pe.floorAnswered {
			answered++
		}
	}
	if activated > 0 && me.startup.earliestActivation.IsZero() {
		me.startup.earliestActivation = now.Add(inFlightWait)
	}
	return activated, answered, highest
}

// noteFloorUnmet records, once, that the floor prevents activation.
func (me *Member) noteFloorUnmet(now time.Time) {
	if !me.startup.floorUnmetNoted && !now.Before(me.startup.floorDeadline) {
		me.startup.floorUnmetNoted = true
		me.noteVersion(NoteFloorUnmet, me.startup.floor, "", nil, now)
	}
}
