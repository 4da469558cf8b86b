package caller

import (
	"testing"

	"gotest.tools/v3/assert"

	"lynxfold/core/call"
	"lynxfold/core/call/keyed"
	"lynxfold/core/host"
)

// TestStatusSaysWhetherRequestRan checks that 502 and 504 are for doubt only: a request
// that certainly did not run is answered 503, unless the request itself is at fault.
func TestStatusSaysWhetherRequestRan(t *testing.T) {
	for _, it := range []struct {
		outcome call.Outcome
		reason  host.Reason
		want    int
	}{
		{outcome: call.OutcomeNotRun, reason: host.ReasonDeadline, want: 503},
		{outcome: call.OutcomeNotRun, reason: host.ReasonUpstreamTimeout, want: 503},
		{outcome: call.OutcomeNotRun, reason: host.ReasonQueueFull, want: 503},
		{outcome: call.OutcomeNotRun, reason: host.ReasonDownstreamFull, want: 503},
		{outcome: call.OutcomeNotRun, reason: call.ReasonLinkDial, want: 503},
		{outcome: call.OutcomeNotRun, reason: call.ReasonBodyTooLarge, want: 413},
		{outcome: call.OutcomeNotRun, reason: call.ReasonBadRequest, want: 400},
		{outcome: call.OutcomeNotRun, reason: keyed.ReasonKeyReused, want: 422},
		{outcome: call.OutcomeNotRun, reason: keyed.ReasonInProgress, want: 409},
		{outcome: call.OutcomeUnknown, reason: host.ReasonDeadline, want: 504},
		{outcome: call.OutcomeUnknown, reason: host.ReasonUpstreamTimeout, want: 504},
		{outcome: call.OutcomeUnknown, reason: call.ReasonLinkLost, want: 502},
	} {
		got := httpStatus(call.Result{Outcome: it.outcome, Reason: it.reason})
		assert.Check(t, got == it.want, "%s %s: status %d, want %d", it.outcome, it.reason, got, it.want)
	}
}
