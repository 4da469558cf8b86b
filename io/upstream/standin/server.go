// Package standin is a configurable backend server for demonstrations and tests.
package standin

import (
	"encoding/json"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"
)

// Config configures a Server.
type Config struct {
	Name    string
	Service string
	Slots   int
	// ServiceTime is the service time of a call.
	ServiceTime time.Duration
	// ColdPeriod is the time after the start during which calls take ColdFactor
	// times their service time.
	ColdPeriod time.Duration
	ColdFactor int
	// Release is the release that the announcements state; empty for none.
	Release string
	// FailEvery makes every nth call fail with status 500; 0 means none.
	FailEvery int
	// AnnounceTo is the URL of the node on this host; empty disables announcements.
	AnnounceTo string
	// AnnounceInterval is the announcement interval.
	AnnounceInterval time.Duration
	// CallThrough is the URL of the node that calls of ParamCall go to.
	CallThrough string
	// RestartAfter is the time after which a crashed server listens again at its address.
	RestartAfter time.Duration
}

// Server is the stand-in backend server.
type Server struct {
	cfg     Config
	http    *fasthttp.Server
	address string
	running atomic.Int64
	// responses counts the responses for FailEvery.
	responses atomic.Int64
	draining  atomic.Bool
	stop      chan struct{}
	stopOnce  sync.Once
	done      sync.WaitGroup

	unresponsive atomic.Bool
	// fixed reports that requests with ParamCrash are served.
	fixed atomic.Bool

	mu        sync.Mutex
	listener  net.Listener
	startedAt time.Time
	coldUntil time.Time
	// down is set from a crash until the restart after it.
	down bool
	// crashTimes are the times of the crashes.
	crashTimes []time.Time

	ledger   []Run
	arrivals []Arrival
	limits   []RateLimitPeriod
	leaving  bool
	// leavingStatedAt is when a response first stated that the server is leaving.
	leavingStatedAt time.Time
	// sequence counts the announcements.
	sequence uint64
	health   Health
	conns    map[net.Conn]bool
}

// Health is the response of the health endpoint. InFlight is only updated with
// each announcement.
type Health struct {
	Status   string `json:"status"`
	InFlight int64  `json:"in_flight"`
}

// HeaderCallID carries the caller's id of a call, which the ledger records.
const HeaderCallID = "Call-Id"

// Start starts a server on an address and begins to announce it.
func Start(address string, cfg Config) (*Server, error) {
	li, err := net.Listen("tcp", address)
	if err != nil {
		return nil, &ListenError{Address: address, Err: err}
	}
	sv := &Server{
		cfg:       cfg,
		address:   li.Addr().String(),
		listener:  li,
		startedAt: time.Now(),
		coldUntil: time.Now().Add(cfg.ColdPeriod),
		stop:      make(chan struct{}),
		health:    Health{Status: "ok"},
		conns:     map[net.Conn]bool{},
	}
	sv.http = &fasthttp.Server{
		Handler:               sv.handler(),
		NoDefaultServerHeader: true,
		StreamRequestBody:     true,
		MaxRequestBodySize:    256 << 20,
		CloseOnShutdown:       true,
		ConnState:             sv.trackConn,
		Logger:                discardLogger{},
	}
	sv.done.Go(func() { _ = sv.http.Serve(li) })
	sv.done.Go(sv.announceLoop)
	return sv, nil
}

// ListenError reports a failure to listen on an address.
type ListenError struct {
	Address string
	Err     error
}

func (er *ListenError) Error() string { return "listen on " + er.Address + ": " + er.Err.Error() }

// Unwrap returns the cause.
func (er *ListenError) Unwrap() error { return er.Err }

func (sv *Server) handler() fasthttp.RequestHandler {
	ro := router.New()
	ro.GET("/standin/health", sv.withNotices(sv.serveHealth))
	ro.GET("/standin/ledger", sv.serveLedger)
	ro.POST("/standin/drain", func(*fasthttp.RequestCtx) { sv.Drain() })
	ro.NotFound = sv.withNotices(sv.serve)
	ro.HandleMethodNotAllowed = false
	return ro.Handler
}

