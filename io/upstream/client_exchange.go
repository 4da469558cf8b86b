package upstream

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"lynxfold/core/host"
	"lynxfold/core/wire"
)

// exchange is one request and its response on a connection.
type exchange struct {
	client           *Client
	ctx              context.Context
	conn             *conn
	stopContextWatch func() bool
	hooks            Hooks
	request          *wire.Request
	// sawStale reports that a response to an earlier request was skipped.
	sawStale bool
	// body is the request body to stream; nil when the body is in request.
	body io.ReadCloser
	// sendDone is closed when sending has finished or failed; sendErr is set before.
	sendDone chan struct{}
	sendErr  error
}

func (ex *exchange) run(to Destination) Reply {
	ex.start(to)
	resp, rc, err := ex.readHeader()
	if err != nil {
		return ex.fail()
	}
	if ex.body != nil {
		ex.hooks.started()
	}
	if rc == ResponseRan || rc == ResponseNotRun {
		ex.hooks.noticed(ex.client.protocol.Notice(&resp.Header))
	}
	switch rc {
	case ResponseNotRun:
		return ex.refuseNotRun(resp, host.ReasonUpstreamRefused)
	case ResponseOtherInstance:
		return ex.refuseNotRun(resp, ReasonUpstreamOtherInstance)
	case ResponseAmbiguous:
		ex.finish(false, Result{Outcome: host.OutcomeUnknown, Reason: ReasonUpstreamSuspect})
		return RefusalReply(ReasonUpstreamSuspect, false)
	case ResponseRan, ResponseStale:
	}
	if string(ex.request.GetMethod()) == fasthttp.MethodHead || neverHasBody(resp.StatusCode()) {
		return ex.complete(resp, nil)
	}
	length := resp.Header.ContentLength()
	switch {
	case length >= 0 && length <= maxInlineBodyBytes:
		data := make([]byte, length)
		if _, err := io.ReadFull(ex.conn.reader, data); err != nil {
			return ex.fail()
		}
		return ex.complete(resp, data)
	case length < -1:
		return ex.readUnframed(resp)
	}
	return ex.streamResponse(resp)
}

// start sends a request. A streamed body is sent concurrently with reading the
// response, which may arrive before the body ends.
func (ex *exchange) start(to Destination) {
	if ex.body == nil {
		ex.sendErr = ex.send(to, nil)
		close(ex.sendDone)
		if ex.sendErr == nil {
			ex.hooks.started()
		}
		return
	}
	go func() {
		defer close(ex.sendDone)
		ex.sendErr = ex.send(to, ex.body)
		_ = ex.body.Close()
		var bodyErr *BodyError
		if errors.As(ex.sendErr, &bodyErr) {
			// Close, so that the upstream neither waits for the rest nor accepts a
			// truncated body as complete.
			_ = ex.conn.Close()
		}
	}()
}

// fail ends an exchange that got no complete response.
func (ex *exchange) fail() Reply {
	ex.stopSending()
	if !ex.conn.wroteBytes.Load() {
		re := notSentReason(ex.ctx, ex.sendErr)
		ex.finish(false, Result{Outcome: host.OutcomeNotRun, Reason: re})
		return RefusalReply(re, true)
	}
	re := incompleteReason(ex.ctx)
	var bodyErr *BodyError
	if errors.As(ex.sendErr, &bodyErr) && ex.ctx.Err() == nil {
		re = host.ReasonBodyAborted
	}
	ex.finish(false, ex.incompleteResult(re))
	return RefusalReply(re, false)
}

// incompleteResult returns the result of a request without a complete response.
func (ex *exchange) incompleteResult(re host.Reason) Result {
	return Result{
		Outcome: host.OutcomeUnknown,
		Reason:  re,
		// An upstream that closed the connection itself no longer processes the request.
		MayStillRun: re != host.ReasonUpstreamBroken,
	}
}

func incompleteReason(ctx context.Context) host.Reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return host.ReasonUpstreamTimeout
	}
	if ctx.Err() != nil {
		return host.ReasonCancelled
	}
	return host.ReasonUpstreamBroken
}

// finish stops sending, releases the connection and calls OnEnd.
func (ex *exchange) finish(reusable bool, rs Result) {
	reusable = ex.stopContextWatch() && reusable && !ex.sawStale
	reusable = ex.stopSending() && reusable
	ex.client.release(ex.conn, reusable)
	ex.hooks.OnEnd(rs)
}

// endedOrderly reports whether an end of file that was read from the connection is the
// upstream's orderly end of its response. A reset is reported once, to the write or to the
// read, so that the end proves nothing while a write may have failed. It stops sending.
func (ex *exchange) endedOrderly() bool {
	select {
	case <-ex.sendDone:
	default:
		_ = ex.conn.SetWriteDeadline(time.Now())
		_ = ex.body.Close()
		<-ex.sendDone
	}
	return !ex.conn.writeFailed.Load()
}

// stopSending waits for sending to finish, and aborts it when the response came
// first. It reports whether the request was sent completely.
func (ex *exchange) stopSending() bool {
	select {
	case <-ex.sendDone:
	default:
		// The response arrived before the request was sent completely.
		_ = ex.conn.Close()
		_ = ex.body.Close()
		<-ex.sendDone
	}
	return ex.sendErr == nil
}
