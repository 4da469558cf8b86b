package caller

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"lynxfold/core/contract"
	"lynxfold/core/host"
	"lynxfold/core/quota"
	"lynxfold/io/upstream/standin"
)

// countedQuotas admits a number of requests, and counts the tokens that are given back.
type countedQuotas struct {
	mu             sync.Mutex
	left           int
	asked, returns int
}

func (cq *countedQuotas) Admit(contract.CustomerName, quota.Limit) (time.Time, bool) {
	cq.mu.Lock()
	defer cq.mu.Unlock()
	cq.asked++
	cq.left--
	return time.Now().Add(4 * time.Second), cq.left >= 0
}

func (cq *countedQuotas) GiveBack(contract.CustomerName) {
	cq.mu.Lock()
	defer cq.mu.Unlock()
	cq.returns++
}

func (cq *countedQuotas) ReportOf(cu contract.CustomerName) quota.AccountReport {
	return quota.AccountReport{Customer: cu}
}

// startWithCustomer starts a fixture whose configuration has the customer acme, with a limit.
func startWithCustomer(t *testing.T, cfg Config) *fixture {
	t.Helper()
	doc := *compile(t).Document
	doc.Customers = []contract.Customer{{
		Name:          "acme",
		Keys:          []contract.KeyDigest{contract.DigestKey([]byte("secret"))},
		RatePerSecond: 10,
		Burst:         10,
	}}
	sn, err := contract.Compile(2, &doc)
	assert.NilError(t, err)
	return startFixtureWith(t, sn, cfg, standin.Config{})
}

func (fx *fixture) post(t *testing.T, path, key string, body io.Reader) *http.Response {
	t.Helper()
	rq, err := http.NewRequest("POST", "http://"+fx.address+path, body)
	assert.NilError(t, err)
	rq.Header.Set("Authorization", "Bearer secret")
	rq.Header.Set(HeaderIdempotencyKey, key)
	rq.Header.Set(standin.HeaderCallID, key)
	cl := &http.Client{
		Transport: &http.Transport{DisableKeepAlives: true},
		Timeout:   waitTimeout,
	}
	rs, err := cl.Do(rq)
	assert.NilError(t, err)
	_ = rs.Body.Close()
	return rs
}

// TestQuotaRefusal checks that a request above the limit is refused as not run before its
// long body is read, with a Retry-After of the time when tokens are likely.
func TestQuotaRefusal(t *testing.T) {
	cq := &countedQuotas{left: 1}
	fx := startWithCustomer(t, Config{Quotas: cq})
	assert.Equal(t, fx.post(t, "/results/1", "one", nil).StatusCode, 200)
	for _, body := range []io.Reader{nil, strings.NewReader("short"), io.LimitReader(zeroReader{}, 1<<20)} {
		rs := fx.post(t, "/results/1", "two", body)
		assert.Equal(t, rs.StatusCode, 429)
		assert.Equal(t, rs.Header.Get(HeaderOutcome), "not_run")
		assert.Equal(t, rs.Header.Get(HeaderReason), "quota")
		seconds, err := strconv.Atoi(rs.Header.Get("Retry-After"))
		assert.NilError(t, err)
		assert.Assert(t, seconds >= 4 && seconds <= 6, "%d", seconds)
	}
	assert.Equal(t, len(fx.ledger()), 1)
	assert.Equal(t, cq.returns, 0)
	assert.Equal(t, fx.counter(`lynxfold_refusals_total{reason="quota"}`), uint64(3))
}

// TestQuotaTokenGivenBack checks that a request that took a token and is refused without
// having run gives it back once, and that retries take no further one.
func TestQuotaTokenGivenBack(t *testing.T) {
	cq := &countedQuotas{left: 100}
	fx := startWithCustomer(t, Config{Quotas: cq})
	fx.gates["host-0"].Announce(host.Announcement{
		Service: "lookup",
		Address: "127.0.0.1:1", // refuses connections
		Slots:   1,
	})
	for i := range 3 {
		rs := fx.post(t, "/results/1", fmt.Sprint(i), nil)
		assert.Equal(t, rs.Header.Get(HeaderOutcome), "not_run")
	}
	assert.Equal(t, cq.asked, 3)
	assert.Equal(t, cq.returns, 3)
}

// TestKeyedRepeatsTakeNoToken checks that only the first of equal keyed calls takes a token,
// and that repeats are answered above the limit.
func TestKeyedRepeatsTakeNoToken(t *testing.T) {
	cq := &countedQuotas{left: 1}
	fx := startWithCustomer(t, Config{
		Quotas:               cq,
		KeyStore:             startKeyStore(t),
		KeyedWritesPerSecond: 1000,
	})
	for range 3 {
		assert.Equal(t, fx.post(t, "/certificates", "k1", strings.NewReader("cube")).StatusCode, 200)
	}
	cq.left = 1
	assert.Equal(t, fx.post(t, "/certificates", "k1", strings.NewReader("cube")).StatusCode, 200)
	assert.Equal(t, cq.returns, 1)
	cq.left = 0
	rs := fx.post(t, "/certificates", "k2", strings.NewReader("cube"))
	assert.Equal(t, rs.StatusCode, 429)
	assert.Equal(t, rs.Header.Get(HeaderReason), "quota")
	assert.Equal(t, len(fx.ledger()), 1)
}

// limitRecorder admits all requests and records the limits.
type limitRecorder struct {
	countedQuotas
	limits []quota.Limit
}

func (lr *limitRecorder) Admit(_ contract.CustomerName, li quota.Limit) (time.Time, bool) {
	lr.limits = append(lr.limits, li)
	return time.Time{}, true
}

// TestLowerLimitBindsRequestThatWaited admits a request whose header was read before the limit
// of its customer was lowered, as one is that waits for the request before it: the limit that it
// names with the new version is the new one.
func TestLowerLimitBindsRequestThatWaited(t *testing.T) {
	old := *compile(t).Document
	old.Customers = []contract.Customer{{
		Name:          "acme",
		Keys:          []contract.KeyDigest{contract.DigestKey([]byte("secret"))},
		RatePerSecond: 500,
		Burst:         500,
	}}
	before, err := contract.Compile(1, &old)
	assert.NilError(t, err)
	lr := &limitRecorder{}
	fx := startWithCustomer(t, Config{Quotas: lr})
	customer, _ := before.Customer("acme")
	ad := admission{
		target:   &contract.Target{},
		config:   before,
		customer: customer,
	}
	assert.Check(t, fx.server.admitQuota(&fasthttp.RequestCtx{}, &ad))
	ad.customer.Name = "removed since"
	assert.Check(t, fx.server.admitQuota(&fasthttp.RequestCtx{}, &ad))
	assert.DeepEqual(t, lr.limits, []quota.Limit{
		{PerSecond: 10, Burst: 10, Version: 2},
		{PerSecond: 500, Burst: 500, Version: 1},
	})
}
