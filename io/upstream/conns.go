package upstream

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"lynxfold/core/host"
	"lynxfold/io/tcp"
)

const (
	// connectTimeout bounds the opening of a connection to the upstream.
	connectTimeout = time.Second
	// maxIdleConns bounds the idle connections kept to the upstream.
	maxIdleConns = 32
	// maxIdleTime is how long an unused connection is kept.
	maxIdleTime = 5 * time.Second
	// maxNonIdempotentIdleTime is how long after its last use a connection may carry a call
	// that must not come into doubt.
	maxNonIdempotentIdleTime = 250 * time.Millisecond
)

// ReasonUpstreamConnections refuses calls when the upstream has all the
// connections that it announced.
const ReasonUpstreamConnections host.Reason = "upstream_connections"

// ConnectionLimitError reports an upstream that has all its connections.
type ConnectionLimitError struct {
	Limit int
}

func (er *ConnectionLimitError) Error() string {
	return fmt.Sprintf("upstream has all its %d connections", er.Limit)
}

// conn is one connection to the upstream.
type conn struct {
	net.Conn
	address string
	lastUsedAt  time.Time
	reader  *bufio.Reader
	writer  *bufio.Writer
	// wroteBytes says that bytes of the current request may have left.
	wroteBytes atomic.Bool
}

// Write marks the connection once a byte has left.
func (co *conn) Write(buf []byte) (int, error) {
	n, err := co.Conn.Write(buf)
	if n > 0 {
		co.wroteBytes.Store(true)
	}
	return n, err
}

// SetLimit bounds the connections to the upstream; 0 means no bound.
func (cl *Client) SetLimit(connections int) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.limit = connections
}

// SetDraining says that the upstream drains: it may close idle connections at
// any moment, so a call that may not be repeated takes a new one.
func (cl *Client) SetDraining(leaving bool) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.draining = leaving
}

// acquire returns a connection that nobody uses. Idle ones that the upstream has
// closed are dropped. For a call that may not be repeated only a connection
// in recent use is good enough, else a new one is opened.
func (cl *Client) acquire(ctx context.Context, address string, idempotent bool) (*conn, error) {
	co, err := cl.acquireIdle(address, idempotent)
	if co != nil || err != nil {
		return co, err
	}
	nc, err := cl.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		cl.countClosed()
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

// maxIdleAge is how long after its last use a connection is good enough; cl.mu is held.
func (cl *Client) maxIdleAge(idempotent bool) time.Duration {
	switch {
	case idempotent:
		return maxIdleTime
	case cl.draining:
		return 0
	}
	return maxNonIdempotentIdleTime
}

// acquireIdle returns an idle connection that is good enough, or counts one more
// open connection.
func (cl *Client) acquireIdle(address string, idempotent bool) (*conn, error) {
	now := time.Now()
	cl.mu.Lock()
	defer cl.mu.Unlock()
	maxAge := cl.maxIdleAge(idempotent)
	for len(cl.idle) > 0 {
		co := cl.idle[len(cl.idle)-1]
		if co.address == address && now.Sub(co.lastUsedAt) >= maxAge && now.Sub(co.lastUsedAt) < maxIdleTime {
			break // the others are older still
		}
		cl.idle = cl.idle[:len(cl.idle)-1]
		if co.address == address && now.Sub(co.lastUsedAt) < maxAge && tcp.Peek(co.Conn) == tcp.StateQuiet {
			co.wroteBytes.Store(false)
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

// closeConn closes a connection; cl.mu is held.
func (cl *Client) closeConn(co *conn) {
	_ = co.Close()
	cl.open--
}

func (cl *Client) countClosed() {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.open--
}

// release keeps a connection whose last response was read to its end.
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

// CloseExpired closes the connections that were unused for too long, oldest first.
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

// OpenConnections counts the connections, used and idle.
func (cl *Client) OpenConnections() int {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.open
}

// Close ends the idle connections.
func (cl *Client) Close() {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for _, co := range cl.idle {
		cl.closeConn(co)
	}
	cl.idle = nil
}
