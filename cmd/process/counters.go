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
	// inForceAt is when the version in force was put in force.
	inForceAt instant
}

func newControlCounters(set *metrics.Set) *controlCounters {
	co := &controlCounters{set: set}
	set.NewGauge(`lynxfold_config_age_seconds`, co.inForceAt.age)
	return co
}

// instant is a time that one goroutine sets and others read.
type instant struct {
	// at is in Unix nanoseconds; 0 while it is not set.
	at atomic.Int64
}

func (in *instant) set(at time.Time) { in.at.Store(at.UnixNano()) }

// age is how long ago the time was, in seconds; 0 while it is not set.
func (in *instant) age() float64 {
	at := in.at.Load()
	if at == 0 {
		return 0
	}
	return time.Since(time.Unix(0, at)).Seconds()
}

func (co *controlCounters) note(no datacentre.Note) {
	if no.Kind == datacentre.NoteVersionActive {
		co.inForceAt.set(no.At)
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
