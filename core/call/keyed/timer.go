package keyed

import (
	"time"
)

// handleTick runs the scheduled function when it is due.
func (ca *Call) handleTick() {
	if ca.wakeAt.IsZero() || ca.now.Before(ca.wakeAt) {
		return
	}
	wake := ca.wakeFunc
	ca.wakeAt = time.Time{}
	ca.wakeFunc = nil
	wake()
}

// scheduleWithBackoff schedules a function after a jittered delay that doubles
// with each try.
func (ca *Call) scheduleWithBackoff(tries int, run func()) {
	limit := min(backoffBase<<min(tries, 10), backoffCap)
	ca.schedule(ca.now.Add(time.Duration(ca.cfg.Jitter()*float64(limit))), run)
}

// cancelScheduled drops the scheduled function and ignores the answer to the
// query in progress.
func (ca *Call) cancelScheduled() {
	ca.queriedAttempt = ""
	ca.schedule(time.Time{}, nil)
}

func (ca *Call) schedule(when time.Time, run func()) {
	ca.wakeAt = when
	ca.wakeFunc = run
}
