package upstream

import (
	"time"

	"lynxfold/core/host"
)

// heldAnnouncement is an announcement that waits until it is known whether its process has
// left.
type heldAnnouncement struct {
	announcement host.Announcement
	// notice is nil if the announcement was not taken from a response.
	notice *host.Notice
}

// holdLocked keeps an announcement for retryHeld; ga.mu is held.
func (ga *Gate) holdLocked(an host.Announcement, no *host.Notice) {
	if ga.held == nil {
		ga.cfg.Log.Info().
			Str("event", "upstream_held_back").
			Str("instance", string(an.Instance)).
			Time("started", an.StartedAt).
			Msg("upstream is older than this process; it is used once it is known not to have left")
	}
	ga.held = &heldAnnouncement{
		announcement: an,
		notice:       no,
	}
	if ga.cfg.OnUnanswered != nil && ga.core.AwaitsAnswer(an) {
		ga.cfg.OnUnanswered()
	}
}

// retryHeld handles the announcement that is held back again.
func (ga *Gate) retryHeld() {
	ga.mu.Lock()
	held := ga.held
	if held == nil || ga.core.HoldsBack(held.announcement, time.Now()) {
		ga.mu.Unlock()
		return
	}
	ga.held = nil
	ga.mu.Unlock()
	ga.announce(held.announcement, held.notice)
}

// AwaitsAnswer reports whether an announcement waits for the upstream's answer.
func (ga *Gate) AwaitsAnswer() bool {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	return ga.held != nil && ga.core.AwaitsAnswer(ga.held.announcement)
}

// RecordNeighboursHeard records that a neighbour has told what it knows of the upstream.
func (ga *Gate) RecordNeighboursHeard() {
	ga.mu.Lock()
	ga.core.RecordNeighboursHeard()
	ga.mu.Unlock()
	ga.retryHeld()
}

// RecordStaying records that the upstream has answered that it is not leaving; the instance is
// empty if it does not name it.
func (ga *Gate) RecordStaying(id host.InstanceID) {
	ga.mu.Lock()
	ga.core.RecordStaying(id)
	ga.mu.Unlock()
	ga.retryHeld()
}

// RecordSilence records that the upstream has not answered in time.
func (ga *Gate) RecordSilence() {
	ga.mu.Lock()
	ga.core.RecordSilence()
	ga.mu.Unlock()
	ga.cfg.Log.Warn().
		Str("event", "upstream_silent").
		Msg("upstream does not answer whether it is leaving; it is used if no neighbour knows that it has left")
	ga.retryHeld()
}

// RecordDeparture records that a process of the upstream has left: a former process of this
// node knew it, or the upstream has answered so.
func (ga *Gate) RecordDeparture(de host.Departure) {
	ga.mu.Lock()
	unknown, staying := ga.core.RecordDeparture(de)
	ga.mu.Unlock()
	if unknown {
		ga.cfg.Log.Info().
			Str("event", "upstream_leaving").
			Str("instance", string(de.Instance)).
			Time("started", de.StartedAt).
			Msg("upstream of this host had left before this process started")
	}
	if staying {
		ga.MarkGone(de.Instance)
	}
	ga.retryHeld()
}

// reportLeftAnnounced counts and logs an announcement of a process that has left.
func (ga *Gate) reportLeftAnnounced(an host.Announcement) {
	if ga.cfg.OnLeftAnnounced != nil {
		ga.cfg.OnLeftAnnounced()
	}
	ga.cfg.Log.Debug().
		Str("event", "upstream_left_announced").
		Str("instance", string(an.Instance)).
		Str("state", an.State.String()).
		Msg("announcement of an upstream that has left; it changes nothing")
}
