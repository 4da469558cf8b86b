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

// faultyKeyStore stores the rows of keyed calls in a stand-in of the platform and
// injects faults.
type faultyKeyStore struct {
	*platform.KeyedCalls

	mu sync.Mutex
	// failWrite returns the error that a write fails with, or nil for none.
	failWrite func(state string) error
	// loseReply reports whether a write takes effect but its reply is lost.
	loseReply func(state string) bool
	writes    int
}

func startKeyStore(t *testing.T) *faultyKeyStore {
	t.Helper()
	sv := platformstandin.New()
	li, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = sv.Serve(li) }()
	t.Cleanup(func() { _ = sv.Shutdown() })
	url := "http://" + li.Addr().String()
	return &faultyKeyStore{
		KeyedCalls: platform.NewKeyedCalls(platform.NewClient(platform.Config{
			TableURL:  url,
			ObjectURL: url,
			Timeout:   time.Second,
		})),
	}
}

type writeFunc func(ctx context.Context) (platform.KeyedCallRecord, error)

func (ks *faultyKeyStore) write(ctx context.Context, state string, write writeFunc) (platform.KeyedCallRecord, error) {
	ks.mu.Lock()
	fail, lose := ks.failWrite, ks.loseReply
	ks.writes++
	ks.mu.Unlock()
	if fail != nil {
		if err := fail(state); err != nil {
			return platform.KeyedCallRecord{}, err
		}
	}
	re, err := write(ctx)
	if err == nil && lose != nil && lose(state) {
		return platform.KeyedCallRecord{}, &platform.InDoubtError{}
	}
	return re, err
}

func (ks *faultyKeyStore) Claim(ctx context.Context, re platform.KeyedCallRecord) (platform.KeyedCallRecord, error) {
	return ks.write(ctx, "claimed", func(ctx context.Context) (platform.KeyedCallRecord, error) {
		return ks.KeyedCalls.Claim(ctx, re)
	})
}

func (ks *faultyKeyStore) Finish(ctx context.Context, re platform.KeyedCallRecord, an []byte) (platform.KeyedCallRecord, error) {
	return ks.write(ctx, "finished", func(ctx context.Context) (platform.KeyedCallRecord, error) {
		return ks.KeyedCalls.Finish(ctx, re, an)
	})
}

func (ks *faultyKeyStore) WriteTombstone(ctx context.Context, re platform.KeyedCallRecord) (platform.KeyedCallRecord, error) {
	return ks.write(ctx, "given_up", func(ctx context.Context) (platform.KeyedCallRecord, error) {
		return ks.KeyedCalls.WriteTombstone(ctx, re)
	})
}

// postCertificate makes a keyed call.
func (fx *fixture) postCertificate(t *testing.T, key, body string) (*http.Response, string) {
	t.Helper()
	rq, err := http.NewRequest("POST", "http://"+fx.address+"/certificates", strings.NewReader(body))
	assert.NilError(t, err)
	rq.Header.Set(HeaderIdempotencyKey, key)
	rq.Header.Set(standin.HeaderCallID, key)
	cl := &http.Client{
		Transport: &http.Transport{DisableKeepAlives: true},
		Timeout:   waitTimeout,
	}
	rs, err := cl.Do(rq)
	assert.NilError(t, err)
	defer func() { _ = rs.Body.Close() }()
	data, err := io.ReadAll(rs.Body)
	assert.NilError(t, err)
	return rs, string(data)
}

// startKeyed starts a fixture with a key store and one upstream.
func startKeyed(t *testing.T, writesPerSecond float64) (*fixture, *faultyKeyStore) {
	t.Helper()
	ks := startKeyStore(t)
	fx := startFixture(t, Config{
		KeyStore:             ks,
		KeyedWritesPerSecond: writesPerSecond,
	}, standin.Config{})
	return fx, ks
}

// TestKeyedRepeats checks that repeats get the first answer and that the call
// runs once.
func TestKeyedRepeats(t *testing.T) {
	fx, _ := startKeyed(t, 1000)
	rs, first := fx.postCertificate(t, "k1", "cube 17")
	assert.Equal(t, rs.StatusCode, 200, "%s", first)
	assert.Equal(t, rs.Header.Get(HeaderReplayed), "")
	for range 3 {
		rs, again := fx.postCertificate(t, "k1", "cube 17")
		assert.Equal(t, rs.StatusCode, 200)
		assert.Equal(t, again, first)
		assert.Equal(t, rs.Header.Get(HeaderOutcome), "ran")
	}
	rs, _ = fx.postCertificate(t, "k1", "cube 18")
	assert.Equal(t, rs.StatusCode, 422)
	assert.Equal(t, rs.Header.Get(HeaderReason), "key_reused")
	assert.Equal(t, len(fx.ledger()), 1)
}

// TestKeyedConcurrentCalls checks that a call that many callers make at once runs
// once.
func TestKeyedConcurrentCalls(t *testing.T) {
	fx, _ := startKeyed(t, 1000)
	var done sync.WaitGroup
	for range 16 {
		done.Go(func() {
			rs, data := fx.postCertificate(t, "k2", "cube 17")
			assert.Check(t, rs.StatusCode == 200, "%d %s", rs.StatusCode, data)
		})
	}
	done.Wait()
	assert.Equal(t, len(fx.ledger()), 1)
}

