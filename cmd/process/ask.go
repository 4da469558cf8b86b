package process

import (
	"context"
	"time"
)

const (
	// askEvery is the time between two looks whether the upstream can be asked.
	askEvery = 20 * time.Millisecond
	// askFor bounds the time after a start in which the upstream is asked.
	askFor = 5 * time.Second
)

// askUpstream asks this host's upstream about itself after a start, once there is
// a configuration that says where, unless it announces itself before.
func (pr *Process) askUpstream(ctx context.Context) error {
	service := pr.prober.Service()
	if service == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, askFor)
	defer cancel()
	for ctx.Err() == nil && !pr.gate.Announced() {
		se, known := pr.control.View().Config.Service(service)
		if !known || se.HealthPath == "" {
			wait(ctx, askEvery)
			continue
		}
		an, ok := pr.prober.Probe(ctx, se.HealthPath)
		pr.log.Info().Bool("usable", ok).Str("instance", string(an.Instance)).Msg("upstream was asked about itself")
		if ok && !pr.gate.Announced() {
			pr.gate.Announce(an)
		}
		return nil
	}
	return nil
}
