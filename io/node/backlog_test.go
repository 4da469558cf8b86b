package node

import (
	"net"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"

	"lynxfold/core/wire"
)

// TestFullQueueIsReported sends to a peer that does not read: a closed link showed that its
// queue was full, and not of what.
func TestFullQueueIsReported(t *testing.T) {
	near, far := net.Pipe()
	t.Cleanup(func() { _ = far.Close() })
	se := &Session{
		raw:      near,
		control:  newStream(near),
		counters: NewCounters(metrics.NewSet()),
	}
	begun := time.Now()
	for range sendQueueLength {
		se.send(&wire.Control{Kind: &wire.Control_CrashNews{CrashNews: &wire.CrashNews{}}})
	}
	assert.Equal(t, se.Reason(), ClosedReason(""))
	assert.Assert(t, se.Backlog() == nil)
	se.send(&wire.Control{Kind: &wire.Control_Notice{Notice: &wire.Notice{Version: 7}}})
	assert.Equal(t, se.Reason(), ClosedSlowPeer)
	bl := se.Backlog()
	assert.DeepEqual(t, bl.Kinds, map[string]int{"crash_news": sendQueueLength})
	assert.Assert(t, bl.Bytes > 0 && !bl.OldestAt.Before(begun))
}
