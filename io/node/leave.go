package node

import (
	"context"
	"time"

	"lynxfold/core/host"
	"lynxfold/io/upstream"
)

// Leave stops serving calls and tells the other nodes so on each connection, after the
// answer to the call that it carries. It returns when they have closed all connections, or
// when ctx ends.
//
// What a node is told is the refusal of a call as not run. One that has just sent a call
// takes it for the answer, which is true, as the call is discarded unread. One that has sent
// none finds bytes on an idle connection, and does not use it again.
func (cs *CallServer) Leave(ctx context.Context) {
	for _, sc := range cs.beginLeaving() {
		sc.leaveIfIdle()
	}
	select {
	case <-cs.emptied:
	case <-ctx.Done():
	}
}

// beginLeaving returns the open connections. No further ones are served.
func (cs *CallServer) beginLeaving() []*serverConn {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if !cs.leaving {
		cs.leaving = true
		cs.closeIfEmpty()
	}
	conns := make([]*serverConn, 0, len(cs.conns))
	for sc := range cs.conns {
		conns = append(conns, sc)
	}
	return conns
}

// closeIfEmpty closes emptied if no connection is left; cs.mu is held.
func (cs *CallServer) closeIfEmpty() {
	if cs.leaving && len(cs.conns) == 0 {
		close(cs.emptied)
	}
}

// add registers a connection; it returns false when no further ones are served.
func (cs *CallServer) add(sc *serverConn) bool {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if cs.leaving {
		return false
	}
	cs.conns[sc] = struct{}{}
	return true
}

func (cs *CallServer) remove(sc *serverConn) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	delete(cs.conns, sc)
	cs.closeIfEmpty()
}

func (cs *CallServer) isLeaving() bool {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return cs.leaving
}

// leaveIfIdle tells the other node that no further calls are served, unless a call has not
// ended. What arrives afterwards is discarded unread.
func (sc *serverConn) leaveIfIdle() {
	sc.mu.Lock()
	idle := sc.unfinished == 0 && !sc.left
	if idle {
		sc.left = true
	}
	sc.mu.Unlock()
	if !idle {
		return
	}
	_ = sc.conn.co.SetWriteDeadline(time.Now().Add(heartbeatTimeout))
	if sc.writeFrame(replyFrame(upstream.RefusalReply(host.ReasonDraining, true))) {
		sc.conn.closeWrite()
	}
}

func (sc *serverConn) hasLeft() bool {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return sc.left
}
