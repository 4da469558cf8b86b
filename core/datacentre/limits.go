package datacentre

import "time"

// Limits on state, links and messages.
const (
	// successorLinks and fingerLinks are the links that a host opens inside its data
	// centre: to the next hosts on the ring, and to hosts at halving distances.
	successorLinks = 2
	fingerLinks    = 2
	// borderHostsPerCentre is the number of hosts of a data centre that keep a link
	// into each other data centre.
	borderHostsPerCentre = 2
	// maxBootstrapDials is the number of contacts that are dialled at once while there
	// is no link.
	maxBootstrapDials = 3
	// digestBuckets is the number of parts into which the records of a data centre are
	// divided for anti-entropy.
	digestBuckets = 64
	// maxRecordsPerMessage limits the host records of one message.
	maxRecordsPerMessage = 100
	// maxForwardedRecords limits the new records of a pull's answer that are forwarded
	// to neighbours; more than that are only announced by a notice, after which
	// neighbours pull them.
	maxForwardedRecords = 16
	// resyncBytesPerSecond and resyncBurstBytes limit the rate of answers to pulls.
	resyncBytesPerSecond = 256 << 10
	resyncBurstBytes     = 128 << 10
	// maxQueuedPulls limits the pulls that wait for an answer.
	maxQueuedPulls = 128
	// joinsPerSecond and joinBurst limit the rate of links accepted from peers.
	joinsPerSecond = 16
	joinBurst      = 32
	// maxRefusalAddresses is the number of other addresses that a refused peer is
	// given.
	maxRefusalAddresses = 8
	// maxRecentDeltas and maxRecentDeltaBytes limit the deltas cached for neighbours
	// that missed some.
	maxRecentDeltas     = 256
	maxRecentDeltaBytes = 512 << 10
	// maxForwardedBytes is the size up to which a delta is forwarded to every neighbour;
	// larger ones are pulled.
	maxForwardedBytes = 8 << 10
	// minPackedBytes is the size from which a delta is compressed.
	minPackedBytes = 1 << 10
	// maxPendingDeltas limits the deltas that arrived before their base.
	maxPendingDeltas = 64
	// maxRefusedVersions limits the remembered versions that do not compile.
	maxRefusedVersions = 16
	// readersPerCentre is the number of hosts of a data centre that read the platform.
	readersPerCentre = 2
	// maxReadersPerCentre is the same while reads of some of them fail: others read beside
	// them. It bounds what an outage for all hosts costs.
	maxReadersPerCentre = 32
	// maxIntroducedHosts is the number of hosts in a data centre's introduction row.
	maxIntroducedHosts = 30
)

// Timeouts and intervals.
const (
	// pauseThreshold is the longest gap between two steps before the process counts as
	// paused.
	pauseThreshold = time.Second
	// pauseGrace is how long a node raises no suspicion after a pause of its own
	// process.
	pauseGrace = 1500 * time.Millisecond
	// redialTimeout is how long a lost link may take to be re-established before its
	// host is suspected.
	redialTimeout = 300 * time.Millisecond
	// suspicionTimeout is how long a suspected host has to refute before it is
	// declared dead.
	suspicionTimeout = 800 * time.Millisecond
	// tombstoneTTL is how long hosts that are dead or have left are remembered.
	tombstoneTTL = time.Hour
	// ownUpdateInterval is the shortest time between two non-urgent updates of the
	// node's own record.
	ownUpdateInterval = time.Second
	// dialTimeout is how long a dial may take.
	dialTimeout = 6 * time.Second
	// avoidDuration is how long a host of another data centre is avoided after a
	// failed dial.
	avoidDuration = 10 * time.Second
	// reachTimeout is how long a border host may be without a link into a data centre
	// before it reports this.
	reachTimeout = time.Second
	// reachReportInterval is the time between repetitions of such a report,
	// reachReportTTL how long one is valid.
	reachReportInterval = 4 * time.Second
	reachReportTTL      = 3 * reachReportInterval
	// noticeInterval is the mean time between two periodic notices to a random peer.
	noticeInterval = 2 * time.Second
	// startupNoticeInterval is the same for a node without an active version, which
	// sends notices to all peers.
	startupNoticeInterval = 500 * time.Millisecond
	// antiEntropyTimeout is how long an anti-entropy exchange may go without progress.
	antiEntropyTimeout = 2 * time.Second
	// pullDelay is how long to wait for a delta to arrive by itself before a version
	// known to a peer is pulled.
	pullDelay = 200 * time.Millisecond
	// maxOnRequestDelay bounds the random delay before a version is pulled that the peer
	// does not send by itself. It lets the first hosts to have it serve the others.
	maxOnRequestDelay = 200 * time.Millisecond
	// pullTimeout is how long the answer to a pull may take.
	pullTimeout = time.Second
	// pullBackoff is how long a peer is not pulled from after a timeout or bad
	// content.
	pullBackoff = 5 * time.Second
	// floorTimeout is how long a starting node waits for floors from its neighbours.
	floorTimeout = 3 * time.Second
	// rediscoveryInterval is how often all hosts of the fleet together dial each dead
	// host.
	rediscoveryInterval = 5 * time.Second
	// introductionDelay is how long after its start a node does not overwrite
	// introduction rows.
	introductionDelay = 5 * time.Second
	// introductionRefreshInterval is the time between two writes of an unchanged
	// introduction row.
	introductionRefreshInterval = 10 * time.Minute
	// introductionUpdateInterval is the shortest time between two writes of a changed
	// introduction row.
	introductionUpdateInterval = 30 * time.Second
	// linkSelectionInterval is the shortest time between two selections of links.
	linkSelectionInterval = 200 * time.Millisecond
)
