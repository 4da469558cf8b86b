package call_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"lynxfold/core/call"
	"lynxfold/core/contract"
	"lynxfold/core/datacentre"
	"lynxfold/core/host"
)

// balanceSamplePeriod is the time between two samples of the upstreams' slots.
const balanceSamplePeriod = 10 * time.Millisecond

// balanceWindows are the windows in which spread and stranded capacity are measured, in
// samples.
var balanceWindows = []int{5, 20, 100}

// balanceFigures are the measurements of a run.
type balanceFigures struct {
	started, done, refused, inTime, attempts, moved int
	remoteMessages, remoteBytes                     int
	waits                                           []time.Duration
	// busy holds the slots in use of each upstream in each sample, and unserved the calls
	// that waited then and the slots that calls refused since the last sample would need.
	busy     [][]int
	unserved []float64
	rejected time.Duration
}

func (bf *balanceFigures) isWarm(bc *balanceCall) bool {
	return bc.begun.Sub(bc.model.start) >= balanceWarmUp
}

func (bf *balanceFigures) served(bc *balanceCall, now time.Time) {
	if !bf.isWarm(bc) {
		return
	}
	bf.done++
	bf.waits = append(bf.waits, bc.dispatched.Sub(bc.begun))
	if now.Sub(bc.begun) <= balanceObjective {
		bf.inTime++
	}
}

func (bf *balanceFigures) refuse(bc *balanceCall, _ time.Time) {
	bf.rejected += bc.work
	if bf.isWarm(bc) {
		bf.done++
		bf.refused++
	}
}

// countMessage counts a message between a call's host and its upstream if they are in
// different data centres.
func (bf *balanceFigures) countMessage(bc *balanceCall, size int) {
	if bc.up.DataCentre != bc.host.dataCentre && bf.isWarm(bc) {
		bf.remoteMessages++
		bf.remoteBytes += size
	}
}

// sample records the slots in use and the calls that wait.
func (bm *balanceModel) sample() {
	bf := &bm.figures
	busy := make([]int, len(bm.upstreams))
	waiting := len(bm.waiting)
	for i, bu := range bm.upstreams {
		busy[i] = bu.running + bu.gate.Running()
		waiting += bu.gate.Queued()
	}
	bf.busy = append(bf.busy, busy)
	bf.unserved = append(bf.unserved, float64(waiting)+bf.rejected.Seconds()/balanceSamplePeriod.Seconds())
	bf.rejected = 0
	if bm.now.Sub(bm.start) < bm.cfg.length {
		bm.schedule(balanceSamplePeriod, bm.sample)
	}
}

// windows returns the mean spread of utilisation and the share of the slot-time that is
// stranded, in windows of a number of samples.
func (bf *balanceFigures) windows(samples int, slots host.Slots) (spread, stranded float64) {
	count := 0
	for from := 0; from+samples <= len(bf.busy); from += samples {
		sums := make([]float64, len(bf.busy[from]))
		total, highest, unserved := 0.0, 0.0, 0.0
		for at := from; at < from+samples; at++ {
			unserved += bf.unserved[at]
			for i, bu := range bf.busy[at] {
				sums[i] += float64(bu)
				total += float64(bu)
			}
		}
		for _, su := range sums {
			highest = max(highest, su)
		}
		room := float64(samples*len(sums)) * float64(slots)
		spread += highest / max(1, total/float64(len(sums)))
		stranded += min(room-total, unserved) / room
		count++
	}
	return spread / float64(count), stranded / float64(count)
}

func (bf *balanceFigures) wait(q float64) time.Duration {
	return bf.waits[int(q*float64(len(bf.waits)-1))].Round(100 * time.Microsecond)
}

// describe returns the figures as a line of a table.
func (bf *balanceFigures) describe(slots host.Slots) string {
	slices.Sort(bf.waits)
	per := func(n int) float64 { return float64(n) / float64(bf.done) }
	line := fmt.Sprintf("wait p50 %s p99 %s | refused %.4f | in time %.4f |", bf.wait(0.5), bf.wait(0.99), per(bf.refused), per(bf.inTime))
	for _, wi := range balanceWindows {
		spread, stranded := bf.windows(wi, slots)
		line += fmt.Sprintf(" %d ms: spread %.2f stranded %.4f |", wi*int(balanceSamplePeriod.Milliseconds()), spread, stranded)
	}
	return line + fmt.Sprintf(" attempts %.3f moves %.3f | between data centres a call %.3f messages %.0f bytes", float64(bf.attempts)/float64(max(1, bf.started)), per(bf.moved), per(bf.remoteMessages), per(bf.remoteBytes))
}

// exactPicker chooses the better of two random upstreams by their load at this moment,
// which no host can know.
type exactPicker struct {
	call.Chooser
	model *balanceModel
	local datacentre.Name
	rnd   *rand.Rand
}

