package link_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"lynxfold/core/link"
)

// TestTransit runs the scripts in testdata/transit. A line of input is the send time and
// the receive time of a message, each on its own host's clock; the output is its delay.
func TestTransit(t *testing.T) {
	datadriven.Walk(t, "testdata/transit", func(t *testing.T, path string) {
		var tr link.Transit
		datadriven.RunTest(t, path, func(t *testing.T, td *datadriven.TestData) string {
			var sb strings.Builder
			for line := range strings.Lines(td.Input) {
				sent, received, _ := strings.Cut(strings.TrimSpace(line), " ")
				fmt.Fprintln(&sb, tr.Delay(parse(t, sent), parse(t, received)))
			}
			return sb.String()
		})
	})
}

func parse(t *testing.T, text string) time.Duration {
	t.Helper()
	span, err := time.ParseDuration(text)
	if err != nil {
		t.Fatal(err)
	}
	return span
}
