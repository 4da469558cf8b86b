package call_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"gotest.tools/v3/assert"

	"lynxfold/core/call"
	"lynxfold/core/contract"
	"lynxfold/core/datacentre"
	"lynxfold/core/host"
)

// hosts is a picker that takes the first host not tried.
type hosts []host.ID

// Pick implements call.Picker.
func (ho hosts) PickSpare(tried []host.ID, now time.Time) (datacentre.Upstream, bool) {
	return ho.Pick(tried, now)
}

func (ho hosts) Pick(tried []host.ID, _ time.Time) (datacentre.Upstream, bool) {
	for _, id := range ho {
		if !slices.Contains(tried, id) {
			return datacentre.Upstream{Host: id}, true
		}
	}
	return datacentre.Upstream{}, false
}

// purse grants as many retries as it holds.
type purse struct {
	left int
}

// Spend implements call.Spender.
func (pu *purse) Spend(time.Time) bool {
	pu.left--
	return pu.left >= 0
}

// callScript drives a call from a data file; 1, 2 and 3 are its attempts.
type callScript struct {
	call  *call.Call
	cfg   call.Config
	now   time.Time
	start time.Time
}

// TestCallScripts plays the stories in testdata/call.
func TestCallScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/call", func(t *testing.T, path string) {
		sc := &callScript{now: time.Unix(1_000_000, 0)}
		datadriven.RunTest(t, path, sc.run)
	})
}

func (sc *callScript) run(t *testing.T, td *datadriven.TestData) string {
	var ev call.Event
	if td.Cmd == "call" {
		sc.open(t, td)
		ev = call.Begin{}
	} else {
		ev = sc.event(t, td)
	}
	var out strings.Builder
	for _, ac := range sc.call.Step(ev, sc.now) {
		out.WriteString(sc.print(ac))
	}
	if at := sc.call.WakeAt(); !at.IsZero() {
		fmt.Fprintf(&out, "wake at %s\n", at.Sub(sc.start))
	}
	return out.String()
}

// open begins a call with a deadline of one second.
func (sc *callScript) open(t *testing.T, td *datadriven.TestData) {
	retries, hedge, budget, hedges, estimate := 2, 0, 10, 10, 0
	td.MaybeScanArgs(t, "retries", &retries)
	td.MaybeScanArgs(t, "hedge", &hedge)
	td.MaybeScanArgs(t, "budget", &budget)
	td.MaybeScanArgs(t, "hedges", &hedges)
	td.MaybeScanArgs(t, "estimate", &estimate)
	list := hosts{"a", "b", "c"}
	if td.HasArg("hosts") {
		var n int
		td.ScanArgs(t, "hosts", &n)
		list = list[:n]
	}
	sc.start = sc.now
	sc.cfg = call.Config{
		Issuer: host.Issuer{Host: "node", Incarnation: 1},
		Number: 1,
		Terms: contract.Terms{
			Idempotent:   td.HasArg("idempotent"),
			Retries:      retries,
			HedgeAfterMS: int64(hedge),
		},
		Deadline:     sc.now.Add(time.Second),
		Margin:       10 * time.Millisecond,
		Replayable:   !td.HasArg("streamed"),
		UpperRetries: td.HasArg("upper-retries"),
		Estimate:     time.Duration(estimate) * time.Millisecond,
		Chooser:      list,
		Budget:       &purse{left: budget},
		Hedges:       &purse{left: hedges},
		ComeBack:     100 * time.Millisecond,
		Jitter:       func() float64 { return 0.5 },
	}
	sc.call = call.New(sc.cfg)
}

// id makes an attempt's id from its number.
func (sc *callScript) id(number string) host.AttemptID {
	id := host.AttemptID("node.1.1." + number)
	if sc.cfg.Terms.Idempotent {
		id += "i"
	}
	return id
}

func (sc *callScript) short(id host.AttemptID) string {
	return strings.TrimSuffix(strings.TrimPrefix(string(id), "node.1.1."), "i")
}

func (sc *callScript) event(t *testing.T, td *datadriven.TestData) call.Event {
	t.Helper()
	name := ""
	if len(td.CmdArgs) > 0 {
		name = td.CmdArgs[0].Key
	}
	var reason string
	td.MaybeScanArgs(t, "reason", &reason)
	re := call.Result{
		Reason:     host.Reason(reason),
		GaveUp:     td.HasArg("gave-up"),
		BodyUnread: td.HasArg("body-unread"),
	}
	if td.HasArg("come-back") {
		var ms int
		td.ScanArgs(t, "come-back", &ms)
		re.ComeBack = sc.now.Add(time.Duration(ms) * time.Millisecond)
	}
	td.MaybeScanArgs(t, "status", &re.Status)
	switch td.Cmd {
	case "ran", "not-run", "unknown":
		re.Outcome = host.Outcome(strings.ReplaceAll(td.Cmd, "-", "_"))
		return call.AttemptEnded{Attempt: sc.id(name), Result: re}
	case "link-lost":
		return call.LinkLost{Attempt: sc.id(name)}
	case "verdict":
		return call.Verdict{Attempt: sc.id(name), Fate: host.Fate(td.CmdArgs[1].Key), Result: re}
	case "ask-failed":
		return call.AskFailed{Attempt: sc.id(name)}
	case "caller-gone":
		return call.CallerGone{}
	case "wait":
		var ms int
		_, err := fmt.Sscan(name, &ms)
		assert.NilError(t, err)
		sc.now = sc.now.Add(time.Duration(ms) * time.Millisecond)
		return call.Tick{}
	}
	t.Fatalf("%s: unknown command %s", td.Pos, td.Cmd)
	return nil
}

func (sc *callScript) print(ac call.Action) string {
	switch ac := ac.(type) {
	case call.Try:
		return fmt.Sprintf("try %s at %s %s\n", sc.short(ac.Attempt), ac.Upstream.Host, ac.Reason)
	case call.Ask:
		return fmt.Sprintf("ask %s of %s until %s\n", sc.short(ac.Attempt), ac.Upstream.Host, ac.WaitUntil.Sub(sc.start))
	case call.Skip:
		return fmt.Sprintf("skip: %s\n", ac.Reason)
	case call.Abandon:
		return fmt.Sprintf("abandon %s\n", sc.short(ac.Attempt))
	case call.Answer:
		back := ""
		if !ac.Result.ComeBack.IsZero() {
			back = " come back in " + ac.Result.ComeBack.Sub(sc.now).String()
		}
		return fmt.Sprintf("answer %q: %s %s status %d gave up %t, no retry: %s%s\n", sc.short(ac.Attempt),
			ac.Result.Outcome, ac.Result.Reason, ac.Result.Status, ac.Result.GaveUp, ac.Retry, back)
	}
	return "unknown action\n"
}
