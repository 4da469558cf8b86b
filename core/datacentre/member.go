package datacentre

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"lynxfold/core/contract"
	"lynxfold/core/host"
	"lynxfold/core/wire"
)

// Config sets up a member.
type Config struct {
	Mesh       string
	Host       host.ID
	DataCentre Name
	Address    string
	// RemoteAddress is told to nodes of other data centres; Address when empty.
	RemoteAddress string
	Incarnation   host.Incarnation
	// Contacts are link addresses to try first.
	Contacts []string
	// FleetSize is how many hosts the mesh has at most.
	FleetSize int
	// ReadsPerSecond is the budget of platform reads of all hosts together.
	ReadsPerSecond float64
	// DialBase and DialCap bound the backoff between dials of one address.
	DialBase time.Duration
	DialCap  time.Duration
	Rand     *rand.Rand
	// StartedAt is when the process started.
	StartedAt time.Time
}

// Member is one node's knowledge of the mesh. It is driven by one goroutine.
type Member struct {
	cfg   Config
	self  *wire.Host
	hosts map[host.ID]*record
	// gone holds the hosts that are dead or have left.
	gone    map[host.ID]bool
	centres map[Name]*centre
	sum     uint64
	alive   int
	leaving bool
	// upstream is the newest state of the own upstream; ownAt is when it may be
	// spread next.
	upstream *wire.Upstream
	ownAt    time.Time

	links    map[host.ID]*peer
	dials    map[string]*dial
	contacts map[string]bool
	wants    map[host.ID]bool
	wantsAt  time.Time
	stale    bool
	avoid    map[host.ID]time.Time
	knockAt  time.Time
	joins    bucket

	suspects map[host.ID]bool
	lost     map[host.ID]time.Time
	// outbox holds the hosts whose records are to be passed on, with the peers
	// that have them.
	outbox  map[host.ID]map[host.ID]bool
	stepAt  time.Time
	graceBy time.Time

	reaches  map[Name]*reach
	sync     comparison
	noticeAt time.Time
	queue    []answer
	resync   bucket

	spread spread
	start  start
	reads  reads
	view   viewBuilder
	acts   []Action
}

// New builds a member that has nothing in force.
func New(cfg Config) *Member {
	self := &wire.Host{
		Id:            string(cfg.Host),
		DataCentre:    string(cfg.DataCentre),
		Address:       cfg.Address,
		RemoteAddress: cfg.RemoteAddress,
		Incarnation:   uint64(cfg.Incarnation),
	}
	me := &Member{
		cfg:      cfg,
		hosts:    map[host.ID]*record{},
		gone:     map[host.ID]bool{},
		centres:  map[Name]*centre{},
		links:    map[host.ID]*peer{},
		dials:    map[string]*dial{},
		contacts: map[string]bool{},
		wants:    map[host.ID]bool{},
		avoid:    map[host.ID]time.Time{},
		suspects: map[host.ID]bool{},
		lost:     map[host.ID]time.Time{},
		outbox:   map[host.ID]map[host.ID]bool{},
		reaches:  map[Name]*reach{},
		spread:   newSpread(),
		start:    newStart(cfg.StartedAt),
		view:     newViewBuilder(),
		joins: bucket{
			perSecond: joinsPerSecond,
			burst:     joinBurst,
			left:      joinBurst,
		},
		resync: bucket{
			perSecond: resyncBytesPerSecond,
			burst:     resyncBurst,
			left:      resyncBurst,
		},
	}
	me.self = self
	me.put(self, cfg.StartedAt)
	for _, ad := range cfg.Contacts {
		me.contact(ad)
	}
	me.reads.at = cfg.StartedAt.Add(me.jitter(me.readPeriod(mostReads)))
	return me
}

// Hello is what this node says first on a new link.
func (me *Member) Hello() *wire.Hello {
	return &wire.Hello{
		Mesh:        me.cfg.Mesh,
		Host:        proto.CloneOf(me.self),
		Version:     uint64(me.spread.held.Version),
		Digest:      string(me.spread.held.Digest),
		Members:     me.sum,
		Settled:     me.settled(),
		MemberCount: uint32(me.alive),
	}
}

