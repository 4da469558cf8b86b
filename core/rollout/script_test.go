package rollout

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"gotest.tools/v3/assert"

	"lynxfold/core/contract"
	"lynxfold/core/host"
)

// TestScripts plays coordinators and followers by hand; each script tells which failure it
// guards against.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var sc *script
		datadriven.RunTest(t, path, func(t *testing.T, td *datadriven.TestData) string {
			if td.Cmd == "order" {
				sc = newScript(t, td)
				return ""
			}
			return sc.run(t, td)
		})
	})
}

// script is a coordinator and a follower that share a clock, but no messages.
type script struct {
	now      time.Time
	start    time.Time
	co       *Coordinator
	follower *Follower
	mesh     Mesh
	totals   map[host.ID]map[Stream]Evidence
}

const scriptService contract.ServiceName = "portal"

func newScript(t *testing.T, td *datadriven.TestData) *script {
	t.Helper()
	duration, phase := 12, ""
	td.MaybeScanArgs(t, "within", &duration)
	td.MaybeScanArgs(t, "phase", &phase)
	start := time.Unix(1_000_000, 0)
	re := Record{
		Service:   scriptService,
		Order:     3,
		Release:   "v2",
		Phase:     PhaseCanary,
		OrderedAt: start,
		Deadline:  start.Add(time.Duration(duration) * time.Second),
	}
	if phase == "shifted" {
		re.Phase = PhaseShifted
		re.Revision = 9
	}
	return &script{
		now:      start,
		start:    start,
		co:       NewCoordinator(CoordinatorConfig{Host: "a", CanaryShare: 0.1, CanarySlack: 50}, re),
		follower: NewFollower(FollowerConfig{Host: "a"}),
		mesh:     Mesh{Hosts: []host.ID{"a", "b"}, OtherHosts: map[host.ID]bool{"b": true}, OfRelease: 4, Others: 4},
		totals:   map[host.ID]map[Stream]Evidence{"a": {}, "b": {}},
	}
}

func (sc *script) run(t *testing.T, td *datadriven.TestData) string {
	t.Helper()
	switch td.Cmd {
	case "at":
		var ms int
		_, err := fmt.Sscan(td.CmdArgs[0].Key, &ms)
		assert.NilError(t, err)
		var out strings.Builder
		for to := sc.start.Add(time.Duration(ms) * time.Millisecond); sc.now.Before(to); {
			sc.now = sc.now.Add(50 * time.Millisecond)
			sc.step(&out, Tick{Mesh: sc.mesh})
		}
		return out.String()
	case "upstreams":
		td.ScanArgs(t, "release", &sc.mesh.OfRelease)
		td.MaybeScanArgs(t, "others", &sc.mesh.Others)
		sc.mesh.Established = td.HasArg("established")
	case "report":
		return sc.report(t, td)
	case "status":
		var out strings.Builder
		order, state := 3, ""
		td.ScanArgs(t, "state", &state)
		td.MaybeScanArgs(t, "order", &order)
		if state == "lost" {
			sc.step(&out, StatusLost{})
			return out.String()
		}
		ph := map[string]Phase{"running": PhaseCanary, "completed": PhaseCompleted, "rolled_back": PhaseRolledBack}[state]
		sc.step(&out, StatusKnown{Status: Status{Order: OrderID(order), Release: "v2", Phase: ph}})
		return out.String()
	case "learn":
		return sc.learn(t, td)
	case "releases":
		present := map[host.Release]bool{}
		for _, ca := range td.CmdArgs {
			present[host.Release(ca.Key)] = true
		}
		sc.follower.SetReleases(scriptService, present, sc.now)
	case "wait":
		span, err := time.ParseDuration(td.CmdArgs[0].Key)
		assert.NilError(t, err)
		sc.now = sc.now.Add(span)
	case "choose":
		return sc.choose(t, td)
	default:
		t.Fatalf("unknown command %s", td.Cmd)
	}
	return ""
}

