package node

import (
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"

	"lynxfold/core/contract"
	"lynxfold/core/datacentre"
	"lynxfold/core/host"
	"lynxfold/core/quota"
	"lynxfold/core/wire"
)

// quotaLimit lets the tests' first requests through at once.
var quotaLimit = quota.Limit{
	PerSecond: 1000,
	Burst:     1000,
	Version:   1,
}

// listenQuotas starts a listener that answers quota requests and returns its address.
func listenQuotas(t testing.TB, qk QuotaKeeper) string {
	t.Helper()
	cs := NewCallServer(&stubGate{})
	cs.Quotas = qk
	return listenCalls(t, cs.Serve)
}

// newQuotas returns the Quotas of the host "asker", which knows the hosts with the addresses.
func newQuotas(t testing.TB, id host.ID, startedAt time.Time, addresses map[host.ID]string) *Quotas {
	t.Helper()
	hl := &datacentre.HostList{}
	for _, id := range []host.ID{"asker", "keeper"} {
		if address, found := addresses[id]; found {
			hl.Live = append(hl.Live, datacentre.NewLiveHost(id, address, false))
		}
	}
	view := &datacentre.View{
		Config: contract.EmptySnapshot(),
		Hosts:  hl,
	}
	cp := NewCallPool(&Dialer{Timeout: time.Second, CallDialTimeout: time.Second})
	t.Cleanup(cp.Close)
	return NewQuotas(QuotasConfig{
		Host:      id,
		FleetSize: 2,
		StartedAt: startedAt,
		View:      func() *datacentre.View { return view },
		Asker:     cp,
		Metrics:   metrics.NewSet(),
	})
}

// keptElsewhere returns a customer whose quota host is "keeper".
func keptElsewhere() contract.CustomerName {
	hl := &datacentre.HostList{Live: []datacentre.LiveHost{
		datacentre.NewLiveHost("asker", "", false),
		datacentre.NewLiveHost("keeper", "", false),
	}}
	for name := contract.CustomerName("a"); ; name += "a" {
		if hl.Rank(nil, string(name), 1)[0].ID == "keeper" {
			return name
		}
	}
}

// TestQuotasOverConnections admits calls of many goroutines at one host with tokens of
// another. It guards against calls that wait for ever, and against more than the limit.
func TestQuotasOverConnections(t *testing.T) {
	keeper := newQuotas(t, "keeper", time.Now().Add(-time.Minute), map[host.ID]string{"asker": "", "keeper": ""})
	address := listenQuotas(t, keeper)
	asker := newQuotas(t, "asker", time.Now(), map[host.ID]string{"asker": "", "keeper": address})
	limit := quota.Limit{PerSecond: 50, Version: 1}
	cu := keptElsewhere()
	var admitted, refused atomic.Int64
	var done sync.WaitGroup
	begun := time.Now()
	for range 20 {
		done.Go(func() {
			for time.Since(begun) < 2*time.Second {
				if retryAt, ok := asker.Admit(cu, limit); ok {
					admitted.Add(1)
				} else {
					refused.Add(1)
					assert.Check(t, retryAt.After(begun))
				}
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	done.Wait()
	t.Logf("admitted %d, refused %d", admitted.Load(), refused.Load())
	assert.Check(t, admitted.Load() <= 50*2+10)
	assert.Check(t, admitted.Load() >= 20) // the keeper hands out its part in the first second
	assert.Check(t, refused.Load() > 0)
}

// TestQuotaHostSilent checks that the wait for tokens is bounded when the quota host accepts
// connections and answers nothing, or refuses connections.
func TestQuotaHostSilent(t *testing.T) {
	for name, address := range map[string]string{
		"silent":  listenCalls(t, func(co *Conn) { _, _ = co.Reader.ReadByte() }),
		"refuses": "127.0.0.1:1",
	} {
		t.Run(name, func(t *testing.T) {
			asker := newQuotas(t, "asker", time.Now().Add(-time.Minute), map[host.ID]string{"asker": "", "keeper": address})
			var done sync.WaitGroup
			for range 5 {
				done.Go(func() {
					begun := time.Now()
					_, _ = asker.Admit(keptElsewhere(), quotaLimit)
					assert.Check(t, time.Since(begun) < maxQuotaWait+100*time.Millisecond, "%v", time.Since(begun))
				})
			}
			done.Wait()
		})
	}
}

// TestQuotaRequestWithoutKeeper checks that a node without quotas declines.
func TestQuotaRequestWithoutKeeper(t *testing.T) {
	re, err := newCallPool(t).AskQuota(listenQuotas(t, nil), &wire.QuotaRequest{Tokens: 1}, time.Second)
	assert.NilError(t, err)
	assert.Check(t, re.GetDeclined())
}

// TestQuotaHostStopped checks that an address that refuses connections is told apart from
// one that does not answer; only then may the next host hand out the whole rate.
func TestQuotaHostStopped(t *testing.T) {
	_, err := newCallPool(t).AskQuota("127.0.0.1:1", &wire.QuotaRequest{Tokens: 1}, time.Second)
	assert.ErrorIs(t, err, syscall.ECONNREFUSED)
}

// BenchmarkQuota measures a request for one token over a pooled connection, and the refusal
// of a call without asking.
func BenchmarkQuota(b *testing.B) {
	b.Run("ask", func(b *testing.B) {
		keeper := newQuotas(b, "keeper", time.Now().Add(-time.Minute), map[host.ID]string{"asker": "", "keeper": ""})
		address := listenQuotas(b, keeper)
		cp := NewCallPool(&Dialer{Timeout: time.Second, CallDialTimeout: time.Second})
		defer cp.Close()
		rq := &wire.QuotaRequest{
			Customer:  string(keptElsewhere()),
			Tokens:    1,
			Host:      "asker",
			PerSecond: 1e9,
			Version:   1,
		}
		b.ReportAllocs()
		for b.Loop() {
			_, err := cp.AskQuota(address, rq, time.Second)
			assert.NilError(b, err)
		}
	})
	b.Run("refuse", func(b *testing.B) {
		qs := newQuotas(b, "asker", time.Now(), map[host.ID]string{"asker": ""})
		limit := quota.Limit{PerSecond: 0.001, Version: 1}
		b.ReportAllocs()
		for b.Loop() {
			_, _ = qs.Admit("acme", limit)
		}
	})
}
