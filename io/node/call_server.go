package node

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"lynxfold/core/wire"
	"lynxfold/io/upstream"
)

// Gate runs the calls that arrive from other nodes.
type Gate interface {
	// Serve runs an attempt; the end of ctx cancels it.
	Serve(ctx context.Context, rq *wire.Request, body io.ReadCloser) upstream.Reply
	// Query returns the outcome of an attempt; if the query's wait field is set, it waits
	// until a running attempt ends.
	Query(ctx context.Context, qu *wire.Query) *wire.Verdict
}

// chunkQueueLength limits the chunks of a body that are received but not yet read.
const chunkQueueLength = 2

// CallServer is the server side of calls from other nodes: it passes them to a gate.
type CallServer struct {
	// ObserveDelay is called with the delay of each request on the way here. It may be
	// nil, and is set before Serve is called.
	ObserveDelay func(delay time.Duration)
	// Quotas answers quota requests. It may be nil, and is set before Serve is called.
	Quotas QuotaKeeper

	// OnRolloutReport answers reports about roll-outs. It may be nil, and is set before
	// Serve is called.
	OnRolloutReport func(rr *wire.RolloutReport) *wire.RolloutReply

	// OnCancelled is called when a call that was cancelled has ended. It may be nil, and is
	// set before Serve is called.
	OnCancelled func(ca CancelledCall)

	gate        Gate
	activeCalls atomic.Int64
	cutCalls    atomic.Int64
	transits    transits
	receiver    receiver
	// baseCtx is the parent of the context of each call.
	baseCtx context.Context
	cancel  context.CancelCauseFunc

	// mu guards the fields below.
	mu    sync.Mutex
	conns map[*serverConn]struct{}
	// leaving is set when no further calls are served.
	leaving bool
	// emptied is closed when leaving is set and conns is empty.
	emptied chan struct{}
}

// NewCallServer builds the server side of calls to a gate.
func NewCallServer(ga Gate) *CallServer {
	baseCtx, cancel := context.WithCancelCause(context.Background())
	return &CallServer{
		gate:    ga,
		baseCtx: baseCtx,
		cancel:  cancel,
		conns:   map[*serverConn]struct{}{},
		emptied: make(chan struct{}),
	}
}

// Close cancels all calls.
func (cs *CallServer) Close() { cs.cancel(&CancelError{Cause: CancelledByShutdown}) }

// CutCalls returns the number of calls that Close has cancelled and that have ended.
func (cs *CallServer) CutCalls() int { return int(cs.cutCalls.Load()) }

// Serve serves the calls on one connection until it is closed.
func (cs *CallServer) Serve(co *Conn) {
	sc := &serverConn{
		CallServer: cs,
		conn:       &callConn{co: co},
	}
	if !cs.add(sc) {
		return
	}
	defer cs.remove(sc)
	// A heartbeat is the greeting that the dialling side waits for.
	if !sc.writeFrame(&wire.Frame{}) {
		return
	}
	sc.done.Go(sc.readLoop)
	sc.done.Wait()
}

// ActiveCalls returns the number of calls whose answers have not been sent completely.
func (cs *CallServer) ActiveCalls() int { return int(cs.activeCalls.Load()) }

// serverConn is the gate's side of one call connection.
type serverConn struct {
	*CallServer
	conn *callConn
	done sync.WaitGroup

	mu      sync.Mutex
	current *activeCall
	// unfinished counts the calls that have begun and whose answers have not been sent.
	unfinished int
	// left is set when the other node was told that no further calls are served.
	left bool
	// heartbeat is used only by the goroutine that serves the current call.
	heartbeat *heartbeat
	// readEnded is set when nothing more is read from the connection.
	readEnded bool
	// pendingBody is the request body that was asked for and has not arrived completely.
	// pendingTransfer is nil if it was asked for as a whole.
	pendingBody     *requestBody
	pendingTransfer *grantedTransfer
}

// activeCall is the call or query that a connection carries.
type activeCall struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	// idempotent calls, and queries, are cancelled when their connection is lost.
	idempotent bool
	// readerStarted is set when another goroutine has taken over reading the connection.
	readerStarted bool
}

// readLoop reads frames and serves the calls that they start. When a call takes long,
// or its body is asked for, another goroutine takes over reading.
func (sc *serverConn) readLoop() {
	for {
		fr, err := sc.conn.readFrame()
		if err != nil {
			sc.connLost(err)
			return
		}
		if sc.hasLeft() {
			continue
		}
		next := true
		switch ki := fr.GetKind().(type) {
		case *wire.Frame_Request:
			next = sc.serveCall(ki.Request, func(ac *activeCall, body io.ReadCloser) { sc.serveRequest(ac, ki.Request, body) })
		case *wire.Frame_Query:
			next = sc.serveCall(nil, func(ac *activeCall, _ io.ReadCloser) { sc.serveQuery(ac, ki.Query) })
		case *wire.Frame_RolloutReport:
			next = sc.serveCall(nil, func(ac *activeCall, _ io.ReadCloser) { sc.serveRolloutReport(ac, ki.RolloutReport) })
		case *wire.Frame_QuotaRequest:
			if !sc.serveQuota(ki.QuotaRequest) {
				sc.connLost(&UnexpectedFrameError{})
				next = false
			}
		case *wire.Frame_Body:
			sc.deliverBody(ki.Body)
		case *wire.Frame_Cancel:
			sc.cancelCall()
		}
		if !next {
			return
		}
	}
}

