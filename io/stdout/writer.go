// Package stdout writes log lines to standard output and never blocks the caller: lines
// that exceed a rate limit, or that find the queue full while the output is blocked, are
// dropped and counted.
package stdout

import (
	"io"
	"strconv"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/time/rate"
)

// Config configures a Writer.
type Config struct {
	Out io.Writer
	// ImportantBytesPerSecond and RoutineBytesPerSecond are the rate limits of the two
	// kinds of lines.
	ImportantBytesPerSecond int
	RoutineBytesPerSecond   int
	// Set is where the counters are registered.
	Set *metrics.Set
}

const (
	// DefaultImportantBytesPerSecond is the rate limit of important lines for one node:
	// about forty lines per second.
	DefaultImportantBytesPerSecond = 24 << 10
	// DefaultRoutineBytesPerSecond is the rate limit of routine lines for one node: a few
	// lines per second.
	DefaultRoutineBytesPerSecond = 2 << 10
	// burstSeconds sets the burst of a rate limit: the bytes that the rate allows in this
	// time.
	burstSeconds = 4
	// maxQueuedLines limits the lines that wait to be written.
	maxQueuedLines = 512
	// dropReportInterval is the minimum time between two log lines that report the number
	// of dropped lines.
	dropReportInterval = 5 * time.Second
	// closeTimeout limits how long Close waits for the queued lines.
	closeTimeout = 500 * time.Millisecond
)

// Writer queues log lines and writes them in a separate goroutine. It has a rate limit
// for important and one for routine lines.
type Writer struct {
	out          io.Writer
	important    *kindWriter
	routine      *kindWriter
	queue        chan []byte
	closing      chan struct{}
	done         chan struct{}
	closeOnce    sync.Once
	writtenBytes *metrics.Counter
}

// kindWriter accepts the lines of one kind, within its rate limit.
type kindWriter struct {
	writer  *Writer
	limiter *rate.Limiter
	dropped *metrics.Counter
}

// New returns a Writer and starts its goroutine; Close stops it.
func New(cfg Config) *Writer {
	wr := &Writer{
		out:          cfg.Out,
		queue:        make(chan []byte, maxQueuedLines),
		closing:      make(chan struct{}),
		done:         make(chan struct{}),
		writtenBytes: cfg.Set.GetOrCreateCounter(`lynxfold_log_written_bytes_total`),
	}
	wr.important = wr.newKindWriter("important", cfg.ImportantBytesPerSecond, cfg.Set)
	wr.routine = wr.newKindWriter("routine", cfg.RoutineBytesPerSecond, cfg.Set)
	go wr.run()
	return wr
}

func (wr *Writer) newKindWriter(kind string, bytesPerSecond int, set *metrics.Set) *kindWriter {
	return &kindWriter{
		writer:  wr,
		limiter: rate.NewLimiter(rate.Limit(bytesPerSecond), bytesPerSecond*burstSeconds),
		dropped: set.GetOrCreateCounter(`lynxfold_log_lines_dropped_total{kind="` + kind + `"}`),
	}
}

// Important returns the writer for lines about failures, unknown outcomes and changes
// in the node's view of the mesh.
func (wr *Writer) Important() io.Writer { return wr.important }

// Routine returns the writer for lines about success. By default its rate limit is
// lower, so that these lines are dropped first.
func (wr *Writer) Routine() io.Writer { return wr.routine }

// Write queues or drops one line; it never fails.
func (kw *kindWriter) Write(line []byte) (int, error) {
	if !kw.limiter.AllowN(time.Now(), len(line)) {
		kw.dropped.Inc()
		return len(line), nil
	}
	select {
	case kw.writer.queue <- append([]byte(nil), line...):
	default:
		kw.dropped.Inc()
	}
	return len(line), nil
}

func (wr *Writer) run() {
	defer close(wr.done)
	var reported [2]uint64
	nextReport := time.Time{}
	for {
		select {
		case line := <-wr.queue:
			wr.write(line)
		case <-wr.closing:
			wr.drain()
			return
		}
		if now := time.Now(); !now.Before(nextReport) {
			if wr.reportDropped(&reported) {
				nextReport = now.Add(dropReportInterval)
			}
		}
	}
}

// write writes a line to the output. It ignores errors, since a failure of the log
// output can't be logged.
func (wr *Writer) write(line []byte) {
	n, _ := wr.out.Write(line)
	wr.writtenBytes.Add(n)
}

// drain writes the lines that are queued when the writer closes.
func (wr *Writer) drain() {
	for {
		select {
		case line := <-wr.queue:
			wr.write(line)
		default:
			return
		}
	}
}

// reportDropped writes a line with the number of lines dropped since the last report.
// It returns false if there are none.
func (wr *Writer) reportDropped(reported *[2]uint64) bool {
	dropped := [2]uint64{wr.important.dropped.Get(), wr.routine.dropped.Get()}
	if dropped == *reported {
		return false
	}
	line := `{"level":"warn","event":"log_lines_dropped","important":` + strconv.FormatUint(dropped[0]-reported[0], 10) +
		`,"routine":` + strconv.FormatUint(dropped[1]-reported[1], 10) + `,"message":"log lines dropped: rate limit exceeded or output blocked"}` + "\n"
	wr.write([]byte(line))
	*reported = dropped
	return true
}

// Close writes the queued lines and stops the writer. It returns after closeTimeout
// even if the output is blocked.
func (wr *Writer) Close() {
	wr.closeOnce.Do(func() { close(wr.closing) })
	select {
	case <-wr.done:
	case <-time.After(closeTimeout):
	}
}
