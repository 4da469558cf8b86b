package platform

import (
	"cmp"
	"context"
	"io"
	"math"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"lynxfold/io/http1"
)

const (
	// maxResponseBytes limits the body of a response.
	maxResponseBytes = 64 << 20
	// maxConnsPerServer limits the connections to each server: that of the table and that
	// of the object store.
	maxConnsPerServer = 16
	// idleConnTimeout is how long an unused connection is kept open.
	idleConnTimeout = 10 * time.Second
	// minSendBytesPerSecond is the rate at which a request must be sent at least.
	minSendBytesPerSecond = 64 << 10
	// maxResponseTime limits the time in which a response that keeps arriving must be
	// complete.
	maxResponseTime = 30 * time.Second
)

// Transport sends HTTP requests to the platform. It never retries a request and
// never reuses a connection on which a request has failed. After a request without a response in
// time it reuses none that was idle then.
type Transport struct {
	// timeout limits the wait for the header of a response once the request is sent, and
	// then for each further part of it: how long all of it takes depends on the link.
	timeout time.Duration
	http    *fasthttp.Client
	// onRequestDone is called at the end of each request; it may be nil.
	onRequestDone func(RequestResult)
	// maxBufferedBytes limits the responses that are being read, together; it is the highest
	// number unless SetBufferLimit is called.
	maxBufferedBytes int64
	bufferedBytes    atomic.Int64

	mu     sync.Mutex
	conns  map[*trackedConn]bool
	closed bool
}

// NewTransport returns a transport with a timeout for the wait for a response and for
// each further part of it. onRequestDone is called at the end of each request; it may be
// nil.
func NewTransport(timeout time.Duration, onRequestDone func(RequestResult)) *Transport {
	tr := &Transport{
		timeout:       timeout,
		onRequestDone: onRequestDone,

		maxBufferedBytes: math.MaxInt64,

		conns: map[*trackedConn]bool{},
	}
	tr.http = &fasthttp.Client{
		NoDefaultUserAgentHeader:  true,
		MaxConnWaitTimeout:        timeout,
		MaxConnsPerHost:           maxConnsPerServer,
		MaxIdleConnDuration:       idleConnTimeout,
		MaxResponseBodySize:       maxResponseBytes,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                neverRetry,
		Dial:                      tr.dial,
	}
	return tr
}

// SetBufferLimit limits the bytes of all responses that are being read; it is called before the
// first request.
func (tr *Transport) SetBufferLimit(bytes int64) { tr.maxBufferedBytes = bytes }

func neverRetry(*fasthttp.Request, int, error) (resetTimeout, retry bool) { return false, false }

// trackedConn is a connection that Transport.Close can close while it is in use.
type trackedConn struct {
	net.Conn
	transport *Transport
	// receivedBytes is the number of bytes received since the last write.
	receivedBytes int64
}

// Write sends part of a request.
func (tc *trackedConn) Write(buf []byte) (int, error) {
	tc.receivedBytes = 0
	return tc.Conn.Write(buf)
}

// Read reads part of a response. It fails with a StalledError when the deadline passes.
func (tc *trackedConn) Read(buf []byte) (int, error) {
	n, err := tc.Conn.Read(buf)
	tc.receivedBytes += int64(n)
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		err = &StalledError{
			ReceivedBytes: tc.receivedBytes,
			Err:           err,
		}
	}
	return n, err
}

// Close closes the connection and removes it from its transport.
func (tc *trackedConn) Close() error {
	tc.transport.mu.Lock()
	delete(tc.transport.conns, tc)
	tc.transport.mu.Unlock()
	return tc.Conn.Close()
}

func (tr *Transport) dial(addr string) (net.Conn, error) {
	co, err := fasthttp.DialTimeout(addr, tr.timeout)
	if err != nil {
		return nil, &DialError{Address: addr, Err: err}
	}
	tc := &trackedConn{
		Conn:      http1.NewConn(co),
		transport: tr,
	}
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if tr.closed {
		_ = co.Close()
		return nil, &DialError{Address: addr, Err: net.ErrClosed}
	}
	tr.conns[tc] = true
	return tc, nil
}

// Close interrupts running requests and makes later ones fail.
func (tr *Transport) Close() {
	tr.mu.Lock()
	tr.closed = true
	conns := tr.conns
	tr.conns = map[*trackedConn]bool{}
	tr.mu.Unlock()
	for tc := range conns {
		_ = tc.Conn.Close()
	}
	tr.http.CloseIdleConnections()
}

// Request is one request to the platform.
type Request struct {
	Method string
	URL    string
	Body   []byte
	// Header holds pairs of name and value.
	Header [][2]string
	// LongPollWait is how long the platform may delay the response to a long poll; it is
	// added to the timeout for the response's header.
	LongPollWait time.Duration
	// ResponseTimeout replaces the transport's timeout for the response's header; zero
	// leaves it.
	ResponseTimeout time.Duration
}

// RequestResult says how one request to the platform ended.
type RequestResult struct {
	Method string
	// Outcome is the HTTP status, or why there was no response.
	Outcome string
	// Took is the time from the request's start to the end of its response. It contains
	// the wait of a long poll.
	Took time.Duration
}

