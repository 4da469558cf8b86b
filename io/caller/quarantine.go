package caller

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"lynxfold/core/call"
	"lynxfold/core/datacentre"
	"lynxfold/core/host"
	"lynxfold/core/quarantine"
	"lynxfold/io/upstream"
)

// answerQuarantined answers a call that is not begun because its request has crashed
// upstreams, and reports whether it did so.
func (ex *exchange) answerQuarantined() bool {
	ve := ex.server.cfg.Quarantine.Admit(ex.fingerprint)
	ex.trial = ve.IsTrial()
	if ve.State != quarantine.StateQuarantined {
		return false
	}
	now := time.Now()
	ex.answer(call.Respond{
		Result: call.Result{
			Outcome:    call.OutcomeNotRun,
			Reason:     host.ReasonQuarantined,
			RetryAfter: call.JitterRetryAfter(ve.Until, now, minRetryAfter, ex.server.jitter()),
		},
		NoRetryReason: call.NoRetryQuarantined,
	})
	return true
}

// refuseQuarantined returns the refusal of an attempt whose request has crashed upstreams
// since the call began. There is none if the attempt may be sent.
func (ex *exchange) refuseQuarantined() upstream.Reply {
	ve := ex.server.cfg.Quarantine.Verdict(ex.fingerprint)
	if ve.State != quarantine.StateQuarantined {
		return upstream.Reply{}
	}
	re := upstream.RefusalReply(host.ReasonQuarantined, true)
	re.Refusal.RetryAfterUs = max(1, time.Until(ve.Until).Microseconds())
	return re
}

// pickTrial returns the upstream that runs the trials of the request. There is no second
// attempt: one upstream at most is to crash.
func (ex *exchange) pickTrial(tried []host.ID) (datacentre.Upstream, bool) {
	if len(tried) > 0 {
		return datacentre.Upstream{}, false
	}
	byHost := map[host.ID]datacentre.Upstream{}
	for _, up := range ex.view.Upstreams[ex.target.Route.Service] {
		if !up.Suspect {
			byHost[up.Host] = up
		}
	}
	up, found := byHost[quarantine.TrialHost(ex.fingerprint, slices.Collect(maps.Keys(byHost)))]
	return up, found
}

// describeCrashes tells operators why a request is quarantined; empty if it has crashed
// nothing.
func (ex *exchange) describeCrashes(now time.Time) string {
	ve := ex.server.cfg.Quarantine.Verdict(ex.fingerprint)
	if ve.Crashes == 0 {
		return ""
	}
	text := fmt.Sprintf("such a request may have crashed %d upstreams, the last one on host %s %s ago",
		ve.Crashes, ve.LastHost, now.Sub(ve.LastCrash).Round(time.Millisecond))
	if ve.State == quarantine.StateQuarantined {
		text += fmt.Sprintf("; it is tried again in %s at the earliest", ve.Until.Sub(now).Round(time.Second))
	}
	return text
}
