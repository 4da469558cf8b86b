package datacentre

import "time"

// Limits on what a member keeps and sends.
const (
	// successors and fingers are the links a host opens in its data centre.
	successors = 2
	fingers    = 2
	// holdersPerCentre is how many hosts of a data centre open a link to each other one.
	holdersPerCentre = 2
	// bootstrapDials is how many contacts are tried at once without any link.
	bootstrapDials = 3
	// buckets is how many parts of a data centre's records are compared on their own.
	buckets = 64
	// pieceRecords bounds the host records of one message.
	pieceRecords = 100
	// floodRecords bounds the records of an answer that are passed on at once;
	// more are left to the periodic comparison.
	floodRecords = 16
	// resyncBytesPerSecond and resyncBurst bound the answers to pulls, in bytes.
	resyncBytesPerSecond = 256 << 10
	resyncBurst          = 128 << 10
	// resyncQueue bounds the pulls that wait for an answer.
	resyncQueue = 128
	// joinsPerSecond and joinBurst bound the links taken from others.
	joinsPerSecond = 16
	joinBurst      = 32
	// refusalAddresses is how many other addresses a refused peer is given.
	refusalAddresses = 8
	// keptDeltas and keptBytes bound the deltas kept for neighbours with a gap.
	keptDeltas = 256
	keptBytes  = 512 << 10
	// pendingDeltas bounds the deltas that arrived before their base.
	pendingDeltas = 64
	// refusedVersions bounds the versions remembered as not compiling.
	refusedVersions = 16
	// readersPerCentre is how many hosts of a data centre read the platform.
	readersPerCentre = 2
	// introduced is how many hosts of a data centre its introduction row names.
	introduced = 30
)

// Spans of time.
const (
	// pauseLimit is the longest gap between two steps of a process that runs.
	pauseLimit = time.Second
	// pauseGrace is how long a process that was paused accuses nobody.
	pauseGrace = 1500 * time.Millisecond
	// redialWait is how long a lost link may take to come back before its host is suspected.
	redialWait = 300 * time.Millisecond
	// suspectFor is how long a suspected host has to refute.
	suspectFor = 800 * time.Millisecond
	// keepGone is how long dead hosts and hosts that left are remembered.
	keepGone = time.Hour
	// ownEvery is the shortest time between two changes of the own record that can wait.
	ownEvery = time.Second
	// dialWithin bounds one dial.
	dialWithin = 6 * time.Second
	// avoidFor is how long a remote host that did not answer is passed over.
	avoidFor = 10 * time.Second
	// reachWait is how long a holder tries before it reports a data centre as not reached.
	reachWait = time.Second
	// reachEvery is the time between repetitions of such a report, reachLapse its life.
	reachEvery = 4 * time.Second
	reachLapse = 3 * reachEvery
	// noticeEvery is the time between two periodic comparisons with a random peer.
	noticeEvery = 2 * time.Second
	// unsettledNoticeEvery is the same for a node that has no grounds yet.
	unsettledNoticeEvery = 500 * time.Millisecond
	// syncWithin is how long a comparison may stand still.
	syncWithin = 2 * time.Second
	// lazyWait is how long a version known from a notice may take to arrive by itself.
	lazyWait = 200 * time.Millisecond
	// pullWithin is how long an answer to a pull may take.
	pullWithin = time.Second
	// distrustFor is how long a peer that sent bad content is not asked.
	distrustFor = 5 * time.Second
	// floorWait bounds the wait for a floor after a start.
	floorWait = 3 * time.Second
	// knockEvery is how often the fleet together tries each dead host.
	knockEvery = 5 * time.Second
	// introduceEvery is the time between two writes of an unchanged introduction row.
	introduceEvery = 10 * time.Minute
	// introduceSoon is the time between two writes of a changed one.
	introduceSoon = 30 * time.Second
	// wantsEvery is the shortest time between two choices of links.
	wantsEvery = 200 * time.Millisecond
)
