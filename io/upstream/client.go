package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"lynxfold/core/host"
	"lynxfold/core/wire"
)

const (
	// inlineBytes bounds the bodies that travel inside one frame, in bytes.
	inlineBytes = 64 << 10
	// maxIdle bounds the idle connections kept to the upstream.
	maxIdle = 32
	// idleFor is how long an unused connection is kept.
	idleFor = 5 * time.Second
	// HeaderDeadline tells the upstream what is left of the deadline, in milliseconds.
	HeaderDeadline = "Lynxfold-Deadline-Ms"
)

// Client passes calls to the upstream. Each request goes out once, on one connection.
type Client struct {
	dialer net.Dialer
	mu     sync.Mutex
	idle   []*conn
}

// conn is one connection to the upstream.
type conn struct {
	net.Conn
	address string
	idleTo  time.Time
	reader  *bufio.Reader
	writer  *bufio.Writer
}

// NewClient builds a client without connections.
func NewClient() *Client { return &Client{} }

// Do passes a request on and returns when the response's head is there; ended
// is called when the upstream no longer works on the call.
func (cl *Client) Do(ctx context.Context, address string, rq *wire.Request, body io.Reader, ended func(en host.Ended)) Reply {
	co, err := cl.take(ctx, address)
	if err != nil {
		ended(host.Ended{Outcome: host.OutcomeNotRun, Reason: host.ReasonUpstreamConnect})
		return Refuse(host.ReasonUpstreamConnect, true)
	}
	stop := context.AfterFunc(ctx, func() { _ = co.Close() })
	if err := co.send(ctx, rq, body); err != nil {
		stop()
		_ = co.Close()
		ended(broken(host.ReasonUpstreamBroken))
		return Refuse(host.ReasonUpstreamBroken, false)
	}
	resp := &fasthttp.Response{}
	resp.StreamBody = true
	resp.SkipBody = rq.GetMethod() == fasthttp.MethodHead
	if err := resp.ReadLimitBody(co.reader, inlineBytes); err != nil {
		stop()
		_ = co.Close()
		ended(broken(brokenReason(ctx)))
		return Refuse(brokenReason(ctx), false)
	}
	if resp.BodyStream() == nil {
		reusable := stop() && !resp.ConnectionClose()
		cl.release(co, reusable)
		ended(host.Ended{Outcome: host.OutcomeRan})
		return Reply{Response: responseOf(resp, true)}
	}
	return Reply{
		Response: responseOf(resp, false),
		Body: &stream{
			client: cl,
			conn:   co,
			resp:   resp,
			stop:   stop,
			ended:  ended,
		},
	}
}

// broken is the end of an attempt whose connection was left before its answer's
// end: the upstream may still work on it.
func broken(re host.Reason) host.Ended {
	return host.Ended{
		Outcome: host.OutcomeUnknown,
		Reason:  re,
		Working: true,
	}
}

func brokenReason(ctx context.Context) host.Reason {
	if ctx.Err() == context.DeadlineExceeded {
		return host.ReasonUpstreamTimeout
	}
	if ctx.Err() != nil {
		return host.ReasonCancelled
	}
	return host.ReasonUpstreamBroken
}

func (cl *Client) take(ctx context.Context, address string) (*conn, error) {
	now := time.Now()
	cl.mu.Lock()
	for len(cl.idle) > 0 {
		co := cl.idle[len(cl.idle)-1]
		cl.idle = cl.idle[:len(cl.idle)-1]
		if co.address == address && now.Before(co.idleTo) {
			cl.mu.Unlock()
			return co, nil
		}
		_ = co.Close()
	}
	cl.mu.Unlock()
	nc, err := cl.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &conn{
		Conn:    nc,
		address: address,
		reader:  bufio.NewReaderSize(nc, 16<<10),
		writer:  bufio.NewWriterSize(nc, 16<<10),
	}, nil
}

// release keeps a connection whose last response was read to its end.
func (cl *Client) release(co *conn, reusable bool) {
	if !reusable || co.reader.Buffered() > 0 {
		_ = co.Close()
		return
	}
	co.idleTo = time.Now().Add(idleFor)
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if len(cl.idle) >= maxIdle {
		_ = co.Close()
		return
	}
	cl.idle = append(cl.idle, co)
}

// Close ends the idle connections.
func (cl *Client) Close() {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for _, co := range cl.idle {
		_ = co.Close()
	}
	cl.idle = nil
}

func (co *conn) send(ctx context.Context, rq *wire.Request, body io.Reader) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(rq.GetMethod())
	req.SetRequestURI(rq.GetUri())
	req.Header.SetHost(co.address)
	req.Header.SetNoDefaultContentType(true)
	for _, he := range rq.GetHeaders() {
		req.Header.Add(he.GetName(), he.GetValue())
	}
	if at, ok := ctx.Deadline(); ok {
		req.Header.Set(HeaderDeadline, strconv.FormatInt(time.Until(at).Milliseconds(), 10))
	}
	if body != nil {
		req.SetBodyStream(body, int(rq.GetLength()))
	} else if len(rq.GetBody()) > 0 {
		req.SetBodyRaw(rq.GetBody())
	}
	if err := req.Write(co.writer); err != nil {
		return err
	}
	return co.writer.Flush()
}

func responseOf(resp *fasthttp.Response, complete bool) *wire.Response {
	re := &wire.Response{
		Status:   int32(resp.StatusCode()),
		Length:   int64(resp.Header.ContentLength()),
		Complete: complete,
	}
	for na, va := range resp.Header.All() {
		re.Headers = append(re.Headers, &wire.Header{
			Name:  string(na),
			Value: string(va),
		})
	}
	if complete {
		re.Body = resp.Body()
		re.Length = int64(len(re.Body))
	}
	return re
}

// stream is a response's body that is still on its connection.
type stream struct {
	client *Client
	conn   *conn
	resp   *fasthttp.Response
	stop   func() bool
	ended  func(en host.Ended)
	once   sync.Once
	whole  bool
}

// Read reads on; a body cut short gives an error other than io.EOF.
func (st *stream) Read(buf []byte) (int, error) {
	n, err := st.resp.BodyStream().Read(buf)
	if err == io.EOF {
		st.whole = true
	}
	return n, err
}

// Close gives the connection back when the body was read to its end.
func (st *stream) Close() error {
	st.once.Do(func() {
		reusable := st.stop() && st.whole && !st.resp.ConnectionClose()
		st.client.release(st.conn, reusable)
		if st.whole {
			st.ended(host.Ended{Outcome: host.OutcomeRan})
			return
		}
		st.ended(broken(host.ReasonUpstreamTruncated))
	})
	return nil
}
