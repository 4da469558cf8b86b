// Package caller speaks to the callers: it takes their HTTP requests, passes
// them to upstreams as their contracts allow, and answers.
package caller

import (
	"math/rand/v2"
	"net"
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
	Rand            *rand.Rand
	Log             zerolog.Logger
	Counters        *Counters
}

// Server is the callers' listener.
type Server struct {
	cfg   Config
	http  *fasthttp.Server
	calls atomic.Uint64

	mu      sync.Mutex
	chooser *call.Chooser
	budgets map[contract.ServiceName]*call.Budget
}

// budgetCeiling is the number of retries that a service can save up.
const budgetCeiling = 20

// budgetPerSecond is the number of retries that a service always has, each second.
const budgetPerSecond = 0.5

// idleTimeout closes callers' connections that send nothing.
const idleTimeout = 2 * time.Minute

// New builds the callers' listener.
func New(cfg Config) *Server {
	sv := &Server{
		cfg: cfg,
		chooser: call.NewChooser(call.ChooserConfig{
			DataCentre: cfg.DataCentre,
			Rand:       cfg.Rand,
		}),
		budgets: map[contract.ServiceName]*call.Budget{},
	}
	sv.http = &fasthttp.Server{
		Handler:               sv.handle,
		ErrorHandler:          sv.malformed,
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
		NoDefaultContentType:  true,
		StreamRequestBody:     true,
		ReadBufferSize:        cfg.MaxHeaderBytes,
		MaxRequestBodySize:    inlineBytes,
		Concurrency:           cfg.MaxConnections,
		IdleTimeout:           idleTimeout,
		CloseOnShutdown:       true,
	}
	return sv
}

// Serve answers on a listener until Shutdown.
func (sv *Server) Serve(li net.Listener) error { return sv.http.Serve(li) }

// Shutdown takes no new connections and returns when all calls are answered.
func (sv *Server) Shutdown() error { return sv.http.Shutdown() }

// malformed answers what can't be read as a request.
func (sv *Server) malformed(ctx *fasthttp.RequestCtx, err error) {
	status := fasthttp.StatusBadRequest
	var small *fasthttp.ErrSmallBuffer
	if errors.As(err, &small) {
		status = fasthttp.StatusRequestHeaderFieldsTooLarge
	}
	sv.refuse(ctx, status, call.OutcomeNotRun, call.ReasonBadRequest, time.Time{})
}

func (sv *Server) handle(ctx *fasthttp.RequestCtx) {
	now := time.Now()
	vi := sv.cfg.View()
	ta := vi.Config.Match(string(ctx.Method()), string(ctx.Path()))
	if ta == nil {
		sv.refuse(ctx, fasthttp.StatusNotFound, call.OutcomeNotRun, call.ReasonNoRoute, time.Time{})
		return
	}
	if ctx.Request.Header.ContentLength() > sv.cfg.MaxBodyBytes {
		ctx.SetConnectionClose()
		sv.refuse(ctx, fasthttp.StatusRequestEntityTooLarge, call.OutcomeNotRun, call.ReasonBodyTooLarge, time.Time{})
		return
	}
	ex := &exchange{
		server: sv,
		ctx:    ctx,
		view:   vi,
		target: ta,
		number: sv.calls.Add(1),
		begun:  now,
	}
	ex.run(now)
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

// budget returns the retry budget of a service; sv.mu is held.
func (sv *Server) budget(na contract.ServiceName) *call.Budget {
	bu := sv.budgets[na]
	if bu == nil {
		bu = call.NewBudget(call.BudgetConfig{
			PerSuccess: sv.cfg.RetryPerSuccess,
			PerSecond:  budgetPerSecond,
			Ceiling:    budgetCeiling,
		})
		sv.budgets[na] = bu
	}
	return bu
}

func (sv *Server) spend(na contract.ServiceName, now time.Time) bool {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return sv.budget(na).Spend(now)
}

func (sv *Server) succeeded(na contract.ServiceName) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.budget(na).Succeeded()
}
