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
	"lynxfold/core/quarantine"
	"lynxfold/core/wire"
	"lynxfold/io/ini"
	"lynxfold/io/node"
	"lynxfold/io/operator/record"
	"lynxfold/io/platform"
	"lynxfold/io/upstream"
)

const (
	// tickInterval is the period of the control goroutine's timers.
	tickInterval = 100 * time.Millisecond
	// eventQueueSize bounds the events that wait for the control goroutine.
	eventQueueSize = 1024
	// probeAfter and probeTimeout detect a silent link early enough that its host is
	// out of every view within 3 s; see docs/design/0002-membership.md.
	probeAfter      = 750 * time.Millisecond
	probeTimeout    = 450 * time.Millisecond
	redialBaseDelay = 200 * time.Millisecond
	redialMaxDelay  = 5 * time.Second
)

// Control owns all control state of a node and runs on one goroutine.
type Control struct {
	member   *datacentre.Member
	links    *node.Links
	platform platformParams
	// dataCentre is this host's own.
	dataCentre datacentre.Name
	// raiseIncarnation raises the incarnation of the gate; it is set before the control
	// goroutine starts.
	raiseIncarnation func(in host.Incarnation)
	// learnDeparture and neighboursHeard tell the gate about this host's former upstream;
	// they are set with raiseIncarnation.
	learnDeparture  func(de host.Departure)
	neighboursHeard func()
	// rollouts is nil while they are off.
	rollouts *rollouts
	// crashes is what the ingress and the gate know of requests that crash upstreams.
	crashes *upstream.Quarantine
	// crashesRead is set once the platform's table has been read for it.
	crashesRead  atomic.Bool
	invariants   *invariants
	log          zerolog.Logger
	counters     *controlCounters
	health       health
	dependencies dependencyLog
	// tickEvery is the period of the timers.
	tickEvery time.Duration
	// viewChangedAt is when the view last changed.
	viewChangedAt atomicTime
	record        *record.Record

	events         chan datacentre.Event
	linkEvents     chan node.Event
	reportRequests chan chan<- *datacentre.Report
	stop           chan struct{}
	// jobs run beside the control goroutine, which starts them.
	jobs       sync.WaitGroup
	jobCtx     context.Context
	cancelJobs context.CancelFunc
	view       atomic.Pointer[datacentre.View]
	hello      atomic.Pointer[wire.Hello]
	// configETag is the ETag of the last platform read; only the read in flight uses it.
	configETag platform.ETag
}

func newControl(
	se *ini.Settings,
	ad advertisedAddresses,
	id identity,
	di *node.Dialer,
	pp platformParams,
	ro *rollouts,
	iv *invariants,
	co *controlCounters,
	lc *node.Counters,
	re *record.Record,
	log zerolog.Logger,
) *Control {
	ct := &Control{
		platform:       pp,
		rollouts:       ro,
		dataCentre:     se.Host.DataCentre,
		tickEvery:      tickInterval,
		invariants:     iv,
		log:            log,
		counters:       co,
		record:         re,
		events:         make(chan datacentre.Event, eventQueueSize),
		linkEvents:     make(chan node.Event, eventQueueSize),
		reportRequests: make(chan chan<- *datacentre.Report),
		stop:           make(chan struct{}),
	}
	ct.crashes = ct.newQuarantine(se)
	ct.dependencies.log = log
	ct.jobCtx, ct.cancelJobs = context.WithCancel(context.Background())
	ct.member = datacentre.New(datacentre.Config{
		Mesh:           se.Mesh.Name,
		Host:           se.Host.ID,
		DataCentre:     se.Host.DataCentre,
		Address:        ad.local,
		RemoteAddress:  ad.remote,
		Incarnation:    id.incarnation,
		Contacts:       contactAddresses(se),
		FleetSize:      se.Mesh.FleetSize,
		ReadsPerSecond: se.Platform.ReadsPerSecond,
		DialBase:       redialBaseDelay,
		DialCap:        redialMaxDelay,
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
			ProbeTimeout: probeTimeout,
		},
		MaxConcurrentJoins:   se.Link.MaxConcurrentJoins,
		ResyncBytesPerSecond: se.Link.ResyncBytesPerSecond,
		Hello:                ct.hello.Load,
		Emit:                 ct.emitLinkEvent,
		Counters:             lc,
	})
	return ct
}

// newQuarantine returns a quarantine whose news goes to other hosts.
func (ct *Control) newQuarantine(se *ini.Settings) *upstream.Quarantine {
	return upstream.NewQuarantine(upstream.QuarantineConfig{
		Core: quarantine.Config{
			Host: se.Host.ID,
			Hold: se.Upstream.QuarantineFor,
		},
		OnNews: func(ne quarantine.News) { ct.Emit(datacentre.CrashesFound{News: ne}) },
	})
}

