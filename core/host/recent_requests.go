package host

import "time"

const (
	// servedPeriod is the time for which a request counts as served lately, at least, and
	// maxServed bounds these requests; the time is shorter beyond it.
	servedPeriod = 10 * time.Second
	maxServed    = 2048
)

// RecentRequests remembers the requests that were answered lately. The zero value is
// empty.
type RecentRequests struct {
	// current holds the requests since the time since, and previous those of the period
	// before.
	current, previous map[Fingerprint]struct{}
	since             time.Time
}

// Add records that a request was answered.
func (rr *RecentRequests) Add(fp Fingerprint, now time.Time) {
	age := now.Sub(rr.since)
	if rr.current == nil || len(rr.current) >= maxServed || age >= servedPeriod {
		rr.previous = rr.current
		if age >= 2*servedPeriod {
			rr.previous = nil
		}
		rr.current = map[Fingerprint]struct{}{}
		rr.since = now
	}
	rr.current[fp] = struct{}{}
}

// Contains reports whether such a request was answered lately.
func (rr *RecentRequests) Contains(fp Fingerprint, now time.Time) bool {
	if now.Sub(rr.since) >= 2*servedPeriod {
		return false
	}
	_, found := rr.current[fp]
	_, foundBefore := rr.previous[fp]
	return found || foundBefore
}
