package host

import (
	"time"

	"lynxfold/core/contract"
)

// Config sets up a gate.
type Config struct {
	Incarnation Incarnation
	// QueuePerSlot bounds the queue in attempts for each slot.
	QueuePerSlot int
	// ComeBack is added to now for the refused.
	ComeBack time.Duration
}

// Gate is the only way to the upstream on its host.
type Gate struct {
	cfg      Config
	upstream Announcement
	lapse    time.Time
	known    bool
	draining bool
	running  map[AttemptID]Attempt
	queue    []Attempt
}

// NewGate builds a gate that knows no upstream yet.
func NewGate(cfg Config) *Gate {
	return &Gate{
		cfg:     cfg,
		running: map[AttemptID]Attempt{},
	}
}

// Step feeds one event and returns what to do.
func (ga *Gate) Step(ev Event, now time.Time) []Action {
	switch ev := ev.(type) {
	case Arrived:
		return ga.arrive(ev.Attempt, now)
	case Ended:
		delete(ga.running, ev.ID)
		return ga.fill(now)
	case Cancelled:
		return ga.cancel(ev.ID, now)
	case Announced:
		ga.upstream = ev.Announcement
		ga.lapse = ev.Lapse
		ga.known = true
		return ga.fill(now)
	case Lost:
		ga.known = false
		return ga.flush(ReasonNoUpstream, now)
	case Drain:
		ga.draining = true
		return ga.flush(ReasonDraining, now)
	case Tick:
		return ga.expire(now)
	}
	return nil
}

// Usable says why the gate takes no new work, or ReasonNone when it does.
func (ga *Gate) Usable(now time.Time) Reason {
	switch {
	case ga.draining:
		return ReasonDraining
	case !ga.known || now.After(ga.lapse) || ga.upstream.State == StateGone:
		return ReasonNoUpstream
	case ga.upstream.State == StateDraining:
		return ReasonDraining
	}
	return ReasonNone
}

// Running counts the attempts that the upstream works on.
func (ga *Gate) Running() int { return len(ga.running) }

// Queued counts the attempts that wait.
func (ga *Gate) Queued() int { return len(ga.queue) }

// Service is the service of the upstream.
func (ga *Gate) Service() contract.ServiceName { return ga.upstream.Service }

// LoadPermille is running and queued attempts in thousandths of the slots.
func (ga *Gate) LoadPermille() uint32 {
	if ga.upstream.Slots <= 0 {
		return 1000
	}
	return uint32(1000 * (len(ga.running) + len(ga.queue)) / int(ga.upstream.Slots))
}

func (ga *Gate) arrive(at Attempt, now time.Time) []Action {
	if re := ga.check(at, now); re != ReasonNone {
		return []Action{ga.refuse(at.ID, re, now)}
	}
	if len(ga.running) < int(ga.upstream.Slots) {
		return []Action{ga.dispatch(at)}
	}
	if len(ga.queue) >= ga.cfg.QueuePerSlot*int(ga.upstream.Slots) {
		return []Action{ga.refuse(at.ID, ReasonQueueFull, now)}
	}
	ga.queue = append(ga.queue, at)
	return nil
}

func (ga *Gate) check(at Attempt, now time.Time) Reason {
	if re := ga.Usable(now); re != ReasonNone {
		return re
	}
	if at.Incarnation != ga.cfg.Incarnation {
		return ReasonWrongIncarnation
	}
	if at.Service != ga.upstream.Service {
		return ReasonWrongService
	}
	if !now.Before(at.Deadline) {
		return ReasonDeadline
	}
	if _, ok := ga.running[at.ID]; ok {
		return ReasonDuplicateAttempt
	}
	return ReasonNone
}

func (ga *Gate) dispatch(at Attempt) Action {
	ga.running[at.ID] = at
	return Dispatch{
		ID:      at.ID,
		Address: ga.upstream.Address,
	}
}

func (ga *Gate) refuse(id AttemptID, re Reason, now time.Time) Action {
	return Refuse{
		ID:       id,
		Reason:   re,
		ComeBack: now.Add(ga.cfg.ComeBack),
	}
}

// fill moves attempts from the queue into free slots.
func (ga *Gate) fill(now time.Time) []Action {
	acts := ga.expire(now)
	for len(ga.queue) > 0 && len(ga.running) < int(ga.upstream.Slots) && ga.Usable(now) == ReasonNone {
		at := ga.queue[0]
		ga.queue = ga.queue[1:]
		acts = append(acts, ga.dispatch(at))
	}
	return acts
}

// expire refuses queued attempts whose deadline has passed.
func (ga *Gate) expire(now time.Time) []Action {
	var acts []Action
	kept := ga.queue[:0]
	for _, at := range ga.queue {
		if now.Before(at.Deadline) {
			kept = append(kept, at)
			continue
		}
		acts = append(acts, ga.refuse(at.ID, ReasonDeadline, now))
	}
	ga.queue = kept
	return acts
}

func (ga *Gate) flush(re Reason, now time.Time) []Action {
	var acts []Action
	for _, at := range ga.queue {
		acts = append(acts, ga.refuse(at.ID, re, now))
	}
	ga.queue = nil
	return acts
}

func (ga *Gate) cancel(id AttemptID, now time.Time) []Action {
	for i, at := range ga.queue {
		if at.ID == id {
			ga.queue = append(ga.queue[:i], ga.queue[i+1:]...)
			return []Action{ga.refuse(id, ReasonCancelled, now)}
		}
	}
	if _, ok := ga.running[id]; ok {
		return []Action{Interrupt{ID: id}}
	}
	return nil
}
