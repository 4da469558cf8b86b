// Package caller speaks to the callers: it takes their HTTP requests, passes
// them to upstreams as their contracts allow, and answers.
package caller

import (
	"cmp"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"strings"
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
	Remote         Remote
	MaxHeaderBytes int
	MaxBodyBytes   int
	MaxConnections int
	// Retries are what all nodes together may do for one service.
	Retries call.FleetConfig
	// Keys stores the rows of keyed calls, KeyedWritesPerSecond is this node's
	// share of the writes for them.
	Keys                 Keys
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
	log    httpLog
	calls  atomic.Uint64
	inline atomic.Int64
	active atomic.Int64
	// draining says that callers are to use other nodes.
	draining atomic.Bool
	splits   call.Splits
	patience call.Patience
	retries  *budgets
	hedges   *budgets
	writes   *writeBudget
	// keyed are the keyed calls that may outlast their exchanges.
	keyed sync.WaitGroup

	mu      sync.Mutex // guards chooser and cfg.Rand
	chooser *call.Chooser

	sessions sessions
}

// New builds the callers' listener.
func New(cfg Config) *Server {
	if cfg.Protocol == nil {
		cfg.Protocol = OwnProtocol{}
	}
	sv := &Server{
		cfg:    cfg,
		log:    httpLog{log: cfg.Log},
		writes: newWriteBudget(cfg.KeyedWritesPerSecond),
		chooser: call.NewChooser(call.ChooserConfig{
			DataCentre: cfg.DataCentre,
			Rand:       cfg.Rand,
		}),
		retries: newBudgets(call.FleetBudget(cfg.Retries)),
		hedges:  newBudgets(call.FleetBudget(hedgesOf(cfg.Retries))),
	}
	return sv
}

// hedgesOf is what all nodes together may do in hedges.
func hedgesOf(cfg call.FleetConfig) call.FleetConfig {
	cfg.PerSuccess = hedgesPerSuccess
	return cfg
}

// limits are those of the configuration in force.
func (sv *Server) limits() contract.Limits {
	if li := sv.cfg.View().Config.Document.Limits; li != nil {
		return *li
	}
	return contract.Limits{}
}

func (sv *Server) headerTimeout() time.Duration {
	return cmp.Or(sv.limits().HeaderTimeout(), headerTimeout)
}

func (sv *Server) idleTimeout() time.Duration {
	return cmp.Or(sv.limits().IdleTimeout(), idleTimeout)
}

// headerLimit and bodyLimit are the lower of the settings' and the
// configuration's limits.
func (sv *Server) headerLimit() int64 {
	return lower(int64(sv.cfg.MaxHeaderBytes), sv.limits().MaxHeaderBytes)
}

func (sv *Server) bodyLimit() int64 {
	return lower(int64(sv.cfg.MaxBodyBytes), sv.limits().MaxBodyBytes)
}

