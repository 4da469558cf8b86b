package host_test

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"gotest.tools/v3/assert"

	"lynxfold/core/contract"
	"lynxfold/core/host"
	"lynxfold/testkit"
)

func TestMain(m *testing.M) { testkit.Main(m) }

// script runs the commands of a test data file against a gate. Attempts have short
// names: 7 is the first attempt of call 7 of a node, and 7i an idempotent one.
type script struct {
	gate      *host.Gate
	now       time.Time
	start     time.Time
	lastQuery host.QueryID
	// lastSequence is the number of the last announcement that names its instance.
	lastSequence uint64
}

const incarnation = 5

func newScript() *script {
	now := time.Unix(1_000_000, 0)
	return &script{
		now:   now,
		start: now,
	}
}

// TestGateScripts runs the files in testdata/gate.
func TestGateScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/gate", func(t *testing.T, path string) {
		sc := newScript()
		datadriven.RunTest(t, path, sc.run)
	})
}

func (sc *script) run(t *testing.T, td *datadriven.TestData) string {
	if td.Cmd == "gate" {
		sc.newGate(t, td)
		return ""
	}
	if td.Cmd == "state" {
		return fmt.Sprintf("running %d orphaned %d queued %d ledger %d kept %d load %d\n",
			sc.gate.Running(), sc.gate.Orphaned(), sc.gate.Queued(), sc.gate.LedgerEntries(),
			sc.gate.KeptBytes(), sc.gate.LoadPermille(sc.now))
	}
	ev := sc.event(t, td)
	if an, ok := ev.(host.Announced); ok && !sc.gate.AcceptAnnouncement(an.Announcement, sc.now) {
		return "rejected\n"
	}
	var out strings.Builder
	for _, ac := range sc.gate.Step(ev, sc.now) {
		out.WriteString(sc.formatAction(ac))
	}
	if out.Len() == 0 {
		return "no actions\n"
	}
	return out.String()
}

// newGate creates the gate from the arguments of its command.
func (sc *script) newGate(t *testing.T, td *datadriven.TestData) {
	queue, entries, bytes := 1, 100, 1000
	lag, keep := 0, 60_000
	td.MaybeScanArgs(t, "queue-per-slot", &queue)
	td.MaybeScanArgs(t, "max-entries", &entries)
	td.MaybeScanArgs(t, "max-answer-bytes", &bytes)
	td.MaybeScanArgs(t, "announce-lag", &lag)
	td.MaybeScanArgs(t, "keep-for", &keep)
	sc.gate = host.NewGate(host.Config{
		Incarnation:       incarnation,
		QueuePerSlot:      queue,
		DefaultRetryAfter: time.Second,
		DrainGrace:        3 * time.Second,
		AnnounceLag:       time.Duration(lag) * time.Millisecond,
		Ledger: host.LedgerConfig{
			KeepFor:        time.Duration(keep) * time.Millisecond,
			MaxEntries:     entries,
			MaxAnswerBytes: bytes,
		},
	})
}

// attemptID expands the short name of an attempt.
func attemptID(name string) host.AttemptID {
	call, idempotent := strings.CutSuffix(name, "i")
	text := "node-1.3." + call + ".1"
	if idempotent {
		text += "i"
	}
	return host.AttemptID(text)
}

// shortName is the reverse of attemptID.
func shortName(id host.AttemptID) string {
	text := strings.TrimPrefix(string(id), "node-1.3.")
	return strings.Replace(text, ".1", "", 1)
}

// event parses a command into an event; advance also moves the clock, in milliseconds.
func (sc *script) event(t *testing.T, td *datadriven.TestData) host.Event {
	t.Helper()
	name := ""
	if len(td.CmdArgs) > 0 {
		name = td.CmdArgs[0].Key
	}
	switch td.Cmd {
	case "announce":
		return sc.announced(t, td)
	case "arrive":
		return sc.arrived(t, td, name)
	case "started":
		return host.Started{ID: attemptID(name)}
	case "ran":
		kept := 0
		td.MaybeScanArgs(t, "kept", &kept)
		return host.Ended{ID: attemptID(name), Outcome: host.OutcomeRan, KeptBytes: kept}
	case "connect-failed":
		return host.Ended{ID: attemptID(name), Outcome: host.OutcomeNotRun, Reason: host.ReasonUpstreamConnect}
	case "broken":
		return host.Ended{
			ID:          attemptID(name),
			Outcome:     host.OutcomeUnknown,
			Reason:      host.ReasonUpstreamBroken,
			MayStillRun: td.HasArg("still-working"),
		}
	case "cancel":
		return host.Cancelled{ID: attemptID(name)}
	case "query":
		return sc.queried(t, td, name)
	case "upstream-lost":
		return host.UpstreamLost{Refused: td.HasArg("refused")}
	case "raise-incarnation":
		in := uint64(0)
		td.ScanArgs(t, "incarnation", &in)
		return host.IncarnationRaised{Incarnation: host.Incarnation(in)}
	case "notice":
		return sc.noticed(t, td)
	case "nested-called":
		return sc.nestedCalled(t, td, name)
	case "drain":
		after := 0
		td.MaybeScanArgs(t, "after", &after)
		return host.Drain{RefuseFrom: sc.now.Add(time.Duration(after) * time.Millisecond)}
	case "stopping":
		in := 0
		td.MaybeScanArgs(t, "in", &in)
		return host.Stopping{At: sc.now.Add(time.Duration(in) * time.Millisecond)}
	case "advance":
		var ms int
		_, err := fmt.Sscan(name, &ms)
		assert.NilError(t, err)
		sc.now = sc.now.Add(time.Duration(ms) * time.Millisecond)
		return host.Tick{}
	}
	t.Fatalf("%s: unknown command %s", td.Pos, td.Cmd)
	return nil
}

