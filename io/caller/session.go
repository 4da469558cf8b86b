package caller

import (
	"bufio"
	"io"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"lynxfold/core/call"
	"lynxfold/core/host"
)

const (
	// maxPipelined bounds the requests of one connection that wait for their answers.
	maxPipelined = 32
	// writeBufferBytes is the size of a connection's write buffer, in bytes.
	writeBufferBytes = 4 << 10
)

// session serves one connection of a caller. One goroutine reads requests; each
// request is answered by one of its own, and the answers are written in the
// order of the requests.
type session struct {
	server  *Server
	conn    *conn
	reader  *bufio.Reader
	writer  *bufio.Writer
	pending sync.WaitGroup

	mu    sync.Mutex
	queue []*pendingRequest
	// writing says that a goroutine writes the answers that are ready.
	writing bool
	// receiving says that a request has begun to arrive.
	receiving bool
	// closing says that the connection ends with the answers in the queue.
	closing bool
	// broken says that nothing more can be written.
	broken bool
	// aborted says that this node has ended the connection before its answers.
	aborted bool
}

// pendingRequest is one request and its answer.
type pendingRequest struct {
	httpCtx *fasthttp.RequestCtx
	// concurrent says that the request may run beside others of its connection.
	concurrent bool
	ready      bool
	exchange   *exchange
	// answered is closed when the answer is written or can't be.
	answered chan struct{}
}

func newSession(sv *Server, co *conn) *session {
	return &session{
		server: sv,
		conn:   co,
		reader: bufio.NewReaderSize(co, sv.cfg.MaxHeaderBytes),
		writer: bufio.NewWriterSize(co, writeBufferBytes),
	}
}

// serve answers requests until either end closes the connection.
func (se *session) serve() {
	defer se.close()
	for first := true; se.awaitRequest(first); first = false {
		if !se.serveRequest() {
			return
		}
	}
}

// close waits for the answers under way and closes the connection.
func (se *session) close() {
	se.mu.Lock()
	se.closing = true
	se.mu.Unlock()
	se.pending.Wait()
	_ = se.conn.Close()
}

// awaitRequest waits for the first byte of the next request. Callers whose
// connections end meanwhile are gone.
func (se *session) awaitRequest(first bool) bool {
	se.mu.Lock()
	se.receiving = false
	if se.closing || se.broken {
		se.mu.Unlock()
		return false
	}
	var until time.Time
	switch {
	case first:
		until = time.Now().Add(se.server.headerTimeout())
	case len(se.queue) == 0:
		until = time.Now().Add(se.server.idleTimeout())
	}
	_ = se.conn.SetReadDeadline(until)
	se.mu.Unlock()
	_, err := se.reader.Peek(1)
	se.mu.Lock()
	defer se.mu.Unlock()
	if err != nil {
		se.markBroken()
		return false
	}
	se.receiving = true
	return !se.closing && !se.broken
}

// markBroken tells the requests under way that their caller is gone; se.mu is held.
func (se *session) markBroken() {
	if se.broken {
		return
	}
	se.broken = true
	for _, pr := range se.queue {
		if pr.exchange != nil {
			pr.exchange.callerGone()
		}
	}
}

// serveRequest reads one request and starts its answer; it is false when the
// connection can't carry another one.
func (se *session) serveRequest() bool {
	ctx := se.server.acquireContext(se.conn)
	_ = se.conn.SetReadDeadline(time.Now().Add(se.server.headerTimeout()))
	if err := awaitHeader(se.reader); err != nil {
		return se.refuseUnreadable(ctx, err)
	}
	if err := ctx.Request.Header.Read(se.reader); err != nil {
		return se.refuseUnreadable(ctx, err)
	}
	pr := &pendingRequest{
		httpCtx:  ctx,
		answered: make(chan struct{}),
	}
	status, ta := se.server.checkHeader(ctx)
	pr.concurrent = ta != nil && ta.Terms.Idempotent && ctx.Request.Header.ContentLength() <= 0 &&
		!ctx.Request.Header.ConnectionClose()
	if !se.enqueue(pr) {
		return false
	}
	if status != 0 {
		return se.refuseUnread(pr)
	}
	if err := se.readBody(ctx); err != nil {
		se.server.refuseMalformed(ctx, err)
		ctx.SetConnectionClose()
		se.finish(pr)
		return false
	}
	return se.server.startExchange(se, pr, ta)
}

