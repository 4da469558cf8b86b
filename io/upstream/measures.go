package upstream

import "lynxfold/core/host"

// Measures are what a gate holds now.
type Measures struct {
	Slots   host.Slots
	Running int
	Queued  int
	// KeptBytes is the size of the answers that are kept for lost connections.
	KeptBytes int
}

// Measures returns what the gate holds now.
func (ga *Gate) Measures() Measures {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	return Measures{
		Slots:     ga.last.Slots,
		Running:   ga.core.Running(),
		Queued:    ga.core.Queued(),
		KeptBytes: ga.core.KeptBytes(),
	}
}