// serveCall serves a call, or a query or report when rq is nil. It returns false when the
// read loop is to end: the connection is out of step, or another goroutine reads it.
func (sc *serverConn) serveCall(rq *wire.Request, serve func(ac *activeCall, body io.ReadCloser)) bool {
	ac, body, ok := sc.beginCall(rq)
	if !ok && sc.hasLeft() {
		return true
	}
	if !ok {
		sc.connLost(&UnexpectedFrameError{})
		return false
	}
	serve(ac, body)
	takenOver := sc.endCall(ac)
	if sc.isLeaving() {
		sc.leaveIfIdle()
	}
	return !takenOver
}

// startReader starts another read loop while a call is served; it returns false when one
// has already been started for the call, or the call has ended.
func (sc *serverConn) startReader(ac *activeCall) bool {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	if sc.current != ac || ac.readerStarted {
		return false
	}
	ac.readerStarted = true
	sc.done.Go(sc.readLoop)
	return true
}

// endCall ends a call; it reports whether another goroutine has taken over reading.
func (sc *serverConn) endCall(ac *activeCall) bool {
	sc.activeCalls.Add(-1)
	sc.mu.Lock()
	defer sc.mu.Unlock()
	sc.unfinished--
	return ac.readerStarted
}

// beginCall registers a call, or a query when rq is nil, as the connection's current one.
// The returned body is nil when the request contains it. beginCall returns false when the
// previous call or its body has not ended, or no further calls are served.
func (sc *serverConn) beginCall(rq *wire.Request) (*activeCall, io.ReadCloser, bool) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	if sc.current != nil || sc.pendingBody != nil || sc.left {
		return nil, nil, false
	}
	sc.activeCalls.Add(1)
	sc.unfinished++
	ctx, cancel := context.WithCancelCause(sc.baseCtx)
	sc.current = &activeCall{
		ctx:        ctx,
		cancel:     cancel,
		idempotent: rq == nil || rq.GetIdempotent(),
	}
	if rq.GetLength() == int64(len(rq.GetBody())) {
		return sc.current, nil, true
	}
	ac := sc.current
	var rb *requestBody
	rb = newRequestBody(func() { sc.requestBody(ac, rq, rb) }, sc.endTransfer, sc.receiver.backlog)
	return ac, rb, true
}

// requestBody asks the ingress for the request body.
func (sc *serverConn) requestBody(ac *activeCall, rq *wire.Request, rb *requestBody) {
	sc.startReader(ac)
	sc.mu.Lock()
	readEnded := sc.readEnded
	if !readEnded {
		sc.pendingBody = rb
	}
	sc.mu.Unlock()
	switch {
	case readEnded:
		rb.push(&wire.Body{Aborted: true})
	case rq.GetAcceptsGrants():
		sc.receiveGranted(rq.GetLength(), rb)
	default:
		sc.sendContinue(0)
	}
}

// receiveGranted asks for a body part by part, as the receiver grants them.
func (sc *serverConn) receiveGranted(length int64, rb *requestBody) {
	gt := sc.receiver.newTransfer(sc.sendContinue)
	sc.mu.Lock()
	sc.pendingTransfer = gt
	sc.mu.Unlock()
	gt.begin(length)
	if rb.isClosed() {
		gt.end()
	}
}

// endTransfer ends the transfer of the pending body, which is not read any further.
func (sc *serverConn) endTransfer() {
	sc.mu.Lock()
	gt := sc.pendingTransfer
	sc.mu.Unlock()
	if gt != nil {
		gt.end()
	}
}

// sendContinue asks the ingress for further bytes of the body; 0 means all.
func (sc *serverConn) sendContinue(bytes int64) {
	sc.writeFrame(&wire.Frame{
		Kind: &wire.Frame_Continue{
			Continue: &wire.Continue{Bytes: uint32(bytes)},
		},
	})
}

// deliverBody passes a chunk to the pending request body.
func (sc *serverConn) deliverBody(bo *wire.Body) {
	last := bo.GetLast() || bo.GetAborted()
	sc.mu.Lock()
	rb, gt := sc.pendingBody, sc.pendingTransfer
	if last {
		sc.pendingBody = nil
		sc.pendingTransfer = nil
	}
	sc.mu.Unlock()
	if rb == nil {
		return
	}
	rb.push(bo)
	if gt == nil {
		return
	}
	gt.received(int64(len(bo.GetData())))
	if last {
		gt.end()
	}
}

