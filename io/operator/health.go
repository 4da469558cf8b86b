package operator

import (
	"net"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"
)

// HealthReason says why a node is not live or not ready.
type HealthReason string

// Reasons in responses of the health endpoints.
const (
	HealthControlStalled  HealthReason = "control_stalled"
	HealthNoConfiguration HealthReason = "no_configuration"
	HealthDraining        HealthReason = "draining"
)

// HealthBody is the response body of the health endpoints.
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

// HealthConfig configures a HealthServer.
type HealthConfig struct {
	// Live and Ready return the reasons why the node is not live or not ready; empty
	// means that it is.
	Live    func() []HealthReason
	Ready   func() []HealthReason
	Metrics *metrics.Set
}

// HealthServer serves the health endpoints and the metrics without authentication.
type HealthServer struct {
	http *fasthttp.Server
}

// healthReadTimeout bounds reading one request, healthIdleTimeout an unused connection.
const (
	healthReadTimeout = 5 * time.Second
	healthIdleTimeout = time.Minute
)

// NewHealthServer returns a server of the health endpoints.
func NewHealthServer(cfg HealthConfig) *HealthServer {
	ro := router.New()
	ro.GET("/live", func(ctx *fasthttp.RequestCtx) { writeHealth(ctx, cfg.Live()) })
	ro.GET("/ready", func(ctx *fasthttp.RequestCtx) { writeHealth(ctx, cfg.Ready()) })
	ro.GET("/metrics", func(ctx *fasthttp.RequestCtx) { writeMetrics(ctx, cfg.Metrics) })
	return &HealthServer{
		http: &fasthttp.Server{
			Handler:               ro.Handler,
			Logger:                discardLogger{},
			NoDefaultServerHeader: true,
			ReadTimeout:           healthReadTimeout,
			IdleTimeout:           healthIdleTimeout,
			Concurrency:           maxConnections,
			CloseOnShutdown:       true,
		},
	}
}

// Serve accepts connections on the listener until Shutdown is called.
func (he *HealthServer) Serve(li net.Listener) error { return he.http.Serve(li) }

// Shutdown stops Serve.
func (he *HealthServer) Shutdown() error { return he.http.Shutdown() }
