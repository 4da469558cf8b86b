package caller

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"lynxfold/core/contract"
	"lynxfold/core/datacentre"
	"lynxfold/core/host"
	"lynxfold/core/wire"
	"lynxfold/io/operator/record"
	"lynxfold/io/upstream"
)

// parentProtocol takes the parent of a request from a header.
type parentProtocol struct{ NativeProtocol }

// ParentIDs implements Protocol.
func (parentProtocol) ParentIDs(he *fasthttp.RequestHeader) []host.RequestID {
	if id := he.Peek("Parent"); len(id) > 0 {
		return []host.RequestID{host.RequestID(id)}
	}
	return nil
}

// customerFixture is a server whose gate answers each request and keeps it.
type customerFixture struct {
	*Server
	address string
	set     *metrics.Set
	record  *record.Record
	view    atomic.Pointer[datacentre.View]

	mu       sync.Mutex
	log      bytes.Buffer
	requests []*wire.Request
}

// Write implements io.Writer for the log.
func (cf *customerFixture) Write(line []byte) (int, error) {
	cf.mu.Lock()
	defer cf.mu.Unlock()
	return cf.log.Write(line)
}

// Serve implements Gate.
func (cf *customerFixture) Serve(_ context.Context, rq *wire.Request, body io.ReadCloser) upstream.Reply {
	if body != nil {
		_, _ = io.Copy(io.Discard, body)
	}
	cf.mu.Lock()
	defer cf.mu.Unlock()
	cf.requests = append(cf.requests, rq)
	return upstream.Reply{Response: &wire.Response{Status: 200}}
}

// Query implements Gate.
func (cf *customerFixture) Query(context.Context, *wire.Query) *wire.Verdict { return &wire.Verdict{} }

// NestedCalled implements Gate.
func (cf *customerFixture) NestedCalled(host.NestedCalled) {}

// Service implements Gate.
func (cf *customerFixture) Service() contract.ServiceName { return "lookup" }

// RunningCustomer implements Gate: it runs one request of hotel and one of nobody.
func (cf *customerFixture) RunningCustomer(id host.RequestID) (contract.CustomerName, bool) {
	return map[host.RequestID]contract.CustomerName{"running": "hotel"}[id], id == "running" || id == "public"
}

func (cf *customerFixture) taken() []*wire.Request {
	cf.mu.Lock()
	defer cf.mu.Unlock()
	all := cf.requests
	cf.requests = nil
	return all
}

// setKeys brings a configuration into force in which hotel has the given keys.
func (cf *customerFixture) setKeys(t *testing.T, keys ...string) {
	t.Helper()
	priority := 2
	doc := &contract.Document{
		Services:  []contract.Service{{Name: "lookup"}},
		Contracts: []contract.Terms{{Name: "read", TimeoutMS: 5000}},
		Routes: []contract.Route{
			{Name: "private", PathPrefix: "/private", Service: "lookup", Contract: "read"},
			{Name: "public", PathPrefix: "/public", Service: "lookup", Contract: "read", Public: true},
		},
	}
	cu := contract.Customer{Name: "hotel", Priority: &priority}
	for _, key := range keys {
		cu.Keys = append(cu.Keys, contract.DigestKey([]byte(key)))
	}
	if keys != nil {
		doc.Customers = []contract.Customer{cu}
	}
	sn, err := contract.Compile(1, doc)
	assert.NilError(t, err)
	cf.view.Store(&datacentre.View{
		Config: sn,
		Upstreams: map[contract.ServiceName][]datacentre.Upstream{
			"lookup": {{Host: "host-0", Service: "lookup", Incarnation: 1}},
		},
	})
}

