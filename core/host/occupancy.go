package host

import "time"

// occupancy counts the calls that the upstream may work on without the gate
// running them: those of the gate's former incarnation, and those whose
// connection was left. An announcement's in_flight explains them away; it may
// be up to lag old.
type occupancy struct {
	lag time.Duration
	// longest bounds the calls of a former incarnation.
	longest time.Duration

	settled bool
	held    int
	// heldTo is when the deadlines of all held calls have passed.
	heldTo time.Time
	// current and former cover the last lag to two lags.
	current, former window
	turnAt          time.Time
}

// window holds what an announcement sampled within it may have missed.
type window struct {
	// least is the lowest number of attempts that the upstream had from the gate.
	least int
	// left counts the attempts whose connection was left.
	left int
}

// turn starts a new window when the current one is old enough.
func (oc *occupancy) turn(started int, now time.Time) {
	if now.Before(oc.turnAt) {
		return
	}
	oc.former = oc.current
	if now.Sub(oc.turnAt) >= oc.lag {
		oc.former = window{least: started}
	}
	oc.current = window{least: started}
	oc.turnAt = now.Add(oc.lag)
}

// fell notes the number of attempts that the upstream has after it fell.
func (oc *occupancy) fell(started int) {
	oc.current.least = min(oc.current.least, started)
}

// leave counts an attempt that the upstream may still work on until its deadline.
func (oc *occupancy) leave(deadline time.Time) {
	oc.held++
	oc.current.left++
	if to := deadline.Add(oc.lag); to.After(oc.heldTo) {
		oc.heldTo = to
	}
}

// announced lowers the held calls to what an announcement doesn't explain.
func (oc *occupancy) announced(inFlight int, now time.Time) {
	if !oc.settled {
		oc.settled = true
		oc.held = inFlight
		oc.heldTo = now.Add(oc.longest)
		return
	}
	least := min(oc.current.least, oc.former.least)
	most := max(0, inFlight-least) + oc.current.left + oc.former.left
	oc.held = min(oc.held, most)
}

// expire drops held calls whose deadlines have passed.
func (oc *occupancy) expire(now time.Time) {
	if oc.held > 0 && !now.Before(oc.heldTo) {
		oc.held = 0
	}
}
