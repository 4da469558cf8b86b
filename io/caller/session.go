package caller

import (
	"bufio"
	"io"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"lynxfold/core/call"
	"lynxfold/core/host"
	"lynxfold/io/tcp"
)

const (
	// maxPipelined limits the unanswered requests of a connection.
	maxPipelined = 32
	// goneCheckInterval is how often a connection that nothing reads is checked for
	// the caller's disconnection.
	goneCheckInterval = 100 * time.Millisecond
	// writeBufferBytes is the size of a connection's write buffer.
	writeBufferBytes = 4 << 10
)

// session serves one connection. One goroutine reads the requests and starts
// another for each of them. The answers are written in the order of the requests.
type session struct {
	server  *Server
	conn    *conn
	reader  *bufio.Reader
	writer  *bufio.Writer
	pending sync.WaitGroup

	mu    sync.Mutex
	queue []*pendingRequest
	// writing reports that a goroutine is writing the answers that are ready.
	writing bool
	// streaming reports that the answer being written may still break off, with the
	// connection.
	streaming bool
	// receiving reports that a request has begun to arrive.
	receiving bool
	// closing reports that the connection will be closed after the answers in the
	// queue.
	closing bool
	// broken reports that nothing more can be written.
	broken bool
	// aborted reports that this node closed the connection before its calls were
	// answered.
	aborted bool
}

// pendingRequest is a request and its answer.
type pendingRequest struct {
	httpCtx *fasthttp.RequestCtx
	// concurrent reports that the request may run at the same time as others of
	// its connection.
	concurrent bool
	ready      bool
	exchange   *exchange
	// answered is closed when the answer has been written or can't be written.
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

// serve answers requests until either side closes the connection.
func (se *session) serve() {
	defer se.close()
	for first := true; se.awaitRequest(first); first = false {
		if !se.serveRequest() {
			return
		}
	}
}

// close waits for the pending answers and closes the connection.
func (se *session) close() {
	se.mu.Lock()
	se.closing = true
	se.mu.Unlock()
	se.pending.Wait()
	close(se.conn.readEnded)
	_ = se.conn.Close()
}

// awaitRequest waits for the first byte of the next request. It returns false if
// the connection is closing or ends first. If it ends, the pending calls are
// cancelled, except keyed ones.
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

// markBroken informs the pending requests that the caller has disconnected. se.mu
// must be held.
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

// serveRequest reads a request and starts to answer it. It returns false if the
// connection can't be used for another request.
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
	status, ad := se.server.checkHeader(ctx)
	pr.concurrent = ad.target != nil && ad.target.Terms.Idempotent && ctx.Request.Header.ContentLength() <= 0 &&
		!ctx.Request.Header.ConnectionClose()
	if !se.enqueue(pr) {
		return false
	}
	if status == fasthttp.StatusUnauthorized {
		return se.finishUnauthorized(pr)
	}
	if status == 0 && !se.server.admitQuota(ctx, &ad) {
		status = fasthttp.StatusTooManyRequests
	}
	if status != 0 {
		return se.finishUnread(pr)
	}
	if err := se.prepareBody(ctx); err != nil {
		ad.token.giveBack()
		se.server.refuseMalformed(ctx, err)
		ctx.SetConnectionClose()
		se.finish(pr)
		return false
	}
	return se.server.startExchange(se, pr, ad)
}

// finishUnread finishes a request that was refused by its header. If it has a body,
// the connection is closed after the answer, and finishUnread returns false.
func (se *session) finishUnread(pr *pendingRequest) bool {
	unread := pr.httpCtx.Request.Header.ContentLength() > 0 || pr.httpCtx.Request.Header.ContentLength() == -1
	if unread {
		se.conn.closeAfterAnswer(pr.httpCtx)
	}
	se.finish(pr)
	return !unread
}

// refuseUnreadable enqueues and refuses a request whose header can't be read. If the
// connection has ended, it only cancels the pending calls, except keyed ones. It
// returns false, because the connection can't be used for another request.
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

// enqueue appends a request to the queue of answers. A request that can't run
// concurrently waits until those before it are answered.
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
		if !se.awaitUnlessGone(before, nil) {
			return false
		}
	}
}

