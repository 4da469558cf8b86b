package node

import (
	"context"
	"sync"
	"time"

	"lynxfold/io/tcp"
)

const (
	// maxIdleLanes bounds the unused lanes kept to one node.
	maxIdleLanes = 16
	// maxIdleTotal bounds the unused lanes kept to all nodes.
	maxIdleTotal = 1024
	// maxLanes bounds the lanes to one node, used and unused.
	maxLanes = 256
	// laneIdleFor is how long an unused lane is kept.
	laneIdleFor = 30 * time.Second
	// greetWithin bounds the wait for the far end of a new lane.
	greetWithin = 500 * time.Millisecond
	// sweepEvery is the time between two searches for lanes unused for too long.
	sweepEvery = 5 * time.Second
)

// Lanes passes calls to the gates of other nodes, one call at a time on each
// kept connection.
type Lanes struct {
	dialer *Dialer
	ended  chan struct{}
	done   sync.WaitGroup

	mu    sync.Mutex
	peers map[string]*peerLanes
	idle  int
}

// peerLanes are the lanes to one node.
type peerLanes struct {
	idle []*lane
	used int
}

// LaneLimitError reports a node that has all the lanes it may have.
type LaneLimitError struct {
	Address string
}

func (er *LaneLimitError) Error() string { return "too many lanes to " + er.Address }

// NewLanes builds the lanes.
func NewLanes(di *Dialer) *Lanes {
	ls := &Lanes{
		dialer: di,
		ended:  make(chan struct{}),
		peers:  map[string]*peerLanes{},
	}
	ls.done.Go(ls.sweepLoop)
	return ls
}

// take returns a kept lane that is still open, or a new one.
func (ls *Lanes) take(ctx context.Context, address string) (*lane, error) {
	la, err := ls.reserve(address)
	if la != nil || err != nil {
		return la, err
	}
	return ls.dial(ctx, address)
}

// takeNew returns a new lane, for when kept ones can't be trusted.
func (ls *Lanes) takeNew(ctx context.Context, address string) (*lane, error) {
	ls.mu.Lock()
	ls.peer(address).used++
	ls.mu.Unlock()
	return ls.dial(ctx, address)
}

func (ls *Lanes) dial(ctx context.Context, address string) (*lane, error) {
	co, err := ls.dialer.dial(ctx, address, prefaceLane)
	if err != nil {
		ls.give(address, nil, false)
		return nil, err
	}
	la := &lane{co: co}
	if err := la.greeted(ctx); err != nil {
		ls.give(address, la, false)
		return nil, err
	}
	return la, nil
}

// greeted waits for the first sign of life: before it, the far end may be a
// listener that refuses this node, or nobody at all behind something between.
func (la *lane) greeted(ctx context.Context) error {
	stop := context.AfterFunc(ctx, la.close)
	defer stop()
	_, err := la.readWithin(greetWithin)
	return err
}

// reserve counts one more used lane and returns a kept one, or nil when none is usable.
func (ls *Lanes) reserve(address string) (*lane, error) {
	now := time.Now()
	ls.mu.Lock()
	defer ls.mu.Unlock()
	pe := ls.peer(address)
	if pe.used >= maxLanes {
		return nil, &LaneLimitError{Address: address}
	}
	pe.used++
	for len(pe.idle) > 0 {
		la := pe.idle[len(pe.idle)-1]
		pe.idle = pe.idle[:len(pe.idle)-1]
		ls.idle--
		// A lane that its peer has closed must not carry a call into doubt.
		if now.Before(la.idleTo) && la.co.Reader.Buffered() == 0 && tcp.Peek(la.co.Conn) == tcp.StateIdle {
			return la, nil
		}
		la.close()
	}
	return nil, nil
}

// peer returns the lanes to a node; ls.mu is held.
func (ls *Lanes) peer(address string) *peerLanes {
	pe := ls.peers[address]
	if pe == nil {
		pe = &peerLanes{}
		ls.peers[address] = pe
	}
	return pe
}

// give ends the use of a lane; nil ends a use that got no lane.
func (ls *Lanes) give(address string, la *lane, reuse bool) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	pe := ls.peer(address)
	pe.used--
	if la == nil {
		return
	}
	select {
	case <-ls.ended:
		reuse = false
	default:
	}
	if !reuse || len(pe.idle) >= maxIdleLanes || ls.idle >= maxIdleTotal {
		la.close()
		return
	}
	la.idleTo = time.Now().Add(laneIdleFor)
	pe.idle = append(pe.idle, la)
	ls.idle++
}

// forget closes the kept lanes to a node, after one of them went silent.
func (ls *Lanes) forget(address string) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	pe := ls.peer(address)
	ls.drop(pe, len(pe.idle))
}

// drop closes the first of a node's kept lanes; ls.mu is held.
func (ls *Lanes) drop(pe *peerLanes, n int) {
	for _, la := range pe.idle[:n] {
		la.close()
	}
	pe.idle = append(pe.idle[:0], pe.idle[n:]...)
	ls.idle -= n
}

func (ls *Lanes) sweepLoop() {
	ti := time.NewTicker(sweepEvery)
	defer ti.Stop()
	for {
		select {
		case now := <-ti.C:
			ls.sweep(now)
		case <-ls.ended:
			return
		}
	}
}

// sweep closes the lanes that were unused for too long, oldest first.
func (ls *Lanes) sweep(now time.Time) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	for address, pe := range ls.peers {
		n := 0
		for n < len(pe.idle) && !now.Before(pe.idle[n].idleTo) {
			n++
		}
		ls.drop(pe, n)
		if pe.used == 0 && len(pe.idle) == 0 {
			delete(ls.peers, address)
		}
	}
}

// Close ends the idle lanes; later ones are not kept.
func (ls *Lanes) Close() {
	ls.mu.Lock()
	close(ls.ended)
	for _, pe := range ls.peers {
		ls.drop(pe, len(pe.idle))
	}
	ls.mu.Unlock()
	ls.done.Wait()
}
