package caller

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"lynxfold/core/call"
	"lynxfold/core/host"
)

// Counters count what callers were told.
type Counters struct {
	set *metrics.Set
}

// NewCounters builds the counters in a set.
func NewCounters(set *metrics.Set) *Counters { return &Counters{set: set} }

func (co *Counters) refused(re host.Reason) {
	co.set.GetOrCreateCounter(fmt.Sprintf(`lynxfold_refusals_total{reason=%q}`, re)).Inc()
}

func (co *Counters) answered(ou call.Outcome, took time.Duration) {
	co.set.GetOrCreateCounter(fmt.Sprintf(`lynxfold_calls_total{outcome=%q}`, ou)).Inc()
	co.set.GetOrCreateHistogram(`lynxfold_call_duration_seconds`).Update(took.Seconds())
}
