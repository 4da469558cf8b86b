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

// apiHandler handles a request of an authenticated operator.
type apiHandler func(ctx *fasthttp.RequestCtx, op access.Operator)

// authorizeAPI calls next if the bearer token of the request has the role.
func (sv *Server) authorizeAPI(ro access.Role, next apiHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		op, err := sv.authenticate(ctx, bearerToken(ctx))
		if err == nil {
			err = op.Require(ro)
		}
		if err != nil {
			sv.writeDenied(ctx, err)
			return
		}
		next(ctx, op)
	}
}

func bearerToken(ctx *fasthttp.RequestCtx) string {
	scheme, secret, _ := strings.Cut(string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization)), " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(secret)
}

// authenticate returns the operator that sent a request. It fails with an
// access.DeniedError.
func (sv *Server) authenticate(ctx *fasthttp.RequestCtx, secret string) (access.Operator, error) {
	hostHeader := string(ctx.Host())
	if err := access.CheckOrigin(string(ctx.Request.Header.Peek(fasthttp.HeaderOrigin)), hostHeader); err != nil {
		return access.Operator{}, err
	}
	if sv.authenticator.Disabled() {
		if err := access.CheckHost(hostHeader); err != nil {
			return access.Operator{}, err
		}
	}
	from, _ := netip.AddrFromSlice(ctx.RemoteIP())
	return sv.authenticator.Authenticate(secret, from.Unmap(), sv.cfg.Now())
}

// recordDenial counts and logs a denied request, sets its Retry-After header and
// returns the reason as a DeniedError.
func (sv *Server) recordDenial(ctx *fasthttp.RequestCtx, err error) *access.DeniedError {
	var de *access.DeniedError
	if !errors.As(err, &de) {
		de = &access.DeniedError{Reason: access.ReasonNoToken}
	}
	sv.incCounter(fmt.Sprintf(`lynxfold_operator_denied_total{reason=%q}`, de.Reason))
	sv.cfg.Log.Warn().
		Str("reason", string(de.Reason)).
		Str("peer", ctx.RemoteIP().String()).
		Str("path", string(ctx.Path())).
		Msg("operator request denied")
	if !de.RetryAt.IsZero() {
		wait := math.Ceil(de.RetryAt.Sub(sv.cfg.Now()).Seconds())
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(max(1, int(wait))))
	}
	return de
}

func denialStatus(de *access.DeniedError) int {
	switch de.Reason {
	case access.ReasonNoToken, access.ReasonWrongToken:
		return fasthttp.StatusUnauthorized
	case access.ReasonTooManyWrongTokens:
		return fasthttp.StatusTooManyRequests
	}
	return fasthttp.StatusForbidden
}

func (sv *Server) writeDenied(ctx *fasthttp.RequestCtx, err error) {
	de := sv.recordDenial(ctx, err)
	if denialStatus(de) == fasthttp.StatusUnauthorized {
		ctx.Response.Header.Set(fasthttp.HeaderWWWAuthenticate, `Bearer realm="lynxfold"`)
	}
	writeJSON(ctx, denialStatus(de), Problem{
		Reason: ReasonDenied,
		Detail: denialText[de.Reason],
	})
}

// denialText holds the message for operators for each reason of denied access.
var denialText = map[access.Reason]string{
	access.ReasonNoToken:            "an operator's token is needed",
	access.ReasonWrongToken:         "the token is not one of this mesh",
	access.ReasonTooManyWrongTokens: "too many wrong tokens came from this address; try again later",
	access.ReasonInsufficientRole:   "this token may read, not change",
	access.ReasonCSRFToken:          "the form did not come from this console; open the page again",
	access.ReasonOrigin:             "another site's page made this request",
}
