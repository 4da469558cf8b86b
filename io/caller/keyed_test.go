package caller

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lynxfold/core/wire"
	"lynxfold/io/platform"
	platformstandin "lynxfold/io/platform/standin"
	"lynxfold/io/upstream/standin"
)

// tableKeys are the rows of keyed calls on a stand-in platform, with faults.
type tableKeys struct {
	*platform.Keys

	mu sync.Mutex
	// fail is asked before each write; nil lets it through.
	fail func(state string) error
	// loseReply has the write take effect and its reply lost.
	loseReply func(state string) bool
	writes    int
}

func startKeys(t *testing.T) *tableKeys {
	t.Helper()
	sv := platformstandin.New()
	li, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = sv.Serve(li) }()
	t.Cleanup(func() { _ = sv.Shutdown() })
	url := "http://" + li.Addr().String()
	return &tableKeys{
		Keys: platform.NewKeys(platform.NewClient(platform.Config{
			TableURL:  url,
			ObjectURL: url,
			Timeout:   time.Second,
		})),
	}
}

type put func(ctx context.Context) (platform.KeyRecord, error)

func (tk *tableKeys) write(ctx context.Context, state string, write put) (platform.KeyRecord, error) {
	tk.mu.Lock()
	fail, lose := tk.fail, tk.loseReply
	tk.writes++
	tk.mu.Unlock()
	if fail != nil {
		if err := fail(state); err != nil {
			return platform.KeyRecord{}, err
		}
	}
	re, err := write(ctx)
	if err == nil && lose != nil && lose(state) {
		return platform.KeyRecord{}, &platform.InDoubtError{}
	}
	return re, err
}

func (tk *tableKeys) Claim(ctx context.Context, re platform.KeyRecord) (platform.KeyRecord, error) {
	return tk.write(ctx, "claimed", func(ctx context.Context) (platform.KeyRecord, error) {
		return tk.Keys.Claim(ctx, re)
	})
}

func (tk *tableKeys) Finish(ctx context.Context, re platform.KeyRecord, an []byte) (platform.KeyRecord, error) {
	return tk.write(ctx, "finished", func(ctx context.Context) (platform.KeyRecord, error) {
		return tk.Keys.Finish(ctx, re, an)
	})
}

func (tk *tableKeys) GiveUp(ctx context.Context, re platform.KeyRecord) (platform.KeyRecord, error) {
	return tk.write(ctx, "given_up", func(ctx context.Context) (platform.KeyRecord, error) {
		return tk.Keys.GiveUp(ctx, re)
	})
}

// certify makes a keyed call.
func (si *site) certify(t *testing.T, key, body string) (*http.Response, string) {
	t.Helper()
	rq, err := http.NewRequest("POST", "http://"+si.address+"/certificates", strings.NewReader(body))
	assert.NilError(t, err)
	rq.Header.Set(HeaderKey, key)
	rq.Header.Set(standin.HeaderCall, key)
	cl := &http.Client{
		Transport: &http.Transport{DisableKeepAlives: true},
		Timeout:   generous,
	}
	rs, err := cl.Do(rq)
	assert.NilError(t, err)
	defer func() { _ = rs.Body.Close() }()
	data, err := io.ReadAll(rs.Body)
	assert.NilError(t, err)
	return rs, string(data)
}

func startKeyed(t *testing.T, writesPerSecond float64) (*site, *tableKeys) {
	t.Helper()
	tk := startKeys(t)
	si := startSite(t, Config{
		Keys:                 tk,
		KeyedWritesPerSecond: writesPerSecond,
	}, standin.Config{})
	return si, tk
}

// TestKeyedRepeats gives every repeat the first answer and runs the call once.
func TestKeyedRepeats(t *testing.T) {
	si, _ := startKeyed(t, 1000)
	rs, first := si.certify(t, "k1", "cube 17")
	assert.Equal(t, rs.StatusCode, 200, "%s", first)
	assert.Equal(t, rs.Header.Get(HeaderReplayed), "")
	for range 3 {
		rs, again := si.certify(t, "k1", "cube 17")
		assert.Equal(t, rs.StatusCode, 200)
		assert.Equal(t, again, first)
		assert.Equal(t, rs.Header.Get(HeaderOutcome), "ran")
	}
	rs, _ = si.certify(t, "k1", "cube 18")
	assert.Equal(t, rs.StatusCode, 422)
	assert.Equal(t, rs.Header.Get(HeaderReason), "key_reused")
	assert.Equal(t, len(si.ledger()), 1)
}

// TestKeyedSideBySide makes the same call from many callers at once.
func TestKeyedSideBySide(t *testing.T) {
	si, _ := startKeyed(t, 1000)
	var done sync.WaitGroup
	for range 16 {
		done.Go(func() {
			rs, data := si.certify(t, "k2", "cube 17")
			assert.Check(t, rs.StatusCode == 200, "%d %s", rs.StatusCode, data)
		})
	}
	done.Wait()
	assert.Equal(t, len(si.ledger()), 1)
}

