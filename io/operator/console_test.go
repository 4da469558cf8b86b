package operator_test

import (
	"context"
	"fmt"
	"net"
	"net/url"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/datadriven"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"lynxfold/core/contract"
	"lynxfold/core/datacentre"
	"lynxfold/io/operator"
	"lynxfold/io/operator/access"
	"lynxfold/io/operator/record"
	"lynxfold/io/platform"
	"lynxfold/testkit"
)

// startTime is the fixed time of the consoles under test.
var startTime = time.Date(2026, 12, 3, 22, 0, 0, 0, time.UTC)

// store is an in-memory platform together with the view of one node.
type store struct {
	mu   sync.Mutex
	rows []platform.VersionRow
	docs []*contract.Snapshot
	// active is the version that is active on the node.
	active contract.Version
	// lagging keeps the node from activating new versions.
	lagging bool
	down    bool
	// loseReply makes the next write return an InDoubtError after it took effect.
	loseReply bool
	// failReads makes reads of single rows fail.
	failReads bool
	ids       int
}

func newStore() *store { return &store{docs: []*contract.Snapshot{contract.EmptySnapshot()}} }

func (st *store) View() *datacentre.View {
	st.mu.Lock()
	defer st.mu.Unlock()
	return &datacentre.View{
		Config: st.docs[st.active],
		Upstreams: map[contract.ServiceName][]datacentre.Upstream{
			"lookup": {{Host: "press-hall-1"}},
		},
	}
}

func (st *store) Accept(su platform.Submission) (*contract.Delta, error) {
	st.mu.Lock()
	defer st.mu.Unlock()
	next, err := contract.Compile(su.Base.Version+1, su.Document)
	if err != nil {
		return nil, err
	}
	if st.down {
		return nil, &platform.UnavailableError{Op: "store document", Err: context.DeadlineExceeded}
	}
	if int(su.Base.Version) != len(st.docs)-1 {
		return nil, &platform.ConflictError{Key: "config/versions"}
	}
	de := contract.Diff(su.Base, next)
	st.docs = append(st.docs, next)
	st.rows = append(st.rows, platform.VersionRow{
		Version:    next.Version,
		Submission: su.ID,
		Operator:   su.Operator,
		AcceptedAt: su.SubmittedAt,
		Delta:      de,
	})
	if st.loseReply {
		st.loseReply = false
		return nil, &platform.InDoubtError{Op: "table transaction", Err: context.DeadlineExceeded}
	}
	return de, nil
}

func (st *store) onAccepted(de *contract.Delta, _ access.OperatorName) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if !st.lagging {
		st.active = max(st.active, de.Result)
	}
}

func (st *store) Row(_ context.Context, ve contract.Version) (platform.VersionRow, error) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.down || st.failReads {
		return platform.VersionRow{}, &platform.UnavailableError{Op: "read row", Err: context.DeadlineExceeded}
	}
	if ve == 0 || int(ve) > len(st.rows) {
		return platform.VersionRow{}, &platform.NotFoundError{Name: fmt.Sprintf("version %d", ve)}
	}
	return st.rows[ve-1], nil
}

func (st *store) Rows(_ context.Context, after contract.Version, limit int) ([]platform.VersionRow, error) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.down {
		return nil, &platform.UnavailableError{Op: "list rows", Err: context.DeadlineExceeded}
	}
	rows := st.rows[min(int(after), len(st.rows)):]
	return rows[:min(limit, len(rows))], nil
}

func (st *store) Snapshot(ctx context.Context, ve contract.Version) (*contract.Snapshot, error) {
	if _, err := st.Row(ctx, ve); err != nil {
		return nil, err
	}
	return st.docs[ve], nil
}

func (st *store) newID() string {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.ids++
	return fmt.Sprintf("submission-%d", st.ids)
}

// console is a server under test with the browsers of its operators.
type console struct {
	t        *testing.T
	store    *store
	metrics  *metrics.Set
	base     string
	browsers map[string]*testkit.Browser
}

func startConsole(t *testing.T, st *store, tokens []access.Token) *console {
	co := &console{
		t:        t,
		store:    st,
		metrics:  metrics.NewSet(),
		browsers: map[string]*testkit.Browser{},
	}
	sv := operator.New(operator.Config{
		Host:       "press-hall-1",
		DataCentre: "press-hall",
		View:       st.View,
		Acceptor:   st,
		History:    st,
		Explainer:  newRecord(),
		Mesh:       fakeMesh{},
		OnAccepted: st.onAccepted,
		Live:       func() []operator.HealthReason { return nil },
		Ready:      func() []operator.HealthReason { return []operator.HealthReason{operator.HealthNoConfiguration} },
		Tokens:     tokens,
		Metrics:    co.metrics,
		Log:        zerolog.Nop(),
		Now:        func() time.Time { return startTime },
		NewID:      st.newID,
	})
	li, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	done := make(chan struct{})
	go func() {
		_ = sv.Serve(li)
		close(done)
	}()
	t.Cleanup(func() {
		_ = sv.Shutdown()
		<-done
	})
	co.base = "http://" + li.Addr().String()
	return co
}

