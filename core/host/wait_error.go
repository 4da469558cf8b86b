package host

import "time"

const (
	// waitErrorWindow is the window of the moving averages of waits, in samples.
	waitErrorWindow = 16
	// maxWaitFactor bounds the correction of estimated waits. Beyond 2, attempts that would
	// have been served in time were refused in the played loads. Attempts behind others of
	// their customer are overtaken for as long as the other customers send.
	maxWaitFactor    = 2
	maxLaggingFactor = 8
	// minWaitSample is the shortest estimated wait that tells something of the estimate.
	minWaitSample = 10 * time.Millisecond
)

// waitError tracks how much longer attempts wait than the queue ahead of them takes,
// because attempts that arrive later are dispatched before them.
type waitError struct {
	estimated, actual time.Duration
}

// add records the wait of an attempt that was dispatched or refused after waiting.
func (we *waitError) add(estimated, actual time.Duration) {
	if estimated < minWaitSample {
		return
	}
	if we.estimated == 0 {
		we.estimated, we.actual = estimated, estimated
	}
	we.estimated += (estimated - we.estimated) / waitErrorWindow
	we.actual += (actual - we.actual) / waitErrorWindow
}

// correct returns the wait to expect for an estimate.
func (we *waitError) correct(wait time.Duration, maxFactor float64) time.Duration {
	if we.actual <= we.estimated {
		return wait
	}
	return time.Duration(float64(wait) * min(maxFactor, float64(we.actual)/float64(we.estimated)))
}

// waitError returns the error of the estimated waits of attempts like this one. Attempts
// behind others of their customer are overtaken more often than the rest of their level.
func (en *entry) waitError() *waitError {
	if en.fairTag > en.level.virtualTime {
		return &en.level.laggingWaits
	}
	return &en.level.waits
}

// correctWait returns the wait to expect for an estimate.
func (en *entry) correctWait(wait time.Duration) time.Duration {
	if en.fairTag > en.level.virtualTime {
		return en.level.laggingWaits.correct(wait, maxLaggingFactor)
	}
	return en.level.waits.correct(wait, maxWaitFactor)
}

// recordWait records how long a queued attempt has waited.
func (ga *Gate) recordWait(en *entry, now time.Time) {
	if en.waits != nil {
		en.waits.add(en.estimatedWait, now.Sub(en.arrived))
		en.waits = nil
	}
}
