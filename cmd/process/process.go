// Package process wires and runs one node: the control goroutine, the gate and
// the listeners for callers, upstreams, operators and other nodes.
package process

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"go.uber.org/dig"

	"lynxfold/core/call"
	"lynxfold/core/host"
	"lynxfold/io/caller"
	"lynxfold/io/ini"
	"lynxfold/io/node"
	"lynxfold/io/operator"
	"lynxfold/io/operator/record"
	"lynxfold/io/platform"
	"lynxfold/io/upstream"
)

// identity distinguishes this process from earlier ones on the same host.
type identity struct {
	incarnation host.Incarnation
}

func newIdentity() identity {
	return identity{incarnation: host.Incarnation(time.Now().UnixNano())}
}

func (id identity) rand() *rand.Rand {
	return rand.New(rand.NewPCG(uint64(id.incarnation), rand.Uint64()))
}

// sockets are the listeners of a node.
type sockets struct {
	link     net.Listener
	caller   net.Listener
	upstream net.Listener
	operator net.Listener
	// health and metrics are nil when the settings give no address for them.
	health  net.Listener
	metrics net.Listener
}

// advertisedAddresses are the link addresses that other nodes dial.
type advertisedAddresses struct {
	// local is the address for nodes of the same data centre.
	local string
	// remote is empty when nodes of other data centres use the same address.
	remote string
}

// listen opens all sockets, or none when one of them fails.
func listen(se *ini.Settings) (*sockets, error) {
	so := &sockets{}
	for _, it := range []struct {
		address  netip.AddrPort
		listener *net.Listener
	}{
		{address: se.Link.Listen, listener: &so.link},
		{address: se.Caller.Listen, listener: &so.caller},
		{address: se.Upstream.Listen, listener: &so.upstream},
		{address: se.Operator.Listen, listener: &so.operator},
		{address: se.Health.Listen, listener: &so.health},
		{address: se.Health.Metrics, listener: &so.metrics},
	} {
		if !it.address.IsValid() {
			continue
		}
		li, err := net.Listen("tcp", it.address.String())
		if err != nil {
			so.close()
			return nil, errors.Wrapf(err, "listen on %s", it.address)
		}
		*it.listener = li
	}
	return so, nil
}

func (so *sockets) close() {
	for _, li := range []net.Listener{so.link, so.caller, so.upstream, so.operator, so.health, so.metrics} {
		if li != nil {
			_ = li.Close()
		}
	}
}

// newAdvertisedAddresses returns the addresses from the settings. When the port is
// 0, it uses the address and port that the listener got from the system.
func newAdvertisedAddresses(se *ini.Settings, so *sockets) advertisedAddresses {
	ad := advertisedAddresses{local: se.Link.Advertise.String()}
	if se.Link.Advertise.Port() == 0 {
		ad.local = so.link.Addr().String()
	}
	if se.Link.AdvertiseRemote.IsValid() {
		ad.remote = se.Link.AdvertiseRemote.String()
	}
	return ad
}

// Process is one node.
type Process struct {
	settings         *ini.Settings
	sockets          *sockets
	control          *Control
	rollouts         *rollouts
	gate             *upstream.Gate
	client           *upstream.Client
	callPool         *node.CallPool
	callServer       *node.CallServer
	quotas           *node.Quotas
	caller           *caller.Server
	operator         *operator.Server
	health           *operator.HealthServer
	prober           upstream.Prober
	unanswered       unansweredSignal
	keyPair          *operator.KeyPair
	announceListener *upstream.AnnouncementServer
	linkListener     *node.Listener
	certificates     *node.Certificates
	log              zerolog.Logger
	goroutines       sync.WaitGroup
	// abortCtx ends the wait for calls in flight.
	abortCtx context.Context
	abort    context.CancelFunc
}

// Telemetry is where a node writes its logs and metrics.
type Telemetry struct {
	// Important receives failures, outcomes in doubt and changes in the node's view.
	Important zerolog.Logger
	// Routine receives the lines of normal operation.
	Routine zerolog.Logger
	// Metrics holds the node's metrics.
	Metrics *metrics.Set
}

// RoutineLog is the logger for normal operation, as a type of its own for injection.
type RoutineLog struct {
	zerolog.Logger
}