// awaitUnlessGone waits until one of two channels is closed; either may be nil. Nothing
// reads the connection meanwhile, so it checks whether the caller has disconnected: it
// then cancels the pending calls, except keyed ones, and returns false.
func (se *session) awaitUnlessGone(first, second <-chan struct{}) bool {
	ti := time.NewTicker(goneCheckInterval)
	defer ti.Stop()
	for {
		select {
		case <-first:
			return true
		case <-second:
			return true
		case <-ti.C:
		}
		if tcp.PeerClosed(se.conn.Conn) {
			se.mu.Lock()
			se.markBroken()
			se.mu.Unlock()
			return false
		}
	}
}

// predecessor returns a channel that is closed when the request may start, or nil
// if it may start at once. se.mu must be held.
func (se *session) predecessor(pr *pendingRequest) chan struct{} {
	if len(se.queue) == 0 {
		return nil
	}
	newest := se.queue[len(se.queue)-1]
	if pr.concurrent && newest.concurrent && !se.streaming && len(se.queue) < maxPipelined {
		return nil
	}
	return newest.answered
}

// prepareBody makes the request's body available as a stream. It sends 100 Continue
// first if the caller expects it.
func (se *session) prepareBody(ctx *fasthttp.RequestCtx) error {
	if ctx.Request.MayContinue() {
		_ = se.conn.SetWriteDeadline(time.Now().Add(answerWriteTimeout))
		if _, err := io.WriteString(se.conn, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return err
		}
	}
	return ctx.Request.ContinueReadBodyStream(se.reader, bodyPrefetchBytes, false)
}

// attach connects a pending request to its exchange, which is informed when the
// caller disconnects.
func (se *session) attach(pr *pendingRequest, ex *exchange) {
	se.mu.Lock()
	defer se.mu.Unlock()
	pr.exchange = ex
	if se.broken {
		ex.callerGone()
	}
}

