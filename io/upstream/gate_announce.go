package upstream

import (
	"time"

	"lynxfold/core/host"
)

// markUpstreamLost marks the upstream as gone until its next announcement.
func (ga *Gate) markUpstreamLost(ev host.UpstreamLost) {
	ga.mu.Lock()
	ga.stepLocked(ev)
	lost := !ga.core.UpstreamKnown()
	an := ga.lastAnnouncement
	ga.mu.Unlock()
	ga.reportCrash()
	if lost {
		an.State = host.StateGone
		ga.reportChange(an)
	}
}

// Announce handles an upstream's announcement.
func (ga *Gate) Announce(an host.Announcement) { ga.announce(an, nil) }

// AnnounceProbed handles the result of a probe.
func (ga *Gate) AnnounceProbed(re ProbeResult) {
	ga.reportUnreadable(re.Notice)
	ga.announce(re.Announcement, &re.Notice)
}

// announce handles an announcement, and what the response that it was taken from states;
// nil if it was not taken from one.
func (ga *Gate) announce(an host.Announcement, no *host.Notice) {
	ga.mu.Lock()
	if ga.core.HoldsBack(an, time.Now()) {
		ga.holdLocked(an, no)
		ga.mu.Unlock()
		return
	}
	left := ga.core.HasLeft(an)
	if !ga.core.AcceptAnnouncement(an, time.Now()) {
		ga.mu.Unlock()
		if left {
			ga.reportLeftAnnounced(an)
		}
		return
	}
	ga.held = nil
	ga.cfg.Client.SetLimit(an.Connections)
	ga.announcementExpiresAt = time.Now().Add(ga.cfg.AnnouncementTTL)
	ga.stepLocked(host.Announced{
		Announcement: an,
		ExpiresAt:    ga.announcementExpiresAt,
	})
	if no != nil {
		ga.stepLocked(host.Noticed{
			SentAt: time.Now(),
			Notice: *no,
		})
	}
	an = ga.core.Upstream()
	ga.cfg.Client.SetDraining(an.State != host.StateReady)
	settling := ga.core.UnavailableReason(time.Now()) == host.ReasonSettling
	ga.mu.Unlock()
	ga.reportCrash()
	// While the gate is settling it admits no calls, so the announcement is not
	// reported yet.
	if !settling {
		ga.reportChange(an)
	}
}

// Announced reports whether the upstream has sent an announcement, including one that it is gone.
func (ga *Gate) Announced() bool {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	return !ga.announcementExpiresAt.IsZero()
}

// MarkGone marks an instance of the upstream as gone.
func (ga *Gate) MarkGone(id host.InstanceID) {
	ga.mu.Lock()
	an := ga.lastAnnouncement
	ga.mu.Unlock()
	if an.Instance != id {
		an.StartedAt = time.Time{}
	}
	an.Instance = id
	an.State = host.StateGone
	ga.Announce(an)
}

// reportChange logs and reports an announcement that differs from the last one in more
// than its load and sequence number.
func (ga *Gate) reportChange(an host.Announcement) {
	an.InFlight = 0
	an.Sequence = 0
	ga.mu.Lock()
	same := an == ga.lastAnnouncement
	ga.lastAnnouncement = an
	ga.mu.Unlock()
	if !same {
		ga.cfg.Log.Info().
			Str("event", "upstream_changed").
			Str("service", string(an.Service)).
			Str("instance", string(an.Instance)).
			Str("state", an.State.String()).
			Int("slots", int(an.Slots)).
			Msg("upstream of this host has changed")
		ga.cfg.OnAnnouncementChange(an)
	}
}
