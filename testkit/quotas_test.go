package testkit_test

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"lynxfold/core/contract"
	"lynxfold/core/datacentre"
	"lynxfold/core/host"
	upstreamstandin "lynxfold/io/upstream/standin"
	"lynxfold/testkit"
)

// The limits of the two customers: one far above its limit, one small and below it.
const (
	loudPerSecond  = 60
	quietPerSecond = 3
	quotaWindow    = 5 * time.Second
)

const quotaDocument = `{
  "customers": [
    {"name": "loud", "keys": ["%s"], "rate_per_second": 60, "burst": 60},
    {"name": "quiet", "keys": ["%s"], "rate_per_second": 3, "burst": 3}
  ],
  "services": [{"name": "booking"}],
  "contracts": [{"name": "book", "timeout_ms": 3000}],
  "routes": [{"name": "bookings", "path_prefix": "/bookings", "service": "booking", "contract": "book"}]
}`

// quotaLoad sends the requests of the customers to all hosts.
type quotaLoad struct {
	mesh     *testkit.Mesh
	ids      []string
	number   atomic.Int64
	mu       sync.Mutex
	statuses map[string]map[int]int
}

func (ql *quotaLoad) call(cl *fasthttp.Client, id, customer string) {
	rq, rs := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(rq)
	defer fasthttp.ReleaseResponse(rs)
	rq.SetRequestURI("http://" + ql.mesh.Hosts[id].CallerAddress + "/bookings")
	rq.Header.Set("Authorization", "Bearer key-of-"+customer)
	rq.Header.Set(upstreamstandin.HeaderCallID, fmt.Sprintf("%s-%d", customer, ql.number.Add(1)))
	status := 0
	if cl.DoTimeout(rq, rs, time.Second) == nil {
		status = rs.StatusCode()
	}
	ql.mu.Lock()
	defer ql.mu.Unlock()
	if ql.statuses[customer] == nil {
		ql.statuses[customer] = map[int]int{}
	}
	ql.statuses[customer][status]++
}

// start sends requests at a rate until stop is called.
func (ql *quotaLoad) start(customer string, perSecond float64, workers int) (stop func()) {
	var done sync.WaitGroup
	ended := make(chan struct{})
	for worker := range workers {
		done.Go(func() {
			cl := &fasthttp.Client{MaxIdemponentCallAttempts: 1}
			defer cl.CloseIdleConnections()
			ti := time.NewTicker(time.Duration(float64(workers) / perSecond * float64(time.Second)))
			defer ti.Stop()
			for i := worker; ; i++ {
				select {
				case <-ti.C:
					ql.call(cl, ql.ids[i%len(ql.ids)], customer)
				case <-ended:
					return
				}
			}
		})
	}
	return func() {
		close(ended)
		done.Wait()
	}
}