func (sc *script) announced(t *testing.T, td *datadriven.TestData) host.Event {
	slots, connections, inFlight, state := 1, 0, 0, "ready"
	td.MaybeScanArgs(t, "slots", &slots)
	td.MaybeScanArgs(t, "connections", &connections)
	td.MaybeScanArgs(t, "in-flight", &inFlight)
	td.MaybeScanArgs(t, "state", &state)
	states := map[string]host.State{
		"ready":    host.StateReady,
		"draining": host.StateDraining,
		"gone":     host.StateGone,
	}
	an := host.Announcement{
		Service:     "booking",
		Address:     "127.0.0.1:9",
		Slots:       host.Slots(slots),
		Connections: connections,
		State:       states[state],
		InFlight:    inFlight,
	}
	td.MaybeScanArgs(t, "instance", (*string)(&an.Instance))
	if an.Instance != "" {
		an.StartedAt = scanStart(t, td)
		sc.lastSequence++
		an.Sequence = sc.lastSequence
	}
	return host.Announced{
		Announcement: an,
		ExpiresAt:    sc.now.Add(time.Minute),
	}
}

// nestedCalled returns the event that the upstream calls a service while it runs a request.
// lost and nested-lost are the percentages of the service's direct and nested calls that
// are refused; parent-lost is that of the calls to the upstream's own service.
func (sc *script) nestedCalled(t *testing.T, td *datadriven.TestData, parent string) host.Event {
	rank, lost, nestedLost, parentLost := 1, 0, 0, 0
	td.MaybeScanArgs(t, "rank", &rank)
	td.MaybeScanArgs(t, "lost", &lost)
	td.MaybeScanArgs(t, "nested-lost", &nestedLost)
	td.MaybeScanArgs(t, "parent-lost", &parentLost)
	return host.NestedCalled{
		Parent:  host.RequestID(parent),
		Service: "billing",
		Shortages: []host.Shortage{
			{
				Rank:    rank,
				Refused: float64(lost) / 100,
			},
			{
				Nested:  true,
				Refused: float64(nestedLost) / 100,
			},
		},
		ParentShortages: []host.Shortage{
			{
				Rank:   2,
				Failed: float64(parentLost) / 100,
			},
		},
	}
}

// noticed returns what a response states whose request was sent sent-ago milliseconds
// before.
func (sc *script) noticed(t *testing.T, td *datadriven.TestData) host.Event {
	ago := 0
	td.MaybeScanArgs(t, "sent-ago", &ago)
	no := host.Notice{
		RateLimit: scanLimit(t, td),
		Leaving:   td.HasArg("leaving"),
	}
	td.MaybeScanArgs(t, "unreadable", &no.UnreadableLimit)
	return host.Noticed{
		SentAt: sc.now.Add(-time.Duration(ago) * time.Millisecond),
		Notice: no,
	}
}

// scanStart returns the start time in the argument started; zero if there is none.
func scanStart(t *testing.T, td *datadriven.TestData) time.Time {
	if !td.HasArg("started") {
		return time.Time{}
	}
	started := 0
	td.ScanArgs(t, "started", &started)
	return time.Unix(int64(started), 0)
}

// scanLimit returns the rate limit in the argument limit.
func scanLimit(t *testing.T, td *datadriven.TestData) host.RateLimit {
	if !td.HasArg("limit") {
		return host.RateLimit{}
	}
	text := ""
	td.ScanArgs(t, "limit", &text)
	rate, err := strconv.ParseFloat(text, 64)
	assert.NilError(t, err)
	return host.RateLimit{
		Limited:   true,
		PerSecond: host.RequestRate(rate),
	}
}

