package datacentre

import (
	"time"

	"lynxfold/core/contract"
	"lynxfold/core/host"
	"lynxfold/core/wire"
)

// Event is an input of a member.
type Event interface{ isEvent() }

// Action is an output of a member.
type Action interface{ isAction() }

// Tick lets time pass.
type Tick struct{}

// LinkOpened says that a control link to a peer works; the peer's Hello came with it.
type LinkOpened struct {
	Peer  host.ID
	Hello *wire.Hello
	// Address is what a Dial action asked for; empty when the peer opened the link.
	Address string
}

// LinkClosed says that the last control link to a peer is gone, for whatever
// reason: reset, silent or closed by either end.
type LinkClosed struct {
	Peer host.ID
}

// DialFailed says that nobody answered at an address.
type DialFailed struct {
	Address string
}

// Received brings a message from a peer.
type Received struct {
	Peer    host.ID
	Message *wire.Control
}

// LocalUpstream brings the state of this host's own upstream.
type LocalUpstream struct {
	Service     contract.ServiceName
	Slots       host.Slots
	Connections int
	State       host.State
}

// Accepted brings a version that the platform has accepted through this node.
type Accepted struct {
	Delta *contract.Delta
}

// PlatformRead brings the result of a ReadPlatform action.
type PlatformRead struct {
	// Deltas lead on from the version in force, in order.
	Deltas []*contract.Delta
	// Whole is set when the deltas do not reach back far enough.
	Whole *contract.Snapshot
	// Contacts are the link addresses in the introduction rows.
	Contacts []string
	// Err is the reason when the platform could not be read.
	Err error
}

// Introduced brings the result of an Introduce action.
type Introduced struct {
	// Err is the reason when the row could not be written.
	Err error
}

// Leave starts the node's own departure.
type Leave struct{}

func (Tick) isEvent()          {}
func (LinkOpened) isEvent()    {}
func (LinkClosed) isEvent()    {}
func (DialFailed) isEvent()    {}
func (Received) isEvent()      {}
func (LocalUpstream) isEvent() {}
func (Accepted) isEvent()      {}
func (PlatformRead) isEvent()  {}
func (Introduced) isEvent()    {}
func (Leave) isEvent()         {}

// Send passes a message to a peer over its control link.
type Send struct {
	Peer    host.ID
	Message *wire.Control
}

// Dial opens a control link to an address.
type Dial struct {
	Address string
}

// CloseLink ends the control link to a peer once the messages that were sent
// before it are written.
type CloseLink struct {
	Peer host.ID
}

// Publish hands a new view to traffic.
type Publish struct {
	View *View
}

// ReadPlatform reads the versions after one from the platform's table.
type ReadPlatform struct {
	After contract.Version
	// Introductions asks for the contacts too: a list of all introduction rows.
	Introductions bool
	// Fresh asks for a read that leaves out a kept ETag.
	Fresh bool
	// Whole asks for the whole document instead of deltas.
	Whole bool
}

// Introduce writes the introduction row of this data centre by a conditional write.
type Introduce struct {
	DataCentre Name
	// Addresses are for nodes of this data centre, RemoteAddresses for all others.
	Addresses       []string
	RemoteAddresses []string
}

// Reincarnate tells the gate the host's new incarnation: attempts at an earlier
// one are refused from now on.
type Reincarnate struct {
	Incarnation host.Incarnation
}

// Note records a decision for logs, counters and explanations.
type Note struct {
	Kind NoteKind
	// Peer is the host that the note is about, or that a message came from.
	Peer    host.ID
	Version contract.Version
	// DataCentre and Grounds are set for the kinds that need them.
	DataCentre Name
	Grounds    Grounds
	Err        error
	At         time.Time
}

// NoteKind names a decision.
type NoteKind string

// Kinds of notes.
const (
	NoteVersionInForce  NoteKind = "version_in_force"
	NoteVersionRefused  NoteKind = "version_refused"
	NoteHostAlive       NoteKind = "host_alive"
	NoteHostDead        NoteKind = "host_dead"
	NoteHostLeft        NoteKind = "host_left"
	NoteHostSuspect     NoteKind = "host_suspect"
	NoteRefuted         NoteKind = "suspicion_refuted"
	NoteReincarnated    NoteKind = "reincarnated"
	NoteLinkRefused     NoteKind = "link_refused"
	NoteResyncRefused   NoteKind = "resync_refused"
	NoteGapFilled       NoteKind = "gap_filled"
	NoteFloorKnown      NoteKind = "floor_known"
	NoteFloorUnmet      NoteKind = "floor_unmet"
	NoteGrounds         NoteKind = "grounds_taken"
	NoteReadFailed      NoteKind = "platform_read_failed"
	NoteIntroduceFailed NoteKind = "introduce_failed"
	NoteSeparated       NoteKind = "data_centre_separated"
	NoteRejoined        NoteKind = "data_centre_rejoined"
	NoteBadMessage      NoteKind = "bad_message"
	NoteInvariant       NoteKind = "invariant_violation"
)

func (Send) isAction()         {}
func (Dial) isAction()         {}
func (CloseLink) isAction()    {}
func (Publish) isAction()      {}
func (ReadPlatform) isAction() {}
func (Introduce) isAction()    {}
func (Reincarnate) isAction()  {}
func (Note) isAction()         {}
