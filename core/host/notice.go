package host

import (
	"hash/fnv"
	"strconv"
	"time"
)

// Notice is what the header of a response states about the upstream itself.
type Notice struct {
	RateLimit RateLimit
	// UnreadableLimit is the text of a rate limit that is not a number of requests; the
	// limit stated before stays in force.
	UnreadableLimit string
	// Leaving says that the upstream is leaving.
	Leaving bool
	// Slowdown says how long work takes on the upstream's machine; 0 when unknown.
	Slowdown Slowdown
}

// ProcessID identifies an upstream process across the incarnations of its gate; 0 when
// the upstream does not identify its processes.
type ProcessID uint64

// PeerNotice is what an ingress knows of an upstream from the responses that it got
// through the upstream's gate. The zero value is nothing.
type PeerNotice struct {
	Process   ProcessID
	RateLimit RateLimit
	// LeavingSince is when the ingress first heard that the upstream is leaving; zero if
	// it has not.
	LeavingSince time.Time
}

// ProcessOf returns the identity of the upstream process that an announcement is from:
// its instance and, if known, its start time.
func ProcessOf(an Announcement) ProcessID {
	if an.Instance == "" {
		return 0
	}
	ha := fnv.New64a()
	_, _ = ha.Write([]byte(an.Instance))
	if !an.StartedAt.IsZero() {
		_, _ = ha.Write(strconv.AppendInt(nil, an.StartedAt.UnixMilli(), 10))
	}
	return ProcessID(ha.Sum64())
}

// trackProcess forgets what the former upstream process stated when an announcement is
// from another one.
func (ga *Gate) trackProcess(an Announcement, now time.Time) {
	if !ga.processSince.IsZero() && ga.sameProcess(an, now) {
		return
	}
	if len(ga.crashes.broken) > 0 && (ga.upstreamKnown || an.Instance != "") {
		ga.reportCrash(now)
	}
	ga.crashes.forgetProcess()
	ga.slowdown = slowdownTracker{}
	ga.processSince = now
	ga.limiter = rateLimiter{}
	ga.leavingAt = time.Time{}
}

// sameProcess reports whether an announcement is from the process that the last one was
// from. An upstream that does not identify its processes counts as restarted after it
// was gone, and when it announces itself as ready after it stated that it is leaving.
func (ga *Gate) sameProcess(an Announcement, now time.Time) bool {
	last := ga.upstream
	if an.Instance != "" || last.Instance != "" {
		return an.Instance == last.Instance &&
			(an.StartedAt.IsZero() || last.StartedAt.IsZero() || an.StartedAt.Equal(last.StartedAt))
	}
	if !ga.upstreamKnown || last.State == StateGone || now.After(ga.upstreamExpiresAt) {
		return false
	}
	return ga.leavingAt.IsZero() || an.State != StateReady || !now.After(ga.leavingAt.Add(ga.cfg.AnnounceLag))
}

// handleNoticed takes note of what a response states, unless its request went to a
// former process.
func (ga *Gate) handleNoticed(ev Noticed, now time.Time) {
	if ev.SentAt.Before(ga.processSince) {
		return
	}
	ga.slowdown.record(ev.Notice.Slowdown, now)
	if ev.Notice.Leaving {
		ga.markLeaving(now.Add(ga.cfg.DrainGrace), now)
	}
	if ev.Notice.UnreadableLimit != "" {
		return
	}
	before := ga.limiter.limit
	ga.limiter.observe(ev.Notice.RateLimit, ev.SentAt, now)
	ga.reportLimit(before)
}

// adoptNotice takes over what an ingress knows of the upstream, which a gate may have
// lost in its restart.
func (ga *Gate) adoptNotice(no PeerNotice, now time.Time) {
	if no.Process == 0 || no.Process != ga.process {
		return
	}
	if !no.LeavingSince.IsZero() {
		ga.markLeaving(no.LeavingSince.Add(ga.cfg.DrainGrace), now)
	}
	before := ga.limiter.limit
	ga.limiter.adopt(no.RateLimit, now)
	ga.reportLimit(before)
}

func (ga *Gate) reportLimit(before RateLimit) {
	if ga.limiter.limit != before {
		ga.emit(RateLimitChanged{Before: before, After: ga.limiter.limit})
	}
}

// markLeaving drains the upstream as if it had announced that it is draining. This can't
// be undone by an announcement of the same process.
func (ga *Gate) markLeaving(cutoff, now time.Time) {
	ga.upstreamCutoff = earlier(ga.upstreamCutoff, cutoff)
	if !ga.leavingAt.IsZero() {
		return
	}
	ga.leavingAt = now
	ga.upstream.State = max(ga.upstream.State, StateDraining)
	ga.instances.recordDraining(ga.upstream.Instance)
	ga.emit(UpstreamLeaving{})
}

// PeerNotice returns what responses tell the ingress nodes about the upstream.
func (ga *Gate) PeerNotice() PeerNotice {
	return PeerNotice{
		Process:      ga.process,
		RateLimit:    ga.limiter.limit,
		LeavingSince: ga.leavingAt,
	}
}

// Upstream returns the upstream's last announcement. Its state is draining if the
// upstream has stated since that it is leaving.
func (ga *Gate) Upstream() Announcement { return ga.upstream }

// RateLimit returns the upstream's rate limit.
func (ga *Gate) RateLimit() RateLimit { return ga.limiter.limit }
