package host

import (
	"time"

	"lynxfold/core/contract"
)

// Config configures a gate.
type Config struct {
	Incarnation Incarnation
	// QueuePerSlot bounds the queue length of each class, in attempts per slot.
	QueuePerSlot int
	// DefaultRetryAfter is the retry delay returned with a refusal while no upstream is
	// usable or its service time is not known yet.
	DefaultRetryAfter time.Duration
	// DrainGrace is how long a draining upstream still receives attempts that find a
	// free slot.
	DrainGrace time.Duration
	// AnnounceLag bounds the age of the in_flight value in an announcement. A new gate
	// admits nothing until it receives an announcement that was certainly sampled after
	// its start, since its former incarnation may have left calls running.
	AnnounceLag time.Duration
	// ProcessStartedAt is when this node's process started. An upstream that is older may have
	// left while a former process of the node ran, so that its first announcement is held
	// back until that is known; zero turns this off.
	ProcessStartedAt time.Time
	// AsksUpstream says that such an upstream is asked whether it is leaving.
	AsksUpstream bool
	// MaxCallTimeout bounds the timeouts of calls; it defaults to the maximum timeout of
	// a contract.
	MaxCallTimeout time.Duration
	Ledger         LedgerConfig
}

// Gate is the admission controller of the upstream on its host; every attempt passes
// through it. It is not safe for concurrent use.
type Gate struct {
	cfg               Config
	upstream          Announcement
	upstreamExpiresAt time.Time
	upstreamKnown     bool
	startedAt         time.Time
	// nodeCutoff and upstreamCutoff are the times from which a drain refuses all
	// attempts; zero means never.
	nodeCutoff     time.Time
	upstreamCutoff time.Time
	// stopAt is when the host stops; zero while that is unknown.
	stopAt time.Time

	ledger *ledger
	queue  queue
	// running holds the attempts that are dispatched and have not ended; startedCount
	// is the number of them that were written to the upstream.
	running      map[AttemptID]*entry
	runningBulk  int
	startedCount int
	levels       levels
	fair         fairShares
	share        servedShare
	orphans      orphanTracker
	transfers    transferLimiter
	downstream   downstreamShortages
	instances    instanceTracker
	former       formerUpstream
	limiter      rateLimiter
	crashes      crashTracker
	// process is the upstream's process; processSince is when it was first announced, and
	// leavingAt when one of its responses first stated that it is leaving, zero if none
	// has.
	process      ProcessID
	processSince time.Time
	leavingAt    time.Time
	lookupTime   estimate
	bulkTime     estimate
	kindTimes    map[Kind]*estimate
	slowdown     slowdownTracker
	actions      []Action
}

// NewGate creates a gate without an upstream.
func NewGate(cfg Config) *Gate {
	if cfg.MaxCallTimeout <= 0 {
		cfg.MaxCallTimeout = contract.MaxTimeout
	}
	le := newLedger(cfg.Ledger)
	return &Gate{
		cfg:       cfg,
		ledger:    le,
		running:   map[AttemptID]*entry{},
		kindTimes: map[Kind]*estimate{},
		orphans: orphanTracker{
			lag:            cfg.AnnounceLag,
			maxCallTimeout: cfg.MaxCallTimeout,
		},
	}
}

// Step processes one event and returns the resulting actions, which are valid until
// the next call.
func (ga *Gate) Step(ev Event, now time.Time) []Action {
	clear(ga.actions)
	ga.actions = ga.actions[:0]
	if ga.startedAt.IsZero() {
		ga.startedAt = now
	}
	ga.orphans.rotate(ga.startedCount, now)
	ga.orphans.expire(now)
	ga.slowdown.expire(now)
	switch ev := ev.(type) {
	case Arrived:
		ga.handleArrived(ev.Attempt, now)
	case Started, Identified, BodyReceived, Ended:
		ga.handleProgress(ev, now)
	case Cancelled:
		ga.handleCancelled(ev.ID, now)
	case Announced:
		ga.handleAnnounced(ev, now)
	case Noticed:
		ga.handleNoticed(ev, now)
	case UpstreamLost:
		ga.handleUpstreamLost(ev, now)
	case Drain:
		ga.handleDrain(ev, now)
	case Stopping:
		ga.stopAt = ev.At
	case IncarnationRaised:
		ga.cfg.Incarnation = max(ga.cfg.Incarnation, ev.Incarnation)
	case NestedCalled:
		ga.handleNestedCalled(ev, now)
	case Queried:
		ga.handleQueried(ev, now)
	case Tick:
		ga.handleTick(now)
	}
	ga.dispatchQueued(now)
	ga.refuseOverdue(now)
	ga.dropRecords(now)
	return ga.actions
}

func (ga *Gate) emit(ac Action) { ga.actions = append(ga.actions, ac) }

// UnavailableReason returns why the gate accepts no attempts, or ReasonNone when it does.
func (ga *Gate) UnavailableReason(now time.Time) Reason {
	switch {
	case ga.draining() && !now.Before(earlier(ga.nodeCutoff, ga.upstreamCutoff)):
		return ReasonDraining
	case !ga.upstreamKnown || now.After(ga.upstreamExpiresAt) || ga.upstream.State == StateGone:
		return ReasonNoUpstream
	case !ga.orphans.settled:
		return ReasonSettling
	}
	return ReasonNone
}

// UpstreamKnown reports whether the upstream has announced itself and was not lost since.
func (ga *Gate) UpstreamKnown() bool { return ga.upstreamKnown }

// Running returns the number of attempts that are dispatched and have not ended.
func (ga *Gate) Running() int { return len(ga.running) }

// Orphaned returns the number of calls that the upstream may still be working on
// beyond the running attempts.
func (ga *Gate) Orphaned() int { return ga.orphans.count() }

// Queued returns the number of queued attempts.
func (ga *Gate) Queued() int { return ga.queue.len() }

// LedgerEntries returns the number of attempts in the ledger.
func (ga *Gate) LedgerEntries() int { return len(ga.ledger.entries) }

// KeptBytes returns the total size of the kept answers in bytes.
func (ga *Gate) KeptBytes() int { return ga.ledger.keptBytes }

// Service returns the service of the upstream.
func (ga *Gate) Service() contract.ServiceName { return ga.upstream.Service }

// LoadPermille returns the running, orphaned and queued calls in thousandths of the
// concurrency limit. While the rate limit allows no further attempt, it is at least the
// load at which an attempt would wait as long in the queue for a slot.
func (ga *Gate) LoadPermille(now time.Time) uint32 {
	limit := ga.concurrencyLimit()
	if limit <= 0 {
		return 1000
	}
	load := uint32(1000 * (len(ga.running) + ga.orphans.count() + ga.queue.len()) / limit)
	wait := ga.limiter.wait(ga.queue.len()+1, now)
	if wait == 0 {
		return load
	}
	return max(load, uint32(1000*(1+wait.Seconds()/ga.meanServiceTime().Seconds())))
}
