package node

import (
	"sync"
	"time"

	"lynxfold/core/wire"
)

// heartbeat sends heartbeats on a connection while a call runs. When the call takes longer
// than readerHandoffDelay, it first starts another goroutine that reads the connection.
type heartbeat struct {
	conn  *serverConn
	timer *time.Timer
	mu    sync.Mutex
	// call is nil while no call runs.
	call *activeCall
}

// startHeartbeat starts the connection's heartbeat for a call.
func (sc *serverConn) startHeartbeat(ac *activeCall) *heartbeat {
	if sc.heartbeat == nil {
		sc.heartbeat = &heartbeat{conn: sc}
	}
	hb := sc.heartbeat
	hb.mu.Lock()
	defer hb.mu.Unlock()
	hb.call = ac
	if hb.timer == nil {
		hb.timer = time.AfterFunc(readerHandoffDelay, hb.fire)
		return hb
	}
	hb.timer.Reset(readerHandoffDelay)
	return hb
}

// fire runs when the timer expires. If it runs late, during the next call, that call only
// gets its reader or heartbeat early.
func (hb *heartbeat) fire() {
	hb.mu.Lock()
	defer hb.mu.Unlock()
	if hb.call == nil {
		return
	}
	if hb.conn.startReader(hb.call) {
		hb.timer.Reset(heartbeatInterval)
		return
	}
	// A frame without a kind is a heartbeat.
	if err := hb.conn.conn.writeFrame(&wire.Frame{}); err == nil {
		hb.timer.Reset(heartbeatInterval)
	}
}

// stop stops the heartbeats; none is sent after it returns.
func (hb *heartbeat) stop() {
	hb.timer.Stop()
	hb.mu.Lock()
	hb.call = nil
	hb.mu.Unlock()
}
