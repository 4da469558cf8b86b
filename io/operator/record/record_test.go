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

var startTime = time.Date(2026, 12, 3, 22, 0, 0, 0, time.UTC)

// TestRecord adds the entries of each data file and prints the results of its queries.
func TestRecord(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		re := record.New(record.Config{ControlEntries: 4, CallEntries: 6})
		seconds := 0
		datadriven.RunTest(t, path, func(t *testing.T, td *datadriven.TestData) string {
			switch td.Cmd {
			case "control", "call":
				for line := range strings.Lines(td.Input) {
					seconds++
					add(t, re, td.Cmd, line, startTime.Add(time.Duration(seconds)*time.Second))
				}
				return ""
			case "version":
				var ve uint64
				td.ScanArgs(t, "of", &ve)
				return show(re.ExplainVersion(contract.Version(ve)))
			case "host":
				var id string
				td.ScanArgs(t, "of", &id)
				return show(re.ExplainHost(host.ID(id)))
			case "explain":
				var id string
				td.ScanArgs(t, "of", &id)
				return show(re.ExplainCall(id))
			}
			return show(re.Latest(2))
		})
	})
}

// add parses KIND HOST VERSION CALL ATTEMPT REASON, with "-" for an empty field.
func add(t *testing.T, re *record.Record, cmd, line string, at time.Time) {
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
	if cmd == "control" {
		re.AddControl(en)
		return
	}
	re.AddCall(en)
}

func show(ex record.Explanation) string {
	var sb strings.Builder
	if !ex.Since.IsZero() {
		fmt.Fprintf(&sb, "since %s\n", ex.Since.Format(time.TimeOnly))
	}
	for _, en := range ex.Entries {
		fmt.Fprintf(&sb, "%s %s host=%s version=%d attempt=%s reason=%s\n",
			en.At.Format(time.TimeOnly), en.Kind, en.Host, en.Version, en.Attempt, en.Reason)
	}
	return sb.String()
}

// TestManyWriters checks that many concurrent calls neither grow the record beyond its
// capacity nor displace control-plane decisions.
func TestManyWriters(t *testing.T) {
	re := record.New(record.Config{ControlEntries: 8, CallEntries: 100})
	re.AddControl(record.Entry{At: startTime, Kind: "host_dead", Host: "h"})
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range 5000 {
				re.AddCall(record.Entry{At: startTime, Kind: record.KindAttempt, Call: "c"})
			}
		})
	}
	wg.Wait()
	assert.Equal(t, len(re.ExplainCall("c").Entries), 100)
	assert.Equal(t, len(re.ExplainHost("h").Entries), 1)
}

// BenchmarkCall measures the cost of one entry in the path of a call.
func BenchmarkCall(b *testing.B) {
	re := record.New(record.Config{ControlEntries: 8, CallEntries: 4096})
	en := record.Entry{At: startTime, Kind: record.KindAttempt, Call: "press-hall-1.1.1", Host: "press-hall-1"}
	b.ReportAllocs()
	for b.Loop() {
		re.AddCall(en)
	}
}
