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

// Gate is what a lane's calls are passed to.
type Gate interface {
	// Serve runs an attempt; the end of ctx cancels it.
	Serve(ctx context.Context, rq *wire.Request, body io.ReadCloser) upstream.Reply
	// Query tells what became of an attempt; it waits for a running one to end
	// when asked to.
	Query(ctx context.Context, qu *wire.Query) *wire.Verdict
}

// pieceQueue bounds the pieces of a body that wait to be read.
const pieceQueue = 2

// Incoming passes the calls on other nodes' lanes to a gate.
type Incoming struct {
	gate Gate
	busy atomic.Int64
	// calls is the parent of every call's context.
	calls  context.Context
	cancel context.CancelFunc
}

// NewIncoming builds the far end of lanes to a gate.
func NewIncoming(ga Gate) *Incoming {
	calls, cancel := context.WithCancel(context.Background())
	return &Incoming{
		gate:   ga,
		calls:  calls,
		cancel: cancel,
	}
}

// Close cancels all calls.
func (ic *Incoming) Close() { ic.cancel() }

// Serve passes the calls of one lane on until the lane ends.
func (ic *Incoming) Serve(co *Conn) {
	in := &incoming{
		Incoming: ic,
		lane:     &lane{co: co},
	}
	in.done.Go(in.lead)
	in.done.Wait()
}

// Busy counts the calls whose answers have not been sent to their end.
func (ic *Incoming) Busy() int { return int(ic.busy.Load()) }

// incoming is the gate's end of one lane.
type incoming struct {
	*Incoming
	lane *lane
	done sync.WaitGroup

	mu      sync.Mutex
	current *serving
	// beat belongs to the goroutine that serves.
	beat *beat
	// gone says that nothing more is read from the lane.
	gone bool
	// body is the request body that was asked for and is still to come to its end.
	body *frameBody
}

// serving is the call that a lane carries now.
type serving struct {
	ctx    context.Context
	cancel context.CancelFunc
	// idempotent calls, and queries, end with their lane.
	idempotent bool
	// followed says that another goroutine reads the lane on.
	followed bool
}

// lead reads frames and serves the calls that they open. When a call takes
// long, or its body is wanted, another goroutine takes over the reading.
func (in *incoming) lead() {
	for {
		fr, err := in.lane.read()
		if err != nil {
			in.lost()
			return
		}
		switch ki := fr.GetKind().(type) {
		case *wire.Frame_Request:
			se, body, ok := in.begin(ki.Request)
			if !ok {
				in.lost()
				return
			}
			in.serve(se, ki.Request, body)
			if in.followed(se) {
				return
			}
		case *wire.Frame_Query:
			se, _, ok := in.begin(nil)
			if !ok {
				in.lost()
				return
			}
			in.answer(se, ki.Query)
			if in.followed(se) {
				return
			}
		case *wire.Frame_Body:
			in.feed(ki.Body)
		case *wire.Frame_Cancel:
			in.cancel()
		}
	}
}

// follow starts another reader while a call is served; it is false when there
// is one, or the call has ended.
func (in *incoming) follow(se *serving) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.current != se || se.followed {
		return false
	}
	se.followed = true
	in.done.Go(in.lead)
	return true
}

// followed ends a call; it tells whether another goroutine reads on.
func (in *incoming) followed(se *serving) bool {
	in.busy.Add(-1)
	in.mu.Lock()
	defer in.mu.Unlock()
	return se.followed
}

// begin makes a call the lane's current one; it fails when there is one already.
func (in *incoming) begin(rq *wire.Request) (*serving, io.ReadCloser, bool) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.current != nil || in.body != nil {
		return nil, nil, false
	}
	in.busy.Add(1)
	ctx, cancel := context.WithCancel(in.calls)
	in.current = &serving{
		ctx:        ctx,
		cancel:     cancel,
		idempotent: rq == nil || rq.GetIdempotent(),
	}
	if rq.GetLength() == int64(len(rq.GetBody())) {
		return in.current, nil, true
	}
	se := in.current
	var fb *frameBody
	fb = newFrameBody(func() { in.demand(se, fb) })
	return se, fb, true
}

// demand asks the ingress for a request body.
func (in *incoming) demand(se *serving, fb *frameBody) {
	in.follow(se)
	in.mu.Lock()
	gone := in.gone
	if !gone {
		in.body = fb
	}
	in.mu.Unlock()
	if gone {
		fb.push(&wire.Body{Aborted: true})
		return
	}
	in.write(&wire.Frame{
		Kind: &wire.Frame_Continue{
			Continue: &wire.Continue{},
		},
	})
}

