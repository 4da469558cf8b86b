package node

import (
	"bufio"
	"context"
	"crypto/tls"
	"io"
	"net"
	"sync"
	"time"
)

// prefaceTimeout bounds the wait for a new connection's preface and hello.
const prefaceTimeout = 5 * time.Second

// Conn is a connection with its buffered reader.
type Conn struct {
	net.Conn
	Reader *bufio.Reader
}

// Read reads through the buffer.
func (co *Conn) Read(buf []byte) (int, error) { return co.Reader.Read(buf) }

// ListenerConfig sets up a listener.
type ListenerConfig struct {
	// TLS is nil when links are not encrypted.
	TLS *tls.Config
	// Control takes connections that carry a control link.
	Control func(co *Conn)
	// Lane takes connections that carry calls.
	Lane func(co *Conn)
	// Survey takes connections that ask what this node has in force.
	Survey func(co *Conn)
	// Refused is told why a connection was refused.
	Refused func(err error)
}

// Listener takes the connections of other nodes.
type Listener struct {
	cfg   ListenerConfig
	ln    net.Listener
	done  sync.WaitGroup
	mu    sync.Mutex
	conns map[net.Conn]bool
	ended bool
}

// PrefaceError reports a connection that does not speak the protocol.
type PrefaceError struct{}

func (er *PrefaceError) Error() string { return "connection does not start with a known preface" }

// NewListener builds a listener over a socket.
func NewListener(ln net.Listener, cfg ListenerConfig) *Listener {
	return &Listener{
		cfg:   cfg,
		ln:    ln,
		conns: map[net.Conn]bool{},
	}
}

// Serve takes connections until Close.
func (ls *Listener) Serve() error {
	for {
		nc, err := ls.ln.Accept()
		if err != nil {
			return err
		}
		if !ls.track(nc) {
			_ = nc.Close()
			continue
		}
		ls.done.Go(func() {
			defer ls.untrack(nc)
			ls.serveConn(nc)
		})
	}
}

func (ls *Listener) serveConn(nc net.Conn) {
	defer func() { _ = nc.Close() }()
	_ = nc.SetDeadline(time.Now().Add(prefaceTimeout))
	stream := nc
	if ls.cfg.TLS != nil {
		tc := tls.Server(nc, ls.cfg.TLS)
		if err := tc.HandshakeContext(context.Background()); err != nil {
			ls.cfg.Refused(err)
			return
		}
		stream = tc
	}
	co := &Conn{
		Conn:   stream,
		Reader: bufio.NewReaderSize(stream, 16<<10),
	}
	preface := make([]byte, len(prefaceLane))
	if _, err := io.ReadFull(co.Reader, preface); err != nil {
		ls.cfg.Refused(&PrefaceError{})
		return
	}
	_ = nc.SetDeadline(time.Time{})
	switch string(preface) {
	case prefaceLane:
		ls.cfg.Lane(co)
	case prefaceControl:
		ls.cfg.Control(co)
	case prefaceSurvey:
		ls.cfg.Survey(co)
	default:
		ls.cfg.Refused(&PrefaceError{})
	}
}

func (ls *Listener) track(nc net.Conn) bool {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	if ls.ended {
		return false
	}
	ls.conns[nc] = true
	return true
}

func (ls *Listener) untrack(nc net.Conn) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	delete(ls.conns, nc)
}

// Close ends the listener and every connection that it took.
func (ls *Listener) Close() {
	_ = ls.ln.Close()
	ls.mu.Lock()
	ls.ended = true
	for nc := range ls.conns {
		_ = nc.Close()
	}
	ls.mu.Unlock()
	ls.done.Wait()
}
