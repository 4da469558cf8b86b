package datacentre

import (
	"time"

	"lynxfold/core/contract"
	"lynxfold/core/host"
	"lynxfold/core/quarantine"
	"lynxfold/core/rollout"
	"lynxfold/core/wire"
)

// Event is an input of a member.
type Event interface{ isEvent() }

// Action is an output of a member.
type Action interface{ isAction() }

// Tick drives timeouts and periodic work.
type Tick struct{}

// LinkOpened reports that a control link to a peer is established; Hello is the peer's
// first message.
type LinkOpened struct {
	Peer  host.ID
	Hello *wire.Hello
	// Address is the address of the Dial action; empty when the peer opened the link.
	Address string
}

// LinkClosed reports that the last control link to a peer is closed: reset, timed out
// or closed by either end.
type LinkClosed struct {
	Peer host.ID
}

// DialFailed reports that no link could be opened to an address.
type DialFailed struct {
	Address string
}

// MessageReceived delivers a message from a peer.
type MessageReceived struct {
	Peer    host.ID
	Message *wire.Control
}

// LocalUpstream delivers the state of this host's own upstream.
type LocalUpstream struct {
	Service     contract.ServiceName
	Slots       host.Slots
	Connections int
	State       host.State
	Release     host.Release
	// Instance and StartedAt identify the upstream's process; StartedAt is zero when
	// unknown.
	Instance  host.InstanceID
	StartedAt time.Time
}

// VersionAccepted delivers a version that the platform accepted through this node.
type VersionAccepted struct {
	Delta *contract.Delta
}

// PlatformRead delivers the result of a ReadPlatform action.
type PlatformRead struct {
	// Deltas follow on from the requested version, in order.
	Deltas []*contract.Delta
	// Snapshot is the full document; set when the deltas do not reach back far enough.
	Snapshot *contract.Snapshot
	// Refused is the newest version on the platform if this node can't put it in force.
	Refused *Refusal
	// Err is set when the platform could not be read.
	Err error
	// Took is how long the read took.
	Took time.Duration
}

// StoredCrashesRead delivers the crashes that the platform's table holds, once after the start.
type StoredCrashesRead struct {
	News quarantine.News
}

// IntroductionsRead delivers the contacts that a ReadPlatform action asked for. It comes
// before the PlatformRead, which may take long or fail: a node without a version can
// join the mesh, and its gate serves others.
type IntroductionsRead struct {
	// Contacts are the link addresses from the introduction rows.
	Contacts []string
	// Err is set when the rows could not be read.
	Err error
}

// IntroductionWritten delivers the result of a WriteIntroduction action.
type IntroductionWritten struct {
	// Err is set when the row could not be written.
	Err error
}

// CrashesFound delivers news of crashes that this host has found out, or has learnt with
// calls.
type CrashesFound struct {
	News quarantine.News
}

// RolloutsFound delivers records of roll-outs that this host has read or decided.
type RolloutsFound struct {
	Records []rollout.Record
}

// Leave makes the node leave the mesh.
type Leave struct{}

func (Tick) isEvent()                {}
func (LinkOpened) isEvent()          {}
func (LinkClosed) isEvent()          {}
func (DialFailed) isEvent()          {}
func (MessageReceived) isEvent()     {}
func (LocalUpstream) isEvent()       {}
func (VersionAccepted) isEvent()     {}
func (PlatformRead) isEvent()        {}
func (StoredCrashesRead) isEvent()   {}
func (IntroductionsRead) isEvent()   {}
func (IntroductionWritten) isEvent() {}
func (CrashesFound) isEvent()        {}
func (RolloutsFound) isEvent()       {}
func (Leave) isEvent()               {}

// Send sends a message to a peer over its control link.
type Send struct {
	Peer    host.ID
	Message *wire.Control
}

// Dial opens a control link to an address.
type Dial struct {
	Address string
}

// CloseLink closes the control link to a peer after all messages that were sent before
// it are written.
type CloseLink struct {
	Peer host.ID
}

// Publish makes a new view available to call routing.
type Publish struct {
	View *View
}

// ReadPlatform reads the versions after After from the platform's table.
type ReadPlatform struct {
	After contract.Version
	// Introductions also asks for contacts: a listing of all introduction rows.
	Introductions bool
	// Unconditional asks for an unconditional read, without the cached ETag.
	Unconditional bool
	// Snapshot asks for the full document instead of deltas.
	Snapshot bool
	// MaxWait is how long the platform may hold back its response while nothing has
	// changed.
	MaxWait time.Duration
	// ResponseTimeout limits the time from the end of MaxWait until the response begins to
	// arrive; zero leaves it to the platform's client.
	ResponseTimeout time.Duration
}

