// Package caller serves the HTTP requests of callers. It forwards them to
// upstreams as their contracts specify, and returns the responses.
package caller

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"

	"lynxfold/core/call"
	"lynxfold/core/contract"
	"lynxfold/core/datacentre"
	"lynxfold/core/host"
	"lynxfold/core/wire"
	"lynxfold/io/upstream"
)

// Config configures a Server.
type Config struct {
	Host        host.ID
	Incarnation host.Incarnation
	DataCentre  datacentre.Name
	// View returns the current view.
	View func() *datacentre.View
	// LocalGate is the gate of this host. RemoteGates reaches those of other hosts.
	LocalGate      Gate
	RemoteGates    RemoteGates
	MaxHeaderBytes int
	MaxBodyBytes   int
	MaxConnections int
	// Buffers bounds the buffered bodies of all calls; nil means
	// upstream.DefaultBufferBytes.
	Buffers *upstream.ByteBudget
	// RetryBudget is the retry budget that all nodes share for each service.
	RetryBudget call.FleetConfig
	// KeyStore stores the rows of keyed calls. KeyedWritesPerSecond is this node's
	// share of the writes to it.
	KeyStore             KeyStore
	KeyedWritesPerSecond float64
	Rand                 *rand.Rand
	// Protocol is the protocol of the callers; NativeProtocol if nil.
	Protocol Protocol
	Log      zerolog.Logger
	// RoutineLog is the log for answers that succeeded within their objective.
	RoutineLog zerolog.Logger
	Counters   *Counters
	// Recorder records decisions about calls; nil disables it.
	Recorder Recorder
	// Rollouts decides which releases calls may use; nil allows all.
	Rollouts Rollouts
	// Quarantine decides about requests that crash upstreams; nil admits all.
	Quarantine *upstream.Quarantine
	// Quotas enforces the limits of customers; nil enforces none.
	Quotas Quotas
}

const (
	// defaultIdleTimeout is the time after which idle connections are closed.
	defaultIdleTimeout = 2 * time.Minute
	// defaultHeaderTimeout limits the time to receive a request's header.
	defaultHeaderTimeout = 10 * time.Second
	// bodyPrefetchBytes is the part of a body that the HTTP library reads in
	// advance.
	bodyPrefetchBytes = 1
)

// ReasonTooManyBodies is the reason for refusing requests while the buffered
// bodies are at their limit.
const ReasonTooManyBodies host.Reason = "bodies"

// Server serves the requests of callers.
type Server struct {
	cfg            Config
	log            httpLogger
	lastCallNumber atomic.Uint64
	activeCalls    atomic.Int64
	// cutCalls counts the calls that were cancelled because the node ends.
	cutCalls atomic.Int64
	// hostLimits are this host's limits, which can change at run time.
	hostLimits atomic.Pointer[Limits]
	// draining reports that connections are closed after their next answer, so
	// that callers use other nodes.
	draining atomic.Bool
	// drainDeadline is the deadline of calls that start while the node drains;
	// nil before that.
	drainDeadline atomic.Pointer[time.Time]
	// nestedOnly reports that all other calls are refused.
	nestedOnly   atomic.Bool
	retryBudgets *serviceBudgets
	hedgeBudgets *serviceBudgets
	writeBudget  *writeBudget
	// keyedCalls tracks the keyed calls, which can outlive their exchanges.
	keyedCalls sync.WaitGroup
	sessions   sessions
	// keyRefusals limits the log lines and records of refused keys.
	keyRefusals *rate.Limiter
	// quotaRefusals limits those of requests above a customer's limit.
	quotaRefusals *rate.Limiter

	// mu guards the fields below and cfg.Rand.
	mu              sync.Mutex
	chooser         *call.Chooser
	releases        *call.ReleasePools
	splits          call.TrafficSplitter
	typicalTimeouts call.TypicalTimeouts
	latencies       call.KindLatencies
	shortages       *call.ShortageMeter
	throttle        call.Throttle
	served          host.RecentRequests
}

