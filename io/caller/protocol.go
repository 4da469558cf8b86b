package caller

import (
	"bytes"
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

// Protocol defines the headers by which callers specify their requests and are
// informed of the results.
type Protocol interface {
	// RequestID returns the ID that the caller gave to the request; empty if
	// there is none.
	RequestID(he *fasthttp.RequestHeader) string
	// Timeout returns the caller's timeout; ok is false if there is none.
	Timeout(he *fasthttp.RequestHeader) (timeout time.Duration, ok bool)
	// Nested reports whether an upstream makes the call as part of another call.
	Nested(he *fasthttp.RequestHeader) bool
	// Forwards reports whether a request header is forwarded to the upstream.
	Forwards(name string) bool
	// Added returns the headers to add to a request.
	Added(ctx *fasthttp.RequestCtx) []*wire.Header
	// Marked returns the header that identifies an attempt; nil if there is none.
	Marked(value string) *wire.Header
	// Returns reports whether a response header is forwarded to the caller.
	Returns(name string) bool
	// Answered completes the answer when it is an upstream's response.
	Answered(ctx *fasthttp.RequestCtx, re call.Result)
	// Refused writes an answer that is not an upstream's response.
	Refused(ctx *fasthttp.RequestCtx, status int, re call.Result)
}

// OwnProtocol is lynxfold's own protocol. It is the default.
type OwnProtocol struct{}

// RequestID implements Protocol.
func (OwnProtocol) RequestID(*fasthttp.RequestHeader) string { return "" }

// Timeout implements Protocol.
func (OwnProtocol) Timeout(he *fasthttp.RequestHeader) (time.Duration, bool) {
	return ParseTimeout(he.Peek(upstream.HeaderDeadline))
}

// ParseTimeout parses a header value as a whole number of milliseconds.
func ParseTimeout(value []byte) (time.Duration, bool) {
	ms, err := strconv.ParseInt(string(value), 10, 64)
	if err != nil || ms < 0 || ms > math.MaxInt64/int64(time.Millisecond) {
		return 0, false
	}
	return time.Duration(ms) * time.Millisecond, true
}

// Nested implements Protocol. Upstreams copy the attempt header to the calls that
// they make themselves.
func (OwnProtocol) Nested(he *fasthttp.RequestHeader) bool {
	return len(he.Peek(call.HeaderAttempt)) > 0
}

// Forwards implements Protocol.
func (OwnProtocol) Forwards(name string) bool { return !ownRequestHeaders[name] }

// Added implements Protocol.
func (OwnProtocol) Added(ctx *fasthttp.RequestCtx) []*wire.Header {
	return []*wire.Header{
		{
			Name:  []byte(headerForwardedFor),
			Value: []byte(forwardedFor(ctx)),
		},
		{
			Name:  []byte(headerForwardedHost),
			Value: bytes.Clone(ctx.Host()),
		},
	}
}

// Marked implements Protocol.
func (OwnProtocol) Marked(value string) *wire.Header {
	return &wire.Header{
		Name:  []byte(call.HeaderAttempt),
		Value: []byte(value),
	}
}

// Returns implements Protocol.
func (OwnProtocol) Returns(name string) bool { return !ownResponseHeaders[name] }

// Answered implements Protocol.
func (OwnProtocol) Answered(ctx *fasthttp.RequestCtx, re call.Result) {
	ctx.Response.Header.Set(HeaderOutcome, string(call.OutcomeRan))
	setGaveUpHeader(ctx, re)
}

// Refused implements Protocol.
func (OwnProtocol) Refused(ctx *fasthttp.RequestCtx, status int, re call.Result) {
	ctx.SetStatusCode(status)
	ctx.Response.Header.Set(HeaderOutcome, string(re.Outcome))
	ctx.Response.Header.Set(HeaderReason, string(re.Reason))
	setGaveUpHeader(ctx, re)
	if !re.RetryAfter.IsZero() {
		seconds := max(1, int(math.Ceil(time.Until(re.RetryAfter).Seconds())))
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(seconds))
	}
	body, err := json.Marshal(struct {
		Outcome call.Outcome `json:"outcome"`
		Reason  host.Reason  `json:"reason"`
	}{
		Outcome: re.Outcome,
		Reason:  re.Reason,
	})
	if err != nil {
		return // the status and headers carry the result
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}
