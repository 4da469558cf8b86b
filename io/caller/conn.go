package caller

import (
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"lynxfold/core/call"
	"lynxfold/core/host"
)

const (
	// lingerTimeout bounds how long a connection with an unread request is read on,
	// so that its caller gets the answer and not a reset.
	lingerTimeout = 2 * time.Second
	// maxLingering bounds the connections that linger.
	maxLingering = 256
	// refusalWriteTimeout bounds the answer to a connection too many.
	refusalWriteTimeout = 100 * time.Millisecond
)

// ReasonTooManyConnections refuses connections beyond the limit.
const ReasonTooManyConnections host.Reason = "connections"

// tooManyConnectionsResponse answers a connection too many before its request is read.
const tooManyConnectionsResponse = "HTTP/1.1 503 Service Unavailable\r\n" +
	HeaderOutcome + ": " + string(call.OutcomeNotRun) + "\r\n" +
	HeaderReason + ": " + string(ReasonTooManyConnections) + "\r\n" +
	"Retry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

// listener bounds and wraps the callers' connections.
type listener struct {
	net.Listener
	server         *Server
	openConns      atomic.Int64
	lingeringConns atomic.Int64
}

// Accept returns the next connection within the limit.
func (ls *listener) Accept() (*conn, error) {
	for {
		nc, err := ls.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if ls.openConns.Add(1) <= int64(ls.server.cfg.MaxConnections) {
			return &conn{
				Conn:     nc,
				listener: ls,
			}, nil
		}
		ls.openConns.Add(-1)
		ls.server.cfg.Counters.countRefusal(ReasonTooManyConnections)
		_ = nc.SetWriteDeadline(time.Now().Add(refusalWriteTimeout))
		_, _ = io.WriteString(nc, tooManyConnectionsResponse)
		_ = nc.Close()
	}
}

// conn is one connection of a caller.
type conn struct {
	net.Conn
	listener *listener
	// unread says that a part of a request was left unread.
	unread atomic.Bool
	closed atomic.Bool
}

// Close closes the connection; one with an unread request lingers first.
func (co *conn) Close() error {
	if co.closed.Swap(true) {
		return nil
	}
	tc, ok := co.Conn.(*net.TCPConn)
	if ok && co.unread.Load() && co.listener.reserveLinger() {
		go co.linger(tc)
		return nil
	}
	co.listener.openConns.Add(-1)
	return co.Conn.Close()
}

// leaveUnread ends the connection after the answer to a request that is not read
// to its end; it lingers, so that the answer still arrives.
func (co *conn) leaveUnread(ctx *fasthttp.RequestCtx) {
	ctx.SetConnectionClose()
	co.unread.Store(true)
}

// reserveLinger counts one more connection that lingers, within the bound.
func (ls *listener) reserveLinger() bool {
	if ls.lingeringConns.Add(1) <= maxLingering {
		return true
	}
	ls.lingeringConns.Add(-1)
	return false
}

// linger reads on until the caller has seen the end of the answer.
func (co *conn) linger(tc *net.TCPConn) {
	_ = tc.CloseWrite()
	_ = tc.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.Copy(io.Discard, tc)
	_ = tc.Close()
	co.listener.lingeringConns.Add(-1)
	co.listener.openConns.Add(-1)
}
