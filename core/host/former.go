package host

import (
	"slices"
	"time"
)

// Departure says that a process of the upstream has left: it has announced or answered that it
// is leaving, or that it is gone.
type Departure struct {
	Instance InstanceID
	// StartedAt is the start time of the process; zero stands for each process of this
	// instance that started before At.
	StartedAt time.Time
	At        time.Time
}

// covers reports whether an announcement is from the process that has left.
func (de Departure) covers(an Announcement) bool {
	switch {
	case an.Instance != de.Instance:
		return false
	case an.StartedAt.IsZero():
		return true
	case de.StartedAt.IsZero():
		return !an.StartedAt.After(de.At)
	}
	return an.StartedAt.Equal(de.StartedAt)
}

const (
	// maxDepartures bounds the processes that a gate remembers to have left.
	maxDepartures = 32
	// neighbourWait is how long after its start a node waits for a neighbour that may know its
	// upstream.
	neighbourWait = 2 * time.Second
)

// formerUpstream is what a gate finds out about an upstream that is older than the gate's own
// process: a former process of the node may have acknowledged that it leaves.
type formerUpstream struct {
	departures []Departure
	// neighboursHeard is set once a neighbour has told what it knows.
	neighboursHeard bool
	// answered is the instance that has answered since the start that it is not leaving;
	// empty while none has.
	answered InstanceID
	// unknownAnswered is set once an upstream has answered so without its instance.
	unknownAnswered bool
	// silent is set when the upstream has not answered in time.
	silent bool
}

func (fu *formerUpstream) hasLeft(an Announcement) bool {
	return slices.ContainsFunc(fu.departures, func(de Departure) bool { return de.covers(an) })
}

// record adds a departure, or updates when it was last heard of, and reports whether it was
// unknown.
func (fu *formerUpstream) record(de Departure) bool {
	at := slices.IndexFunc(fu.departures, func(known Departure) bool {
		return known.Instance == de.Instance && known.StartedAt.Equal(de.StartedAt)
	})
	if at >= 0 {
		fu.departures[at] = de
		return false
	}
	fu.departures = append(fu.departures, de)
	if len(fu.departures) > maxDepartures {
		fu.departures = slices.Delete(fu.departures, 0, 1)
	}
	return true
}

// asked reports whether the upstream's own answers allow an instance, or it gives none.
func (fu *formerUpstream) asked(id InstanceID) bool {
	if fu.answered != "" {
		return fu.answered == id
	}
	return fu.unknownAnswered || fu.silent
}

// HoldsBack reports whether an announcement has to wait until it is known whether its process
// has left: its process may be older than the node's, and neither the neighbours nor the
// upstream itself have been heard about it yet.
func (ga *Gate) HoldsBack(an Announcement, now time.Time) bool {
	if ga.cfg.ProcessStartedAt.IsZero() || an.Instance == "" || an.State != StateReady || ga.former.hasLeft(an) {
		return false
	}
	it := &ga.instances
	if it.instance == an.Instance && (it.startedAt.IsZero() || it.startedAt.Equal(an.StartedAt)) {
		return false
	}
	if an.StartedAt.After(ga.cfg.ProcessStartedAt) {
		return false
	}
	heard := ga.former.neighboursHeard || !now.Before(ga.cfg.ProcessStartedAt.Add(neighbourWait))
	return !heard || ga.AwaitsAnswer(an)
}

// AwaitsAnswer reports whether an announcement that is held back waits for the upstream's own
// answer.
func (ga *Gate) AwaitsAnswer(an Announcement) bool {
	return ga.cfg.AsksUpstream && !ga.former.asked(an.Instance)
}

// HasLeft reports whether an announcement is from a process that is known to have left.
func (ga *Gate) HasLeft(an Announcement) bool {
	return an.State != StateGone && ga.former.hasLeft(an)
}

// RecordNeighboursHeard records that a neighbour has told what it knows about the upstream, with
// RecordDeparture, or that there is no neighbour.
func (ga *Gate) RecordNeighboursHeard() { ga.former.neighboursHeard = true }

// RecordStaying records that the upstream has answered that it is not leaving. The instance is
// empty if the answer does not name it.
func (ga *Gate) RecordStaying(id InstanceID) {
	if id == "" {
		ga.former.unknownAnswered = true
		return
	}
	ga.former.answered = id
}

// RecordSilence records that the upstream was asked and has not answered in time.
func (ga *Gate) RecordSilence() { ga.former.silent = true }

// RecordDeparture records that a process of the upstream has left. Its announcements are
// rejected from now on. It reports whether this was unknown, and whether the process is the
// current one and still counts as staying.
func (ga *Gate) RecordDeparture(de Departure) (unknown, staying bool) {
	unknown = ga.former.record(de)
	it := &ga.instances
	return unknown, it.state == StateReady && it.instance != "" && de.covers(Announcement{
		Instance:  it.instance,
		StartedAt: it.startedAt,
	})
}
