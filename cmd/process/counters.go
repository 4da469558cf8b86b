package process

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"lynxfold/core/datacentre"
)

// controlCounters count what the control goroutine decides.
type controlCounters struct {
	set *metrics.Set
}

func newControlCounters(set *metrics.Set) *controlCounters { return &controlCounters{set: set} }

func (co *controlCounters) note(no datacentre.Note) {
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
