package distribution_test

import (
	"testing"
	"time"

	"lynxfold/io/platform/standin"
	"lynxfold/testkit"
)

const (
	// idleFor is how long an idle mesh is measured.
	idleFor = 20 * time.Second
	// sampleEvery is the time between two looks at the nodes' counters.
	sampleEvery = 250 * time.Millisecond
	bytesOut    = `lynxfold_control_bytes_total{direction="out"`
	bytesIn     = `lynxfold_control_bytes_total{direction="in"`
)

// BenchmarkChange measures from the request to accept a version until the last
// host has it in force, and the control bytes of a change beyond an idle mesh's.
func BenchmarkChange(b *testing.B) {
	for _, la := range []testkit.Layout{testkit.Szeged(), testkit.Cuyo()} {
		b.Run(la.Name, func(b *testing.B) {
			me := start(b, la)
			before := me.Sum(bytesOut)
			time.Sleep(idleFor / 4)
			idle := (me.Sum(bytesOut) - before) / (idleFor / 4).Seconds()
			before = me.Sum(bytesOut)
			begun := time.Now()
			base := uint64(1)
			var took, worst time.Duration
			for b.Loop() {
				at := time.Now()
				accept(b, me, la, first(me, la, int(base)%len(la.DataCentres)), base)
				base++
				for !me.AllAt(base) {
					time.Sleep(time.Millisecond)
				}
				took += time.Since(at)
				worst = max(worst, time.Since(at))
				time.Sleep(sampleEvery)
			}
			changes := float64(base - 1)
			bytes := me.Sum(bytesOut) - before - idle*time.Since(begun).Seconds()
			b.ReportMetric(float64(took.Milliseconds())/changes, "ms/change")
			b.ReportMetric(float64(worst.Milliseconds()), "ms/worst")
			b.ReportMetric(bytes/changes, "control-B/change")
			b.ReportMetric(idle/float64(len(me.Hosts)), "idle-B/s/node")
		})
	}
}

// BenchmarkIdle measures what a node costs when nothing happens.
func BenchmarkIdle(b *testing.B) {
	la := testkit.Szeged()
	me := start(b, la)
	hosts := float64(len(me.Hosts))
	for b.Loop() {
		me.Platform.ResetCounts()
		processor, bytes := me.Sum("process_cpu_seconds_total"), me.Sum(bytesOut)
		time.Sleep(idleFor)
		seconds := idleFor.Seconds() * hosts
		b.ReportMetric((me.Sum("process_cpu_seconds_total")-processor)/seconds*100, "%core/node")
		b.ReportMetric((me.Sum(bytesOut)-bytes)/seconds, "control-B/s/node")
		b.ReportMetric(me.Sum("process_resident_memory_bytes")/hosts/(1<<20), "MiB/node")
		b.ReportMetric(float64(me.Platform.Counts().Reads)/idleFor.Seconds(), "reads/s")
	}
}

// BenchmarkReconnectStorm kills all nodes of a data centre, and then of all, and
// starts them at once.
func BenchmarkReconnectStorm(b *testing.B) {
	la := testkit.Szeged()
	for _, storm := range []struct {
		name    string
		centres []string
	}{
		{name: "one_data_centre", centres: la.DataCentres[:1]},
		{name: "all", centres: la.DataCentres},
	} {
		b.Run(storm.name, func(b *testing.B) {
			me := start(b, la)
			for b.Loop() {
				me.Platform.SetFaults(standin.Faults{})
				me.Platform.ResetCounts()
				var ids []string
				for _, dc := range storm.centres {
					ids = append(ids, me.In(dc)...)
				}
				for _, id := range ids {
					me.Hosts[id].Kill()
				}
				stop := sampleBusiest(me)
				at := time.Now()
				for _, id := range ids {
					me.Hosts[id].Start()
				}
				for !me.AllAt(1) || !me.AllServed(la) {
					time.Sleep(10 * time.Millisecond)
				}
				b.ReportMetric(time.Since(at).Seconds(), "s/back")
				b.ReportMetric(stop(), "peak-B/s/node")
				b.ReportMetric(float64(me.Platform.Counts().PeakReads), "peak-reads/s")
				b.ReportMetric(float64(me.Platform.Counts().Reads), "reads")
			}
		})
	}
}

// sampleBusiest looks for the most control bytes a second, both ways, on any
// node until it is stopped.
func sampleBusiest(me *testkit.Mesh) (stop func() float64) {
	ended, result := make(chan struct{}), make(chan float64)
	go func() {
		most := 0.0
		last, at := map[string]float64{}, time.Now()
		for {
			now := time.Now()
			for id := range me.Hosts {
				total := me.HostSum(id, bytesOut) + me.HostSum(id, bytesIn)
				if total >= last[id] && last[id] > 0 {
					most = max(most, (total-last[id])/now.Sub(at).Seconds())
				}
				last[id] = total
			}
			at = now
			select {
			case <-ended:
				result <- most
				return
			case <-time.After(sampleEvery):
			}
		}
	}()
	return func() float64 {
		time.Sleep(2 * sampleEvery)
		close(ended)
		return <-result
	}
}
