package operator

import (
	"fmt"
	"math"
	"net/netip"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"lynxfold/io/operator/access"
)

// apiHandler answers a request of an operator.
type apiHandler func(ctx *fasthttp.RequestCtx, op access.Operator)

// api lets a request through when its bearer token has the role.
func (sv *Server) api(ro access.Role, next apiHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		op, err := sv.identify(ctx, bearer(ctx))
		if err == nil {
			err = op.Require(ro)
		}
		if err != nil {
			sv.deny(ctx, err)
			return
		}
		next(ctx, op)
	}
}

func bearer(ctx *fasthttp.RequestCtx) string {
	scheme, secret, _ := strings.Cut(string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization)), " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(secret)
}

// identify finds who makes a request. It fails with an access.DeniedError.
func (sv *Server) identify(ctx *fasthttp.RequestCtx, secret string) (access.Operator, error) {
	hostHeader := string(ctx.Host())
	if err := access.CheckOrigin(string(ctx.Request.Header.Peek(fasthttp.HeaderOrigin)), hostHeader); err != nil {
		return access.Operator{}, err
	}
	if sv.guard.Open() {
		if err := access.CheckHost(hostHeader); err != nil {
			return access.Operator{}, err
		}
	}
	from, _ := netip.AddrFromSlice(ctx.RemoteIP())
	return sv.guard.Identify(secret, from.Unmap(), sv.cfg.Now())
}

// denied counts and describes a denied request.
func (sv *Server) denied(ctx *fasthttp.RequestCtx, err error) *access.DeniedError {
	var de *access.DeniedError
	if !errors.As(err, &de) {
		de = &access.DeniedError{Reason: access.ReasonNoToken}
	}
	sv.count(fmt.Sprintf(`lynxfold_operator_denied_total{reason=%q}`, de.Reason))
	sv.cfg.Log.Warn().
		Str("reason", string(de.Reason)).
		Str("peer", ctx.RemoteIP().String()).
		Str("path", string(ctx.Path())).
		Msg("operator denied")
	if !de.RetryAt.IsZero() {
		wait := math.Ceil(de.RetryAt.Sub(sv.cfg.Now()).Seconds())
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(max(1, int(wait))))
	}
	return de
}

func statusOfDenied(de *access.DeniedError) int {
	switch de.Reason {
	case access.ReasonNoToken, access.ReasonWrongToken:
		return fasthttp.StatusUnauthorized
	case access.ReasonTooMany:
		return fasthttp.StatusTooManyRequests
	}
	return fasthttp.StatusForbidden
}

func (sv *Server) deny(ctx *fasthttp.RequestCtx, err error) {
	de := sv.denied(ctx, err)
	if statusOfDenied(de) == fasthttp.StatusUnauthorized {
		ctx.Response.Header.Set(fasthttp.HeaderWWWAuthenticate, `Bearer realm="lynxfold"`)
	}
	writeJSON(ctx, statusOfDenied(de), Problem{
		Reason: ReasonDenied,
		Detail: deniedText[de.Reason],
	})
}

// deniedText says in plain words why access was denied.
var deniedText = map[access.Reason]string{
	access.ReasonNoToken:    "an operator's token is needed",
	access.ReasonWrongToken: "the token is not one of this mesh",
	access.ReasonTooMany:    "too many wrong tokens came from this address; try again later",
	access.ReasonRole:       "this token may read, not change",
	access.ReasonForm:       "the form did not come from this console; open the page again",
	access.ReasonOrigin:     "another site's page made this request",
}