// contactAddresses returns the addresses of the contacts in the settings.
func contactAddresses(se *ini.Settings) []string {
	contacts := make([]string, 0, len(se.Link.Contacts))
	for _, ap := range se.Link.Contacts {
		contacts = append(contacts, ap.String())
	}
	return contacts
}

// View returns the view that calls are routed by.
func (ct *Control) View() *datacentre.View { return ct.view.Load() }

// Report asks the control goroutine for its state; it is empty after shutdown.
func (ct *Control) Report() *datacentre.Report {
	answer := make(chan *datacentre.Report, 1)
	select {
	case ct.reportRequests <- answer:
		return <-answer
	case <-ct.stop:
		return &datacentre.Report{}
	}
}

// Emit passes an event to the control goroutine; after shutdown it is dropped.
func (ct *Control) Emit(ev datacentre.Event) {
	select {
	case ct.events <- ev:
	case <-ct.stop:
	}
}

func (ct *Control) emitLinkEvent(ev node.Event) {
	select {
	case ct.linkEvents <- ev:
	case <-ct.stop:
	}
}

// run is the loop of the control goroutine.
func (ct *Control) run() {
	defer ct.invariants.exitOnPanic()
	ti := time.NewTicker(ct.tickEvery)
	defer ti.Stop()
	// A node that starts asks for what it lacks as soon as it may.
	ct.step(datacentre.Tick{}, time.Now())
	firstRead := time.NewTimer(time.Until(ct.member.NextReadAt()))
	defer firstRead.Stop()
	for {
		select {
		case ev := <-ct.events:
			ct.step(ev, time.Now())
		case ev := <-ct.linkEvents:
			now := time.Now()
			for _, me := range ct.links.Handle(ev, now) {
				ct.step(me, now)
			}
			ct.dependencies.linkEvent(ev, ct.links.PeerCount())
		case answer := <-ct.reportRequests:
			answer <- ct.member.Report()
		case now := <-firstRead.C:
			ct.step(datacentre.Tick{}, now)
		case now := <-ti.C:
			ct.health.recordTick(now)
			ct.links.Tick(now)
			ct.step(datacentre.Tick{}, now)
		case <-ct.stop:
			return
		}
	}
}

func (ct *Control) step(ev datacentre.Event, now time.Time) {
	acts := ct.member.Step(ev, now)
	ct.dependencies.memberEvent(ev, ct.member.ReadsPlatform(), now)
	for _, ac := range acts {
		ct.execute(ac)
	}
	if _, ok := ev.(datacentre.Tick); ok && len(acts) == 0 {
		return // the state is unchanged
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
		if ct.rollouts != nil {
			ct.rollouts.viewChanged(ac.View, time.Now())
		}
		ct.view.Store(ac.View)
		ct.viewChangedAt.set(time.Now())
	case datacentre.ReadPlatform:
		ct.jobs.Go(func() { ct.readPlatform(ac) })
	case datacentre.WriteIntroduction:
		ct.jobs.Go(func() { ct.writeIntroduction(ac) })
	case datacentre.StoreCrashes:
		ct.jobs.Go(func() { ct.storeCrashes(ac) })
	case datacentre.LearnCrashes:
		ct.crashes.Merge(ac.News)
	case datacentre.LearnRollouts:
		if ct.rollouts != nil {
			ct.rollouts.learn(ac.Records, time.Now())
		}
	case datacentre.RaiseIncarnation, datacentre.LearnDeparture, datacentre.NeighboursHeard:
		ct.tellGate(ac)
	case datacentre.Note:
		ct.handleNote(ac)
	}
}

// tellGate carries out the actions that tell the gate something.
func (ct *Control) tellGate(ac datacentre.Action) {
	switch ac := ac.(type) {
	case datacentre.RaiseIncarnation:
		ct.raiseIncarnation(ac.Incarnation)
	case datacentre.LearnDeparture:
		ct.learnDeparture(ac.Departure)
	case datacentre.NeighboursHeard:
		ct.neighboursHeard()
	}
}

func (ct *Control) handleNote(no datacentre.Note) {
	ct.counters.countNote(no)
	recordNote(ct.record, no)
	if no.Kind == datacentre.NoteInvariantViolation {
		ct.invariants.report(&InvariantError{
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

// reportGateViolation reports a violated invariant of the gate's own decisions.
func (ct *Control) reportGateViolation(vi host.InvariantViolated) {
	ct.invariants.report(&InvariantError{
		Invariant: Invariant(vi.Invariant),
		Attempt:   vi.ID,
	})
}

// emitUpstreamChange passes the state of this host's upstream to the member.
func (ct *Control) emitUpstreamChange(an host.Announcement) {
	ct.Emit(datacentre.LocalUpstream{
		Service:     an.Service,
		Slots:       an.Slots,
		Connections: an.Connections,
		State:       an.State,
		Release:     an.Release,
		Instance:    an.Instance,
		StartedAt:   an.StartedAt,
	})
}
