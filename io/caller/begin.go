package caller

import (
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"lynxfold/core/call"
	"lynxfold/core/contract"
	"lynxfold/core/host"
)

// exchange starts the answer to a request whose header is read. It returns when
// the connection may be read on; it is false when that can't be.
func (sv *Server) exchange(se *session, tu *turn, ta *contract.Target) bool {
	now := time.Now()
	ctx := tu.http
	vi := sv.cfg.View()
	ex := &exchange{
		server:  sv,
		session: se,
		turn:    tu,
		http:    ctx,
		conn:    se.conn,
		view:    vi,
		target:  call.ResolveFallback(vi, sv.part(ta)),
		number:  sv.calls.Add(1),
		begun:   now,
		method:  string(ctx.Method()),
		uri:     string(ctx.Request.Header.RequestURI()),
		mark:    string(ctx.Request.Header.Peek(call.HeaderAttempt)),
		headers: sv.headersOf(ctx),
		request: sv.cfg.Protocol.RequestID(&ctx.Request.Header),
		gone:    make(chan struct{}),
	}
	sv.schedule(ex, now)
	ex.name = ex.id()
	if !ex.readBody() {
		se.finish(tu)
		return false
	}
	go func() {
		defer se.finish(tu)
		defer sv.inline.Add(int64(-len(ex.inline)))
		if ex.target.Terms.Keyed {
			ex.runKeyed()
			return
		}
		sv.active.Add(1)
		ex.run()
	}()
	return ex.body == nil || se.awaitBody(ex, tu)
}

// awaitBody waits until a long body is read; it is false when the connection
// can't be read on behind it.
func (se *session) awaitBody(ex *exchange, tu *turn) bool {
	select {
	case <-ex.body.over:
	case <-tu.answered:
	}
	return ex.body.whole()
}

// part chooses the service of a split route by its weights.
func (sv *Server) part(ta *contract.Target) *contract.Target {
	if len(ta.SplitTargets) == 0 {
		return ta
	}
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return sv.splits.Next(ta)
}

// schedule sets when the answer is due: at the contract's deadline, or the
// caller's own if that is sooner. The objective counts from when the caller
// first asked; a call that is part of another has less time left for another
// reason. A node that drains has no more time than until its end.
func (sv *Server) schedule(ex *exchange, now time.Time) {
	te := ex.target.Terms
	timeout := te.Timeout()
	own, said := sv.cfg.Protocol.Timeout(&ex.http.Request.Header)
	if said {
		timeout = min(timeout, own)
	}
	ex.deadline = now.Add(timeout)
	if by := sv.answerBy.Load(); by != nil && by.Before(ex.deadline) {
		ex.deadline = *by
	}
	if te.ObjectiveMS == 0 {
		return
	}
	ex.objective = now.Add(te.Objective())
	ex.nested = sv.cfg.Protocol.Nested(&ex.http.Request.Header)
	if said && !ex.nested {
		sv.mu.Lock()
		age := sv.patience.Elapsed(ex.target.Route.Name, own)
		sv.mu.Unlock()
		ex.objective = ex.objective.Add(-age)
		ex.returning = age > 0
	}
}

// readBody keeps a short body whole, so that it can be sent again, and leaves a
// long one to the attempt. It is false when the request is answered already.
func (ex *exchange) readBody() bool {
	stream := ex.http.RequestBodyStream()
	length := ex.http.Request.Header.ContentLength()
	if stream == nil || length == 0 {
		return true
	}
	if length < 0 || length > inlineBytes {
		ex.body = &body{
			conn:   ex.conn,
			stream: stream,
			length: int64(max(length, -1)),
			limit:  ex.server.bodyLimit(),
			over:   make(chan struct{}),
		}
		_ = ex.conn.SetReadDeadline(ex.deadline)
		return true
	}
	if ex.server.inline.Add(int64(length)) > maxInlineTotal {
		ex.server.inline.Add(int64(-length))
		ex.refuseUnread(fasthttp.StatusServiceUnavailable, ReasonBodies)
		return false
	}
	_ = ex.conn.SetReadDeadline(ex.deadline)
	ex.inline = make([]byte, length)
	if _, err := io.ReadFull(stream, ex.inline); err != nil {
		ex.server.inline.Add(int64(-length))
		ex.server.cfg.Counters.callerGone()
		ex.http.SetConnectionClose()
		ex.server.refuse(ex.http, fasthttp.StatusBadRequest, notRun(call.ReasonCallerGone))
		return false
	}
	return true
}

// refuseUnread refuses a request whose body, if any, is not read.
func (ex *exchange) refuseUnread(status int, re host.Reason) {
	ex.server.refuse(ex.http, status, notRun(re))
	if ex.http.RequestBodyStream() != nil {
		ex.conn.leaveUnread(ex.http)
	}
}