func startCustomers(t *testing.T) *customerFixture {
	t.Helper()
	cf := &customerFixture{
		set:    metrics.NewSet(),
		record: record.New(record.Config{CallEntries: 100}),
	}
	cf.setKeys(t)
	cf.Server = New(Config{
		Host:           "host-0",
		View:           cf.view.Load,
		LocalGate:      cf,
		Rand:           rand.New(rand.NewPCG(1, 2)),
		Log:            zerolog.New(cf),
		RoutineLog:     zerolog.New(cf),
		Counters:       NewCounters(cf.set),
		Recorder:       cf.record,
		MaxHeaderBytes: 8 << 10,
		MaxBodyBytes:   1 << 20,
		MaxConnections: 10,
		Protocol:       parentProtocol{},
	})
	li, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	cf.address = li.Addr().String()
	go func() { _ = cf.Server.Serve(li) }()
	t.Cleanup(func() { _ = cf.Shutdown(context.Background()) })
	return cf
}

func (cf *customerFixture) dial(t *testing.T) (net.Conn, *bufio.Reader) {
	t.Helper()
	nc, err := net.Dial("tcp", cf.address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = nc.Close() })
	return nc, bufio.NewReader(nc)
}

// exchangeOn sends a request head on a connection and returns the answer's status and
// reason.
func exchangeOn(t *testing.T, nc net.Conn, rd *bufio.Reader, request string) (int, string) {
	t.Helper()
	_, err := io.WriteString(nc, request)
	assert.NilError(t, err)
	return readAnswer(t, rd)
}

func readAnswer(t *testing.T, rd *bufio.Reader) (int, string) {
	t.Helper()
	rs, err := http.ReadResponse(rd, nil)
	assert.NilError(t, err)
	_, err = io.Copy(io.Discard, rs.Body)
	assert.NilError(t, err)
	return rs.StatusCode, rs.Header.Get(HeaderReason)
}

// TestKeysAreJudged checks which requests run, for whom, and why the others are refused,
// all on one connection. It guards against a key or a forged customer that reaches an
// upstream.
func TestKeysAreJudged(t *testing.T) {
	cf := startCustomers(t)
	cf.setKeys(t, "s3cret-key")
	nc, rd := cf.dial(t)
	for _, it := range []struct {
		path, headers    string
		status           int
		reason, customer string
	}{
		{path: "/private", headers: "Authorization: Bearer s3cret-key\r\n", status: 200, customer: "hotel"},
		{path: "/private", headers: "aUTHORIZATION: bearer   s3cret-key  \r\n", status: 200, customer: "hotel"},
		{path: "/private", status: 401, reason: "customer_key_missing"},
		{path: "/private", headers: "Authorization: \r\n", status: 401, reason: "customer_key_missing"},
		{path: "/private", headers: "Authorization: Bearer\r\n", status: 401, reason: "customer_key_malformed"},
		{path: "/private", headers: "Authorization: Basic s3cret-key\r\n", status: 401, reason: "customer_key_malformed"},
		{path: "/private", headers: "Authorization: Bearer s3cret-key\r\nAuthorization: Bearer s3cret-key\r\n", status: 401, reason: "customer_key_malformed"},
		{path: "/private", headers: "Authorization: Bearer s3cret-ke\r\n", status: 401, reason: "customer_key_unknown"},
		{path: "/private", headers: "Lynxfold-Customer: hotel\r\n", status: 401, reason: "customer_key_missing"},
		{path: "/nowhere", headers: "Authorization: Bearer s3cret-ke\r\n", status: 404, reason: "no_route"},
		{path: "/public", status: 200},
		{path: "/public", headers: "Authorization: Bearer s3cret-ke\r\nlynxfold-CUSTOMER: other\r\nLYNXFOLD-customer: hotel\r\n", status: 200},
		{path: "/public", headers: "Authorization: Bearer s3cret-key\r\nLynxfold-Customer: other\r\n", status: 200, customer: "hotel"},
		{path: "/private", headers: "Parent: running\r\n", status: 200, customer: "hotel"},
		{path: "/private", headers: "Parent: public\r\n", status: 200},
		{path: "/private", headers: "Parent: ended\r\n", status: 401, reason: "customer_key_missing"},
		{path: "/private", headers: "Parent: running\r\nAuthorization: Bearer wrong\r\n", status: 401, reason: "customer_key_unknown"},
	} {
		status, reason := exchangeOn(t, nc, rd, "GET "+it.path+" HTTP/1.1\r\nHost: x\r\n"+it.headers+"\r\n")
		assert.Equal(t, status, it.status, it.headers)
		assert.Equal(t, reason, it.reason, it.headers)
		requests := cf.taken()
		if it.status != 200 {
			assert.Equal(t, len(requests), 0, it.headers)
			continue
		}
		assert.Equal(t, len(requests), 1)
		checkForwarded(t, requests[0], it.customer)
	}
	assert.Equal(t, cf.set.GetOrCreateCounter(`lynxfold_refusals_total{reason="customer_key_unknown"}`).Get(), uint64(2))
	assert.Equal(t, cf.set.GetOrCreateCounter(`lynxfold_customer_requests_total{customer="hotel"}`).Get(), uint64(4))
	assert.Assert(t, !strings.Contains(cf.log.String(), "s3cret"))
	assert.Assert(t, !strings.Contains(fmt.Sprint(cf.record.Latest(100)), "s3cret"))
}

