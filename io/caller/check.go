package caller

import (
	"net"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"lynxfold/core/call"
	"lynxfold/core/contract"
	"lynxfold/core/host"
)

// check refuses what needs no look at the body; the status is 0 for the rest.
func (sv *Server) check(ctx *fasthttp.RequestCtx) (int, *contract.Target) {
	vi := sv.cfg.View()
	if vi.Config.Version == 0 {
		re := notRun(ReasonNoConfiguration)
		re.RetryAfter = time.Now().Add(comeBack)
		sv.refuseEarly(ctx, fasthttp.StatusServiceUnavailable, re)
		return fasthttp.StatusServiceUnavailable, nil
	}
	he := &ctx.Request.Header
	if int64(len(he.RawHeaders())+len(he.RequestURI())) > sv.headerLimit() {
		sv.refuseEarly(ctx, fasthttp.StatusRequestHeaderFieldsTooLarge, notRun(call.ReasonBadRequest))
		return fasthttp.StatusRequestHeaderFieldsTooLarge, nil
	}
	ta := vi.Config.Match(hostOf(he.Host()), string(he.Method()), pathOf(he.RequestURI()))
	if ta == nil {
		sv.refuseEarly(ctx, fasthttp.StatusNotFound, notRun(call.ReasonNoRoute))
		return fasthttp.StatusNotFound, nil
	}
	if int64(he.ContentLength()) > sv.bodyLimit() {
		sv.refuseEarly(ctx, fasthttp.StatusRequestEntityTooLarge, notRun(call.ReasonBodyTooLarge))
		return fasthttp.StatusRequestEntityTooLarge, nil
	}
	return 0, ta
}

// ReasonNoConfiguration refuses calls while this node has no configuration in force.
const ReasonNoConfiguration host.Reason = "no_configuration"

// hostOf is the host name of a Host header, without a port and in lower case.
func hostOf(value []byte) string {
	name := string(value)
	if ho, _, err := net.SplitHostPort(name); err == nil {
		name = ho
	}
	return strings.ToLower(name)
}

// pathOf is the path of a request's target as it was sent.
func pathOf(target []byte) string {
	text := string(target)
	if !strings.HasPrefix(text, "/") {
		if _, rest, ok := strings.Cut(text, "://"); ok {
			at := strings.IndexByte(rest, '/')
			if at < 0 {
				return "/"
			}
			text = rest[at:]
		}
	}
	path, _, _ := strings.Cut(text, "?")
	return path
}
