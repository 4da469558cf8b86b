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
	// lingerTimeout limits how long the input of a connection with an unread
	// request is discarded before the connection is closed. Closing it with unread
	// data would send a reset, which can discard the answer before the caller reads
	// it.
	lingerTimeout = 2 * time.Second
	// maxLingering limits the number of lingering connections.
	maxLingering = 256
	// refusalWriteTimeout limits the time to write the answer to a connection beyond
	// the limit.
	refusalWriteTimeout = 100 * time.Millisecond
)

// ReasonTooManyConnections is the reason for refusing connections beyond the
// limit.
const ReasonTooManyConnections host.Reason = "connections"

// tooManyConnectionsResponse is written to connections beyond the limit, before
// their requests are read.
const tooManyConnectionsResponse = "HTTP/1.1 503 Service Unavailable\r\n" +
	HeaderOutcome + ": " + string(call.OutcomeNotRun) + "\r\n" +
	HeaderReason + ": " + string(ReasonTooManyConnections) + "\r\n" +
	"Retry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

// listener limits the number of callers' connections and wraps them.
type listener struct {
	net.Listener
	server         *Server
	openConns      atomic.Int64
	lingeringConns atomic.Int64
}

// Accept returns the next connection within the limit and refuses those beyond
// it.
func (ls *listener) Accept() (*conn, error) {
	for {
		nc, err := ls.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if ls.openConns.Add(1) <= int64(ls.server.cfg.MaxConnections) {
			return &conn{
				Conn:      nc,
				listener:  ls,
				readEnded: make(chan struct{}),
			}, nil
		}
		ls.openConns.Add(-1)
		ls.server.cfg.Counters.countRefusal(ReasonTooManyConnections)
		_ = nc.SetWriteDeadline(time.Now().Add(refusalWriteTimeout))
		_, _ = io.WriteString(nc, tooManyConnectionsResponse)
		_ = nc.Close()
	}
}

// conn is a caller's connection.
type conn struct {
	net.Conn
	listener *listener
	// unread reports that part of a request, or a request behind the last one, was not read.
	unread atomic.Bool
	closed atomic.Bool
	// readEnded is closed when the session reads the connection no more.
	readEnded chan struct{}
}

// Close closes the connection. A connection with an unread request lingers first.
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

// closeAfterAnswer marks the connection to be closed after the answer to a request
// that is not read to its end. The connection lingers so that the caller receives
// the answer.
func (co *conn) closeAfterAnswer(ctx *fasthttp.RequestCtx) {
	ctx.SetConnectionClose()
	co.unread.Store(true)
}

// reserveLinger reports whether another connection may linger, and counts it if
// so.
func (ls *listener) reserveLinger() bool {
	if ls.lingeringConns.Add(1) <= maxLingering {
		return true
	}
	ls.lingeringConns.Add(-1)
	return false
}

// linger closes the write side and discards input until the caller closes the
// connection, which shows that it has read the answer, or lingerTimeout has
// passed. It first ends a read of the session.
func (co *conn) linger(tc *net.TCPConn) {
	_ = tc.CloseWrite()
	_ = tc.SetReadDeadline(time.Unix(1, 0))
	<-co.readEnded
	_ = tc.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.Copy(io.Discard, tc)
	_ = tc.Close()
	co.listener.lingeringConns.Add(-1)
	co.listener.openConns.Add(-1)
}
