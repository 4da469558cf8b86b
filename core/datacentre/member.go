package datacentre

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"lynxfold/core/contract"
	"lynxfold/core/host"
	"lynxfold/core/link"
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
	cfg     Config
	self    *wire.Host
	hosts   map[host.ID]*wire.Host
	links   map[host.ID]bool
	dials   map[string]*dial
	config  *contract.Snapshot
	kept    []*contract.Delta
	readAt  time.Time
	reading bool
	leaving bool
	changed bool
	acts    []Action
}

// dial is what is known of an address without a link.
type dial struct {
	backoff link.Backoff
	at      time.Time
	pending bool
}

// keptDeltas bounds the deltas kept for neighbours with a gap.
const keptDeltas = 256

// New builds a member with the empty configuration in force.
func New(cfg Config) *Member {
	self := &wire.Host{
		Id:            string(cfg.Host),
		DataCentre:    string(cfg.DataCentre),
		Address:       cfg.Address,
		RemoteAddress: cfg.RemoteAddress,
		Incarnation:   uint64(cfg.Incarnation),
	}
	me := &Member{
		cfg:    cfg,
		self:   self,
		hosts:  map[host.ID]*wire.Host{cfg.Host: self},
		links:  map[host.ID]bool{},
		dials:  map[string]*dial{},
		config: contract.Empty(),
	}
	for _, ad := range cfg.Contacts {
		me.contact(ad)
	}
	return me
}

// Hello is what this node says first on a new link.
func (me *Member) Hello() *wire.Hello {
	return &wire.Hello{
		Mesh:    me.cfg.Mesh,
		Host:    proto.CloneOf(me.self),
		Version: uint64(me.config.Version),
		Digest:  string(me.config.Digest),
	}
}

// Step feeds one event and returns what to do.
func (me *Member) Step(ev Event, now time.Time) []Action {
	me.acts = nil
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
		me.localUpstream(ev)
	case Accepted:
		me.offer(ev.Delta, "", now)
	case PlatformRead:
		me.platformRead(ev, now)
	case Leave:
		me.leave()
	}
	me.publish()
	return me.acts
}

func (me *Member) do(ac Action) { me.acts = append(me.acts, ac) }

func (me *Member) note(ki NoteKind, peer host.ID, ve contract.Version, err error, now time.Time) {
	me.do(Note{
		Kind:    ki,
		Peer:    peer,
		Version: ve,
		Err:     err,
		At:      now,
	})
}

func (me *Member) tick(now time.Time) {
	if !me.reading && !now.Before(me.readAt) {
		me.reading = true
		me.do(ReadPlatform{
			After:         me.config.Version,
			Introductions: len(me.links) == 0,
		})
	}
	for _, ad := range slices.Sorted(maps.Keys(me.dials)) {
		di := me.dials[ad]
		if di.pending || now.Before(di.at) || me.linkedTo(ad) {
			continue
		}
		di.pending = true
		me.do(Dial{Address: ad})
	}
}

// publish hands out a new view when the last event changed it.
func (me *Member) publish() {
	if !me.changed {
		return
	}
	me.changed = false
	me.do(Publish{View: me.view()})
}

func (me *Member) view() *View {
	vi := &View{
		Config:    me.config,
		Upstreams: map[contract.ServiceName][]Upstream{},
	}
	for _, id := range slices.Sorted(maps.Keys(me.hosts)) {
		ho := me.hosts[id]
		if ho.GetStatus() != wire.Status_STATUS_ALIVE {
			continue
		}
		for _, up := range ho.GetUpstreams() {
			if up.GetState() != wire.UpstreamState_UPSTREAM_STATE_READY {
				continue
			}
			name := contract.ServiceName(up.GetService())
			vi.Upstreams[name] = append(vi.Upstreams[name], me.upstreamOf(ho, up))
		}
	}
	return vi
}

func (me *Member) upstreamOf(ho *wire.Host, up *wire.Upstream) Upstream {
	return Upstream{
		Host:        host.ID(ho.GetId()),
		DataCentre:  Name(ho.GetDataCentre()),
		Address:     me.addressOf(ho),
		Incarnation: host.Incarnation(ho.GetIncarnation()),
		Service:     contract.ServiceName(up.GetService()),
		Slots:       host.Slots(up.GetSlots()),
	}
}
