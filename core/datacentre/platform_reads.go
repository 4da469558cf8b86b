package datacentre

import (
	"cmp"
	"slices"
	"time"

	"lynxfold/core/contract"
	"lynxfold/core/host"
	"lynxfold/core/wire"
)

const (
	// maxReadRequests is the largest number of requests of one read of the platform:
	// the current version, the introduction rows and the versions after a given one.
	maxReadRequests = 3
	// readsPerIntroductionScan is the interval, counted in reads, at which a read also
	// asks for contacts.
	readsPerIntroductionScan = 8
	// maxReadBackoffFactor limits the factor by which failures extend the time between
	// two reads of a node that is not a reader.
	maxReadBackoffFactor = 16
	// maxReaderBackoff limits the time to which failures extend that between two reads of
	// a reader, since the mesh learns from readers that the platform is back.
	maxReaderBackoff = time.Second
	// readSilence is how long a read takes at least that fails since the platform does not
	// respond, instead of refusing it.
	readSilence = 500 * time.Millisecond
	// maxUnreportedFailures is how many reads in a row may fail before a reader tells the
	// mesh.
	maxUnreportedFailures = 1
	// readTimeout is when a read without a result counts as lost.
	readTimeout = time.Minute
	// readWait is how long the platform may hold back the response to a read while nothing
	// has changed, and waitingReadTimeout how long after that the response may begin to
	// arrive. Together they bound how long a silently broken connection goes unnoticed.
	readWait           = 2 * time.Second
	waitingReadTimeout = 500 * time.Millisecond
)

// platformReads is the state of reading the platform and of writing the introduction
// row.
type platformReads struct {
	nextAt time.Time
	// needed is set while this node reads the platform.
	needed bool
	// startedAt is when the latest read was started.
	startedAt time.Time
	// pendingUntil is when a read in progress counts as lost; zero while there is none.
	pendingUntil time.Time
	failures     int
	// responsive is set while the latest read succeeded, and timedOut if it failed after
	// readSilence or more.
	responsive bool
	timedOut   bool
	// count is the number of reads started.
	count int
	// cost is the number of requests of the latest read.
	cost int
	// unconditional is set when the next read must not use the cached ETag, since the
	// result of the latest was not applied completely.
	unconditional bool

	// introductionAt is when the introduction row may be written next,
	// introducedAddresses its content as last written.
	introductionAt      time.Time
	introducedAddresses []string
	// noIntroductions is set when the latest read found no introduction row.
	noIntroductions bool
}

// isReader reports whether this node is one of its data centre's readers.
func (me *Member) isReader() bool {
	return slices.Contains(me.readers(me.cfg.DataCentre), me.cfg.Host)
}

// ReadsPlatform reports whether this node currently reads the platform: as one of its data
// centre's readers, or because it lacks something that no neighbour provides.
func (me *Member) ReadsPlatform() bool { return me.reads.needed }

// NextReadAt returns when this node reads the platform next, if it does.
func (me *Member) NextReadAt() time.Time { return me.reads.nextAt }

// readers returns the hosts of a data centre that read the platform, chosen by
// rendezvous hashing over the live hosts. For each of them whose reads fail there is one
// more, up to maxReadersPerCentre: it may reach the platform where others can't. The number
// of those whose reads do not fail, as far as is known, grows with the number of the others,
// so that few rounds find a host that the platform serves.
func (me *Member) readers(name Name) []host.ID {
	candidates := me.rendezvousHosts(name, "reader", maxReadersPerCentre)
	lost, working := 0, 0
	for i, id := range candidates {
		if me.hosts[id].host.GetPlatformLost() {
			lost++
			continue
		}
		working++
		if working >= max(readersPerCentre, lost) {
			return candidates[:i+1]
		}
	}
	return candidates
}

// updatePlatformLost tells the mesh when reads of this node, as a reader, begin or cease
// to fail. A read without a response tells at once, since the next one takes long too.
func (me *Member) updatePlatformLost(now time.Time) {
	failing := me.reads.failures > maxUnreportedFailures || me.reads.failures > 0 && me.reads.timedOut
	lost := failing && len(me.links) > 0 && me.isReader()
	if lost == me.self.GetPlatformLost() || me.leaving {
		return
	}
	me.updateSelf(now, func(ho *wire.Host) { ho.PlatformLost = lost })
}