func (sc *script) step(out *strings.Builder, ev Event) {
	for _, ac := range sc.co.Step(ev, sc.now) {
		at := sc.now.Sub(sc.start)
		switch ac := ac.(type) {
		case Publish:
			re := ac.Record
			_, _ = fmt.Fprintf(out, "%s publish %s share=%d reason=%s confirmed=%t\n", at, re.Phase, re.Share, re.Reason, re.Confirmed)
		case WriteStatus:
			_, _ = fmt.Fprintf(out, "%s write %s\n", at, ac.Record.Phase)
		}
	}
}

// report adds to the totals of a host and sends them; behind reports an earlier revision.
func (sc *script) report(t *testing.T, td *datadriven.TestData) string {
	t.Helper()
	from, release, good, bad, flying := "", "v2", 0, 0, 0
	td.ScanArgs(t, "from", &from)
	td.MaybeScanArgs(t, "release", &release)
	td.MaybeScanArgs(t, "good", &good)
	td.MaybeScanArgs(t, "bad", &bad)
	td.MaybeScanArgs(t, "in_flight", &flying)
	st := Stream{Release: host.Release(release), Route: "r"}
	ev := sc.totals[host.ID(from)][st]
	ev.Sent += uint64(good + bad)
	ev.Observed += uint64(good + bad)
	ev.Failed += uint64(bad)
	sc.totals[host.ID(from)][st] = ev
	revision := sc.co.Record().Revision
	if td.HasArg("behind") {
		revision = 0
	}
	var out strings.Builder
	sc.step(&out, ReportReceived{Report: Report{
		Host:           host.ID(from),
		Order:          3,
		Revision:       revision,
		Evidence:       map[Stream]Evidence{st: ev},
		OthersInFlight: flying,
	}})
	return out.String()
}

func (sc *script) learn(t *testing.T, td *datadriven.TestData) string {
	t.Helper()
	order, release, phase, share, confirmed := 3, "v2", "", 0, false
	td.MaybeScanArgs(t, "order", &order)
	td.MaybeScanArgs(t, "release", &release)
	td.ScanArgs(t, "phase", &phase)
	td.MaybeScanArgs(t, "share", &share)
	confirmed = td.HasArg("confirmed")
	phases := map[string]Phase{"canary": PhaseCanary, "shifted": PhaseShifted, "completed": PhaseCompleted, "rolled_back": PhaseRolledBack}
	sc.follower.Learn(Record{
		Service:     scriptService,
		Order:       OrderID(order),
		Release:     host.Release(release),
		Phase:       phases[phase],
		Share:       Permille(share),
		Coordinator: "b",
		OrderedAt:   sc.now,
		Deadline:    sc.now.Add(12 * time.Second),
		Confirmed:   confirmed,
	}, sc.now)
	return ""
}

// choose sends calls, 1 ms apart, and prints how many may use each release; the
// coordinator is heard all the time with the argument heard.
func (sc *script) choose(t *testing.T, td *datadriven.TestData) string {
	t.Helper()
	calls := 1
	td.MaybeScanArgs(t, "calls", &calls)
	counts := map[host.Release]int{}
	for range calls {
		sc.now = sc.now.Add(time.Millisecond)
		if td.HasArg("heard") {
			sc.follower.Heard(scriptService, sc.follower.services[scriptService].record.Order, sc.now)
		}
		fi := sc.follower.Choose(scriptService, sc.now)
		used := sc.newestAllowed(fi)
		if used == "" {
			used = sc.newestAllowed(fi.Fallback())
		}
		counts[used]++
		at := sc.follower.Started(scriptService, Stream{Release: used, Route: "r"}, fi.Trial, sc.now)
		sc.follower.Ended(at, EndedGood, sc.now)
	}
	accepts := sc.follower.Accepts(scriptService, "v1", sc.now)
	return fmt.Sprintf("v1=%d v2=%d v3=%d gate of v1 accepts=%t\n", counts["v1"], counts["v2"], counts["v3"], accepts)
}

// newestAllowed returns the newest release that the service has and that a filter allows.
func (sc *script) newestAllowed(fi Filter) host.Release {
	used := host.Release("")
	for _, re := range []host.Release{"v1", "v2", "v3"} {
		pr := sc.follower.services[scriptService].releases[re]
		if fi.Allows(re) && pr != nil && pr.absentSince.IsZero() {
			used = re
		}
	}
	return used
}