// finish marks a request as answered and writes the answers at the head of the
// queue that are ready.
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
		final := se.closesAfter(head)
		streamed := !skip && head.httpCtx.Response.IsBodyStream()
		hold := streamed && len(se.queue) > 1
		se.streaming = streamed && !hold
		se.mu.Unlock()
		taken := int64(0)
		if hold {
			taken = se.receiveAnswer(head)
		}
		ok := !skip && se.write(head, final)
		se.server.releaseContext(head)
		se.server.cfg.Buffers.Give(taken)
		se.mu.Lock()
		se.streaming = false
		se.queue = se.queue[1:]
		if !ok {
			se.reportDropped()
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

// receiveAnswer receives a long answer whole before it is written, and returns how much room it
// has taken. Requests wait behind it: if it broke off while it is written, their answers would
// be lost with the connection. One that breaks off is replaced by a failure. Without room for
// all of it, it is written as it arrives.
func (se *session) receiveAnswer(pr *pendingRequest) int64 {
	rs := &pr.httpCtx.Response
	body, ok := rs.BodyStream().(*heldBody)
	if !ok {
		se.startStreaming()
		return 0
	}
	taken, err := body.receive(rs.Header.ContentLength(), se.server.cfg.Buffers)
	switch {
	case errors.Is(err, errNoRoom):
		se.startStreaming()
		return taken
	case err != nil:
		pr.exchange.logTruncatedAnswer(err)
		re := call.Result{
			Outcome: call.OutcomeUnknown,
			Reason:  host.ReasonUpstreamTruncated,
		}
		if !time.Now().Before(pr.exchange.deadline) {
			re.Reason = host.ReasonDeadline
		}
		se.server.refuse(pr.httpCtx, httpStatus(re), re)
		return taken
	}
	data := body.received
	_ = rs.CloseBodyStream()
	rs.ImmediateHeaderFlush = false
	rs.SetBodyRaw(data)
	return taken
}

// startStreaming records that the answer being written may still break off.
func (se *session) startStreaming() {
	se.mu.Lock()
	defer se.mu.Unlock()
	se.streaming = true
}

// reportDropped reports the requests whose answers are dropped when the connection is closed.
// se.mu must be held.
func (se *session) reportDropped() {
	if se.broken || len(se.queue) == 0 {
		return
	}
	requests := zerolog.Arr()
	for _, pr := range se.queue {
		requests.Str(se.server.cfg.Protocol.RequestID(&pr.httpCtx.Request.Header))
	}
	se.server.cfg.Counters.countDropped(len(se.queue))
	se.server.cfg.Log.Warn().
		Str("event", "answers_dropped").
		Array("requests", requests).
		Msg("connection is closed before requests behind the last one are answered")
}

// disconnect closes the connection. The requests that are still in the queue get no
// answer, as if they had not been read. se.mu must be held.
func (se *session) disconnect() {
	se.markBroken()
	_ = se.conn.Close()
}

// closesAfter reports whether the connection closes after an answer. While the node drains,
// no further requests are read, and it is closed after the answers to those in the queue,
// which may have been passed on. se.mu must be held.
func (se *session) closesAfter(pr *pendingRequest) bool {
	if se.server.draining.Load() {
		se.closing = true
	}
	if pr.httpCtx.Request.Header.ConnectionClose() || pr.httpCtx.Response.ConnectionClose() {
		return true
	}
	if !se.closing || len(se.queue) > 1 {
		return false
	}
	// Requests behind it may have arrived.
	se.conn.unread.Store(true)
	return true
}

// write writes an answer, which is final if the connection is closed after it. It returns
// false if the connection must be closed.
func (se *session) write(pr *pendingRequest, final bool) bool {
	ctx := pr.httpCtx
	rs := &ctx.Response
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

// shutdown closes an idle connection at once, and any other after its pending
// answers.
func (se *session) shutdown() {
	se.mu.Lock()
	defer se.mu.Unlock()
	se.closing = true
	if len(se.queue) == 0 && !se.receiving {
		se.broken = true
		_ = se.conn.Close()
	}
}

// abort closes the connection at once.
func (se *session) abort() {
	se.mu.Lock()
	defer se.mu.Unlock()
	se.aborted = true
	se.server.cutCalls.Add(int64(len(se.cancellableCalls())))
	se.disconnect()
}

// cancelCalls cancels the pending calls, except keyed ones. Their callers are
// answered with what is known of the attempts.
func (se *session) cancelCalls() {
	se.mu.Lock()
	defer se.mu.Unlock()
	calls := se.cancellableCalls()
	se.server.cutCalls.Add(int64(len(calls)))
	for _, ex := range calls {
		ex.cancel()
	}
}

// cancellableCalls returns the pending calls that have not been cancelled, except keyed
// ones. se.mu must be held.
func (se *session) cancellableCalls() []*exchange {
	var calls []*exchange
	for _, pr := range se.queue {
		if ex := pr.exchange; ex != nil && !ex.target.Terms.Keyed && ex.context.Err() == nil {
			calls = append(calls, ex)
		}
	}
	return calls
}

// goneReason returns why the answers of this connection can't be delivered.
func (se *session) goneReason() host.Reason {
	se.mu.Lock()
	defer se.mu.Unlock()
	if se.aborted {
		return ReasonShutdown
	}
	return call.ReasonCallerGone
}

// ReasonShutdown is the reason for ending calls that are in flight when a
// draining node must stop.
const ReasonShutdown host.Reason = "shutdown"

// contextPool reuses the HTTP library's request contexts after their answers have
// been written.
var contextPool = sync.Pool{New: func() any { return &fasthttp.RequestCtx{} }}

// acquireContext returns a request context for a new request.
func (sv *Server) acquireContext(nc net.Conn) *fasthttp.RequestCtx {
	ctx, _ := contextPool.Get().(*fasthttp.RequestCtx)
	ctx.Init2(nc, sv.log, false)
	ctx.Response.Header.SetNoDefaultContentType(true)
	return ctx
}

// releaseContext returns a request context to the pool. It leaves contexts with a
// streamed request body to the garbage collector, because the stream reads from
// the connection.
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

// refuseMalformed writes the refusal of a request that is malformed, whose header is
// too large, or that arrives too slowly.
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

// ReasonRequestTimeout is the reason for refusing requests whose header takes too
// long to arrive.
const ReasonRequestTimeout host.Reason = "request_timeout"
