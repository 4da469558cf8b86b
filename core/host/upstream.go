package host

import (
	"time"
)

// flush refuses all that wait.
func (ga *Gate) flush(re Reason, now time.Time) {
	for _, en := range ga.queue.removeIf(func(*entry) bool { return true }) {
		ga.refuse(en, re, now)
	}
}

func (ga *Gate) drain(ev Drain, now time.Time) {
	from := ev.RefuseFrom
	if from.IsZero() {
		from = now
	}
	ga.nodeEnds = earlier(ga.nodeEnds, from)
}

// leaving tells whether the node or its upstream drains.
func (ga *Gate) leaving() bool { return !ga.nodeEnds.IsZero() || !ga.upstreamEnds.IsZero() }

// earlier returns the earlier of two times; zero means never.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

func (ga *Gate) announced(ev Announced, now time.Time) {
	ga.upstream = ev.Announcement
	ga.lapse = ev.Lapse
	ga.known = true
	if now.After(ga.startAt.Add(ga.cfg.AnnounceLag)) || ga.cfg.AnnounceLag <= 0 {
		ga.occupancy.announced(ev.Announcement.InFlight, now)
	}
	switch ev.Announcement.State {
	case StateReady:
		ga.upstreamEnds = time.Time{}
	case StateDraining:
		ga.upstreamEnds = earlier(ga.upstreamEnds, now.Add(ga.cfg.DrainGrace))
	case StateGone:
		ga.flush(ReasonNoUpstream, now)
	}
}

func (ga *Gate) tick(now time.Time) {
	if re := ga.Usable(now); re != ReasonNone {
		ga.flush(re, now)
	}
	late := ga.queue.removeIf(func(en *entry) bool { return !now.Before(en.attempt.Deadline) })
	for _, en := range late {
		ga.refuse(en, ReasonDeadline, now)
	}
	for _, en := range ga.ordered() {
		ga.expireWaiters(en, now)
		if !now.Before(en.attempt.Deadline) {
			ga.interrupt(en)
		}
	}
}
