package caller

import (
	"bytes"
	"net/textproto"
	"strings"

	"github.com/valyala/fasthttp"

	"lynxfold/core/call"
	"lynxfold/core/wire"
	"lynxfold/io/upstream"
)

// Response headers for callers, and request headers for upstreams.
const (
	// HeaderOutcome is on every answer: ran, not_run or unknown.
	HeaderOutcome = "Lynxfold-Outcome"
	// HeaderReason is on every answer that is not an upstream's response.
	HeaderReason = "Lynxfold-Reason"
	// headerForwardedFor carries the origin of a request.
	headerForwardedFor = "X-Forwarded-For"
)

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = map[string]bool{
	"Connection":          true,
	"Content-Length":      true,
	"Date":                true,
	"Expect":              true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
}

// ownRequestHeaders are the request headers that this package sets, and therefore
// does not forward.
var ownRequestHeaders = map[string]bool{
	fasthttp.HeaderHost:          true,
	upstream.HeaderDeadline:      true,
	upstream.HeaderAttemptID:     true,
	upstream.HeaderForwardedHost: true,
	call.HeaderAttempt:           true,
	headerForwardedFor:           true,
}

// ownResponseHeaders are the response headers that this package sets, and
// therefore does not forward.
var ownResponseHeaders = map[string]bool{
	HeaderOutcome:     true,
	HeaderReason:      true,
	call.HeaderGaveUp: true,
	// It concerns only the connection to the upstream.
	upstream.HeaderAttemptID: true,
}

// connectionHeaders returns the headers that a Connection header lists.
func connectionHeaders(connection string) map[string]bool {
	if connection == "" || connection == "close" || connection == "keep-alive" {
		return nil
	}
	names := map[string]bool{}
	for name := range strings.SplitSeq(connection, ",") {
		names[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
	}
	return names
}

// requestHeaders returns copies of the request headers that are forwarded, and
// those that the protocol adds. Keys are not forwarded, nor is what the caller states as
// its customer.
func (sv *Server) requestHeaders(ctx *fasthttp.RequestCtx, ad admission) []*wire.Header {
	skip := connectionHeaders(string(ctx.Request.Header.Peek(fasthttp.HeaderConnection)))
	headers := make([]*wire.Header, 0, ctx.Request.Header.Len()+4)
	customerHeader := sv.cfg.Protocol.CustomerHeader()
	for na, va := range ctx.Request.Header.All() {
		name := string(na)
		if hopByHopHeaders[name] || skip[name] || !sv.cfg.Protocol.ForwardsHeader(name) {
			continue
		}
		if strings.EqualFold(name, customerHeader) || ad.hasKeys && strings.EqualFold(name, fasthttp.HeaderAuthorization) {
			continue
		}
		headers = append(headers, &wire.Header{
			Name:  []byte(name),
			Value: bytes.Clone(va),
		})
	}
	if ad.customer.Name != "" {
		headers = append(headers, &wire.Header{
			Name:  []byte(customerHeader),
			Value: []byte(ad.customer.Name),
		})
	}
	return append(headers, sv.cfg.Protocol.AddedHeaders(ctx)...)
}

func forwardedFor(ctx *fasthttp.RequestCtx) string {
	remoteIP := ctx.RemoteIP().String()
	if before := ctx.Request.Header.Peek(headerForwardedFor); len(before) > 0 {
		return string(before) + ", " + remoteIP
	}
	return remoteIP
}

// copyResponseHeaders forwards the headers of an upstream's response.
func (sv *Server) copyResponseHeaders(ctx *fasthttp.RequestCtx, rs *wire.Response) {
	var skip map[string]bool
	for _, he := range rs.GetHeaders() {
		if string(he.GetName()) == fasthttp.HeaderConnection {
			skip = connectionHeaders(string(he.GetValue()))
		}
	}
	for _, he := range rs.GetHeaders() {
		name := string(he.GetName())
		if !hopByHopHeaders[name] && !skip[name] && sv.cfg.Protocol.ReturnsHeader(name) {
			ctx.Response.Header.AddBytesV(name, he.GetValue())
		}
	}
}

// headerValue returns the value of a header of an upstream's response; empty if
// there is none.
func headerValue(rs *wire.Response, name string) string {
	for _, he := range rs.GetHeaders() {
		if string(he.GetName()) == name {
			return string(he.GetValue())
		}
	}
	return ""
}
