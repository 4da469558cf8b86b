package process

import (
	"bytes"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"lynxfold/core/datacentre"
)

// TestPlatformLostAndRegained checks that each change of state writes one line,
// however often reads fail or succeed.
func TestPlatformLostAndRegained(t *testing.T) {
	var out bytes.Buffer
	dl := dependencyLog{log: zerolog.New(&out)}
	now := time.Unix(1_000_000, 0)
	failed := datacentre.PlatformRead{
		Err:  errors.New("no answer"),
		Took: 1500 * time.Millisecond,
	}
	for i, ev := range []datacentre.Event{
		datacentre.PlatformRead{}, failed, failed, datacentre.Tick{}, datacentre.PlatformRead{}, datacentre.PlatformRead{},
	} {
		dl.memberEvent(ev, i > 0, now.Add(time.Duration(i)*time.Second))
	}
	var events []string
	for line := range strings.Lines(out.String()) {
		_, rest, _ := strings.Cut(line, `"event":"`)
		event, _, _ := strings.Cut(rest, `"`)
		events = append(events, event)
	}
	assert.DeepEqual(t, events, []string{"reader_changed", "platform_lost", "platform_regained"})
	assert.Assert(t, strings.Contains(out.String(), `"lost_for_ms":3000`))
	assert.Assert(t, strings.Contains(out.String(), `"error":"no answer"`))
	assert.Assert(t, strings.Contains(out.String(), `"event":"platform_lost","read_took_ms":1500`))
	assert.Assert(t, strings.Contains(out.String(), `"failed_reads":2`))
}
