package node

import (
	"container/list"
	"crypto/tls"
	"io"
	"net"
	"sync"
	"time"
)

// prefaceTimeout bounds the wait for a new connection's handshake, preface and hello.
const prefaceTimeout = 5 * time.Second

// Bounds of a listener whose configuration gives none.
const (
	defaultMaxConns      = 16384
	defaultMaxHandshakes = 256
)

// ListenerConfig sets up a listener.
type ListenerConfig struct {
	// Certificates is nil when connections between nodes are not encrypted.
	Certificates *Certificates
	// MaxConns bounds the connections at once; 0 takes the default.
	MaxConns int
	// MaxHandshakes bounds the connections that have not said yet what they
	// are for; 0 takes the default.
	MaxHandshakes int
	// Control takes connections that carry a control link. It must end the
	// deadline that is set on the connection.
	Control func(co *Conn)
	// Lane takes connections that carry calls.
	Lane func(co *Conn)
	// Survey takes connections that ask what this node has in force.
	Survey func(co *Conn)
	// Refused is told why a connection was refused.
	Refused func(er *RefusedError)
}

// Listener takes the connections of other nodes.
type Listener struct {
	cfg  ListenerConfig
	ln   net.Listener
	done sync.WaitGroup

	mu    sync.Mutex
	conns map[net.Conn]bool
	// handshakes holds the connections that have not said what they are for, the
	// oldest first; elements finds them there.
	handshakes *list.List
	elements   map[net.Conn]*list.Element
	ended      bool
}

// NewListener builds a listener over a socket.
func NewListener(ln net.Listener, cfg ListenerConfig) *Listener {
	if cfg.MaxConns == 0 {
		cfg.MaxConns = defaultMaxConns
	}
	if cfg.MaxHandshakes == 0 {
		cfg.MaxHandshakes = defaultMaxHandshakes
	}
	return &Listener{
		cfg:        cfg,
		ln:         ln,
		conns:      map[net.Conn]bool{},
		handshakes: list.New(),
		elements:   map[net.Conn]*list.Element{},
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
	_ = nc.SetDeadline(time.Now().Add(prefaceTimeout))
	co, preface, err := ls.handshake(nc)
	ls.settle(nc)
	if err != nil {
		ls.cfg.Refused(refuse(err))
		return
	}
	switch preface {
	case prefaceLane:
		_ = nc.SetDeadline(time.Time{})
		ls.cfg.Lane(co)
	case prefaceControl:
		ls.cfg.Control(co)
	case prefaceSurvey:
		ls.cfg.Survey(co)
	default:
		ls.cfg.Refused(refuse(&PrefaceError{}))
	}
}

func (ls *Listener) handshake(nc net.Conn) (*Conn, string, error) {
	stream := nc
	if ls.cfg.Certificates != nil {
		tc := tls.Server(nc, ls.cfg.Certificates.server())
		if err := tc.Handshake(); err != nil {
			return nil, "", err
		}
		stream = tc
	}
	co := newConn(nc, stream)
	preface := make([]byte, len(prefaceLane))
	if _, err := io.ReadFull(co.Reader, preface); err != nil {
		return nil, "", err
	}
	return co, string(preface), nil
}

// track takes a connection in. When too many have not said what they are for,
// the oldest of them is closed, since a working peer needs only a moment.
func (ls *Listener) track(nc net.Conn) bool {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	if ls.ended || len(ls.conns) >= ls.cfg.MaxConns {
		return false
	}
	if ls.handshakes.Len() >= ls.cfg.MaxHandshakes {
		oldest, _ := ls.handshakes.Remove(ls.handshakes.Front()).(net.Conn)
		delete(ls.elements, oldest)
		_ = oldest.Close()
	}
	ls.conns[nc] = true
	ls.elements[nc] = ls.handshakes.PushBack(nc)
	return true
}

// settle records that a connection's handshake is over.
func (ls *Listener) settle(nc net.Conn) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	if el, ok := ls.elements[nc]; ok {
		ls.handshakes.Remove(el)
		delete(ls.elements, nc)
	}
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
