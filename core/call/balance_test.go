package call_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lynxfold/core/call"
	"lynxfold/core/datacentre"
	"lynxfold/core/host"
)

// smallBalance is a mesh that is played in every test run.
func smallBalance() balanceConfig {
	return balanceConfig{
		hosts:       48,
		upstreams:   24,
		slots:       9,
		utilisation: 0.85,
		length:      9 * time.Second,
		seed:        7,
		make:        chooserOf,
	}
}

func (bf *balanceFigures) inTimeShare() float64 { return float64(bf.inTime) / float64(bf.done) }

// TestBalance guards against the loss of what weighted load reports gain: with the former
// choice, 0.10 of the slot-time was idle while calls waited.
func TestBalance(t *testing.T) {
	bf := newBalanceModel(smallBalance()).play()
	t.Log(bf.describe(9))
	assert.Assert(t, bf.inTimeShare() > 0.95)
	_, stranded := bf.windows(balanceWindows[0], 9)
	assert.Assert(t, stranded < 0.06, "%.3f", stranded)
}

// TestBalanceWithFaults plays upstreams whose reports are false or that shed their calls,
// and compares the calls served in time with the better of two random upstreams by exact
// load, which no report can mislead.
func TestBalanceWithFaults(t *testing.T) {
	isFaulty := func(i int) bool { return i%12 == 0 }
	report := func(lo host.Load, permille uint32) func(i int, ob *call.Observation) {
		return func(i int, ob *call.Observation) {
			if isFaulty(i) {
				ob.Load = lo
				ob.LoadPermille = permille
			}
		}
	}
	for _, it := range []struct {
		name  string
		fault func(i int, ob *call.Observation)
		sheds bool
	}{
		{
			name:  "zero",
			fault: report(host.Load{}, 0),
		},
		{
			name:  "absurd",
			fault: report(host.Load{Running: 1 << 30, Queued: 1 << 30, ServiceTime: time.Hour}, 1<<31),
		},
		{
			name:  "negative",
			fault: report(host.Load{Running: -100, Queued: -100, ServiceTime: -time.Hour, Wait: -time.Hour}, 0),
		},
		{
			name:  "instant",
			fault: report(host.Load{Running: 1, ServiceTime: time.Nanosecond}, 100),
		},
		{
			name:  "sheds",
			sheds: true,
		},
	} {
		t.Run(it.name, func(t *testing.T) {
			cfg := smallBalance()
			cfg.fault = it.fault
			if it.sheds {
				turn := 0
				cfg.sheds = func(i int) bool {
					turn++
					return isFaulty(i) && turn%5 != 0
				}
			}
			got := newBalanceModel(cfg).play()
			cfg.make = exactOf
			two := newBalanceModel(cfg).play()
			t.Logf("in time %.4f, refused %d; two choices %.4f, refused %d", got.inTimeShare(), got.refused, two.inTimeShare(), two.refused)
			// A run has some 10,000 calls; its share has a standard deviation of 0.002.
			assert.Assert(t, got.inTimeShare() >= two.inTimeShare()-0.005)
		})
	}
}

// TestRecoveredUpstreamGetsItsShare plays an upstream whose gate reports that it is idle
// again after it was full: it does not get more than twice its share of the next calls.
func TestRecoveredUpstreamGetsItsShare(t *testing.T) {
	cf := newChooserFixture(t, map[datacentre.Name]int{local: 10})
	busy := succeeded(100*time.Millisecond, 700)
	cf.picks(500, onHost("press-hall-3", succeeded(100*time.Millisecond, 1500), busy))
	cf.chooser.Ended(cf.all[3], succeeded(100*time.Millisecond, 0), cf.now)
	taken := 0
	for range 100 {
		up, found := cf.chooser.Pick(service, cf.all, nil, cf.now)
		assert.Assert(t, found)
		cf.chooser.Started(up)
		if up.Host == "press-hall-3" {
			taken++
		}
	}
	assert.Assert(t, taken <= 20, "%d of 100 calls", taken)
}
