package platform

import (
	"context"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

const (
	// maxResponseBytes limits the body of a response.
	maxResponseBytes = 64 << 20
	// maxConnsPerServer limits the connections to each server: that of the table and that
	// of the object store.
	maxConnsPerServer = 16
	// idleConnTimeout is how long an unused connection is kept open.
	idleConnTimeout = 10 * time.Second
)

// Transport sends HTTP requests to the platform. It never retries a request and
// never reuses a connection on which a request has failed.
type Transport struct {
	timeout time.Duration
	http    *fasthttp.Client
	// onRequestDone is called at the end of each request; it may be nil.
	onRequestDone func(method, outcome string)

	mu     sync.Mutex
	conns  map[*trackedConn]bool
	closed bool
}

// NewTransport returns a transport with a timeout for each request. onRequestDone is
// called at the end of each request with its method and its outcome: the HTTP status,
// or why there was no response. It may be nil.
func NewTransport(timeout time.Duration, onRequestDone func(method, outcome string)) *Transport {
	tr := &Transport{
		timeout:       timeout,
		onRequestDone: onRequestDone,
		conns:         map[*trackedConn]bool{},
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
		Conn:      co,
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
	// added to the timeout.
	LongPollWait time.Duration
}

// Do sends one request; the caller must release the response. It fails with a
// DialError if it could not connect or ctx had already ended; the request was then not
// sent.
func (tr *Transport) Do(ctx context.Context, rq Request) (*fasthttp.Response, error) {
	if err := ctx.Err(); err != nil {
		return nil, &DialError{Address: rq.URL, Err: err}
	}
	deadline := time.Now().Add(tr.timeout + rq.LongPollWait)
	if ctxDeadline, ok := ctx.Deadline(); ok && ctxDeadline.Before(deadline) {
		deadline = ctxDeadline
	}
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
	if err := tr.http.DoDeadline(req, resp, deadline); err != nil {
		fasthttp.ReleaseResponse(resp)
		tr.notifyDone(rq.Method, failureOutcome(err))
		return nil, err
	}
	tr.notifyDone(rq.Method, strconv.Itoa(resp.StatusCode()))
	return resp, nil
}

func (tr *Transport) notifyDone(method, outcome string) {
	if tr.onRequestDone != nil {
		tr.onRequestDone(method, outcome)
	}
}

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
		return "timeout"
	}
	return "broken"
}
