package caller

import (
	"context"
	"net"
	"sync"
	"time"
)

// sessions tracks the open connections and their listener.
type sessions struct {
	mu       sync.Mutex
	listener net.Listener
	open     map[*session]struct{}
	closed   bool
	done     sync.WaitGroup
}

// listen stores the listener. It returns false after shutdown.
func (ss *sessions) listen(ls *listener) bool {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	ss.listener = ls.Listener
	return !ss.closed
}

// add stores a session. It returns false after shutdown.
func (ss *sessions) add(se *session) bool {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	if ss.closed {
		return false
	}
	if ss.open == nil {
		ss.open = map[*session]struct{}{}
	}
	ss.open[se] = struct{}{}
	ss.done.Add(1)
	return true
}

func (ss *sessions) remove(se *session) {
	ss.mu.Lock()
	delete(ss.open, se)
	ss.mu.Unlock()
	ss.done.Done()
}

// cancelCalls cancels the pending calls of all sessions.
func (ss *sessions) cancelCalls() {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	for se := range ss.open {
		se.cancelCalls()
	}
}

// shutdown closes the listener and the idle connections and waits for the others.
// It cancels their calls shortly before the context's deadline, and closes the
// connections when the context ends.
func (ss *sessions) shutdown(ctx context.Context) error {
	ss.mu.Lock()
	ss.closed = true
	if ss.listener != nil {
		_ = ss.listener.Close()
	}
	for se := range ss.open {
		se.shutdown()
	}
	ss.mu.Unlock()
	done := make(chan struct{})
	go func() {
		ss.done.Wait()
		close(done)
	}()
	if stopAt, ok := ctx.Deadline(); ok {
		ti := time.AfterFunc(time.Until(stopAt.Add(-DrainAnswerMargin)), ss.cancelCalls)
		defer ti.Stop()
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
	}
	ss.mu.Lock()
	for se := range ss.open {
		se.abort()
	}
	ss.mu.Unlock()
	<-done
	return ctx.Err()
}