// readPeriod returns the time between two reads of the given cost in requests. Half of
// the fleet's budget is for the readers, scaled by the fraction of the fleet that this
// node sees; the other half is divided equally among all hosts, for those that lack a
// version or a link.
func (me *Member) readPeriod(cost int) time.Duration {
	fleet := float64(max(me.cfg.FleetSize, me.liveHosts))
	share := me.cfg.ReadsPerSecond / 2 / fleet
	if readers := me.readers(me.cfg.DataCentre); slices.Contains(readers, me.cfg.Host) {
		perCentre := max(len(readers), readersPerCentre)
		share *= float64(me.liveHosts) / float64(perCentre*me.liveCentres())
		share = min(share, me.cfg.ReadsPerSecond/2)
	}
	return time.Duration(float64(cost) / share * float64(time.Second))
}

func (me *Member) liveCentres() int {
	count := 0
	for _, ce := range me.centres {
		if ce.liveHosts > 0 {
			count++
		}
	}
	return max(count, 1)
}

// tickReads reads the platform if this node is a reader or lacks something that no
// neighbour provides.
func (me *Member) tickReads(now time.Time) {
	needed := me.isReader() || !me.activated() || len(me.links) == 0 || me.laggingTooLong(now)
	if needed && !me.reads.needed {
		me.reads.nextAt = laterTime(me.reads.nextAt, now.Add(me.jitter(me.readPeriod(maxReadRequests))))
	}
	me.reads.needed = needed
	if !needed {
		me.reads.failures = 0
		me.reads.responsive = false
	}
	me.updatePlatformLost(now)
	if !needed || now.Before(me.reads.nextAt) || now.Before(me.reads.pendingUntil) {
		return
	}
	introductions := len(me.links) == 0 || me.reads.count%readsPerIntroductionScan == 0
	me.reads.count++
	me.reads.startedAt = now
	me.reads.pendingUntil = now.Add(readTimeout)
	me.reads.cost = 1
	if introductions {
		me.reads.cost++
	}
	ac := ReadPlatform{
		After:         me.versions.verified.Version,
		Introductions: introductions,
		Unconditional: me.reads.unconditional || !me.activated(),
		Snapshot:      me.versions.highestRefused() > 0,
	}
	// The first read, and each after a failure, does not wait: no response then means that
	// the platform is away, and is known after the timeout of a request.
	if me.reads.responsive {
		ac.MaxWait = readWait
		ac.ResponseTimeout = waitingReadTimeout
	}
	me.emit(ac)
}

// laggingTooLong reports whether neighbours have failed to provide a missing version
// for longer than three pull timeouts.
func (me *Member) laggingTooLong(now time.Time) bool {
	behind := me.versions.pull.behindSince
	return !behind.IsZero() && now.Sub(behind) > 3*pullTimeout
}

func (me *Member) handlePlatformRead(ev PlatformRead, now time.Time) {
	me.reads.pendingUntil = time.Time{}
	me.reads.responsive = ev.Err == nil
	if ev.Err != nil {
		me.reads.failures++
		me.reads.timedOut = now.Sub(me.reads.startedAt) >= readSilence
		me.noteVersion(NotePlatformReadFailed, 0, "", ev.Err, now)
		me.scheduleRetry(now)
		return
	}
	me.reads.failures = 0
	me.recordUnreadable(ev.Refused, now)
	if ev.Snapshot != nil && ev.Snapshot.Version > me.versions.verified.Version {
		me.reads.cost++
		me.adoptReadSnapshot(ev.Snapshot, now)
	}
	if len(ev.Deltas) > 0 {
		me.reads.cost++
	}
	for _, de := range ev.Deltas {
		me.processDelta(encodeDelta(de), "", now)
	}
	me.startup.platformRead = me.startup.platformRead || me.readComplete(ev)
	me.reads.unconditional = !me.readComplete(ev)
	me.scheduleRead(me.reads.cost, now)
	me.writeIntroduction(now)
}

func (me *Member) handleIntroductionsRead(ev IntroductionsRead, now time.Time) {
	if ev.Err != nil {
		me.noteVersion(NoteContactsReadFailed, 0, "", ev.Err, now)
		return
	}
	me.reads.noIntroductions = len(ev.Contacts) == 0
	for _, ad := range ev.Contacts {
		me.addContact(ad)
	}
	if len(me.contacts) == 0 && len(me.links) == 0 {
		me.heardNeighbours()
	}
	me.addIntroduced(ev.Contacts, now)
	me.writeIntroduction(now)
}

