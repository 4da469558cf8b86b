package process

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"lynxfold/core/contract"
	"lynxfold/core/datacentre"
	"lynxfold/core/host"
	"lynxfold/core/link"
	"lynxfold/core/wire"
	"lynxfold/io/ini"
	"lynxfold/io/node"
	"lynxfold/io/operator/record"
	"lynxfold/io/platform"
)

const (
	// tickEvery is the step of time of the control goroutine.
	tickEvery = 100 * time.Millisecond
	// inboxSize bounds the events that wait for the control goroutine.
	inboxSize = 1024
	// probeAfter and answerWithin find a silent link early enough for its host to be
	// out of every view within 3 s; see docs/design/0002-membership.md.
	probeAfter   = 750 * time.Millisecond
	answerWithin = 450 * time.Millisecond
	dialBase     = 200 * time.Millisecond
	dialCap      = 5 * time.Second
)

// Control owns all control state of a node and runs on one goroutine.
type Control struct {
	member   *datacentre.Member
	links    *node.Links
	platform platformParts
	// dataCentre is this host's own.
	dataCentre datacentre.Name
	// reincarnate tells the gate; it is set before the control goroutine starts.
	reincarnate  func(in host.Incarnation)
	invariants   *invariants
	log          zerolog.Logger
	counters     *controlCounters
	health       health
	dependencies dependencies
	// viewAt is when the view last changed.
	viewAt instant
	record *record.Record

	inbox   chan datacentre.Event
	linkBox chan node.Event
	reports chan chan<- *datacentre.Report
	stop    chan struct{}
	// jobs run beside the control goroutine, which starts them.
	jobs    sync.WaitGroup
	jobCtx  context.Context
	endJobs context.CancelFunc
	view    atomic.Pointer[datacentre.View]
	hello   atomic.Pointer[wire.Hello]
	known   platform.ETag
}

func newControl(
	se *ini.Settings,
	ad addresses,
	id identity,
	di *node.Dialer,
	pp platformParts,
	iv *invariants,
	co *controlCounters,
	lc *node.Counters,
	re *record.Record,
	log zerolog.Logger,
) *Control {
	contacts := make([]string, 0, len(se.Link.Contacts))
	for _, ap := range se.Link.Contacts {
		contacts = append(contacts, ap.String())
	}
	ct := &Control{
		platform:   pp,
		dataCentre: se.Host.DataCentre,
		invariants: iv,
		log:        log,
		counters:   co,
		record:     re,
		inbox:      make(chan datacentre.Event, inboxSize),
		linkBox:    make(chan node.Event, inboxSize),
		reports:    make(chan chan<- *datacentre.Report),
		stop:       make(chan struct{}),
	}
	ct.dependencies.log = log
	ct.jobCtx, ct.endJobs = context.WithCancel(context.Background())
	ct.member = datacentre.New(datacentre.Config{
		Mesh:           se.Mesh.Name,
		Host:           se.Host.ID,
		DataCentre:     se.Host.DataCentre,
		Address:        ad.advertise,
		RemoteAddress:  ad.remote,
		Incarnation:    id.incarnation,
		Contacts:       contacts,
		FleetSize:      se.Mesh.FleetSize,
		ReadsPerSecond: se.Platform.ReadsPerSecond,
		DialBase:       dialBase,
		DialCap:        dialCap,
		Rand:           id.rand(),
		StartedAt:      time.Now(),
	})
	ct.hello.Store(ct.member.Hello())
	ct.view.Store(&datacentre.View{Config: contract.EmptySnapshot()})
	ct.links = node.NewLinks(node.LinksConfig{
		Mesh:   se.Mesh.Name,
		Dialer: di,
		Detector: link.Config{
			ProbeAfter:   probeAfter,
			ProbeTimeout: answerWithin,
		},
		MaxConcurrentJoins:   se.Link.MaxConcurrentJoins,
		ResyncBytesPerSecond: se.Link.ResyncBytesPerSecond,
		Hello:                ct.hello.Load,
		Emit:                 ct.emitLink,
		Counters:             lc,
	})
	return ct
}