// lower returns the lower of two limits, of which the second may be unset.
func lower(limit, other int64) int64 {
	if other > 0 {
		return min(limit, other)
	}
	return limit
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

// Drain has callers' connections closed after their next answer.
func (sv *Server) Drain() { sv.draining.Store(true) }

// Shutdown takes no new connections, closes idle ones, and returns when all
// calls are answered, or when the context ends.
func (sv *Server) Shutdown(ctx context.Context) error {
	sv.Drain()
	if err := sv.sessions.shut(ctx); err != nil {
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

// check refuses what needs no look at the body; the status is 0 for the rest.
func (sv *Server) check(ctx *fasthttp.RequestCtx) (int, *contract.Target) {
	vi := sv.cfg.View()
	if vi.Config.Version == 0 {
		re := notRun(ReasonNoConfiguration)
		re.ComeBack = time.Now().Add(comeBack)
		sv.logRefused(ctx, fasthttp.StatusServiceUnavailable, re)
		sv.refuse(ctx, fasthttp.StatusServiceUnavailable, re)
		return fasthttp.StatusServiceUnavailable, nil
	}
	he := &ctx.Request.Header
	if int64(len(he.RawHeaders())+len(he.RequestURI())) > sv.headerLimit() {
		sv.refuse(ctx, fasthttp.StatusRequestHeaderFieldsTooLarge, notRun(call.ReasonBadRequest))
		return fasthttp.StatusRequestHeaderFieldsTooLarge, nil
	}
	ta := vi.Config.Match(hostOf(he.Host()), string(he.Method()), pathOf(he.RequestURI()))
	if ta == nil {
		sv.logRefused(ctx, fasthttp.StatusNotFound, notRun(call.ReasonNoRoute))
		sv.refuse(ctx, fasthttp.StatusNotFound, notRun(call.ReasonNoRoute))
		return fasthttp.StatusNotFound, nil
	}
	if int64(he.ContentLength()) > sv.bodyLimit() {
		sv.refuse(ctx, fasthttp.StatusRequestEntityTooLarge, notRun(call.ReasonBodyTooLarge))
		return fasthttp.StatusRequestEntityTooLarge, nil
	}
	return 0, ta
}

// ReasonNoConfiguration refuses calls while this node has no configuration in force.
const ReasonNoConfiguration host.Reason = "no_configuration"

// hostOf is the host name of a Host header, without a port and in lower case.
func hostOf(value []byte) string {
	name := string(value)
	if ho, _, err := net.SplitHostPort(name); err == nil {
		name = ho
	}
	return strings.ToLower(name)
}

// pathOf is the path of a request's target as it was sent.
func pathOf(target []byte) string {
	text := string(target)
	if !strings.HasPrefix(text, "/") {
		if _, rest, ok := strings.Cut(text, "://"); ok {
			at := strings.IndexByte(rest, '/')
			if at < 0 {
				return "/"
			}
			text = rest[at:]
		}
	}
	path, _, _ := strings.Cut(text, "?")
	return path
}

// exchange starts the answer to a request whose header is read. It returns when
// the connection may be read on; it is false when that can't be.
func (sv *Server) exchange(se *session, tu *turn, ta *contract.Target) bool {
	now := time.Now()
	ctx := tu.http
	vi := sv.cfg.View()
	ex := &exchange{
		server:  sv,
		session: se,
		turn:    tu,
		http:    ctx,
		conn:    se.conn,
		view:    vi,
		target:  call.Resolve(vi, sv.part(ta)),
		number:  sv.calls.Add(1),
		begun:   now,
		method:  string(ctx.Method()),
		uri:     string(ctx.Request.Header.RequestURI()),
		mark:    string(ctx.Request.Header.Peek(call.HeaderAttempt)),
		headers: sv.headersOf(ctx),
		request: sv.cfg.Protocol.RequestID(&ctx.Request.Header),
		gone:    make(chan struct{}),
	}
	sv.schedule(ex, now)
	ex.name = ex.id()
	if !ex.readBody() {
		se.finish(tu)
		return false
	}
	go func() {
		defer se.finish(tu)
		defer sv.inline.Add(int64(-len(ex.inline)))
		if ex.target.Terms.Keyed {
			ex.runKeyed()
			return
		}
		sv.active.Add(1)
		ex.run()
	}()
	return ex.body == nil || se.awaitBody(ex, tu)
}

// awaitBody waits until a long body is read; it is false when the connection
// can't be read on behind it.
func (se *session) awaitBody(ex *exchange, tu *turn) bool {
	select {
	case <-ex.body.over:
	case <-tu.answered:
	}
	return ex.body.whole()
}

// part chooses the service of a split route by its weights.
func (sv *Server) part(ta *contract.Target) *contract.Target {
	if len(ta.Parts) == 0 {
		return ta
	}
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return sv.splits.Next(ta)
}

// schedule sets when the answer is due: at the contract's deadline, or the
// caller's own if that is sooner. The objective counts from when the caller
// first asked; a call that is part of another has less time left for another
// reason.
func (sv *Server) schedule(ex *exchange, now time.Time) {
	te := ex.target.Terms
	timeout := te.Timeout()
	own, said := sv.cfg.Protocol.Timeout(&ex.http.Request.Header)
	if said {
		timeout = min(timeout, own)
	}
	ex.deadline = now.Add(timeout)
	if te.ObjectiveMS == 0 {
		return
	}
	ex.objective = now.Add(te.Objective())
	ex.nested = sv.cfg.Protocol.Nested(&ex.http.Request.Header)
	if said && !ex.nested {
		sv.mu.Lock()
		age := sv.patience.Age(ex.target.Route.Name, own)
		sv.mu.Unlock()
		ex.objective = ex.objective.Add(-age)
		ex.returning = age > 0
	}
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
			limit:  ex.server.bodyLimit(),
			over:   make(chan struct{}),
		}
		_ = ex.conn.SetReadDeadline(ex.deadline)
		return true
	}
	if ex.server.inline.Add(int64(length)) > maxInlineTotal {
		ex.server.inline.Add(int64(-length))
		ex.refuseUnread(fasthttp.StatusServiceUnavailable, ReasonBodies)
		return false
	}
	_ = ex.conn.SetReadDeadline(ex.deadline)
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

// refuseUnread refuses a request whose body, if any, is not read.
func (ex *exchange) refuseUnread(status int, re host.Reason) {
	ex.server.refuse(ex.http, status, notRun(re))
	if ex.http.RequestBodyStream() != nil {
		ex.http.SetConnectionClose()
		ex.conn.unread.Store(true)
	}
}

// pick chooses an upstream; it is safe for many goroutines.
func (sv *Server) pick(ex *exchange, tried []host.ID, spare bool, now time.Time) (datacentre.Upstream, bool) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	name := ex.target.Route.Service
	all := ex.view.Upstreams[name]
	var (
		up datacentre.Upstream
		ok bool
	)
	if spare {
		up, ok = sv.chooser.PickSpare(name, all, tried, now)
	} else {
		up, ok = sv.chooser.PickPatient(name, all, tried, sv.patienceOf(ex, now), now)
	}
	if ok {
		sv.chooser.Started(up)
	}
	return up, ok
}

// waitShare is the part of the time that a call has to spare which it may spend
// in a queue near by before it is carried farther. Bulk calls, which are
// expensive to carry, may spend all of it.
const waitShare = 2

// patienceOf is how long a call may wait in a queue and still meet its objective;
// sv.mu is held.
func (sv *Server) patienceOf(ex *exchange, now time.Time) time.Duration {
	if ex.objective.IsZero() {
		return 0
	}
	estimate := sv.chooser.Estimate(ex.target.Route.Service)
	left := max(0, ex.objective.Sub(now)-estimate-estimate/2)
	if ex.target.Terms.Class == contract.ClassBulk {
		return left
	}
	return left / waitShare
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
