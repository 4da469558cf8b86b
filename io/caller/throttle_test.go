package caller

import (
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"lynxfold/io/operator/record"
	"lynxfold/io/upstream/standin"
)

// TestRefusedWithoutAttempt fills a gate. After a few refusals, some calls are to be
// refused without an attempt, with the promise that they did not run, a Retry-After and
// an explanation.
func TestRefusedWithoutAttempt(t *testing.T) {
	rec := record.New(record.Config{CallEntries: 1000})
	fx := startFixture(t, Config{Recorder: rec}, standin.Config{Slots: 1})
	var wg sync.WaitGroup
	defer wg.Wait()
	for range 3 {
		wg.Go(func() { _, _, _ = fx.do(t, "GET", "/results/1?work=600ms", "slow", nil) })
	}
	eventually(t, "the queue is full", func() bool { return fx.gates["host-0"].Stats().Queued == 2 })
	for range 50 {
		rs, _, err := fx.do(t, "GET", "/results/1", "more", nil)
		assert.NilError(t, err)
		if rs.Header.Get(HeaderReason) != "service_full" {
			continue
		}
		assert.Equal(t, rs.StatusCode, 503)
		assert.Equal(t, rs.Header.Get(HeaderOutcome), "not_run")
		assert.Check(t, rs.Header.Get("Retry-After") != "")
		assert.Equal(t, fx.counter(`lynxfold_calls_refused_early_total{rank="0"}`), uint64(1))
		entries := rec.ExplainCall(rs.Header.Get(HeaderCallID)).Entries
		assert.Equal(t, len(entries), 1, "no attempt")
		assert.Assert(t, strings.Contains(entries[0].Detail, "found no room"), entries[0].Detail)
		return
	}
	t.Fatal("no call was refused without an attempt")
}
