package keyed

import (
	"time"
)

// tick does what was put off.
func (ca *Call) tick() {
	if ca.wakeAt.IsZero() || ca.now.Before(ca.wakeAt) {
		return
	}
	run := ca.wake
	ca.wakeAt = time.Time{}
	ca.wake = nil
	run()
}

// later puts an action off by a jittered delay that grows with the tries.
func (ca *Call) later(tries int, run func()) {
	limit := min(pauseBase<<min(tries, 10), pauseCap)
	ca.at(ca.now.Add(time.Duration(ca.cfg.Jitter()*float64(limit))), run)
}

// forgetPlan drops what was put off and the query under way.
func (ca *Call) forgetPlan() {
	ca.asked = ""
	ca.at(time.Time{}, nil)
}

func (ca *Call) at(when time.Time, run func()) {
	ca.wakeAt = when
	ca.wake = run
}
