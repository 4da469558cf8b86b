package call_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// count records the end of a call.
func (rl *roomLoad) count(rc *roomCall, served bool) {
	groups := []string{string(rc.kind.name)}
	if rc.customer > 0 {
		group := "usual"
		if rc.customer <= rl.cfg.heavy {
			group = "heavy"
		}
		if rl.cfg.priorities {
			group += fmt.Sprint("-priority-", rl.customerRank(rc.customer)-1)
		}
		groups = append(groups, string(rc.kind.name)+"/"+group)
	}
	for _, group := range groups {
		ta := rl.tallies[group]
		if ta == nil {
			ta = &roomTally{}
			rl.tallies[group] = ta
		}
		ta.calls++
		switch {
		case !served && rc.waited:
			ta.refusedLate++
		case !served:
			ta.refused++
		case rl.now.Sub(rc.begun) <= rc.kind.objective:
			ta.within++
			ta.value += rc.kind.worth
		default:
			ta.late++
			ta.value += rc.kind.lateWorth
		}
	}
}

// format returns what the kinds and customers got.
func (rl *roomLoad) format() string {
	var sb strings.Builder
	fmt.Fprintf(&sb, "%-34s %6s %7s %7s %7s %7s\n", "", "calls", "within", "late", "refused", "waited")
	for _, group := range slices.Sorted(maps.Keys(rl.tallies)) {
		ta := rl.tallies[group]
		share := func(n int) float64 { return float64(n) / float64(ta.calls) }
		fmt.Fprintf(&sb, "%-34s %6d %7.3f %7.3f %7.3f %7.3f\n", group, ta.calls,
			share(ta.within), share(ta.late), share(ta.refused), share(ta.refusedLate))
	}
	bound, value := rl.bound(), rl.value()
	fmt.Fprintf(&sb, "value %.0f of %.0f: %.3f\n", value, bound, value/bound)
	fmt.Fprintf(&sb, "refusals %d, after more than 50 ms %d; attempts per call %.2f\n",
		rl.refusals, rl.slowRefusals, float64(rl.attemptsSent)/float64(len(rl.offered)))
	return sb.String()
}

func (rl *roomLoad) value() float64 {
	value := 0.0
	for _, ki := range rl.cfg.kinds {
		if ta := rl.tallies[string(ki.name)]; ta != nil {
			value += ta.value
		}
	}
	return value
}

func scanMS(t *testing.T, td *datadriven.TestData, key string) time.Duration {
	ms := 0
	td.MaybeScanArgs(t, key, &ms)
	return time.Duration(ms) * time.Millisecond
}

func scanFloat(t *testing.T, td *datadriven.TestData, key string) float64 {
	text, value := "0", 0.0
	td.MaybeScanArgs(t, key, &text)
	if _, err := fmt.Sscan(text, &value); err != nil {
		t.Fatalf("%s: %s: %v", td.Pos, key, err)
	}
	return value
}

func scanPeriod(t *testing.T, td *datadriven.TestData) period {
	return period{from: scanFloat(t, td, "from"), to: scanFloat(t, td, "to")}
}

// TestRoom plays the loads of the data files, which show what each kind of call and each
// customer gets when a service has too few slots.
func TestRoom(t *testing.T) {
	datadriven.Walk(t, "testdata/room", func(t *testing.T, path string) {
		cfg := roomConfig{seed: 1}
		datadriven.RunTest(t, path, func(t *testing.T, td *datadriven.TestData) string {
			switch td.Cmd {
			case "mesh":
				cfg.seconds = scanFloat(t, td, "seconds")
				td.ScanArgs(t, "upstreams", &cfg.upstreams)
				td.ScanArgs(t, "slots", &cfg.slots)
				td.MaybeScanArgs(t, "seed", &cfg.seed)
				cfg.noRetry = td.HasArg("no-retry")
			case "slow":
				cfg.slowdown = scanFloat(t, td, "factor")
				cfg.slowPeriod = scanPeriod(t, td)
			case "shedding":
				td.ScanArgs(t, "upstreams", &cfg.shedding)
				cfg.shedShare = scanFloat(t, td, "share")
			case "customers":
				td.ScanArgs(t, "count", &cfg.customers)
				td.MaybeScanArgs(t, "heavy", &cfg.heavy)
				cfg.heavyFactor = scanFloat(t, td, "factor")
				cfg.heavyPeriod = scanPeriod(t, td)
				cfg.priorities = td.HasArg("priorities")
			case "kind":
				cfg.kinds = append(cfg.kinds, scanKind(t, td))
			case "play":
				rl := newRoomLoad(cfg)
				rl.play()
				return rl.format()
			}
			return ""
		})
	})
}

func scanKind(t *testing.T, td *datadriven.TestData) roomKind {
	ki := roomKind{
		work:          scanMS(t, td, "work"),
		objective:     scanMS(t, td, "objective"),
		timeout:       scanMS(t, td, "timeout"),
		notIdempotent: td.HasArg("not-idempotent"),
		rate:          scanFloat(t, td, "rate"),
		burst:         scanFloat(t, td, "burst"),
		period:        scanPeriod(t, td),
		worth:         scanFloat(t, td, "worth"),
		lateWorth:     scanFloat(t, td, "late-worth"),
	}
	td.ScanArgs(t, "name", (*string)(&ki.name))
	td.ScanArgs(t, "rank", &ki.rank)
	if ki.timeout == 0 {
		ki.timeout = 2 * ki.objective
	}
	return ki
}
