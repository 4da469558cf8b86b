package datacentre

import (
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"lynxfold/core/host"
	"lynxfold/core/wire"
)

// comparison is the one exchange of differing records that runs at a time.
type comparison struct {
	peer host.ID
	// by is when the exchange counts as broken off; zero while none runs.
	by time.Time
	// left counts the buckets still to come.
	left    int
	learned int
}

// answer is what a peer waits for.
type answer struct {
	peer host.ID
	// centre and buckets ask for host records.
	centre  Name
	buckets []uint32
	// config asks for what follows a version.
	config *wire.Pull
}

// compareHello starts a comparison when the other end knows more live hosts.
func (me *Member) compareHello(pe *peer, he *wire.Hello, now time.Time) {
	more := int(he.GetMemberCount()) > me.alive
	equal := int(he.GetMemberCount()) == me.alive && pe.id > me.cfg.Host
	if he.GetMembers() != me.sum && (more || equal) {
		me.startComparison(pe.id, now)
	}
}

// tickNotice tells a random peer what this node holds. A node without grounds
// tells all, and is told the floors that they remember.
func (me *Member) tickNotice(now time.Time) {
	if now.Before(me.noticeAt) || len(me.links) == 0 {
		return
	}
	if !me.settled() {
		me.noticeAt = now.Add(unsettledNoticeEvery)
		me.tellNotice(now)
		return
	}
	me.noticeAt = now.Add(noticeEvery/2 + me.jitter(noticeEvery))
	peers := me.peers()
	me.sendNotice(peers[me.cfg.Rand.IntN(len(peers))], now)
}

func (me *Member) sendNotice(id host.ID, now time.Time) {
	if pe := me.links[id]; pe != nil {
		pe.noticedAt = now
	}
	me.send(id, me.noticeMessage())
}

// tellNotice tells every peer what this node holds.
func (me *Member) tellNotice(now time.Time) {
	for _, id := range me.peers() {
		me.sendNotice(id, now)
	}
}

func (me *Member) noticeMessage() *wire.Control {
	return &wire.Control{
		Kind: &wire.Control_Notice{
			Notice: &wire.Notice{
				Version:     uint64(me.spread.held.Version),
				Refused:     uint64(me.spread.refusedAbove()),
				Members:     me.sum,
				MemberCount: uint32(me.alive),
				Settled:     me.settled(),
			},
		},
	}
}

// compareNotice compares records with a peer whose sum differs. The side that
// knows fewer live hosts asks, so that a restarted host asks and is not asked.
func (me *Member) compareNotice(pe *peer, no *wire.Notice, now time.Time) {
	if no.GetMembers() == me.sum {
		return
	}
	if int(no.GetMemberCount()) >= me.alive {
		me.startComparison(pe.id, now)
		return
	}
	if now.Sub(pe.noticedAt) >= noticeEvery/2 {
		me.sendNotice(pe.id, now)
	}
}

func (me *Member) startComparison(id host.ID, now time.Time) {
	if now.Before(me.sync.by) {
		return
	}
	me.sync = comparison{
		peer: id,
		by:   now.Add(syncWithin),
	}
	md := &wire.MemberDigest{}
	for _, name := range slices.Sorted(maps.Keys(me.centres)) {
		md.DataCentres = append(md.DataCentres, &wire.DataCentreDigest{
			Name: string(name),
			Sum:  me.centres[name].sum,
		})
	}
	me.send(id, &wire.Control{Kind: &wire.Control_MemberDigest{MemberDigest: md}})
}

// compared answers a comparison, or asks for the buckets that an answer shows to differ.
func (me *Member) compared(md *wire.MemberDigest, from host.ID, now time.Time) {
	if md.GetReply() {
		me.pullBuckets(md, from, now)
		return
	}
	theirs := map[string]uint64{}
	for _, dd := range md.GetDataCentres() {
		theirs[dd.GetName()] = dd.GetSum()
	}
	for name := range me.centres {
		theirs[string(name)] += 0
	}
	reply := &wire.MemberDigest{Reply: true}
	for _, name := range slices.Sorted(maps.Keys(theirs)) {
		ce := me.centres[Name(name)]
		if ce == nil {
			ce = &centre{}
		}
		if ce.sum != theirs[name] {
			reply.DataCentres = append(reply.DataCentres, &wire.DataCentreDigest{
				Name:    name,
				Sum:     ce.sum,
				Buckets: slices.Clone(ce.sums[:]),
			})
		}
	}
	ms := &wire.Control{Kind: &wire.Control_MemberDigest{MemberDigest: reply}}
	me.resync.left -= float64(proto.Size(ms))
	me.send(from, ms)
}

