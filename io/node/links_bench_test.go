package node

import (
	"testing"
	"time"

	"lynxfold/core/wire"
)

// BenchmarkSmallBehindLarge measures the latency of a small message that is sent right
// after a large snapshot, on the control stream and on the snapshot's bulk stream.
func BenchmarkSmallBehindLarge(b *testing.B) {
	const snapshotBytes = 3 << 20
	for _, stream := range []struct {
		name string
		send func(se *Session, ms *wire.Control)
	}{
		{name: "control_stream", send: func(se *Session, ms *wire.Control) { se.send(ms) }},
		{name: "bulk_stream", send: func(se *Session, ms *wire.Control) { se.bulk.enqueue(ms, 1) }},
	} {
		b.Run(stream.name, func(b *testing.B) {
			a, other := startTestNode(b, testNodeConfig{id: "a", resyncBytesPerSecond: testResyncBytesPerSecond}), startTestNode(b, testNodeConfig{id: "b"})
			linkNodes(b, a, other, other.address)
			version := uint64(0)
			var took time.Duration
			for b.Loop() {
				version++
				a.send("b", snapshotMessage(snapshotBytes))
				at := time.Now()
				a.runOnControl(func() { stream.send(a.links.currentSession("b"), notice(version)) })
				for other.count(isNotice(version)) == 0 {
					time.Sleep(100 * time.Microsecond)
				}
				took += time.Since(at)
				for uint64(other.count(isSnapshot)) < version {
					time.Sleep(time.Millisecond)
				}
			}
			b.ReportMetric(float64(took.Microseconds())/1000/float64(version), "ms/small")
		})
	}
}
