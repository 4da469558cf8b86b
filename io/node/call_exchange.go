package node

import (
	"context"
	"io"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"lynxfold/core/call"
	"lynxfold/core/host"
	"lynxfold/core/wire"
	"lynxfold/io/upstream"
)

// ReasonConnLimit is the reason for refusing a call to a node to which maxConnsPerNode
// connections are in use.
const ReasonConnLimit host.Reason = "lane_limit"

// exchange is one attempt or query on a call connection.
type exchange struct {
	pool       *CallPool
	ctx        context.Context
	address    string
	request    *wire.Request
	conn       *callConn
	stopCancel func() bool
	// body is nil when the request frame contains the body, and for queries.
	body *grantedBody
	// requestSent is set when the request has been written, in whole or in part; the
	// connection's mutex guards it.
	requestSent bool
	// bodySent is closed when the body has been sent or sending it has failed; it is nil
	// until the gate asks for the body. bodyErr is set before bodySent is closed.
	bodySent chan struct{}
	bodyErr  error
	// sendingBody is set while the body is being sent.
	sendingBody atomic.Bool
}

// Send sends one attempt to the gate at an address and returns when a refusal or the
// head of the response has arrived, or the connection is lost or has been silent for
// heartbeatTimeout. The body is nil when the request contains it; otherwise it is read only
// when the gate asks for it, and then closed before the attempt ends.
func (cp *CallPool) Send(ctx context.Context, address string, rq *wire.Request, body io.ReadCloser) upstream.Reply {
	begun := time.Now()
	cc, err := cp.acquire(ctx, address)
	if err != nil {
		return refuseDial(err)
	}
	if err := ctx.Err(); err != nil {
		cp.release(address, cc, true)
		return refuseContext(err, true)
	}
	subtractTime(rq, time.Since(begun))
	rq.SentUs = sinceBoot().Microseconds()
	ex := &exchange{
		pool:    cp,
		ctx:     ctx,
		address: address,
		request: rq,
		conn:    cc,
	}
	if body != nil {
		rq.AcceptsGrants = true
		ex.body = newGrantedBody(body)
	}
	return ex.roundTrip()
}

func refuseDial(err error) upstream.Reply {
	var limit *ConnLimitError
	if errors.As(err, &limit) {
		return upstream.RefusalReply(ReasonConnLimit, true)
	}
	re := upstream.RefusalReply(call.ReasonLinkDial, true)
	re.Detail = err.Error()
	return re
}

func (ex *exchange) roundTrip() upstream.Reply {
	ex.cancelOnDone()
	if err := ex.sendRequest(); err != nil {
		return ex.connLost(err)
	}
	fr, err := ex.nextFrame()
	if isTimeout(err) && ex.ctx.Err() == nil && ex.mayWait() {
		// The idle connections may have failed along with this one.
		ex.pool.closeIdle(ex.address)
		return upstream.Reply{
			Pending: &pendingReply{exchange: ex},
			Detail:  err.Error(),
		}
	}
	return ex.reply(fr, err)
}

// reply returns the reply that the first frame of the answer is.
func (ex *exchange) reply(fr *wire.Frame, err error) upstream.Reply {
	if err != nil {
		return ex.connLost(err)
	}
	switch ki := fr.GetKind().(type) {
	case *wire.Frame_Refusal:
		// The connection of a host that leaves ends after the refusal.
		ex.finish(ki.Refusal.GetReason() != string(host.ReasonDraining))
		return upstream.Reply{Refusal: ki.Refusal}
	case *wire.Frame_Response:
		return ex.startResponse(ki.Response)
	}
	return ex.connLost(&UnexpectedFrameError{})
}

// UnexpectedFrameError reports a frame that is no answer to a request.
type UnexpectedFrameError struct{}

func (er *UnexpectedFrameError) Error() string { return "unexpected frame in answer to a request" }

// sendRequest writes the request frame. It fails when the exchange was cancelled first.
func (ex *exchange) sendRequest() error {
	ex.conn.mu.Lock()
	defer ex.conn.mu.Unlock()
	if err := ex.ctx.Err(); err != nil {
		return err
	}
	ex.requestSent = true
	return ex.conn.writeFrameLocked(&wire.Frame{
		Kind: &wire.Frame_Request{
			Request: ex.request,
		},
	})
}

func (ex *exchange) startResponse(rs *wire.Response) upstream.Reply {
	if rs.GetComplete() {
		ex.finish(true)
		return upstream.Reply{Response: rs}
	}
	ex.conn.borrowsBodies = true
	return upstream.Reply{
		Response: rs,
		Body:     &responseBody{exchange: ex},
	}
}

// cancelOnDone cancels the exchange when its context ends.
func (ex *exchange) cancelOnDone() { ex.stopCancel = context.AfterFunc(ex.ctx, ex.cancel) }

