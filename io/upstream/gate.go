package upstream

import (
	"context"
	"io"
	"sync"
	"time"

	"lynxfold/core/contract"
	"lynxfold/core/host"
	"lynxfold/core/wire"
)

// GateConfig sets up a gate.
type GateConfig struct {
	Core host.Config
	// LapseAfter is how long an announcement counts.
	LapseAfter time.Duration
	// Changed is called when the upstream's announcement changes or lapses.
	Changed func(an host.Announcement)
	Client  *Client
}

// Gate runs host.Gate for many goroutines and executes what it decides.
type Gate struct {
	cfg     GateConfig
	mu      sync.Mutex
	core    *host.Gate
	waiting map[host.AttemptID]*admission
	last    host.Announcement
	lapse   time.Time
}

// admission is an attempt between its arrival and its end.
type admission struct {
	verdict chan host.Action
	cancel  context.CancelFunc
}

// NewGate builds a gate that knows no upstream yet.
func NewGate(cfg GateConfig) *Gate {
	return &Gate{
		cfg:     cfg,
		core:    host.NewGate(cfg.Core),
		waiting: map[host.AttemptID]*admission{},
		last:    host.Announcement{State: host.StateGone},
	}
}

// Serve passes one attempt to the upstream; body follows the request when it
// is not in it. It returns when the response's head is there.
func (ga *Gate) Serve(ctx context.Context, rq *wire.Request, body io.Reader) Reply {
	now := time.Now()
	at := host.Attempt{
		ID:          host.AttemptID(rq.GetAttempt()),
		Incarnation: host.Incarnation(rq.GetIncarnation()),
		Service:     contract.ServiceName(rq.GetService()),
		Class:       contract.Class(rq.GetClass()),
		Deadline:    now.Add(time.Duration(rq.GetRemainingUs()) * time.Microsecond),
	}
	ctx, cancel := context.WithDeadline(ctx, at.Deadline)
	ad := &admission{
		verdict: make(chan host.Action, 1),
		cancel:  cancel,
	}
	if !ga.admit(at, ad, now) {
		cancel()
		return ga.load(Refuse(host.ReasonDuplicateAttempt, false))
	}
	switch ac := ga.await(ctx, at.ID, ad).(type) {
	case host.Dispatch:
		return ga.dispatch(ctx, ac, rq, body)
	case host.Refuse:
		ga.forget(at.ID)
		cancel()
		re := Refuse(ac.Reason, true)
		re.Refusal.RetryAfterUs = time.Until(ac.ComeBack).Microseconds()
		return ga.load(re)
	case host.RefuseDuplicate:
		ga.forget(at.ID)
		cancel()
		return ga.load(Refuse(ac.Reason, ac.NotRun))
	}
	cancel()
	return ga.load(Refuse(host.ReasonCancelled, false))
}

// admit feeds the arrival; it is false when the attempt is here already.
func (ga *Gate) admit(at host.Attempt, ad *admission, now time.Time) bool {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	if _, ok := ga.waiting[at.ID]; ok {
		return false
	}
	ga.waiting[at.ID] = ad
	ga.execute(ga.core.Step(host.Arrived{Attempt: at}, now))
	return true
}

// await blocks until the gate has decided; a cancelled attempt is decided by the gate too.
func (ga *Gate) await(ctx context.Context, id host.AttemptID, ad *admission) host.Action {
	select {
	case ac := <-ad.verdict:
		return ac
	case <-ctx.Done():
	}
	ga.step(host.Tick{})
	ga.step(host.Cancelled{ID: id})
	return <-ad.verdict
}

func (ga *Gate) dispatch(ctx context.Context, di host.Dispatch, rq *wire.Request, body io.Reader) Reply {
	ended := func(en host.Ended) {
		ga.forget(di.ID)
		en.ID = di.ID
		ga.step(en)
	}
	re := ga.cfg.Client.Do(ctx, di.Address, rq, body, ended)
	return ga.load(re)
}

func (ga *Gate) forget(id host.AttemptID) {
	ga.mu.Lock()
	ad := ga.waiting[id]
	delete(ga.waiting, id)
	ga.mu.Unlock()
	if ad != nil {
		ad.cancel()
	}
}

// load puts the gate's load on a reply.
func (ga *Gate) load(re Reply) Reply {
	ga.mu.Lock()
	lo := ga.core.LoadPermille()
	ga.mu.Unlock()
	if re.Response != nil {
		re.Response.LoadPermille = lo
	}
	if re.Refusal != nil {
		re.Refusal.LoadPermille = lo
	}
	return re
}

func (ga *Gate) step(ev host.Event) {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	ga.execute(ga.core.Step(ev, time.Now()))
}

// execute hands decisions to those who wait for them; ga.mu is held.
func (ga *Gate) execute(acts []host.Action) {
	for _, ac := range acts {
		switch ac := ac.(type) {
		case host.Dispatch:
			ga.tell(ac.ID, ac)
		case host.Refuse:
			ga.tell(ac.ID, ac)
		case host.RefuseDuplicate:
			ga.tell(ac.ID, ac)
		case host.Interrupt:
			if ad := ga.waiting[ac.ID]; ad != nil {
				ad.cancel()
			}
		}
	}
}

func (ga *Gate) tell(id host.AttemptID, ac host.Action) {
	if ad := ga.waiting[id]; ad != nil {
		ad.verdict <- ac
	}
}

// Announce takes an upstream's announcement.
func (ga *Gate) Announce(an host.Announcement) {
	now := time.Now()
	ga.mu.Lock()
	ga.lapse = now.Add(ga.cfg.LapseAfter)
	ga.execute(ga.core.Step(host.Announced{Announcement: an, Lapse: ga.lapse}, now))
	ga.mu.Unlock()
	ga.changed(an)
}

// Tick lets time pass for the queue and the announcement.
func (ga *Gate) Tick() {
	ga.step(host.Tick{})
	ga.mu.Lock()
	lapsed := time.Now().After(ga.lapse)
	an := ga.last
	ga.mu.Unlock()
	if lapsed && an.State != host.StateGone {
		an.State = host.StateGone
		ga.changed(an)
	}
}

// changed reports an announcement that differs from the last in what others must know.
func (ga *Gate) changed(an host.Announcement) {
	an.InFlight = 0
	ga.mu.Lock()
	same := an == ga.last
	ga.last = an
	ga.mu.Unlock()
	if !same {
		ga.cfg.Changed(an)
	}
}

// Drain refuses new work from now on.
func (ga *Gate) Drain() { ga.step(host.Drain{}) }

// Running counts the attempts that the upstream works on.
func (ga *Gate) Running() int {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	return ga.core.Running()
}
