package upstream

import "lynxfold/core/host"

// Stats are what a gate holds now.
type Stats struct {
	Slots   host.Slots
	Running int
	Queued  int
	// KeptBytes is the size of the answers that are kept for lost connections.
	KeptBytes int
}

// Measures returns what the gate holds now.
func (ga *Gate) Measures() Stats {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	return Stats{
		Slots:     ga.lastAnnouncement.Slots,
		Running:   ga.core.Running(),
		Queued:    ga.core.Queued(),
		KeptBytes: ga.core.KeptBytes(),
	}
}
