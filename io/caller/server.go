// Package caller speaks to the callers: it takes their HTTP requests, passes
// them to upstreams as their contracts allow, and answers.
package caller

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"lynxfold/core/call"
	"lynxfold/core/contract"
	"lynxfold/core/datacentre"
	"lynxfold/core/host"
	"lynxfold/io/upstream"
)

// Config sets up the callers' listener.
type Config struct {
	Host        host.ID
	Incarnation host.Incarnation
	DataCentre  datacentre.Name
	// View returns what is in force now.
	View func() *datacentre.View
	// Local is this host's own gate, Remote the way to all others.
	Local           Gate
	Remote          Remote
	MaxHeaderBytes  int
	MaxBodyBytes    int
	MaxConnections  int
	RetryPerSuccess float64
	// FleetSize is how many hosts share what a service can bear in retries.
	FleetSize int
	// Keys stores the rows of keyed calls, KeyedWritesPerSecond is this node's
	// share of the writes for them.
	Keys                 Keys
	KeyedWritesPerSecond float64
	Rand                 *rand.Rand
	Log                  zerolog.Logger
	Counters             *Counters
	// Record keeps decisions for explanations; none are kept when it is nil.
	Record Recorder
}

const (
	// idleTimeout closes callers' connections that send nothing.
	idleTimeout = 2 * time.Minute
	// headerTimeout bounds the arrival of a request's header.
	headerTimeout = 10 * time.Second
	// prefetchBytes is what the HTTP library reads of a body before the handler, in bytes.
	prefetchBytes = 1
	// maxInlineTotal bounds the short bodies held at once, in bytes.
	maxInlineTotal = 64 << 20
)

// ReasonBodies refuses short bodies while too many are held.
const ReasonBodies host.Reason = "bodies"

// Server is the callers' listener.
type Server struct {
	cfg    Config
	http   *fasthttp.Server
	watch  *watch
	calls  atomic.Uint64
	inline atomic.Int64
	active atomic.Int64
	// draining says that callers are to use other nodes.
	draining atomic.Bool
	retries  *budgets
	hedges   *budgets
	writes   *writeBudget
	// keyed are the keyed calls that may outlast their exchanges.
	keyed sync.WaitGroup

	mu      sync.Mutex // guards chooser and cfg.Rand
	chooser *call.Chooser
}

// New builds the callers' listener.
func New(cfg Config) *Server {
	sv := &Server{
		cfg:    cfg,
		watch:  newWatch(),
		writes: newWriteBudget(cfg.KeyedWritesPerSecond),
		chooser: call.NewChooser(call.ChooserConfig{
			DataCentre: cfg.DataCentre,
			Rand:       cfg.Rand,
		}),
		retries: newBudgets(call.FleetBudget(cfg.RetryPerSuccess, cfg.FleetSize)),
		hedges:  newBudgets(call.FleetBudget(hedgesPerSuccess, cfg.FleetSize)),
	}
	sv.http = &fasthttp.Server{
		Handler:                      sv.handle,
		ErrorHandler:                 sv.malformed,
		ExpectHandler:                sv.expect,
		NoDefaultServerHeader:        true,
		NoDefaultDate:                true,
		NoDefaultContentType:         true,
		StreamRequestBody:            true,
		DisablePreParseMultipartForm: true,
		ReadBufferSize:               cfg.MaxHeaderBytes,
		MaxRequestBodySize:           prefetchBytes,
		Logger:                       httpLog{log: cfg.Log},
		Concurrency:                  cfg.MaxConnections,
		ReadTimeout:                  headerTimeout,
		IdleTimeout:                  idleTimeout,
		CloseOnShutdown:              true,
	}
	return sv
}

// Serve answers on a listener until Shutdown.
func (sv *Server) Serve(li net.Listener) error {
	return sv.http.Serve(&listener{
		Listener: li,
		server:   sv,
	})
}

// Drain has callers' connections closed after their next answer.
func (sv *Server) Drain() { sv.draining.Store(true) }

// Shutdown takes no new connections and returns when all calls are answered, or
// when the context ends.
func (sv *Server) Shutdown(ctx context.Context) error {
	defer sv.watch.stop()
	if err := sv.http.ShutdownWithContext(ctx); err != nil {
		return err
	}
	return sv.waitKeyed(ctx)
}