// feed passes a piece to the request body that it belongs to.
func (in *incoming) feed(bo *wire.Body) {
	in.mu.Lock()
	fb := in.body
	if bo.GetLast() || bo.GetAborted() {
		in.body = nil
	}
	in.mu.Unlock()
	if fb != nil {
		fb.push(bo)
	}
}

func (in *incoming) cancel() {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.current != nil {
		in.current.cancel()
	}
}

// lost ends the lane. A call that may not be repeated runs on, because its
// ingress will ask for the outcome on another lane.
func (in *incoming) lost() {
	in.lane.close()
	in.mu.Lock()
	if in.current != nil && in.current.idempotent {
		in.current.cancel()
	}
	in.gone = true
	in.mu.Unlock()
	in.feed(&wire.Body{Aborted: true})
}

// finish frees the lane for its next call; it goes before the last frame.
func (in *incoming) finish() {
	in.mu.Lock()
	in.current = nil
	in.mu.Unlock()
}

// serve answers one request.
func (in *incoming) serve(se *serving, rq *wire.Request, body io.ReadCloser) {
	defer se.cancel()
	in.boundWrites(rq.GetRemainingUs())
	be := in.startBeat(se)
	re := in.gate.Serve(se.ctx, rq, body)
	if body != nil {
		_ = body.Close()
	}
	if re.Body == nil {
		be.stop()
		in.finish()
		in.write(replyFrame(re))
		return
	}
	defer be.stop()
	if in.write(replyFrame(re)) {
		in.respond(re.Body, be)
		return
	}
	_ = re.Body.Close()
}

// boundWrites ends writes that go on after the call's deadline.
func (in *incoming) boundWrites(remainingUs int64) {
	left := time.Duration(remainingUs) * time.Microsecond
	_ = in.lane.co.SetWriteDeadline(time.Now().Add(left + silentAfter))
}

// respond sends a response's body.
func (in *incoming) respond(body io.ReadCloser, be *beat) {
	held := &heldBody{
		ReadCloser: body,
		before: func() {
			be.stop()
			in.finish()
		},
	}
	if in.lane.sendBody(held) != nil {
		in.lane.close()
	}
}

// heldBody frees the lane just before the end of the body is sent.
type heldBody struct {
	io.ReadCloser
	before func()
}

// Read reads on and frees the lane at the end.
func (hb *heldBody) Read(buf []byte) (int, error) {
	n, err := hb.ReadCloser.Read(buf)
	if err == io.EOF {
		hb.before()
	}
	return n, err
}

// answer answers one query.
func (in *incoming) answer(se *serving, qu *wire.Query) {
	defer se.cancel()
	in.boundWrites(qu.GetRemainingUs())
	be := in.startBeat(se)
	ctx, cancel := context.WithTimeout(se.ctx, time.Duration(qu.GetRemainingUs())*time.Microsecond)
	defer cancel()
	ve := in.gate.Query(ctx, qu)
	be.stop()
	in.finish()
	in.write(&wire.Frame{
		Kind: &wire.Frame_Verdict{
			Verdict: ve,
		},
	})
}

// write sends a frame; a lane that fails is closed.
func (in *incoming) write(fr *wire.Frame) bool {
	if in.lane.write(fr) != nil {
		in.lane.close()
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

// beat sends signs of life on a lane while a call runs, and has the lane read
// on when the call takes long.
type beat struct {
	incoming *incoming
	ti       *time.Timer
	mu       sync.Mutex
	// serving is nil while no call runs.
	serving *serving
}

func (in *incoming) startBeat(se *serving) *beat {
	if in.beat == nil {
		in.beat = &beat{incoming: in}
	}
	be := in.beat
	be.mu.Lock()
	defer be.mu.Unlock()
	be.serving = se
	if be.ti == nil {
		be.ti = time.AfterFunc(followAfter, be.fire)
		return be
	}
	be.ti.Reset(followAfter)
	return be
}

// fire may come late, in the next call's time; then it is an early sign of that one.
func (be *beat) fire() {
	be.mu.Lock()
	defer be.mu.Unlock()
	if be.serving == nil {
		return
	}
	if be.incoming.follow(be.serving) {
		be.ti.Reset(beatEvery)
		return
	}
	// A frame without a kind is a sign of life.
	if err := be.incoming.lane.write(&wire.Frame{}); err == nil {
		be.ti.Reset(beatEvery)
	}
}

// stop returns when no more signs of life will be sent.
func (be *beat) stop() {
	be.ti.Stop()
	be.mu.Lock()
	be.serving = nil
	be.mu.Unlock()
}
