package host

import "time"

// seen is what a gate remembers of the announcements of named instances.
type seen struct {
	instance InstanceID
	born     time.Time
	sequence uint64
	state    State
	at       time.Time
	// rival is an instance that says that it is older than the known one, and
	// rivalSequence its last announcement. A clock that was set back makes a new
	// instance look older.
	rival         InstanceID
	rivalBorn     time.Time
	rivalSequence uint64
}

// rivalAfter is how long the known instance must be silent before one that
// looks older takes its place.
const rivalAfter = 2 * time.Second

// Takes tells whether an announcement is newer than what is known. It must be
// asked once for each announcement, before the Announced event. Announcements
// without an instance are always taken.
func (ga *Gate) Takes(an Announcement, now time.Time) bool {
	if an.Instance == "" {
		return true
	}
	se := &ga.seen
	if an.State == StateGone && an.Born.IsZero() {
		return se.departs(an.Instance, now)
	}
	switch {
	case se.instance == "":
	case an.Instance == se.instance && an.Born.Equal(se.born):
		if !se.follows(an) {
			return false
		}
	case an.Born.After(se.born):
	case !se.replaced(an, now):
		return false
	}
	*se = seen{
		instance: an.Instance,
		born:     an.Born,
		sequence: max(an.Sequence, se.sequenceOf(an)),
		state:    an.State,
		at:       now,
	}
	return true
}

// departs takes in that an instance has left. One that is not known is
// remembered, so that what it announced before is not taken later.
func (se *seen) departs(id InstanceID, now time.Time) bool {
	if se.instance == "" {
		*se = seen{
			instance: id,
			born:     now,
		}
	}
	if se.instance != id || se.state == StateGone {
		return false
	}
	se.state = StateGone
	se.at = now
	return true
}

// sequenceOf is the last sequence of the announcement's own instance; 0 when it is new.
func (se *seen) sequenceOf(an Announcement) uint64 {
	if an.Instance == se.instance && an.Born.Equal(se.born) {
		return se.sequence
	}
	return 0
}

// follows tells whether an announcement of the known instance comes after the
// last one. An instance that leaves does not come back.
func (se *seen) follows(an Announcement) bool {
	if an.State < se.state {
		return false
	}
	return an.State == StateGone || an.Sequence > se.sequence
}

// replaced tells whether an instance that looks older has taken the place of
// the known one: it goes on announcing itself while the other is silent.
func (se *seen) replaced(an Announcement, now time.Time) bool {
	again := an.Instance == se.rival && an.Born.Equal(se.rivalBorn) && an.Sequence > se.rivalSequence
	if !again {
		se.rival = an.Instance
		se.rivalBorn = an.Born
		se.rivalSequence = an.Sequence
		return false
	}
	se.rivalSequence = an.Sequence
	return now.Sub(se.at) >= rivalAfter && an.State != StateGone
}