// addIntroduced records the addresses in the introduction rows. A process that has just started
// has not heard of the hosts behind a partition, which may run on.
func (me *Member) addIntroduced(addresses []string, now time.Time) {
	if now.After(me.cfg.StartedAt.Add(lostMemory)) {
		me.introduced = nil
		return
	}
	if me.introduced == nil {
		me.introduced = map[string]bool{}
	}
	for _, ad := range addresses {
		me.introduced[ad] = true
	}
	me.view.hosts = nil
	me.view.dirty = true
}

// adoptReadSnapshot adopts a document read from the platform and forwards the
// difference as a delta.
func (me *Member) adoptReadSnapshot(sn *contract.Snapshot, now time.Time) {
	if me.versions.verified.Version > 0 {
		de := contract.Diff(me.versions.verified, sn)
		me.processDelta(encodeDelta(de), "", now)
	}
	if me.versions.verified.Version < sn.Version {
		me.adoptSnapshot(sn, "", now)
	}
}

// readComplete reports whether a read was applied completely: its highest version is
// refused, or not above the verified one.
func (me *Member) readComplete(ev PlatformRead) bool {
	var highest contract.Version
	for _, de := range ev.Deltas {
		highest = max(highest, de.Result)
	}
	if ev.Snapshot != nil {
		highest = max(highest, ev.Snapshot.Version)
	}
	return highest <= me.versions.verified.Version || me.isRefused(highest)
}

// scheduleRead sets the time of the next read: no sooner than this node's share of the
// budget allows, with jitter.
func (me *Member) scheduleRead(cost int, now time.Time) {
	period := me.readPeriod(cost)
	me.reads.nextAt = now.Add(period + me.jitter(period/2))
}

// scheduleRetry sets the time of the next read after a failed one, with backoff. It counts
// from the start of that read: the time spent waiting for it was a pause already.
func (me *Member) scheduleRetry(now time.Time) {
	pause := me.readBackoff(me.readPeriod(maxReadRequests))
	me.reads.nextAt = laterTime(now, me.reads.startedAt.Add(pause+me.jitter(pause/2)))
}

// readBackoff returns the time between two reads after failures; without failures it
// would be the given one.
func (me *Member) readBackoff(period time.Duration) time.Duration {
	limit := period * maxReadBackoffFactor
	if me.isReader() {
		limit = max(period, maxReaderBackoff)
	}
	return min(period<<min(me.reads.failures, 10), limit)
}

// writeIntroduction writes the data centre's introduction row if this node is the
// first of its readers and the row has changed or is due for a refresh. A node that has
// just started knows few hosts, and leaves the rows that are there as they are.
func (me *Member) writeIntroduction(now time.Time) {
	if !me.reads.noIntroductions && now.Before(me.cfg.StartedAt.Add(introductionDelay)) {
		return
	}
	readers := me.readers(me.cfg.DataCentre)
	if len(readers) == 0 || readers[0] != me.cfg.Host || now.Before(me.reads.introductionAt) {
		return
	}
	var local, remote []string
	for _, id := range me.rendezvousHosts(me.cfg.DataCentre, "introduction", maxIntroducedHosts) {
		ho := me.hosts[id].host
		local = append(local, ho.GetAddress())
		remote = append(remote, cmp.Or(ho.GetRemoteAddress(), ho.GetAddress()))
	}
	slices.Sort(local)
	slices.Sort(remote)
	addresses := slices.Concat(local, remote)
	me.reads.introductionAt = now.Add(introductionUpdateInterval)
	if slices.Equal(addresses, me.reads.introducedAddresses) {
		me.reads.introductionAt = now.Add(introductionRefreshInterval)
	}
	me.reads.introducedAddresses = addresses
	me.emit(WriteIntroduction{
		DataCentre:      me.cfg.DataCentre,
		Addresses:       local,
		RemoteAddresses: remote,
	})
}

// handleIntroductionWritten schedules a retry if the introduction row could not be written.
func (me *Member) handleIntroductionWritten(ev IntroductionWritten, now time.Time) {
	if ev.Err == nil {
		return
	}
	me.reads.introducedAddresses = nil
	me.reads.introductionAt = now.Add(introductionUpdateInterval/2 + me.jitter(introductionUpdateInterval))
	me.noteVersion(NoteIntroductionFailed, 0, "", ev.Err, now)
}

func laterTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
