// Package operator speaks to the operators: the console, its API, health and
// the counters.
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

// Acceptor stores a new version on the platform.
type Acceptor interface {
	Accept(su platform.Submission) (*contract.Delta, error)
}

// History reads accepted versions from the platform.
type History interface {
	// Row reads what is recorded of one version.
	Row(ctx context.Context, ve contract.Version) (platform.VersionRow, error)
	// Rows reads what is recorded of versions above one, in order.
	Rows(ctx context.Context, after contract.Version, limit int) ([]platform.VersionRow, error)
	// Document reads a whole version.
	Document(ctx context.Context, ve contract.Version) (*contract.Snapshot, error)
}

// Config sets up the operators' listener.
type Config struct {
	Host       host.ID
	DataCentre datacentre.Name
	View       func() *datacentre.View
	Acceptor   Acceptor
	History    History
	Explainer  Explainer
	Mesh       Mesh
	// Accepted is told of each accepted version and who had it accepted.
	Accepted func(de *contract.Delta, by access.OperatorName)
	// Live and Ready return why the node is not; empty when it is.
	Live    func() []HealthReason
	Ready   func() []HealthReason
	Tokens  []access.Token
	Metrics *metrics.Set
	Log     zerolog.Logger
	// KeyPair turns TLS on when it is not nil.
	KeyPair *KeyPair
	// Now is the clock.
	Now func() time.Time
	// NewID makes a unique submission id.
	NewID func() string
}

// Server is the operators' listener.
type Server struct {
	cfg   Config
	guard *access.Guard
	http  *fasthttp.Server
	// surveys is held by the survey that runs.
	surveys sync.Mutex
}

const (
	maxDocumentBytes = 16 << 20
	readTimeout      = 30 * time.Second
	idleTimeout      = time.Minute
	// platformWithin bounds one request's dealings with the platform.
	platformWithin = 10 * time.Second
	// maxConnections bounds the connections of operators at once.
	maxConnections = 256
)

// New builds the operators' listener.
func New(cfg Config) *Server {
	sv := &Server{
		cfg:   cfg,
		guard: access.NewGuard(cfg.Tokens),
	}
	sv.http = &fasthttp.Server{
		Handler:               sv.routes().Handler,
		ErrorHandler:          sv.malformed,
		Logger:                quiet{},
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
	ro.NotFound = sv.notFound
	ro.PanicHandler = sv.panicked
	ro.GET("/live", func(ctx *fasthttp.RequestCtx) { writeHealth(ctx, sv.cfg.Live()) })
	ro.GET("/ready", func(ctx *fasthttp.RequestCtx) { writeHealth(ctx, sv.cfg.Ready()) })
	ro.GET("/metrics", sv.api(access.RoleRead, sv.getMetrics))
	ro.GET("/api/config", sv.api(access.RoleRead, sv.getConfig))
	ro.POST("/api/config", sv.api(access.RoleChange, sv.postConfig))
	ro.GET("/api/config/{version}", sv.api(access.RoleRead, sv.getVersion))
	ro.GET("/api/history", sv.api(access.RoleRead, sv.getHistory))
	ro.GET("/api/status", sv.api(access.RoleRead, sv.getStatus))
	ro.GET("/api/explain", sv.api(access.RoleRead, sv.getLatest))
	ro.GET("/api/explain/{subject}/{id}", sv.api(access.RoleRead, sv.getExplain))
	ro.GET("/", func(ctx *fasthttp.RequestCtx) { redirect(ctx, pathConsole) })
	ro.GET("/console/style.css", getStyle)
	ro.GET(pathLogin, sv.getLogin)
	ro.POST(pathLogin, sv.postLogin)
	ro.POST("/console/logout", sv.console(sv.postLogout))
	ro.GET(pathConsole, sv.console(sv.getOverview))
	ro.POST(pathConsole, sv.console(sv.postConsole))
	ro.GET("/console/history", sv.console(sv.getHistoryPage))
	ro.GET("/console/download/{version}", sv.console(sv.getDownload))
	return ro
}

// Serve answers on a listener until Shutdown.
func (sv *Server) Serve(li net.Listener) error {
	if sv.cfg.KeyPair != nil {
		li = tls.NewListener(li, &tls.Config{
			MinVersion:     tls.VersionTLS12,
			GetCertificate: sv.cfg.KeyPair.get,
		})
	}
	return sv.http.Serve(li)
}

// Shutdown ends Serve.
func (sv *Server) Shutdown() error { return sv.http.Shutdown() }

// malformed answers what can't be read as a request. Nothing of what came is
// repeated.
func (sv *Server) malformed(ctx *fasthttp.RequestCtx, err error) {
	sv.count("lynxfold_operator_bad_requests_total")
	var small *fasthttp.ErrSmallBuffer
	status, detail := fasthttp.StatusBadRequest, "this is no HTTP request"
	switch {
	case errors.As(err, &small):
		status, detail = fasthttp.StatusRequestHeaderFieldsTooLarge, "the request's header is too large"
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		status, detail = fasthttp.StatusRequestEntityTooLarge, "the request's body is too large"
	}
	writeJSON(ctx, status, Problem{
		Reason: ReasonInvalid,
		Detail: detail,
	})
	ctx.SetConnectionClose()
}

func (sv *Server) notFound(ctx *fasthttp.RequestCtx) {
	writeJSON(ctx, fasthttp.StatusNotFound, Problem{
		Reason: ReasonNotFound,
		Detail: "there is no page " + string(ctx.Path()),
	})
}

// panicked keeps a fault in one page from ending the node.
func (sv *Server) panicked(ctx *fasthttp.RequestCtx, fault any) {
	sv.count("lynxfold_operator_panics_total")
	sv.cfg.Log.Error().Interface("fault", fault).Str("path", string(ctx.Path())).Msg("page failed")
	ctx.Response.Reset()
	writeJSON(ctx, fasthttp.StatusInternalServerError, Problem{
		Reason: ReasonFault,
		Detail: "the page failed; the node's log tells why",
	})
}

// quiet keeps the HTTP library from logging what strangers send; malformed
// counts it.
type quiet struct{}

// Printf implements fasthttp.Logger.
func (quiet) Printf(string, ...any) {}

func (sv *Server) count(name string) { sv.cfg.Metrics.GetOrCreateCounter(name).Inc() }
