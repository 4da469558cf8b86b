package datacentre

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"lynxfold/core/contract"
	"lynxfold/core/host"
	"lynxfold/core/quarantine"
	"lynxfold/core/rollout"
	"lynxfold/core/wire"
)

// Config configures a Member.
type Config struct {
	Mesh       string
	Host       host.ID
	DataCentre Name
	Address    string
	// RemoteAddress is the address for nodes of other data centres; empty means
	// Address.
	RemoteAddress string
	Incarnation   host.Incarnation
	// Contacts are the link addresses to dial first.
	Contacts []string
	// FleetSize is the largest number of hosts in the mesh.
	FleetSize int
	// ReadsPerSecond is the budget for platform reads, shared by all hosts.
	ReadsPerSecond float64
	// DialBase and DialCap limit the backoff between dials of one address.
	DialBase time.Duration
	DialCap  time.Duration
	Rand     *rand.Rand
	// StartedAt is the start time of the process.
	StartedAt time.Time
}

// Member is the state of one node in the mesh: a state machine without I/O that turns
// events into actions. It is not safe for concurrent use.
type Member struct {
	cfg   Config
	self  *wire.Host
	hosts map[host.ID]*record
	// tombstones holds the hosts that are dead or have left.
	tombstones map[host.ID]bool
	centres    map[Name]*centre
	// recordsDigest is the digest of the records of all live hosts.
	recordsDigest uint64
	liveHosts     int
	leaving       bool
	// ownUpstream is the latest state of the node's own upstream; ownUpdateAt is the
	// earliest time of its next non-urgent update.
	ownUpstream *wire.Upstream
	// neighboursHeard is set once a neighbour could tell which upstream has left.
	neighboursHeard bool
	ownUpdateAt     time.Time

	// links holds the linked peers, which comments also call neighbours.
	links    map[host.ID]*peer
	dials    map[string]*dialState
	contacts map[string]bool
	// introduced holds the addresses in the introduction rows as read since the start.
	introduced map[string]bool
	// desiredLinks holds the hosts that selectLinks chose; linksOutdated is set when it
	// must choose again.
	desiredLinks  map[host.ID]bool
	selectLinksAt time.Time
	linksOutdated bool
	avoidUntil    map[host.ID]time.Time
	rediscoverAt  time.Time
	// joinBudget limits the rate of links accepted from peers.
	joinBudget tokenBucket

	suspects map[host.ID]bool
	// redialDeadlines holds when hosts with a lost link become suspect.
	redialDeadlines map[host.ID]time.Time
	// outbox holds the hosts whose records are to be forwarded with the next tick,
	// each with the peers that already have the record.
	outbox     map[host.ID]map[host.ID]bool
	lastStepAt time.Time
	// graceUntil is until when no suspicion is raised, after a pause of this process.
	graceUntil time.Time

	reachability map[Name]*reachability
	antiEntropy  antiEntropyExchange
	crashes      *quarantine.Table
	rollouts     *rollout.Table
	// nextNoticeAt is when the next periodic notice is due.
	nextNoticeAt time.Time
	// pullQueue holds the pulls of peers that wait for an answer, resyncBudget the
	// bytes that may be sent in answers.
	pullQueue    []queuedPull
	resyncBudget tokenBucket

	versions versionState
	startup  startupState
	reads    platformReads
	view     viewBuilder
	// actions collects the result of the current Step.
	actions []Action
}

// New returns a member without an active version.
func New(cfg Config) *Member {
	self := &wire.Host{
		Id:            string(cfg.Host),
		DataCentre:    string(cfg.DataCentre),
		Address:       cfg.Address,
		RemoteAddress: cfg.RemoteAddress,
		Incarnation:   uint64(cfg.Incarnation),
	}
	me := &Member{
		cfg:             cfg,
		hosts:           map[host.ID]*record{},
		tombstones:      map[host.ID]bool{},
		centres:         map[Name]*centre{},
		links:           map[host.ID]*peer{},
		dials:           map[string]*dialState{},
		contacts:        map[string]bool{},
		desiredLinks:    map[host.ID]bool{},
		avoidUntil:      map[host.ID]time.Time{},
		suspects:        map[host.ID]bool{},
		redialDeadlines: map[host.ID]time.Time{},
		outbox:          map[host.ID]map[host.ID]bool{},
		reachability:    map[Name]*reachability{},
		versions:        newVersionState(),
		startup:         newStartupState(cfg.StartedAt),
		crashes:         quarantine.New(quarantine.Config{Host: cfg.Host}),
		rollouts:        rollout.NewTable(),
		view:            newViewBuilder(),
		joinBudget: tokenBucket{
			perSecond: joinsPerSecond,
			burst:     joinBurst,
			tokens:    joinBurst,
		},
		resyncBudget: tokenBucket{
			perSecond: resyncBytesPerSecond,
			burst:     resyncBurstBytes,
			tokens:    resyncBurstBytes,
		},
	}
	me.self = self
	me.storeRecord(self, cfg.StartedAt)
	for _, ad := range cfg.Contacts {
		me.addContact(ad)
	}
	me.reads.nextAt = cfg.StartedAt.Add(me.jitter(me.readPeriod(maxReadRequests)))
	return me
}

// Hello returns this node's first message on a new link.
func (me *Member) Hello() *wire.Hello {
	return &wire.Hello{
		Mesh:             me.cfg.Mesh,
		Host:             proto.CloneOf(me.self),
		Version:          uint64(me.versions.verified.Version),
		Digest:           string(me.versions.verified.Digest),
		Members:          me.recordsDigest,
		Settled:          me.activated(),
		MemberCount:      uint32(me.liveHosts),
		AcceptsPacked:    true,
		AcceptsCrashNews: true,

		AcceptsRolloutNews: true,
	}
}

