package caller

import (
	"fmt"
	"time"

	"lynxfold/core/call"
)

// throttleKey returns the group of calls that find the same room as this one.
func (ex *exchange) throttleKey() call.ThrottleKey {
	return call.ThrottleKey{
		Service:      ex.target.Route.Service,
		Customer:     ex.customer.Name,
		CustomerRank: ex.customer.Rank(),
		Rank:         ex.target.Terms.Rank,
	}
}

// answerThrottled refuses a call that is not begun because recent ones of its group found
// no room, and reports whether it did so. Nested calls are begun: gates serve them first.
func (ex *exchange) answerThrottled() bool {
	if ex.nested || ex.parentID != "" {
		return false
	}
	now := time.Now()
	sv := ex.server
	sv.mu.Lock()
	at, refuse := sv.throttle.Refuse(ex.throttleKey(), ex.returning, now)
	sv.mu.Unlock()
	if !refuse {
		return false
	}
	sv.cfg.Counters.countThrottled(ex.target.Terms.Rank)
	ex.answer(call.Respond{
		Result: call.Result{
			Outcome:    call.OutcomeNotRun,
			Reason:     call.ReasonServiceFull,
			RetryAfter: call.JitterRetryAfter(at, now, minRetryAfter, sv.jitter()),
		},
		NoRetryReason: call.NoRetryServiceFull,
	})
	return true
}

// recordThrottle records the result of a call for the decision about later ones.
// sv.mu must be held.
func (sv *Server) recordThrottle(ex *exchange, re call.Result, now time.Time) {
	if ex.nested || ex.parentID != "" || re.Reason == call.ReasonServiceFull {
		return
	}
	sv.throttle.Record(ex.throttleKey(), re, now)
}

// describeThrottled tells operators why a call was refused without an attempt.
func (ex *exchange) describeThrottled(now time.Time) string {
	sv := ex.server
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return fmt.Sprintf("too many of the latest calls of rank %d to the service found no room; %.0f %% are refused without an attempt",
		ex.target.Terms.Rank, 100*sv.throttle.Share(ex.throttleKey(), now))
}
