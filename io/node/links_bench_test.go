package node

import (
	"testing"
	"time"

	"lynxfold/core/wire"
)

// BenchmarkSmallBehindLarge measures how long a small message takes that is sent
// right after a document, by the stream for small messages and by the document's.
func BenchmarkSmallBehindLarge(b *testing.B) {
	const document = 3 << 20
	for _, way := range []struct {
		name string
		send func(se *Session, ms *wire.Control)
	}{
		{name: "own_stream", send: func(se *Session, ms *wire.Control) { se.send(ms) }},
		{name: "one_stream", send: func(se *Session, ms *wire.Control) { se.bulk.put(ms, 1) }},
	} {
		b.Run(way.name, func(b *testing.B) {
			a, other := startEnd(b, endConfig{id: "a", budget: testBudget}), startEnd(b, endConfig{id: "b"})
			pair(b, a, other, other.address)
			version := uint64(0)
			var took time.Duration
			for b.Loop() {
				version++
				a.send("b", wholeMessage(document))
				at := time.Now()
				a.do(func() { way.send(a.links.current("b"), notice(version)) })
				for other.count(isNotice(version)) == 0 {
					time.Sleep(100 * time.Microsecond)
				}
				took += time.Since(at)
				for uint64(other.count(isWhole)) < version {
					time.Sleep(time.Millisecond)
				}
			}
			b.ReportMetric(float64(took.Microseconds())/1000/float64(version), "ms/small")
		})
	}
}
