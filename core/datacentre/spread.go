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

// spread is the state of the configuration.
type spread struct {
	// held is the highest version that was verified; inForce follows it once
	// there are grounds for it.
	held    *contract.Snapshot
	inForce *contract.Snapshot
	kept    []keptDelta
	bytes   int
	// pending holds deltas that arrived before their base, by base.
	pending map[contract.Version]keptDelta
	refused map[contract.Version]Refusal
	pull    pull
	packed  packedDocument
}

// keptDelta is a delta with its encoded form.
type keptDelta struct {
	delta *contract.Delta
	raw   []byte
}

// packedDocument caches the compressed document of a version.
type packedDocument struct {
	version contract.Version
	data    []byte
}

// Refusal is a version that this node can't compile.
type Refusal struct {
	Version contract.Version
	Digest  contract.Digest
	Err     error
	At      time.Time
}

// pull is the one request for missing versions that runs at a time.
type pull struct {
	peer host.ID
	// by is when the answer must be there; zero while none is awaited.
	by time.Time
	// at is when to ask next.
	at time.Time
	// behind is since when a neighbour is known to be ahead; zero when none is.
	behind time.Time
}

func newSpread() spread {
	return spread{
		held:    contract.Empty(),
		inForce: contract.Empty(),
		pending: map[contract.Version]keptDelta{},
		refused: map[contract.Version]Refusal{},
	}
}

// refuses tells whether a version with this content does not compile here.
func (sp *spread) refuses(ve contract.Version, di contract.Digest) bool {
	re, there := sp.refused[ve]
	return there && re.Digest == di
}

// refusedAbove is the highest refused version above the held one; 0 when none is.
func (sp *spread) refusedAbove() contract.Version {
	var top contract.Version
	for ve := range sp.refused {
		if ve > sp.held.Version {
			top = max(top, ve)
		}
	}
	return top
}

func (me *Member) update(up *wire.Update, from host.ID, now time.Time) {
	ve := contract.Version(up.GetVersion())
	if ve <= me.spread.held.Version {
		me.heardVersion(from, ve)
		return
	}
	de, err := contract.ParseDelta(up.GetDelta())
	if err != nil {
		me.distrust(from, ve, err, now)
		return
	}
	me.offer(de, up.GetDelta(), from, now)
}

// heardVersion remembers that a peer has a version.
func (me *Member) heardVersion(from host.ID, ve contract.Version) {
	pe := me.links[from]
	if pe == nil {
		return
	}
	pe.version = max(pe.version, ve)
	me.remember(pe)
}

// offer takes a delta in: it is applied when it fits, kept for later when its
// base is missing, and refused when it is wrong.
func (me *Member) offer(de *contract.Delta, raw []byte, from host.ID, now time.Time) {
	sp := &me.spread
	if sp.refuses(de.Result, de.Digest) || de.Result <= sp.held.Version {
		return
	}
	ke := keptDelta{
		delta: de,
		raw:   raw,
	}
	if de.Base != sp.held.Version {
		if de.Base > sp.held.Version && len(sp.pending) < pendingDeltas {
			sp.pending[de.Base] = ke
		}
		me.heardVersion(from, de.Result)
		me.askSoon(now.Add(lazyWait))
		return
	}
	if !me.apply(ke, from, now) {
		return
	}
	for ve := range sp.pending {
		if ve < sp.held.Version {
			delete(sp.pending, ve)
		}
	}
	if next, ok := sp.pending[sp.held.Version]; ok {
		delete(sp.pending, sp.held.Version)
		me.offer(next.delta, next.raw, "", now)
	}
}

// apply holds the result of a delta and passes the delta on.
func (me *Member) apply(ke keptDelta, from host.ID, now time.Time) bool {
	sn, err := ke.delta.Apply(me.spread.held)
	var invalid *contract.ValidationError
	switch {
	case errors.As(err, &invalid):
		me.refuse(ke.delta.Result, ke.delta.Digest, from, err, now)
		me.tellConfig(ke, from)
		return false
	case err != nil:
		me.distrust(from, ke.delta.Result, err, now)
		return false
	}
	if !me.hold(sn, now) {
		return false
	}
	me.heardVersion(from, sn.Version)
	me.keep(ke)
	me.tellConfig(ke, from)
	return true
}

