package keyed_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"gotest.tools/v3/assert"

	"lynxfold/core/call"
	"lynxfold/core/call/keyed"
	"lynxfold/core/contract"
	"lynxfold/core/datacentre"
	"lynxfold/core/host"
	"lynxfold/testkit"
)

func TestMain(m *testing.M) { testkit.Main(m) }

// firstUntried is a picker that takes the first host that was not tried.
type firstUntried []host.ID

// PickWithCapacity implements call.Picker.
func (fu firstUntried) PickWithCapacity(tried []host.ID, now time.Time) (datacentre.Upstream, bool) {
	return fu.Pick(tried, now)
}

// Pick implements call.Picker.
func (fu firstUntried) Pick(tried []host.ID, _ time.Time) (datacentre.Upstream, bool) {
	for _, id := range fu {
		if !slices.Contains(tried, id) {
			return datacentre.Upstream{Host: id}, true
		}
	}
	return datacentre.Upstream{}, false
}

// fixedBudget grants all retries and writes, or none.
type fixedBudget bool

// Spend implements call.Spender.
func (fb fixedBudget) Spend(time.Time) bool { return bool(fb) }

// script runs a keyed call from a data file. Each command is an event, and its
// expected output lists the actions of the call. Attempts are written as
// node.call.try, such as a.1.2, and rows as state/attempt/host/digest.
type script struct {
	call  *keyed.Call
	now   time.Time
	start time.Time
	op    keyed.Op
}

// TestScripts runs the scripts in testdata.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		sc := &script{now: time.Unix(1_000_000, 0)}
		datadriven.RunTest(t, path, sc.run)
	})
}

func (sc *script) run(t *testing.T, td *datadriven.TestData) string {
	var ev keyed.Event
	if td.Cmd == "call" {
		sc.begin(td)
		ev = call.Begin{}
	} else {
		ev = sc.event(t, td)
	}
	var out strings.Builder
	for _, ac := range sc.call.Step(ev, sc.now) {
		out.WriteString(sc.formatAction(ac))
	}
	if at := sc.call.WakeAt(); !at.IsZero() {
		fmt.Fprintf(&out, "wake at %s\n", at.Sub(sc.start))
	}
	if sc.call.Done() {
		out.WriteString("done\n")
	}
	return out.String()
}

// begin starts a call at node a with a deadline of one second.
func (sc *script) begin(td *datadriven.TestData) {
	list := firstUntried{"h1", "h2", "h3"}
	if td.HasArg("no-upstream") {
		list = nil
	}
	sc.start = sc.now
	sc.call = keyed.New(keyed.Config{
		Issuer: host.Issuer{Host: "a", Incarnation: 1},
		Number: 1,
		Terms: contract.Terms{
			Keyed:   true,
			Retries: 1,
		},
		Digest:         "d",
		Deadline:       sc.now.Add(time.Second),
		DeadlineMargin: 10 * time.Millisecond,
		MinRetryAfter:  100 * time.Millisecond,
		Picker:         list,
		RetryBudget:    fixedBudget(true),
		WriteBudget:    fixedBudget(!td.HasArg("no-writes")),
		Jitter:         func() float64 { return 0.5 },
	})
}

// attemptID converts node.call.try into an attempt's id.
func attemptID(name string) host.AttemptID {
	node, rest, _ := strings.Cut(name, ".")
	return host.AttemptID(node + ".1." + rest)
}

func shortID(id host.AttemptID) string { return strings.Replace(string(id), ".1.", ".", 1) }

func (sc *script) event(t *testing.T, td *datadriven.TestData) keyed.Event {
	t.Helper()
	name := ""
	if len(td.CmdArgs) > 0 {
		name = td.CmdArgs[0].Key
	}
	var reason string
	td.MaybeScanArgs(t, "reason", &reason)
	re := call.Result{Reason: host.Reason(reason)}
	td.MaybeScanArgs(t, "status", &re.Status)
	switch td.Cmd {
	case "ran", "not-run", "unknown":
		re.Outcome = host.Outcome(strings.ReplaceAll(td.Cmd, "-", "_"))
		return call.AttemptEnded{Attempt: attemptID(name), Result: re}
	case "row":
		return sc.row(t, td, name)
	case "link-lost":
		return call.LinkLost{Attempt: attemptID(name)}
	case "query-result":
		return call.QueryResult{Attempt: attemptID(name), Fate: host.Fate(td.CmdArgs[1].Key), Result: re}
	case "query-failed":
		return call.QueryFailed{Attempt: attemptID(name)}
	case "caller-gone":
		return call.CallerGone{}
	case "pause":
		// The clock advances while the process is suspended, so that no Tick is
		// sent.
		var ms int
		_, err := fmt.Sscan(name, &ms)
		assert.NilError(t, err)
		sc.now = sc.now.Add(time.Duration(ms) * time.Millisecond)
		return nil
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

// row builds the result of the operation in progress.
func (sc *script) row(t *testing.T, td *datadriven.TestData, name string) keyed.Event {
	t.Helper()
	ev := keyed.RowResult{
		Op: sc.op,
		Status: map[string]keyed.OpStatus{
			"done":     keyed.OpDone,
			"absent":   keyed.OpAbsent,
			"conflict": keyed.OpConflict,
			"failed":   keyed.OpFailed,
			"in-doubt": keyed.OpInDoubt,
		}[name],
	}
	if td.HasArg("stale") {
		ev.Op--
	}
	var text, etag string
	td.MaybeScanArgs(t, "is", &text)
	td.MaybeScanArgs(t, "etag", &etag)
	ev.ETag = keyed.ETag(etag)
	if parts := strings.Split(text, "/"); len(parts) == 4 {
		ev.Row = keyed.Row{
			State:     keyed.RowState(parts[0]),
			Attempt:   attemptID(parts[1]),
			Upstream:  datacentre.Upstream{Host: host.ID(parts[2])},
			Digest:    keyed.Digest(parts[3]),
			HasAnswer: td.HasArg("answer"),
		}
	}
	return ev
}

func formatRow(row keyed.Row) string {
	return fmt.Sprintf("%s/%s/%s/%s", row.State, shortID(row.Attempt), row.Upstream.Host, row.Digest)
}

func (sc *script) formatAction(ac keyed.Action) string {
	switch ac := ac.(type) {
	case keyed.ReadRow:
		sc.op = ac.Op
		return "read row\n"
	case keyed.CreateRow:
		sc.op = ac.Op
		return fmt.Sprintf("create row %s\n", formatRow(ac.Row))
	case keyed.UpdateRow:
		sc.op = ac.Op
		return fmt.Sprintf("update row %s to %s\n", ac.ETag, formatRow(ac.Row))
	case keyed.AnswerFromRow:
		return fmt.Sprintf("answer from row %s\n", formatRow(ac.Row))
	case call.SendAttempt:
		return fmt.Sprintf("send %s to %s\n", shortID(ac.Attempt), ac.Upstream.Host)
	case call.QueryAttempt:
		return fmt.Sprintf("query %s at %s until %s\n", shortID(ac.Attempt), ac.Upstream.Host, ac.WaitUntil.Sub(sc.start))
	case call.Respond:
		retryAfter := ""
		if !ac.Result.RetryAfter.IsZero() {
			retryAfter = ", retry after " + ac.Result.RetryAfter.Sub(sc.now).String()
		}
		return fmt.Sprintf("answer %q: %s %s%s\n", shortID(ac.Attempt), ac.Result.Outcome, ac.Result.Reason, retryAfter)
	}
	return "unknown action\n"
}
