// Package stdout writes log lines to standard output. It never blocks those who
// log: beyond a budget of bytes a second, and while nobody reads, lines are
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

// Config sets up a writer.
type Config struct {
	Out io.Writer
	// Important and Routine are the budgets of the two kinds of lines, in bytes a
	// second.
	Important int
	Routine   int
	// Set gets the counters.
	Set *metrics.Set
}

const (
	// DefaultImportant is a budget for one node, in bytes a second: some forty lines.
	DefaultImportant = 24 << 10
	// DefaultRoutine is the same for routine lines: a few.
	DefaultRoutine = 2 << 10
	// burstSeconds is how many seconds' budget may be written at once.
	burstSeconds = 4
	// waiting bounds the lines that wait for standard output.
	waiting = 512
	// tellEvery is the shortest time between two lines about dropped ones.
	tellEvery = 5 * time.Second
	// closeWithin bounds the wait for the last lines.
	closeWithin = 500 * time.Millisecond
)

// Writer passes lines to standard output by a goroutine of its own.
type Writer struct {
	out       io.Writer
	important *lane
	routine   *lane
	lines     chan []byte
	stop      chan struct{}
	done      chan struct{}
	once      sync.Once
	written   *metrics.Counter
}

// lane is one kind of lines.
type lane struct {
	writer  *Writer
	budget  *rate.Limiter
	dropped *metrics.Counter
}

// New starts a writer; Close ends it.
func New(cfg Config) *Writer {
	wr := &Writer{
		out:     cfg.Out,
		lines:   make(chan []byte, waiting),
		stop:    make(chan struct{}),
		done:    make(chan struct{}),
		written: cfg.Set.GetOrCreateCounter(`lynxfold_log_written_bytes_total`),
	}
	wr.important = wr.lane("important", cfg.Important, cfg.Set)
	wr.routine = wr.lane("routine", cfg.Routine, cfg.Set)
	go wr.run()
	return wr
}

func (wr *Writer) lane(name string, perSecond int, set *metrics.Set) *lane {
	return &lane{
		writer:  wr,
		budget:  rate.NewLimiter(rate.Limit(perSecond), perSecond*burstSeconds),
		dropped: set.GetOrCreateCounter(`lynxfold_log_lines_dropped_total{kind="` + name + `"}`),
	}
}

// Important takes lines about failures, doubts and changes of what the node
// believes.
func (wr *Writer) Important() io.Writer { return wr.important }

// Routine takes lines about what went well; they are the first to be dropped.
func (wr *Writer) Routine() io.Writer { return wr.routine }

// Write takes one line, or drops it.
func (la *lane) Write(line []byte) (int, error) {
	if !la.budget.AllowN(time.Now(), len(line)) {
		la.dropped.Inc()
		return len(line), nil
	}
	select {
	case la.writer.lines <- append([]byte(nil), line...):
	default:
		la.dropped.Inc()
	}
	return len(line), nil
}

func (wr *Writer) run() {
	defer close(wr.done)
	var told [2]uint64
	next := time.Time{}
	for {
		select {
		case line := <-wr.lines:
			wr.write(line)
		case <-wr.stop:
			wr.drain()
			return
		}
		if now := time.Now(); !now.Before(next) {
			if wr.tell(&told) {
				next = now.Add(tellEvery)
			}
		}
	}
}

// write passes a line on; when standard output fails, nobody is left to be told.
func (wr *Writer) write(line []byte) {
	n, _ := wr.out.Write(line)
	wr.written.Add(n)
}

// drain writes what waits at the end.
func (wr *Writer) drain() {
	for {
		select {
		case line := <-wr.lines:
			wr.write(line)
		default:
			return
		}
	}
}

// tell writes how many lines were dropped since the last time; it is false when
// none were.
func (wr *Writer) tell(told *[2]uint64) bool {
	now := [2]uint64{wr.important.dropped.Get(), wr.routine.dropped.Get()}
	if now == *told {
		return false
	}
	line := `{"level":"warn","event":"log_lines_dropped","important":` + strconv.FormatUint(now[0]-told[0], 10) +
		`,"routine":` + strconv.FormatUint(now[1]-told[1], 10) + `,"message":"log lines were dropped to keep within the budget"}` + "\n"
	wr.write([]byte(line))
	*told = now
	return true
}

// Close writes the lines that wait, for a short time at most.
func (wr *Writer) Close() {
	wr.once.Do(func() { close(wr.stop) })
	select {
	case <-wr.done:
	case <-time.After(closeWithin):
	}
}
