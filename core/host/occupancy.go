package host

import (
	"slices"
	"time"
)

// occupancy counts the calls that the upstream may work on without the gate
// running them: those of the gate's former incarnation, and those whose
// connection was left. An announcement's in_flight explains them away; it may
// be up to lag old.
type occupancy struct {
	lag time.Duration
	// longest bounds the calls of a former incarnation.
	longest time.Duration

	settled bool
	// until holds, for each held call, when it has ended at the latest; the
	// soonest comes first.
	until []time.Time
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

// held counts the calls that the upstream may work on without the gate.
func (oc *occupancy) held() int { return len(oc.until) }

// leave counts an attempt that the upstream may still work on until its deadline.
func (oc *occupancy) leave(deadline time.Time) {
	oc.current.left++
	oc.hold(deadline.Add(oc.lag))
}

func (oc *occupancy) hold(until time.Time) {
	at, _ := slices.BinarySearchFunc(oc.until, until, time.Time.Compare)
	oc.until = slices.Insert(oc.until, at, until)
}

// announced lowers the held calls to what an announcement doesn't explain.
func (oc *occupancy) announced(inFlight int, now time.Time) {
	if !oc.settled {
		oc.settled = true
		for range inFlight {
			oc.hold(now.Add(oc.longest))
		}
		return
	}
	least := min(oc.current.least, oc.former.least)
	most := max(0, inFlight-least) + oc.current.left + oc.former.left
	if more := oc.held() - most; more > 0 {
		oc.until = slices.Delete(oc.until, 0, more)
	}
}

// expire drops held calls whose deadlines have passed.
func (oc *occupancy) expire(now time.Time) {
	past := 0
	for past < len(oc.until) && !now.Before(oc.until[past]) {
		past++
	}
	oc.until = slices.Delete(oc.until, 0, past)
}
