package datacentre

import (
	"errors"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"lynxfold/core/contract"
	"lynxfold/core/host"
	"lynxfold/core/wire"
)

// versionState is the state of the configuration and its distribution.
type versionState struct {
	// verified is the highest version that was compiled and verified; active follows
	// it once there is a basis for activation.
	verified *contract.Snapshot
	// verifiedFrom is the host that sent the verified version; empty if it was read from
	// the platform or accepted here.
	verifiedFrom host.ID
	active       *contract.Snapshot
	recentDeltas []encodedDelta
	recentBytes  int
	// pending holds deltas that arrived before their base, keyed by the base version.
	pending map[contract.Version]encodedDelta
	// refused holds the versions above verified that do not compile here.
	refused map[contract.Version]Refusal
	// unreadable is the newest version on the platform if it can't be put in force; nil
	// while it can.
	unreadable *Refusal
	pull       pullState
	compressed compressedDocument
}

// encodedDelta is a delta with its JSON form.
type encodedDelta struct {
	delta *contract.Delta
	raw   []byte
	// packed is raw compressed; nil for short deltas.
	packed []byte
}

// encodeDelta returns a delta with its JSON form.
func encodeDelta(de *contract.Delta) encodedDelta {
	return encodedDelta{
		delta: de,
		raw:   de.Encode(),
	}
}

// decodeUpdate parses the delta of an update. It fails with a contract.SyntaxError.
func decodeUpdate(up *wire.Update) (encodedDelta, error) {
	ed := encodedDelta{
		raw:    up.GetDelta(),
		packed: up.GetPackedDelta(),
	}
	var err error
	if ed.packed != nil {
		if ed.raw, err = contract.UnpackDelta(ed.packed); err != nil {
			return encodedDelta{}, err
		}
	}
	ed.delta, err = contract.ParseDelta(ed.raw)
	return ed, err
}

// pack compresses a long delta unless it was received compressed.
func (ed *encodedDelta) pack() {
	if ed.packed == nil && len(ed.raw) >= minPackedBytes {
		ed.packed = contract.PackDelta(ed.raw)
	}
}

// size is the size of the delta in an update for a peer that accepts packed ones.
func (ed *encodedDelta) size() int {
	if ed.packed != nil {
		return len(ed.packed)
	}
	return len(ed.raw)
}

// compressedDocument caches the compressed document of a version.
type compressedDocument struct {
	version contract.Version
	data    []byte
}

// Refusal is a version that this node can't compile.
type Refusal struct {
	// Version is 0 if it can't be read either.
	Version contract.Version
	// Digest is empty if the content can't be read.
	Digest contract.Digest
	Err    error
	At     time.Time
}

// pullState is the state of the pull for missing versions; at most one is in progress.
type pullState struct {
	peer host.ID
	// deadline is when the current pull times out; zero while none is in progress.
	deadline time.Time
	// nextAt is when to pull next.
	nextAt time.Time
	// behindSince is since when a neighbour is known to have a higher version; zero
	// when none has.
	behindSince time.Time
}

func newVersionState() versionState {
	return versionState{
		verified: contract.EmptySnapshot(),
		active:   contract.EmptySnapshot(),
		pending:  map[contract.Version]encodedDelta{},
		refused:  map[contract.Version]Refusal{},
	}
}

// refuses reports whether a version with this content is known not to compile here.
func (vs *versionState) refuses(ve contract.Version, di contract.Digest) bool {
	re, there := vs.refused[ve]
	return there && re.Digest == di
}

// highestRefused returns the highest refused version above the verified one; 0 when
// there is none.
func (vs *versionState) highestRefused() contract.Version {
	var highest contract.Version
	for ve := range vs.refused {
		if ve > vs.verified.Version {
			highest = max(highest, ve)
		}
	}
	return highest
}

// announcedRefusal returns the highest version that neighbours are told to be refused here.
func (vs *versionState) announcedRefusal() contract.Version {
	highest := vs.highestRefused()
	if un := vs.unreadable; un != nil && un.Version > vs.verified.Version {
		highest = max(highest, un.Version)
	}
	return highest
}

// recordUnreadable keeps which version on the platform can't be put in force, for operators.
// Each is noted once.
func (me *Member) recordUnreadable(re *Refusal, now time.Time) {
	before := me.versions.unreadable
	me.versions.unreadable = re
	if re == nil || before != nil && before.Version == re.Version && before.Err.Error() == re.Err.Error() {
		return
	}
	me.noteVersion(NoteVersionRefused, re.Version, "", re.Err, now)
	me.broadcastNotice(now)
}