// New opens a node's sockets and wires its components; Run starts it.
func New(se *ini.Settings, te Telemetry) (*Process, error) {
	so, err := listen(se)
	if err != nil {
		return nil, err
	}
	named := func(log zerolog.Logger) zerolog.Logger {
		return log.With().
			Str("host", string(se.Host.ID)).
			Str("data_centre", string(se.Host.DataCentre)).
			Logger()
	}
	co := dig.New()
	for _, constructor := range []any{
		func() *ini.Settings { return se },
		func() *sockets { return so },
		func() zerolog.Logger { return named(te.Important) },
		func() RoutineLog { return RoutineLog{Logger: named(te.Routine)} },
		func() *metrics.Set { return te.Metrics },
		newIdentity, newRollouts, newAdvertisedAddresses, newControlCounters,
		newCertificates, node.NewCounters, newDialer, newAdapters, platform.NewVersions, platform.NewKeyedCalls,
		newIntroductions, newRolloutRows, newCrashRows, newInvariants, newControl,
		newByteBudget, newUpstreamClient, newUnansweredSignal, newGate, upstream.NewAnnouncementServer,
		newCallPool, newQuotas, newCallServer, newCaller, newRecord, newMesh, newKeyPair, newOperator, newHealth, newListener,
		newProcess,
	} {
		if err := co.Provide(constructor); err != nil {
			so.close()
			return nil, errors.Wrap(err, "wire node")
		}
	}
	var pr *Process
	if err := co.Invoke(func(it *Process) { pr = it }); err != nil {
		so.close()
		return nil, errors.Wrap(err, "wire node")
	}
	return pr, nil
}

// processParams are the components that a process starts and stops.
type processParams struct {
	dig.In

	Settings         *ini.Settings
	Sockets          *sockets
	Control          *Control
	Rollouts         *rollouts
	RolloutRows      *platform.Rollouts
	Gate             *upstream.Gate
	Client           *upstream.Client
	CallPool         *node.CallPool
	CallServer       *node.CallServer
	Quotas           *node.Quotas
	Caller           *caller.Server
	Operator         *operator.Server
	Health           *operator.HealthServer
	Prober           upstream.Prober
	Unanswered       unansweredSignal
	KeyPair          *operator.KeyPair
	AnnounceListener *upstream.AnnouncementServer
	LinkListener     *node.Listener
	// Certificates is nil when connections between nodes are not encrypted.
	Certificates *node.Certificates
	Log          zerolog.Logger
}

func newProcess(pa processParams) *Process {
	pa.Control.raiseIncarnation = pa.Gate.RaiseIncarnation
	pa.Control.learnDeparture = pa.Gate.RecordDeparture
	pa.Control.neighboursHeard = pa.Gate.RecordNeighboursHeard
	pa.connectRollouts()
	abortCtx, abort := context.WithCancel(context.Background())
	return &Process{
		abortCtx:         abortCtx,
		abort:            abort,
		settings:         pa.Settings,
		sockets:          pa.Sockets,
		control:          pa.Control,
		rollouts:         pa.Rollouts,
		gate:             pa.Gate,
		client:           pa.Client,
		callPool:         pa.CallPool,
		callServer:       pa.CallServer,
		quotas:           pa.Quotas,
		caller:           pa.Caller,
		operator:         pa.Operator,
		health:           pa.Health,
		prober:           pa.Prober,
		unanswered:       pa.Unanswered,
		keyPair:          pa.KeyPair,
		announceListener: pa.AnnounceListener,
		linkListener:     pa.LinkListener,
		certificates:     pa.Certificates,
		log:              pa.Log,
	}
}

const (
	// dialTimeout bounds the opening of a connection to another node.
	dialTimeout = 2 * time.Second
	// callDialTimeout bounds the opening of a connection for a call. It is shorter because
	// the call can go to another gate.
	callDialTimeout = 400 * time.Millisecond
)

func newDialer(ce *node.Certificates) *node.Dialer {
	return &node.Dialer{
		Certificates:    ce,
		Timeout:         dialTimeout,
		CallDialTimeout: callDialTimeout,
	}
}

// newCertificates returns nil when connections between nodes are not encrypted.
func newCertificates(se *ini.Settings) (*node.Certificates, error) {
	if se.TLS.CertFile == "" {
		return nil, nil
	}
	return node.NewCertificates(node.CertificatesConfig{
		Mesh:     se.Mesh.Name,
		CertFile: se.TLS.CertFile,
		KeyFile:  se.TLS.KeyFile,
		CAFile:   se.TLS.CAFile,
	})
}

// defaultRetryAfter is the delay after which a refused caller is told to retry.
const defaultRetryAfter = time.Second

