package call

import (
	"fmt"
	"time"

	"lynxfold/core/host"
)

// Call is the state of one call at its ingress.
type Call struct {
	cfg      Config
	tried    map[host.ID]bool
	attempts int
	done     bool
}

// New builds a call that has made no attempt.
func New(cfg Config) *Call {
	return &Call{
		cfg:   cfg,
		tried: map[host.ID]bool{},
	}
}

// Step feeds one event and returns what to do.
func (ca *Call) Step(ev Event, now time.Time) []Action {
	if ca.done {
		return nil
	}
	switch ev := ev.(type) {
	case Begin:
		return ca.try(Result{Outcome: OutcomeNotRun, Reason: ReasonNoCandidate}, now)
	case AttemptEnded:
		return ca.ended(ev, now)
	case CallerGone:
		ca.done = true
	}
	return nil
}

func (ca *Call) ended(ev AttemptEnded, now time.Time) []Action {
	if !ca.mayRetry(ev.Result, now) {
		return ca.answer(ev.Attempt, ev.Result)
	}
	if !ca.cfg.Budget.Spend() {
		return ca.answer(ev.Attempt, ev.Result)
	}
	return ca.try(ev.Result, now)
}

// mayRetry tells whether another attempt is allowed and can help.
func (ca *Call) mayRetry(re Result, now time.Time) bool {
	switch {
	case re.Outcome == OutcomeRan:
		return false
	case re.Outcome == OutcomeUnknown && !ca.cfg.Terms.Idempotent:
		return false
	case ca.attempts > ca.cfg.Terms.Retries:
		return false
	case !ca.cfg.Replayable:
		return false
	}
	return now.Before(ca.cfg.Deadline)
}

// try starts an attempt, or answers with the last result when nobody can be tried.
func (ca *Call) try(last Result, now time.Time) []Action {
	up, ok := ca.cfg.Chooser.Pick(ca.tried, now)
	if !ok {
		return ca.answer("", last)
	}
	ca.tried[up.Host] = true
	ca.attempts++
	return []Action{Try{
		Attempt:  host.AttemptID(fmt.Sprintf("%s.%d", ca.cfg.ID, ca.attempts)),
		Upstream: up,
	}}
}

func (ca *Call) answer(id host.AttemptID, re Result) []Action {
	ca.done = true
	return []Action{Answer{
		Attempt: id,
		Result:  re,
	}}
}
