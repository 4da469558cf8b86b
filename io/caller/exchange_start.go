package caller

import (
	"io"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"lynxfold/core/call"
	"lynxfold/core/contract"
	"lynxfold/core/host"
	"lynxfold/io/upstream"
)

// startExchange starts to answer a request whose header has been read. It returns
// true once the next request can be read, and false if the connection can't be used
// for another one.
func (sv *Server) startExchange(se *session, pr *pendingRequest, ad admission) bool {
	// The wait for a token counts towards the deadline.
	now := time.Now().Add(-ad.quotaWait)
	ctx := pr.httpCtx
	vi := sv.cfg.View()
	ex := &exchange{
		server:        sv,
		session:       se,
		pending:       pr,
		httpCtx:       ctx,
		conn:          se.conn,
		view:          vi,
		target:        call.ResolveFallback(vi, sv.chooseSplitTarget(ad.target)),
		customer:      ad.customer,
		onBehalf:      ad.onBehalf,
		token:         ad.token,
		number:        sv.lastCallNumber.Add(1),
		startedAt:     now,
		method:        string(ctx.Method()),
		uri:           string(ctx.Request.Header.RequestURI()),
		attemptHeader: string(ctx.Request.Header.Peek(call.HeaderAttempt)),
		headers:       sv.requestHeaders(ctx, ad),
		requestID:     sv.cfg.Protocol.RequestID(&ctx.Request.Header),
		gone:          make(chan struct{}),
	}
	sv.setDeadlines(ex, now)
	ex.callID = sv.formatCallID(ex.number)
	if !ex.readBody() {
		ex.token.giveBack()
		se.finish(pr)
		return false
	}
	if ex.refuseLate() {
		sv.cfg.Buffers.Give(int64(len(ex.bufferedBody)))
		ex.token.giveBack()
		se.finish(pr)
		return false
	}
	ex.fingerprint = upstream.Fingerprint([]byte(ex.method), []byte(ex.uri), ex.headers, ex.bodyPrefix())
	go func() {
		defer se.finish(pr)
		defer sv.cfg.Buffers.Give(int64(len(ex.bufferedBody)))
		if ex.target.Terms.Keyed {
			ex.runKeyed()
			return
		}
		sv.activeCalls.Add(1)
		ex.run()
	}()
	return ex.streamedBody == nil || se.awaitBody(ex, pr)
}

// awaitBody waits until a streamed body has been read or the request is answered.
// It returns false if the connection can't be used for another request.
func (se *session) awaitBody(ex *exchange, pr *pendingRequest) bool {
	return se.awaitUnlessGone(ex.streamedBody.done, pr.answered) && ex.streamedBody.complete()
}

// chooseSplitTarget chooses a service of a split route by weight.
func (sv *Server) chooseSplitTarget(ta *contract.Target) *contract.Target {
	if len(ta.SplitTargets) == 0 {
		return ta
	}
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return sv.splits.Next(ta)
}

// setDeadlines sets the deadline and the objective of the call. The deadline is
// that of the contract, of the caller, or of the drain, whichever is first. The
// objective counts from the caller's first try: a timeout shorter than is typical
// for the route tells how long ago that was. Nested calls are excepted, because
// their timeouts are shorter by the time that their parent calls have used.
func (sv *Server) setDeadlines(ex *exchange, now time.Time) {
	te := ex.target.Terms
	timeout := te.Timeout()
	callerTimeout, hasTimeout := sv.cfg.Protocol.Timeout(&ex.httpCtx.Request.Header)
	if hasTimeout {
		timeout = min(timeout, callerTimeout)
	}
	ex.deadline = now.Add(timeout)
	if by := sv.drainDeadline.Load(); by != nil && by.Before(ex.deadline) {
		ex.deadline = *by
	}
	if te.ObjectiveMS == 0 {
		return
	}
	ex.objective = now.Add(te.Objective())
	ex.nested = sv.cfg.Protocol.IsNested(&ex.httpCtx.Request.Header)
	ex.parentID = sv.cfg.Protocol.ParentID(&ex.httpCtx.Request.Header)
	if hasTimeout && !ex.nested {
		sv.mu.Lock()
		age := sv.typicalTimeouts.Elapsed(ex.target.Route.Name, callerTimeout)
		sv.mu.Unlock()
		ex.objective = ex.objective.Add(-age)
		ex.returning = age > 0
	}
}

