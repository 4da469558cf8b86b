package stdout_test

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"

	"lynxfold/io/stdout"
)

// gated is an output that nobody reads until it is opened.
type gated struct {
	open chan struct{}
	mu   sync.Mutex
	buf  bytes.Buffer
}

func (ga *gated) Write(line []byte) (int, error) {
	<-ga.open
	ga.mu.Lock()
	defer ga.mu.Unlock()
	return ga.buf.Write(line)
}

func (ga *gated) String() string {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	return ga.buf.String()
}

func dropped(set *metrics.Set, kind string) uint64 {
	return set.GetOrCreateCounter(`lynxfold_log_lines_dropped_total{kind="` + kind + `"}`).Get()
}

// TestReaderThatStopsCostsLines logs while nobody reads: no call blocks, and what
// is lost is counted and told.
func TestReaderThatStopsCostsLines(t *testing.T) {
	set := metrics.NewSet()
	out := &gated{open: make(chan struct{})}
	wr := stdout.New(stdout.Config{Out: out, Important: 1 << 20, Routine: 1 << 20, Set: set})
	line := []byte(strings.Repeat("x", 99) + "\n")
	for range 5000 {
		_, err := wr.Important().Write(line)
		assert.NilError(t, err)
	}
	lost := dropped(set, "important")
	assert.Assert(t, lost >= 4000, "%d", lost)
	close(out.open)
	wr.Close()
	assert.Equal(t, uint64(strings.Count(out.String(), "x\n")), 5000-lost)
	assert.Assert(t, strings.Contains(out.String(), fmt.Sprintf(`"important":%d`, lost)))
}

// TestRoutineGoesFirst spends the budget of one kind and leaves the other's alone.
func TestRoutineGoesFirst(t *testing.T) {
	set := metrics.NewSet()
	out := &gated{open: make(chan struct{})}
	close(out.open)
	wr := stdout.New(stdout.Config{Out: out, Important: 100_000, Routine: 1000, Set: set})
	line := []byte(strings.Repeat("r", 99) + "\n")
	for range 100 {
		_, _ = wr.Routine().Write(line)
	}
	assert.Assert(t, dropped(set, "routine") >= 55)
	_, _ = wr.Important().Write([]byte("failure\n"))
	wr.Close()
	assert.Equal(t, dropped(set, "important"), uint64(0))
	assert.Assert(t, strings.Contains(out.String(), "failure\n"))
}

// TestCloseDoesNotWaitForever ends although nobody reads.
func TestCloseDoesNotWaitForever(t *testing.T) {
	out := &gated{open: make(chan struct{})}
	wr := stdout.New(stdout.Config{Out: out, Important: 1000, Routine: 1000, Set: metrics.NewSet()})
	_, _ = wr.Important().Write([]byte("line\n"))
	done := make(chan struct{})
	go func() {
		wr.Close()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(20 * time.Second):
		t.Fatal("Close waits for a reader")
	}
	close(out.open)
}