// pullBuckets asks for the differing buckets, the own data centre's first.
func (me *Member) pullBuckets(md *wire.MemberDigest, from host.ID, now time.Time) {
	if me.sync.peer != from || me.sync.by.IsZero() {
		return
	}
	me.sync.by = now.Add(syncWithin)
	digests := slices.Clone(md.GetDataCentres())
	slices.SortStableFunc(digests, func(a, b *wire.DataCentreDigest) int {
		own := string(me.cfg.DataCentre)
		return compareBool(a.GetName() != own, b.GetName() != own)
	})
	for _, dd := range digests {
		if dd.GetName() == "" || len(dd.GetBuckets()) != buckets {
			me.note(NoteBadMessage, from, now)
			continue
		}
		ce := me.centre(Name(dd.GetName()))
		var differ []uint32
		for bu, sum := range dd.GetBuckets() {
			if sum != ce.sums[bu] {
				differ = append(differ, uint32(bu))
			}
		}
		me.sync.left += len(differ)
		me.send(from, pullMessage(ce.name, differ))
	}
	if me.sync.left == 0 {
		me.sync = comparison{}
	}
}

func pullMessage(name Name, differ []uint32) *wire.Control {
	return &wire.Control{
		Kind: &wire.Control_MemberPull{
			MemberPull: &wire.MemberPull{
				DataCentre: string(name),
				Buckets:    differ,
			},
		},
	}
}

// receivedMembers takes in records that were spread, or an answer to a pull.
func (me *Member) receivedMembers(ms *wire.Members, from host.ID, now time.Time) {
	fresh := me.merge(ms.GetHosts(), from, now)
	if len(ms.GetBuckets()) == 0 || len(fresh) <= floodRecords {
		me.passOn(fresh, from)
	}
	if len(ms.GetBuckets()) == 0 {
		return
	}
	me.giveBack(ms, from)
	if me.sync.peer != from || me.sync.by.IsZero() {
		return
	}
	me.sync.by = now.Add(syncWithin)
	me.sync.left -= len(ms.GetBuckets())
	me.sync.learned += len(fresh)
	if me.sync.left > 0 {
		return
	}
	learned := me.sync.learned
	me.sync = comparison{}
	if learned > floodRecords {
		me.tellNotice(now)
	}
}

// giveBack sends the records of answered buckets that are newer here.
func (me *Member) giveBack(ms *wire.Members, to host.ID) {
	asked := map[uint32]bool{}
	for _, bu := range ms.GetBuckets() {
		asked[bu] = true
	}
	theirs := map[string]*wire.Host{}
	for _, ho := range ms.GetHosts() {
		theirs[ho.GetId()] = ho
	}
	var back []*wire.Host
	for _, re := range me.recordsIn(Name(ms.GetDataCentre()), asked) {
		ho, have := theirs[string(re.id)]
		if !have && re.live() || have && newer(re.ho, ho) {
			back = append(back, re.ho)
		}
	}
	for piece := range slices.Chunk(back, pieceRecords) {
		answered := membersMessage(piece)
		me.resync.left -= float64(proto.Size(answered))
		me.send(to, answered)
	}
}

// recordsIn lists the records of some buckets in a fixed order.
func (me *Member) recordsIn(name Name, asked map[uint32]bool) []*record {
	ce := me.centres[name]
	if ce == nil {
		return nil
	}
	var res []*record
	for _, id := range slices.Sorted(maps.Keys(ce.hosts)) {
		if re := ce.hosts[id]; asked[re.bucket()] {
			res = append(res, re)
		}
	}
	return res
}

// enqueue keeps a pull until the budget allows its answer.
func (me *Member) enqueue(an answer, now time.Time) {
	if len(me.queue) >= resyncQueue {
		me.note(NoteResyncRefused, an.peer, now)
		return
	}
	me.queue = append(me.queue, an)
}

// serve answers the pulls that the budget allows, in turn.
func (me *Member) serve(now time.Time) {
	me.resync.refill(now)
	for len(me.queue) > 0 && me.resync.left > 0 {
		an := me.queue[0]
		me.queue = me.queue[1:]
		switch {
		case me.links[an.peer] == nil:
		case an.config != nil:
			me.answerConfig(an)
		default:
			me.answerMembers(an)
		}
	}
}

// answerMembers sends the records of some buckets; the rest goes to the end of the queue.
func (me *Member) answerMembers(an answer) {
	var hosts []*wire.Host
	taken := 0
	for _, bu := range an.buckets {
		if len(hosts) >= pieceRecords {
			break
		}
		taken++
		for _, re := range me.recordsIn(an.centre, map[uint32]bool{bu: true}) {
			hosts = append(hosts, re.ho)
		}
	}
	ms := membersMessage(hosts)
	ms.GetMembers().DataCentre = string(an.centre)
	ms.GetMembers().Buckets = an.buckets[:taken]
	me.resync.left -= float64(proto.Size(ms))
	me.send(an.peer, ms)
	if an.buckets = an.buckets[taken:]; len(an.buckets) > 0 {
		me.queue = append(me.queue, an)
	}
}
