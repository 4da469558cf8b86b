package keyed

import (
	"slices"

	"lynxfold/core/call"
	"lynxfold/core/host"
)

// answer answers the caller, unless it has been answered. id is the attempt that
// produced the answer; empty when there is none.
func (ca *Call) answer(id host.AttemptID, re call.Result) {
	if ca.answered {
		return
	}
	ca.answered = true
	if mayRetry(re) {
		re.RetryAfter = call.JitterRetryAfter(re.RetryAfter, ca.now, ca.cfg.MinRetryAfter, ca.cfg.Jitter())
	}
	re.GaveUp = re.Outcome != call.OutcomeRan
	ca.emit(call.Respond{
		Attempt: id,
		Result:  re,
	})
}

// retryableReasons are the reasons for unknown outcomes that may become known
// later.
var retryableReasons = []host.Reason{
	ReasonInProgress,
	ReasonClaimUnreachable,
	ReasonTableDoubt,
	call.ReasonLinkLost,
	host.ReasonDeadline,
}

// mayRetry reports whether a repeat of the call with the same key can end
// differently.
func mayRetry(re call.Result) bool {
	switch re.Outcome {
	case call.OutcomeNotRun:
		return re.Reason != ReasonKeyReused
	case call.OutcomeUnknown:
		return slices.Contains(retryableReasons, re.Reason)
	case call.OutcomeRan:
	}
	return false
}

// refuse ends a call that did not run.
func (ca *Call) refuse(re host.Reason) { ca.endCall(call.OutcomeNotRun, re) }

// endCall ends the call without the answer of an attempt.
func (ca *Call) endCall(ou call.Outcome, re host.Reason) {
	ca.answer("", call.Result{
		Outcome:    ou,
		Reason:     re,
		RetryAfter: ca.lastResult.RetryAfter,
	})
	ca.phase = phaseDone
}

// expire answers a call whose deadline has passed. An attempt that was sent is
// still followed to its end, so that its result is written to the row.
func (ca *Call) expire() {
	switch ca.phase {
	case phaseRunning:
		ca.answer("", call.Result{Outcome: call.OutcomeUnknown, Reason: host.ReasonDeadline})
	case phaseFollowing, phaseRereading:
		ca.endCall(call.OutcomeUnknown, ReasonInProgress)
	case phaseClaiming, phaseResolving, phaseRevoking:
		ca.endCall(call.OutcomeUnknown, ReasonTableDoubt)
	case phaseNew:
		ca.refuse(host.ReasonDeadline)
	case phaseFinishing, phaseDone:
	}
}

// handleCallerGone stops a call whose attempt was not sent. An attempt that was
// sent is followed to its end, so that a repeat of the call gets its answer.
func (ca *Call) handleCallerGone() {
	ca.answered = true
	if ca.phase != phaseRunning && ca.phase != phaseFinishing {
		ca.phase = phaseDone
	}
}