// New returns a server that is not yet listening.
func New(cfg Config) *Server {
	if cfg.Protocol == nil {
		cfg.Protocol = NativeProtocol{}
	}
	if cfg.Buffers == nil {
		cfg.Buffers = upstream.NewByteBudget(upstream.DefaultBufferBytes)
	}
	sv := &Server{
		cfg:         cfg,
		log:         httpLogger{log: cfg.Log},
		writeBudget: newWriteBudget(cfg.KeyedWritesPerSecond),
		chooser: call.NewChooser(call.ChooserConfig{
			DataCentre: cfg.DataCentre,
			Rand:       cfg.Rand,
		}),
		shortages:     call.NewShortageMeter(),
		keyRefusals:   rate.NewLimiter(keyRefusalsPerSecond, keyRefusalBurst),
		quotaRefusals: rate.NewLimiter(quotaRefusalsPerSecond, quotaRefusalBurst),
		retryBudgets:  newServiceBudgets(call.FleetBudget(cfg.RetryBudget)),
		hedgeBudgets:  newServiceBudgets(call.FleetBudget(hedgeBudgetConfig(cfg.RetryBudget))),
		releases:      call.NewReleasePools(),
	}
	sv.SetLimits(Limits{
		MaxHeaderBytes: cfg.MaxHeaderBytes,
		MaxBodyBytes:   cfg.MaxBodyBytes,
	})
	return sv
}

// hedgeBudgetConfig returns the budget of hedged requests that all nodes share
// for each service.
func hedgeBudgetConfig(cfg call.FleetConfig) call.FleetConfig {
	cfg.PerSuccess = hedgesPerSuccess
	return cfg
}

// Serve accepts connections until Shutdown is called.
func (sv *Server) Serve(li net.Listener) error {
	ls := &listener{
		Listener: li,
		server:   sv,
	}
	if !sv.sessions.listen(ls) {
		return li.Close()
	}
	for {
		co, err := ls.Accept()
		if err != nil {
			return err
		}
		se := newSession(sv, co)
		if !sv.sessions.add(se) {
			_ = co.Close()
			continue
		}
		go func() {
			defer sv.sessions.remove(se)
			se.serve()
		}()
	}
}

// Drain makes the server close connections after their next answer, and limits the
// deadlines of new requests so that they are answered before the node stops at
// stopAt.
func (sv *Server) Drain(stopAt time.Time) {
	by := stopAt.Add(-DrainAnswerMargin)
	sv.drainDeadline.Store(&by)
	sv.draining.Store(true)
}

// DrainAnswerMargin is the time between the deadline of calls that start during
// the drain and the time at which the node stops. It allows their answers,
// including refusals, to reach the callers.
const DrainAnswerMargin = 300 * time.Millisecond

// ServeNestedOnly makes the server refuse all calls but those that the upstream of this host
// makes for the requests that it still runs.
func (sv *Server) ServeNestedOnly() { sv.nestedOnly.Store(true) }

// Shutdown closes the listener and idle connections and waits until all calls are
// answered or the context ends.
func (sv *Server) Shutdown(ctx context.Context) error {
	sv.draining.Store(true)
	if err := sv.sessions.shutdown(ctx); err != nil {
		return err
	}
	return sv.waitKeyedCalls(ctx)
}

// waitKeyedCalls waits until the results of keyed calls are stored.
func (sv *Server) waitKeyedCalls(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		sv.keyedCalls.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// ActiveCalls returns the number of calls whose answers are not complete.
func (sv *Server) ActiveCalls() int { return int(sv.activeCalls.Load()) }

// CutCalls returns the number of calls that were cancelled because the node ends.
func (sv *Server) CutCalls() int { return int(sv.cutCalls.Load()) }

// pick chooses an upstream. It is safe for concurrent use.
func (sv *Server) pick(ex *exchange, tried []host.ID, withCapacity bool, now time.Time) (datacentre.Upstream, bool) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	name, all := ex.candidates(now)
	if withCapacity {
		return sv.chooser.PickWithCapacity(name, all, tried, now)
	}
	return sv.chooser.PickWithMaxWait(name, all, tried, sv.maxQueueWait(ex, now), now)
}

// maxLocalQueueWait returns how long a new call may wait in a queue of the local
// data centre.
func (sv *Server) maxLocalQueueWait(ex *exchange) time.Duration {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return sv.maxQueueWait(ex, ex.startedAt)
}

// attemptStarted records the start of an attempt, and returns what is known of its
// upstream and whether such a request was answered lately.
func (sv *Server) attemptStarted(up datacentre.Upstream, fp host.Fingerprint) (host.PeerNotice, bool) {
	now := time.Now()
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.chooser.Started(up)
	return sv.chooser.Notice(up, now), sv.served.Contains(fp, now)
}