// hold is the only place that changes the held version.
func (me *Member) hold(sn *contract.Snapshot, now time.Time) bool {
	sp := &me.spread
	if sn.Version <= sp.held.Version || len(sn.CheckRoutes()) > 0 {
		me.noteVersion(NoteInvariant, sn.Version, "", nil, now)
		return false
	}
	sp.held = sn
	sp.pull.by = time.Time{}
	sp.pull.behind = time.Time{}
	for ve := range sp.refused {
		if ve <= sn.Version {
			delete(sp.refused, ve)
		}
	}
	return true
}

// refuse remembers a version that does not compile here, so that it is not
// asked for again; the version in force stays.
func (me *Member) refuse(ve contract.Version, di contract.Digest, from host.ID, err error, now time.Time) {
	if len(me.spread.refused) < refusedVersions {
		me.spread.refused[ve] = Refusal{
			Version: ve,
			Digest:  di,
			Err:     err,
			At:      now,
		}
	}
	me.spread.pull.by = time.Time{}
	me.noteVersion(NoteVersionRefused, ve, from, err, now)
	me.tellNotice(now)
}

// distrust turns to other peers after bad content from one.
func (me *Member) distrust(from host.ID, ve contract.Version, err error, now time.Time) {
	me.noteVersion(NoteVersionRefused, ve, from, err, now)
	me.spread.pull.by = time.Time{}
	if pe := me.links[from]; pe != nil {
		pe.distrustBy = now.Add(distrustFor)
		pe.version = max(pe.version, ve)
	}
	me.askSoon(now)
}

func (me *Member) keep(ke keptDelta) {
	sp := &me.spread
	sp.kept = append(sp.kept, ke)
	sp.bytes += len(ke.raw)
	for len(sp.kept) > keptDeltas || sp.bytes > keptBytes {
		sp.bytes -= len(sp.kept[0].raw)
		sp.kept = sp.kept[1:]
	}
}

// tellConfig sends a delta to every linked peer but one, and remembers that
// they may have it from then on.
func (me *Member) tellConfig(ke keptDelta, except host.ID) {
	for _, id := range me.peers() {
		if id != except && me.links[id].version < ke.delta.Result {
			me.sendUpdate(id, ke)
		}
	}
}

func (me *Member) sendUpdate(id host.ID, ke keptDelta) {
	me.mayHave(id, ke.delta.Result)
	me.send(id, updateMessage(ke))
}

func updateMessage(ke keptDelta) *wire.Control {
	return &wire.Control{
		Kind: &wire.Control_Update{
			Update: &wire.Update{
				Version: uint64(ke.delta.Result),
				Delta:   ke.raw,
			},
		},
	}
}

// noticed takes in what a peer holds.
func (me *Member) noticed(pe *peer, no *wire.Notice, now time.Time) {
	pe.settled = no.GetSettled()
	pe.refused = contract.Version(no.GetRefused())
	me.heardVersion(pe.id, contract.Version(no.GetVersion()))
	if !pe.settled && me.settled() {
		me.giveFloor(pe)
		me.sendNotice(pe.id, now)
	}
	if pe.version > me.spread.held.Version {
		me.askSoon(now.Add(lazyWait))
	}
	me.compareNotice(pe, no, now)
}

// askSoon sets when to ask for missing versions, unless that is set already.
func (me *Member) askSoon(at time.Time) {
	pu := &me.spread.pull
	if pu.at.IsZero() || at.Before(pu.at) {
		pu.at = at
	}
}

// tickSpread asks a neighbour that is ahead for what is missing.
func (me *Member) tickSpread(now time.Time) {
	pu := &me.spread.pull
	if !pu.by.IsZero() && !now.Before(pu.by) {
		if pe := me.links[pu.peer]; pe != nil {
			pe.distrustBy = now.Add(distrustFor)
		}
		pu.by = time.Time{}
	}
	ahead, trusted := me.ahead(now)
	if len(ahead) == 0 {
		pu.behind = time.Time{}
		pu.at = time.Time{}
		return
	}
	if pu.behind.IsZero() {
		pu.behind = now
	}
	if !pu.by.IsZero() || now.Before(pu.at) || len(trusted) == 0 {
		return
	}
	pu.at = time.Time{}
	pu.peer = trusted[me.cfg.Rand.IntN(len(trusted))]
	pu.by = now.Add(pullWithin)
	me.send(pu.peer, &wire.Control{
		Kind: &wire.Control_Pull{
			Pull: &wire.Pull{
				After: uint64(me.spread.held.Version),
				Whole: me.spread.refusedAbove() > 0,
			},
		},
	})
}

