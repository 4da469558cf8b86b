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

// Protocol is how callers state their terms beside method, path and body, and
// how they are told what became of their calls.
type Protocol interface {
	// RequestID is the caller's own name for a request; empty when there is none.
	RequestID(he *fasthttp.RequestHeader) string
	// Timeout is how long the caller waits; ok is false when it doesn't say.
	Timeout(he *fasthttp.RequestHeader) (timeout time.Duration, ok bool)
	// Nested tells whether the call is part of another one that an upstream runs.
	Nested(he *fasthttp.RequestHeader) bool
	// Forwards tells whether a request header travels on to the upstream.
	Forwards(name string) bool
	// Added are the headers that this layer adds to a request.
	Added(ctx *fasthttp.RequestCtx) []*wire.Header
	// Marked is the header that marks one attempt; nil when there is none.
	Marked(value string) *wire.Header
	// Returns tells whether an upstream's header is returned to the caller.
	Returns(name string) bool
	// Answered completes an upstream's answer.
	Answered(ctx *fasthttp.RequestCtx, re call.Result)
	// Refused writes an answer that is not an upstream's.
	Refused(ctx *fasthttp.RequestCtx, status int, re call.Result)
}

// OwnProtocol is lynxfold's own.
type OwnProtocol struct{}

// RequestID implements Protocol.
func (OwnProtocol) RequestID(*fasthttp.RequestHeader) string { return "" }

// Timeout implements Protocol.
func (OwnProtocol) Timeout(he *fasthttp.RequestHeader) (time.Duration, bool) {
	return ParseTimeout(he.Peek(upstream.HeaderDeadline))
}

// ParseTimeout reads a header's whole number of milliseconds.
func ParseTimeout(value []byte) (time.Duration, bool) {
	ms, err := strconv.ParseInt(string(value), 10, 64)
	if err != nil || ms < 0 || ms > math.MaxInt64/int64(time.Millisecond) {
		return 0, false
	}
	return time.Duration(ms) * time.Millisecond, true
}

// Nested implements Protocol; the marker of another layer says so.
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
		return // the status and headers say it all
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}