// View is what traffic reads.
func (ct *Control) View() *datacentre.View { return ct.view.Load() }

// Report asks the control goroutine what it knows; it is empty after the end.
func (ct *Control) Report() *datacentre.Report {
	answer := make(chan *datacentre.Report, 1)
	select {
	case ct.reports <- answer:
		return <-answer
	case <-ct.stop:
		return &datacentre.Report{}
	}
}

// Emit passes an event to the control goroutine; after the end it is dropped.
func (ct *Control) Emit(ev datacentre.Event) {
	select {
	case ct.inbox <- ev:
	case <-ct.stop:
	}
}

func (ct *Control) emitLink(ev node.Event) {
	select {
	case ct.linkBox <- ev:
	case <-ct.stop:
	}
}

// run is the control goroutine.
func (ct *Control) run() {
	defer ct.invariants.recovered()
	ti := time.NewTicker(tickEvery)
	defer ti.Stop()
	for {
		select {
		case ev := <-ct.inbox:
			ct.step(ev, time.Now())
		case ev := <-ct.linkBox:
			now := time.Now()
			for _, me := range ct.links.Handle(ev, now) {
				ct.step(me, now)
			}
			ct.dependencies.link(ev, ct.links.PeerCount())
		case answer := <-ct.reports:
			answer <- ct.member.Report()
		case now := <-ti.C:
			ct.health.beaten(now)
			ct.links.Tick(now)
			ct.step(datacentre.Tick{}, now)
		case <-ct.stop:
			return
		}
	}
}

func (ct *Control) step(ev datacentre.Event, now time.Time) {
	acts := ct.member.Step(ev, now)
	ct.dependencies.member(ev, ct.member.ReadsPlatform(), now)
	for _, ac := range acts {
		ct.execute(ac)
	}
	if _, ok := ev.(datacentre.Tick); ok && len(acts) == 0 {
		return // nothing has changed
	}
	ct.hello.Store(ct.member.Hello())
}

func (ct *Control) execute(ac datacentre.Action) {
	switch ac := ac.(type) {
	case datacentre.Send:
		ct.links.Send(ac.Peer, ac.Message)
	case datacentre.Dial:
		ct.links.Dial(ac.Address)
	case datacentre.CloseLink:
		ct.links.CloseLink(ac.Peer)
	case datacentre.Publish:
		ct.view.Store(ac.View)
		ct.viewAt.set(time.Now())
	case datacentre.ReadPlatform:
		ct.jobs.Go(func() { ct.read(ac) })
	case datacentre.WriteIntroduction:
		ct.jobs.Go(func() { ct.introduce(ac) })
	case datacentre.RaiseIncarnation:
		ct.reincarnate(ac.Incarnation)
	case datacentre.Note:
		ct.note(ac)
	}
}

func (ct *Control) note(no datacentre.Note) {
	ct.counters.note(no)
	recordNote(ct.record, no)
	if no.Kind == datacentre.NoteInvariantViolation {
		ct.invariants.violated(&InvariantError{
			Invariant: invariantConfig,
			Version:   no.Version,
			Err:       no.Err,
		})
	}
	ev := ct.log.Info()
	if no.Err != nil || no.Kind == datacentre.NoteInvariantViolation {
		ev = ct.log.Error().Err(no.Err)
	}
	ev.Str("reason", string(no.Kind)).
		Str("peer", string(no.Peer)).
		Str("grounds", string(no.Basis)).
		Uint64("config_version", uint64(no.Version)).
		Msg("control decision")
}

// gateViolated reports a fault of the gate's own decisions.
func (ct *Control) gateViolated(vi host.InvariantViolated) {
	ct.invariants.violated(&InvariantError{
		Invariant: Invariant(vi.Invariant),
		Attempt:   vi.ID,
	})
}

// upstreamChanged passes the state of this host's upstream to the member.
func (ct *Control) upstreamChanged(an host.Announcement) {
	ct.Emit(datacentre.LocalUpstream{
		Service:     an.Service,
		Slots:       an.Slots,
		Connections: an.Connections,
		State:       an.State,
	})
}
