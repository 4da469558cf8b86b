package upstream

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"lynxfold/core/host"
	"lynxfold/core/wire"
	"lynxfold/io/tcp"
)

const (
	// connectTimeout bounds dialling the upstream.
	connectTimeout = time.Second
	// maxIdleConns bounds the idle connections in the pool.
	maxIdleConns = 32
	// maxIdleTime is how long an idle connection stays in the pool.
	maxIdleTime = 5 * time.Second
	// maxNonIdempotentIdleTime is how long after its last use a connection
	// may carry a non-idempotent request: the longer it is idle, the likelier
	// the upstream closes it during the request and the outcome is unknown.
	maxNonIdempotentIdleTime = 250 * time.Millisecond
)

// ReasonUpstreamConnections is the reason for refusing a request when as many
// connections are in use as the upstream has announced that it accepts.
const ReasonUpstreamConnections host.Reason = "upstream_connections"

// ConnectionLimitError reports that the connection limit is reached.
type ConnectionLimitError struct {
	Limit int
}

func (er *ConnectionLimitError) Error() string {
	return fmt.Sprintf("all %d connections to the upstream are in use", er.Limit)
}

// conn is a pooled connection to the upstream.
type conn struct {
	net.Conn
	address    string
	lastUsedAt time.Time
	// expiresAt is when the upstream may close the connection if it is idle, as its last
	// response stated; zero if it stated nothing.
	expiresAt time.Time
	reader    *bufio.Reader
	writer    *bufio.Writer
	// wroteBytes reports that bytes of the current request may have been sent.
	wroteBytes atomic.Bool
	// writeFailed reports that a write has failed other than by its deadline. It may have
	// taken the error of a reset that a read then does not report.
	writeFailed atomic.Bool
	// reused reports that the connection has carried a request before the current one.
	reused bool
	// refused holds the requests that were refused on this connection. The upstream could
	// repeat such a refusal, which would pass for that of the request when it is sent again.
	refused []host.RequestID
}

// maxRefusedRequests bounds the requests that are refused on one connection.
const maxRefusedRequests = 64

// Write implements io.Writer and records in wroteBytes that bytes were sent, and in
// writeFailed that they could not be.
func (co *conn) Write(buf []byte) (int, error) {
	n, err := co.Conn.Write(buf)
	if n > 0 {
		co.wroteBytes.Store(true)
	}
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		co.writeFailed.Store(true)
	}
	return n, err
}

// keepAliveMargin is how long before the stated timeout a connection is no longer reused:
// the upstream counts from the end of its response, and a request takes time to arrive.
const keepAliveMargin = 200 * time.Millisecond

// recordKeepAlive records the idle timeout that a response states, if any.
func (co *conn) recordKeepAlive(he *fasthttp.ResponseHeader) {
	co.expiresAt = time.Time{}
	for part := range strings.SplitSeq(string(he.Peek(fasthttp.HeaderKeepAlive)), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		seconds, err := strconv.ParseUint(value, 10, 16)
		if strings.EqualFold(name, "timeout") && err == nil {
			co.expiresAt = time.Now().Add(time.Duration(seconds)*time.Second - keepAliveMargin)
		}
	}
}

// isExpired reports whether the upstream may be closing the connection.
func (co *conn) isExpired(now time.Time) bool {
	return !co.expiresAt.IsZero() && !now.Before(co.expiresAt)
}

// SetLimit bounds the connections to the upstream; 0 means no limit.
func (cl *Client) SetLimit(connections int) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.limit = connections
}

// SetDraining sets whether the upstream is draining. A draining upstream may
// close idle connections at any time, so non-idempotent requests get new ones.
func (cl *Client) SetDraining(draining bool) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.draining = draining
}

// acquire returns an idle connection or dials a new one. Idle connections that
// the upstream has closed are removed. A non-idempotent request only gets an
// idle connection that was used recently, and none gets one on which it was refused.
func (cl *Client) acquire(ctx context.Context, address string, rq *wire.Request) (*conn, error) {
	co, err := cl.acquireIdle(address, rq)
	if co != nil || err != nil {
		return co, err
	}
	nc, err := cl.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		cl.decrementOpen()
		return nil, err
	}
	co = &conn{
		Conn:    nc,
		address: address,
		reader:  bufio.NewReaderSize(nc, 16<<10),
	}
	co.writer = bufio.NewWriterSize(co, 16<<10)
	return co, nil
}

// maxIdleAge returns how long after its last use a connection may be reused; cl.mu is held.
func (cl *Client) maxIdleAge(idempotent bool) time.Duration {
	switch {
	case idempotent:
		return maxIdleTime
	case cl.draining:
		return 0
	}
	return maxNonIdempotentIdleTime
}

// acquireIdle returns a reusable idle connection. When there is none, it returns
// nil and already counts the connection that the caller is about to dial.
func (cl *Client) acquireIdle(address string, rq *wire.Request) (*conn, error) {
	now := time.Now()
	cl.mu.Lock()
	defer cl.mu.Unlock()
	maxAge := cl.maxIdleAge(rq.GetIdempotent())
	for len(cl.idle) > 0 {
		co := cl.idle[len(cl.idle)-1]
		if co.address == address && now.Sub(co.lastUsedAt) >= maxAge && now.Sub(co.lastUsedAt) < maxIdleTime {
			break // too old for this request, like the others, which are older; idempotent requests may reuse them
		}
		cl.idle = cl.idle[:len(cl.idle)-1]
		if co.address == address && now.Sub(co.lastUsedAt) < maxAge && !co.isExpired(now) &&
			!slices.Contains(co.refused, host.RequestID(rq.GetRequestId())) && tcp.Peek(co.Conn) == tcp.StateIdle {
			co.wroteBytes.Store(false)
			co.reused = true
			return co, nil
		}
		cl.closeConn(co)
	}
	if cl.limit > 0 && cl.open >= cl.limit && len(cl.idle) > 0 {
		cl.closeConn(cl.idle[0])
		cl.idle = append(cl.idle[:0], cl.idle[1:]...)
	}
	if cl.limit > 0 && cl.open >= cl.limit {
		return nil, &ConnectionLimitError{Limit: cl.limit}
	}
	cl.open++
	return nil, nil
}

// closeConn closes a connection and stops counting it; cl.mu is held.
func (cl *Client) closeConn(co *conn) {
	_ = co.Close()
	cl.open--
}

func (cl *Client) decrementOpen() {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.open--
}

// release returns a connection to the pool, or closes it when it is not
// reusable, has unread data or the pool is full.
func (cl *Client) release(co *conn, reusable bool) {
	co.lastUsedAt = time.Now()
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if !reusable || co.reader.Buffered() > 0 || len(cl.idle) >= maxIdleConns {
		cl.closeConn(co)
		return
	}
	cl.idle = append(cl.idle, co)
}

// CloseExpired closes the connections that were idle for maxIdleTime, oldest first.
func (cl *Client) CloseExpired() {
	now := time.Now()
	cl.mu.Lock()
	defer cl.mu.Unlock()
	n := 0
	for n < len(cl.idle) && now.Sub(cl.idle[n].lastUsedAt) >= maxIdleTime {
		cl.closeConn(cl.idle[n])
		n++
	}
	cl.idle = append(cl.idle[:0], cl.idle[n:]...)
}

// OpenConnections returns the number of connections, in use and idle.
func (cl *Client) OpenConnections() int {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.open
}

// Close closes the idle connections.
func (cl *Client) Close() {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for _, co := range cl.idle {
		cl.closeConn(co)
	}
	cl.idle = nil
}
