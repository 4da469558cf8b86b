package datacentre

import (
	"cmp"
	"slices"
	"time"

	"lynxfold/core/contract"
	"lynxfold/core/host"
)

const (
	// mostReads is how many requests one reading of the platform takes at most:
	// the current version, the introduction rows and the versions after one.
	mostReads = 3
	// introductionsEach is how many readings there are for each that asks for contacts.
	introductionsEach = 8
	// mostStretch bounds how far failures stretch the time between two readings.
	mostStretch = 16
	// readWithin is when a reading without a result counts as lost.
	readWithin = time.Minute
)

// reads is the state of reading the platform.
type reads struct {
	at      time.Time
	wanted  bool
	pending time.Time
	failed  int
	count   int
	cost    int
	fresh   bool

	introduceAt time.Time
	introduced  []string
}

// reader tells whether this node is one of its data centre's readers.
func (me *Member) reader() bool {
	return slices.Contains(me.readers(me.cfg.DataCentre), me.cfg.Host)
}

// Reads tells whether this node reads the platform: as one of its data centre's
// readers, or because it lacks something that no neighbour gives.
func (me *Member) Reads() bool { return me.reads.wanted }

// readers are the hosts of a data centre that read the platform, by rendezvous
// hashing over the live hosts.
func (me *Member) readers(name Name) []host.ID { return me.rank(name, "reader", readersPerCentre) }

// readPeriod is the time between two readings that cost some requests each.
// Half of the budget is for readers, in proportion to the hosts that this node
// sees of the whole fleet; the other half is for all hosts that lack a version
// or a link, in equal shares.
func (me *Member) readPeriod(cost int) time.Duration {
	fleet := float64(max(me.cfg.FleetSize, me.alive))
	share := me.cfg.ReadsPerSecond / 2 / fleet
	if me.reader() {
		share *= float64(me.alive) / float64(readersPerCentre*me.liveCentres())
		share = min(share, me.cfg.ReadsPerSecond/2)
	}
	return time.Duration(float64(cost) / share * float64(time.Second))
}

func (me *Member) liveCentres() int {
	count := 0
	for _, ce := range me.centres {
		if ce.alive > 0 {
			count++
		}
	}
	return max(count, 1)
}

// tickReads reads the platform when this node is a reader or lacks something
// that no neighbour gives.
func (me *Member) tickReads(now time.Time) {
	wanted := me.reader() || !me.settled() || len(me.links) == 0 || me.longBehind(now)
	if wanted && !me.reads.wanted {
		me.reads.at = later(me.reads.at, now.Add(me.jitter(me.readPeriod(mostReads))))
	}
	me.reads.wanted = wanted
	if !wanted || now.Before(me.reads.at) || now.Before(me.reads.pending) {
		return
	}
	introductions := len(me.links) == 0 || me.reads.count%introductionsEach == 0
	me.reads.count++
	me.reads.pending = now.Add(readWithin)
	me.reads.cost = 1
	if introductions {
		me.reads.cost++
	}
	me.do(ReadPlatform{
		After:         me.spread.held.Version,
		Introductions: introductions,
		Fresh:         me.reads.fresh || !me.settled(),
		Whole:         me.spread.refusedAbove() > 0,
	})
}

// longBehind tells whether neighbours have not given a missing version for long.
func (me *Member) longBehind(now time.Time) bool {
	behind := me.spread.pull.behind
	return !behind.IsZero() && now.Sub(behind) > 3*pullWithin
}

func (me *Member) platformRead(ev PlatformRead, now time.Time) {
	me.reads.pending = time.Time{}
	if ev.Err != nil {
		me.reads.failed++
		me.noteVersion(NoteReadFailed, 0, "", ev.Err, now)
		me.scheduleRead(mostReads, now)
		return
	}
	me.reads.failed = 0
	for _, ad := range ev.Contacts {
		me.contact(ad)
	}
	if ev.Whole != nil && ev.Whole.Version > me.spread.held.Version {
		me.reads.cost++
		me.adopt(ev.Whole, now)
	}
	if len(ev.Deltas) > 0 {
		me.reads.cost++
	}
	for _, de := range ev.Deltas {
		me.offer(de, de.Encode(), "", now)
	}
	me.start.read = me.start.read || me.readWhole(ev)
	me.reads.fresh = !me.readWhole(ev)
	me.scheduleRead(me.reads.cost, now)
	me.introduce(now)
}

// adopt holds a whole document that was read, and passes on what has changed.
func (me *Member) adopt(sn *contract.Snapshot, now time.Time) {
	if me.spread.held.Version > 0 {
		de := contract.Diff(me.spread.held, sn)
		me.offer(de, de.Encode(), "", now)
	}
	if me.spread.held.Version < sn.Version {
		me.replace(sn, "", now)
	}
}

// readWhole tells whether everything that was read is held or refused for good.
func (me *Member) readWhole(ev PlatformRead) bool {
	var top contract.Version
	for _, de := range ev.Deltas {
		top = max(top, de.Result)
	}
	if ev.Whole != nil {
		top = max(top, ev.Whole.Version)
	}
	return top <= me.spread.held.Version || me.refusedVersion(top)
}

// scheduleRead sets the next reading, never sooner than its share of the budget
// allows, with jitter; failures stretch the time.
func (me *Member) scheduleRead(cost int, now time.Time) {
	period := me.readPeriod(cost) * time.Duration(min(1<<min(me.reads.failed, 10), mostStretch))
	me.reads.at = now.Add(period + me.jitter(period/2))
}

// introduce writes the data centre's introduction row, when this node is the
// first of its readers and the row has changed or is old.
func (me *Member) introduce(now time.Time) {
	readers := me.readers(me.cfg.DataCentre)
	if len(readers) == 0 || readers[0] != me.cfg.Host || now.Before(me.reads.introduceAt) {
		return
	}
	var near, remote []string
	for _, id := range me.rank(me.cfg.DataCentre, "introduction", introduced) {
		ho := me.hosts[id].ho
		near = append(near, ho.GetAddress())
		remote = append(remote, cmp.Or(ho.GetRemoteAddress(), ho.GetAddress()))
	}
	slices.Sort(near)
	slices.Sort(remote)
	addresses := slices.Concat(near, remote)
	me.reads.introduceAt = now.Add(introduceSoon)
	if slices.Equal(addresses, me.reads.introduced) {
		me.reads.introduceAt = now.Add(introduceEvery)
	}
	me.reads.introduced = addresses
	me.do(Introduce{
		DataCentre:      me.cfg.DataCentre,
		Addresses:       near,
		RemoteAddresses: remote,
	})
}

// introduced takes in whether the row was written; a failure is tried again.
func (me *Member) introduced(ev Introduced, now time.Time) {
	if ev.Err == nil {
		return
	}
	me.reads.introduced = nil
	me.reads.introduceAt = now.Add(introduceSoon/2 + me.jitter(introduceSoon))
	me.noteVersion(NoteIntroduceFailed, 0, "", ev.Err, now)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
