// Package caller speaks to the callers: it takes their HTTP requests, passes
// them to upstreams as their contracts allow, and answers.
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

	"lynxfold/core/call"
	"lynxfold/core/contract"
	"lynxfold/core/datacentre"
	"lynxfold/core/host"
)

// Config sets up the callers' listener.
type Config struct {
	Host        host.ID
	Incarnation host.Incarnation
	DataCentre  datacentre.Name
	// View returns what is in force now.
	View func() *datacentre.View
	// Local is this host's own gate, Remote the way to all others.
	Local          Gate
	Remote         RemoteGates
	MaxHeaderBytes int
	MaxBodyBytes   int
	MaxConnections int
	// Retries are what all nodes together may do for one service.
	Retries call.FleetConfig
	// Keys stores the rows of keyed calls, KeyedWritesPerSecond is this node's
	// share of the writes for them.
	Keys                 KeyStore
	KeyedWritesPerSecond float64
	Rand                 *rand.Rand
	// Protocol is how callers are spoken to; lynxfold's own when nil.
	Protocol Protocol
	Log      zerolog.Logger
	// Routine logs answers that need no explanation.
	Routine  zerolog.Logger
	Counters *Counters
	// Record keeps decisions for explanations; none are kept when it is nil.
	Record Recorder
}

const (
	// defaultIdleTimeout closes callers' connections that send nothing.
	defaultIdleTimeout = 2 * time.Minute
	// defaultHeaderTimeout bounds the arrival of a request's header.
	defaultHeaderTimeout = 10 * time.Second
	// bodyPrefetchBytes is what the HTTP library reads of a body before the handler, in bytes.
	bodyPrefetchBytes = 1
	// maxBufferedTotalBytes bounds the short bodies held at once, in bytes.
	maxBufferedTotalBytes = 64 << 20
)

// ReasonTooManyBodies refuses short bodies while too many are held.
const ReasonTooManyBodies host.Reason = "bodies"

// Server is the callers' listener.
type Server struct {
	cfg            Config
	log            httpLogger
	lastCallNumber atomic.Uint64
	bufferedBytes  atomic.Int64
	activeCalls    atomic.Int64
	// hostLimits are the limits that can change while the server runs.
	hostLimits atomic.Pointer[Limits]
	// draining says that callers are to use other nodes.
	draining atomic.Bool
	// drainDeadline is when calls that begin while the node drains are answered; nil before.
	drainDeadline atomic.Pointer[time.Time]
	retryBudgets  *serviceBudgets
	hedgeBudgets  *serviceBudgets
	writeBudget   *writeBudget
	// keyedCalls are the keyed calls that may outlast their exchanges.
	keyedCalls sync.WaitGroup
	sessions   sessions

	// mu guards what follows, and cfg.Rand.
	mu              sync.Mutex
	chooser         *call.Chooser
	splits          call.TrafficSplitter
	typicalTimeouts call.TypicalTimeouts
}

// New builds the callers' listener.
func New(cfg Config) *Server {
	if cfg.Protocol == nil {
		cfg.Protocol = OwnProtocol{}
	}
	sv := &Server{
		cfg:         cfg,
		log:         httpLogger{log: cfg.Log},
		writeBudget: newWriteBudget(cfg.KeyedWritesPerSecond),
		chooser: call.NewChooser(call.ChooserConfig{
			DataCentre: cfg.DataCentre,
			Rand:       cfg.Rand,
		}),
		retryBudgets: newServiceBudgets(call.FleetBudget(cfg.Retries)),
		hedgeBudgets: newServiceBudgets(call.FleetBudget(hedgeBudgetConfig(cfg.Retries))),
	}
	sv.SetLimits(Limits{
		MaxHeaderBytes: cfg.MaxHeaderBytes,
		MaxBodyBytes:   cfg.MaxBodyBytes,
	})
	return sv
}

// hedgeBudgetConfig is what all nodes together may do in hedges.
func hedgeBudgetConfig(cfg call.FleetConfig) call.FleetConfig {
	cfg.PerSuccess = hedgesPerSuccess
	return cfg
}

// Serve answers on a listener until Shutdown.
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

// Drain has callers' connections closed after their next answer. Requests that come
// from now on are answered a moment before the node ends.
func (sv *Server) Drain(ends time.Time) {
	by := ends.Add(-drainAnswerMargin)
	sv.drainDeadline.Store(&by)
	sv.draining.Store(true)
}

// drainAnswerMargin is kept between the deadline of calls that begin while the node drains
// and its end, so that their answers, also refusals, still reach their callers.
const drainAnswerMargin = 300 * time.Millisecond

// Shutdown takes no new connections, closes idle ones, and returns when all
// calls are answered, or when the context ends.
func (sv *Server) Shutdown(ctx context.Context) error {
	sv.draining.Store(true)
	if err := sv.sessions.shutdown(ctx); err != nil {
		return err
	}
	return sv.waitKeyedCalls(ctx)
}

// waitKeyedCalls waits until the ends of keyed calls are written.
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

// Active counts the calls that have no whole answer yet.
func (sv *Server) Active() int { return int(sv.activeCalls.Load()) }

// pick chooses an upstream; it is safe for many goroutines.
func (sv *Server) pick(ex *exchange, tried []host.ID, withCapacity bool, now time.Time) (datacentre.Upstream, bool) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	name := ex.target.Route.Service
	all := ex.view.Upstreams[name]
	if withCapacity {
		return sv.chooser.PickWithCapacity(name, all, tried, now)
	}
	return sv.chooser.PickWithMaxWait(name, all, tried, sv.maxQueueWait(ex, now), now)
}

// maxLocalQueueWait is how long a call that begins may wait in a queue near by.
func (sv *Server) maxLocalQueueWait(ex *exchange) time.Duration {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return sv.maxQueueWait(ex, ex.startedAt)
}

func (sv *Server) attemptStarted(up datacentre.Upstream) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.chooser.Started(up)
}

// queueWaitDivisor is the part of the time that a call has to spare which it may spend
// in a queue near by before it is carried farther. Bulk calls, which are
// expensive to carry, may spend all of it.
const queueWaitDivisor = 2

// maxQueueWait is how long a call may wait in a queue and still meet its objective;
// sv.mu is held.
func (sv *Server) maxQueueWait(ex *exchange, now time.Time) time.Duration {
	if ex.objective.IsZero() {
		return 0
	}
	estimate := sv.chooser.ExpectedLatency(ex.target.Route.Service)
	left := max(0, ex.objective.Sub(now)-estimate-estimate/2)
	if ex.target.Terms.Class == contract.ClassBulk {
		return left
	}
	return left / queueWaitDivisor
}

func (sv *Server) attemptEnded(up datacentre.Upstream, ob call.Observation, now time.Time) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.chooser.Ended(up, ob, now)
}

func (sv *Server) expectedLatency(name contract.ServiceName) time.Duration {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return sv.chooser.ExpectedLatency(name)
}

func (sv *Server) jitter() float64 {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return sv.cfg.Rand.Float64()
}

// recordSuccess feeds the budgets of a service.
func (sv *Server) recordSuccess(name contract.ServiceName, re call.Result) {
	if re.Status >= fasthttp.StatusInternalServerError {
		return
	}
	now := time.Now()
	sv.retryBudgets.recordSuccess(name, now)
	sv.hedgeBudgets.recordSuccess(name, now)
}