// Step feeds one event and returns what to do. Messages come before the view
// that they announce, so that neighbours remember a version before it is in force.
func (me *Member) Step(ev Event, now time.Time) []Action {
	me.acts = nil
	me.noticePause(now)
	switch ev := ev.(type) {
	case Tick:
		me.tick(now)
	case LinkOpened:
		me.linkOpened(ev, now)
	case LinkClosed:
		me.linkClosed(ev.Peer, now)
	case DialFailed:
		me.dialFailed(ev.Address, now)
	case Received:
		me.received(ev, now)
	case LocalUpstream:
		me.localUpstream(ev, now)
	case Accepted:
		me.offer(ev.Delta, ev.Delta.Encode(), "", now)
	case PlatformRead:
		me.platformRead(ev, now)
	case Introduced:
		me.introduced(ev, now)
	case Leave:
		me.leave(now)
	}
	me.chooseLinks(now)
	me.serve(now)
	me.settle(now)
	me.publish()
	return me.acts
}

func (me *Member) do(ac Action) { me.acts = append(me.acts, ac) }

// note records a decision about a host.
func (me *Member) note(ki NoteKind, peer host.ID, now time.Time) {
	me.do(Note{
		Kind: ki,
		Peer: peer,
		At:   now,
	})
}

// noteVersion records a decision about a version.
func (me *Member) noteVersion(ki NoteKind, ve contract.Version, from host.ID, err error, now time.Time) {
	me.do(Note{
		Kind:    ki,
		Peer:    from,
		Version: ve,
		Err:     err,
		At:      now,
	})
}

func (me *Member) tick(now time.Time) {
	me.confirmSuspects(now)
	me.accuseLost(now)
	me.announceOwn(now)
	me.flushOutbox()
	me.tickReach(now)
	me.dialDue(now)
	me.knock(now)
	me.tickSpread(now)
	me.tickNotice(now)
	me.tickReads(now)
	me.forgetGone(now)
}

func (me *Member) received(ev Received, now time.Time) {
	pe := me.links[ev.Peer]
	if pe == nil {
		return // a refused link, or one that has just closed
	}
	switch ki := ev.Message.GetKind().(type) {
	case *wire.Control_Members:
		me.receivedMembers(ki.Members, ev.Peer, now)
	case *wire.Control_Update:
		me.update(ki.Update, ev.Peer, now)
	case *wire.Control_Notice:
		me.noticed(pe, ki.Notice, now)
	case *wire.Control_Pull:
		me.pulled(ev.Peer, ki.Pull, now)
	case *wire.Control_Whole:
		me.whole(ki.Whole, ev.Peer, now)
	case *wire.Control_MemberDigest:
		me.compared(ki.MemberDigest, ev.Peer, now)
	case *wire.Control_MemberPull:
		me.enqueue(answer{
			peer:    ev.Peer,
			centre:  Name(ki.MemberPull.GetDataCentre()),
			buckets: ki.MemberPull.GetBuckets(),
		}, now)
	case *wire.Control_Floor:
		me.floorGiven(pe, ki.Floor, now)
	case *wire.Control_LinkEnd:
		me.linkEnds(pe, ki.LinkEnd, now)
	case *wire.Control_Reach:
		me.reachStated(ki.Reach, ev.Peer, now)
	default:
		me.note(NoteBadMessage, ev.Peer, now)
	}
}

// peers lists the linked peers in a fixed order.
func (me *Member) peers() []host.ID { return slices.Sorted(maps.Keys(me.links)) }

func (me *Member) send(id host.ID, ms *wire.Control) {
	me.do(Send{
		Peer:    id,
		Message: ms,
	})
}

// jitter draws a time between 0 and a span.
func (me *Member) jitter(span time.Duration) time.Duration {
	return time.Duration(me.cfg.Rand.Int64N(int64(max(span, 1))))
}

// bucket is a budget that refills with time.
type bucket struct {
	perSecond float64
	burst     float64
	left      float64
	at        time.Time
}

// refill adds what has come in since the last call.
func (bu *bucket) refill(now time.Time) {
	if !bu.at.IsZero() && now.After(bu.at) {
		bu.left = min(bu.burst, bu.left+bu.perSecond*now.Sub(bu.at).Seconds())
	}
	bu.at = now
}

// take spends one unit when there is one.
func (bu *bucket) take(now time.Time) bool {
	bu.refill(now)
	if bu.left < 1 {
		return false
	}
	bu.left--
	return true
}
