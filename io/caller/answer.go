package caller

import (
	"encoding/json"
	"math"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"lynxfold/core/call"
	"lynxfold/core/host"
	"lynxfold/core/wire"
	"lynxfold/io/upstream"
)

// Headers that callers can rely on.
const (
	// HeaderOutcome is on every answer: ran, not_run or unknown.
	HeaderOutcome = "Lynxfold-Outcome"
	// HeaderReason is on every answer that is not an upstream's.
	HeaderReason = "Lynxfold-Reason"
)

// refuse answers without an upstream's response.
func (sv *Server) refuse(ctx *fasthttp.RequestCtx, status int, ou call.Outcome, re host.Reason, comeBack time.Time) {
	sv.cfg.Counters.refused(re)
	ctx.Response.Reset()
	ctx.SetStatusCode(status)
	ctx.Response.Header.Set(HeaderOutcome, string(ou))
	ctx.Response.Header.Set(HeaderReason, string(re))
	if !comeBack.IsZero() {
		seconds := max(1, int(math.Ceil(time.Until(comeBack).Seconds())))
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(seconds))
	}
	body, err := json.Marshal(struct {
		Outcome call.Outcome `json:"outcome"`
		Reason  host.Reason  `json:"reason"`
	}{
		Outcome: ou,
		Reason:  re,
	})
	if err != nil {
		return // the status and headers say it all
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

// statusOf chooses the HTTP status of a call without a response.
func statusOf(re call.Result) int {
	switch {
	case re.Reason == host.ReasonUpstreamTimeout || re.Reason == host.ReasonDeadline:
		return fasthttp.StatusGatewayTimeout
	case re.Outcome == call.OutcomeUnknown:
		return fasthttp.StatusBadGateway
	}
	return fasthttp.StatusServiceUnavailable
}

// respond passes an upstream's response on.
func (sv *Server) respond(ctx *fasthttp.RequestCtx, re upstream.Reply) {
	rs := re.Response
	ctx.SetStatusCode(int(rs.GetStatus()))
	for _, he := range rs.GetHeaders() {
		if !hopByHop[he.GetName()] {
			ctx.Response.Header.Add(he.GetName(), he.GetValue())
		}
	}
	ctx.Response.Header.Set(HeaderOutcome, string(call.OutcomeRan))
	if re.Body == nil {
		ctx.SetBody(rs.GetBody())
		return
	}
	// The server closes the stream when it is sent, and the connection when it is cut short.
	ctx.SetBodyStream(re.Body, int(rs.GetLength()))
}

// hopByHop are headers that belong to one connection only.
var hopByHop = map[string]bool{
	"Connection":          true,
	"Content-Length":      true,
	"Date":                true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
}

// headersOf copies the headers of a request that travel on.
func headersOf(ctx *fasthttp.RequestCtx) []*wire.Header {
	var headers []*wire.Header
	for na, va := range ctx.Request.Header.All() {
		name := string(na)
		if hopByHop[name] || name == fasthttp.HeaderHost {
			continue
		}
		headers = append(headers, &wire.Header{
			Name:  name,
			Value: string(va),
		})
	}
	return headers
}
