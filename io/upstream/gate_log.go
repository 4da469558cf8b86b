package upstream

import (
	"time"

	"lynxfold/core/host"
	"lynxfold/core/wire"
)

// logRefused logs the refusal of an attempt and the gate's occupancy.
func (ga *Gate) logRefused(rq *wire.Request, re host.Refuse) {
	ev := ga.cfg.Log.Warn()
	if !ev.Enabled() || re.Reason == host.ReasonBusy {
		return // expected when the ingress tries a busy gate; the log line of the call lists its attempts
	}
	st := ga.Stats()
	ev.Str("event", "gate_refused").
		Str("request", rq.GetRequestId()).
		Str("attempt", rq.GetAttempt()).
		Str("service", rq.GetService()).
		Str("reason", string(re.Reason)).
		Int("slots", int(st.Slots)).
		Int("running", st.Running).
		Int("queued", st.Queued).
		Int("ahead", re.Ahead).
		Int("kept_slots", re.KeptSlots).
		Bool("rate_limited", re.RateLimited).
		Uint32("rank", rq.GetRank()).
		Bool("nested", rq.GetNested()).
		Bool("returning", rq.GetReturning()).
		Int64("objective_left_ms", rq.GetObjectiveUs()/1000).
		Int64("deadline_left_ms", rq.GetRemainingUs()/1000).
		Msg("attempt was refused by the gate")
}

// slowAttemptThreshold is the duration from which an attempt is logged; most
// calls complete several times faster.
const slowAttemptThreshold = time.Second

// logSlowOrFailed logs an attempt that was slow or did not complete. The ingress
// may only know that it got no response.
func (ga *Gate) logSlowOrFailed(rq *wire.Request, rs Result, took time.Duration) {
	if rs.Outcome == host.OutcomeRan && took < slowAttemptThreshold {
		return
	}
	ga.cfg.Log.Warn().
		Str("event", "gate_ended").
		Str("request", rq.GetRequestId()).
		Str("attempt", rq.GetAttempt()).
		Str("service", rq.GetService()).
		Str("outcome", string(rs.Outcome)).
		Int32("status", rs.Response.GetStatus()).
		Str("reason", string(rs.Reason)).
		Str("fingerprint", formatFingerprint(fingerprintOf(rq))).
		Int64("took_ms", took.Milliseconds()).
		Msg("upstream attempt was slow or did not complete")
}
