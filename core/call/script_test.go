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

// listPicker picks the first host in a list that was not tried.
type listPicker []host.ID

// PickWithCapacity implements call.Picker.
func (lp listPicker) PickWithCapacity(tried []host.ID, now time.Time) (datacentre.Upstream, bool) {
	return lp.Pick(tried, now)
}

// Pick implements call.Picker.
func (lp listPicker) Pick(tried []host.ID, _ time.Time) (datacentre.Upstream, bool) {
	for _, id := range lp {
		if !slices.Contains(tried, id) {
			return datacentre.Upstream{Host: id}, true
		}
	}
	return datacentre.Upstream{}, false
}

// fixedBudget is a budget without a refill.
type fixedBudget struct {
	left int
}

// Spend implements call.Spender.
func (fb *fixedBudget) Spend(time.Time) bool {
	fb.left--
	return fb.left >= 0
}

// callScript runs the calls of a data-driven test file, in which the attempts of a
// call are numbered from 1 and times are in milliseconds.
type callScript struct {
	call  *call.Call
	cfg   call.Config
	now   time.Time
	start time.Time
}

// TestCallScripts runs the scripts in testdata/call.
func TestCallScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/call", func(t *testing.T, path string) {
		sc := &callScript{now: time.Unix(1_000_000, 0)}
		datadriven.RunTest(t, path, sc.run)
	})
}

func (sc *callScript) run(t *testing.T, td *datadriven.TestData) string {
	var ev call.Event
	if td.Cmd == "call" {
		sc.begin(t, td)
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

// begin creates a call with a deadline of one second, to at most three hosts.
func (sc *callScript) begin(t *testing.T, td *datadriven.TestData) {
	retries, hedgeAfterMS, retryBudget, hedgeBudget, expectedLatencyMS := 2, 0, 10, 10, 0
	td.MaybeScanArgs(t, "retries", &retries)
	td.MaybeScanArgs(t, "hedge-after", &hedgeAfterMS)
	td.MaybeScanArgs(t, "retry-budget", &retryBudget)
	td.MaybeScanArgs(t, "hedge-budget", &hedgeBudget)
	td.MaybeScanArgs(t, "expected-latency", &expectedLatencyMS)
	list := listPicker{"a", "b", "c"}
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
			HedgeAfterMS: int64(hedgeAfterMS),
		},
		Deadline:          sc.now.Add(time.Second),
		DeadlineMargin:    10 * time.Millisecond,
		Replayable:        !td.HasArg("streamed"),
		UpperLayerRetries: td.HasArg("upper-layer-retries"),
		ExpectedLatency:   time.Duration(expectedLatencyMS) * time.Millisecond,
		Picker:            list,
		RetryBudget:       &fixedBudget{left: retryBudget},
		HedgeBudget:       &fixedBudget{left: hedgeBudget},
		MinRetryAfter:     100 * time.Millisecond,
		Jitter:            func() float64 { return 0.5 },
	}
	sc.call = call.New(sc.cfg)
}

// id returns the id of the attempt with a number.
func (sc *callScript) id(number string) host.AttemptID {
	id := host.AttemptID("node.1.1." + number)
	if sc.cfg.Terms.Idempotent {
		id += "i"
	}
	return id
}

func (sc *callScript) shortID(id host.AttemptID) string {
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
		Reason:      host.Reason(reason),
		GaveUp:      td.HasArg("gave-up"),
		BodyUnread:  td.HasArg("body-unread"),
		RateLimited: td.HasArg("rate-limited"),
	}
	if td.HasArg("retry-after") {
		var ms int
		td.ScanArgs(t, "retry-after", &ms)
		re.RetryAfter = sc.now.Add(time.Duration(ms) * time.Millisecond)
	}
	td.MaybeScanArgs(t, "status", &re.Status)
	switch td.Cmd {
	case "ran", "not-run", "unknown":
		re.Outcome = host.Outcome(strings.ReplaceAll(td.Cmd, "-", "_"))
		return call.AttemptEnded{Attempt: sc.id(name), Result: re}
	case "link-lost":
		return call.LinkLost{Attempt: sc.id(name)}
	case "query-result":
		return call.QueryResult{Attempt: sc.id(name), Fate: host.Fate(td.CmdArgs[1].Key), Result: re}
	case "query-failed":
		return call.QueryFailed{Attempt: sc.id(name)}
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
	case call.SendAttempt:
		return fmt.Sprintf("send %s to %s %s\n", sc.shortID(ac.Attempt), ac.Upstream.Host, ac.Reason)
	case call.QueryAttempt:
		return fmt.Sprintf("query %s at %s until %s\n", sc.shortID(ac.Attempt), ac.Upstream.Host, ac.WaitUntil.Sub(sc.start))
	case call.SkipHedge:
		return fmt.Sprintf("skip hedge: %s\n", ac.Reason)
	case call.CancelAttempt:
		return fmt.Sprintf("cancel %s\n", sc.shortID(ac.Attempt))
	case call.Respond:
		retryAfter := ""
		if !ac.Result.RetryAfter.IsZero() {
			retryAfter = " retry after " + ac.Result.RetryAfter.Sub(sc.now).String()
		}
		return fmt.Sprintf("respond %q: %s %s status %d gave up %t, no retry: %s%s\n", sc.shortID(ac.Attempt),
			ac.Result.Outcome, ac.Result.Reason, ac.Result.Status, ac.Result.GaveUp, ac.NoRetryReason, retryAfter)
	}
	return "unknown action\n"
}
