package process

import (
	"fmt"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"lynxfold/core/datacentre"
)

// controlCounters counts the decisions of the control goroutine.
type controlCounters struct {
	set *metrics.Set
	// inForceAt is when the current version came into force.
	inForceAt atomicTime
	// readAt is when this node last read the platform's table successfully.
	readAt atomicTime
}

func newControlCounters(set *metrics.Set) *controlCounters {
	co := &controlCounters{set: set}
	set.NewGauge(`lynxfold_config_age_seconds`, co.inForceAt.ageSeconds)
	set.NewGauge(`lynxfold_platform_read_age_seconds`, co.readAt.ageSeconds)
	return co
}

// atomicTime is a time that one goroutine sets and others read.
type atomicTime struct {
	// at is in Unix nanoseconds; 0 while it is not set.
	at atomic.Int64
}

func (ti *atomicTime) set(at time.Time) { ti.at.Store(at.UnixNano()) }

// ageSeconds returns the seconds since the time; 0 while it is not set.
func (ti *atomicTime) ageSeconds() float64 {
	at := ti.at.Load()
	if at == 0 {
		return 0
	}
	return time.Since(time.Unix(0, at)).Seconds()
}

func (co *controlCounters) countNote(no datacentre.Note) {
	if no.Kind == datacentre.NoteVersionActive {
		co.inForceAt.set(no.At)
	}
	co.set.GetOrCreateCounter(fmt.Sprintf(`lynxfold_control_decisions_total{kind=%q}`, no.Kind)).Inc()
}

func (co *controlCounters) countPlatformRead(err error) {
	outcome := "ok"
	if err != nil {
		outcome = "failed"
	} else {
		co.readAt.set(time.Now())
	}
	co.set.GetOrCreateCounter(fmt.Sprintf(`lynxfold_platform_reads_total{outcome=%q}`, outcome)).Inc()
}

func (co *controlCounters) countIntroduction(wrote bool, err error) {
	outcome := "kept"
	switch {
	case err != nil:
		outcome = "failed"
	case wrote:
		outcome = "written"
	}
	co.set.GetOrCreateCounter(fmt.Sprintf(`lynxfold_platform_introductions_total{outcome=%q}`, outcome)).Inc()
}