// nextFrame returns the next frame of the answer; on a Continue frame, it starts to
// send the body or what was asked for of it.
func (ex *exchange) nextFrame() (*wire.Frame, error) {
	for {
		fr, err := ex.conn.readNonHeartbeat()
		if err != nil || fr.GetContinue() == nil {
			return fr, err
		}
		ex.continueBody(fr.GetContinue())
	}
}

// continueBody sends the bytes of the body that the gate asks for.
func (ex *exchange) continueBody(co *wire.Continue) {
	if ex.body == nil {
		return
	}
	bytes := int64(co.GetBytes())
	if bytes == 0 {
		bytes = math.MaxInt64 // a gate that asks for the whole body does so once
	}
	ex.body.grant(bytes)
	ex.startBody()
}

// startBody sends the body in the background, since the answer may arrive before its end.
func (ex *exchange) startBody() {
	if ex.bodySent != nil {
		return
	}
	ex.bodySent = make(chan struct{})
	ex.sendingBody.Store(true)
	go func() {
		defer close(ex.bodySent)
		ex.bodyErr = ex.conn.sendBody(ex.body)
		ex.sendingBody.Store(false)
	}()
}

// cancel sends a Cancel frame if the request was sent, and closes the connection. While
// the body is being sent, it resets the connection instead: the rest of the body would
// delay the frame, and without it the call can't run.
func (ex *exchange) cancel() {
	if ex.sendingBody.Load() {
		ex.conn.reset()
		return
	}
	_ = ex.conn.co.SetWriteDeadline(time.Now().Add(heartbeatInterval))
	ex.conn.mu.Lock()
	if ex.requestSent {
		// Without the frame, the gate takes the closed connection for a network failure.
		_ = ex.conn.writeFrameLocked(&wire.Frame{
			Kind: &wire.Frame_Cancel{
				Cancel: &wire.Cancel{},
			},
		})
	}
	ex.conn.mu.Unlock()
	ex.conn.close()
}

// finish releases the connection, which is reusable only after a complete exchange.
func (ex *exchange) finish(reusable bool) {
	reusable = ex.stopCancel() && reusable
	if !reusable {
		ex.conn.close()
	}
	if ex.bodySent != nil {
		// The answer has arrived: the rest of the body is not needed.
		_ = ex.body.Close()
		<-ex.bodySent
		reusable = reusable && ex.bodyErr == nil
	}
	ex.pool.release(ex.address, ex.conn, reusable)
}

// connLost ends an exchange whose connection failed or carried an unexpected frame. Unless
// the context has ended, the outcome of the attempt is unknown, and the ingress may query it.
func (ex *exchange) connLost(cause error) upstream.Reply {
	ex.finish(false)
	if err := ex.ctx.Err(); err != nil {
		return refuseContext(err, !ex.requestSent)
	}
	ex.pool.closeIdle(ex.address)
	return upstream.Reply{
		LinkLost: true,
		Detail:   cause.Error(),
	}
}

// refuseContext refuses a call whose context has ended. notRun is set when its request
// was not sent.
func refuseContext(err error, notRun bool) upstream.Reply {
	if errors.Is(err, context.DeadlineExceeded) {
		return upstream.RefusalReply(host.ReasonDeadline, notRun)
	}
	return upstream.RefusalReply(host.ReasonCancelled, notRun)
}

// responseBody reads the body of a response from its connection.
type responseBody struct {
	exchange  *exchange
	chunk     []byte
	complete  bool
	closeOnce sync.Once
}

// Read reads the body; it returns io.EOF only at the end of a complete body, and a
// TruncatedError otherwise.
func (rb *responseBody) Read(buf []byte) (int, error) {
	for len(rb.chunk) == 0 {
		if rb.complete {
			return 0, io.EOF
		}
		fr, err := rb.exchange.nextFrame()
		if isTimeout(err) && rb.exchange.ctx.Err() == nil {
			// The rest of an answer can come from nowhere else, however long it takes.
			fr, err = rb.exchange.nextFrameAfterSilence(rb.exchange.awaitData)
		}
		if err != nil || fr.GetBody() == nil || fr.GetBody().GetAborted() {
			return 0, &TruncatedError{}
		}
		rb.chunk = fr.GetBody().GetData()
		rb.complete = fr.GetBody().GetLast()
	}
	n := copy(buf, rb.chunk)
	rb.chunk = rb.chunk[n:]
	return n, nil
}

// Close releases the connection. When the body was not read to its end, the attempt is
// cancelled and the connection closed.
func (rb *responseBody) Close() error {
	rb.closeOnce.Do(func() {
		if !rb.complete && rb.exchange.stopCancel() {
			rb.exchange.cancel()
		}
		rb.exchange.conn.borrowsBodies = false
		rb.exchange.finish(rb.complete)
	})
	return nil
}
