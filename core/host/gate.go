package host

import (
	"time"

	"lynxfold/core/contract"
)

// Config sets up a gate.
type Config struct {
	Incarnation Incarnation
	// QueuePerSlot bounds the queue of each class in attempts for each slot.
	QueuePerSlot int
	// ComeBack is added to now for those refused while no upstream is usable, or
	// while nothing is known of its service time.
	ComeBack time.Duration
	// DrainGrace is how long a draining upstream still gets attempts that find
	// a free slot.
	DrainGrace time.Duration
	// AnnounceLag bounds the age of an announcement's in_flight. A gate lets
	// nothing in until it is that old, as its former incarnation may have.
	AnnounceLag time.Duration
	// LongestCall bounds the timeouts of calls; it is the longest that a contract
	// may have when not set.
	LongestCall time.Duration
	Ledger      LedgerConfig
}

// Gate is the only way to the upstream on its host. It is driven by one
// goroutine at a time.
type Gate struct {
	cfg      Config
	upstream Announcement
	lapse    time.Time
	known    bool
	startAt  time.Time
	// nodeEnds and upstreamEnds are when new work ends; zero means never.
	nodeEnds     time.Time
	upstreamEnds time.Time

	ledger  *ledger
	queue   queue
	running map[AttemptID]*entry
	bulk    int
	started int
	// demand is an average of the lookups that run or wait at once, by rank.
	demand    map[int]float64
	counts    map[int]int
	occupancy occupancy
	transfers transfers
	seen      seen
	lookups   estimate
	uploads   estimate
	kinds     map[Kind]*estimate
	acts      []Action
}

// NewGate builds a gate that knows no upstream yet.
func NewGate(cfg Config) *Gate {
	if cfg.LongestCall <= 0 {
		cfg.LongestCall = contract.MaxTimeout
	}
	le := newLedger(cfg.Ledger)
	return &Gate{
		cfg:     cfg,
		ledger:  le,
		running: map[AttemptID]*entry{},
		demand:  map[int]float64{},
		counts:  map[int]int{},
		kinds:   map[Kind]*estimate{},
		occupancy: occupancy{
			lag:     cfg.AnnounceLag,
			longest: cfg.LongestCall,
		},
	}
}

// Step feeds one event and returns what to do. The actions are valid until the
// next Step.
func (ga *Gate) Step(ev Event, now time.Time) []Action {
	clear(ga.acts)
	ga.acts = ga.acts[:0]
	if ga.startAt.IsZero() {
		ga.startAt = now
	}
	ga.occupancy.turn(ga.started, now)
	ga.occupancy.expire(now)
	switch ev := ev.(type) {
	case Arrived:
		ga.arrive(ev.Attempt, now)
	case Started:
		ga.begun(ev.ID)
	case Received:
		if en := ga.running[ev.ID]; en != nil {
			ga.transfers.end(en, ev.Bytes, now)
		}
	case Ended:
		ga.ended(ev, now)
	case Cancelled:
		ga.cancel(ev.ID, now)
	case Announced:
		ga.announced(ev, now)
	case Lost:
		ga.known = false
		ga.flush(ReasonNoUpstream, now)
	case Drain:
		ga.drain(ev, now)
	case Reincarnated:
		ga.cfg.Incarnation = max(ga.cfg.Incarnation, ev.Incarnation)
	case Asked:
		ga.asked(ev, now)
	case Tick:
		ga.tick(now)
	}
	ga.fill(now)
	ga.dropOld(now)
	return ga.acts
}

func (ga *Gate) do(ac Action) { ga.acts = append(ga.acts, ac) }

// Usable says why the gate takes no new work, or ReasonNone when it does.
func (ga *Gate) Usable(now time.Time) Reason {
	switch {
	case ga.leaving() && !now.Before(earlier(ga.nodeEnds, ga.upstreamEnds)):
		return ReasonDraining
	case !ga.known || now.After(ga.lapse) || ga.upstream.State == StateGone:
		return ReasonNoUpstream
	case !ga.occupancy.settled:
		return ReasonSettling
	}
	return ReasonNone
}

// Running counts the attempts that the upstream works on for this gate.
func (ga *Gate) Running() int { return len(ga.running) }

// Held counts the calls that the upstream may work on beside those running.
func (ga *Gate) Held() int { return ga.occupancy.held() }

// Queued counts the attempts that wait.
func (ga *Gate) Queued() int { return ga.queue.len() }

// Remembered counts the attempts in the ledger.
func (ga *Gate) Remembered() int { return len(ga.ledger.entries) }

// KeptBytes is the size of the answers kept.
func (ga *Gate) KeptBytes() int { return ga.ledger.keptBytes }

// Service is the service of the upstream.
func (ga *Gate) Service() contract.ServiceName { return ga.upstream.Service }

// LoadPermille is running and queued attempts in thousandths of the slots.
func (ga *Gate) LoadPermille() uint32 {
	limit := ga.limit()
	if limit <= 0 {
		return 1000
	}
	return uint32(1000 * (len(ga.running) + ga.occupancy.held() + ga.queue.len()) / limit)
}
