package node

import (
	"context"
	"io"
	"sync"
	"time"

	"lynxfold/core/call"
	"lynxfold/core/wire"
	"lynxfold/io/upstream"
)

const (
	// maxIdleLanes bounds the unused lanes kept to one node.
	maxIdleLanes = 16
	// laneIdleFor is how long an unused lane is kept.
	laneIdleFor = 30 * time.Second
)

// Lanes passes calls to the gates of other nodes, one call at a time on each
// kept connection.
type Lanes struct {
	dialer *Dialer
	mu     sync.Mutex
	idle   map[string][]*lane
	closed bool
}

// lane is one kept connection.
type lane struct {
	co     *Conn
	idleTo time.Time
	buf    []byte
}

// NewLanes builds the lanes.
func NewLanes(di *Dialer) *Lanes {
	return &Lanes{
		dialer: di,
		idle:   map[string][]*lane{},
	}
}

// Serve passes one attempt to the gate at an address; body follows the request
// when it is not in it. It returns when the response's head is there.
func (ls *Lanes) Serve(ctx context.Context, address string, rq *wire.Request, body io.Reader) upstream.Reply {
	la, err := ls.take(ctx, address)
	if err != nil {
		return upstream.Refuse(call.ReasonLinkDial, true)
	}
	stop := context.AfterFunc(ctx, func() { _ = la.co.Close() })
	fr, err := la.exchange(rq, body)
	if err != nil {
		stop()
		_ = la.co.Close()
		return upstream.Refuse(call.ReasonLinkLost, false)
	}
	switch ki := fr.GetKind().(type) {
	case *wire.Frame_Refusal:
		ls.give(address, la, stop() && body == nil)
		return upstream.Reply{Refusal: ki.Refusal}
	case *wire.Frame_Response:
		if ki.Response.GetComplete() {
			ls.give(address, la, stop() && body == nil)
			return upstream.Reply{Response: ki.Response}
		}
		return upstream.Reply{
			Response: ki.Response,
			Body: &laneBody{
				lanes:   ls,
				lane:    la,
				address: address,
				stop:    stop,
				reuse:   body == nil,
			},
		}
	}
	stop()
	_ = la.co.Close()
	return upstream.Refuse(call.ReasonLinkLost, false)
}

// exchange sends the request with its body and reads the first frame of the answer.
func (la *lane) exchange(rq *wire.Request, body io.Reader) (*wire.Frame, error) {
	err := la.write(&wire.Frame{
		Kind: &wire.Frame_Request{
			Request: rq,
		},
	})
	if err != nil {
		return nil, err
	}
	if body != nil {
		if err := la.sendBody(body); err != nil {
			return nil, err
		}
	}
	return la.read()
}

func (la *lane) write(fr *wire.Frame) error {
	buf, err := appendMessage(la.buf[:0], fr)
	if err != nil {
		return err
	}
	la.buf = buf
	_, err = la.co.Write(buf)
	return err
}

func (la *lane) read() (*wire.Frame, error) {
	fr := &wire.Frame{}
	if err := readMessage(la.co.Reader, fr, maxFrameBytes); err != nil {
		return nil, err
	}
	return fr, nil
}