func newGate(
	se *ini.Settings,
	id identity,
	ct *Control,
	cl *upstream.Client,
	ro *rollouts,
	pb upstream.Prober,
	us unansweredSignal,
	set *metrics.Set,
	log zerolog.Logger,
) *upstream.Gate {
	waited := set.GetOrCreateHistogram(`lynxfold_gate_wait_seconds`)
	return upstream.NewGate(upstream.GateConfig{
		Core: host.Config{
			Incarnation:       id.incarnation,
			QueuePerSlot:      se.Upstream.QueuePerSlot,
			DefaultRetryAfter: defaultRetryAfter,
			DrainGrace:        se.Upstream.DrainGrace,
			AnnounceLag:       se.Upstream.AnnounceLag,
			ProcessStartedAt:  time.Now(),
			AsksUpstream:      pb.Service() != "",
		},
		AnnouncementTTL:      se.Upstream.LapseAfter,
		OnAnnouncementChange: ct.emitUpstreamChange,
		OnInvariantViolation: ct.reportGateViolation,
		Client:               cl,
		Quarantine:           ct.crashes,
		OnRefused:            refusalCounter(set),
		Releases:             gateReleases(ro),
		OnRateLimited:        set.GetOrCreateCounter(`lynxfold_gate_rate_limited_total`).Inc,
		OnUpstreamCrashed:    set.GetOrCreateCounter(`lynxfold_gate_upstream_crashes_total`).Inc,
		OnUnreadableLimit:    set.GetOrCreateCounter(`lynxfold_gate_unreadable_limits_total`).Inc,
		OnUnanswered:         us.send,
		OnLeftAnnounced:      set.GetOrCreateCounter(`lynxfold_gate_left_announced_total`).Inc,
		ObserveQueueTime:     func(took time.Duration) { waited.Update(took.Seconds()) },
		Log:                  log,
	})
}

func newCaller(
	se *ini.Settings,
	id identity,
	ct *Control,
	ga *upstream.Gate,
	cp *node.CallPool,
	ks *platform.KeyedCalls,
	pr caller.Protocol,
	ro *rollouts,
	bb *upstream.ByteBudget,
	set *metrics.Set,
	re *record.Record,
	qs *node.Quotas,
	log zerolog.Logger,
	routine RoutineLog,
) *caller.Server {
	return caller.New(caller.Config{
		Host:           se.Host.ID,
		Incarnation:    id.incarnation,
		DataCentre:     se.Host.DataCentre,
		View:           ct.View,
		LocalGate:      ga,
		RemoteGates:    cp,
		MaxHeaderBytes: se.Caller.MaxHeaderBytes,
		MaxBodyBytes:   se.Caller.MaxBodyBytes,
		MaxConnections: se.Caller.MaxConnections,
		Protocol:       pr,
		Buffers:        bb,
		RetryBudget: call.FleetConfig{
			PerSuccess: se.Caller.RetryPerSuccess,
			Burst:      se.Caller.RetryBurst,
			PerSecond:  se.Caller.RetryPerSecond,
			Size:       se.Mesh.FleetSize,
		},
		KeyStore:             ks,
		KeyedWritesPerSecond: se.Platform.KeyedWritesPerSecond / float64(se.Mesh.FleetSize),
		Rand:                 id.rand(),
		Log:                  log,
		RoutineLog:           routine.Logger,
		Counters:             caller.NewCounters(set),
		Recorder:             re,
		Quarantine:           ct.crashes,
		Quotas:               qs,
		Rollouts:             callerRollouts(ro),
	})
}

func newQuotas(se *ini.Settings, ct *Control, cp *node.CallPool, set *metrics.Set) *node.Quotas {
	return node.NewQuotas(node.QuotasConfig{
		Host:      se.Host.ID,
		FleetSize: se.Mesh.FleetSize,
		StartedAt: time.Now(),
		View:      ct.View,
		Asker:     cp,
		Metrics:   set,
	})
}

func newCallPool(di *node.Dialer, set *metrics.Set, log zerolog.Logger) *node.CallPool {
	cp := node.NewCallPool(di)
	cp.OnSilence = func(si node.Silence) {
		set.GetOrCreateHistogram(fmt.Sprintf(`lynxfold_silent_connections_seconds{end=%q}`, si.End)).Update(si.Duration.Seconds())
		log.Warn().
			Str("event", "connection_silent").
			Str("address", si.Address).
			Str("end", string(si.End)).
			Int64("took_ms", si.Duration.Milliseconds()).
			Msg("nothing arrived on a connection while a call ran")
	}
	return cp
}