// peerNotice returns what the sender of an attempt knows of the upstream: its rate limit,
// and how many milliseconds ago it heard that the upstream is leaving.
func (sc *script) peerNotice(t *testing.T, td *datadriven.TestData) host.PeerNotice {
	no := host.PeerNotice{RateLimit: scanLimit(t, td)}
	if td.HasArg("leaving-for") {
		ms := 0
		td.ScanArgs(t, "leaving-for", &ms)
		no.LeavingSince = sc.now.Add(-time.Duration(ms) * time.Millisecond)
	}
	an := host.Announcement{}
	td.MaybeScanArgs(t, "instance", (*string)(&an.Instance))
	an.StartedAt = scanStart(t, td)
	no.Process = host.ProcessOf(an)
	return no
}

func (sc *script) arrived(t *testing.T, td *datadriven.TestData, name string) host.Event {
	at := host.Attempt{
		ID:          attemptID(name),
		Incarnation: incarnation,
		Service:     "booking",
		Class:       contract.ClassLookup,
		Deadline:    sc.now.Add(time.Second),
	}
	if td.HasArg("bulk") {
		at.Class = contract.ClassBulk
	}
	if td.HasArg("incarnation") {
		td.ScanArgs(t, "incarnation", (*uint64)(&at.Incarnation))
	}
	if td.HasArg("verbatim") {
		at.ID = host.AttemptID(name)
	}
	if td.HasArg("timeout") {
		var ms int
		td.ScanArgs(t, "timeout", &ms)
		at.Deadline = sc.now.Add(time.Duration(ms) * time.Millisecond)
	}
	if td.HasArg("objective") {
		var ms int
		td.ScanArgs(t, "objective", &ms)
		at.Objective = sc.now.Add(time.Duration(ms) * time.Millisecond)
		at.CallerRetry = td.HasArg("caller-retry")
	}
	at.Quarantine.Isolated = td.HasArg("isolated")
	if td.HasArg("quarantined-for") {
		var ms int
		td.ScanArgs(t, "quarantined-for", &ms)
		at.Quarantine.Until = sc.now.Add(time.Duration(ms) * time.Millisecond)
	}
	at.ServedLately = td.HasArg("served-lately")
	td.MaybeScanArgs(t, "fingerprint", (*uint64)(&at.Fingerprint))
	td.MaybeScanArgs(t, "rank", &at.Rank)
	td.MaybeScanArgs(t, "customer", (*string)(&at.Customer))
	td.MaybeScanArgs(t, "customer-rank", &at.CustomerRank)
	td.MaybeScanArgs(t, "request", (*string)(&at.Request))
	td.MaybeScanArgs(t, "kind", (*string)(&at.Kind))
	td.MaybeScanArgs(t, "body", &at.BodyBytes)
	if td.HasArg("body-wait") {
		var ms int
		td.ScanArgs(t, "body-wait", &ms)
		at.BodyWait = time.Duration(ms) * time.Millisecond
	}
	at.Nested = td.HasArg("nested")
	at.NoQueue = td.HasArg("no-queue")
	at.Notice = sc.peerNotice(t, td)
	return host.Arrived{Attempt: at}
}

func (sc *script) queried(t *testing.T, td *datadriven.TestData, name string) host.Event {
	sc.lastQuery++
	qu := host.Queried{
		Query:       sc.lastQuery,
		ID:          attemptID(name),
		Incarnation: incarnation,
	}
	if td.HasArg("incarnation") {
		td.ScanArgs(t, "incarnation", (*uint64)(&qu.Incarnation))
	}
	if td.HasArg("wait") {
		var ms int
		td.ScanArgs(t, "wait", &ms)
		qu.WaitUntil = sc.now.Add(time.Duration(ms) * time.Millisecond)
	}
	return qu
}

// formatAction returns the line of output for an action.
func (sc *script) formatAction(ac host.Action) string {
	switch ac := ac.(type) {
	case host.Dispatch:
		return fmt.Sprintf("dispatch %s\n", shortName(ac.ID))
	case host.Refuse:
		retry := "elsewhere"
		if !ac.RetryAfter.IsZero() {
			retry = "in " + ac.RetryAfter.Sub(sc.now).String()
		}
		why := string(ac.Reason)
		if ac.RateLimited {
			why += " by the rate limit"
		}
		return fmt.Sprintf("refuse %s: %s, retry %s\n", shortName(ac.ID), why, retry)
	case host.RefuseArrival:
		return fmt.Sprintf("refuse arrival %s: %s, not run %t\n", shortName(ac.ID), ac.Reason, ac.NotRun)
	case host.Interrupt:
		return fmt.Sprintf("interrupt %s\n", shortName(ac.ID))
	case host.AnswerQuery:
		return fmt.Sprintf("answer query %d for %s: %s %s\n", ac.Query, shortName(ac.ID), ac.Fate, ac.Reason)
	case host.RateLimitChanged:
		return fmt.Sprintf("rate limit %s, was %s\n", formatLimit(ac.After), formatLimit(ac.Before))
	case host.UpstreamCrashed:
		return fmt.Sprintf("crashed %s %s\n", ac.Instance, strings.Trim(fmt.Sprint(ac.Suspects), "[]"))
	case host.UpstreamLeaving:
		return "upstream leaves\n"
	case host.DropAnswer:
		return fmt.Sprintf("drop answer %s\n", shortName(ac.ID))
	}
	return "unknown action\n"
}

