package process

import (
	"context"
	"time"
)

const (
	// probeRetryInterval is the time between two checks whether the upstream's health
	// path is known.
	probeRetryInterval = 20 * time.Millisecond
	// probeWindow bounds the time after a start in which the upstream is probed.
	probeWindow = 5 * time.Second
)

// probeUpstream probes this host's upstream once after a start, as soon as the
// configuration gives its health path, unless the upstream announces itself first.
func (pr *Process) probeUpstream(ctx context.Context) error {
	service := pr.prober.Service()
	if service == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, probeWindow)
	defer cancel()
	for ctx.Err() == nil && !pr.gate.Announced() {
		se, known := pr.control.View().Config.Service(service)
		if !known || se.HealthPath == "" {
			sleep(ctx, probeRetryInterval)
			continue
		}
		re, ok := pr.prober.Probe(ctx, se.HealthPath)
		pr.log.Info().Bool("usable", ok).Str("instance", string(re.Announcement.Instance)).Msg("upstream probed after the start")
		if ok && !pr.gate.Announced() {
			pr.gate.AnnounceProbed(re)
		}
		return nil
	}
	return nil
}