func newCallServer(ga *upstream.Gate, qs *node.Quotas, set *metrics.Set, log zerolog.Logger) *node.CallServer {
	delays := set.GetOrCreateHistogram(`lynxfold_request_delay_seconds`)
	cs := node.NewCallServer(ga)
	cs.Quotas = qs
	cs.ObserveDelay = func(delay time.Duration) { delays.Update(delay.Seconds()) }
	cs.OnCancelled = func(ca node.CancelledCall) {
		set.GetOrCreateCounter(fmt.Sprintf(`lynxfold_cancelled_calls_total{cause=%q}`, ca.Cause)).Inc()
		log.Warn().
			Err(ca.Err).
			Str("event", "call_cancelled").
			Str("request", string(ca.Request)).
			Str("attempt", string(ca.Attempt)).
			Str("cause", string(ca.Cause)).
			Int64("took_ms", ca.Duration.Milliseconds()).
			Msg("call from another host was cancelled")
	}
	return cs
}

func newListener(
	se *ini.Settings,
	so *sockets,
	ct *Control,
	cs *node.CallServer,
	ms *mesh,
	ce *node.Certificates,
	lc *node.Counters,
	log zerolog.Logger,
) *node.Listener {
	refused := func(er *node.RefusedError) {
		lc.Refused(er.Reason)
		log.Debug().Err(er).Str("reason", string(er.Reason)).Msg("connection of another node refused")
	}
	return node.NewListener(so.link, node.ListenerConfig{
		Certificates: ce,
		MaxConns:     se.Link.MaxConnections,
		Control: func(co *node.Conn) {
			var er *node.RefusedError
			if errors.As(ct.links.Accept(co), &er) {
				refused(er)
			}
		},
		Calls:   cs.Serve,
		Survey:  func(nc *node.Conn) { node.ServeSurvey(nc, ms.surveyAnswer()) },
		Refused: refused,
	})
}

// Addresses are the addresses that the node listens on, with the ports in use.
type Addresses struct {
	Link     string `json:"link"`
	Caller   string `json:"caller"`
	Upstream string `json:"upstream"`
	Operator string `json:"operator"`
}

// Addresses returns the addresses that the node listens on.
func (pr *Process) Addresses() Addresses {
	return Addresses{
		Link:     pr.sockets.link.Addr().String(),
		Caller:   pr.sockets.caller.Addr().String(),
		Upstream: pr.sockets.upstream.Addr().String(),
		Operator: pr.sockets.operator.Addr().String(),
	}
}

// Run serves until the context ends, then drains: new calls are refused, calls in
// flight are answered, and the links are closed last.
func (pr *Process) Run(ctx context.Context) {
	pr.start("control", func() error { pr.control.run(); return nil })
	pr.start("link", pr.linkListener.Serve)
	pr.start("upstream", func() error { return pr.announceListener.Serve(pr.sockets.upstream) })
	pr.start("caller", func() error { return pr.caller.Serve(pr.sockets.caller) })
	pr.start("operator", func() error { return pr.operator.Serve(pr.sockets.operator) })
	for _, li := range []net.Listener{pr.sockets.health, pr.sockets.metrics} {
		if li != nil {
			pr.start("health", func() error { return pr.health.Serve(li) })
		}
	}
	tickCtx, stopTicking := context.WithCancel(context.Background())
	defer stopTicking()
	pr.start("probe upstream", func() error {
		err := pr.probeUpstream(tickCtx)
		pr.answerQuestions(tickCtx)
		return err
	})
	pr.start("quotas", func() error { pr.quotas.Run(tickCtx); return nil })
	if pr.rollouts != nil {
		pr.start("roll-outs", func() error { pr.rollouts.run(tickCtx); return nil })
	}
	pr.start("tick", func() error { pr.tickGate(tickCtx); return nil })
	pr.log.Info().Interface("addresses", pr.Addresses()).Msg("node started")
	<-ctx.Done()
	pr.drain(stopTicking)
}

func (pr *Process) start(step string, run func() error) {
	pr.goroutines.Go(func() {
		if err := run(); err != nil {
			pr.log.Debug().Err(err).Str("step", step).Msg("step ended")
		}
	})
}

func (pr *Process) tickGate(ctx context.Context) {
	ti := time.NewTicker(tickInterval)
	defer ti.Stop()
	for {
		select {
		case <-ti.C:
			pr.gate.Tick()
		case <-ctx.Done():
			return
		}
	}
}