// Do sends one request; the caller must release the response. It fails with a
// DialError if it could not connect or ctx had already ended; the request was then not
// sent.
func (tr *Transport) Do(ctx context.Context, rq Request) (*fasthttp.Response, error) {
	if err := ctx.Err(); err != nil {
		return nil, &DialError{Address: rq.URL, Err: err}
	}
	now := time.Now()
	completeBy := now.Add(rq.LongPollWait + maxResponseTime)
	if ctxDeadline, ok := ctx.Deadline(); ok && ctxDeadline.Before(completeBy) {
		completeBy = ctxDeadline
	}
	headerTimeout := cmp.Or(rq.ResponseTimeout, tr.timeout) + rq.LongPollWait + maxSendTime(rq.Body)
	headerBy := earlier(now.Add(headerTimeout), completeBy)
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	req.Header.SetMethod(rq.Method)
	req.SetRequestURI(rq.URL)
	for _, he := range rq.Header {
		req.Header.Set(he[0], he[1])
	}
	if rq.Body != nil {
		req.Header.SetContentType("application/json")
		req.SetBodyRaw(rq.Body)
	}
	resp.StreamBody = true
	err := tr.http.DoDeadline(req, resp, headerBy)
	if err == nil {
		err = tr.readBody(resp, completeBy)
	}
	if err != nil {
		fasthttp.ReleaseResponse(resp)
		outcome := failureOutcome(err)
		if outcome == outcomeTimeout {
			// What has silenced this connection may have silenced the idle ones.
			tr.http.CloseIdleConnections()
		}
		tr.notifyDone(rq.Method, outcome, now)
		return nil, err
	}
	tr.notifyDone(rq.Method, strconv.Itoa(resp.StatusCode()), now)
	return resp, nil
}

// maxSendTime returns how long the body of a request may take to be sent, which depends
// on the link.
func maxSendTime(body []byte) time.Duration {
	return time.Duration(len(body)) * time.Second / minSendBytesPerSecond
}

// readBody reads the body of a response into memory. Each part of it must arrive within
// the timeout, and all of it by completeBy.
func (tr *Transport) readBody(resp *fasthttp.Response, completeBy time.Time) error {
	if resp.BodyStream() == nil {
		return nil
	}
	data, err := tr.readAll(&bodyReader{
		Reader:     resp.BodyStream(),
		transport:  tr,
		conn:       tr.connOf(resp),
		completeBy: completeBy,
	})
	// Closing the stream returns the connection to the pool, unless part of the body is
	// unread.
	if closeErr := resp.CloseBodyStream(); err == nil {
		err = closeErr
	}
	resp.SetBodyRaw(data)
	return err
}

// minReadBytes is the smallest buffer for the body of a response.
const minReadBytes = 4 << 10

// readAll reads a body to its end. It fails with fasthttp.ErrBodyTooLarge if the body, or all
// that are being read, exceed their limits.
func (tr *Transport) readAll(rd io.Reader) ([]byte, error) {
	reserved := int64(0)
	defer func() { tr.bufferedBytes.Add(-reserved) }()
	var data []byte
	for {
		if len(data) == cap(data) {
			if len(data) > maxResponseBytes {
				return nil, fasthttp.ErrBodyTooLarge
			}
			size := min(max(minReadBytes, 2*len(data)), maxResponseBytes+1)
			// While it is copied, the body is in both buffers.
			more := int64(size)
			reserved += more
			if tr.bufferedBytes.Add(more) > tr.maxBufferedBytes {
				return nil, fasthttp.ErrBodyTooLarge
			}
			data = append(make([]byte, 0, size), data...)
			reserved -= int64(len(data))
			tr.bufferedBytes.Add(-int64(len(data)))
		}
		n, err := rd.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if errors.Is(err, io.EOF) {
			return data, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// connOf returns the connection on which a response arrives; nil after Close.
func (tr *Transport) connOf(resp *fasthttp.Response) *trackedConn {
	local, remote := resp.LocalAddr().String(), resp.RemoteAddr().String()
	tr.mu.Lock()
	defer tr.mu.Unlock()
	for tc := range tr.conns {
		if tc.LocalAddr().String() == local && tc.RemoteAddr().String() == remote {
			return tc
		}
	}
	return nil
}

// bodyReader reads a response's body and extends the read deadline of the connection
// before each part.
type bodyReader struct {
	io.Reader
	transport  *Transport
	conn       *trackedConn
	completeBy time.Time
}

// Read implements io.Reader.
func (br *bodyReader) Read(buf []byte) (int, error) {
	if br.conn == nil {
		return 0, net.ErrClosed
	}
	if err := br.conn.SetReadDeadline(earlier(time.Now().Add(br.transport.timeout), br.completeBy)); err != nil {
		return 0, err
	}
	return br.Reader.Read(buf)
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func (tr *Transport) notifyDone(method, outcome string, startedAt time.Time) {
	if tr.onRequestDone != nil {
		tr.onRequestDone(RequestResult{
			Method:  method,
			Outcome: outcome,
			Took:    time.Since(startedAt),
		})
	}
}

// outcomeTimeout is the outcome of a request whose response did not arrive in time.
const outcomeTimeout = "timeout"

// failureOutcome returns the outcome of a request without a response.
func failureOutcome(err error) string {
	var (
		dial    *DialError
		stalled *StalledError
	)
	switch {
	case errors.As(err, &dial):
		return "no_connection"
	case errors.Is(err, fasthttp.ErrTimeout) || errors.As(err, &stalled):
		return outcomeTimeout
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return "too_large"
	}
	return "broken"
}