// refuseUnread answers a request that is refused already; one with a body ends the connection.
func (se *session) refuseUnread(pr *pendingRequest) bool {
	unread := pr.httpCtx.Request.Header.ContentLength() > 0 || pr.httpCtx.Request.Header.ContentLength() == -1
	if unread {
		se.conn.leaveUnread(pr.httpCtx)
	}
	se.finish(pr)
	return !unread
}

// refuseUnreadable answers bytes that are no request.
func (se *session) refuseUnreadable(ctx *fasthttp.RequestCtx, err error) bool {
	pr := &pendingRequest{
		httpCtx:  ctx,
		answered: make(chan struct{}),
	}
	if errors.Is(err, io.EOF) || !se.enqueue(pr) {
		se.mu.Lock()
		se.markBroken()
		se.mu.Unlock()
		return false
	}
	se.server.refuseMalformed(ctx, err)
	ctx.SetConnectionClose()
	se.finish(pr)
	return false
}

// enqueue gives a request its place in the order of answers. A request that may
// not run beside others waits until those before it are answered.
func (se *session) enqueue(pr *pendingRequest) bool {
	for {
		se.mu.Lock()
		if se.closing || se.broken {
			se.mu.Unlock()
			return false
		}
		before := se.predecessor(pr)
		if before == nil {
			se.queue = append(se.queue, pr)
			se.pending.Add(1)
			se.mu.Unlock()
			return true
		}
		se.mu.Unlock()
		<-before
	}
}

// predecessor is what a request must wait for, or nil; se.mu is held.
func (se *session) predecessor(pr *pendingRequest) chan struct{} {
	if len(se.queue) == 0 {
		return nil
	}
	newest := se.queue[len(se.queue)-1]
	if pr.concurrent && newest.concurrent && len(se.queue) < maxPipelined {
		return nil
	}
	return newest.answered
}

// readBody makes the body of a request ready to be read.
func (se *session) readBody(ctx *fasthttp.RequestCtx) error {
	if ctx.Request.MayContinue() {
		_ = se.conn.SetWriteDeadline(time.Now().Add(answerWriteTimeout))
		if _, err := io.WriteString(se.conn, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return err
		}
	}
	return ctx.Request.ContinueReadBodyStream(se.reader, bodyPrefetchBytes, false)
}

// attach tells a request's exchange when the caller leaves.
func (se *session) attach(pr *pendingRequest, ex *exchange) {
	se.mu.Lock()
	defer se.mu.Unlock()
	pr.exchange = ex
	if se.broken {
		ex.callerGone()
	}
}

// finish takes a request's answer and writes all answers whose turn it is.
func (se *session) finish(pr *pendingRequest) {
	se.mu.Lock()
	defer se.mu.Unlock()
	pr.ready = true
	if se.writing {
		return
	}
	se.writing = true
	for len(se.queue) > 0 && se.queue[0].ready {
		head := se.queue[0]
		skip := se.broken
		se.mu.Unlock()
		ok := !skip && se.write(head)
		se.server.releaseContext(head)
		se.mu.Lock()
		se.queue = se.queue[1:]
		if !ok {
			se.disconnect()
		}
		close(head.answered)
		se.pending.Done()
	}
	se.writing = false
	if len(se.queue) == 0 && !se.receiving && !se.broken {
		_ = se.conn.SetReadDeadline(time.Now().Add(se.server.idleTimeout()))
	}
}

// disconnect ends the connection: what is left in the queue was not read as far as
// its caller can tell. se.mu is held.
func (se *session) disconnect() {
	se.markBroken()
	_ = se.conn.Close()
}

