package host

import (
	"math"
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
	// LongestCall bounds the timeouts of calls; it is 10 minutes when not set.
	LongestCall time.Duration
	Ledger      LedgerConfig
}

// defaultLongestCall is the longest timeout that a contract may have.
const defaultLongestCall = 10 * time.Minute

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
	// demand is an average of the lookups that run or wait at once.
	demand    float64
	occupancy occupancy
	lookups   estimate
	uploads   estimate
	acts      []Action
}

// NewGate builds a gate that knows no upstream yet.
func NewGate(cfg Config) *Gate {
	if cfg.LongestCall <= 0 {
		cfg.LongestCall = defaultLongestCall
	}
	le := newLedger(cfg.Ledger)
	return &Gate{
		cfg:     cfg,
		ledger:  le,
		running: map[AttemptID]*entry{},
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
	switch ev := ev.(type) {
	case Arrived:
		ga.arrive(ev.Attempt, now)
	case Started:
		ga.begun(ev.ID)
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
func (ga *Gate) Held() int { return ga.occupancy.held }

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
	return uint32(1000 * (len(ga.running) + ga.occupancy.held + ga.queue.len()) / limit)
}

// limit is how many calls the upstream may work on at once.
func (ga *Gate) limit() int {
	limit := int(ga.upstream.Slots)
	if ga.upstream.Connections > 0 {
		limit = min(limit, ga.upstream.Connections)
	}
	return min(limit, ga.ledger.cfg.MaxEntries/2)
}

func (ga *Gate) free() int { return ga.limit() - len(ga.running) - ga.occupancy.held }

// bulkAllowed keeps as many slots for lookups as they have lately needed at once,
// and some more; bulk has one at least.
func (ga *Gate) bulkAllowed() bool {
	reserve := int(math.Ceil(ga.demand + math.Sqrt(ga.demand)))
	return ga.bulk < max(1, ga.limit()-max(1, reserve))
}

// demandWeight is the share of the latest sample, as one in this many.
const demandWeight = 64

// noteDemand learns how many lookups there are at once.
func (ga *Gate) noteDemand() {
	lookups := len(ga.running) - ga.bulk + len(ga.queue.lookups)
	ga.demand += (float64(lookups) - ga.demand) / demandWeight
}

func (ga *Gate) arrive(at Attempt, now time.Time) {
	or, ok := at.ID.Origin()
	if !ok {
		ga.do(RefuseDuplicate{ID: at.ID, Reason: ReasonBadAttempt, NotRun: true})
		return
	}
	if at.Incarnation != ga.cfg.Incarnation {
		ga.do(RefuseDuplicate{ID: at.ID, Reason: ReasonWrongIncarnation, NotRun: true})
		return
	}
	if en := ga.ledger.entries[at.ID]; en != nil {
		ga.duplicate(en)
		return
	}
	if !or.Idempotent && ga.ledger.forgotten(or) {
		ga.do(RefuseDuplicate{ID: at.ID, Reason: ReasonForgotten})
		return
	}
	en := ga.ledger.open(at, or)
	if re := ga.check(at, now); re != ReasonNone {
		ga.refuse(en, re, now)
		return
	}
	ga.queue.push(en)
	if at.Class != contract.ClassBulk {
		ga.noteDemand()
	}
}

// duplicate answers an arrival of an attempt that the ledger holds.
func (ga *Gate) duplicate(en *entry) {
	re := ReasonDuplicateAttempt
	if en.state == stateRefused {
		re = en.reason
	}
	ga.do(RefuseDuplicate{
		ID:     en.attempt.ID,
		Reason: re,
		NotRun: en.state == stateRefused,
	})
}

// check says why an attempt can't be let in.
func (ga *Gate) check(at Attempt, now time.Time) Reason {
	if re := ga.Usable(now); re != ReasonNone {
		return re
	}
	if at.Service != ga.upstream.Service {
		return ReasonWrongService
	}
	if !now.Before(at.Deadline) {
		return ReasonDeadline
	}
	if ga.free() > ga.queue.len() {
		return ReasonNone
	}
	if ga.leaving() {
		return ReasonDraining
	}
	if ga.queue.count(at.Class) >= min(ga.cfg.QueuePerSlot*ga.limit(), ga.ledger.cfg.MaxEntries/4-1) {
		return ReasonQueueFull
	}
	if now.Add(ga.wait(at.Class) + ga.service(at.Class).low).After(at.Deadline) {
		return ReasonDeadline
	}
	return ReasonNone
}

// wait estimates how long a new attempt of a class waits for a slot.
func (ga *Gate) wait(cl contract.Class) time.Duration {
	work := time.Duration(len(ga.queue.lookups)+1) * ga.lookups.mean
	if cl == contract.ClassBulk {
		work += time.Duration(len(ga.queue.bulk)+1) * ga.uploads.mean
	}
	return work / time.Duration(max(1, ga.limit()))
}

func (ga *Gate) service(cl contract.Class) *estimate {
	if cl == contract.ClassBulk {
		return &ga.uploads
	}
	return &ga.lookups
}

// fill moves attempts from the queue into free slots.
func (ga *Gate) fill(now time.Time) {
	for ga.free() > 0 && ga.queue.len() > 0 && ga.Usable(now) == ReasonNone {
		en := ga.queue.pop(ga.bulkAllowed())
		if en == nil {
			return
		}
		if !ga.inTime(en.attempt, now) {
			ga.refuse(en, ReasonDeadline, now)
			continue
		}
		if iv := ga.broken(en, now); iv != "" {
			ga.do(Violated{ID: en.attempt.ID, Invariant: iv})
			ga.refuse(en, ReasonInvariant, now)
			continue
		}
		ga.dispatch(en, now)
	}
}

// broken checks what must hold for a dispatch, apart from the decisions that led
// to it.
func (ga *Gate) broken(en *entry, now time.Time) Invariant {
	ends := earlier(ga.nodeEnds, ga.upstreamEnds)
	works := len(ga.running) + ga.occupancy.held + 1
	switch {
	case en.state != stateQueued || ga.running[en.attempt.ID] != nil || !en.dispatched.IsZero():
		return InvariantOnce
	case works > int(ga.upstream.Slots) || ga.upstream.Connections > 0 && works > ga.upstream.Connections:
		return InvariantSlots
	case !ends.IsZero() && !now.Before(ends):
		return InvariantDrain
	}
	return ""
}

// inTime tells whether an attempt can finish before its deadline. The estimate
// counts only while others wait, so that a wrong one is corrected.
func (ga *Gate) inTime(at Attempt, now time.Time) bool {
	if ga.queue.len() == 0 {
		return now.Before(at.Deadline)
	}
	return now.Add(ga.service(at.Class).low).Before(at.Deadline)
}

func (ga *Gate) dispatch(en *entry, now time.Time) {
	en.state = stateRunning
	en.dispatched = now
	ga.running[en.attempt.ID] = en
	if en.attempt.Class == contract.ClassBulk {
		ga.bulk++
	}
	ga.do(Dispatch{
		ID:      en.attempt.ID,
		Address: ga.upstream.Address,
	})
}

// begun notes that the upstream has an attempt.
func (ga *Gate) begun(id AttemptID) {
	if en := ga.running[id]; en != nil && !en.started {
		en.started = true
		ga.started++
	}
}

// ended takes the end of a dispatched attempt; others are ignored.
func (ga *Gate) ended(ev Ended, now time.Time) {
	en := ga.running[ev.ID]
	if en == nil {
		return
	}
	delete(ga.running, ev.ID)
	if en.attempt.Class == contract.ClassBulk {
		ga.bulk--
	}
	if en.started {
		ga.started--
		ga.occupancy.fell(ga.started)
	}
	if ev.Working {
		ga.occupancy.leave(en.attempt.Deadline)
	}
	switch ev.Outcome {
	case OutcomeRan:
		ga.service(en.attempt.Class).add(now.Sub(en.dispatched))
		ga.close(en, stateFinished, ev.Reason, ev.KeptBytes, now)
	case OutcomeNotRun:
		ga.close(en, stateRefused, ev.Reason, 0, now)
	case OutcomeUnknown:
		ga.close(en, stateBroken, ev.Reason, 0, now)
	}
}

// close records an attempt's end and answers the queries that wait for it.
func (ga *Gate) close(en *entry, st entryState, re Reason, kept int, now time.Time) {
	gone := ga.ledger.end(en, st, re, kept, now)
	for _, wa := range en.waiters {
		ga.tell(wa.query, en)
	}
	en.waiters = nil
	for _, id := range gone {
		ga.do(DropAnswer{ID: id})
	}
}

func (ga *Gate) refuse(en *entry, re Reason, now time.Time) {
	ga.do(Refuse{
		ID:       en.attempt.ID,
		Reason:   re,
		ComeBack: ga.comeBack(re, en.attempt.Class, now),
	})
	ga.close(en, stateRefused, re, 0, now)
}

// comeBack is when another attempt at this gate makes sense.
func (ga *Gate) comeBack(re Reason, cl contract.Class, now time.Time) time.Time {
	switch re {
	case ReasonQueueFull, ReasonDeadline:
		if wait := ga.wait(cl); wait > 0 {
			return now.Add(wait)
		}
		return now.Add(ga.cfg.ComeBack)
	case ReasonNoUpstream, ReasonDraining, ReasonSettling:
		return now.Add(ga.cfg.ComeBack)
	}
	return time.Time{}
}

// flush refuses all that wait.
func (ga *Gate) flush(re Reason, now time.Time) {
	for _, en := range ga.queue.removeIf(func(*entry) bool { return true }) {
		ga.refuse(en, re, now)
	}
}

func (ga *Gate) drain(ev Drain, now time.Time) {
	from := ev.RefuseFrom
	if from.IsZero() {
		from = now
	}
	ga.nodeEnds = earlier(ga.nodeEnds, from)
}

// leaving tells whether the node or its upstream drains.
func (ga *Gate) leaving() bool { return !ga.nodeEnds.IsZero() || !ga.upstreamEnds.IsZero() }

// earlier returns the earlier of two times; zero means never.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

func (ga *Gate) announced(ev Announced, now time.Time) {
	ga.upstream = ev.Announcement
	ga.lapse = ev.Lapse
	ga.known = true
	if now.After(ga.startAt.Add(ga.cfg.AnnounceLag)) || ga.cfg.AnnounceLag <= 0 {
		ga.occupancy.announced(ev.Announcement.InFlight, now)
	}
	switch ev.Announcement.State {
	case StateReady:
		ga.upstreamEnds = time.Time{}
	case StateDraining:
		ga.upstreamEnds = earlier(ga.upstreamEnds, now.Add(ga.cfg.DrainGrace))
	case StateGone:
		ga.flush(ReasonNoUpstream, now)
	}
}

func (ga *Gate) tick(now time.Time) {
	ga.occupancy.expire(now)
	if re := ga.Usable(now); re != ReasonNone {
		ga.flush(re, now)
	}
	late := ga.queue.removeIf(func(en *entry) bool { return !now.Before(en.attempt.Deadline) })
	for _, en := range late {
		ga.refuse(en, ReasonDeadline, now)
	}
	for _, en := range ga.ordered() {
		ga.expireWaiters(en, now)
		if !now.Before(en.attempt.Deadline) {
			ga.interrupt(en)
		}
	}
}
