package caller

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"lynxfold/core/call"
	"lynxfold/core/contract"
	"lynxfold/core/datacentre"
	"lynxfold/core/host"
	"lynxfold/core/wire"
	"lynxfold/io/upstream"
)

// sheddingGates are remote gates whose upstreams turn every attempt away.
type sheddingGates struct {
	attempts atomic.Int64
}

func (sg *sheddingGates) Send(context.Context, string, *wire.Request, io.ReadCloser) upstream.Reply {
	sg.attempts.Add(1)
	return upstream.RefusalReply(host.ReasonUpstreamRefused, true)
}

func (sg *sheddingGates) Query(context.Context, string, *wire.Query) (*wire.Verdict, error) {
	return &wire.Verdict{}, nil
}

// TestCallsTurnedAwayRefillRetryBudget checks that while upstreams turn calls away, the
// retries stay the configured share of the calls, rather than of the few that succeed.
func TestCallsTurnedAwayRefillRetryBudget(t *testing.T) {
	const calls = 60
	view := &datacentre.View{
		Config:    compile(t),
		Upstreams: map[contract.ServiceName][]datacentre.Upstream{},
	}
	for _, id := range []host.ID{"a", "b", "c"} {
		view.Upstreams["lookup"] = append(view.Upstreams["lookup"], datacentre.Upstream{
			Host:        id,
			Address:     string(id),
			Incarnation: 7,
			Service:     "lookup",
			Slots:       64,
		})
	}
	gates := &sheddingGates{}
	sv := New(Config{
		Host:           "host-0",
		Incarnation:    7,
		View:           func() *datacentre.View { return view },
		RemoteGates:    gates,
		MaxHeaderBytes: 8 << 10,
		MaxBodyBytes:   1 << 20,
		MaxConnections: 10,
		RetryBudget: call.FleetConfig{
			PerSuccess: 0.5,
			Burst:      1,
		},
		Rand:     rand.New(rand.NewPCG(1, 2)),
		Log:      zerolog.Nop(),
		Counters: NewCounters(metrics.NewSet()),
	})
	li, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = sv.Serve(li) }()
	t.Cleanup(func() { _ = sv.Shutdown(context.Background()) })
	client := &http.Client{Timeout: waitTimeout}
	t.Cleanup(client.CloseIdleConnections)
	for range calls {
		resp, err := client.Get("http://" + li.Addr().String() + "/results/17")
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
		assert.NilError(t, resp.Body.Close())
		time.Sleep(time.Millisecond)
	}
	retries := gates.attempts.Load() - calls
	assert.Check(t, retries >= calls/2-2 && retries <= calls/2+2, "%d retries", retries)
}
