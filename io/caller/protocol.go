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
	// IsNested reports whether an upstream makes the call as part of another call.
	IsNested(he *fasthttp.RequestHeader) bool
	// ParentID returns the ID of the request that the upstream of this host runs while
	// it makes this one; empty if it is unknown.
	ParentID(he *fasthttp.RequestHeader) host.RequestID
	// ParentIDs returns the IDs that the request which makes this one may have.
	ParentIDs(he *fasthttp.RequestHeader) []host.RequestID
	// CustomerHeader returns the name of the header that tells upstreams the customer.
	CustomerHeader() string
	// ForwardsHeader reports whether a request header is forwarded to the upstream.
	ForwardsHeader(name string) bool
	// AddedHeaders returns the headers to add to a request.
	AddedHeaders(ctx *fasthttp.RequestCtx) []*wire.Header
	// AttemptHeader returns the header that identifies an attempt; nil if there is none.
	AttemptHeader(value string) *wire.Header
	// ReturnsHeader reports whether a response header is forwarded to the caller.
	ReturnsHeader(name string) bool
	// CompleteResponse adapts an answer that is an upstream's response to the
	// protocol.
	CompleteResponse(ctx *fasthttp.RequestCtx, re call.Result)
	// WriteRefusal writes an answer that is not an upstream's response.
	WriteRefusal(ctx *fasthttp.RequestCtx, status int, re call.Result)
}

// NativeProtocol is lynxfold's own protocol. It is the default.
type NativeProtocol struct{}

// RequestID implements Protocol.
func (NativeProtocol) RequestID(*fasthttp.RequestHeader) string { return "" }

// Timeout implements Protocol.
func (NativeProtocol) Timeout(he *fasthttp.RequestHeader) (time.Duration, bool) {
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

// IsNested implements Protocol. Upstreams copy the attempt header to the calls that
// they make themselves.
func (NativeProtocol) IsNested(he *fasthttp.RequestHeader) bool {
	return len(he.Peek(call.HeaderAttempt)) > 0
}

// ParentID implements Protocol. Nested calls don't name the request that they belong to.
func (NativeProtocol) ParentID(*fasthttp.RequestHeader) host.RequestID { return "" }

// ParentIDs implements Protocol.
func (NativeProtocol) ParentIDs(*fasthttp.RequestHeader) []host.RequestID { return nil }

// CustomerHeader implements Protocol.
func (NativeProtocol) CustomerHeader() string { return HeaderCustomer }

// ForwardsHeader implements Protocol.
func (NativeProtocol) ForwardsHeader(name string) bool { return !ownRequestHeaders[name] }

// AddedHeaders implements Protocol.
func (NativeProtocol) AddedHeaders(ctx *fasthttp.RequestCtx) []*wire.Header {
	return []*wire.Header{
		{
			Name:  []byte(headerForwardedFor),
			Value: []byte(forwardedFor(ctx)),
		},
		{
			Name:  []byte(upstream.HeaderForwardedHost),
			Value: bytes.Clone(ctx.Host()),
		},
	}
}

// AttemptHeader implements Protocol.
func (NativeProtocol) AttemptHeader(value string) *wire.Header {
	return &wire.Header{
		Name:  []byte(call.HeaderAttempt),
		Value: []byte(value),
	}
}

// ReturnsHeader implements Protocol.
func (NativeProtocol) ReturnsHeader(name string) bool { return !ownResponseHeaders[name] }

// CompleteResponse implements Protocol.
func (NativeProtocol) CompleteResponse(ctx *fasthttp.RequestCtx, re call.Result) {
	ctx.Response.Header.Set(HeaderOutcome, string(call.OutcomeRan))
	setGaveUpHeader(ctx, re)
}

// WriteRefusal implements Protocol.
func (NativeProtocol) WriteRefusal(ctx *fasthttp.RequestCtx, status int, re call.Result) {
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
