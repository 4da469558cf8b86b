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

// callTimeout bounds one call of a test's caller; it is longer than any contract's.
const callTimeout = 60 * time.Second

// Told is what one caller was told of its call.
type Told struct {
	Call string
	// Outcome is empty when the connection ended without a whole answer.
	Outcome string
	Reason  string
	Status  int
	Err     error
	// Bytes is the length of a whole answer's body.
	Bytes int
	// Own says that the answer is whole and carries the call's id.
	Own bool
}

// Callers make calls side by side and remember what they were told.
type Callers struct {
	mesh *Mesh
	// name begins the ids of the calls.
	name  string
	calls atomic.Int64
	// kept is the client whose connections are used again; nil for a new one each.
	kept *http.Client

	mu   sync.Mutex
	told []Told
}

// NewCallers builds callers that have made no call.
func NewCallers(me *Mesh) *Callers { return NewNamedCallers(me, "call") }

// NewNamedCallers builds callers whose calls are told apart by a name of their own.
func NewNamedCallers(me *Mesh, name string) *Callers {
	return &Callers{
		mesh: me,
		name: name,
	}
}

// KeepConnections has callers use their connections again.
func (ca *Callers) KeepConnections() {
	tr := &http.Transport{MaxIdleConnsPerHost: keptConnections}
	ca.mesh.T.Cleanup(tr.CloseIdleConnections)
	ca.kept = &http.Client{Transport: tr}
}

// keptConnections bounds the connections that wait to be used again, for each host.
const keptConnections = 64

// client is what one call is made with.
func (ca *Callers) client() *http.Client {
	if ca.kept != nil {
		return ca.kept
	}
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
}

// Call makes one call at a host, with a body of some bytes, and never again.
func (ca *Callers) Call(id, method, path string, size int) Told {
	te := Told{Call: fmt.Sprintf("%s-%d", ca.name, ca.calls.Add(1))}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	url := "http://" + ca.mesh.Hosts[id].Caller + path
	rq, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(make([]byte, size)))
	if err != nil {
		te.Err = err
		return ca.add(te)
	}
	rq.Header.Set(upstreamstandin.HeaderCall, te.Call)
	rs, err := ca.client().Do(rq)
	if err != nil {
		te.Err = err
		return ca.add(te)
	}
	defer func() { _ = rs.Body.Close() }()
	data, err := io.ReadAll(rs.Body)
	te.Err = err
	te.Status = rs.StatusCode
	if err == nil {
		te.Outcome = rs.Header.Get("Lynxfold-Outcome")
		te.Reason = rs.Header.Get("Lynxfold-Reason")
		te.Bytes = len(data)
		te.Own = isOwn(te.Call, data)
	}
	return ca.add(te)
}

// isOwn tells whether an answer is that of a call: short ones name it, long
// ones repeat its name.
func isOwn(call string, data []byte) bool {
	if strings.Contains(string(data), `"call":"`+call+`"`) {
		return true
	}
	want, err := io.ReadAll(upstreamstandin.Pattern(call, len(data)))
	return err == nil && bytes.Equal(want, data)
}

func (ca *Callers) add(te Told) Told {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	ca.told = append(ca.told, te)
	return te
}

// Load runs callers side by side, each with one call after the other, until it
// is stopped.
func (ca *Callers) Load(callers int, call func(worker int)) (stop func()) {
	var done sync.WaitGroup
	var over atomic.Bool
	for i := range callers {
		done.Go(func() {
			for !over.Load() {
				call(i)
			}
		})
	}
	return func() {
		over.Store(true)
		done.Wait()
	}
}

// Told returns what the callers were told so far.
func (ca *Callers) Told() []Told {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	return append([]Told(nil), ca.told...)
}

// Check compares what callers were told with what the upstreams ran: a call
// that was told to have run ran once, one told not to have run never did, and
// none ran twice.
func (ca *Callers) Check(t testing.TB) map[string]int {
	t.Helper()
	runs := ca.mesh.Runs()
	counts := map[string]int{}
	for _, te := range ca.Told() {
		counts[te.Outcome]++
		n := len(runs[te.Call])
		assert.Check(t, n <= 1, "%s ran %d times; told %+v", te.Call, n, te)
		switch te.Outcome {
		case "ran":
			assert.Check(t, n == 1, "%s was told to have run; told %+v", te.Call, te)
			assert.Check(t, te.Status != http.StatusOK || te.Own, "%s got another's answer or a part of it", te.Call)
		case "not_run":
			assert.Check(t, n == 0, "%s was told not to have run, and ran; told %+v", te.Call, te)
		}
	}
	return counts
}
