// Package operator speaks to the operators: the console, its API and the
// counters.
package operator

import (
	"encoding/json"
	"net"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/fasthttp/router"
	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"lynxfold/core/contract"
	"lynxfold/core/datacentre"
	"lynxfold/core/host"
	"lynxfold/io/platform"
)

// Acceptor stores a new version on the platform.
type Acceptor interface {
	Accept(su platform.Submission) (*contract.Delta, error)
}

// Config sets up the operators' listener.
type Config struct {
	Host       host.ID
	DataCentre datacentre.Name
	View       func() *datacentre.View
	Acceptor   Acceptor
	// Accepted is told of each accepted version.
	Accepted func(de *contract.Delta)
	Metrics  *metrics.Set
}

// Server is the operators' listener.
type Server struct {
	cfg  Config
	http *fasthttp.Server
}

const (
	maxDocumentBytes = 16 << 20
	readTimeout      = 30 * time.Second
)

// New builds the operators' listener.
func New(cfg Config) *Server {
	sv := &Server{cfg: cfg}
	ro := router.New()
	ro.GET("/api/config", sv.getConfig)
	ro.POST("/api/config", sv.postConfig)
	ro.GET("/api/status", sv.getStatus)
	ro.GET("/metrics", sv.getMetrics)
	ro.GET("/live", func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("live\n") })
	sv.http = &fasthttp.Server{
		Handler:               ro.Handler,
		NoDefaultServerHeader: true,
		MaxRequestBodySize:    maxDocumentBytes,
		ReadTimeout:           readTimeout,
		IdleTimeout:           time.Minute,
		CloseOnShutdown:       true,
	}
	return sv
}

// Serve answers on a listener until Shutdown.
func (sv *Server) Serve(li net.Listener) error { return sv.http.Serve(li) }

// Shutdown ends Serve.
func (sv *Server) Shutdown() error { return sv.http.Shutdown() }

// ConfigBody is the configuration in force, or the one to accept.
type ConfigBody struct {
	// Version is in force, or the base of the document.
	Version  contract.Version `json:"version"`
	Digest   contract.Digest  `json:"digest,omitempty"`
	Document json.RawMessage  `json:"document"`
	// Submission tells a repeat from a new request; made up when empty.
	Submission string `json:"submission,omitempty"`
}

// Problem is why a request was not carried out.
type Problem struct {
	Reason string                `json:"reason"`
	Detail string                `json:"detail"`
	Fields []contract.FieldError `json:"fields,omitempty"`
	// Version is the one in force, with a conflict.
	Version contract.Version `json:"version,omitempty"`
}

// Reasons of problems.
const (
	ReasonInvalid     = "invalid"
	ReasonConflict    = "conflict"
	ReasonUnavailable = "unavailable"
	ReasonInDoubt     = "in_doubt"
)

// Status is what a node knows of the mesh.
type Status struct {
	Host       host.ID          `json:"host"`
	DataCentre datacentre.Name  `json:"data_centre"`
	Version    contract.Version `json:"config_version"`
	Digest     contract.Digest  `json:"config_digest"`
	Services   []ServiceStatus  `json:"services"`
}

// ServiceStatus counts the usable upstreams of a service.
type ServiceStatus struct {
	Service   contract.ServiceName `json:"service"`
	Upstreams int                  `json:"upstreams"`
}

func (sv *Server) getConfig(ctx *fasthttp.RequestCtx) {
	sn := sv.cfg.View().Config
	writeJSON(ctx, fasthttp.StatusOK, ConfigBody{
		Version:  sn.Version,
		Digest:   sn.Digest,
		Document: sn.Document.Encode(),
	})
}

func (sv *Server) postConfig(ctx *fasthttp.RequestCtx) {
	var body ConfigBody
	if err := json.Unmarshal(ctx.PostBody(), &body); err != nil {
		writeJSON(ctx, fasthttp.StatusBadRequest, Problem{Reason: ReasonInvalid, Detail: err.Error()})
		return
	}
	doc, err := contract.ParseDocument(body.Document)
	if err != nil {
		sv.problem(ctx, err)
		return
	}
	base := sv.cfg.View().Config
	if body.Version != base.Version {
		writeJSON(ctx, fasthttp.StatusConflict, Problem{
			Reason:  ReasonConflict,
			Detail:  "the document is based on another version",
			Version: base.Version,
		})
		return
	}
	if body.Submission == "" {
		body.Submission = uuid.NewString()
	}
	de, err := sv.cfg.Acceptor.Accept(platform.Submission{
		ID:          body.Submission,
		Base:        base,
		Document:    doc,
		SubmittedAt: time.Now().UTC(),
	})
	if err != nil {
		sv.problem(ctx, err)
		return
	}
	sv.cfg.Accepted(de)
	writeJSON(ctx, fasthttp.StatusOK, ConfigBody{
		Version:    de.Result,
		Digest:     de.Digest,
		Submission: body.Submission,
	})
}

// problem answers with the status that fits an error.
func (sv *Server) problem(ctx *fasthttp.RequestCtx, err error) {
	var (
		invalid  *contract.ValidationError
		syntax   *contract.SyntaxError
		conflict *platform.ConflictError
		doubt    *platform.InDoubtError
	)
	pr := Problem{Detail: err.Error()}
	status := fasthttp.StatusServiceUnavailable
	switch {
	case errors.As(err, &invalid):
		pr.Reason, pr.Fields, status = ReasonInvalid, invalid.Fields, fasthttp.StatusUnprocessableEntity
	case errors.As(err, &syntax):
		pr.Reason, status = ReasonInvalid, fasthttp.StatusBadRequest
	case errors.As(err, &conflict):
		pr.Reason, pr.Version, status = ReasonConflict, sv.cfg.View().Config.Version, fasthttp.StatusConflict
	case errors.As(err, &doubt):
		pr.Reason, status = ReasonInDoubt, fasthttp.StatusGatewayTimeout
	default:
		pr.Reason = ReasonUnavailable
	}
	writeJSON(ctx, status, pr)
}

func (sv *Server) getStatus(ctx *fasthttp.RequestCtx) {
	vi := sv.cfg.View()
	st := Status{
		Host:       sv.cfg.Host,
		DataCentre: sv.cfg.DataCentre,
		Version:    vi.Config.Version,
		Digest:     vi.Config.Digest,
		Services:   []ServiceStatus{},
	}
	for _, se := range vi.Config.Document.Services {
		st.Services = append(st.Services, ServiceStatus{
			Service:   se.Name,
			Upstreams: len(vi.Upstreams[se.Name]),
		})
	}
	writeJSON(ctx, fasthttp.StatusOK, st)
}

func (sv *Server) getMetrics(ctx *fasthttp.RequestCtx) {
	ctx.SetContentType("text/plain; version=0.0.4")
	sv.cfg.Metrics.WritePrometheus(ctx)
	metrics.WriteProcessMetrics(ctx)
}

func writeJSON(ctx *fasthttp.RequestCtx, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(append(data, '\n'))
}
