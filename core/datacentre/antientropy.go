package datacentre

import (
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"lynxfold/core/host"
	"lynxfold/core/wire"
)

// antiEntropyExchange is the state of an anti-entropy exchange of host records; at
// most one that this node started is in progress.
type antiEntropyExchange struct {
	peer host.ID
	// deadline is when the exchange counts as failed; zero while none is in progress.
	deadline time.Time
	// pendingBuckets counts the requested buckets that have not arrived.
	pendingBuckets int
	// learnedRecords counts the new records received.
	learnedRecords int
}

// queuedPull is a pull of a peer that waits for its answer.
type queuedPull struct {
	peer host.ID
	// centre and buckets are set for a pull of host records.
	centre  Name
	buckets []uint32
	// versions is set for a pull of configuration versions.
	versions *wire.Pull
}

// antiEntropyAfterHello starts an exchange if the peer knows more live hosts. If both
// know equally many, only the end with the lower host id starts one.
func (me *Member) antiEntropyAfterHello(pe *peer, he *wire.Hello, now time.Time) {
	more := int(he.GetMemberCount()) > me.liveHosts
	equal := int(he.GetMemberCount()) == me.liveHosts && pe.id > me.cfg.Host
	if he.GetMembers() != me.recordsDigest && (more || equal) {
		me.startAntiEntropy(pe.id, now)
	}
}

// tickNotice sends a periodic notice to a random peer. A node without an active
// version sends it to all peers, which answer with the floors that they remember.
func (me *Member) tickNotice(now time.Time) {
	if now.Before(me.nextNoticeAt) || len(me.links) == 0 {
		return
	}
	if !me.activated() {
		me.nextNoticeAt = now.Add(startupNoticeInterval)
		me.broadcastNotice(now)
		return
	}
	me.nextNoticeAt = now.Add(noticeInterval/2 + me.jitter(noticeInterval))
	peers := me.peers()
	me.sendNotice(peers[me.cfg.Rand.IntN(len(peers))], now)
}

func (me *Member) sendNotice(id host.ID, now time.Time) {
	if pe := me.links[id]; pe != nil {
		pe.noticeSentAt = now
	}
	me.send(id, me.noticeMessage())
}

// broadcastNotice sends a notice to every linked peer.
func (me *Member) broadcastNotice(now time.Time) {
	for _, id := range me.peers() {
		me.sendNotice(id, now)
	}
}

func (me *Member) noticeMessage() *wire.Control {
	return &wire.Control{
		Kind: &wire.Control_Notice{
			Notice: &wire.Notice{
				Version:     uint64(me.versions.verified.Version),
				Crashes:     me.crashes.Checksum(),
				Rollouts:    me.rollouts.Checksum(),
				Refused:     uint64(me.versions.announcedRefusal()),
				Members:     me.recordsDigest,
				MemberCount: uint32(me.liveHosts),
				Settled:     me.activated(),
			},
		},
	}
}

// antiEntropyAfterNotice starts an exchange if the peer's digest differs. The side
// that knows fewer live hosts starts it, so that a restarted host pulls instead of
// being pulled from.
func (me *Member) antiEntropyAfterNotice(pe *peer, no *wire.Notice, now time.Time) {
	if no.GetMembers() == me.recordsDigest {
		return
	}
	if int(no.GetMemberCount()) >= me.liveHosts {
		me.startAntiEntropy(pe.id, now)
		return
	}
	if now.Sub(pe.noticeSentAt) >= noticeInterval/2 {
		me.sendNotice(pe.id, now)
	}
}

func (me *Member) startAntiEntropy(id host.ID, now time.Time) {
	if now.Before(me.antiEntropy.deadline) {
		return
	}
	me.antiEntropy = antiEntropyExchange{
		peer:     id,
		deadline: now.Add(antiEntropyTimeout),
	}
	md := &wire.MemberDigest{}
	for _, name := range slices.Sorted(maps.Keys(me.centres)) {
		md.DataCentres = append(md.DataCentres, &wire.DataCentreDigest{
			Name: string(name),
			Sum:  me.centres[name].digest,
		})
	}
	me.send(id, &wire.Control{Kind: &wire.Control_MemberDigest{MemberDigest: md}})
}

// handleMemberDigest answers the first digest of an exchange with the bucket digests
// of the data centres that differ; after such an answer it pulls the differing
// buckets.
func (me *Member) handleMemberDigest(md *wire.MemberDigest, from host.ID, now time.Time) {
	if md.GetReply() {
		me.pullDifferingBuckets(md, from, now)
		return
	}
	theirs := map[string]uint64{}
	for _, dd := range md.GetDataCentres() {
		theirs[dd.GetName()] = dd.GetSum()
	}
	// Data centres that the peer does not know count with digest 0.
	for name := range me.centres {
		theirs[string(name)] += 0
	}
	reply := &wire.MemberDigest{Reply: true}
	for _, name := range slices.Sorted(maps.Keys(theirs)) {
		ce := me.centres[Name(name)]
		if ce == nil {
			ce = &centre{}
		}
		if ce.digest != theirs[name] {
			reply.DataCentres = append(reply.DataCentres, &wire.DataCentreDigest{
				Name:    name,
				Sum:     ce.digest,
				Buckets: slices.Clone(ce.bucketDigests[:]),
			})
		}
	}
	ms := &wire.Control{Kind: &wire.Control_MemberDigest{MemberDigest: reply}}
	me.resyncBudget.tokens -= float64(proto.Size(ms))
	me.send(from, ms)
}

