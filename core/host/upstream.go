package host

import (
	"time"
)

// refuseQueued refuses all queued attempts.
func (ga *Gate) refuseQueued(re Reason, now time.Time) {
	for _, en := range ga.queue.removeIf(func(*entry) bool { return true }) {
		ga.refuse(en, re, now)
	}
}

func (ga *Gate) handleUpstreamLost(ev UpstreamLost, now time.Time) {
	if !ev.SentAt.IsZero() && ev.SentAt.Before(ga.processSince) {
		return // another process has been announced since
	}
	if ev.Refused {
		ga.reportCrash(now)
	}
	ga.upstreamKnown = false
	ga.refuseQueued(ReasonNoUpstream, now)
}

func (ga *Gate) handleDrain(ev Drain, now time.Time) {
	from := ev.RefuseFrom
	if from.IsZero() {
		from = now
	}
	ga.nodeCutoff = earlier(ga.nodeCutoff, from)
}

// draining reports whether the node or its upstream is draining.
func (ga *Gate) draining() bool { return !ga.nodeCutoff.IsZero() || !ga.upstreamCutoff.IsZero() }

// earlier returns the earlier of two times; the zero time means never.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

func (ga *Gate) handleAnnounced(ev Announced, now time.Time) {
	ga.trackProcess(ev.Announcement, now)
	ga.upstream = ev.Announcement
	ga.process = ProcessOf(ev.Announcement)
	if !ga.leavingAt.IsZero() {
		ga.upstream.State = max(ga.upstream.State, StateDraining)
	}
	ga.upstreamExpiresAt = ev.ExpiresAt
	ga.upstreamKnown = true
	if now.After(ga.startedAt.Add(ga.cfg.AnnounceLag)) || ga.cfg.AnnounceLag <= 0 {
		ga.orphans.reconcile(ev.Announcement.InFlight, now)
	}
	switch ga.upstream.State {
	case StateReady:
		ga.upstreamCutoff = time.Time{}
	case StateDraining:
		ga.upstreamCutoff = earlier(ga.upstreamCutoff, now.Add(ga.cfg.DrainGrace))
	case StateGone:
		ga.refuseQueued(ReasonNoUpstream, now)
	}
}

func (ga *Gate) handleTick(now time.Time) {
	if re := ga.UnavailableReason(now); re != ReasonNone {
		ga.refuseQueued(re, now)
	}
	expired := ga.queue.removeIf(func(en *entry) bool { return !now.Before(en.attempt.Deadline) })
	for _, en := range expired {
		ga.refuse(en, ReasonDeadline, now)
	}
	for _, en := range ga.activeEntries() {
		ga.answerExpiredWaiters(en, now)
		if !now.Before(en.attempt.Deadline) {
			ga.interrupt(en)
		}
	}
}