func formatLimit(li host.RateLimit) string {
	if !li.Limited {
		return "none"
	}
	return strconv.FormatFloat(float64(li.PerSecond), 'g', -1, 64)
}

// TestAttemptIDs checks that formatted IDs are parsed back and malformed ones rejected.
func TestAttemptIDs(t *testing.T) {
	for _, or := range []host.Origin{
		{Issuer: host.Issuer{Host: "press-hall-1", Incarnation: 7}, Call: 12, Try: 1},
		{Issuer: host.Issuer{Host: "a.b.c", Incarnation: 1 << 62}, Call: 1 << 63, Try: 1 << 31, Idempotent: true},
	} {
		parsed, ok := or.ID().Origin()
		assert.Assert(t, ok, "%s", or.ID())
		assert.DeepEqual(t, parsed, or)
	}
	for _, id := range []host.AttemptID{"", "a", "a.1.2", ".1.2.3", "a.1.2.x", "a.1.2.-3", "a.1.2.99999999999", "a.1..3i"} {
		_, ok := id.Origin()
		assert.Assert(t, !ok, "%s", id)
	}
}

// TestIssuersAreBounded checks that the watermark of the oldest issuer is dropped when
// there are too many. All attempts of this issuer are then reported as unknown; those of
// newer issuers are not affected.
func TestIssuersAreBounded(t *testing.T) {
	ga := host.NewGate(host.Config{
		Incarnation: incarnation,
		Ledger: host.LedgerConfig{
			KeepFor:    time.Second,
			MaxIssuers: 2,
		},
	})
	now := time.Unix(1_000_000, 0)
	from := func(inc host.Incarnation, call uint64) host.AttemptID {
		return host.Origin{
			Issuer: host.Issuer{Host: host.ID(fmt.Sprint("node-", inc)), Incarnation: inc},
			Call:   call,
			Try:    1,
		}.ID()
	}
	queryFate := func(id host.AttemptID) host.Fate {
		acts := ga.Step(host.Queried{ID: id, Incarnation: incarnation}, now)
		return acts[0].(host.AnswerQuery).Fate
	}
	for inc := range host.Incarnation(3) {
		assert.Equal(t, queryFate(from(inc+1, 5)), host.FateNeverSeen)
	}
	now = now.Add(time.Second)
	ga.Step(host.Tick{}, now)
	assert.Equal(t, ga.LedgerEntries(), 0)
	for inc := range host.Incarnation(3) {
		assert.Equal(t, queryFate(from(inc+1, 5)), host.FateUnknown, "issuer %d", inc+1)
	}
	assert.Equal(t, queryFate(from(1, 6)), host.FateUnknown, "its watermark was dropped")
	assert.Equal(t, queryFate(from(2, 6)), host.FateNeverSeen)
	assert.Equal(t, queryFate(from(4, 1)), host.FateNeverSeen)
}

// TestRestartedIssuer checks that attempts of a former incarnation of the issuer are
// reported as unknown, and that call numbers of a new one start again.
func TestRestartedIssuer(t *testing.T) {
	ga := host.NewGate(host.Config{
		Incarnation: incarnation,
		Ledger:      host.LedgerConfig{KeepFor: time.Second},
	})
	now := time.Unix(1_000_000, 0)
	queryFate := func(inc host.Incarnation, call uint64) host.Fate {
		id := host.Origin{Issuer: host.Issuer{Host: "a", Incarnation: inc}, Call: call, Try: 1}.ID()
		return ga.Step(host.Queried{ID: id, Incarnation: incarnation}, now)[0].(host.AnswerQuery).Fate
	}
	assert.Equal(t, queryFate(2, 9), host.FateNeverSeen)
	now = now.Add(time.Second)
	ga.Step(host.Tick{}, now)
	assert.Equal(t, queryFate(2, 9), host.FateUnknown)
	assert.Equal(t, queryFate(2, 10), host.FateNeverSeen)
	assert.Equal(t, queryFate(1, 11), host.FateUnknown, "an older incarnation")
	assert.Equal(t, queryFate(3, 1), host.FateNeverSeen, "call numbers of a newer incarnation start again")
}
