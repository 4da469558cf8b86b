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

// blockedOutput is an output whose writes block until its channel is closed.
type blockedOutput struct {
	unblocked chan struct{}
	mu        sync.Mutex
	buf       bytes.Buffer
}

func (bo *blockedOutput) Write(line []byte) (int, error) {
	<-bo.unblocked
	bo.mu.Lock()
	defer bo.mu.Unlock()
	return bo.buf.Write(line)
}

func (bo *blockedOutput) String() string {
	bo.mu.Lock()
	defer bo.mu.Unlock()
	return bo.buf.String()
}

func dropped(set *metrics.Set, kind string) uint64 {
	return set.GetOrCreateCounter(`lynxfold_log_lines_dropped_total{kind="` + kind + `"}`).Get()
}

// TestBlockedOutputDropsLines logs while the output is blocked: no write blocks, and
// the dropped lines are counted and reported in the log.
func TestBlockedOutputDropsLines(t *testing.T) {
	set := metrics.NewSet()
	out := &blockedOutput{unblocked: make(chan struct{})}
	wr := stdout.New(stdout.Config{Out: out, ImportantBytesPerSecond: 1 << 20, RoutineBytesPerSecond: 1 << 20, Set: set})
	line := []byte(strings.Repeat("x", 99) + "\n")
	for range 5000 {
		_, err := wr.Important().Write(line)
		assert.NilError(t, err)
	}
	drops := dropped(set, "important")
	assert.Assert(t, drops >= 4000, "%d", drops)
	close(out.unblocked)
	wr.Close()
	assert.Equal(t, uint64(strings.Count(out.String(), "x\n")), 5000-drops)
	assert.Assert(t, strings.Contains(out.String(), fmt.Sprintf(`"important":%d`, drops)))
}

// TestRateLimitsAreIndependent exceeds the rate limit of routine lines; important
// lines are still written.
func TestRateLimitsAreIndependent(t *testing.T) {
	set := metrics.NewSet()
	out := &blockedOutput{unblocked: make(chan struct{})}
	close(out.unblocked)
	wr := stdout.New(stdout.Config{Out: out, ImportantBytesPerSecond: 100_000, RoutineBytesPerSecond: 1000, Set: set})
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

// TestCloseReturnsWhileOutputIsBlocked closes a writer that can't write its queue.
func TestCloseReturnsWhileOutputIsBlocked(t *testing.T) {
	out := &blockedOutput{unblocked: make(chan struct{})}
	wr := stdout.New(stdout.Config{Out: out, ImportantBytesPerSecond: 1000, RoutineBytesPerSecond: 1000, Set: metrics.NewSet()})
	_, _ = wr.Important().Write([]byte("line\n"))
	done := make(chan struct{})
	go func() {
		wr.Close()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(20 * time.Second):
		t.Fatal("Close blocks while the output is blocked")
	}
	close(out.unblocked)
}
