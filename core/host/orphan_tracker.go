package host

import (
	"slices"
	"time"
)

// orphanTracker counts orphaned calls: calls that the upstream may be working on beyond
// the running attempts of the gate. These are calls of the former incarnation of the
// gate, and attempts whose connection was abandoned. An announcement lowers the count
// when its in_flight value is too low to include them; that value may be up to lag old.
type orphanTracker struct {
	lag time.Duration
	// maxCallTimeout bounds the duration of calls of a former incarnation.
	maxCallTimeout time.Duration

	// settled is set once an announcement has set the initial count.
	settled bool
	// expiries holds, for each orphaned call, the latest time at which it ends, in
	// ascending order.
	expiries []time.Time
	// current and previous together cover a time of one to two lags up to now.
	current, previous window
	rotateAt          time.Time
}

// window is a period of about one lag, with the changes in it that the latest
// announcement may not reflect.
type window struct {
	// minStarted is the lowest number of running attempts that the upstream had
	// received from the gate.
	minStarted int
	// abandoned is the number of attempts whose connection was abandoned.
	abandoned int
}

// rotate starts a new window when the current one is at least one lag old.
func (ot *orphanTracker) rotate(started int, now time.Time) {
	if now.Before(ot.rotateAt) {
		return
	}
	ot.previous = ot.current
	if now.Sub(ot.rotateAt) >= ot.lag {
		ot.previous = window{minStarted: started}
	}
	ot.current = window{minStarted: started}
	ot.rotateAt = now.Add(ot.lag)
}

// recordStarted records the number of attempts at the upstream after it has decreased.
func (ot *orphanTracker) recordStarted(started int) {
	ot.current.minStarted = min(ot.current.minStarted, started)
}

// count returns the number of orphaned calls.
func (ot *orphanTracker) count() int { return len(ot.expiries) }

// abandon adds an attempt that the upstream may work on until its deadline.
func (ot *orphanTracker) abandon(deadline time.Time) {
	ot.current.abandoned++
	ot.add(deadline.Add(ot.lag))
}

func (ot *orphanTracker) add(expiry time.Time) {
	at, _ := slices.BinarySearchFunc(ot.expiries, expiry, time.Time.Compare)
	ot.expiries = slices.Insert(ot.expiries, at, expiry)
}

// reconcile lowers the number of orphaned calls to what the in_flight value of an
// announcement allows. The first announcement sets the number.
func (ot *orphanTracker) reconcile(inFlight int, now time.Time) {
	if !ot.settled {
		ot.settled = true
		for range inFlight {
			ot.add(now.Add(ot.maxCallTimeout))
		}
		return
	}
	minStarted := min(ot.current.minStarted, ot.previous.minStarted)
	maxCount := max(0, inFlight-minStarted) + ot.current.abandoned + ot.previous.abandoned
	if excess := ot.count() - maxCount; excess > 0 {
		ot.expiries = slices.Delete(ot.expiries, 0, excess)
	}
}

// expire removes the orphaned calls that have certainly ended by now.
func (ot *orphanTracker) expire(now time.Time) {
	expired := 0
	for expired < len(ot.expiries) && !now.Before(ot.expiries[expired]) {
		expired++
	}
	ot.expiries = slices.Delete(ot.expiries, 0, expired)
}
