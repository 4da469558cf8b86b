package caller

import (
	"sync"
	"time"

	"lynxfold/io/tcp"
)

// watchEvery is the time between two looks at the connections of callers that wait.
const watchEvery = 50 * time.Millisecond

// watch finds callers that have gone while their calls run: the HTTP library
// does not read from a connection meanwhile, so it can't tell.
type watch struct {
	mu      sync.Mutex
	waiting map[*exchange]struct{}
	ended   chan struct{}
	done    sync.WaitGroup
}

func newWatch() *watch {
	wa := &watch{
		waiting: map[*exchange]struct{}{},
		ended:   make(chan struct{}),
	}
	wa.done.Go(wa.run)
	return wa
}

func (wa *watch) add(ex *exchange) {
	wa.mu.Lock()
	wa.waiting[ex] = struct{}{}
	wa.mu.Unlock()
}

func (wa *watch) remove(ex *exchange) {
	wa.mu.Lock()
	delete(wa.waiting, ex)
	wa.mu.Unlock()
}

func (wa *watch) run() {
	ti := time.NewTicker(watchEvery)
	defer ti.Stop()
	for {
		select {
		case <-ti.C:
			wa.look()
		case <-wa.ended:
			return
		}
	}
}

// look cancels the calls whose callers have closed their connections.
func (wa *watch) look() {
	wa.mu.Lock()
	defer wa.mu.Unlock()
	for ex := range wa.waiting {
		// A body that is still read finds the end of the connection itself.
		if ex.body != nil && !ex.body.ended() {
			continue
		}
		if tcp.Peek(ex.conn.Conn) == tcp.StateClosed {
			ex.callerGone()
			delete(wa.waiting, ex)
		}
	}
}

func (wa *watch) stop() {
	close(wa.ended)
	wa.done.Wait()
}
