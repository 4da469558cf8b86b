package upstream

import (
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"lynxfold/core/host"
	"lynxfold/core/wire"
)

// Protocol is what an upstream is told beside a request, and how its answers
// are understood.
type Protocol interface {
	// Prepare completes the head of a request to one instance of an upstream.
	Prepare(he *fasthttp.RequestHeader, instance host.InstanceID, left time.Duration)
	// Judge tells what the head of an answer says about a request.
	Judge(rq *wire.Request, status int, he *fasthttp.ResponseHeader) Judgement
}

// Judgement is what the head of an answer says about a request.
type Judgement int

// Judgements.
const (
	// JudgedRan means that the answer is the request's and that it has run.
	JudgedRan Judgement = iota
	// JudgedNotRun means that the upstream has not run the request and never will.
	JudgedNotRun
	// JudgedOtherInstance is the same, since another instance has the address.
	JudgedOtherInstance
	// JudgedForeign means that the answer belongs to an earlier request.
	JudgedForeign
	// JudgedSuspect means that it can't be told whose answer it is.
	JudgedSuspect
)

// Reasons for attempts that the upstream itself did not run.
const (
	ReasonUpstreamRefused       host.Reason = "upstream_refused"
	ReasonUpstreamOtherInstance host.Reason = "upstream_other_instance"
	// ReasonUpstreamSuspect says that an answer could not be told from that to
	// another request.
	ReasonUpstreamSuspect host.Reason = "upstream_suspect"
)

// OwnProtocol is lynxfold's own.
type OwnProtocol struct{}

// Prepare implements Protocol.
func (OwnProtocol) Prepare(he *fasthttp.RequestHeader, _ host.InstanceID, left time.Duration) {
	he.Set(HeaderDeadline, strconv.FormatInt(left.Milliseconds(), 10))
}

// Judge implements Protocol.
func (OwnProtocol) Judge(*wire.Request, int, *fasthttp.ResponseHeader) Judgement { return JudgedRan }