// pullDifferingBuckets pulls the differing buckets, those of the node's own data
// centre first.
func (me *Member) pullDifferingBuckets(md *wire.MemberDigest, from host.ID, now time.Time) {
	if me.antiEntropy.peer != from || me.antiEntropy.deadline.IsZero() {
		return
	}
	me.antiEntropy.deadline = now.Add(antiEntropyTimeout)
	digests := slices.Clone(md.GetDataCentres())
	slices.SortStableFunc(digests, func(a, b *wire.DataCentreDigest) int {
		own := string(me.cfg.DataCentre)
		return compareBool(a.GetName() != own, b.GetName() != own)
	})
	for _, dd := range digests {
		if dd.GetName() == "" || len(dd.GetBuckets()) != digestBuckets {
			me.note(NoteBadMessage, from, now)
			continue
		}
		ce := me.centre(Name(dd.GetName()))
		var differing []uint32
		for bu, sum := range dd.GetBuckets() {
			if sum != ce.bucketDigests[bu] {
				differing = append(differing, uint32(bu))
			}
		}
		me.antiEntropy.pendingBuckets += len(differing)
		me.send(from, memberPullMessage(ce.name, differing))
	}
	if me.antiEntropy.pendingBuckets == 0 {
		me.antiEntropy = antiEntropyExchange{}
	}
}

func memberPullMessage(name Name, differing []uint32) *wire.Control {
	return &wire.Control{
		Kind: &wire.Control_MemberPull{
			MemberPull: &wire.MemberPull{
				DataCentre: string(name),
				Buckets:    differing,
			},
		},
	}
}

// handleMembers merges forwarded records or the answer to a pull. Only an answer names
// buckets.
func (me *Member) handleMembers(ms *wire.Members, from host.ID, now time.Time) {
	updates := me.merge(ms.GetHosts(), from, now)
	if len(ms.GetBuckets()) == 0 || len(updates) <= maxForwardedRecords {
		me.forwardRecords(updates, from)
	}
	if len(ms.GetBuckets()) == 0 {
		return
	}
	me.sendNewerRecords(ms, from)
	if me.antiEntropy.peer != from || me.antiEntropy.deadline.IsZero() {
		return
	}
	me.antiEntropy.deadline = now.Add(antiEntropyTimeout)
	me.antiEntropy.pendingBuckets -= len(ms.GetBuckets())
	me.antiEntropy.learnedRecords += len(updates)
	if me.antiEntropy.pendingBuckets > 0 {
		return
	}
	learned := me.antiEntropy.learnedRecords
	me.antiEntropy = antiEntropyExchange{}
	if learned > maxForwardedRecords {
		me.broadcastNotice(now)
	}
}

// sendNewerRecords sends back the records of the answered buckets that the peer lacks or
// has an older version of.
func (me *Member) sendNewerRecords(ms *wire.Members, to host.ID) {
	asked := map[uint32]bool{}
	for _, bu := range ms.GetBuckets() {
		asked[bu] = true
	}
	theirs := map[string]*wire.Host{}
	for _, ho := range ms.GetHosts() {
		theirs[ho.GetId()] = ho
	}
	var newerRecords []*wire.Host
	for _, re := range me.recordsInBuckets(Name(ms.GetDataCentre()), asked) {
		ho, have := theirs[string(re.id)]
		if !have && re.live() || have && newer(re.host, ho) {
			newerRecords = append(newerRecords, re.host)
		}
	}
	for chunk := range slices.Chunk(newerRecords, maxRecordsPerMessage) {
		reply := membersMessage(chunk)
		me.resyncBudget.tokens -= float64(proto.Size(reply))
		me.send(to, reply)
	}
}

// recordsInBuckets returns the records of some buckets in sorted order.
func (me *Member) recordsInBuckets(name Name, buckets map[uint32]bool) []*record {
	ce := me.centres[name]
	if ce == nil {
		return nil
	}
	var res []*record
	for _, id := range slices.Sorted(maps.Keys(ce.hosts)) {
		if re := ce.hosts[id]; buckets[re.bucket()] {
			res = append(res, re)
		}
	}
	return res
}

// enqueuePull queues a pull until the budget allows its answer.
func (me *Member) enqueuePull(qp queuedPull, now time.Time) {
	if len(me.pullQueue) >= maxQueuedPulls {
		me.note(NoteResyncRefused, qp.peer, now)
		return
	}
	me.pullQueue = append(me.pullQueue, qp)
}

// servePulls answers queued pulls in order, as far as the budget allows.
func (me *Member) servePulls(now time.Time) {
	me.resyncBudget.refill(now)
	for len(me.pullQueue) > 0 && me.resyncBudget.tokens > 0 {
		qp := me.pullQueue[0]
		me.pullQueue = me.pullQueue[1:]
		switch {
		case me.links[qp.peer] == nil:
		case qp.versions != nil:
			me.answerVersionPull(qp)
		default:
			me.answerMemberPull(qp)
		}
	}
}

// answerMemberPull sends the records of some buckets; a remainder is queued again at
// the end.
func (me *Member) answerMemberPull(qp queuedPull) {
	var hosts []*wire.Host
	taken := 0
	for _, bu := range qp.buckets {
		if len(hosts) >= maxRecordsPerMessage {
			break
		}
		taken++
		for _, re := range me.recordsInBuckets(qp.centre, map[uint32]bool{bu: true}) {
			hosts = append(hosts, re.host)
		}
	}
	ms := membersMessage(hosts)
	ms.GetMembers().DataCentre = string(qp.centre)
	ms.GetMembers().Buckets = qp.buckets[:taken]
	me.resyncBudget.tokens -= float64(proto.Size(ms))
	me.send(qp.peer, ms)
	if qp.buckets = qp.buckets[taken:]; len(qp.buckets) > 0 {
		me.pullQueue = append(me.pullQueue, qp)
	}
}
