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
	server *Server
	conn   *conn
	reader *bufio.Reader
	writer *bufio.Writer
	turns  sync.WaitGroup

	mu    sync.Mutex
	queue []*turn
	// writing says that a goroutine writes the answers that are ready.
	writing bool
	// receiving says that a request has begun to arrive.
	receiving bool
	// last says that the connection ends with the answers in the queue.
	last bool
	// broken says that nothing more can be written.
	broken bool
	// aborted says that this node has ended the connection before its answers.
	aborted bool
}

// turn is one request and its answer.
type turn struct {
	http *fasthttp.RequestCtx
	// side says that the request may run beside others of its connection.
	side     bool
	ready    bool
	exchange *exchange
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
	defer se.end()
	for first := true; se.awaitRequest(first); first = false {
		if !se.serveRequest() {
			return
		}
	}
}

// end waits for the answers under way and closes the connection.
func (se *session) end() {
	se.mu.Lock()
	se.last = true
	se.mu.Unlock()
	se.turns.Wait()
	_ = se.conn.Close()
}

// awaitRequest waits for the first byte of the next request. Callers whose
// connections end meanwhile are gone.
func (se *session) awaitRequest(first bool) bool {
	se.mu.Lock()
	se.receiving = false
	if se.last || se.broken {
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
		se.lost()
		return false
	}
	se.receiving = true
	return !se.last && !se.broken
}

// lost tells the requests under way that their caller is gone; se.mu is held.
func (se *session) lost() {
	if se.broken {
		return
	}
	se.broken = true
	for _, tu := range se.queue {
		if tu.exchange != nil {
			tu.exchange.callerGone()
		}
	}
}

// serveRequest reads one request and starts its answer; it is false when the
// connection can't carry another one.
func (se *session) serveRequest() bool {
	ctx := se.server.acquire(se.conn)
	_ = se.conn.SetReadDeadline(time.Now().Add(se.server.headerTimeout()))
	if err := awaitHeader(se.reader); err != nil {
		return se.unreadable(ctx, err)
	}
	if err := ctx.Request.Header.Read(se.reader); err != nil {
		return se.unreadable(ctx, err)
	}
	tu := &turn{
		http:     ctx,
		answered: make(chan struct{}),
	}
	status, ta := se.server.check(ctx)
	tu.side = ta != nil && ta.Terms.Idempotent && ctx.Request.Header.ContentLength() <= 0 &&
		!ctx.Request.Header.ConnectionClose()
	if !se.enter(tu) {
		return false
	}
	if status != 0 {
		return se.refuseUnread(tu)
	}
	if err := se.readBody(ctx); err != nil {
		se.server.malformed(ctx, err)
		ctx.SetConnectionClose()
		se.finish(tu)
		return false
	}
	return se.server.exchange(se, tu, ta)
}

// refuseUnread answers a request that is refused already; one with a body ends the connection.
func (se *session) refuseUnread(tu *turn) bool {
	unread := tu.http.Request.Header.ContentLength() > 0 || tu.http.Request.Header.ContentLength() == -1
	if unread {
		se.conn.leaveUnread(tu.http)
	}
	se.finish(tu)
	return !unread
}

// unreadable answers bytes that are no request.
func (se *session) unreadable(ctx *fasthttp.RequestCtx, err error) bool {
	tu := &turn{
		http:     ctx,
		answered: make(chan struct{}),
	}
	if errors.Is(err, io.EOF) || !se.enter(tu) {
		se.mu.Lock()
		se.lost()
		se.mu.Unlock()
		return false
	}
	se.server.malformed(ctx, err)
	ctx.SetConnectionClose()
	se.finish(tu)
	return false
}

// enter gives a request its place in the order of answers. A request that may
// not run beside others waits until those before it are answered.
func (se *session) enter(tu *turn) bool {
	for {
		se.mu.Lock()
		if se.last || se.broken {
			se.mu.Unlock()
			return false
		}
		before := se.before(tu)
		if before == nil {
			se.queue = append(se.queue, tu)
			se.turns.Add(1)
			se.mu.Unlock()
			return true
		}
		se.mu.Unlock()
		<-before
	}
}

// before is what a request must wait for, or nil; se.mu is held.
func (se *session) before(tu *turn) chan struct{} {
	if len(se.queue) == 0 {
		return nil
	}
	newest := se.queue[len(se.queue)-1]
	if tu.side && newest.side && len(se.queue) < maxPipelined {
		return nil
	}
	return newest.answered
}

