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

// Headers that callers can rely on.
const (
	// HeaderOutcome is on every answer: ran, not_run or unknown.
	HeaderOutcome = "Lynxfold-Outcome"
	// HeaderReason is on every answer that is not an upstream's.
	HeaderReason = "Lynxfold-Reason"
	// headerForwardedFor and headerForwardedHost say where a request came from.
	headerForwardedFor  = "X-Forwarded-For"
	headerForwardedHost = "X-Forwarded-Host"
)

// hopByHopHeaders are headers that belong to one connection only.
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

// ownRequestHeaders are request headers that this layer sets itself.
var ownRequestHeaders = map[string]bool{
	fasthttp.HeaderHost:     true,
	upstream.HeaderDeadline: true,
	call.HeaderAttempt:      true,
	headerForwardedFor:      true,
	headerForwardedHost:     true,
}

// ownResponseHeaders are response headers that this layer sets itself.
var ownResponseHeaders = map[string]bool{
	HeaderOutcome:     true,
	HeaderReason:      true,
	call.HeaderGaveUp: true,
}

// connectionHeaders returns the headers that a Connection header names.
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

// requestHeaders copies the headers of a request that travel on.
func (sv *Server) requestHeaders(ctx *fasthttp.RequestCtx) []*wire.Header {
	skip := connectionHeaders(string(ctx.Request.Header.Peek(fasthttp.HeaderConnection)))
	headers := make([]*wire.Header, 0, ctx.Request.Header.Len()+3)
	for na, va := range ctx.Request.Header.All() {
		name := string(na)
		if hopByHopHeaders[name] || skip[name] || !sv.cfg.Protocol.Forwards(name) {
			continue
		}
		headers = append(headers, &wire.Header{
			Name:  []byte(name),
			Value: bytes.Clone(va),
		})
	}
	return append(headers, sv.cfg.Protocol.Added(ctx)...)
}

func forwardedFor(ctx *fasthttp.RequestCtx) string {
	remoteIP := ctx.RemoteIP().String()
	if before := ctx.Request.Header.Peek(headerForwardedFor); len(before) > 0 {
		return string(before) + ", " + remoteIP
	}
	return remoteIP
}

// copyResponseHeaders passes the headers of an upstream's response on.
func (sv *Server) copyResponseHeaders(ctx *fasthttp.RequestCtx, rs *wire.Response) {
	var skip map[string]bool
	for _, he := range rs.GetHeaders() {
		if string(he.GetName()) == fasthttp.HeaderConnection {
			skip = connectionHeaders(string(he.GetValue()))
		}
	}
	for _, he := range rs.GetHeaders() {
		name := string(he.GetName())
		if !hopByHopHeaders[name] && !skip[name] && sv.cfg.Protocol.Returns(name) {
			ctx.Response.Header.AddBytesV(name, he.GetValue())
		}
	}
}

// headerValue finds a header of an upstream's response.
func headerValue(rs *wire.Response, name string) string {
	for _, he := range rs.GetHeaders() {
		if string(he.GetName()) == name {
			return string(he.GetValue())
		}
	}
	return ""
}
