package caller

import (
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"lynxfold/core/call"
	"lynxfold/core/host"
	"lynxfold/io/upstream"
)

// checkHeader refuses requests that can be refused by their header, and returns the
// status of the refusal. It returns status 0 and the admission for all others.
func (sv *Server) checkHeader(ctx *fasthttp.RequestCtx) (int, admission) {
	vi := sv.cfg.View()
	if vi.Config.Version == 0 {
		re := notRunResult(ReasonNoConfiguration)
		now := time.Now()
		re.RetryAfter = call.JitterRetryAfter(now, now, minRetryAfter, sv.jitter())
		sv.refuseEarly(ctx, fasthttp.StatusServiceUnavailable, re)
		return fasthttp.StatusServiceUnavailable, admission{}
	}
	he := &ctx.Request.Header
	if sv.nestedOnly.Load() && !sv.cfg.Protocol.IsNested(he) {
		sv.refuseDraining(ctx)
		return fasthttp.StatusServiceUnavailable, admission{}
	}
	if int64(len(he.RawHeaders())+len(he.RequestURI())) > sv.headerLimitBytes() {
		sv.refuseEarly(ctx, fasthttp.StatusRequestHeaderFieldsTooLarge, notRunResult(call.ReasonBadRequest))
		return fasthttp.StatusRequestHeaderFieldsTooLarge, admission{}
	}
	ta := vi.Config.Match(upstream.HostName(he.Host()), string(he.Method()), requestPath(he.RequestURI()))
	if ta == nil {
		sv.refuseEarly(ctx, fasthttp.StatusNotFound, notRunResult(call.ReasonNoRoute))
		return fasthttp.StatusNotFound, admission{}
	}
	ad, re := sv.admitCustomer(he, vi, ta)
	if re != host.ReasonNone {
		sv.refuseKey(ctx, vi, ta, re)
		return fasthttp.StatusUnauthorized, admission{}
	}
	if int64(he.ContentLength()) > sv.bodyLimitBytes() {
		sv.refuseEarly(ctx, fasthttp.StatusRequestEntityTooLarge, notRunResult(call.ReasonBodyTooLarge))
		return fasthttp.StatusRequestEntityTooLarge, admission{}
	}
	sv.cfg.Counters.countCustomer(ad.customer.Name)
	return 0, ad
}

// ReasonNoConfiguration is the reason for refusing calls while the node has no
// configuration.
const ReasonNoConfiguration host.Reason = "no_configuration"

// requestPath returns the path of a request target without decoding it.
func requestPath(target []byte) string {
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
