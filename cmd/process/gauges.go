package process

import (
	"github.com/VictoriaMetrics/metrics"

	"lynxfold/io/upstream"
)

// registerGauges registers gauges of the node's present state.
func registerGauges(set *metrics.Set, ct *Control, ga *upstream.Gate) {
	for name, value := range map[string]func() int{
		`lynxfold_control_links`:          ct.links.PeerCount,
		`lynxfold_config_version`:         func() int { return int(ct.View().Config.Version) },
		`lynxfold_usable_upstreams`:       func() int { return usableUpstreams(ct) },
		`lynxfold_gate_slots`:             func() int { return int(ga.Stats().Slots) },
		`lynxfold_gate_running_calls`:     func() int { return ga.Stats().Running },
		`lynxfold_gate_queued_calls`:      func() int { return ga.Stats().Queued },
		`lynxfold_quarantined_requests`:   ct.crashes.Quarantined,
		`lynxfold_gate_kept_answer_bytes`: func() int { return ga.Stats().KeptBytes },
	} {
		set.NewGauge(name, func() float64 { return float64(value()) })
	}
	set.NewGauge(`lynxfold_gate_mean_service_seconds`, func() float64 { return ga.Stats().MeanService.Seconds() })
	set.NewGauge(`lynxfold_gate_rate_limit`, ga.RateLimitGauge)
	set.NewGauge(`lynxfold_view_age_seconds`, ct.viewChangedAt.ageSeconds)
}

func usableUpstreams(ct *Control) int {
	count := 0
	for _, ups := range ct.View().Upstreams {
		count += len(ups)
	}
	return count
}
