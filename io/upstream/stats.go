package upstream

import (
	"time"

	"lynxfold/core/host"
)

// Stats is a snapshot of a gate's occupancy.
type Stats struct {
	Slots   host.Slots
	Running int
	Queued  int
	// KeptBytes is the size of the responses kept for queries after a lost connection.
	KeptBytes int
	// MeanService is the mean service time of short calls; 0 before the first.
	MeanService time.Duration
}

// Stats returns the gate's current occupancy.
func (ga *Gate) Stats() Stats {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	return Stats{
		Slots:     ga.lastAnnouncement.Slots,
		Running:   ga.core.Running(),
		Queued:    ga.core.Queued(),
		KeptBytes: ga.core.KeptBytes(),

		MeanService: ga.core.Load(time.Now()).ServiceTime,
	}
}
