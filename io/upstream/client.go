package upstream

import (
	"context"
	"io"
	"net"
	"sync"

	"github.com/cockroachdb/errors"

	"lynxfold/core/host"
	"lynxfold/core/wire"
)

const (
	// maxInlineBodyBytes is the size up to which a body is sent inside its message frame.
	maxInlineBodyBytes = 64 << 10
	// HeaderDeadline carries the time remaining until the deadline, in milliseconds.
	HeaderDeadline = "Lynxfold-Deadline-Ms"
)

// ReasonUpstreamUnframed reports a response with neither a Content-Length nor
// chunked encoding that exceeds the buffer limit, its own or that of all calls together.
const ReasonUpstreamUnframed host.Reason = "upstream_unframed"

// Result is how a request to the upstream ended.
type Result struct {
	Outcome host.Outcome
	Reason  host.Reason
	// MayStillRun reports that the connection was closed before the response
	// ended, so the upstream may still be processing the request.
	MayStillRun bool
	// Refused reports that the connection was refused, as no process listens.
	Refused bool
	// Response is the complete response; nil when there is none or its body was streamed.
	Response *wire.Response
}

// Client is an HTTP client for the upstream with a connection pool. It sends
// each request at most once, on one connection.
type Client struct {
	protocol Protocol
	dialer   net.Dialer
	// buffers bounds the responses that are buffered until their connection ends.
	buffers *ByteBudget

	mu    sync.Mutex
	idle  []*conn
	open  int
	limit int
	// draining reports that the upstream is draining.
	draining bool
}

// NewClient returns a client for lynxfold's native protocol.
func NewClient() *Client { return NewClientWithProtocol(NativeProtocol{}) }

// NewClientWithProtocol returns a client for the given protocol.
func NewClientWithProtocol(pr Protocol) *Client {
	return &Client{
		protocol: pr,
		dialer:   net.Dialer{Timeout: connectTimeout},
		buffers:  NewByteBudget(DefaultBufferBytes),
	}
}

// SetBufferBudget sets the bound of the buffered responses; it is called before the first
// request.
func (cl *Client) SetBufferBudget(bb *ByteBudget) { cl.buffers = bb }

// Hooks are callbacks for the progress of a request, each called at most once.
type Hooks struct {
	// OnStart is called when the upstream has received the request: after a
	// request without a streamed body is written, or when the response to one
	// with a streamed body begins. It may be nil.
	OnStart func()
	// OnNotice is called with what the response header states about the upstream. It
	// may be nil.
	OnNotice func(no host.Notice)
	// OnEnd is called when the exchange has ended.
	OnEnd func(rs Result)
}

func (hk Hooks) started() {
	if hk.OnStart != nil {
		hk.OnStart()
	}
}

func (hk Hooks) noticed(no host.Notice) {
	if hk.OnNotice != nil {
		hk.OnNotice(no)
	}
}

// Do sends a request and returns when the response header has arrived. A body
// that was read from is closed before OnEnd is called.
func (cl *Client) Do(ctx context.Context, to Destination, rq *wire.Request, body io.ReadCloser, hooks Hooks) Reply {
	co, err := cl.acquire(ctx, to.Address, rq)
	if err != nil {
		re := notSentReason(ctx, err)
		hooks.OnEnd(Result{Outcome: host.OutcomeNotRun, Reason: re, Refused: isRefused(err)})
		return RefusalReply(re, true)
	}
	if err := ctx.Err(); err != nil {
		cl.release(co, true)
		re := notSentReason(ctx, err)
		hooks.OnEnd(Result{Outcome: host.OutcomeNotRun, Reason: re})
		return RefusalReply(re, true)
	}
	ex := &exchange{
		client:           cl,
		ctx:              ctx,
		conn:             co,
		stopContextWatch: context.AfterFunc(ctx, func() { _ = co.Close() }),
		hooks:            hooks,
		request:          rq,
		body:             body,
		sendDone:         make(chan struct{}),
	}
	return ex.run(to)
}

// Destination is the upstream instance that a request is sent to.
type Destination struct {
	Address string
	// Instance is empty when the upstream does not identify its instances.
	Instance host.InstanceID
}

// notSentReason returns the reason why a request was not sent; err is the failure
// to acquire a connection, or to write to one before any byte was sent.
func notSentReason(ctx context.Context, err error) host.Reason {
	var limit *ConnectionLimitError
	switch {
	case errors.As(err, &limit):
		return ReasonUpstreamConnections
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return host.ReasonDeadline
	case ctx.Err() != nil:
		return host.ReasonCancelled
	}
	return host.ReasonUpstreamConnect
}
