package host

import "time"

// instanceTracker holds the state of the current upstream instance, taken from the
// announcements that identify their instance.
type instanceTracker struct {
	instance  InstanceID
	startedAt time.Time
	sequence  uint64
	state     State
	updatedAt time.Time
	// candidate is an instance with an earlier start time than the current one, and
	// candidateSequence its last announcement. It may still be the newer instance, when
	// the clock was set back.
	candidate          InstanceID
	candidateStartedAt time.Time
	candidateSequence  uint64
}

// takeoverSilence is how long the current instance must be silent before an instance
// with an earlier start time replaces it.
const takeoverSilence = 2 * time.Second

// AcceptAnnouncement reports whether an announcement is newer than the state of the
// current instance, and records it if so. It must be called once for each announcement,
// before the Announced event. Announcements without an instance are always accepted.
func (ga *Gate) AcceptAnnouncement(an Announcement, now time.Time) bool {
	if an.Instance == "" {
		return true
	}
	it := &ga.instances
	if an.State == StateGone {
		ga.former.record(Departure{
			Instance:  an.Instance,
			StartedAt: it.startOf(an),
			At:        now,
		})
	}
	if an.State == StateGone && an.StartedAt.IsZero() {
		return it.recordGone(an.Instance, now)
	}
	if ga.HasLeft(an) {
		return false
	}
	switch {
	case it.instance == "":
	case an.Instance == it.instance && an.StartedAt.Equal(it.startedAt):
		if !it.isNewer(an) {
			return false
		}
	case an.StartedAt.After(it.startedAt):
	case !it.takenOver(an, now):
		return false
	}
	*it = instanceTracker{
		instance:  an.Instance,
		startedAt: an.StartedAt,
		sequence:  max(an.Sequence, it.lastSequence(an)),
		state:     an.State,
		updatedAt: now,
	}
	return true
}

// startOf returns the start time of the process that an announcement is from; zero if neither
// the announcement nor the tracker knows it.
func (it *instanceTracker) startOf(an Announcement) time.Time {
	if an.StartedAt.IsZero() && an.Instance == it.instance {
		return it.startedAt
	}
	return an.StartedAt
}

// recordGone records that an instance is gone and reports whether this changes the
// state of the current instance. When no instance is known yet, the gone one becomes the
// current one, so that its delayed earlier announcements are rejected.
func (it *instanceTracker) recordGone(id InstanceID, now time.Time) bool {
	if it.instance == "" {
		*it = instanceTracker{
			instance:  id,
			startedAt: now,
		}
	}
	if it.instance != id || it.state == StateGone {
		return false
	}
	it.state = StateGone
	it.updatedAt = now
	return true
}

// recordDraining records that the current instance drains, if it is the given one.
func (it *instanceTracker) recordDraining(id InstanceID) {
	if id != "" && it.instance == id {
		it.state = max(it.state, StateDraining)
	}
}

// lastSequence returns the last recorded sequence number of the instance that sent the
// announcement; 0 for a new instance.
func (it *instanceTracker) lastSequence(an Announcement) uint64 {
	if an.Instance == it.instance && an.StartedAt.Equal(it.startedAt) {
		return it.sequence
	}
	return 0
}

// isNewer reports whether an announcement of the current instance follows the last
// recorded one. A draining or gone instance does not become ready again.
func (it *instanceTracker) isNewer(an Announcement) bool {
	if an.State < it.state {
		return false
	}
	return an.State == StateGone || an.Sequence > it.sequence
}

// takenOver reports whether an instance with an earlier start time has replaced the
// current one: it keeps announcing itself while the current one is silent.
func (it *instanceTracker) takenOver(an Announcement, now time.Time) bool {
	known := an.Instance == it.candidate && an.StartedAt.Equal(it.candidateStartedAt) && an.Sequence > it.candidateSequence
	if !known {
		it.candidate = an.Instance
		it.candidateStartedAt = an.StartedAt
		it.candidateSequence = an.Sequence
		return false
	}
	it.candidateSequence = an.Sequence
	return now.Sub(it.updatedAt) >= takeoverSilence && an.State != StateGone
}