// Address returns the address that the server listens on.
func (sv *Server) Address() string { return sv.address }

// Ledger returns the calls run so far.
func (sv *Server) Ledger() []Run {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return append([]Run(nil), sv.ledger...)
}

// Drain announces that the upstream is draining.
func (sv *Server) Drain() {
	sv.draining.Store(true)
	sv.announce()
}

// Stop shuts the server down after its running calls.
func (sv *Server) Stop() {
	sv.mu.Lock()
	sv.stopOnce.Do(func() { close(sv.stop) })
	sv.mu.Unlock()
	_ = sv.http.Shutdown()
	sv.done.Wait()
}

// Kill stops the server at once and closes its connections.
func (sv *Server) Kill() {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.stopOnce.Do(func() { close(sv.stop) })
	sv.closeConns()
}

// closeConns closes the listener and all connections; sv.mu is held.
func (sv *Server) closeConns() {
	_ = sv.listener.Close()
	for nc := range sv.conns {
		_ = nc.Close()
	}
}

// discardLogger drops the HTTP library's messages about connections that tests close.
type discardLogger struct{}

// Printf does nothing.
func (discardLogger) Printf(string, ...any) {}

// SetUnresponsive sets whether the server accepts calls without responding to them.
func (sv *Server) SetUnresponsive(unresponsive bool) { sv.unresponsive.Store(unresponsive) }

// trackConn records the open connections, so that Kill can close them.
func (sv *Server) trackConn(nc net.Conn, state fasthttp.ConnState) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	switch state {
	case fasthttp.StateNew:
		sv.conns[nc] = true
	case fasthttp.StateClosed, fasthttp.StateHijacked:
		delete(sv.conns, nc)
	case fasthttp.StateActive, fasthttp.StateIdle:
	}
}

func (sv *Server) announceLoop() {
	if sv.cfg.AnnounceTo == "" {
		return
	}
	ti := time.NewTicker(sv.cfg.AnnounceInterval)
	defer ti.Stop()
	for {
		sv.announce()
		select {
		case <-ti.C:
		case <-sv.stop:
			return
		}
	}
}

func (sv *Server) announce() {
	if sv.cfg.AnnounceTo == "" {
		return
	}
	state := "ready"
	if sv.draining.Load() {
		state = "draining"
	}
	// The health endpoint shows the count of the last announcement.
	sv.mu.Lock()
	sv.health.InFlight = sv.running.Load()
	sv.sequence++
	sequence, startedAt, down := sv.sequence, sv.startedAt, sv.down
	sv.mu.Unlock()
	if down {
		return
	}
	body, err := json.Marshal(struct {
		Service     string `json:"service"`
		Address     string `json:"address"`
		Slots       int    `json:"slots"`
		Connections int    `json:"connections"`
		State       string `json:"state"`
		InFlight    int64  `json:"in_flight"`
		Instance    string `json:"instance"`
		Started     int64  `json:"started_unix_ms"`
		Sequence    uint64 `json:"sequence"`
		Release     string `json:"release,omitempty"`
	}{
		Service:     sv.cfg.Service,
		Address:     sv.Address(),
		Slots:       sv.cfg.Slots,
		Connections: 120,
		State:       state,
		InFlight:    sv.running.Load(),
		Instance:    sv.cfg.Name,
		Started:     startedAt.UnixMilli(),
		Sequence:    sequence,
		Release:     sv.cfg.Release,
	})
	if err != nil {
		return
	}
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI(sv.cfg.AnnounceTo + "/announce")
	req.SetBodyRaw(body)
	// Ignore failures: the next announcement repeats the state.
	_ = fasthttp.DoTimeout(req, resp, time.Second)
}

func (sv *Server) serveHealth(ctx *fasthttp.RequestCtx) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	writeJSON(ctx, sv.health)
}

func (sv *Server) serveLedger(ctx *fasthttp.RequestCtx) { writeJSON(ctx, sv.Ledger()) }

func writeJSON(ctx *fasthttp.RequestCtx, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(data)
}