// newRecord returns a record with decisions of each kind.
func newRecord() *record.Record {
	re := record.New(record.Config{
		ControlEntries: 4,
		CallEntries:    4,
	})
	re.AddControl(record.Entry{At: startTime, Kind: "version_in_force", Version: 1})
	re.AddControl(record.Entry{At: startTime, Kind: "host_dead", Host: "curing-room-1", Detail: "3 probes without an answer"})
	re.AddCall(record.Entry{At: startTime, Kind: record.KindAnswer, Call: "press-hall-1.1.1", Outcome: "ran"})
	return re
}

// browser returns the browser of the named operator.
func (co *console) browser(by string) *testkit.Browser {
	if co.browsers[by] == nil {
		co.browsers[by] = testkit.NewBrowser(co.t, co.base)
		co.browsers[by].Get("/console")
	}
	return co.browsers[by]
}

// TestConsole runs each data file against a console of its own.
func TestConsole(t *testing.T) {
	tokens := []access.Token{
		{Operator: "ana", Role: access.RoleChange, Digest: access.DigestOf("ana-token")},
		{Operator: "ben", Role: access.RoleChange, Digest: access.DigestOf("ben-token")},
		{Operator: "eva", Role: access.RoleRead, Digest: access.DigestOf("eva-token")},
	}
	datadriven.Walk(t, "testdata/console", func(t *testing.T, path string) {
		co := startConsole(t, newStore(), tokens)
		datadriven.RunTest(t, path, co.run)
	})
}

// run executes one directive and returns the page that the operator sees.
func (co *console) run(t *testing.T, td *datadriven.TestData) string {
	by := "ana"
	td.MaybeScanArgs(t, "by", &by)
	switch td.Cmd {
	case "platform":
		co.platform(td)
		return ""
	case "counters":
		return co.counters()
	case "forget-cookies":
		body := co.browser(by).Body
		co.browsers[by] = testkit.NewBrowser(co.t, co.base)
		co.browsers[by].Body = body
		return ""
	}
	br := co.browser(by)
	switch td.Cmd {
	case "login":
		br.Login(by + "-token")
	case "token":
		br.Login(strings.TrimSpace(td.Input))
	case "get":
		br.Get(strings.TrimSpace(td.Input))
	case "press":
		co.press(br, td)
	case "forge":
		form := br.HiddenFields()
		form.Set("form_token", strings.Repeat("0", 64))
		form.Set("go", strings.TrimSpace(td.Input))
		br.Post("/console", form)
	default:
		t.Fatalf("unknown command %s", td.Cmd)
	}
	if td.HasArg("quiet") {
		return fmt.Sprintln(br.Status)
	}
	return br.MainContent()
}

// press reads the button from the first line and the form values from the others.
func (co *console) press(br *testkit.Browser, td *datadriven.TestData) {
	lines := strings.Split(strings.TrimSpace(td.Input), "\n")
	var values []string
	for _, line := range lines[1:] {
		name, value, _ := strings.Cut(line, "=")
		values = append(values, strings.TrimSpace(name), strings.TrimSpace(value))
	}
	br.Press(strings.TrimSpace(lines[0]), values...)
}

func (co *console) platform(td *datadriven.TestData) {
	co.store.mu.Lock()
	defer co.store.mu.Unlock()
	for _, ar := range td.CmdArgs {
		on := len(ar.Vals) == 0 || ar.Vals[0] != "no"
		switch ar.Key {
		case "down":
			co.store.down = on
		case "lose-reply":
			co.store.loseReply = on
		case "fail-reads":
			co.store.failReads = on
		case "lag":
			co.store.lagging = on
			if !on {
				co.store.active = contract.Version(len(co.store.docs) - 1)
			}
		}
	}
}

func (co *console) counters() string {
	var sb strings.Builder
	co.metrics.WritePrometheus(&sb)
	return sb.String()
}

// TestCrossOriginRequests checks that pages of other sites cannot send requests, and that
// a console without tokens rejects foreign host names.
func TestCrossOriginRequests(t *testing.T) {
	co := startConsole(t, newStore(), nil)
	for _, tc := range []struct {
		name   string
		method string
		path   string
		host   string
		origin string
		status int
	}{
		{name: "own page", method: "GET", path: "/console", status: 200},
		{name: "foreign origin reads", method: "GET", path: "/api/config", origin: "http://elsewhere.example", status: 403},
		{name: "foreign origin posts", method: "POST", path: "/api/config", origin: "http://elsewhere.example", status: 403},
		{name: "DNS rebinding", method: "GET", path: "/console", host: "rebound.example", status: 403},
		{name: "post without CSRF token", method: "POST", path: "/console", status: 403},
	} {
		t.Run(tc.name, func(t *testing.T) {
			status := send(t, tc.method, co.base+tc.path, tc.host, tc.origin, url.Values{"go": {"accept"}}.Encode())
			assert.Equal(t, status, tc.status)
		})
	}
}