// checkForwarded checks that a request names exactly this customer, and has no key.
func checkForwarded(t *testing.T, rq *wire.Request, customer string) {
	t.Helper()
	var stated []string
	for _, he := range rq.GetHeaders() {
		assert.Assert(t, !strings.Contains(string(he.GetValue()), "s3cret"), "%s", he)
		assert.Assert(t, !strings.EqualFold(string(he.GetName()), "Authorization"))
		if strings.EqualFold(string(he.GetName()), HeaderCustomer) {
			stated = append(stated, string(he.GetValue()))
		}
	}
	rank := uint32(0)
	var want []string
	if customer != "" {
		rank, want = 3, []string{customer}
	}
	assert.Assert(t, slices.Equal(stated, want), "%v", stated)
	assert.Equal(t, rq.GetCustomer(), customer)
	assert.Equal(t, rq.GetCustomerRank(), rank)
}

// TestTrailersNameNoCustomer guards against a key or a customer that reaches an upstream
// as a trailer, which the HTTP library adds to the headers.
func TestTrailersNameNoCustomer(t *testing.T) {
	cf := startCustomers(t)
	cf.setKeys(t, "s3cret-key")
	for trailers, want := range map[string]int{
		"lynxfold-customer: hotel\r\n": 200,
		// The HTTP library refuses this name in trailers.
		"Authorization: Bearer s3cret-key\r\n": 400,
	} {
		nc, rd := cf.dial(t)
		status, _ := exchangeOn(t, nc, rd, "POST /public HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n"+
			"Trailer: Lynxfold-Customer, X\r\n\r\n2\r\nab\r\n0\r\n"+trailers+"\r\n")
		assert.Equal(t, status, want, trailers)
		for _, rq := range cf.taken() {
			checkForwarded(t, rq, "")
		}
	}
}

// TestRefusedKeyKeepsConnection pipelines refused and admitted requests with bodies. The
// refusals must neither close the connection nor let a body be read as a request.
func TestRefusedKeyKeepsConnection(t *testing.T) {
	cf := startCustomers(t)
	cf.setKeys(t, "k")
	nc, rd := cf.dial(t)
	refused := "POST /private HTTP/1.1\r\nHost: x\r\nContent-Length: 40\r\n\r\n" + "GET /public/smuggled HTTP/1.1\r\nHost: x\r\n"
	chunked := "POST /private HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n"
	admitted := "POST /private HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer k\r\nContent-Length: 2\r\n\r\nab"
	_, err := io.WriteString(nc, refused+admitted+chunked+admitted+refused+admitted)
	assert.NilError(t, err)
	for i, want := range []int{401, 200, 401, 200, 401, 200} {
		status, _ := readAnswer(t, rd)
		assert.Equal(t, status, want, "answer %d", i)
	}
	assert.Equal(t, len(cf.taken()), 3)
}

// TestRemovedKeyIsRefusedOnOpenConnection checks that each request is judged by the
// configuration in force when its head has been read.
func TestRemovedKeyIsRefusedOnOpenConnection(t *testing.T) {
	cf := startCustomers(t)
	nc, rd := cf.dial(t)
	request := "GET /private HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer first\r\n\r\n"
	for _, it := range []struct {
		keys   []string
		status int
	}{
		{keys: nil, status: 200},
		{keys: []string{"first"}, status: 200},
		{keys: []string{"second"}, status: 401},
		{keys: []string{"second", "first"}, status: 200},
		{keys: []string{}, status: 401},
	} {
		cf.setKeys(t, it.keys...)
		status, _ := exchangeOn(t, nc, rd, request)
		assert.Equal(t, status, it.status, "%v", it.keys)
	}
}

