package quota

import "time"

// Bucket is the token bucket of one customer at its quota host. It starts empty.
type Bucket struct {
	perSecond  float64
	depth      float64
	tokens     float64
	refilledAt time.Time
	// promisedAt is the time of the last promise. Hosts that were refused are promised
	// tokens one after another, so that they do not come back together.
	promisedAt time.Time
}

// NewBucket returns an empty bucket.
func NewBucket(perSecond, depth float64, now time.Time) *Bucket {
	return &Bucket{
		perSecond:  perSecond,
		depth:      depth,
		refilledAt: now,
	}
}

// SetRate changes the rate and the depth. Tokens above the new depth are lost.
func (bu *Bucket) SetRate(perSecond, depth float64, now time.Time) {
	bu.refill(now)
	if perSecond != bu.perSecond {
		bu.promisedAt = now
	}
	bu.perSecond, bu.depth = perSecond, depth
	bu.tokens = min(bu.tokens, depth)
}

func (bu *Bucket) refill(now time.Time) {
	if now.After(bu.refilledAt) {
		bu.tokens = min(bu.depth, bu.tokens+bu.perSecond*now.Sub(bu.refilledAt).Seconds())
		bu.refilledAt = now
	}
}

// Take puts the returned tokens back and takes up to want tokens. If fewer are granted,
// retryAt is when the others are likely to be there.
func (bu *Bucket) Take(want, returned int, now time.Time) (granted int, retryAt time.Time) {
	bu.refill(now)
	bu.tokens = min(bu.depth, bu.tokens+float64(max(0, returned)))
	granted = max(0, min(want, int(bu.tokens)))
	bu.tokens -= float64(granted)
	if granted >= want {
		return granted, time.Time{}
	}
	return granted, bu.promise(want-granted, now)
}

// promise returns when n further tokens are likely, after those promised before.
func (bu *Bucket) promise(n int, now time.Time) time.Time {
	latest := now.Add(maxRetryAfter)
	if bu.perSecond <= 0 {
		return latest
	}
	from := bu.promisedAt
	if from.Before(now) {
		from = now.Add(-seconds(bu.tokens / bu.perSecond))
	}
	at := from.Add(seconds(float64(n) / bu.perSecond))
	if at.After(latest) {
		// The wait for one token at a low rate is longer than maxRetryAfter.
		at = now.Add(max(maxRetryAfter, seconds((1-bu.tokens)/bu.perSecond)))
		bu.promisedAt = latest
		return at
	}
	bu.promisedAt = at
	return at
}
