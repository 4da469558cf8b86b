package host_test

import (
	"runtime"
	"testing"
	"time"

	"lynxfold/core/contract"
	"lynxfold/core/host"
)

// BenchmarkGate measures the cost of the admission decisions per attempt.
func BenchmarkGate(b *testing.B) {
	for _, name := range []string{"idempotent", "non_idempotent"} {
		b.Run(name, func(b *testing.B) {
			now := time.Unix(1_000_000, 0)
			ga := host.NewGate(host.Config{
				Incarnation:  incarnation,
				QueuePerSlot: 1,
			})
			ga.Step(host.Announced{
				Announcement: host.Announcement{
					Service: "booking",
					Slots:   20,
				},
				ExpiresAt: now.Add(time.Hour * 10000),
			}, now)
			or := host.Origin{
				Issuer:     host.Issuer{Host: "press-hall-1", Incarnation: 7},
				Try:        1,
				Idempotent: name == "idempotent",
			}
			b.ReportAllocs()
			for b.Loop() {
				or.Call++
				now = now.Add(3500 * time.Microsecond)
				id := or.ID()
				ga.Step(host.Arrived{Attempt: host.Attempt{
					ID:          id,
					Incarnation: incarnation,
					Service:     "booking",
					Class:       contract.ClassLookup,
					Deadline:    now.Add(time.Second),
				}}, now)
				ga.Step(host.Started{ID: id}, now)
				ga.Step(host.Ended{ID: id, Outcome: host.OutcomeRan, KeptBytes: 100}, now)
			}
			b.ReportMetric(float64(ga.LedgerEntries()), "entries")
		})
	}
}

// BenchmarkLedger measures the memory per record of an ended attempt.
func BenchmarkLedger(b *testing.B) {
	const entries = 34_000
	for b.Loop() {
		now := time.Unix(1_000_000, 0)
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		ga := host.NewGate(host.Config{Incarnation: incarnation})
		for i := range uint64(entries) {
			ga.Step(host.Queried{
				ID: host.Origin{
					Issuer: host.Issuer{Host: "press-hall-1", Incarnation: 7},
					Call:   i,
					Try:    1,
				}.ID(),
				Incarnation: incarnation,
			}, now)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/entries, "heap-bytes/entry")
		runtime.KeepAlive(ga)
	}
}