// sendBody sends a body in pieces; one that can't be read to its end is marked aborted.
func (la *lane) sendBody(body io.Reader) error {
	buf := make([]byte, pieceBytes)
	for {
		n, err := body.Read(buf)
		last := err == io.EOF
		if n > 0 || err != nil {
			if err := la.write(bodyFrame(buf[:n], last, err != nil && !last)); err != nil {
				return err
			}
		}
		if last {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func bodyFrame(data []byte, last, aborted bool) *wire.Frame {
	return &wire.Frame{
		Kind: &wire.Frame_Body{
			Body: &wire.Body{
				Data:    data,
				Last:    last,
				Aborted: aborted,
			},
		},
	}
}

func (ls *Lanes) take(ctx context.Context, address string) (*lane, error) {
	now := time.Now()
	ls.mu.Lock()
	idle := ls.idle[address]
	for len(idle) > 0 {
		la := idle[len(idle)-1]
		idle = idle[:len(idle)-1]
		ls.idle[address] = idle
		if now.Before(la.idleTo) {
			ls.mu.Unlock()
			return la, nil
		}
		_ = la.co.Close()
	}
	ls.mu.Unlock()
	co, err := ls.dialer.dial(ctx, address, prefaceLane)
	if err != nil {
		return nil, err
	}
	return &lane{co: co}, nil
}

func (ls *Lanes) give(address string, la *lane, reuse bool) {
	la.idleTo = time.Now().Add(laneIdleFor)
	ls.mu.Lock()
	defer ls.mu.Unlock()
	if !reuse || ls.closed || len(ls.idle[address]) >= maxIdleLanes {
		_ = la.co.Close()
		return
	}
	ls.idle[address] = append(ls.idle[address], la)
}

// Close ends the idle lanes; later ones are not kept.
func (ls *Lanes) Close() {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	ls.closed = true
	for _, idle := range ls.idle {
		for _, la := range idle {
			_ = la.co.Close()
		}
	}
	ls.idle = map[string][]*lane{}
}

// laneBody reads a response's body from its lane.
type laneBody struct {
	lanes   *Lanes
	lane    *lane
	address string
	stop    func() bool
	reuse   bool
	piece   []byte
	whole   bool
	once    sync.Once
}

// TruncatedError reports a body that its sender could not complete.
type TruncatedError struct{}

func (er *TruncatedError) Error() string { return "body was cut short by its sender" }

// Read reads on; only a body that is complete ends with io.EOF.
func (lb *laneBody) Read(buf []byte) (int, error) {
	for len(lb.piece) == 0 {
		if lb.whole {
			return 0, io.EOF
		}
		fr, err := lb.lane.read()
		if err != nil {
			return 0, &TruncatedError{}
		}
		if fr.GetBody() == nil || fr.GetBody().GetAborted() {
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
		lb.lanes.give(lb.address, lb.lane, lb.stop() && lb.whole && lb.reuse)
	})
	return nil
}

// Gate is what a lane's calls are passed to.
type Gate interface {
	Serve(ctx context.Context, rq *wire.Request, body io.Reader) upstream.Reply
}

// ServeLane passes the calls of one incoming lane to a gate until the lane ends.
func ServeLane(co *Conn, ga Gate) {
	la := &lane{co: co}
	frames := make(chan *wire.Frame)
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	defer done.Wait()
	defer cancel()
	defer func() { _ = co.Close() }()
	// A lane that ends cancels the call on it.
	done.Go(func() {
		defer cancel()
		defer close(frames)
		for {
			fr, err := la.read()
			if err != nil {
				return
			}
			select {
			case frames <- fr:
			case <-ctx.Done():
				return
			}
		}
	})
	for fr := range frames {
		if fr.GetRequest() == nil || !la.serve(ctx, ga, fr.GetRequest(), frames) {
			return
		}
	}
}

// serve answers one request; it is false when the lane can't carry another one.
func (la *lane) serve(ctx context.Context, ga Gate, rq *wire.Request, frames <-chan *wire.Frame) bool {
	var body io.Reader
	if rq.GetLength() != int64(len(rq.GetBody())) {
		body = &frameBody{frames: frames}
	}
	re := ga.Serve(ctx, rq, body)
	if re.Body != nil {
		defer func() { _ = re.Body.Close() }()
	}
	if err := la.write(replyFrame(re)); err != nil {
		return false
	}
	if re.Body != nil {
		if err := la.sendBody(re.Body); err != nil {
			return false
		}
	}
	return body == nil
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

// frameBody reads a request's body from the frames of its lane.
type frameBody struct {
	frames <-chan *wire.Frame
	piece  []byte
	whole  bool
}

// Read reads on; only a body that is complete ends with io.EOF.
func (fb *frameBody) Read(buf []byte) (int, error) {
	for len(fb.piece) == 0 {
		if fb.whole {
			return 0, io.EOF
		}
		fr, ok := <-fb.frames
		if !ok || fr.GetBody() == nil || fr.GetBody().GetAborted() {
			return 0, &TruncatedError{}
		}
		fb.piece = fr.GetBody().GetData()
		fb.whole = fr.GetBody().GetLast()
	}
	n := copy(buf, fb.piece)
	fb.piece = fb.piece[n:]
	return n, nil
}
