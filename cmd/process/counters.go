package process

import (
	"fmt"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"lynxfold/core/datacentre"
)

// controlCounters count what the control goroutine decides.
type controlCounters struct {
	set *metrics.Set
	// inForceAt is when the version in force was put in force, in Unix
	// nanoseconds; 0 while there is none.
	inForceAt atomic.Int64
}

func newControlCounters(set *metrics.Set) *controlCounters {
	co := &controlCounters{set: set}
	set.NewGauge(`lynxfold_config_age_seconds`, co.configAge)
	return co
}

// configAge is how long the version in force has been so, in seconds.
func (co *controlCounters) configAge() float64 {
	at := co.inForceAt.Load()
	if at == 0 {
		return 0
	}
	return time.Since(time.Unix(0, at)).Seconds()
}

func (co *controlCounters) note(no datacentre.Note) {
	if no.Kind == datacentre.NoteVersionInForce {
		co.inForceAt.Store(no.At.UnixNano())
	}
	co.set.GetOrCreateCounter(fmt.Sprintf(`lynxfold_control_decisions_total{kind=%q}`, no.Kind)).Inc()
}

func (co *controlCounters) read(err error) {
	outcome := "ok"
	if err != nil {
		outcome = "failed"
	}
	co.set.GetOrCreateCounter(fmt.Sprintf(`lynxfold_platform_reads_total{outcome=%q}`, outcome)).Inc()
}

func (co *controlCounters) introduced(wrote bool, err error) {
	outcome := "kept"
	switch {
	case err != nil:
		outcome = "failed"
	case wrote:
		outcome = "written"
	}
	co.set.GetOrCreateCounter(fmt.Sprintf(`lynxfold_platform_introductions_total{outcome=%q}`, outcome)).Inc()
}
