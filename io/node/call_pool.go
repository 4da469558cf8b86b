package node

import (
	"context"
	"sync"
	"time"

	"lynxfold/io/tcp"
)

const (
	// maxIdlePerNode limits the idle connections to one node.
	maxIdlePerNode = 16
	// maxIdleTotal limits the idle connections to all nodes.
	maxIdleTotal = 1024
	// maxConnsPerNode limits the connections in use to one node. Connections for queries
	// count towards the limit, but are never refused.
	maxConnsPerNode = 256
	// idleTimeout is how long an idle connection stays open.
	idleTimeout = 30 * time.Second
	// greetingTimeout limits the wait for the greeting: the first frame on a new
	// connection, a heartbeat from the gate.
	greetingTimeout = 500 * time.Millisecond
	// sweepInterval is the time between two searches for expired idle connections.
	sweepInterval = 5 * time.Second
)

// CallPool is the client side of calls to the gates of other nodes: a connection pool in
// which each connection carries one call at a time.
type CallPool struct {
	// OnSilence is called when the silence of a call connection has ended. It may be nil,
	// and is set before the pool is used.
	OnSilence func(si Silence)

	dialer *Dialer
	closed chan struct{}
	done   sync.WaitGroup

	mu    sync.Mutex
	peers map[string]*peerConns
	idle  int
}

// peerConns holds the idle connections to one node, the least recently used first,
// and counts those in use.
type peerConns struct {
	idle  []*callConn
	inUse int
	// greetedAt is when a new connection to the node was last greeted.
	greetedAt time.Time
	// probing is set while a connection is opened to see whether that works.
	probing bool
}

// ConnLimitError reports a node to which maxConnsPerNode connections are in use.
type ConnLimitError struct {
	Address string
}

func (er *ConnLimitError) Error() string { return "too many call connections to " + er.Address }

// NewCallPool builds an empty connection pool.
func NewCallPool(di *Dialer) *CallPool {
	cp := &CallPool{
		dialer: di,
		closed: make(chan struct{}),
		peers:  map[string]*peerConns{},
	}
	cp.done.Go(cp.sweepLoop)
	return cp
}

// acquire returns an idle connection that is still open, or a new one.
func (cp *CallPool) acquire(ctx context.Context, address string) (*callConn, error) {
	cc, err := cp.reserve(address)
	if cc != nil || err != nil {
		return cc, err
	}
	return cp.dial(ctx, address)
}

// acquireNew returns a new connection, for when idle ones may be dead.
func (cp *CallPool) acquireNew(ctx context.Context, address string) (*callConn, error) {
	cp.mu.Lock()
	cp.peer(address).inUse++
	cp.mu.Unlock()
	return cp.dial(ctx, address)
}

func (cp *CallPool) dial(ctx context.Context, address string) (*callConn, error) {
	co, err := cp.dialer.dial(ctx, address, prefaceCalls)
	if err != nil {
		cp.release(address, nil, false)
		return nil, err
	}
	cc := &callConn{co: co}
	if err := cc.awaitGreeting(ctx); err != nil {
		cp.release(address, cc, false)
		return nil, err
	}
	cp.mu.Lock()
	cp.peer(address).greetedAt = time.Now()
	cp.mu.Unlock()
	return cc, nil
}

// awaitGreeting waits for the gate's greeting. Until it arrives, the other end may be a
// listener that refuses this node, or a proxy with no node behind it.
func (cc *callConn) awaitGreeting(ctx context.Context) error {
	stop := context.AfterFunc(ctx, cc.close)
	defer stop()
	_, err := cc.readFrameWithin(greetingTimeout)
	return err
}

// reserve counts one more connection in use and returns an idle one, or nil when none
// is usable.
func (cp *CallPool) reserve(address string) (*callConn, error) {
	now := time.Now()
	cp.mu.Lock()
	defer cp.mu.Unlock()
	pe := cp.peer(address)
	if pe.inUse >= maxConnsPerNode {
		return nil, &ConnLimitError{Address: address}
	}
	pe.inUse++
	for len(pe.idle) > 0 {
		cc := pe.idle[len(pe.idle)-1]
		pe.idle = pe.idle[:len(pe.idle)-1]
		cp.idle--
		// A call on a connection that the peer has closed would have an unknown outcome.
		if now.Before(cc.idleUntil) && cc.co.Reader.Buffered() == 0 && tcp.Peek(cc.co.Conn) == tcp.StateIdle {
			return cc, nil
		}
		cc.close()
	}
	return nil, nil
}

// peer returns the connections to a node; cp.mu is held.
func (cp *CallPool) peer(address string) *peerConns {
	pe := cp.peers[address]
	if pe == nil {
		pe = &peerConns{}
		cp.peers[address] = pe
	}
	return pe
}

// release ends the use of a connection; cc is nil when dialling failed.
func (cp *CallPool) release(address string, cc *callConn, reuse bool) {
	cp.mu.Lock()
	defer cp.mu.Unlock()
	pe := cp.peer(address)
	pe.inUse--
	if cc == nil {
		return
	}
	select {
	case <-cp.closed:
		reuse = false
	default:
	}
	if !reuse || len(pe.idle) >= maxIdlePerNode || cp.idle >= maxIdleTotal {
		cc.close()
		return
	}
	cc.idleUntil = time.Now().Add(idleTimeout)
	pe.idle = append(pe.idle, cc)
	cp.idle++
}

// closeIdle closes the idle connections to a node, after one connection to it failed.
func (cp *CallPool) closeIdle(address string) {
	cp.mu.Lock()
	defer cp.mu.Unlock()
	pe := cp.peer(address)
	cp.closeOldest(pe, len(pe.idle))
}

// closeOldest closes the n least recently used idle connections to a node; cp.mu is held.
func (cp *CallPool) closeOldest(pe *peerConns, n int) {
	for _, cc := range pe.idle[:n] {
		cc.close()
	}
	pe.idle = append(pe.idle[:0], pe.idle[n:]...)
	cp.idle -= n
}

func (cp *CallPool) sweepLoop() {
	ti := time.NewTicker(sweepInterval)
	defer ti.Stop()
	for {
		select {
		case now := <-ti.C:
			cp.sweep(now)
		case <-cp.closed:
			return
		}
	}
}

// sweep closes the expired idle connections and removes nodes without connections.
func (cp *CallPool) sweep(now time.Time) {
	cp.mu.Lock()
	defer cp.mu.Unlock()
	for address, pe := range cp.peers {
		n := 0
		for n < len(pe.idle) && !now.Before(pe.idle[n].idleUntil) {
			n++
		}
		cp.closeOldest(pe, n)
		if pe.inUse == 0 && len(pe.idle) == 0 {
			delete(cp.peers, address)
		}
	}
}

// Close closes the idle connections; those in use are closed when they are released.
func (cp *CallPool) Close() {
	cp.mu.Lock()
	close(cp.closed)
	for _, pe := range cp.peers {
		cp.closeOldest(pe, len(pe.idle))
	}
	cp.mu.Unlock()
	cp.done.Wait()
}
