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
	// maxResponseBytes bounds an answer of the platform, in bytes.
	maxResponseBytes = 64 << 20
	// maxConns bounds the connections to each service of the platform.
	maxConns = 16
	// idleFor is how long an unused connection is kept.
	idleFor = 10 * time.Second
)

// Transport makes HTTP requests to the platform. It never repeats a request by
// itself and never uses a connection again on which a request has failed.
type Transport struct {
	timeout time.Duration
	http    *fasthttp.Client
	// exchanged is told of each request's end; it may be nil.
	exchanged func(method, outcome string)

	mu     sync.Mutex
	conns  map[*trackedConn]bool
	closed bool
}

// NewTransport builds a transport whose requests end after a timeout; exchanged is
// told of each, with the status of its answer or why there is none, and may be nil.
func NewTransport(timeout time.Duration, exchanged func(method, outcome string)) *Transport {
	tr := &Transport{
		timeout:   timeout,
		exchanged: exchanged,
		conns:     map[*trackedConn]bool{},
	}
	tr.http = &fasthttp.Client{
		NoDefaultUserAgentHeader:  true,
		MaxConnWaitTimeout:        timeout,
		MaxConnsPerHost:           maxConns,
		MaxIdleConnDuration:       idleFor,
		MaxResponseBodySize:       maxResponseBytes,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                neverRetry,
		Dial:                      tr.dial,
	}
	return tr
}

func neverRetry(*fasthttp.Request, int, error) (resetTimeout, retry bool) { return false, false }

// trackedConn is a connection that Close can interrupt.
type trackedConn struct {
	net.Conn
	transport *Transport
}

// Close ends the connection.
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

// Close interrupts the requests that run and refuses later ones.
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

// Exchange is one request to the platform.
type Exchange struct {
	Method string
	URL    string
	Body   []byte
	// Header holds names and values.
	Header [][2]string
	// Wait is how long the platform may hold its answer back; it is added to
	// the timeout.
	Wait time.Duration
}

// Exchange makes one request; the response must be released by the caller.
func (tr *Transport) Exchange(ctx context.Context, ex Exchange) (*fasthttp.Response, error) {
	if err := ctx.Err(); err != nil {
		return nil, &DialError{Address: ex.URL, Err: err}
	}
	deadline := time.Now().Add(tr.timeout + ex.Wait)
	if by, ok := ctx.Deadline(); ok && by.Before(deadline) {
		deadline = by
	}
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	req.Header.SetMethod(ex.Method)
	req.SetRequestURI(ex.URL)
	for _, he := range ex.Header {
		req.Header.Set(he[0], he[1])
	}
	if ex.Body != nil {
		req.Header.SetContentType("application/json")
		req.SetBodyRaw(ex.Body)
	}
	if err := tr.http.DoDeadline(req, resp, deadline); err != nil {
		fasthttp.ReleaseResponse(resp)
		tr.tell(ex.Method, outcomeOf(err))
		return nil, err
	}
	tr.tell(ex.Method, strconv.Itoa(resp.StatusCode()))
	return resp, nil
}

func (tr *Transport) tell(method, outcome string) {
	if tr.exchanged != nil {
		tr.exchanged(method, outcome)
	}
}

// outcomeOf names how a request without an answer ended.
func outcomeOf(err error) string {
	var dial *DialError
	switch {
	case errors.As(err, &dial):
		return "no_connection"
	case errors.Is(err, fasthttp.ErrTimeout):
		return "timeout"
	}
	return "broken"
}