// queueWaitDivisor determines the share of a call's slack that it may spend in a
// local queue before a remote upstream is tried. Bulk calls may spend all of it,
// because their bodies are expensive to transfer. What is known of a queue is old: with
// half of the slack, calls were served late or refused while slots elsewhere were free.
const queueWaitDivisor = 8

// maxQueueWait returns how long a call may wait in a queue and still meet its
// objective. sv.mu must be held.
func (sv *Server) maxQueueWait(ex *exchange, now time.Time) time.Duration {
	if ex.objective.IsZero() {
		return 0
	}
	estimate := sv.expectedLatencyLocked(ex.target)
	slack := max(0, ex.objective.Sub(now)-estimate-estimate/2)
	if ex.target.Terms.Class == contract.ClassBulk {
		return slack
	}
	return slack / queueWaitDivisor
}

// upstreamNoticed records what a response that a query, sent at sentAt, has found states
// about its upstream.
func (sv *Server) upstreamNoticed(up datacentre.Upstream, un *wire.UpstreamNotice, sentAt time.Time) {
	now := time.Now()
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.chooser.Noticed(up, upstream.PeerNoticeFromWire(un, now), sentAt, now)
}

func (sv *Server) attemptEnded(ex *exchange, up datacentre.Upstream, ob call.Observation, now time.Time) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.chooser.Ended(up, ob, now)
	if ob.Result.Outcome == call.OutcomeRan {
		if !ob.Cancelled && !ob.Bulk {
			sv.latencies.Observe(up.Service, ex.target.Terms.Name, ob.Latency)
		}
		sv.served.Add(ex.fingerprint, now)
	}
}

// expectation returns what is expected of an upstream, and whether it is known.
func (sv *Server) expectation(up datacentre.Upstream, now time.Time) (call.Expectation, bool) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return sv.chooser.Expectation(up, now)
}

// registerSpread registers the gauge of a service's spread of load when it gets its first
// attempt.
func (sv *Server) registerSpread(name contract.ServiceName) {
	sv.cfg.Counters.registerSpread(name, func() float64 {
		sv.mu.Lock()
		defer sv.mu.Unlock()
		return sv.chooser.Spread(name, time.Now())
	})
}

func (sv *Server) expectedLatency(ta *contract.Target) time.Duration {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return sv.expectedLatencyLocked(ta)
}

// expectedLatencyLocked returns the expected latency of a call of the target's kind.
// sv.mu must be held.
func (sv *Server) expectedLatencyLocked(ta *contract.Target) time.Duration {
	name := ta.Route.Service
	return sv.latencies.Expected(name, ta.Terms.Name, sv.chooser.ExpectedLatency(name))
}

func (sv *Server) jitter() float64 {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return sv.cfg.Rand.Float64()
}

// recordShortage records whether a call was refused for want of capacity.
func (sv *Server) recordShortage(ex *exchange, re call.Result) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	now := time.Now()
	sv.shortages.Record(ex.target.Route.Service, ex.target.Terms.Rank, ex.nested, re, now)
	sv.recordThrottle(ex, re, now)
}

// reportNested reports a nested call to the gate of this host, which runs its parent.
func (sv *Server) reportNested(ex *exchange) {
	if ex.parentID == "" {
		return
	}
	name, parentName := ex.target.Route.Service, sv.cfg.LocalGate.Service()
	now := time.Now()
	sv.mu.Lock()
	ev := host.NestedCalled{
		Parent:          ex.parentID,
		Service:         name,
		Shortages:       sv.shortages.Shortages(name, now),
		ParentShortages: sv.shortages.Shortages(parentName, now),
	}
	sv.mu.Unlock()
	sv.cfg.LocalGate.NestedCalled(ev)
}

// recordSuccess adds a success to the service's budgets.
func (sv *Server) recordSuccess(name contract.ServiceName, re call.Result) {
	if re.Status >= fasthttp.StatusInternalServerError {
		return
	}
	sv.refillBudgets(name)
}

// refillBudgets adds to the budgets of a service for a call to which its upstream has
// responded. An upstream that turns calls away works, so that they may be tried elsewhere.
func (sv *Server) refillBudgets(name contract.ServiceName) {
	now := time.Now()
	sv.retryBudgets.recordSuccess(name, now)
	sv.hedgeBudgets.recordSuccess(name, now)
}
