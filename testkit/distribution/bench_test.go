package distribution_test

import (
	"testing"
	"time"

	"lynxfold/io/platform/standin"
	"lynxfold/testkit"
)

const (
	// idleDuration is how long an idle mesh is measured.
	idleDuration = 20 * time.Second
	// sampleInterval is the interval between reads of the nodes' metrics.
	sampleInterval  = 250 * time.Millisecond
	controlBytesOut = `lynxfold_control_bytes_total{direction="out"`
	controlBytesIn  = `lynxfold_control_bytes_total{direction="in"`
)

// BenchmarkChange measures the time from the request to accept a version until the
// last host has it in force, and the control bytes of a change beyond those of an
// idle mesh.
func BenchmarkChange(b *testing.B) {
	for _, la := range []testkit.Layout{testkit.Szeged(), testkit.Cuyo()} {
		b.Run(la.Name, func(b *testing.B) {
			me := startMesh(b, la)
			before := me.SumMetricsWithPrefix(controlBytesOut)
			time.Sleep(idleDuration / 4)
			idle := (me.SumMetricsWithPrefix(controlBytesOut) - before) / (idleDuration / 4).Seconds()
			before = me.SumMetricsWithPrefix(controlBytesOut)
			startedAt := time.Now()
			base := uint64(1)
			var took, worst time.Duration
			for b.Loop() {
				at := time.Now()
				acceptNextVersion(b, me, la, firstHostIn(me, la, int(base)%len(la.DataCentres)), base)
				base++
				for !me.AllAtVersion(base) {
					time.Sleep(time.Millisecond)
				}
				took += time.Since(at)
				worst = max(worst, time.Since(at))
				time.Sleep(sampleInterval)
			}
			changes := float64(base - 1)
			bytes := me.SumMetricsWithPrefix(controlBytesOut) - before - idle*time.Since(startedAt).Seconds()
			b.ReportMetric(float64(took.Milliseconds())/changes, "ms/change")
			b.ReportMetric(float64(worst.Milliseconds()), "ms/worst")
			b.ReportMetric(bytes/changes, "control-B/change")
			b.ReportMetric(idle/float64(len(me.Hosts)), "idle-B/s/node")
		})
	}
}

// BenchmarkIdle measures the CPU, memory and control traffic of a node without
// calls or changes.
func BenchmarkIdle(b *testing.B) {
	la := testkit.Szeged()
	me := startMesh(b, la)
	hosts := float64(len(me.Hosts))
	for b.Loop() {
		me.Platform.ResetCounts()
		cpuSeconds, bytes := me.SumMetricsWithPrefix("process_cpu_seconds_total"), me.SumMetricsWithPrefix(controlBytesOut)
		time.Sleep(idleDuration)
		seconds := idleDuration.Seconds() * hosts
		b.ReportMetric((me.SumMetricsWithPrefix("process_cpu_seconds_total")-cpuSeconds)/seconds*100, "%core/node")
		b.ReportMetric((me.SumMetricsWithPrefix(controlBytesOut)-bytes)/seconds, "control-B/s/node")
		b.ReportMetric(me.SumMetricsWithPrefix("process_resident_memory_bytes")/hosts/(1<<20), "MiB/node")
		b.ReportMetric(float64(me.Platform.Counts().Reads)/idleDuration.Seconds(), "reads/s")
	}
}

// BenchmarkReconnectStorm kills all nodes of one data centre, then of all data
// centres, and restarts them at once.
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
			me := startMesh(b, la)
			for b.Loop() {
				me.Platform.SetFaults(standin.Faults{})
				me.Platform.ResetCounts()
				var ids []string
				for _, dc := range storm.centres {
					ids = append(ids, me.HostIDsIn(dc)...)
				}
				for _, id := range ids {
					me.Hosts[id].Kill()
				}
				stop := samplePeakControlBytes(me)
				at := time.Now()
				for _, id := range ids {
					me.Hosts[id].Start()
				}
				for !me.AllAtVersion(1) || !me.AllUpstreamsKnown(la) {
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

// samplePeakControlBytes measures, until stop is called, the highest rate of control
// bytes per second of any node, received and sent together.
func samplePeakControlBytes(me *testkit.Mesh) (stop func() float64) {
	stopped, result := make(chan struct{}), make(chan float64)
	go func() {
		peak := 0.0
		last, at := map[string]float64{}, time.Now()
		for {
			now := time.Now()
			for id := range me.Hosts {
				total := me.SumHostMetricsWithPrefix(id, controlBytesOut) + me.SumHostMetricsWithPrefix(id, controlBytesIn)
				if total >= last[id] && last[id] > 0 {
					peak = max(peak, (total-last[id])/now.Sub(at).Seconds())
				}
				last[id] = total
			}
			at = now
			select {
			case <-stopped:
				result <- peak
				return
			case <-time.After(sampleInterval):
			}
		}
	}()
	return func() float64 {
		time.Sleep(2 * sampleInterval)
		close(stopped)
		return <-result
	}
}