func (me *Member) handleUpdate(up *wire.Update, from host.ID, now time.Time) {
	ve := contract.Version(up.GetVersion())
	if ve <= me.versions.verified.Version {
		me.recordPeerVersion(from, ve)
		return
	}
	ed, err := decodeUpdate(up)
	if err != nil {
		me.rejectContent(from, ve, err, now)
		return
	}
	me.processDelta(ed, from, now)
}

// recordPeerVersion records that a peer has a version.
func (me *Member) recordPeerVersion(from host.ID, ve contract.Version) {
	pe := me.links[from]
	if pe == nil {
		return
	}
	pe.version = max(pe.version, ve)
	me.updatePeerFloor(pe)
}

// processDelta applies a delta if it follows on from the verified version, and stores
// it as pending and schedules a pull if its base is missing. Deltas that are old or
// known not to compile are ignored.
func (me *Member) processDelta(ed encodedDelta, from host.ID, now time.Time) {
	vs := &me.versions
	de := ed.delta
	if vs.refuses(de.Result, de.Digest) || de.Result <= vs.verified.Version {
		return
	}
	if de.Base != vs.verified.Version {
		if de.Base > vs.verified.Version && len(vs.pending) < maxPendingDeltas {
			vs.pending[de.Base] = ed
		}
		me.recordPeerVersion(from, de.Result)
		me.schedulePull(now.Add(pullDelay))
		return
	}
	if !me.applyDelta(ed, from, now) {
		return
	}
	for ve := range vs.pending {
		if ve < vs.verified.Version {
			delete(vs.pending, ve)
		}
	}
	if next, ok := vs.pending[vs.verified.Version]; ok {
		delete(vs.pending, vs.verified.Version)
		me.processDelta(next, "", now)
	}
}

// applyDelta verifies the result of a delta and forwards the delta. A delta with an
// invalid result is refused here and forwarded too.
func (me *Member) applyDelta(ed encodedDelta, from host.ID, now time.Time) bool {
	ed.pack()
	sn, err := ed.delta.Apply(me.versions.verified)
	var invalid *contract.ValidationError
	switch {
	case errors.As(err, &invalid):
		me.refuseVersion(ed.delta.Result, ed.delta.Digest, from, err, now)
		me.forwardDelta(ed, from, now)
		return false
	case err != nil:
		me.rejectContent(from, ed.delta.Result, err, now)
		return false
	}
	if !me.setVerified(sn, now) {
		return false
	}
	me.versions.verifiedFrom = from
	me.recordPeerVersion(from, sn.Version)
	me.cacheDelta(ed)
	me.forwardDelta(ed, from, now)
	return true
}

// setVerified sets the verified version. It is the only function that does so; it
// refuses versions that are not higher and documents with dangling routes.
func (me *Member) setVerified(sn *contract.Snapshot, now time.Time) bool {
	vs := &me.versions
	if sn.Version <= vs.verified.Version || len(sn.DanglingRoutes()) > 0 {
		me.noteVersion(NoteInvariantViolation, sn.Version, "", nil, now)
		return false
	}
	vs.verified = sn
	vs.pull.deadline = time.Time{}
	vs.pull.behindSince = time.Time{}
	for ve := range vs.refused {
		if ve <= sn.Version {
			delete(vs.refused, ve)
		}
	}
	return true
}

// refuseVersion remembers a version that does not compile here, so that it is not
// pulled again; the active version stays.
func (me *Member) refuseVersion(ve contract.Version, di contract.Digest, from host.ID, err error, now time.Time) {
	if len(me.versions.refused) < maxRefusedVersions {
		me.versions.refused[ve] = Refusal{
			Version: ve,
			Digest:  di,
			Err:     err,
			At:      now,
		}
	}
	me.versions.pull.deadline = time.Time{}
	me.noteVersion(NoteVersionRefused, ve, from, err, now)
	me.broadcastNotice(now)
}

// rejectContent discards corrupt content from a peer and pulls from other peers for a
// while.
func (me *Member) rejectContent(from host.ID, ve contract.Version, err error, now time.Time) {
	me.noteVersion(NoteVersionRefused, ve, from, err, now)
	me.versions.pull.deadline = time.Time{}
	if pe := me.links[from]; pe != nil {
		pe.pullBackoffUntil = now.Add(pullBackoff)
		pe.version = max(pe.version, ve)
	}
	me.schedulePull(now)
}