// waitKeyed waits until the ends of keyed calls are written.
func (sv *Server) waitKeyed(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		sv.keyed.Wait()
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
func (sv *Server) Active() int { return int(sv.active.Load()) }

// malformed answers what can't be read as a request.
func (sv *Server) malformed(ctx *fasthttp.RequestCtx, err error) {
	status := fasthttp.StatusBadRequest
	var small *fasthttp.ErrSmallBuffer
	if errors.As(err, &small) {
		status = fasthttp.StatusRequestHeaderFieldsTooLarge
	}
	sv.refuse(ctx, status, notRun(call.ReasonBadRequest))
}

// expect decides about a body before its caller sends it.
func (sv *Server) expect(ctx *fasthttp.RequestCtx) int {
	status, _ := sv.check(ctx)
	if status != 0 {
		return status
	}
	return fasthttp.StatusContinue
}

// check refuses what needs no look at the body; the status is 0 for the rest.
func (sv *Server) check(ctx *fasthttp.RequestCtx) (int, *contract.Target) {
	ta := sv.cfg.View().Config.Match(string(ctx.Method()), string(ctx.Path()))
	if ta == nil {
		sv.refuseUnread(ctx, fasthttp.StatusNotFound, call.ReasonNoRoute)
		return fasthttp.StatusNotFound, nil
	}
	if ctx.Request.Header.ContentLength() > sv.cfg.MaxBodyBytes {
		sv.refuseUnread(ctx, fasthttp.StatusRequestEntityTooLarge, call.ReasonBodyTooLarge)
		return fasthttp.StatusRequestEntityTooLarge, nil
	}
	return 0, ta
}

// refuseUnread refuses a request whose body, if any, is not read.
func (sv *Server) refuseUnread(ctx *fasthttp.RequestCtx, status int, re host.Reason) {
	sv.refuse(ctx, status, notRun(re))
	if ctx.RequestBodyStream() == nil {
		return
	}
	ctx.SetConnectionClose()
	if co, ok := ctx.Conn().(*conn); ok {
		co.unread.Store(true)
	}
}

func (sv *Server) handle(ctx *fasthttp.RequestCtx) {
	now := time.Now()
	co, ok := ctx.Conn().(*conn)
	if !ok {
		sv.refuse(ctx, fasthttp.StatusInternalServerError, notRun(call.ReasonBadRequest))
		return
	}
	_ = co.SetWriteDeadline(now.Add(answerWithin))
	defer func() {
		if sv.draining.Load() {
			ctx.SetConnectionClose()
		}
	}()
	status, ta := sv.check(ctx)
	if status != 0 {
		return
	}
	vi := sv.cfg.View()
	ta = call.Resolve(vi, ta)
	ex := &exchange{
		server:   sv,
		http:     ctx,
		conn:     co,
		view:     vi,
		target:   ta,
		number:   sv.calls.Add(1),
		begun:    now,
		method:   string(ctx.Method()),
		uri:      string(ctx.RequestURI()),
		mark:     string(ctx.Request.Header.Peek(call.HeaderAttempt)),
		headers:  headersOf(ctx),
		deadline: deadlineOf(ctx, ta, now),
		gone:     make(chan struct{}),
	}
	ex.name = ex.id()
	_ = co.SetReadDeadline(ex.deadline)
	_ = co.SetWriteDeadline(ex.deadline.Add(answerWithin))
	if !ex.readBody() {
		return
	}
	defer sv.inline.Add(int64(-len(ex.inline)))
	if ta.Terms.Keyed {
		ex.runKeyed()
		return
	}
	sv.active.Add(1)
	ex.run()
}

// deadlineOf is the contract's deadline, or the caller's own if that is sooner.
func deadlineOf(ctx *fasthttp.RequestCtx, ta *contract.Target, now time.Time) time.Time {
	timeout := ta.Terms.Timeout()
	own, err := strconv.ParseInt(string(ctx.Request.Header.Peek(upstream.HeaderDeadline)), 10, 64)
	if err == nil && own >= 0 && own < timeout.Milliseconds() {
		timeout = time.Duration(own) * time.Millisecond
	}
	return now.Add(timeout)
}

// readBody keeps a short body whole, so that it can be sent again, and leaves a
// long one to the attempt. It is false when the request is answered already.
func (ex *exchange) readBody() bool {
	stream := ex.http.RequestBodyStream()
	length := ex.http.Request.Header.ContentLength()
	if stream == nil || length == 0 {
		return true
	}
	if length < 0 || length > inlineBytes {
		ex.body = &body{
			conn:   ex.conn,
			stream: stream,
			length: int64(max(length, -1)),
			limit:  int64(ex.server.cfg.MaxBodyBytes),
		}
		return true
	}
	if ex.server.inline.Add(int64(length)) > maxInlineTotal {
		ex.server.inline.Add(int64(-length))
		ex.server.refuseUnread(ex.http, fasthttp.StatusServiceUnavailable, ReasonBodies)
		return false
	}
	ex.inline = make([]byte, length)
	if _, err := io.ReadFull(stream, ex.inline); err != nil {
		ex.server.inline.Add(int64(-length))
		ex.server.cfg.Counters.callerGone()
		ex.http.SetConnectionClose()
		ex.server.refuse(ex.http, fasthttp.StatusBadRequest, notRun(call.ReasonCallerGone))
		return false
	}
	return true
}

// pick chooses an upstream; it is safe for many goroutines.
func (sv *Server) pick(
	name contract.ServiceName,
	all []datacentre.Upstream,
	tried []host.ID,
	now time.Time,
) (datacentre.Upstream, bool) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	up, ok := sv.chooser.Pick(name, all, tried, now)
	if ok {
		sv.chooser.Started(up)
	}
	return up, ok
}

func (sv *Server) attemptEnded(up datacentre.Upstream, ob call.Observation, now time.Time) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.chooser.Ended(up, ob, now)
}

func (sv *Server) estimate(name contract.ServiceName) time.Duration {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return sv.chooser.Estimate(name)
}

func (sv *Server) jitter() float64 {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return sv.cfg.Rand.Float64()
}

// succeeded feeds the budgets of a service.
func (sv *Server) succeeded(name contract.ServiceName, re call.Result) {
	if re.Status >= fasthttp.StatusInternalServerError {
		return
	}
	now := time.Now()
	sv.retries.succeeded(name, now)
	sv.hedges.succeeded(name, now)
}