// ahead lists the peers with a version that this node misses and does not
// refuse, and those of them that are trusted now.
func (me *Member) ahead(now time.Time) (ahead, trusted []host.ID) {
	for _, id := range me.peers() {
		pe := me.links[id]
		_, bad := me.spread.refused[pe.version]
		if bad || pe.version <= me.spread.held.Version {
			continue
		}
		ahead = append(ahead, id)
		if !pe.ended && !now.Before(pe.distrustBy) {
			trusted = append(trusted, id)
		}
	}
	return ahead, trusted
}

// pulled keeps one pull of a peer at a time.
func (me *Member) pulled(id host.ID, pu *wire.Pull, now time.Time) {
	for i := range me.queue {
		if me.queue[i].peer == id && me.queue[i].config != nil {
			me.queue[i].config = pu
			return
		}
	}
	me.enqueue(answer{
		peer:   id,
		config: pu,
	}, now)
}

// answerConfig sends the kept deltas, or the whole document when they do not
// reach back or are larger.
func (me *Member) answerConfig(an answer) {
	after := contract.Version(an.config.GetAfter())
	if me.spread.held.Version <= after {
		return
	}
	first := slices.IndexFunc(me.spread.kept, func(ke keptDelta) bool { return ke.delta.Base == after })
	if first < 0 || an.config.GetWhole() {
		me.sendWhole(an.peer)
		return
	}
	size := 0
	for _, ke := range me.spread.kept[first:] {
		size += len(ke.raw)
	}
	if size > len(me.packed()) {
		me.sendWhole(an.peer)
		return
	}
	me.resync.left -= float64(size)
	for _, ke := range me.spread.kept[first:] {
		me.sendUpdate(an.peer, ke)
	}
}

// packed is the compressed document that is held.
func (me *Member) packed() []byte {
	sp := &me.spread
	if sp.packed.data == nil || sp.packed.version != sp.held.Version {
		sp.packed = packedDocument{
			version: sp.held.Version,
			data:    contract.Pack(sp.held.Document),
		}
	}
	return sp.packed.data
}

func (me *Member) sendWhole(id host.ID) {
	ms := &wire.Control{
		Kind: &wire.Control_Whole{
			Whole: &wire.Whole{
				Version:  uint64(me.spread.held.Version),
				Digest:   string(me.spread.held.Digest),
				Document: me.packed(),
			},
		},
	}
	me.resync.left -= float64(proto.Size(ms))
	me.mayHave(id, me.spread.held.Version)
	me.send(id, ms)
}

func (me *Member) whole(wh *wire.Whole, from host.ID, now time.Time) {
	ve := contract.Version(wh.GetVersion())
	if me.spread.refuses(ve, contract.Digest(wh.GetDigest())) || ve <= me.spread.held.Version {
		return
	}
	sn, err := contract.Unpack(ve, contract.Digest(wh.GetDigest()), wh.GetDocument())
	var invalid *contract.ValidationError
	switch {
	case errors.As(err, &invalid):
		me.refuse(ve, contract.Digest(wh.GetDigest()), from, err, now)
	case err != nil:
		me.distrust(from, ve, err, now)
	default:
		me.heardVersion(from, ve)
		me.replace(sn, from, now)
	}
}

// replace holds a whole document and tells the neighbours that it is there.
func (me *Member) replace(sn *contract.Snapshot, from host.ID, now time.Time) {
	if !me.hold(sn, now) {
		return
	}
	me.spread.kept = nil
	me.spread.bytes = 0
	me.noteVersion(NoteGapFilled, sn.Version, from, nil, now)
	me.tellNotice(now)
}
