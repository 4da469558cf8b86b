package upstream

import (
	"bytes"
	"math"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"lynxfold/core/host"
	"lynxfold/core/wire"
)

// Response headers of lynxfold's native protocol in which an upstream states something
// about itself.
const (
	// HeaderRateLimit is the number of requests per second that the upstream accepts from
	// all hosts together; a decimal number.
	HeaderRateLimit = "Lynxfold-Rate-Limit"
	// HeaderLeaving is 1 if the upstream is leaving.
	HeaderLeaving = "Lynxfold-Leaving"
	// HeaderLoad is the upstream's load as four numbers, separated by commas: running,
	// waiting, slots, and how long work takes now in hundredths of the usual time.
	HeaderLoad = "Lynxfold-Load"
)

// Protocol adds protocol headers to requests and classifies responses.
type Protocol interface {
	// SetHeaders adds the protocol's headers to a request for an upstream instance;
	// left is the time remaining until the deadline.
	SetHeaders(he *fasthttp.RequestHeader, rq *wire.Request, instance host.InstanceID, left time.Duration)
	// Classify classifies a response by its status and header.
	Classify(rq *wire.Request, status int, he *fasthttp.ResponseHeader) ResponseClass
	// Identifies reports whether a response repeats the ID of a request.
	Identifies(he *fasthttp.ResponseHeader) bool
	// Notice returns what the header of a response states about the upstream itself.
	Notice(he *fasthttp.ResponseHeader) host.Notice
}

// ResponseClass is the classification of a response by its header.
type ResponseClass int

// Classifications of a response.
const (
	// ResponseRan means that the response belongs to the request, which has run.
	ResponseRan ResponseClass = iota
	// ResponseNotRun means that the upstream has not run the request and will not run it.
	ResponseNotRun
	// ResponseOtherInstance means that the request was not run because another
	// instance now has the address.
	ResponseOtherInstance
	// ResponseStale means that the response belongs to an earlier request.
	ResponseStale
	// ResponseAmbiguous means that the response can't be matched to a request.
	ResponseAmbiguous
)

// Reasons derived from the classification of a response.
const (
	ReasonUpstreamOtherInstance host.Reason = "upstream_other_instance"
	// ReasonUpstreamSuspect reports a response that could belong to another
	// request.
	ReasonUpstreamSuspect host.Reason = "upstream_suspect"
)

// NativeProtocol is lynxfold's native protocol.
type NativeProtocol struct{}

// HeaderAttemptID identifies an attempt. An upstream that repeats it in its response is
// protected from late responses to earlier requests on the same connection.
const HeaderAttemptID = "Lynxfold-Attempt-Id"

// SetHeaders implements Protocol.
func (NativeProtocol) SetHeaders(he *fasthttp.RequestHeader, rq *wire.Request, _ host.InstanceID, left time.Duration) {
	he.Set(HeaderDeadline, strconv.FormatInt(left.Milliseconds(), 10))
	he.Set(HeaderAttemptID, rq.GetAttempt())
}

// Classify implements Protocol. A response that repeats the ID of another attempt is
// ResponseStale.
func (NativeProtocol) Classify(rq *wire.Request, _ int, he *fasthttp.ResponseHeader) ResponseClass {
	echo := he.Peek(HeaderAttemptID)
	if len(echo) > 0 && string(echo) != rq.GetAttempt() {
		return ResponseStale
	}
	return ResponseRan
}

// Identifies implements Protocol.
func (NativeProtocol) Identifies(he *fasthttp.ResponseHeader) bool {
	return len(he.Peek(HeaderAttemptID)) > 0
}

// Notice implements Protocol.
func (NativeProtocol) Notice(he *fasthttp.ResponseHeader) host.Notice {
	no := ParseNotice(he.PeekAll(HeaderRateLimit), he.Peek(HeaderLeaving))
	no.Slowdown = ParseSlowdown(he.Peek(HeaderLoad))
	return no
}

// leavingValue is the value of the header by which an upstream states that it is leaving.
const leavingValue = "1"

// emptyLimit stands for a rate limit without text.
const emptyLimit = "(empty)"

// ParseNotice parses the values of the headers in which an upstream states something
// about itself. rateLimits holds each occurrence of the header.
func ParseNotice(rateLimits [][]byte, leaving []byte) host.Notice {
	no := host.Notice{Leaving: string(bytes.TrimSpace(leaving)) == leavingValue}
	if len(rateLimits) == 0 {
		return no
	}
	text := string(bytes.TrimSpace(bytes.Join(rateLimits, []byte(", "))))
	rate, err := strconv.ParseFloat(text, 64)
	if text == "" {
		text = emptyLimit
	}
	if err != nil || !(rate >= 0) || math.IsInf(rate, 0) {
		no.UnreadableLimit = text
		return no
	}
	no.RateLimit = host.RateLimit{
		Limited:   true,
		PerSecond: host.RequestRate(rate),
	}
	return no
}
