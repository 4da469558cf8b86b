package node

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"lynxfold/core/call"
	"lynxfold/core/host"
	"lynxfold/core/wire"
	"lynxfold/io/upstream"
)

// ReasonLaneLimit refuses calls to a node that has all the lanes it may have.
const ReasonLaneLimit host.Reason = "lane_limit"

// passage is one attempt on its way over a lane.
type passage struct {
	lanes   *Lanes
	ctx     context.Context
	address string
	request *wire.Request
	lane    *lane
	stop    func() bool
	// body is nil when the request carries it.
	body io.ReadCloser
	// sent is closed when the body was sent or given up; it is nil before the
	// gate asked for it. bodyErr is set before.
	sent    chan struct{}
	bodyErr error
}

// Serve passes one attempt to the gate at an address; body follows the request
// when it is not in it. It is read only when the gate asks for it, and then
// closed before the attempt ends. Serve returns when the response's head is there.
func (ls *Lanes) Serve(ctx context.Context, address string, rq *wire.Request, body io.ReadCloser) upstream.Reply {
	la, err := ls.take(ctx, address)
	if err != nil {
		return refuseDial(err)
	}
	pa := &passage{
		lanes:   ls,
		ctx:     ctx,
		address: address,
		request: rq,
		lane:    la,
		body:    body,
	}
	return pa.run()
}

func refuseDial(err error) upstream.Reply {
	var limit *LaneLimitError
	if errors.As(err, &limit) {
		return upstream.Refuse(ReasonLaneLimit, true)
	}
	re := upstream.Refuse(call.ReasonLinkDial, true)
	re.Detail = err.Error()
	return re
}

func (pa *passage) run() upstream.Reply {
	pa.stopOnDone()
	err := pa.lane.write(&wire.Frame{
		Kind: &wire.Frame_Request{
			Request: pa.request,
		},
	})
	if err != nil {
		return pa.lost(err)
	}
	fr, err := pa.next()
	if err != nil {
		return pa.lost(err)
	}
	switch ki := fr.GetKind().(type) {
	case *wire.Frame_Refusal:
		pa.end(true)
		return upstream.Reply{Refusal: ki.Refusal}
	case *wire.Frame_Response:
		return pa.respond(ki.Response)
	}
	return pa.lost(&UnexpectedFrameError{})
}

// UnexpectedFrameError reports a frame on a lane that answers no request.
type UnexpectedFrameError struct{}

func (er *UnexpectedFrameError) Error() string { return "a frame came that answers no request" }

func (pa *passage) respond(rs *wire.Response) upstream.Reply {
	if rs.GetComplete() {
		pa.end(true)
		return upstream.Reply{Response: rs}
	}
	return upstream.Reply{
		Response: rs,
		Body:     &laneBody{passage: pa},
	}
}

// stopOnDone cancels the passage when its context ends.
func (pa *passage) stopOnDone() { pa.stop = context.AfterFunc(pa.ctx, pa.cancel) }

// next returns the next frame of the answer; it starts the body when asked to.
func (pa *passage) next() (*wire.Frame, error) {
	for {
		fr, err := pa.lane.readAlive()
		if err != nil || fr.GetContinue() == nil {
			return fr, err
		}
		pa.startBody()
	}
}

// startBody sends the body beside the wait for the answer, which may come first.
func (pa *passage) startBody() {
	if pa.body == nil || pa.sent != nil {
		return
	}
	pa.sent = make(chan struct{})
	go func() {
		defer close(pa.sent)
		pa.bodyErr = pa.lane.sendBody(pa.body)
	}()
}

// cancel withdraws the attempt and leaves the lane.
func (pa *passage) cancel() {
	// Without the frame, the gate takes the end of the lane for a lost link.
	_ = pa.lane.co.SetWriteDeadline(time.Now().Add(beatEvery))
	_ = pa.lane.write(&wire.Frame{
		Kind: &wire.Frame_Cancel{
			Cancel: &wire.Cancel{},
		},
	})
	pa.lane.close()
}

// end gives the lane back; it is kept only after a whole exchange.
func (pa *passage) end(whole bool) {
	whole = pa.stop() && whole
	if !whole {
		pa.lane.close()
	}
	if pa.sent != nil {
		// The answer is there: what is left of the body is not wanted.
		_ = pa.body.Close()
		<-pa.sent
		whole = whole && pa.bodyErr == nil
	}
	pa.lanes.give(pa.address, pa.lane, whole)
}

// lost leaves the lane; its ingress may ask what became of the attempt.
func (pa *passage) lost(cause error) upstream.Reply {
	pa.end(false)
	if err := pa.ctx.Err(); err != nil {
		return refuseContext(err)
	}
	pa.lanes.forget(pa.address)
	return upstream.Reply{
		Lost:   true,
		Detail: cause.Error(),
	}
}

func refuseContext(err error) upstream.Reply {
	if errors.Is(err, context.DeadlineExceeded) {
		return upstream.Refuse(host.ReasonDeadline, false)
	}
	return upstream.Refuse(host.ReasonCancelled, false)
}

// laneBody reads a response's body from its lane.
type laneBody struct {
	passage *passage
	piece   []byte
	whole   bool
	once    sync.Once
}

// Read reads on; only a body that is complete ends with io.EOF.
func (lb *laneBody) Read(buf []byte) (int, error) {
	for len(lb.piece) == 0 {
		if lb.whole {
			return 0, io.EOF
		}
		fr, err := lb.passage.next()
		if err != nil || fr.GetBody() == nil || fr.GetBody().GetAborted() {
			return 0, &TruncatedError{}
		}
		lb.piece = fr.GetBody().GetData()
		lb.whole = fr.GetBody().GetLast()
	}
	n := copy(buf, lb.piece)
	lb.piece = lb.piece[n:]
	return n, nil
}

// Close gives the lane back when the body was read to its end.
func (lb *laneBody) Close() error {
	lb.once.Do(func() {
		if !lb.whole && lb.passage.stop() {
			lb.passage.cancel()
		}
		lb.passage.end(lb.whole)
	})
	return nil
}
