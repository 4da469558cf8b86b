package keyed

import (
	"slices"

	"lynxfold/core/call"
	"lynxfold/core/host"
)

// answer tells the caller; it is done once.
func (ca *Call) answer(id host.AttemptID, re call.Result) {
	if ca.answered {
		return
	}
	ca.answered = true
	if mayComeBack(re) {
		re.RetryAfter = call.JitterRetryAfter(re.RetryAfter, ca.now, ca.cfg.ComeBack, ca.cfg.Jitter())
	}
	re.GaveUp = re.Outcome != call.OutcomeRan
	ca.do(call.Respond{
		Attempt: id,
		Result:  re,
	})
}

// resolvable are the reasons for an unknown outcome that may be known later.
var resolvable = []host.Reason{
	ReasonInProgress,
	ReasonClaimUnreachable,
	ReasonTableDoubt,
	call.ReasonLinkLost,
	host.ReasonDeadline,
}

// mayComeBack tells whether a repeat with the same key can end otherwise.
func mayComeBack(re call.Result) bool {
	switch re.Outcome {
	case call.OutcomeNotRun:
		return re.Reason != ReasonKeyReused
	case call.OutcomeUnknown:
		return slices.Contains(resolvable, re.Reason)
	case call.OutcomeRan:
	}
	return false
}

// refuse ends a call that did not run.
func (ca *Call) refuse(re host.Reason) { ca.end(call.OutcomeNotRun, re) }

// end answers without an attempt's answer and stops.
func (ca *Call) end(ou call.Outcome, re host.Reason) {
	ca.answer("", call.Result{
		Outcome:    ou,
		Reason:     re,
		RetryAfter: ca.last.RetryAfter,
	})
	ca.phase = phaseDone
}

// expire answers a call whose deadline has come. An attempt that was sent is
// still seen through, so that its end is written.
func (ca *Call) expire() {
	switch ca.phase {
	case phaseRunning:
		ca.answer("", call.Result{Outcome: call.OutcomeUnknown, Reason: host.ReasonDeadline})
	case phaseFollowing, phaseRereading:
		ca.end(call.OutcomeUnknown, ReasonInProgress)
	case phaseClaiming, phaseResolving, phaseBurying:
		ca.end(call.OutcomeUnknown, ReasonTableDoubt)
	case phaseNew:
		ca.refuse(host.ReasonDeadline)
	case phaseFinishing, phaseDone:
	}
}

// callerGone stops a call that was not sent; one that was is seen through, so
// that a repeat gets its answer.
func (ca *Call) callerGone() {
	ca.answered = true
	if ca.phase != phaseRunning && ca.phase != phaseFinishing {
		ca.phase = phaseDone
	}
}