// Step processes one event and returns the resulting actions. Messages precede the
// view that they announce, so that neighbours know a version before it becomes active.
func (me *Member) Step(ev Event, now time.Time) []Action {
	me.actions = nil
	me.detectPause(now)
	switch ev := ev.(type) {
	case Tick:
		me.tick(now)
	case LinkOpened:
		me.handleLinkOpened(ev, now)
	case LinkClosed:
		me.handleLinkClosed(ev.Peer, now)
	case DialFailed:
		me.handleDialFailed(ev.Address, now)
	case MessageReceived:
		me.handleMessage(ev, now)
	case LocalUpstream:
		me.handleLocalUpstream(ev, now)
	case VersionAccepted:
		me.processDelta(encodeDelta(ev.Delta), "", now)
	case PlatformRead:
		me.handlePlatformRead(ev, now)
	case IntroductionsRead:
		me.handleIntroductionsRead(ev, now)
	case IntroductionWritten:
		me.handleIntroductionWritten(ev, now)
	case CrashesFound:
		me.mergeCrashes(ev.News, "", now)
	case StoredCrashesRead:
		me.handleStoredCrashes(ev.News, now)
	case RolloutsFound:
		me.mergeRollouts(ev.Records, "", now)
	case Leave:
		me.handleLeave(now)
	}
	me.selectLinks(now)
	me.servePulls(now)
	me.tryActivate(now)
	me.publishView()
	return me.actions
}

func (me *Member) emit(ac Action) { me.actions = append(me.actions, ac) }

// note records a decision about a host.
func (me *Member) note(ki NoteKind, peer host.ID, now time.Time) {
	me.emit(Note{
		Kind: ki,
		Peer: peer,
		At:   now,
	})
}

// noteVersion records a decision about a version.
func (me *Member) noteVersion(ki NoteKind, ve contract.Version, from host.ID, err error, now time.Time) {
	me.emit(Note{
		Kind:    ki,
		Peer:    from,
		Version: ve,
		Err:     err,
		At:      now,
	})
}

func (me *Member) tick(now time.Time) {
	me.confirmDeaths(now)
	me.suspectLostHosts(now)
	me.announceUpstream(now)
	me.flushOutbox()
	me.flushCrashNews(now)
	me.tickReach(now)
	me.dialMissingLinks(now)
	me.rediscover(now)
	me.tickPull(now)
	me.tickNotice(now)
	me.tickReads(now)
	me.expireTombstones(now)
	me.crashes.Expire(now)
}

func (me *Member) handleMessage(ev MessageReceived, now time.Time) {
	pe := me.links[ev.Peer]
	if pe == nil {
		return // the link was refused or has just closed
	}
	switch ki := ev.Message.GetKind().(type) {
	case *wire.Control_Members:
		me.handleMembers(ki.Members, ev.Peer, now)
	case *wire.Control_Update:
		me.handleUpdate(ki.Update, ev.Peer, now)
	case *wire.Control_Notice:
		me.handleNotice(pe, ki.Notice, now)
	case *wire.Control_Pull:
		me.handlePull(ev.Peer, ki.Pull, now)
	case *wire.Control_Whole:
		me.handleSnapshot(ki.Whole, ev.Peer, now)
	case *wire.Control_MemberDigest:
		me.handleMemberDigest(ki.MemberDigest, ev.Peer, now)
	case *wire.Control_MemberPull:
		me.enqueuePull(queuedPull{
			peer:    ev.Peer,
			centre:  Name(ki.MemberPull.GetDataCentre()),
			buckets: ki.MemberPull.GetBuckets(),
		}, now)
	case *wire.Control_Floor:
		me.handleFloor(pe, ki.Floor, now)
	case *wire.Control_LinkEnd:
		me.handleLinkEnd(pe, ki.LinkEnd, now)
	case *wire.Control_Reach:
		me.handleReach(ki.Reach, ev.Peer, now)
	case *wire.Control_CrashNews:
		me.handleCrashNews(ki.CrashNews, ev.Peer, now)
	case *wire.Control_RolloutNews:
		me.handleRolloutNews(ki.RolloutNews, ev.Peer, now)
	default:
		me.note(NoteBadMessage, ev.Peer, now)
	}
}

// peers returns the linked peers in sorted order.
func (me *Member) peers() []host.ID { return slices.Sorted(maps.Keys(me.links)) }

func (me *Member) send(id host.ID, ms *wire.Control) {
	me.emit(Send{
		Peer:    id,
		Message: ms,
	})
}

// jitter returns a random duration in [0, span).
func (me *Member) jitter(span time.Duration) time.Duration {
	return time.Duration(me.cfg.Rand.Int64N(int64(max(span, 1))))
}

// tokenBucket limits a rate and allows bursts.
type tokenBucket struct {
	perSecond  float64
	burst      float64
	tokens     float64
	refilledAt time.Time
}

// refill adds the tokens since the last call.
func (tb *tokenBucket) refill(now time.Time) {
	if !tb.refilledAt.IsZero() && now.After(tb.refilledAt) {
		tb.tokens = min(tb.burst, tb.tokens+tb.perSecond*now.Sub(tb.refilledAt).Seconds())
	}
	tb.refilledAt = now
}

// take takes one token if there is one.
func (tb *tokenBucket) take(now time.Time) bool {
	tb.refill(now)
	if tb.tokens < 1 {
		return false
	}
	tb.tokens--
	return true
}