// WriteIntroduction writes the introduction row of this data centre, the addresses that new
// nodes dial first, with a conditional write.
type WriteIntroduction struct {
	DataCentre Name
	// Addresses are for nodes of this data centre, RemoteAddresses for those of all
	// others.
	Addresses       []string
	RemoteAddresses []string
}

// StoreCrashes writes the crashes of quarantined requests to the platform, for the time after
// all hosts were restarted at once.
type StoreCrashes struct {
	DataCentre Name
	News       quarantine.News
}

// LearnCrashes passes on news of crashes from other hosts to the ingress and the gate.
type LearnCrashes struct {
	News quarantine.News
}

// LearnRollouts passes on new records of roll-outs, from other hosts or this one.
type LearnRollouts struct {
	Records []rollout.Record
}

// RaiseIncarnation raises the host's incarnation at its gate, which refuses attempts at an
// earlier one from then on.
type RaiseIncarnation struct {
	Incarnation host.Incarnation
}

// LearnDeparture passes on to the gate that a process of this host's upstream has left, as a
// former process of this node had told its neighbours.
type LearnDeparture struct {
	Departure host.Departure
}

// NeighboursHeard tells the gate that a neighbour has told what it knows of this host's
// upstream, or that there is no neighbour.
type NeighboursHeard struct{}

// Note records a decision for logs, metrics and explanations.
type Note struct {
	Kind NoteKind
	// Peer is the host that the note is about, or the sender of the message.
	Peer    host.ID
	Version contract.Version
	// DataCentre and Basis are set only for the kinds that use them.
	DataCentre Name
	Basis      ActivationBasis
	Err        error
	At         time.Time
}

// NoteKind is the kind of a decision.
type NoteKind string

// Kinds of notes. The values appear in logs and metrics.
const (
	NoteVersionActive NoteKind = "version_in_force"
	// NoteVersionRefused: a version does not compile here, or arrived corrupted.
	NoteVersionRefused   NoteKind = "version_refused"
	NoteHostAlive        NoteKind = "host_alive"
	NoteHostDead         NoteKind = "host_dead"
	NoteHostLeft         NoteKind = "host_left"
	NoteHostSuspect      NoteKind = "host_suspect"
	NoteSuspicionRefuted NoteKind = "suspicion_refuted"
	// NoteReincarnated: an earlier process of this host had a higher incarnation.
	NoteReincarnated NoteKind = "reincarnated"
	// NoteDepartureLearnt: a neighbour knows that the upstream had left this host's former
	// process.
	NoteDepartureLearnt NoteKind = "departure_learnt"
	// NoteLinkRefused: this node or the peer refused a link that exceeds the join rate.
	NoteLinkRefused NoteKind = "link_refused"
	// NoteResyncRefused: a pull was discarded, because too many are queued.
	NoteResyncRefused NoteKind = "resync_refused"
	// NoteSnapshotAdopted: a full document became the verified version.
	NoteSnapshotAdopted NoteKind = "gap_filled"
	// NoteFloorKnown: a neighbour sent a higher floor than known so far.
	NoteFloorKnown NoteKind = "floor_known"
	// NoteFloorUnmet: the floor prevents activation after floorDeadline.
	NoteFloorUnmet NoteKind = "floor_unmet"
	// NoteActivated: there is a basis for the first active version.
	NoteActivated          NoteKind = "grounds_taken"
	NotePlatformReadFailed NoteKind = "platform_read_failed"
	NoteIntroductionFailed NoteKind = "introduce_failed"
	// NoteContactsReadFailed means that the introduction rows could not be read.
	NoteContactsReadFailed NoteKind = "contacts_read_failed"
	// NoteSeparated: no border host reaches a data centre.
	NoteSeparated NoteKind = "data_centre_separated"
	// NoteRejoined: a data centre is no longer separated.
	NoteRejoined           NoteKind = "data_centre_rejoined"
	NoteBadMessage         NoteKind = "bad_message"
	NoteInvariantViolation NoteKind = "invariant_violation"
)

func (Send) isAction()              {}
func (Dial) isAction()              {}
func (CloseLink) isAction()         {}
func (Publish) isAction()           {}
func (ReadPlatform) isAction()      {}
func (WriteIntroduction) isAction() {}
func (LearnCrashes) isAction()      {}
func (StoreCrashes) isAction()      {}
func (LearnRollouts) isAction()     {}
func (RaiseIncarnation) isAction()  {}
func (LearnDeparture) isAction()    {}
func (NeighboursHeard) isAction()   {}
func (Note) isAction()              {}
