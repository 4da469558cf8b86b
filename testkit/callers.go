package testkit

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	upstreamstandin "lynxfold/io/upstream/standin"
)

// callTimeout limits one call of a test caller. It is longer than the timeout of
// any contract.
const callTimeout = 60 * time.Second

// CallResult is what a caller observed of one call.
type CallResult struct {
	CallID string
	// Host is the ingress host, and AnsweredAt when the answer was complete or the call
	// failed.
	Host       string
	AnsweredAt time.Time
	// Outcome is empty if the connection ended before the answer was complete.
	Outcome string
	Reason  string
	Status  int
	Err     error
	// BodyBytes is the body length of a complete answer.
	BodyBytes int
	// AnswerMatches reports whether the answer is complete and carries the call's id.
	AnswerMatches bool
}

// Callers make concurrent calls and record their results.
type Callers struct {
	mesh *Mesh
	// idPrefix is the prefix of all call ids.
	idPrefix  string
	callCount atomic.Int64
	// keepAliveClient reuses connections; if nil, each call opens a new one.
	keepAliveClient *http.Client

	mu      sync.Mutex
	results []CallResult
}

// NewCallers returns callers whose call ids begin with "call".
func NewCallers(me *Mesh) *Callers { return NewCallersWithPrefix(me, "call") }

// NewCallersWithPrefix returns callers whose call ids begin with a prefix, which
// must differ between callers of the same mesh.
func NewCallersWithPrefix(me *Mesh, idPrefix string) *Callers {
	return &Callers{
		mesh:     me,
		idPrefix: idPrefix,
	}
}

// EnableKeepAlive makes the callers reuse connections.
func (ca *Callers) EnableKeepAlive() {
	tr := &http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerHost}
	ca.mesh.T.Cleanup(tr.CloseIdleConnections)
	ca.keepAliveClient = &http.Client{Transport: tr}
}

// maxIdleConnsPerHost limits the idle connections kept for reuse, per host.
const maxIdleConnsPerHost = 64

// client returns the HTTP client for one call.
func (ca *Callers) client() *http.Client {
	if ca.keepAliveClient != nil {
		return ca.keepAliveClient
	}
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
}

// Call makes one call at a host, with a body of size bytes, and never retries it.
func (ca *Callers) Call(id, method, path string, size int) CallResult {
	cr := CallResult{
		CallID: fmt.Sprintf("%s-%d", ca.idPrefix, ca.callCount.Add(1)),
		Host:   id,
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	url := "http://" + ca.mesh.Hosts[id].CallerAddress + path
	rq, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(make([]byte, size)))
	if err != nil {
		cr.Err = err
		return ca.record(cr)
	}
	rq.Header.Set(upstreamstandin.HeaderCallID, cr.CallID)
	rs, err := ca.client().Do(rq)
	if err != nil {
		cr.Err = err
		return ca.record(cr)
	}
	defer func() { _ = rs.Body.Close() }()
	data, err := io.ReadAll(rs.Body)
	cr.Err = err
	cr.Status = rs.StatusCode
	if err == nil {
		cr.Outcome = rs.Header.Get("Lynxfold-Outcome")
		cr.Reason = rs.Header.Get("Lynxfold-Reason")
		cr.BodyBytes = len(data)
		cr.AnswerMatches = answerMatches(cr.CallID, data)
	}
	return ca.record(cr)
}

// answerMatches reports whether an answer belongs to a call. A short answer
// contains the call's id; a long one is a pattern generated from it.
func answerMatches(callID string, data []byte) bool {
	if strings.Contains(string(data), `"call":"`+callID+`"`) {
		return true
	}
	want, err := io.ReadAll(upstreamstandin.Pattern(callID, len(data)))
	return err == nil && bytes.Equal(want, data)
}

func (ca *Callers) record(cr CallResult) CallResult {
	cr.AnsweredAt = time.Now()
	ca.mu.Lock()
	defer ca.mu.Unlock()
	ca.results = append(ca.results, cr)
	return cr
}

// StartLoad runs concurrent workers, each making one call after the other, until
// stop is called. stop waits for the calls in progress.
func (ca *Callers) StartLoad(workers int, call func(worker int)) (stop func()) {
	var wg sync.WaitGroup
	var stopped atomic.Bool
	for i := range workers {
		wg.Go(func() {
			for !stopped.Load() {
				call(i)
			}
		})
	}
	return func() {
		stopped.Store(true)
		wg.Wait()
	}
}

// Results returns the results of all finished calls.
func (ca *Callers) Results() []CallResult {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	return append([]CallResult(nil), ca.results...)
}

// CheckOutcomes compares the reported outcomes with the upstreams' ledgers: a call
// with outcome ran must have run once, one with outcome not_run never, and no call
// twice. It returns the number of calls by outcome.
func (ca *Callers) CheckOutcomes(t testing.TB) map[string]int {
	t.Helper()
	runs := ca.mesh.Runs()
	counts := map[string]int{}
	for _, cr := range ca.Results() {
		counts[cr.Outcome]++
		n := len(runs[cr.CallID])
		assert.Check(t, n <= 1, "%s ran %d times; result %+v", cr.CallID, n, cr)
		switch cr.Outcome {
		case "ran":
			assert.Check(t, n == 1, "%s was reported as ran but did not run; result %+v", cr.CallID, cr)
			assert.Check(t, cr.Status != http.StatusOK || cr.AnswerMatches, "%s got another call's answer or an incomplete one", cr.CallID)
		case "not_run":
			assert.Check(t, n == 0, "%s was reported as not_run but ran; result %+v", cr.CallID, cr)
		}
	}
	return counts
}
