package upstream

import (
	"encoding/json"
	"net"
	"net/netip"
	"time"

	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"

	"lynxfold/core/contract"
	"lynxfold/core/host"
)

// announcementBody is the JSON body that an upstream posts to the node on its host.
type announcementBody struct {
	Service     contract.ServiceName `json:"service"`
	Address     string               `json:"address"`
	Slots       int                  `json:"slots"`
	Connections int                  `json:"connections"`
	State       string               `json:"state"`
	InFlight    int                  `json:"in_flight"`
	// Instance, StartedUnixMS and Sequence are optional, but Sequence is needed with
	// Instance.
	Instance      host.InstanceID `json:"instance"`
	StartedUnixMS int64           `json:"started_unix_ms"`
	Sequence      uint64          `json:"sequence"`
	// Release is optional.
	Release host.Release `json:"release"`
}

// AnnouncementError reports an invalid announcement.
type AnnouncementError struct {
	Field  string
	Detail string
}

func (er *AnnouncementError) Error() string {
	return "announcement: " + er.Field + ": " + er.Detail
}

// Limits for announcements.
const (
	maxAnnouncedSlots       = 100_000
	maxReleaseBytes         = 128
	maxAnnouncementBytes    = 4 << 10
	announcementReadTimeout = 5 * time.Second
)

// AnnouncementReceiver is notified of the announcements of upstream instances.
type AnnouncementReceiver interface {
	// Announce handles an announcement.
	Announce(an host.Announcement)
	// MarkGone marks an instance as gone.
	MarkGone(id host.InstanceID)
}

// RouteRegistrar registers the HTTP routes on which upstreams announce themselves.
type RouteRegistrar interface {
	// Register adds routes that pass announcements to ga.
	Register(ro *router.Router, ga AnnouncementReceiver)
}

// NativeRegistrar registers the announcement routes of lynxfold's native protocol.
type NativeRegistrar struct{}

// Register implements RouteRegistrar.
func (NativeRegistrar) Register(ro *router.Router, ga AnnouncementReceiver) {
	ro.POST("/announce", func(ctx *fasthttp.RequestCtx) { announce(ctx, ga) })
}

// AnnouncementServer is the HTTP server for announcements.
type AnnouncementServer struct {
	http *fasthttp.Server
}

// NewAnnouncementServer returns a server that passes announcements to a gate.
func NewAnnouncementServer(ga *Gate, re RouteRegistrar) *AnnouncementServer {
	as := &AnnouncementServer{}
	ro := router.New()
	re.Register(ro, ga)
	as.http = &fasthttp.Server{
		Handler:               ro.Handler,
		NoDefaultServerHeader: true,
		MaxRequestBodySize:    maxAnnouncementBytes,
		ReadTimeout:           announcementReadTimeout,
		IdleTimeout:           time.Minute,
		CloseOnShutdown:       true,
	}
	return as
}

// Serve accepts connections on a listener until Shutdown.
func (as *AnnouncementServer) Serve(li net.Listener) error { return as.http.Serve(li) }

// Shutdown stops the server.
func (as *AnnouncementServer) Shutdown() error { return as.http.Shutdown() }

func announce(ctx *fasthttp.RequestCtx, ga AnnouncementReceiver) {
	an, err := parseAnnouncement(ctx.PostBody())
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	ga.Announce(an)
	ctx.SetStatusCode(fasthttp.StatusNoContent)
}

func parseAnnouncement(data []byte) (host.Announcement, error) {
	var body announcementBody
	if err := json.Unmarshal(data, &body); err != nil {
		return host.Announcement{}, &AnnouncementError{Field: "body", Detail: err.Error()}
	}
	if body.Service == "" {
		return host.Announcement{}, &AnnouncementError{Field: "service", Detail: "missing"}
	}
	if _, err := netip.ParseAddrPort(body.Address); err != nil {
		return host.Announcement{}, &AnnouncementError{Field: "address", Detail: "use an IP address and port"}
	}
	if body.Slots <= 0 || body.Slots > maxAnnouncedSlots {
		return host.Announcement{}, &AnnouncementError{Field: "slots", Detail: "out of range"}
	}
	if body.Connections < 0 || body.InFlight < 0 {
		return host.Announcement{}, &AnnouncementError{Field: "connections", Detail: "out of range"}
	}
	if body.Instance != "" && (body.Sequence == 0 || body.StartedUnixMS <= 0) {
		return host.Announcement{}, &AnnouncementError{Field: "instance", Detail: "needs sequence and started_unix_ms"}
	}
	if len(body.Release) > maxReleaseBytes {
		return host.Announcement{}, &AnnouncementError{Field: "release", Detail: "too long"}
	}
	st, ok := statesByName[body.State]
	if !ok {
		return host.Announcement{}, &AnnouncementError{Field: "state", Detail: "use ready, draining or gone"}
	}
	an := host.Announcement{
		Service:     body.Service,
		Address:     body.Address,
		Slots:       host.Slots(body.Slots),
		Connections: body.Connections,
		State:       st,
		InFlight:    body.InFlight,
		Instance:    body.Instance,
		Sequence:    body.Sequence,
		Release:     body.Release,
	}
	if body.Instance != "" {
		an.StartedAt = time.UnixMilli(body.StartedUnixMS)
	}
	return an, nil
}

// statesByName maps the state names in announcements to states.
var statesByName = map[string]host.State{
	"ready":    host.StateReady,
	"draining": host.StateDraining,
	"gone":     host.StateGone,
}
