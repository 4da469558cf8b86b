package link

import (
	"math"
	"time"
)

// BodyID identifies a request body that a host receives.
type BodyID uint64

// Grant allows the sender of a body to send further bytes of it.
type Grant struct {
	ID    BodyID
	Bytes int64
}

const (
	// grantBytes is the size of a grant.
	grantBytes = 16 << 10
	// maxRemainder is the size of the largest rest of a body that is not granted separately.
	maxRemainder = 1 << 10
	// minWindowBytes bounds the window from below: while one grant is on the link, the
	// next ones are on their way to their senders.
	minWindowBytes = 3 * grantBytes
	// maxWindowBytes bounds the window from above.
	maxWindowBytes = 4 << 20
	// queueTarget is how long the granted bytes may occupy the link, and so delay other
	// messages.
	queueTarget = 25 * time.Millisecond
	// stallAfter is the age from which a grant no longer counts: its sender is slower than
	// the link, and gets no further grant until its bytes arrive.
	stallAfter = 150 * time.Millisecond
	// minSample is the minimum duration of a sample of the rate, and rateWeight the weight
	// of a new one in the moving average.
	minSample  = 50 * time.Millisecond
	rateWeight = 1.0 / 4
	// unknownLength stands for the rest of a body of unknown length.
	unknownLength = math.MaxInt64
)

// ReceiveWindow schedules the request bodies that a host receives. Bodies that are sent
// together on a saturated link all arrive late, and so does every short message behind
// them. The window therefore allows only as many bytes to be on their way as the link
// carries in a short time, and grants them to one body after the other.
type ReceiveWindow struct {
	// bodies are those that are not complete, in the order of arrival.
	bodies []*incomingBody
	// bytesPerSecond is the moving average of the rate at which granted bytes arrive while
	// further ones wait for a grant; 0 when unknown.
	bytesPerSecond float64
	// sampleSince is the start of the current sample of the rate, and sampleBytes what has
	// arrived in it. It is zero while no bytes wait for a grant.
	sampleSince time.Time
	sampleBytes int64
}

// incomingBody is a body that is not complete.
type incomingBody struct {
	id BodyID
	// ungranted is the number of bytes for which there is no grant yet.
	ungranted int64
	// grants are the outstanding grants, the oldest first.
	grants []outstandingGrant
}

type outstandingGrant struct {
	bytes     int64
	grantedAt time.Time
}

// Begin adds a body and returns the grants that follow. The length is negative when it is
// unknown.
func (rw *ReceiveWindow) Begin(id BodyID, length int64, now time.Time) []Grant {
	bo := &incomingBody{
		id: id,
		// The end of a body is noticed by reading beyond its last byte.
		ungranted: length + 1,
	}
	if length < 0 {
		bo.ungranted = unknownLength
	}
	rw.bodies = append(rw.bodies, bo)
	return rw.Tick(now)
}

// Received records bytes of a body and returns the grants that follow.
func (rw *ReceiveWindow) Received(id BodyID, bytes int64, now time.Time) []Grant {
	for _, bo := range rw.bodies {
		if bo.id != id {
			continue
		}
		rw.sampleRate(bytes, now)
		bo.receive(bytes)
	}
	return rw.Tick(now)
}

// End removes a body that is complete or given up, and returns the grants that follow.
func (rw *ReceiveWindow) End(id BodyID, now time.Time) []Grant {
	for i, bo := range rw.bodies {
		if bo.id == id {
			rw.bodies = append(rw.bodies[:i], rw.bodies[i+1:]...)
			break
		}
	}
	return rw.Tick(now)
}

// Tick returns the grants that are due.
func (rw *ReceiveWindow) Tick(now time.Time) []Grant {
	out := rw.grantAll(now)
	switch {
	case !rw.hasUngranted():
		rw.sampleSince = time.Time{}
	case rw.sampleSince.IsZero():
		rw.sampleSince = now
		rw.sampleBytes = 0
	}
	return out
}