// readBody buffers a short body, so that it can be sent again, and leaves a long
// one to the attempt. It returns false if the request has already been answered.
func (ex *exchange) readBody() bool {
	stream := ex.httpCtx.RequestBodyStream()
	length := ex.httpCtx.Request.Header.ContentLength()
	if stream == nil || length == 0 {
		return true
	}
	_ = ex.conn.SetReadDeadline(ex.receiveBy())
	if length < 0 || length > maxBufferedBodyBytes {
		bo := &streamedBody{
			conn:   ex.conn,
			stream: stream,
			length: int64(max(length, -1)),
			limit:  ex.server.bodyLimitBytes(),
			done:   make(chan struct{}),
		}
		if ex.server.draining.Load() && !ex.target.Terms.Keyed {
			return ex.receiveBody(bo)
		}
		ex.streamedBody = bo
		return ex.readBodyPrefix()
	}
	if !ex.server.cfg.Buffers.Take(int64(length)) {
		ex.refuseUnread(fasthttp.StatusServiceUnavailable, ReasonTooManyBodies)
		return false
	}
	ex.bufferedBody = make([]byte, length)
	if _, err := io.ReadFull(stream, ex.bufferedBody); err != nil {
		ex.server.cfg.Buffers.Give(int64(length))
		ex.refuseIncomplete(incompleteBodyReason(err))
		return false
	}
	return true
}

// readBodyPrefix receives the beginning of a long body, which is part of the request's
// fingerprint. It returns false if the request has already been answered.
func (ex *exchange) readBodyPrefix() bool {
	err := ex.streamedBody.readPrefix(host.FingerprintBodyBytes)
	if err == nil {
		return true
	}
	ex.refuseIncomplete(incompleteBodyReason(err))
	return false
}

// incompleteBodyReason returns the reason for which a body can't be received.
func incompleteBodyReason(err error) host.Reason {
	var (
		large     *BodyTooLargeError
		malformed *MalformedBodyError
		timeout   net.Error
	)
	switch {
	case errors.As(err, &large):
		return call.ReasonBodyTooLarge
	case errors.As(err, &malformed):
		return call.ReasonBadRequest
	case errors.As(err, &timeout) && timeout.Timeout():
		return ReasonRequestTimeout
	}
	return call.ReasonCallerGone
}

// bodyPrefix returns the beginning of the body that has been received.
func (ex *exchange) bodyPrefix() []byte {
	if ex.streamedBody != nil {
		return ex.streamedBody.prefix
	}
	return ex.bufferedBody
}

// refuseIncomplete refuses a request whose body can't be received, and closes the
// connection.
func (ex *exchange) refuseIncomplete(re host.Reason) {
	status := fasthttp.StatusBadRequest
	if ex.isLateBody(re) {
		status, re = fasthttp.StatusServiceUnavailable, host.ReasonDraining
	}
	switch re {
	case call.ReasonCallerGone:
		ex.server.cfg.Counters.countCallerGone()
	case call.ReasonBodyTooLarge:
		status = fasthttp.StatusRequestEntityTooLarge
	case ReasonRequestTimeout:
		status = fasthttp.StatusRequestTimeout
	}
	ex.server.refuse(ex.httpCtx, status, notRunResult(re))
	ex.conn.closeAfterAnswer(ex.httpCtx)
}

// refuseUnread refuses a request without reading its body.
func (ex *exchange) refuseUnread(status int, re host.Reason) {
	ex.server.refuse(ex.httpCtx, status, notRunResult(re))
	if ex.httpCtx.RequestBodyStream() != nil {
		ex.conn.closeAfterAnswer(ex.httpCtx)
	}
}
