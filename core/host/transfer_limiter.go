package host

import "time"

const (
	// minTransfers is how many bodies may be received at once on any link: while one
	// is being requested, another one uses the link.
	minTransfers = 2
	// maxTransfers bounds the limit, in bodies.
	maxTransfers = 64
	// initialTransfers is the limit before the first sample, in bodies.
	initialTransfers = 4
	// minLinkQueue and maxLinkQueue are thresholds for the estimated number of bodies
	// beyond those that the link carries at full speed, like alpha and beta in TCP
	// Vegas: below the first the limit grows, above the second it shrinks.
	minLinkQueue = 1
	maxLinkQueue = 2
	// minSampleBytes is the length of the shortest body used as a sample; a shorter
	// one takes as long as the first round trip.
	minSampleBytes = 16 << 10
)

// transferLimiter is an adaptive limit on the request bodies received at once. Bodies
// that share a saturated link each take longer and delay every short message on it;
// bodies from slow senders on a fast link do not. The limit follows how much longer a
// body takes beside others than alone.
type transferLimiter struct {
	active int
	limit  float64
	// soloBody is the only body being received, if no other was since its start.
	soloBody *entry
	// soloSecondsPerByte is the estimated time per byte of a body that is received alone.
	soloSecondsPerByte float64
	// meanTime is the moving average of the time to receive a body.
	meanTime time.Duration
}

// full reports whether the limit is reached.
func (tr *transferLimiter) full() bool { return tr.active >= tr.maxActive() }

func (tr *transferLimiter) maxActive() int {
	if tr.limit == 0 {
		return initialTransfers
	}
	return int(tr.limit)
}

// begin records that a body has been requested.
func (tr *transferLimiter) begin(en *entry) {
	en.receivingBody = true
	tr.active++
	en.concurrentTransfers = tr.active
	tr.soloBody = nil
	if tr.active == 1 {
		tr.soloBody = en
	}
}

// end records that a body is complete or was cut off. bytes is 0 when the transfer is
// not a usable sample.
func (tr *transferLimiter) end(en *entry, bytes int64, now time.Time) {
	if !en.receivingBody {
		return
	}
	en.receivingBody = false
	solo := tr.soloBody == en
	tr.active--
	tr.soloBody = nil
	took := now.Sub(en.dispatched)
	if bytes < minSampleBytes || took <= 0 {
		return
	}
	if tr.meanTime == 0 {
		tr.meanTime = took
	}
	tr.meanTime += (took - tr.meanTime) / meanWindow
	tr.adjustLimit(took.Seconds()/float64(bytes), en.concurrentTransfers, solo)
}

// adjustLimit updates the limit with the time per byte of a body. concurrent is the
// number of bodies, itself included, that were being received when it began; solo is
// set when no other body was received from its start to its end.
func (tr *transferLimiter) adjustLimit(secondsPerByte float64, concurrent int, solo bool) {
	switch {
	case tr.soloSecondsPerByte == 0 || secondsPerByte < tr.soloSecondsPerByte:
		tr.soloSecondsPerByte = secondsPerByte
	case solo:
		tr.soloSecondsPerByte += (secondsPerByte - tr.soloSecondsPerByte) / meanWindow
	}
	if tr.limit == 0 {
		tr.limit = initialTransfers
	}
	linkQueue := float64(concurrent) * (1 - tr.soloSecondsPerByte/secondsPerByte)
	switch {
	case linkQueue < minLinkQueue && concurrent >= tr.maxActive()-1:
		tr.limit += 1 / tr.limit
	case linkQueue > maxLinkQueue:
		tr.limit -= 1 / tr.limit
	}
	tr.limit = min(max(tr.limit, minTransfers), maxTransfers)
}

// estimateWait returns how long a body waits for its turn behind the given number of
// queued bodies.
func (tr *transferLimiter) estimateWait(ahead int) time.Duration {
	if tr.active+ahead < tr.maxActive() {
		return 0
	}
	return tr.queuedTime(1 + ahead)
}

// queuedTime returns how long a number of queued bodies take to arrive.
func (tr *transferLimiter) queuedTime(bodies int) time.Duration {
	return tr.meanTime * time.Duration(bodies) / time.Duration(tr.maxActive())
}