// grantAll grants bytes to the bodies in their order until the window is full.
func (rw *ReceiveWindow) grantAll(now time.Time) []Grant {
	var out []Grant
	outstanding, window := rw.outstandingBytes(now), rw.windowBytes()
	for _, bo := range rw.bodies {
		if bo.isStalled(now) {
			continue
		}
		for bo.ungranted > 0 {
			bytes := bo.ungranted
			if bytes > grantBytes+maxRemainder {
				bytes = grantBytes
			}
			if outstanding+bytes > window+maxRemainder {
				return out
			}
			bo.grant(bytes, now)
			outstanding += bytes
			out = append(out, Grant{
				ID:    bo.id,
				Bytes: bytes,
			})
		}
	}
	return out
}

// Backlog returns how long the bytes of the bodies take to arrive, as estimated; 0 while the
// rate is unknown. Bodies of slow senders and of unknown length don't count.
func (rw *ReceiveWindow) Backlog(now time.Time) time.Duration {
	if rw.bytesPerSecond == 0 {
		return 0
	}
	bytes := rw.outstandingBytes(now)
	for _, bo := range rw.bodies {
		if bo.ungranted != unknownLength && !bo.isStalled(now) {
			bytes += bo.ungranted
		}
	}
	return time.Duration(float64(bytes) / rw.bytesPerSecond * float64(time.Second))
}

// isStalled reports whether the sender of a body is slower than the link.
func (bo *incomingBody) isStalled(now time.Time) bool {
	return len(bo.grants) > 0 && now.Sub(bo.grants[0].grantedAt) >= stallAfter
}

// WakeAt returns when the next Tick is due; zero if none is.
func (rw *ReceiveWindow) WakeAt(now time.Time) time.Time {
	if !rw.hasUngranted() {
		return time.Time{}
	}
	var at time.Time
	for _, bo := range rw.bodies {
		for _, gr := range bo.grants {
			if stalls := gr.grantedAt.Add(stallAfter); stalls.After(now) && (at.IsZero() || stalls.Before(at)) {
				at = stalls
			}
		}
	}
	return at
}

// windowBytes returns how many granted bytes may be outstanding.
func (rw *ReceiveWindow) windowBytes() int64 {
	bytes := int64(rw.bytesPerSecond * queueTarget.Seconds())
	return min(max(bytes, minWindowBytes), maxWindowBytes)
}

// outstandingBytes returns the granted bytes that have not arrived. Those of slow senders
// don't count.
func (rw *ReceiveWindow) outstandingBytes(now time.Time) int64 {
	total := int64(0)
	for _, bo := range rw.bodies {
		for _, gr := range bo.grants {
			if now.Sub(gr.grantedAt) < stallAfter {
				total += gr.bytes
			}
		}
	}
	return total
}

func (rw *ReceiveWindow) hasUngranted() bool {
	for _, bo := range rw.bodies {
		if bo.ungranted > 0 {
			return true
		}
	}
	return false
}

// sampleRate updates the rate with bytes that arrived while others waited for a grant.
func (rw *ReceiveWindow) sampleRate(bytes int64, now time.Time) {
	took := now.Sub(rw.sampleSince)
	rw.sampleBytes += bytes
	if rw.sampleSince.IsZero() || took < minSample {
		return
	}
	rate := float64(rw.sampleBytes) / took.Seconds()
	rw.sampleSince = now
	rw.sampleBytes = 0
	if rw.bytesPerSecond == 0 {
		rw.bytesPerSecond = rate
		return
	}
	rw.bytesPerSecond += (rate - rw.bytesPerSecond) * rateWeight
}

func (bo *incomingBody) grant(bytes int64, now time.Time) {
	bo.grants = append(bo.grants, outstandingGrant{
		bytes:     bytes,
		grantedAt: now,
	})
	if bo.ungranted != unknownLength {
		bo.ungranted -= bytes
	}
}

// receive takes bytes off the oldest grants.
func (bo *incomingBody) receive(bytes int64) {
	for bytes > 0 && len(bo.grants) > 0 {
		used := min(bytes, bo.grants[0].bytes)
		bytes -= used
		bo.grants[0].bytes -= used
		if bo.grants[0].bytes == 0 {
			bo.grants = bo.grants[1:]
		}
	}
}
