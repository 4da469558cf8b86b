package node

import (
	"sync"
	"time"

	"lynxfold/core/wire"
)

// beat sends signs of life on a lane while a call runs, and has the lane read
// on when the call takes long.
type beat struct {
	incoming *incoming
	ti       *time.Timer
	mu       sync.Mutex
	// serving is nil while no call runs.
	serving *serving
}

func (in *incoming) startBeat(se *serving) *beat {
	if in.beat == nil {
		in.beat = &beat{incoming: in}
	}
	be := in.beat
	be.mu.Lock()
	defer be.mu.Unlock()
	be.serving = se
	if be.ti == nil {
		be.ti = time.AfterFunc(followAfter, be.fire)
		return be
	}
	be.ti.Reset(followAfter)
	return be
}

// fire may come late, in the next call's time; then it is an early sign of that one.
func (be *beat) fire() {
	be.mu.Lock()
	defer be.mu.Unlock()
	if be.serving == nil {
		return
	}
	if be.incoming.follow(be.serving) {
		be.ti.Reset(beatEvery)
		return
	}
	// A frame without a kind is a sign of life.
	if err := be.incoming.lane.write(&wire.Frame{}); err == nil {
		be.ti.Reset(beatEvery)
	}
}

// stop returns when no more signs of life will be sent.
func (be *beat) stop() {
	be.ti.Stop()
	be.mu.Lock()
	be.serving = nil
	be.mu.Unlock()
}