// write sends one answer; it is false when the connection ends with it.
func (se *session) write(pr *pendingRequest) bool {
	ctx := pr.httpCtx
	rs := &ctx.Response
	final := ctx.Request.Header.ConnectionClose() || rs.ConnectionClose() || se.server.draining.Load()
	switch {
	case final:
		rs.SetConnectionClose()
	case !ctx.Request.Header.IsHTTP11():
		rs.Header.Set(fasthttp.HeaderConnection, "keep-alive")
	}
	if ctx.IsHead() {
		rs.SkipBody = true
	}
	by := time.Now()
	if pr.exchange != nil && pr.exchange.deadline.After(by) {
		by = pr.exchange.deadline
	}
	_ = se.conn.SetWriteDeadline(by.Add(answerWriteTimeout))
	err := rs.Write(se.writer)
	if err == nil {
		err = se.writer.Flush()
	}
	if err != nil && pr.exchange != nil {
		pr.exchange.logTruncatedAnswer(err)
	}
	return err == nil && !final
}

// shutdown ends the connection once the answers under way are written; an idle one
// ends at once.
func (se *session) shutdown() {
	se.mu.Lock()
	defer se.mu.Unlock()
	se.closing = true
	if len(se.queue) == 0 && !se.receiving {
		se.broken = true
		_ = se.conn.Close()
	}
}

// abort ends the connection at once.
func (se *session) abort() {
	se.mu.Lock()
	defer se.mu.Unlock()
	se.aborted = true
	se.disconnect()
}

// cancelCalls cancels the calls under way, whose callers are told what is known of them.
func (se *session) cancelCalls() {
	se.mu.Lock()
	defer se.mu.Unlock()
	for _, pr := range se.queue {
		if pr.exchange != nil && !pr.exchange.target.Terms.Keyed {
			pr.exchange.cancel()
		}
	}
}

// goneReason says why nobody gets the answer to a request of the connection.
func (se *session) goneReason() host.Reason {
	se.mu.Lock()
	defer se.mu.Unlock()
	if se.aborted {
		return ReasonShutdown
	}
	return call.ReasonCallerGone
}

// ReasonShutdown ends calls that are under way when a node that drains must end.
const ReasonShutdown host.Reason = "shutdown"

// contextPool are used again once their answers are written.
var contextPool = sync.Pool{New: func() any { return &fasthttp.RequestCtx{} }}

// acquireContext returns the context of a new request.
func (sv *Server) acquireContext(nc net.Conn) *fasthttp.RequestCtx {
	ctx, _ := contextPool.Get().(*fasthttp.RequestCtx)
	ctx.Init2(nc, sv.log, false)
	ctx.Response.Header.SetNoDefaultContentType(true)
	return ctx
}

// releaseContext gives a context back. One whose request had a body that was streamed
// is left to the garbage collector, since the stream reads from the connection.
func (sv *Server) releaseContext(pr *pendingRequest) {
	_ = pr.httpCtx.Response.CloseBodyStream()
	if pr.httpCtx.RequestBodyStream() != nil {
		return
	}
	pr.httpCtx.Request.Reset()
	pr.httpCtx.Response.Reset()
	contextPool.Put(pr.httpCtx)
	pr.httpCtx = nil
}

// refuseMalformed answers what can't be read as a request.
func (sv *Server) refuseMalformed(ctx *fasthttp.RequestCtx, err error) {
	var (
		small   *fasthttp.ErrSmallBuffer
		timeout net.Error
	)
	status, re := fasthttp.StatusBadRequest, call.ReasonBadRequest
	switch {
	case errors.As(err, &small):
		status = fasthttp.StatusRequestHeaderFieldsTooLarge
	case errors.As(err, &timeout) && timeout.Timeout():
		status, re = fasthttp.StatusRequestTimeout, ReasonRequestTimeout
	}
	sv.refuseEarly(ctx, status, notRunResult(re))
}

// ReasonRequestTimeout refuses requests whose header takes too long to arrive.
const ReasonRequestTimeout host.Reason = "request_timeout"
