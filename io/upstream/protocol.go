package upstream

import (
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"lynxfold/core/host"
	"lynxfold/core/wire"
)

// Protocol adds protocol headers to requests and classifies responses.
type Protocol interface {
	// Prepare adds the protocol's headers to a request for an upstream instance;
	// left is the time remaining until the deadline.
	Prepare(he *fasthttp.RequestHeader, instance host.InstanceID, left time.Duration)
	// Judge classifies a response by its status and header.
	Judge(rq *wire.Request, status int, he *fasthttp.ResponseHeader) Judgement
}

// Judgement is the classification of a response by its header.
type Judgement int

// Classifications of a response.
const (
	// JudgedRan means that the response belongs to the request, which has run.
	JudgedRan Judgement = iota
	// JudgedNotRun means that the upstream has not run the request and will not run it.
	JudgedNotRun
	// JudgedOtherInstance means that the request was not run because another
	// instance now has the address.
	JudgedOtherInstance
	// JudgedForeign means that the response belongs to an earlier request.
	JudgedForeign
	// JudgedSuspect means that the response can't be matched to a request.
	JudgedSuspect
)

// Reasons derived from the classification of a response.
const (
	ReasonUpstreamRefused       host.Reason = "upstream_refused"
	ReasonUpstreamOtherInstance host.Reason = "upstream_other_instance"
	// ReasonUpstreamSuspect reports a response that could belong to another
	// request.
	ReasonUpstreamSuspect host.Reason = "upstream_suspect"
)

// OwnProtocol is lynxfold's native protocol.
type OwnProtocol struct{}

// Prepare implements Protocol.
func (OwnProtocol) Prepare(he *fasthttp.RequestHeader, _ host.InstanceID, left time.Duration) {
	he.Set(HeaderDeadline, strconv.FormatInt(left.Milliseconds(), 10))
}

// Judge implements Protocol.
func (OwnProtocol) Judge(*wire.Request, int, *fasthttp.ResponseHeader) Judgement { return JudgedRan }
