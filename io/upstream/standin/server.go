// Package standin is a small backend server that takes an upstream's place in
// demonstrations and tests.
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

// Config sets up a stand-in upstream.
type Config struct {
	Name    string
	Service string
	Slots   int
	// Work is how long a call takes.
	Work time.Duration
	// ColdFor is how long calls take ColdFactor times as long after the start.
	ColdFor    time.Duration
	ColdFactor int
	// AnnounceTo is the URL of the host's node; empty means no announcements.
	AnnounceTo string
	// AnnounceEvery is the time between two announcements.
	AnnounceEvery time.Duration
}

// Server is the stand-in.
type Server struct {
	cfg       Config
	http      *fasthttp.Server
	listener  net.Listener
	coldUntil time.Time
	running   atomic.Int64
	draining  atomic.Bool
	stop      chan struct{}
	once      sync.Once
	done      sync.WaitGroup

	silent atomic.Bool

	mu     sync.Mutex
	ledger []Run
	health Health
	conns  map[net.Conn]bool
}

// Health is what the lagging health page says.
type Health struct {
	Status   string `json:"status"`
	InFlight int64  `json:"in_flight"`
}

// HeaderCall carries the caller's own id of a call, for the ledger.
const HeaderCall = "Call-Id"

// Start listens on an address and announces itself.
func Start(address string, cfg Config) (*Server, error) {
	li, err := net.Listen("tcp", address)
	if err != nil {
		return nil, &StartError{Address: address, Err: err}
	}
	sv := &Server{
		cfg:       cfg,
		listener:  li,
		coldUntil: time.Now().Add(cfg.ColdFor),
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

// StartError reports an address that can't be listened on.
type StartError struct {
	Address string
	Err     error
}

func (er *StartError) Error() string { return "listen on " + er.Address + ": " + er.Err.Error() }

// Unwrap returns the cause.
func (er *StartError) Unwrap() error { return er.Err }

func (sv *Server) handler() fasthttp.RequestHandler {
	ro := router.New()
	ro.GET("/standin/health", sv.serveHealth)
	ro.GET("/standin/ledger", sv.serveLedger)
	ro.POST("/standin/drain", func(*fasthttp.RequestCtx) { sv.Drain() })
	ro.NotFound = sv.serve
	ro.HandleMethodNotAllowed = false
	return ro.Handler
}

// Address is where the stand-in listens.
func (sv *Server) Address() string { return sv.listener.Addr().String() }

// Ledger returns what ran so far.
func (sv *Server) Ledger() []Run {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return append([]Run(nil), sv.ledger...)
}

// Drain announces that the upstream is leaving.
func (sv *Server) Drain() {
	sv.draining.Store(true)
	sv.announce()
}

// Stop ends the stand-in after its calls.
func (sv *Server) Stop() {
	sv.once.Do(func() { close(sv.stop) })
	_ = sv.http.Shutdown()
	sv.done.Wait()
}

// Kill ends the stand-in at once and cuts its connections.
func (sv *Server) Kill() {
	sv.once.Do(func() { close(sv.stop) })
	_ = sv.listener.Close()
	sv.mu.Lock()
	defer sv.mu.Unlock()
	for nc := range sv.conns {
		_ = nc.Close()
	}
}

// discardLogger drops the HTTP library's lines about connections that tests cut.
type discardLogger struct{}

// Printf drops a line.
func (discardLogger) Printf(string, ...any) {}

// SetSilent makes the stand-in take calls without ever answering them.
func (sv *Server) SetSilent(silent bool) { sv.silent.Store(silent) }

// trackConn keeps the open connections, so that Kill can cut them.
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
	ti := time.NewTicker(sv.cfg.AnnounceEvery)
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
	// The health page lags behind: it tells the state of the last announcement.
	sv.mu.Lock()
	sv.health.InFlight = sv.running.Load()
	sv.mu.Unlock()
	body, err := json.Marshal(struct {
		Service     string `json:"service"`
		Address     string `json:"address"`
		Slots       int    `json:"slots"`
		Connections int    `json:"connections"`
		State       string `json:"state"`
		InFlight    int64  `json:"in_flight"`
	}{
		Service:     sv.cfg.Service,
		Address:     sv.Address(),
		Slots:       sv.cfg.Slots,
		Connections: 120,
		State:       state,
		InFlight:    sv.running.Load(),
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
	// A failed announcement is made up for by the next one.
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