func (me *Member) cacheDelta(ed encodedDelta) {
	vs := &me.versions
	vs.recentDeltas = append(vs.recentDeltas, ed)
	vs.recentBytes += len(ed.raw)
	for len(vs.recentDeltas) > maxRecentDeltas || vs.recentBytes > maxRecentDeltaBytes {
		vs.recentBytes -= len(vs.recentDeltas[0].raw)
		vs.recentDeltas = vs.recentDeltas[1:]
	}
}

// forwardDelta sends a delta to every linked peer that lacks it, except one. A large one
// is only announced: each peer has several neighbours, and pulls it from one of them. A
// node that refuses the delta can't answer pulls for it and forwards it in any case.
func (me *Member) forwardDelta(ed encodedDelta, except host.ID, now time.Time) {
	for _, id := range me.peers() {
		switch {
		case id == except || me.links[id].version >= ed.delta.Result:
		case ed.size() > maxForwardedBytes && me.versions.verified.Version >= ed.delta.Result:
			me.announceVersion(id, ed.delta.Result, now)
		default:
			me.sendUpdate(id, ed)
		}
	}
}

// announceVersion tells a peer that it can pull a version from here.
func (me *Member) announceVersion(id host.ID, ve contract.Version, now time.Time) {
	ms := me.noticeMessage()
	ms.GetNotice().Version = uint64(ve)
	ms.GetNotice().OnRequest = true
	me.links[id].noticeSentAt = now
	me.send(id, ms)
}

// sendUpdate sends a delta to a peer, compressed if it is long and the peer reads that,
// and raises the peer's floor, since the peer may have the version from then on.
func (me *Member) sendUpdate(id host.ID, ed encodedDelta) {
	me.raisePeerFloor(id, ed.delta.Result)
	up := &wire.Update{Version: uint64(ed.delta.Result)}
	if pe := me.links[id]; ed.packed != nil && pe != nil && pe.acceptsPacked {
		up.PackedDelta = ed.packed
	} else {
		up.Delta = ed.raw
	}
	me.send(id, &wire.Control{
		Kind: &wire.Control_Update{
			Update: up,
		},
	})
}

// handleNotice processes the versions and the digest of a peer's notice.
func (me *Member) handleNotice(pe *peer, no *wire.Notice, now time.Time) {
	pe.activated = no.GetSettled()
	pe.refused = contract.Version(no.GetRefused())
	me.recordPeerVersion(pe.id, contract.Version(no.GetVersion()))
	if !pe.activated && me.activated() {
		me.sendFloor(pe)
		me.sendNotice(pe.id, now)
	}
	if pe.version > me.versions.verified.Version {
		delay := pullDelay
		if no.GetOnRequest() {
			delay = me.jitter(maxOnRequestDelay)
		}
		me.schedulePull(now.Add(delay))
	}
	me.antiEntropyAfterNotice(pe, no, now)
	me.sendMissingCrashes(pe, no.GetCrashes(), now)
	me.sendMissingRollouts(pe, no.GetRollouts(), now)
}

// schedulePull schedules a pull unless an earlier one is scheduled.
func (me *Member) schedulePull(at time.Time) {
	ps := &me.versions.pull
	if ps.nextAt.IsZero() || at.Before(ps.nextAt) {
		ps.nextAt = at
	}
}

// tickPull times out the current pull, and pulls missing versions from a random peer
// that has a higher version.
func (me *Member) tickPull(now time.Time) {
	ps := &me.versions.pull
	if !ps.deadline.IsZero() && !now.Before(ps.deadline) {
		if pe := me.links[ps.peer]; pe != nil {
			pe.pullBackoffUntil = now.Add(pullBackoff)
		}
		ps.deadline = time.Time{}
	}
	ahead, eligible := me.peersAhead(now)
	if len(ahead) == 0 {
		ps.behindSince = time.Time{}
		ps.nextAt = time.Time{}
		return
	}
	if ps.behindSince.IsZero() {
		ps.behindSince = now
	}
	if !ps.deadline.IsZero() || now.Before(ps.nextAt) || len(eligible) == 0 {
		return
	}
	ps.nextAt = time.Time{}
	ps.peer = eligible[me.cfg.Rand.IntN(len(eligible))]
	ps.deadline = now.Add(pullTimeout)
	me.send(ps.peer, &wire.Control{
		Kind: &wire.Control_Pull{
			Pull: &wire.Pull{
				After: uint64(me.versions.verified.Version),
				Whole: me.versions.highestRefused() > 0,
			},
		},
	})
}