// readBody makes the body of a request ready to be read.
func (se *session) readBody(ctx *fasthttp.RequestCtx) error {
	if ctx.Request.MayContinue() {
		_ = se.conn.SetWriteDeadline(time.Now().Add(answerWithin))
		if _, err := io.WriteString(se.conn, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return err
		}
	}
	return ctx.Request.ContinueReadBodyStream(se.reader, prefetchBytes, false)
}

// attach tells a request's exchange when the caller leaves.
func (se *session) attach(tu *turn, ex *exchange) {
	se.mu.Lock()
	defer se.mu.Unlock()
	tu.exchange = ex
	if se.broken {
		ex.callerGone()
	}
}

// finish takes a request's answer and writes all answers whose turn it is.
func (se *session) finish(tu *turn) {
	se.mu.Lock()
	defer se.mu.Unlock()
	tu.ready = true
	if se.writing {
		return
	}
	se.writing = true
	for len(se.queue) > 0 && se.queue[0].ready {
		head := se.queue[0]
		skip := se.broken
		se.mu.Unlock()
		ok := !skip && se.write(head)
		se.server.release(head)
		se.mu.Lock()
		se.queue = se.queue[1:]
		if !ok {
			se.abandon()
		}
		close(head.answered)
		se.turns.Done()
	}
	se.writing = false
	if len(se.queue) == 0 && !se.receiving && !se.broken {
		_ = se.conn.SetReadDeadline(time.Now().Add(se.server.idleTimeout()))
	}
}

// abandon ends the connection: what is left in the queue was not read as far as
// its caller can tell. se.mu is held.
func (se *session) abandon() {
	se.lost()
	_ = se.conn.Close()
}

// write sends one answer; it is false when the connection ends with it.
func (se *session) write(tu *turn) bool {
	ctx := tu.http
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
	if tu.exchange != nil && tu.exchange.deadline.After(by) {
		by = tu.exchange.deadline
	}
	_ = se.conn.SetWriteDeadline(by.Add(answerWithin))
	err := rs.Write(se.writer)
	if err == nil {
		err = se.writer.Flush()
	}
	if err != nil && tu.exchange != nil {
		tu.exchange.logCut(err)
	}
	return err == nil && !final
}

// shut ends the connection once the answers under way are written; an idle one
// ends at once.
func (se *session) shut() {
	se.mu.Lock()
	defer se.mu.Unlock()
	se.last = true
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
	se.abandon()
}

// giveUp cancels the calls under way, whose callers are told what is known of them.
func (se *session) giveUp() {
	se.mu.Lock()
	defer se.mu.Unlock()
	for _, tu := range se.queue {
		if tu.exchange != nil && !tu.exchange.target.Terms.Keyed {
			tu.exchange.cancel()
		}
	}
}

// whyGone says why nobody gets the answer to a request of the connection.
func (se *session) whyGone() host.Reason {
	se.mu.Lock()
	defer se.mu.Unlock()
	if se.aborted {
		return ReasonShutdown
	}
	return call.ReasonCallerGone
}

// ReasonShutdown ends calls that are under way when a node that drains must end.
const ReasonShutdown host.Reason = "shutdown"

// contexts are used again once their answers are written.
var contexts = sync.Pool{New: func() any { return &fasthttp.RequestCtx{} }}

// acquire returns the context of a new request.
func (sv *Server) acquire(nc net.Conn) *fasthttp.RequestCtx {
	ctx, _ := contexts.Get().(*fasthttp.RequestCtx)
	ctx.Init2(nc, sv.log, false)
	ctx.Response.Header.SetNoDefaultContentType(true)
	return ctx
}

// release gives a context back. One whose request had a body that was streamed
// is left to the garbage collector, since the stream reads from the connection.
func (sv *Server) release(tu *turn) {
	_ = tu.http.Response.CloseBodyStream()
	if tu.http.RequestBodyStream() != nil {
		return
	}
	tu.http.Request.Reset()
	tu.http.Response.Reset()
	contexts.Put(tu.http)
	tu.http = nil
}

// malformed answers what can't be read as a request.
func (sv *Server) malformed(ctx *fasthttp.RequestCtx, err error) {
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
	sv.refuseEarly(ctx, status, notRun(re))
}

// ReasonRequestTimeout refuses requests whose header takes too long to arrive.
const ReasonRequestTimeout host.Reason = "request_timeout"