// TestKeyedTableFaults runs a call at most once whatever the table does.
func TestKeyedTableFaults(t *testing.T) {
	for _, it := range []struct {
		name    string
		fault   func(tk *tableKeys)
		outcome string
		runs    int
	}{
		{
			name: "table down",
			fault: func(tk *tableKeys) {
				tk.fail = func(string) error { return &platform.UnavailableError{} }
			},
			outcome: "not_run",
		},
		{
			name: "reply to the claim lost",
			fault: func(tk *tableKeys) {
				tk.loseReply = func(state string) bool { return state == "claimed" }
			},
			outcome: "ran",
			runs:    1,
		},
		{
			name: "reply to the end lost",
			fault: func(tk *tableKeys) {
				tk.loseReply = func(state string) bool { return state == "finished" }
			},
			outcome: "ran",
			runs:    1,
		},
	} {
		t.Run(it.name, func(t *testing.T) {
			si, tk := startKeyed(t, 1000)
			it.fault(tk)
			rs, data := si.certify(t, "k3", "cube 17")
			assert.Equal(t, rs.Header.Get(HeaderOutcome), it.outcome, "%s", data)
			assert.Equal(t, len(si.ledger()), it.runs)
			tk.mu.Lock()
			tk.fail, tk.loseReply = nil, nil
			tk.mu.Unlock()
			rs, data = si.certify(t, "k3", "cube 17")
			assert.Equal(t, rs.Header.Get(HeaderOutcome), "ran", "%s", data)
			assert.Equal(t, len(si.ledger()), 1)
		})
	}
}

// TestKeyedCallerGone sees a call through whose caller has gone; its repeat gets
// the answer.
func TestKeyedCallerGone(t *testing.T) {
	si, _ := startKeyed(t, 1000)
	nc, _ := si.dial(t)
	_, err := io.WriteString(nc, "POST /certificates?work=300ms HTTP/1.1\r\nHost: x\r\nCall-Id: k4\r\n"+
		HeaderKey+": k4\r\nContent-Length: 7\r\n\r\ncube 17")
	assert.NilError(t, err)
	eventually(t, "the call runs", func() bool { return len(si.ledger()) == 1 })
	assert.NilError(t, nc.Close())
	eventually(t, "the call has ended", func() bool { return !si.ledger()[0].FinishedAt.IsZero() })
	assert.Check(t, !si.ledger()[0].Cancelled)
	rq, err := http.NewRequest("POST", "http://"+si.address+"/certificates?work=300ms", strings.NewReader("cube 17"))
	assert.NilError(t, err)
	rq.Header.Set(HeaderKey, "k4")
	rs, err := http.DefaultClient.Do(rq)
	assert.NilError(t, err)
	defer func() { _ = rs.Body.Close() }()
	assert.Equal(t, rs.Header.Get(HeaderOutcome), "ran")
	assert.Equal(t, len(si.ledger()), 1)
}

// TestKeyedBadRequests refuses what can't be a keyed call.
func TestKeyedBadRequests(t *testing.T) {
	si, _ := startKeyed(t, 1000)
	for reason, it := range map[string]struct {
		key, body string
		status    int
	}{
		"key_missing":         {body: "x", status: 400},
		"key_malformed":       {key: strings.Repeat("k", 256), body: "x", status: 400},
		"keyed_body_too_long": {key: "k", body: strings.Repeat("x", 100_000), status: 413},
	} {
		rs, _ := si.certify(t, it.key, it.body)
		assert.Equal(t, rs.StatusCode, it.status)
		assert.Equal(t, rs.Header.Get(HeaderReason), reason)
		assert.Equal(t, rs.Header.Get(HeaderOutcome), "not_run")
	}
	assert.Equal(t, len(si.ledger()), 0)
}

// TestKeyedWriteBudget refuses calls beyond the node's share of writes; a call
// that fails in no way writes twice.
func TestKeyedWriteBudget(t *testing.T) {
	si, tk := startKeyed(t, 0.001)
	outcomes := map[string]int{}
	for i := range 5 {
		rs, _ := si.certify(t, fmt.Sprint(i), "x")
		outcomes[rs.Header.Get(HeaderOutcome)+rs.Header.Get(HeaderReason)]++
		if rs.StatusCode != 200 {
			assert.Check(t, rs.Header.Get("Retry-After") != "")
		}
	}
	assert.DeepEqual(t, outcomes, map[string]int{"ran": 2, "not_runwrite_budget": 3})
	eventually(t, "ends are written", func() bool {
		tk.mu.Lock()
		defer tk.mu.Unlock()
		return tk.writes == 2*writesPerCall
	})
}

// TestKeyedLostLane asks the gate about an attempt whose lane is lost.
func TestKeyedLostLane(t *testing.T) {
	tk := startKeys(t)
	si := startSite(t, Config{
		Keys:                 tk,
		KeyedWritesPerSecond: 1000,
	}, standin.Config{}, standin.Config{})
	si.gates["host-0"].Drain(time.Now())
	si.lost = func(address string, rq *wire.Request) bool {
		si.gates[address].Serve(context.Background(), rq, nil)
		return true
	}
	for i := range 5 {
		rs, data := si.certify(t, fmt.Sprint(i), "x")
		assert.Check(t, rs.StatusCode == 200 || rs.Header.Get(HeaderOutcome) == "not_run", "%s", data)
		if rs.StatusCode == 200 {
			rs, again := si.certify(t, fmt.Sprint(i), "x")
			assert.Equal(t, rs.StatusCode, 200)
			assert.Equal(t, again, data)
		}
	}
	seen := map[string]bool{}
	for _, ru := range si.ledger() {
		assert.Check(t, !seen[ru.Call], "%s ran twice", ru.Call)
		seen[ru.Call] = true
	}
}