// peersAhead returns the peers with a version that this node lacks and does not
// refuse, and those of them that may be pulled from now.
func (me *Member) peersAhead(now time.Time) (ahead, eligible []host.ID) {
	for _, id := range me.peers() {
		pe := me.links[id]
		_, bad := me.versions.refused[pe.version]
		if bad || pe.version <= me.versions.verified.Version {
			continue
		}
		ahead = append(ahead, id)
		if !pe.closing && !now.Before(pe.pullBackoffUntil) {
			eligible = append(eligible, id)
		}
	}
	return ahead, eligible
}

// handlePull queues a pull; a newer pull of the same peer replaces the one in the
// queue.
func (me *Member) handlePull(id host.ID, pu *wire.Pull, now time.Time) {
	for i := range me.pullQueue {
		if me.pullQueue[i].peer == id && me.pullQueue[i].versions != nil {
			me.pullQueue[i].versions = pu
			return
		}
	}
	me.enqueuePull(queuedPull{
		peer:     id,
		versions: pu,
	}, now)
}

// answerVersionPull sends the cached deltas, or the full document if the deltas do not
// reach back far enough or are larger.
func (me *Member) answerVersionPull(qp queuedPull) {
	after := contract.Version(qp.versions.GetAfter())
	if me.versions.verified.Version <= after {
		return
	}
	first := slices.IndexFunc(me.versions.recentDeltas, func(ed encodedDelta) bool { return ed.delta.Base == after })
	if first < 0 || qp.versions.GetWhole() {
		me.sendSnapshot(qp.peer)
		return
	}
	size := 0
	for _, ed := range me.versions.recentDeltas[first:] {
		size += ed.size()
	}
	if size > len(me.compressedSnapshot()) {
		me.sendSnapshot(qp.peer)
		return
	}
	me.resyncBudget.tokens -= float64(size)
	for _, ed := range me.versions.recentDeltas[first:] {
		me.sendUpdate(qp.peer, ed)
	}
}

// compressedSnapshot returns the compressed document of the verified version.
func (me *Member) compressedSnapshot() []byte {
	vs := &me.versions
	if vs.compressed.data == nil || vs.compressed.version != vs.verified.Version {
		vs.compressed = compressedDocument{
			version: vs.verified.Version,
			data:    contract.Pack(vs.verified.Document),
		}
	}
	return vs.compressed.data
}

func (me *Member) sendSnapshot(id host.ID) {
	ms := &wire.Control{
		Kind: &wire.Control_Whole{
			Whole: &wire.Whole{
				Version:  uint64(me.versions.verified.Version),
				Digest:   string(me.versions.verified.Digest),
				Document: me.compressedSnapshot(),
			},
		},
	}
	me.resyncBudget.tokens -= float64(proto.Size(ms))
	me.raisePeerFloor(id, me.versions.verified.Version)
	me.send(id, ms)
}

func (me *Member) handleSnapshot(wh *wire.Whole, from host.ID, now time.Time) {
	ve := contract.Version(wh.GetVersion())
	if me.versions.refuses(ve, contract.Digest(wh.GetDigest())) || ve <= me.versions.verified.Version {
		return
	}
	sn, err := contract.Unpack(ve, contract.Digest(wh.GetDigest()), wh.GetDocument())
	var invalid *contract.ValidationError
	switch {
	case errors.As(err, &invalid):
		me.refuseVersion(ve, contract.Digest(wh.GetDigest()), from, err, now)
	case err != nil:
		me.rejectContent(from, ve, err, now)
	default:
		me.recordPeerVersion(from, ve)
		me.adoptSnapshot(sn, from, now)
	}
}

// adoptSnapshot makes a full document the verified version and announces it to the
// neighbours.
func (me *Member) adoptSnapshot(sn *contract.Snapshot, from host.ID, now time.Time) {
	if !me.setVerified(sn, now) {
		return
	}
	me.versions.verifiedFrom = from
	me.versions.recentDeltas = nil
	me.versions.recentBytes = 0
	me.noteVersion(NoteSnapshotAdopted, sn.Version, from, nil, now)
	me.broadcastNotice(now)
}