// arrivals returns when requests of a customer reached the upstreams.
func (ql *quotaLoad) arrivals(customer string) []time.Time {
	var times []time.Time
	for _, id := range ql.ids {
		for _, ar := range ql.mesh.Hosts[id].Upstream.Arrivals() {
			if strings.HasPrefix(ar.Call, customer) {
				times = append(times, ar.At)
			}
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	return times
}

// largestWindow returns the largest number of arrivals in a window.
func largestWindow(times []time.Time) int {
	largest, first := 0, 0
	for last := range times {
		for times[last].Sub(times[first]) >= quotaWindow {
			first++
		}
		largest = max(largest, last-first+1)
	}
	return largest
}

func startQuotaMesh(t *testing.T) *quotaLoad {
	t.Helper()
	ql := &quotaLoad{statuses: map[string]map[int]int{}}
	cfg := testkit.MeshConfig{
		ProxiedRemote: true,
		Settings:      "[mesh]\nfleet_size = 6\n",
	}
	for _, centre := range []string{"press-hall", "curing-room"} {
		for i := range 3 {
			hs := upstreamHost(fmt.Sprintf("%s-%d", centre, i+1))
			hs.DataCentre = centre
			cfg.Hosts = append(cfg.Hosts, hs)
			ql.ids = append(ql.ids, hs.ID)
		}
	}
	ql.mesh = testkit.StartMesh(t, cfg)
	testkit.Eventually(t, waitTimeout, "a host answers", func() bool { return ql.mesh.Status(ingressID) != nil })
	doc := fmt.Sprintf(quotaDocument, contract.DigestKey([]byte("key-of-loud")), contract.DigestKey([]byte("key-of-quiet")))
	status, _ := ql.mesh.Apply(ingressID, 0, doc)
	assert.Equal(t, status, fasthttp.StatusOK)
	waitForUpstreams(t, ql.mesh, len(ql.ids))
	return ql
}

// quotaHost returns the host that keeps the bucket of a customer.
func (ql *quotaLoad) quotaHost(customer string) *testkit.Host {
	hl := &datacentre.HostList{}
	for _, id := range ql.ids {
		hl.Live = append(hl.Live, datacentre.NewLiveHost(host.ID(id), "", false))
	}
	return ql.mesh.Hosts[string(hl.Rank(nil, customer, 1)[0].ID)]
}

// TestQuotasHoldUnderFaults lets a customer send 7 times its limit while its quota host is
// killed, restarted and paused, and half of the hosts are cut off. It guards against windows
// above the limit, and against refusals of a small customer that is below its own.
func TestQuotasHoldUnderFaults(t *testing.T) {
	ql := startQuotaMesh(t)
	stopQuiet := ql.start("quiet", quietPerSecond/1.6, 1)
	stopLoud := ql.start("loud", 7*loudPerSecond, 24)
	keeper := ql.quotaHost("loud")
	var ends []func()
	steps := []struct {
		name  string
		do    func()
		lasts time.Duration
	}{
		{name: "calm", do: func() {}, lasts: 8 * time.Second},
		{name: "quota host killed", do: keeper.Kill, lasts: 6 * time.Second},
		{name: "quota host restarted", do: keeper.Start, lasts: 6 * time.Second},
		{name: "quota host paused", do: func() { keeper.Signal(syscall.SIGSTOP) }, lasts: 4 * time.Second},
		{name: "quota host resumed", do: func() { keeper.Signal(syscall.SIGCONT) }, lasts: 6 * time.Second},
		{name: "half of the hosts cut off", do: func() {
			for _, id := range ql.ids {
				ends = append(ends, ql.mesh.Hosts[id].BlackholeDirection("upstream"), ql.mesh.Hosts[id].BlackholeDirection("downstream"))
			}
		}, lasts: 8 * time.Second},
		{name: "healed", do: func() {
			for _, end := range ends {
				end()
			}
		}, lasts: 8 * time.Second},
	}
	for _, st := range steps {
		from := time.Now()
		st.do()
		time.Sleep(st.lasts)
		times := ql.arrivals("loud")
		at, _ := slices.BinarySearchFunc(times, from, time.Time.Compare)
		t.Logf("%-26s %5.1f a second, largest window so far %d", st.name, float64(len(times)-at)/st.lasts.Seconds(), largestWindow(times))
	}
	stopLoud()
	stopQuiet()
	allowed := int((loudPerSecond*quotaWindow.Seconds()+loudPerSecond)*1.1 + 20)
	largest := largestWindow(ql.arrivals("loud"))
	t.Logf("largest window %d of %d; statuses: loud %v, quiet %v", largest, allowed, ql.statuses["loud"], ql.statuses["quiet"])
	assert.Check(t, largest <= allowed)
	assert.Check(t, largest > loudPerSecond*4, "the limit was never reached")
	quiet := ql.statuses["quiet"]
	assert.Check(t, quiet[fasthttp.StatusTooManyRequests] <= quiet[fasthttp.StatusOK]/10, "the small customer was refused below its limit")
}
