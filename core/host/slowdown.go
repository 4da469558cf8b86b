package host

import (
	"math"
	"time"
)

// Slowdown says how long work takes on an upstream's machine now, in hundredths of the
// usual time; 0 when unknown.
type Slowdown int

// Bounds of a slowdown. A value beyond maxSlowdown is no statement about the upstream and
// counts as unknown; values between are moved to the bounds of what is used.
const (
	UsualSlowdown   Slowdown = 100
	minUsedSlowdown Slowdown = 40
	maxUsedSlowdown Slowdown = 500
	maxSlowdown     Slowdown = 10_000
)

// Bounded returns a slowdown that can be used in estimates, 0 for a value that says
// nothing.
func (sl Slowdown) Bounded() Slowdown {
	if sl <= 0 || sl > maxSlowdown {
		return 0
	}
	return min(max(sl, minUsedSlowdown), maxUsedSlowdown)
}

const (
	// slowdownKeepTime is how long a slowdown holds that is not stated again. Spells of
	// other work on the machine last for less.
	slowdownKeepTime = 500 * time.Millisecond
	// slowdownErrorWindow is the window, in service times, of the errors by which
	// slowdownTracker judges what the upstream states.
	slowdownErrorWindow = 32
)

// slowdownTracker follows the slowdown that an upstream states. The estimates of service
// times contain the average of the slowdowns under which they were taken, so that only the
// ratio to that average says something: a stuck value changes nothing.
type slowdownTracker struct {
	current Slowdown
	at      time.Time
	// average is the moving average over the service times in the estimates; 0 without
	// any.
	average float64
	// plainError and scaledError are the moving averages of the errors of the estimates
	// without and with the slowdown, relative to the estimate.
	plainError, scaledError float64
	// expired says that the slowdown was not stated again in time.
	expired bool
}

// record takes note of a slowdown that a response states.
func (st *slowdownTracker) record(sl Slowdown, now time.Time) {
	if sl = sl.Bounded(); sl == 0 {
		return
	}
	st.current = sl
	st.at = now
	st.expired = false
}

// expire forgets a slowdown that is too old.
func (st *slowdownTracker) expire(now time.Time) {
	st.expired = now.Sub(st.at) > slowdownKeepTime
}

// stated returns the slowdown that the upstream has stated lately, 0 if none.
func (st *slowdownTracker) stated() Slowdown {
	if st.expired {
		return 0
	}
	return st.current
}

// ratio returns how much longer work takes now than the estimates say, by what the
// upstream states.
func (st *slowdownTracker) ratio() float64 {
	if st.average == 0 || st.stated() == 0 {
		return 1
	}
	return float64(st.current) / st.average
}

// factor is ratio, or 1 if the estimates were better without it: what an upstream states
// may be wrong.
func (st *slowdownTracker) factor() float64 {
	if st.scaledError > st.plainError {
		return 1
	}
	return st.ratio()
}

// recordServiceTime takes note of a service time that is added to an estimate, and of
// whether the slowdown would have improved the estimate.
func (st *slowdownTracker) recordServiceTime(mean, took time.Duration) {
	sl := st.stated()
	if sl == 0 {
		return
	}
	if mean > 0 && st.average > 0 {
		expected := mean.Seconds()
		// One call of unusual length says little of the estimates.
		off := func(estimate float64) float64 { return min(2, math.Abs(took.Seconds()-estimate)/expected) }
		st.plainError += (off(expected) - st.plainError) / slowdownErrorWindow
		st.scaledError += (off(expected*st.ratio()) - st.scaledError) / slowdownErrorWindow
	}
	if st.average == 0 {
		st.average = float64(sl)
		return
	}
	st.average += (float64(sl) - st.average) / meanWindow
}

// Load is what a gate knows of the load of its upstream.
type Load struct {
	// Running counts the attempts in a slot, with calls that no attempt accounts for, and
	// Queued those that wait for one.
	Running, Queued int
	Slots           Slots
	// Wait is how long a new attempt without a priority is expected to wait.
	Wait     time.Duration
	Slowdown Slowdown
	// ServiceTime is the mean service time of short calls; 0 when unknown.
	ServiceTime time.Duration
}

// Load returns the load of the upstream at this moment.
func (ga *Gate) Load(now time.Time) Load {
	ga.slowdown.expire(now)
	lo := Load{
		Running:  len(ga.running) + ga.orphans.count(),
		Queued:   ga.queue.len(),
		Slots:    Slots(ga.concurrencyLimit()),
		Slowdown: ga.slowdown.stated(),
	}
	if ga.lookupTime.mean > 0 {
		lo.ServiceTime = ga.meanServiceTime()
	}
	if lo.Queued > 0 || lo.Running >= int(lo.Slots) {
		lo.Wait = ga.meanServiceTime() * time.Duration(lo.Queued+1) / time.Duration(max(1, lo.Slots))
	}
	lo.Wait = max(lo.Wait, ga.limiter.wait(lo.Queued+1, now))
	return lo
}