// cancelCall cancels the current call, if any.
func (sc *serverConn) cancelCall() {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	if sc.current != nil {
		sc.current.cancel(&CancelError{Cause: CancelledByIngress})
	}
}

// connLost closes a connection that failed or on which a call started too early. A call
// that is not idempotent keeps running, because its ingress will query the outcome on
// another connection.
func (sc *serverConn) connLost(cause error) {
	sc.conn.close()
	sc.mu.Lock()
	if sc.current != nil && sc.current.idempotent {
		sc.current.cancel(&CancelError{
			Cause: CancelledByLoss,
			Err:   cause,
		})
	}
	sc.readEnded = true
	sc.mu.Unlock()
	sc.deliverBody(&wire.Body{Aborted: true})
}

// freeConn makes the connection available for the next call. It is called before the last
// frame of the answer is sent, since the next call may follow that frame at once.
func (sc *serverConn) freeConn() {
	sc.mu.Lock()
	sc.current = nil
	sc.mu.Unlock()
}

// serveRequest runs one request and sends the answer.
func (sc *serverConn) serveRequest(ac *activeCall, rq *wire.Request, body io.ReadCloser) {
	defer ac.cancel(nil)
	defer sc.reportCancelled(ac, rq, time.Now())
	sc.subtractDelay(rq)
	sc.setWriteDeadline(rq.GetRemainingUs())
	hb := sc.startHeartbeat(ac)
	re := sc.gate.Serve(ac.ctx, rq, body)
	if body != nil {
		_ = body.Close()
	}
	if re.Body == nil {
		hb.stop()
		sc.freeConn()
		sc.writeFrame(replyFrame(re))
		return
	}
	defer hb.stop()
	if sc.writeFrame(replyFrame(re)) {
		sc.sendResponseBody(re.Body, hb)
		return
	}
	_ = re.Body.Close()
}

// subtractDelay takes the time for which a request was delayed on the way off the time
// that it has left.
func (sc *serverConn) subtractDelay(rq *wire.Request) {
	delay := sc.transits.delay(rq, sinceBoot())
	subtractTime(rq, delay)
	if sc.ObserveDelay != nil {
		sc.ObserveDelay(delay)
	}
}

// setWriteDeadline allows writes until heartbeatTimeout after the call's deadline.
func (sc *serverConn) setWriteDeadline(remainingUs int64) {
	remaining := time.Duration(remainingUs) * time.Microsecond
	_ = sc.conn.co.SetWriteDeadline(time.Now().Add(remaining + heartbeatTimeout))
}

// sendResponseBody sends the body of a response. At the end of the body, before its last
// frame is sent, it stops the heartbeats and frees the connection.
func (sc *serverConn) sendResponseBody(body io.ReadCloser, hb *heartbeat) {
	hooked := &eofHookBody{
		ReadCloser: body,
		onEOF: func() {
			hb.stop()
			sc.freeConn()
		},
	}
	if sc.conn.sendBody(hooked) != nil {
		sc.conn.close()
	}
}

// eofHookBody is a body that calls onEOF when its end is read.
type eofHookBody struct {
	io.ReadCloser
	onEOF func()
}

// Read reads the body and calls onEOF at its end.
func (eb *eofHookBody) Read(buf []byte) (int, error) {
	n, err := eb.ReadCloser.Read(buf)
	if err == io.EOF {
		eb.onEOF()
	}
	return n, err
}

// serveQuery runs one query and sends the verdict.
func (sc *serverConn) serveQuery(ac *activeCall, qu *wire.Query) {
	defer ac.cancel(nil)
	sc.setWriteDeadline(qu.GetRemainingUs())
	hb := sc.startHeartbeat(ac)
	ctx, cancel := context.WithTimeout(ac.ctx, time.Duration(qu.GetRemainingUs())*time.Microsecond)
	defer cancel()
	ve := sc.gate.Query(ctx, qu)
	hb.stop()
	sc.freeConn()
	sc.writeFrame(&wire.Frame{
		Kind: &wire.Frame_Verdict{
			Verdict: ve,
		},
	})
}

// writeFrame sends a frame; when that fails, it closes the connection and returns false.
func (sc *serverConn) writeFrame(fr *wire.Frame) bool {
	if sc.conn.writeFrame(fr) != nil {
		sc.conn.close()
		return false
	}
	return true
}

func replyFrame(re upstream.Reply) *wire.Frame {
	if re.Refusal != nil {
		return &wire.Frame{
			Kind: &wire.Frame_Refusal{
				Refusal: re.Refusal,
			},
		}
	}
	return &wire.Frame{
		Kind: &wire.Frame_Response{
			Response: re.Response,
		},
	}
}
