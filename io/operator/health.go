package operator

import "github.com/valyala/fasthttp"

// HealthReason names why a node is not live or not ready.
type HealthReason string

// Reasons of health pages.
const (
	HealthControlStalled  HealthReason = "control_stalled"
	HealthNoConfiguration HealthReason = "no_configuration"
	HealthDraining        HealthReason = "draining"
)

// Health is the answer of the health pages.
type Health struct {
	OK      bool           `json:"ok"`
	Reasons []HealthReason `json:"reasons"`
}

func writeHealth(ctx *fasthttp.RequestCtx, reasons []HealthReason) {
	he := Health{
		OK:      len(reasons) == 0,
		Reasons: reasons,
	}
	if he.OK {
		he.Reasons = []HealthReason{}
		writeJSON(ctx, fasthttp.StatusOK, he)
		return
	}
	writeJSON(ctx, fasthttp.StatusServiceUnavailable, he)
}
