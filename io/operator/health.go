package operator

import (
	"net"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"
)

// HealthReason names why a node is not live or not ready.
type HealthReason string

// Reasons of health pages.
const (
	HealthControlStalled  HealthReason = "control_stalled"
	HealthNoConfiguration HealthReason = "no_configuration"
	HealthDraining        HealthReason = "draining"
)

// HealthBody is the answer of the health pages.
type HealthBody struct {
	OK      bool           `json:"ok"`
	Reasons []HealthReason `json:"reasons"`
}

func writeHealth(ctx *fasthttp.RequestCtx, reasons []HealthReason) {
	he := HealthBody{
		OK:      len(reasons) == 0,
		Reasons: reasons,
	}
	if he.OK {
		he.Reasons = []HealthReason{}
		writeJSON(ctx, fasthttp.StatusOK, he)
		return
	}
	writeJSON(ctx, fasthttp.StatusServiceUnavailable, he)
}

// HealthConfig sets up the listeners for health pages and counters.
type HealthConfig struct {
	// Live and Ready return why the node is not; empty when it is.
	Live    func() []HealthReason
	Ready   func() []HealthReason
	Metrics *metrics.Set
}

// Health serves the health pages and the counters without a token.
type Health struct {
	http *fasthttp.Server
}

// healthTimeout bounds one request, healthIdle an unused connection.
const (
	healthTimeout = 5 * time.Second
	healthIdle    = time.Minute
)

// NewHealth builds the server of health pages.
func NewHealth(cfg HealthConfig) *Health {
	ro := router.New()
	ro.GET("/live", func(ctx *fasthttp.RequestCtx) { writeHealth(ctx, cfg.Live()) })
	ro.GET("/ready", func(ctx *fasthttp.RequestCtx) { writeHealth(ctx, cfg.Ready()) })
	ro.GET("/metrics", func(ctx *fasthttp.RequestCtx) { writeMetrics(ctx, cfg.Metrics) })
	return &Health{
		http: &fasthttp.Server{
			Handler:               ro.Handler,
			Logger:                quiet{},
			NoDefaultServerHeader: true,
			ReadTimeout:           healthTimeout,
			IdleTimeout:           healthIdle,
			Concurrency:           maxConnections,
			CloseOnShutdown:       true,
		},
	}
}

// Serve answers on a listener until Shutdown.
func (he *Health) Serve(li net.Listener) error { return he.http.Serve(li) }

// Shutdown ends Serve.
func (he *Health) Shutdown() error { return he.http.Shutdown() }