// TestKeyedTableFaults checks that a call runs at most once when the table is
// down or loses replies.
func TestKeyedTableFaults(t *testing.T) {
	for _, it := range []struct {
		name    string
		fault   func(ks *faultyKeyStore)
		outcome string
		runs    int
	}{
		{
			name: "table down",
			fault: func(ks *faultyKeyStore) {
				ks.failWrite = func(string) error { return &platform.UnavailableError{} }
			},
			outcome: "not_run",
		},
		{
			name: "reply to the claim lost",
			fault: func(ks *faultyKeyStore) {
				ks.loseReply = func(state string) bool { return state == "claimed" }
			},
			outcome: "ran",
			runs:    1,
		},
		{
			name: "reply to the finish lost",
			fault: func(ks *faultyKeyStore) {
				ks.loseReply = func(state string) bool { return state == "finished" }
			},
			outcome: "ran",
			runs:    1,
		},
	} {
		t.Run(it.name, func(t *testing.T) {
			fx, ks := startKeyed(t, 1000)
			it.fault(ks)
			rs, data := fx.postCertificate(t, "k3", "cube 17")
			assert.Equal(t, rs.Header.Get(HeaderOutcome), it.outcome, "%s", data)
			assert.Equal(t, len(fx.ledger()), it.runs)
			ks.mu.Lock()
			ks.failWrite, ks.loseReply = nil, nil
			ks.mu.Unlock()
			rs, data = fx.postCertificate(t, "k3", "cube 17")
			assert.Equal(t, rs.Header.Get(HeaderOutcome), "ran", "%s", data)
			assert.Equal(t, len(fx.ledger()), 1)
		})
	}
}

// TestKeyedCallerGone checks that a call runs to its end after its caller has
// disconnected, and that a repeat gets its answer.
func TestKeyedCallerGone(t *testing.T) {
	fx, _ := startKeyed(t, 1000)
	nc, _ := fx.dial(t)
	_, err := io.WriteString(nc, "POST /certificates?work=300ms HTTP/1.1\r\nHost: x\r\nCall-Id: k4\r\n"+
		HeaderIdempotencyKey+": k4\r\nContent-Length: 7\r\n\r\ncube 17")
	assert.NilError(t, err)
	eventually(t, "the call runs", func() bool { return len(fx.ledger()) == 1 })
	assert.NilError(t, nc.Close())
	eventually(t, "the call has ended", func() bool { return !fx.ledger()[0].FinishedAt.IsZero() })
	assert.Check(t, !fx.ledger()[0].Cancelled)
	rq, err := http.NewRequest("POST", "http://"+fx.address+"/certificates?work=300ms", strings.NewReader("cube 17"))
	assert.NilError(t, err)
	rq.Header.Set(HeaderIdempotencyKey, "k4")
	rs, err := http.DefaultClient.Do(rq)
	assert.NilError(t, err)
	defer func() { _ = rs.Body.Close() }()
	assert.Equal(t, rs.Header.Get(HeaderOutcome), "ran")
	assert.Equal(t, len(fx.ledger()), 1)
}

// TestKeyedBadRequests checks that requests that don't qualify as keyed calls are
// refused.
func TestKeyedBadRequests(t *testing.T) {
	fx, _ := startKeyed(t, 1000)
	for reason, it := range map[string]struct {
		key, body string
		status    int
	}{
		"key_missing":         {body: "x", status: 400},
		"key_malformed":       {key: strings.Repeat("k", 256), body: "x", status: 400},
		"keyed_body_too_long": {key: "k", body: strings.Repeat("x", 100_000), status: 413},
	} {
		rs, _ := fx.postCertificate(t, it.key, it.body)
		assert.Equal(t, rs.StatusCode, it.status)
		assert.Equal(t, rs.Header.Get(HeaderReason), reason)
		assert.Equal(t, rs.Header.Get(HeaderOutcome), "not_run")
	}
	assert.Equal(t, len(fx.ledger()), 0)
}

// TestKeyedWriteBudget checks that calls beyond the node's share of the writes
// are refused, and that a call without faults writes twice.
func TestKeyedWriteBudget(t *testing.T) {
	fx, ks := startKeyed(t, 0.001)
	outcomes := map[string]int{}
	for i := range 5 {
		rs, _ := fx.postCertificate(t, fmt.Sprint(i), "x")
		outcomes[rs.Header.Get(HeaderOutcome)+rs.Header.Get(HeaderReason)]++
		if rs.StatusCode != 200 {
			assert.Check(t, rs.Header.Get("Retry-After") != "")
		}
	}
	assert.DeepEqual(t, outcomes, map[string]int{"ran": 2, "not_runwrite_budget": 3})
	eventually(t, "all results are stored", func() bool {
		ks.mu.Lock()
		defer ks.mu.Unlock()
		return ks.writes == 2*writesPerKeyedCall
	})
}

// TestKeyedLinkLost checks that the gate is queried about an attempt whose link
// is lost, so that the call runs once. The local gate drains, so that the attempts
// go to the remote one.
func TestKeyedLinkLost(t *testing.T) {
	ks := startKeyStore(t)
	fx := startFixture(t, Config{
		KeyStore:             ks,
		KeyedWritesPerSecond: 1000,
	}, standin.Config{}, standin.Config{})
	fx.gates["host-0"].Drain(time.Now())
	fx.intercept = func(address string, rq *wire.Request) bool {
		fx.gates[address].Serve(context.Background(), rq, nil)
		return true
	}
	for i := range 5 {
		rs, data := fx.postCertificate(t, fmt.Sprint(i), "x")
		assert.Check(t, rs.StatusCode == 200 || rs.Header.Get(HeaderOutcome) == "not_run", "%s", data)
		if rs.StatusCode == 200 {
			rs, again := fx.postCertificate(t, fmt.Sprint(i), "x")
			assert.Equal(t, rs.StatusCode, 200)
			assert.Equal(t, again, data)
		}
	}
	seen := map[string]bool{}
	for _, ru := range fx.ledger() {
		assert.Check(t, !seen[ru.Call], "%s ran twice", ru.Call)
		seen[ru.Call] = true
	}
}
