package quota_test

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lynxfold/core/contract"
	"lynxfold/core/quota"
)

var tableHosts = flag.Int("quota.hosts", 12, "number of hosts of the played load")

// tableRow is what became of a played load under one design.
type tableRow struct {
	asked, served    int
	belowLimit       int // requests of customers that stay below their limits and are within them
	refusedBelow     int
	largestWindow    float64
	messages, bytes  float64
	waitP50, waitP99 time.Duration
}

// permittedRefusals is the part of the requests below the limit that may be refused.
const permittedRefusals = 0.01

// Played designs. designWithKills is designQuotaHosts while a host is killed and restarted
// every 5 s.
const (
	designQuotaHosts = "quota hosts"
	designWithKills  = "with kills"
)

// TestPlayedLoad compares equal parts, this design, and one request to the quota host for
// each request, under the same load. It guards against refusals below the limit.
func TestPlayedLoad(t *testing.T) {
	for _, design := range []string{"equal parts", designQuotaHosts, "one ask for each"} {
		ro := playAndLog(t, design)
		if design == designQuotaHosts {
			ro.check(t)
		}
	}
}

// TestPlayedLoadWithKills guards against refusals below the limit while quota hosts are
// replaced.
func TestPlayedLoadWithKills(t *testing.T) {
	ro := playAndLog(t, designWithKills)
	ro.check(t)
}

// check checks that few requests below the limit were refused, and that no window has too
// many.
func (ro *tableRow) check(t *testing.T) {
	t.Helper()
	assert.Check(t, float64(ro.refusedBelow) <= permittedRefusals*float64(ro.belowLimit), "refused below the limit")
	assert.Check(t, ro.largestWindow <= 1)
}

func playAndLog(t *testing.T, design string) tableRow {
	t.Helper()
	ro := playTable(design, *tableHosts, 30*time.Second)
	t.Logf("%3d hosts, %-16s asked %6d served %6d below the limit %6d refused of these %5d (%.2f %%) largest window %.2f of allowed, per host %.1f messages/s %.0f bytes/s, wait p50 %v p99 %v",
		*tableHosts, design, ro.asked, ro.served, ro.belowLimit, ro.refusedBelow, 100*float64(ro.refusedBelow)/float64(ro.belowLimit),
		ro.largestWindow, ro.messages, ro.bytes, ro.waitP50, ro.waitP99)
	return ro
}

// reference is the bucket that all requests of a customer would share on one host.
type reference struct {
	bucket *quota.Bucket
	surges bool
	within bool
}

// playTable plays 81 customers with sizes by a power law; six of them send 3 to 8 times
// their usual demand for 5 to 8 s.
func playTable(design string, hosts int, lasts time.Duration) tableRow {
	si := newSim(rand.New(rand.NewPCG(7, uint64(hosts))), hosts, 0.1)
	var ro tableRow
	weights := 0.0
	for i := range 81 {
		weights += math.Pow(float64(i+1), -1.2)
	}
	for i := range 81 {
		cu := contract.CustomerName(fmt.Sprintf("customer-%d", i))
		usual := 1830 * float64(hosts) / 78 * math.Pow(float64(i+1), -1.2) / weights
		li := limitOf(1.6*usual, 1.6*usual, 1)
		si.setLimit(cu, li, 0)
		rf := &reference{
			bucket: quota.NewBucket(li.PerSecond, max(1, li.Burst), si.now.Add(-time.Minute)),
			surges: i%15 == 3,
		}
		begin := si.now.Add(time.Duration(5+i%7) * time.Second)
		end := begin.Add(time.Duration(5+i%4) * time.Second)
		rate := func() float64 {
			if rf.surges && si.now.After(begin) && si.now.Before(end) {
				return usual * float64(3+i%6)
			}
			return usual
		}
		place := si.placement([]time.Duration{0, time.Hour, time.Second}[i%3])
		at := func() *simHost {
			granted, _ := rf.bucket.Take(1, 0, si.now)
			rf.within = granted > 0 && !rf.surges
			if rf.within {
				ro.belowLimit++
			}
			return place()
		}
		si.loadDesign(design, cu, li, rate, at, func() func() {
			within := rf.within
			return func() {
				if within {
					ro.refusedBelow++
				}
			}
		})
	}
	if design == designWithKills {
		for at := 4 * time.Second; at < lasts; at += 5 * time.Second {
			sh := si.hosts[si.rnd.IntN(len(si.hosts))]
			si.playRestart(sh, at, 3*time.Second)
		}
	}
	si.run(lasts)
	si.summarize(&ro, lasts)
	return ro
}

// playRestart kills a host and starts it again.
func (si *sim) playRestart(sh *simHost, at, lasts time.Duration) {
	si.after(at, func() {
		sh.dead, sh.diedAt = true, si.now
		si.topologyChanged(maxDetectTime)
	})
	si.after(at+lasts, func() {
		sh.dead = false
		si.reset(sh, si.now)
		si.refreshView(sh)
		si.topologyChanged(maxJoinTime)
	})
}

// loadDesign lets the requests of a customer arrive under one of the designs.
func (si *sim) loadDesign(design string, cu contract.CustomerName, li quota.Limit, rate func() float64, at func() *simHost, onRefused func() func()) {
	cl := si.customers[cu]
	parts := map[*simHost]*quota.Bucket{}
	part := 1.0
	if design == "equal parts" {
		part = float64(len(si.hosts))
	}
	var next func()
	next = func() {
		sh := at()
		refused := onRefused()
		switch design {
		case "quota hosts", designWithKills:
			si.arrive(cu, sh, refused)
		default:
			if part == 1 {
				si.messages += 2
				si.bytes += requestBytes + replyBytes
				sh = nil
			}
			bu := parts[sh]
			if bu == nil {
				bu = quota.NewBucket(li.PerSecond/part, max(1, li.Burst/part), si.now.Add(-time.Minute))
				parts[sh] = bu
			}
			cl.asked++
			if granted, _ := bu.Take(1, 0, si.now); granted == 0 {
				cl.refused++
				refused()
			} else {
				cl.served = append(cl.served, si.now)
				cl.waits = append(cl.waits, si.roundTrip(part))
			}
		}
		si.after(time.Duration(si.rnd.ExpFloat64()/rate()*float64(time.Second)), next)
	}
	si.after(time.Duration(si.rnd.ExpFloat64()/rate()*float64(time.Second)), next)
}

func (si *sim) roundTrip(part float64) time.Duration {
	if part > 1 {
		return 0
	}
	return si.latency() + si.latency()
}

func (si *sim) summarize(ro *tableRow, lasts time.Duration) {
	var waits []time.Duration
	for _, cl := range si.customers {
		ro.asked += cl.asked
		ro.served += len(cl.served)
		_, part := cl.largestWindow()
		ro.largestWindow = max(ro.largestWindow, part)
		waits = append(waits, cl.waits...)
	}
	slices.Sort(waits)
	perHostSecond := float64(len(si.hosts)) * lasts.Seconds()
	ro.messages = float64(si.messages) / perHostSecond
	ro.bytes = float64(si.bytes) / perHostSecond
	ro.waitP50 = waits[len(waits)/2]
	ro.waitP99 = waits[len(waits)*99/100]
}
