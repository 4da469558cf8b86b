package node

import (
	"container/list"
	"crypto/tls"
	"io"
	"net"
	"sync"
	"time"
)

// setupTimeout limits the TLS handshake, preface and hello of a new connection.
const setupTimeout = 5 * time.Second

// Limits of a listener whose configuration sets none.
const (
	defaultMaxConns      = 16384
	defaultMaxHandshakes = 256
)

// ListenerConfig configures a listener.
type ListenerConfig struct {
	// Certificates is nil when connections between nodes are not encrypted.
	Certificates *Certificates
	// MaxConns limits the open connections; 0 means the default.
	MaxConns int
	// MaxHandshakes limits the connections that have not sent their preface yet; 0
	// means the default.
	MaxHandshakes int
	// Control serves a connection that carries a control link. It must clear the
	// deadline that is set on the connection.
	Control func(co *Conn)
	// Calls serves a connection that carries calls.
	Calls func(co *Conn)
	// Survey serves a connection that queries this node's configuration version.
	Survey func(co *Conn)
	// Refused is called with the reason when a connection is refused.
	Refused func(er *RefusedError)
}

// Listener accepts connections from other nodes.
type Listener struct {
	cfg  ListenerConfig
	ln   net.Listener
	done sync.WaitGroup

	mu    sync.Mutex
	conns map[net.Conn]bool
	// handshakes holds the connections that have not sent their preface, the oldest
	// first; handshakeElements maps each to its list element.
	handshakes        *list.List
	handshakeElements map[net.Conn]*list.Element
	closed            bool
}

// NewListener builds a listener that accepts connections from ln.
func NewListener(ln net.Listener, cfg ListenerConfig) *Listener {
	if cfg.MaxConns == 0 {
		cfg.MaxConns = defaultMaxConns
	}
	if cfg.MaxHandshakes == 0 {
		cfg.MaxHandshakes = defaultMaxHandshakes
	}
	return &Listener{
		cfg:               cfg,
		ln:                ln,
		conns:             map[net.Conn]bool{},
		handshakes:        list.New(),
		handshakeElements: map[net.Conn]*list.Element{},
	}
}

// Serve accepts connections until Close.
func (ls *Listener) Serve() error {
	for {
		nc, err := ls.ln.Accept()
		if err != nil {
			return err
		}
		if !ls.track(nc) {
			_ = nc.Close()
			ls.cfg.Refused(&RefusedError{Reason: RefusedBusy})
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
	_ = nc.SetDeadline(time.Now().Add(setupTimeout))
	co, preface, err := ls.handshake(nc)
	ls.handshakeDone(nc)
	if err != nil {
		ls.cfg.Refused(newRefusedError(err))
		return
	}
	switch preface {
	case prefaceCalls:
		_ = nc.SetDeadline(time.Time{})
		ls.cfg.Calls(co)
	case prefaceControl:
		ls.cfg.Control(co)
	case prefaceSurvey:
		ls.cfg.Survey(co)
	default:
		ls.cfg.Refused(newRefusedError(&PrefaceError{}))
	}
}

func (ls *Listener) handshake(nc net.Conn) (*Conn, string, error) {
	stream := nc
	if ls.cfg.Certificates != nil {
		tc := tls.Server(nc, ls.cfg.Certificates.serverConfig())
		if err := tc.Handshake(); err != nil {
			return nil, "", err
		}
		stream = tc
	}
	co := newConn(nc, stream)
	preface := make([]byte, len(prefaceCalls))
	if _, err := io.ReadFull(co.Reader, preface); err != nil {
		return nil, "", err
	}
	return co, string(preface), nil
}

// track registers a connection; it returns false when the listener is closed or full.
// When too many connections have not sent their preface, the oldest of them is closed:
// a working peer sends it at once.
func (ls *Listener) track(nc net.Conn) bool {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	if ls.closed || len(ls.conns) >= ls.cfg.MaxConns {
		return false
	}
	if ls.handshakes.Len() >= ls.cfg.MaxHandshakes {
		oldest, _ := ls.handshakes.Remove(ls.handshakes.Front()).(net.Conn)
		delete(ls.handshakeElements, oldest)
		_ = oldest.Close()
	}
	ls.conns[nc] = true
	ls.handshakeElements[nc] = ls.handshakes.PushBack(nc)
	return true
}

// handshakeDone records that a connection's handshake succeeded or failed.
func (ls *Listener) handshakeDone(nc net.Conn) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	if el, ok := ls.handshakeElements[nc]; ok {
		ls.handshakes.Remove(el)
		delete(ls.handshakeElements, nc)
	}
}

func (ls *Listener) untrack(nc net.Conn) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	delete(ls.conns, nc)
}

// Close closes the listener and all accepted connections, and waits for their
// goroutines.
func (ls *Listener) Close() {
	_ = ls.ln.Close()
	ls.mu.Lock()
	ls.closed = true
	for nc := range ls.conns {
		_ = nc.Close()
	}
	ls.mu.Unlock()
	ls.done.Wait()
}