// TestGuessedKeysAreLoggedRarely guards against a log that a guesser fills.
func TestGuessedKeysAreLoggedRarely(t *testing.T) {
	cf := startCustomers(t)
	cf.setKeys(t, "k")
	nc, rd := cf.dial(t)
	start := time.Now()
	const guesses = 500
	for i := range guesses {
		status, _ := exchangeOn(t, nc, rd, fmt.Sprintf("GET /private HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer guess-%d\r\n\r\n", i))
		assert.Equal(t, status, 401)
	}
	limit := keyRefusalBurst + int(time.Since(start).Seconds()*keyRefusalsPerSecond) + 1
	lines := strings.Count(cf.log.String(), "key_refused")
	assert.Assert(t, lines > 0 && lines <= limit, "%d lines", lines)
	assert.Assert(t, !strings.Contains(cf.log.String(), "guess-"))
	assert.Equal(t, cf.set.GetOrCreateCounter(`lynxfold_refusals_total{reason="customer_key_unknown"}`).Get(), uint64(guesses))
}

// TestLargestCustomersAreCounted checks that the number of labels is bounded, that every
// request is counted once, and that a customer that becomes large gets its own counter.
func TestLargestCustomersAreCounted(t *testing.T) {
	set := metrics.NewSet()
	cc := newCustomerCounters(set)
	now := time.Unix(1_000_000, 0)
	for i := range 3 * maxRankedCustomers {
		cc.count(contract.CustomerName(fmt.Sprintf("c%d", i)), now)
	}
	assert.Equal(t, len(cc.usage), maxRankedCustomers)
	assert.Equal(t, cc.others.Get(), uint64(3*maxRankedCustomers-maxCountedCustomers))
	for range 50 {
		cc.count("c1000", now)
	}
	cc.count("c1000", now.Add(customerRankInterval))
	assert.Equal(t, set.GetOrCreateCounter(customerMetric("c1000")).Get(), uint64(1))
	assert.Equal(t, len(set.ListMetricNames()), maxCountedCustomers+1)
}

// FuzzRequestHeader checks that whatever the head of a request, a key is only accepted
// from a sole Authorization header, and nothing but the judged customer is forwarded.
func FuzzRequestHeader(f *testing.F) {
	for _, head := range []string{
		"Authorization: Bearer k\r\n", "authorization:bearer\tk\r\n", "Authorization : Bearer k\r\n", "Authorization: Bearer\r\n k\r\n",
		"Authorization: Bearer k\r\nAuthorization: x\r\n", "Lynxfold-Customer: hotel\r\n", "LYNXFOLD-CUSTOMER:\thotel\r\n",
		"Lynxfold_Customer: x\r\n", "Connection: Lynxfold-Customer\r\n", "Lynxfold-Customer\x00: x\r\n", "\x00Authorization: Bearer k\r\n",
	} {
		f.Add(head)
	}
	sv := &Server{cfg: Config{Protocol: NativeProtocol{}}}
	f.Fuzz(func(t *testing.T, head string) {
		ctx := &fasthttp.RequestCtx{}
		if ctx.Request.Header.Read(bufio.NewReader(strings.NewReader("GET / HTTP/1.1\r\nHost: x\r\n"+head+"\r\n"))) != nil {
			return
		}
		key, reason := bearerKey(&ctx.Request.Header)
		assert.Equal(t, reason == host.ReasonNone, len(key) > 0)
		for _, he := range sv.requestHeaders(ctx, admission{hasKeys: true}) {
			name := strings.TrimSpace(string(he.GetName()))
			assert.Assert(t, !strings.EqualFold(name, fasthttp.HeaderAuthorization), "%q", head)
			assert.Assert(t, !strings.EqualFold(name, HeaderCustomer), "%q", head)
		}
	})
}