func (ep *exactPicker) pick(all []datacentre.Upstream, tried []host.ID, remote bool) (datacentre.Upstream, float64, bool) {
	var best datacentre.Upstream
	lowest, found := 0.0, 0
	for range 40 {
		up := all[ep.rnd.IntN(len(all))]
		if (up.DataCentre != ep.local) != remote || slices.Contains(tried, up.Host) {
			continue
		}
		ga := ep.model.byHost[up.Host].gate
		load := float64(ga.Running()+ga.Queued()) / float64(up.Slots)
		if found == 0 || load < lowest {
			best, lowest = up, load
		}
		if found++; found == 2 {
			break
		}
	}
	return best, lowest, found > 0
}

func (ep *exactPicker) PickWithMaxWait(_ contract.ServiceName, all []datacentre.Upstream, tried []host.ID, wait time.Duration, _ time.Time) (datacentre.Upstream, bool) {
	up, load, ok := ep.pick(all, tried, false)
	if ok && (load-1)*balanceMeanRun.Seconds() < wait.Seconds() {
		return up, true
	}
	if other, there, found := ep.pick(all, tried, true); found && (!ok || there < load-0.15) {
		return other, true
	}
	return up, ok
}

func (ep *exactPicker) PickWithCapacity(_ contract.ServiceName, all []datacentre.Upstream, tried []host.ID, _ time.Time) (datacentre.Upstream, bool) {
	for _, remote := range []bool{false, true} {
		if up, load, ok := ep.pick(all, tried, remote); ok && load < 1 {
			return up, true
		}
	}
	return datacentre.Upstream{}, false
}

func (ep *exactPicker) PickLocal(_ contract.ServiceName, all []datacentre.Upstream, tried []host.ID, _ time.Time) (datacentre.Upstream, bool) {
	up, load, ok := ep.pick(all, tried, false)
	return up, ok && load < 1
}

func (ep *exactPicker) Started(datacentre.Upstream) {}

func (ep *exactPicker) Ended(datacentre.Upstream, call.Observation, time.Time) {}

func (ep *exactPicker) ExpectedLatency(contract.ServiceName) time.Duration { return balanceMeanRun }

// chooserOf returns the chooser of a host.
func chooserOf(bm *balanceModel, i int) balancePicker {
	ch := call.NewChooser(call.ChooserConfig{
		DataCentre: dataCentreName(i % balanceDataCentres),
		Rand:       rand.New(rand.NewPCG(bm.cfg.seed, uint64(100+i))),
	})
	for dc := range balanceDataCentres {
		if dc != i%balanceDataCentres {
			ch.SetRTT(dataCentreName(dc), 2*bm.cfg.remoteLatency)
		}
	}
	return ch
}

func exactOf(bm *balanceModel, i int) balancePicker {
	return &exactPicker{
		model: bm,
		local: dataCentreName(i % balanceDataCentres),
		rnd:   rand.New(rand.NewPCG(bm.cfg.seed, uint64(100+i))),
	}
}

// balanceMeshes are the meshes that the choices are compared on.
var balanceMeshes = []balanceConfig{
	{
		hosts:     80,
		upstreams: 40,
		slots:     9,
		length:    18 * time.Second,
		seed:      1,
	},
	{
		hosts:     80,
		upstreams: 40,
		slots:     18,
		length:    18 * time.Second,
		seed:      2,
	},
	{
		hosts:     300,
		upstreams: 120,
		slots:     9,
		length:    18 * time.Second,
		seed:      3,
	},
}

// TestCompareBalance prints what calls and upstreams get from each choice.
func TestCompareBalance(t *testing.T) {
	if !*compare {
		t.Skip("runs with -weigh")
	}
	ways := []struct {
		name   string
		change func(bc *balanceConfig)
	}{
		{name: "chooser", change: func(bc *balanceConfig) { bc.make = chooserOf }},
		{name: "chooser, calls move locally", change: func(bc *balanceConfig) {
			bc.make = chooserOf
			bc.moves = moveLocal
		}},
		{name: "chooser, calls move anywhere", change: func(bc *balanceConfig) {
			bc.make = chooserOf
			bc.moves = moveAny
		}},
		{name: "exact two", change: func(bc *balanceConfig) { bc.make = exactOf }},
		{name: "one queue", change: func(bc *balanceConfig) {
			bc.make = exactOf
			bc.single = true
		}},
	}
	for _, me := range balanceMeshes {
		for _, utilisation := range []float64{0.6, 0.9, 1.1} {
			for _, wa := range ways {
				cfg := me
				cfg.utilisation = utilisation
				wa.change(&cfg)
				t.Logf("%d hosts, %d upstreams of %d, utilisation %.1f, %s: %s", cfg.hosts, cfg.upstreams, cfg.slots, utilisation, wa.name, newBalanceModel(cfg).play().describe(cfg.slots))
			}
		}
	}
}
