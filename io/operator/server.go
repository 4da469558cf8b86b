// Package operator serves the operators' listener: the web console, the JSON API, the
// health endpoints and the metrics.
package operator

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/fasthttp/router"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"lynxfold/core/contract"
	"lynxfold/core/datacentre"
	"lynxfold/core/host"
	"lynxfold/io/operator/access"
	"lynxfold/io/platform"
)

// Acceptor stores a new configuration version on the platform.
type Acceptor interface {
	Accept(su platform.Submission) (*contract.Delta, error)
}

// History reads accepted configuration versions from the platform.
type History interface {
	// Row reads the row of one version.
	Row(ctx context.Context, ve contract.Version) (platform.VersionRow, error)
	// Rows reads up to limit rows of the versions above after, in ascending order.
	Rows(ctx context.Context, after contract.Version, limit int) ([]platform.VersionRow, error)
	// Snapshot reads the full configuration of a version.
	Snapshot(ctx context.Context, ve contract.Version) (*contract.Snapshot, error)
}

// Config configures a Server.
type Config struct {
	Host       host.ID
	DataCentre datacentre.Name
	View       func() *datacentre.View
	Acceptor   Acceptor
	History    History
	Explainer  Explainer
	Mesh       Mesh
	// Rollouts is nil while roll-outs are off.
	Rollouts Rollouts
	// OnAccepted is called for each version accepted through this server, with the operator
	// that submitted it.
	OnAccepted func(de *contract.Delta, by access.OperatorName)
	// Live and Ready return the reasons why the node is not live or not ready; empty
	// means that it is.
	Live    func() []HealthReason
	Ready   func() []HealthReason
	Tokens  []access.Token
	Metrics *metrics.Set
	Log     zerolog.Logger
	// KeyPair enables TLS unless it is nil.
	KeyPair *KeyPair
	// Now returns the current time.
	Now func() time.Time
	// NewID generates a unique submission id.
	NewID func() string
}

// Server serves the console, the API, the health endpoints and the metrics.
type Server struct {
	cfg           Config
	authenticator *access.Authenticator
	http          *fasthttp.Server
	// surveyMu allows one survey of the mesh at a time.
	surveyMu sync.Mutex
}

const (
	maxDocumentBytes = 16 << 20
	readTimeout      = 30 * time.Second
	idleTimeout      = time.Minute
	// platformTimeout bounds the platform requests of one operator request.
	platformTimeout = 10 * time.Second
	// maxConnections bounds the concurrent connections to each listener.
	maxConnections = 256
)

// New returns a Server that is ready to serve.
func New(cfg Config) *Server {
	sv := &Server{
		cfg:           cfg,
		authenticator: access.NewAuthenticator(cfg.Tokens),
	}
	sv.http = &fasthttp.Server{
		Handler:               sv.routes().Handler,
		ErrorHandler:          sv.handleParseError,
		Logger:                discardLogger{},
		NoDefaultServerHeader: true,
		MaxRequestBodySize:    maxDocumentBytes,
		Concurrency:           maxConnections,
		ReadTimeout:           readTimeout,
		IdleTimeout:           idleTimeout,
		CloseOnShutdown:       true,
	}
	return sv
}

func (sv *Server) routes() *router.Router {
	ro := router.New()
	ro.NotFound = sv.handleNotFound
	ro.PanicHandler = sv.handlePanic
	ro.GET("/live", func(ctx *fasthttp.RequestCtx) { writeHealth(ctx, sv.cfg.Live()) })
	ro.GET("/ready", func(ctx *fasthttp.RequestCtx) { writeHealth(ctx, sv.cfg.Ready()) })
	ro.GET("/metrics", sv.authorizeAPI(access.RoleRead, sv.getMetrics))
	ro.GET("/api/config", sv.authorizeAPI(access.RoleRead, sv.getConfig))
	ro.POST("/api/config", sv.authorizeAPI(access.RoleChange, sv.postConfig))
	ro.POST("/api/rollouts", sv.authorizeAPI(access.RoleChange, sv.postRollout))
	ro.GET("/api/config/{version}", sv.authorizeAPI(access.RoleRead, sv.getVersion))
	ro.GET("/api/history", sv.authorizeAPI(access.RoleRead, sv.getHistory))
	ro.GET("/api/status", sv.authorizeAPI(access.RoleRead, sv.getStatus))
	ro.GET("/api/explain", sv.authorizeAPI(access.RoleRead, sv.getLatestDecisions))
	ro.GET("/api/explain/{subject}/{id}", sv.authorizeAPI(access.RoleRead, sv.getExplain))
	ro.GET("/", func(ctx *fasthttp.RequestCtx) { redirect(ctx, pathConsole) })
	ro.GET("/console/style.css", getStyle)
	ro.GET(pathLogin, sv.getLogin)
	ro.POST(pathLogin, sv.postLogin)
	ro.POST("/console/logout", sv.authorizeConsole(sv.postLogout))
	ro.GET(pathConsole, sv.authorizeConsole(sv.getOverview))
	ro.POST(pathConsole, sv.authorizeConsole(sv.postConsole))
	ro.GET("/console/history", sv.authorizeConsole(sv.getHistoryPage))
	ro.GET("/console/download/{version}", sv.authorizeConsole(sv.getDownload))
	return ro
}

// Serve accepts connections on the listener until Shutdown is called.
func (sv *Server) Serve(li net.Listener) error {
	if sv.cfg.KeyPair != nil {
		li = tls.NewListener(li, &tls.Config{
			MinVersion:     tls.VersionTLS12,
			GetCertificate: sv.cfg.KeyPair.certificate,
		})
	}
	return sv.http.Serve(li)
}

// Shutdown stops Serve.
func (sv *Server) Shutdown() error { return sv.http.Shutdown() }

// handleParseError responds to input that is not a valid HTTP request. The response
// repeats nothing of the input.
func (sv *Server) handleParseError(ctx *fasthttp.RequestCtx, err error) {
	sv.incCounter("lynxfold_operator_bad_requests_total")
	var small *fasthttp.ErrSmallBuffer
	status, detail := fasthttp.StatusBadRequest, "malformed HTTP request"
	switch {
	case errors.As(err, &small):
		status, detail = fasthttp.StatusRequestHeaderFieldsTooLarge, "request header too large"
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		status, detail = fasthttp.StatusRequestEntityTooLarge, "request body too large"
	}
	writeJSON(ctx, status, Problem{
		Reason: ReasonInvalid,
		Detail: detail,
	})
	ctx.SetConnectionClose()
}

func (sv *Server) handleNotFound(ctx *fasthttp.RequestCtx) {
	writeJSON(ctx, fasthttp.StatusNotFound, Problem{
		Reason: ReasonNotFound,
		Detail: "there is no page " + string(ctx.Path()),
	})
}

// handlePanic responds with an internal error, so that a panic in one handler does not
// end the process.
func (sv *Server) handlePanic(ctx *fasthttp.RequestCtx, recovered any) {
	sv.incCounter("lynxfold_operator_panics_total")
	sv.cfg.Log.Error().Interface("fault", recovered).Str("path", string(ctx.Path())).Msg("page failed")
	ctx.Response.Reset()
	writeJSON(ctx, fasthttp.StatusInternalServerError, Problem{
		Reason: ReasonInternal,
		Detail: "internal error; see the log of the node",
	})
}

// discardLogger drops the log lines of the HTTP library, which contain input from
// clients that are not authenticated. handleParseError counts such requests instead.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}

func (sv *Server) incCounter(name string) { sv.cfg.Metrics.GetOrCreateCounter(name).Inc() }
