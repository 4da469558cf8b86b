// Package process wires one node: the control goroutine, the gate and the
// listeners for callers, upstreams, operators and other nodes.
package process

import (
	"context"
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

// identity is what tells this process from others on the same host.
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
	// health and metrics are nil when the settings give no address.
	health  net.Listener
	metrics net.Listener
}

// addresses are where a node is reached.
type addresses struct {
	advertise string
	// remote is empty when nodes of other data centres use the same address.
	remote string
}

// listen opens all sockets, or none.
func listen(se *ini.Settings) (*sockets, error) {
	so := &sockets{}
	for _, it := range []struct {
		address netip.AddrPort
		into    *net.Listener
	}{
		{address: se.Link.Listen, into: &so.link},
		{address: se.Caller.Listen, into: &so.caller},
		{address: se.Upstream.Listen, into: &so.upstream},
		{address: se.Operator.Listen, into: &so.operator},
		{address: se.Health.Listen, into: &so.health},
		{address: se.Health.Metrics, into: &so.metrics},
	} {
		if !it.address.IsValid() {
			continue
		}
		li, err := net.Listen("tcp", it.address.String())
		if err != nil {
			so.close()
			return nil, errors.Wrapf(err, "listen on %s", it.address)
		}
		*it.into = li
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

// addressesOf takes the port that the system chose when the settings leave it open.
func addressesOf(se *ini.Settings, so *sockets) addresses {
	ad := addresses{advertise: se.Link.Advertise.String()}
	if se.Link.Advertise.Port() == 0 {
		ad.advertise = so.link.Addr().String()
	}
	if se.Link.AdvertiseRemote.IsValid() {
		ad.remote = se.Link.AdvertiseRemote.String()
	}
	return ad
}

// Process is one node.
type Process struct {
	settings     *ini.Settings
	sockets      *sockets
	control      *Control
	gate         *upstream.Gate
	client       *upstream.Client
	lanes        *node.CallPool
	incoming     *node.CallServer
	caller       *caller.Server
	operator     *operator.Server
	health       *operator.HealthServer
	prober       upstream.Prober
	keyPair      *operator.KeyPair
	announce     *upstream.AnnouncementServer
	listener     *node.Listener
	certificates *node.Certificates
	log          zerolog.Logger
	done         sync.WaitGroup
	// aborted ends the wait for calls in flight.
	aborted context.Context
	abort   context.CancelFunc
}

// Logs are where a node writes.
type Logs struct {
	// Important takes failures, doubts and changes of what the node believes.
	Important zerolog.Logger
	// Routine takes what needs no explanation.
	Routine zerolog.Logger
	// Set holds the node's counters.
	Set *metrics.Set
}

// Routine is the logger for what needs no explanation.
type Routine struct {
	zerolog.Logger
}

// New opens a node's sockets and wires it; Run starts it.
func New(se *ini.Settings, lo Logs) (*Process, error) {
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
		func() zerolog.Logger { return named(lo.Important) },
		func() Routine { return Routine{Logger: named(lo.Routine)} },
		func() *metrics.Set { return lo.Set },
		newIdentity, addressesOf, newControlCounters,
		newCertificates, node.NewCounters, newDialer, newSurroundings, platform.NewVersions, platform.NewKeyedCalls,
		platform.NewIntroductions, newInvariants, newControl,
		upstream.NewClientWithProtocol, newGate, upstream.NewAnnouncementServer,
		node.NewCallPool, newIncoming, newCaller, newRecord, newMesh, newKeyPair, newOperator, newHealth, newListener,
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

// parts are everything that a process starts and stops.
type parts struct {
	dig.In

	Settings *ini.Settings
	Sockets  *sockets
	Control  *Control
	Gate     *upstream.Gate
	Client   *upstream.Client
	Lanes    *node.CallPool
	Incoming *node.CallServer
	Caller   *caller.Server
	Operator *operator.Server
	Health   *operator.HealthServer
	Prober   upstream.Prober
	KeyPair  *operator.KeyPair
	Announce *upstream.AnnouncementServer
	Listener *node.Listener
	// Certificates is nil when connections between nodes are not encrypted.
	Certificates *node.Certificates
	Log          zerolog.Logger
}

func newProcess(pa parts) *Process {
	pa.Control.reincarnate = pa.Gate.RaiseIncarnation
	aborted, abort := context.WithCancel(context.Background())
	return &Process{
		aborted:      aborted,
		abort:        abort,
		settings:     pa.Settings,
		sockets:      pa.Sockets,
		control:      pa.Control,
		gate:         pa.Gate,
		client:       pa.Client,
		lanes:        pa.Lanes,
		incoming:     pa.Incoming,
		caller:       pa.Caller,
		operator:     pa.Operator,
		health:       pa.Health,
		prober:       pa.Prober,
		keyPair:      pa.KeyPair,
		announce:     pa.Announce,
		listener:     pa.Listener,
		certificates: pa.Certificates,
		log:          pa.Log,
	}
}

// dialTimeout bounds the opening of a connection to another node, and laneTimeout
// that of one for a call, which has another gate to go to.
const (
	dialTimeout = 2 * time.Second
	laneTimeout = 400 * time.Millisecond
)

func newDialer(ce *node.Certificates) *node.Dialer {
	return &node.Dialer{
		Certificates:    ce,
		Timeout:         dialTimeout,
		CallDialTimeout: laneTimeout,
	}
}

// newCertificates is nil when connections between nodes are not encrypted.
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

// comeBack is when a refused caller is told to come back.
const comeBack = time.Second

func newGate(
	se *ini.Settings,
	id identity,
	ct *Control,
	cl *upstream.Client,
	set *metrics.Set,
	log zerolog.Logger,
) *upstream.Gate {
	waited := set.GetOrCreateHistogram(`lynxfold_gate_wait_seconds`)
	return upstream.NewGate(upstream.GateConfig{
		Core: host.Config{
			Incarnation:       id.incarnation,
			QueuePerSlot:      se.Upstream.QueuePerSlot,
			DefaultRetryAfter: comeBack,
			DrainGrace:        se.Upstream.DrainGrace,
			AnnounceLag:       se.Upstream.AnnounceLag,
		},
		AnnouncementTTL:      se.Upstream.LapseAfter,
		OnAnnouncementChange: ct.upstreamChanged,
		OnInvariantViolation: ct.gateViolated,
		Client:               cl,
		ObserveQueueTime:     func(took time.Duration) { waited.Update(took.Seconds()) },
		Log:                  log,
	})
}

func newCaller(
	se *ini.Settings,
	id identity,
	ct *Control,
	ga *upstream.Gate,
	la *node.CallPool,
	ks *platform.KeyedCalls,
	pr caller.Protocol,
	set *metrics.Set,
	re *record.Record,
	log zerolog.Logger,
	routine Routine,
) *caller.Server {
	return caller.New(caller.Config{
		Host:           se.Host.ID,
		Incarnation:    id.incarnation,
		DataCentre:     se.Host.DataCentre,
		View:           ct.View,
		LocalGate:      ga,
		RemoteGates:    la,
		MaxHeaderBytes: se.Caller.MaxHeaderBytes,
		MaxBodyBytes:   se.Caller.MaxBodyBytes,
		MaxConnections: se.Caller.MaxConnections,
		Protocol:       pr,
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
	})
}

func newIncoming(ga *upstream.Gate) *node.CallServer { return node.NewCallServer(ga) }

func newListener(
	se *ini.Settings,
	so *sockets,
	ct *Control,
	ic *node.CallServer,
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
		Calls:   ic.Serve,
		Survey:  func(nc *node.Conn) { node.ServeSurvey(nc, ms.answer()) },
		Refused: refused,
	})
}

// Addresses are where the node listens, as they were opened.
type Addresses struct {
	Link     string `json:"link"`
	Caller   string `json:"caller"`
	Upstream string `json:"upstream"`
	Operator string `json:"operator"`
}

// Addresses returns where the node listens.
func (pr *Process) Addresses() Addresses {
	return Addresses{
		Link:     pr.sockets.link.Addr().String(),
		Caller:   pr.sockets.caller.Addr().String(),
		Upstream: pr.sockets.upstream.Addr().String(),
		Operator: pr.sockets.operator.Addr().String(),
	}
}

// Run serves until the context ends, then drains: new calls are refused,
// calls in flight are answered, and the links are closed last.
func (pr *Process) Run(ctx context.Context) {
	pr.start("control", func() error { pr.control.run(); return nil })
	pr.start("link", pr.listener.Serve)
	pr.start("upstream", func() error { return pr.announce.Serve(pr.sockets.upstream) })
	pr.start("caller", func() error { return pr.caller.Serve(pr.sockets.caller) })
	pr.start("operator", func() error { return pr.operator.Serve(pr.sockets.operator) })
	for _, li := range []net.Listener{pr.sockets.health, pr.sockets.metrics} {
		if li != nil {
			pr.start("health", func() error { return pr.health.Serve(li) })
		}
	}
	ticking, stopTicking := context.WithCancel(context.Background())
	defer stopTicking()
	pr.start("ask upstream", func() error { return pr.askUpstream(ticking) })
	pr.start("tick", func() error { pr.tickGate(ticking); return nil })
	pr.log.Info().Interface("addresses", pr.Addresses()).Msg("node started")
	<-ctx.Done()
	pr.drain(stopTicking)
}

func (pr *Process) start(step string, run func() error) {
	pr.done.Go(func() {
		if err := run(); err != nil {
			pr.log.Debug().Err(err).Str("step", step).Msg("step ended")
		}
	})
}

func (pr *Process) tickGate(ctx context.Context) {
	ti := time.NewTicker(tickEvery)
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
