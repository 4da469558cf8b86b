package caller

import (
	"github.com/valyala/fasthttp"

	"lynxfold/core/call"
	"lynxfold/core/call/keyed"
	"lynxfold/core/host"
	"lynxfold/io/upstream"
)

// refuse answers a request for which there is no upstream response.
func (sv *Server) refuse(ctx *fasthttp.RequestCtx, status int, re call.Result) {
	sv.cfg.Counters.countRefusal(re.Reason)
	ctx.Response.Reset()
	ctx.Response.Header.SetNoDefaultContentType(true)
	sv.cfg.Protocol.WriteRefusal(ctx, status, re)
}

func setGaveUpHeader(ctx *fasthttp.RequestCtx, re call.Result) {
	if value := call.GaveUpHeaderValue(re); value != "" {
		ctx.Response.Header.Set(call.HeaderGaveUp, value)
	}
}

// notRunResult returns the result of a request for which no attempt was sent.
func notRunResult(re host.Reason) call.Result {
	return call.Result{
		Outcome: call.OutcomeNotRun,
		Reason:  re,
	}
}

// httpStatus returns the HTTP status of a call that has no upstream response.
func httpStatus(re call.Result) int {
	switch {
	case re.Reason == call.ReasonBodyTooLarge:
		return fasthttp.StatusRequestEntityTooLarge
	case re.Reason == call.ReasonBadRequest:
		return fasthttp.StatusBadRequest
	case re.Reason == keyed.ReasonKeyReused:
		return fasthttp.StatusUnprocessableEntity
	case re.Reason == keyed.ReasonInProgress:
		return fasthttp.StatusConflict
	case re.Reason == ReasonQuota:
		return fasthttp.StatusTooManyRequests
	case re.Outcome == call.OutcomeNotRun:
		return fasthttp.StatusServiceUnavailable
	case re.Reason == host.ReasonUpstreamTimeout || re.Reason == host.ReasonDeadline:
		return fasthttp.StatusGatewayTimeout
	case re.Outcome == call.OutcomeUnknown:
		return fasthttp.StatusBadGateway
	}
	return fasthttp.StatusServiceUnavailable
}

// respond forwards an upstream's response. The HTTP library closes the response
// body after sending it, and closes the connection if the body is truncated.
func (sv *Server) respond(ctx *fasthttp.RequestCtx, rp upstream.Reply, re call.Result) {
	rs := rp.Response
	ctx.SetStatusCode(int(rs.GetStatus()))
	sv.copyResponseHeaders(ctx, rs)
	defer sv.cfg.Protocol.CompleteResponse(ctx, re)
	switch {
	case rp.Body != nil:
		ctx.Response.ImmediateHeaderFlush = true
		ctx.SetBodyStream(&heldBody{ReadCloser: rp.Body}, int(rs.GetLength()))
	case ctx.IsHead() && rs.GetLength() >= 0:
		// Content-Length of a HEAD response is the length of the corresponding
		// GET response.
		ctx.Response.SkipBody = true
		ctx.Response.Header.SetContentLength(int(rs.GetLength()))
	default:
		ctx.SetBody(rs.GetBody())
	}
}
