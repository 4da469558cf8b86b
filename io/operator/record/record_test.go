package record_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"gotest.tools/v3/assert"

	"lynxfold/core/contract"
	"lynxfold/core/host"
	"lynxfold/io/operator/record"
)

var begin = time.Date(2026, 12, 3, 22, 0, 0, 0, time.UTC)

// TestRecord feeds entries from a data file and asks why.
func TestRecord(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		re := record.New(record.Config{Control: 4, Calls: 6})
		seconds := 0
		datadriven.RunTest(t, path, func(t *testing.T, td *datadriven.TestData) string {
			switch td.Cmd {
			case "control", "call":
				for line := range strings.Lines(td.Input) {
					seconds++
					add(t, re, td.Cmd, line, begin.Add(time.Duration(seconds)*time.Second))
				}
				return ""
			case "version":
				var ve uint64
				td.ScanArgs(t, "of", &ve)
				return show(re.Version(contract.Version(ve)))
			case "host":
				var id string
				td.ScanArgs(t, "of", &id)
				return show(re.Host(host.ID(id)))
			case "explain":
				var id string
				td.ScanArgs(t, "of", &id)
				return show(re.CallOf(id))
			}
			return show(re.Latest(2))
		})
	})
}

// add reads KIND HOST VERSION CALL ATTEMPT REASON, each "-" when it is empty.
func add(t *testing.T, re *record.Record, sort, line string, at time.Time) {
	fields := strings.Fields(line)
	assert.Equal(t, len(fields), 6, line)
	for i := range fields {
		if fields[i] == "-" {
			fields[i] = ""
		}
	}
	en := record.Entry{
		At:      at,
		Kind:    record.Kind(fields[0]),
		Host:    host.ID(fields[1]),
		Call:    record.CallID(fields[3]),
		Attempt: host.AttemptID(fields[4]),
		Reason:  fields[5],
	}
	_, _ = fmt.Sscan(fields[2], &en.Version)
	if sort == "control" {
		re.Control(en)
		return
	}
	re.Call(en)
}

func show(an record.Answer) string {
	var sb strings.Builder
	if !an.Since.IsZero() {
		fmt.Fprintf(&sb, "since %s\n", an.Since.Format(time.TimeOnly))
	}
	for _, en := range an.Entries {
		fmt.Fprintf(&sb, "%s %s host=%s version=%d attempt=%s reason=%s\n",
			en.At.Format(time.TimeOnly), en.Kind, en.Host, en.Version, en.Attempt, en.Reason)
	}
	return sb.String()
}

// TestManyWriters shows that a flood of calls neither grows the record nor
// pushes control's decisions out.
func TestManyWriters(t *testing.T) {
	re := record.New(record.Config{Control: 8, Calls: 100})
	re.Control(record.Entry{At: begin, Kind: "host_dead", Host: "h"})
	var done sync.WaitGroup
	for range 8 {
		done.Go(func() {
			for range 5000 {
				re.Call(record.Entry{At: begin, Kind: record.KindAttempt, Call: "c"})
			}
		})
	}
	done.Wait()
	assert.Equal(t, len(re.CallOf("c").Entries), 100)
	assert.Equal(t, len(re.Host("h").Entries), 1)
}

// BenchmarkCall measures what a traffic goroutine pays for one entry.
func BenchmarkCall(b *testing.B) {
	re := record.New(record.Config{Control: 8, Calls: 4096})
	en := record.Entry{At: begin, Kind: record.KindAttempt, Call: "press-hall-1.1.1", Host: "press-hall-1"}
	b.ReportAllocs()
	for b.Loop() {
		re.Call(en)
	}
}
