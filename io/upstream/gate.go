package upstream

import (
	"sync"
	"time"

	"github.com/rs/zerolog"

	"lynxfold/core/contract"
	"lynxfold/core/host"
	"lynxfold/core/wire"
)

// GateConfig configures a Gate.
type GateConfig struct {
	Core host.Config
	// AnnouncementTTL is how long an announcement is valid.
	AnnouncementTTL time.Duration
	// OnAnnouncementChange is called when the upstream's announcement changes or expires.
	OnAnnouncementChange func(an host.Announcement)
	// OnInvariantViolation is called when an invariant of the gate is violated; it may be nil.
	OnInvariantViolation func(vi host.InvariantViolated)
	// OnRateLimited is called for each attempt that the upstream's rate limit left no room
	// for; it may be nil.
	OnRateLimited func()
	// OnRefused is called for each attempt that the gate refuses; it may be nil.
	OnRefused func(rank int, re host.Reason)
	// OnUnreadableLimit is called for each response with a rate limit that can't be read;
	// it may be nil.
	OnUnreadableLimit func()
	// OnUpstreamCrashed is called when the upstream's process has ended unexpectedly; it
	// may be nil.
	OnUpstreamCrashed func()
	// OnUnanswered is called for each announcement that waits for the upstream's answer
	// whether it is leaving; it must not block, and may be nil.
	OnUnanswered func()
	// OnLeftAnnounced is called for each announcement of a process that has left; it may be
	// nil.
	OnLeftAnnounced func()
	// ObserveQueueTime is called with the time each dispatched attempt waited for a slot; it may be nil.
	ObserveQueueTime func(took time.Duration)
	Client           *Client
	// Quarantine decides about requests that crash upstreams; nil admits all.
	Quarantine *Quarantine
	// Releases decides which releases take part in roll-outs; nil admits all.
	Releases Releases
	Log      zerolog.Logger
}

// Gate makes host.Gate safe for concurrent use and executes its actions.
type Gate struct {
	cfg GateConfig

	mu                    sync.Mutex
	core                  *host.Gate
	admissions            map[host.AttemptID]*admission
	keptResponses         map[host.AttemptID]*wire.Response
	queries               map[host.QueryID]chan host.AnswerQuery
	lastQueryID           host.QueryID
	lastAnnouncement      host.Announcement
	announcementExpiresAt time.Time
	// wakeAt is when the next wake is due; zero while none is scheduled.
	wakeAt time.Time
	// leavingUnreported is set between the response that states that the upstream is
	// leaving and the report of the change.
	leavingUnreported   bool
	lastUnreadableLimit string
	// held is the latest announcement that is held back; nil if there is none.
	held *heldAnnouncement
	// unreportedCrash is nil unless a crash is to be passed on.
	unreportedCrash *host.UpstreamCrashed
	// processChecks are the checks under way whether a process listens, by address.
	processChecks map[string]*processCheck
}

// NewGate returns a gate without an upstream; Announce sets it.
func NewGate(cfg GateConfig) *Gate {
	return &Gate{
		cfg:              cfg,
		core:             host.NewGate(cfg.Core),
		admissions:       map[host.AttemptID]*admission{},
		keptResponses:    map[host.AttemptID]*wire.Response{},
		queries:          map[host.QueryID]chan host.AnswerQuery{},
		lastAnnouncement: host.Announcement{State: host.StateGone},
		processChecks:    map[string]*processCheck{},
	}
}

// NestedCalled reports that the upstream calls a service while it runs a request.
func (ga *Gate) NestedCalled(ev host.NestedCalled) { ga.step(ev) }

// RunningCustomer returns the customer that a running request is made for, and reports
// whether the request is running.
func (ga *Gate) RunningCustomer(id host.RequestID) (contract.CustomerName, bool) {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	return ga.core.RunningCustomer(id)
}

// Service returns the service of the upstream.
func (ga *Gate) Service() contract.ServiceName {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	return ga.core.Service()
}

func (ga *Gate) step(ev host.Event) {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	ga.stepLocked(ev)
}

func (ga *Gate) stepLocked(ev host.Event) {
	for _, ac := range ga.core.Step(ev, time.Now()) {
		ga.execute(ac)
	}
	ga.scheduleWake()
}

// scheduleWake schedules a step for when the rate limit allows the next queued attempt;
// ga.mu is held.
func (ga *Gate) scheduleWake() {
	now := time.Now()
	at := ga.core.WakeAt(now)
	if at.IsZero() || !ga.wakeAt.IsZero() && !at.Before(ga.wakeAt) {
		return
	}
	ga.wakeAt = at
	time.AfterFunc(at.Sub(now), ga.wake)
}

func (ga *Gate) wake() {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	ga.wakeAt = time.Time{}
	ga.stepLocked(host.Tick{})
}

// execute carries out an action of the core gate; ga.mu is held.
func (ga *Gate) execute(ac host.Action) {
	switch ac := ac.(type) {
	case host.Dispatch:
		ga.deliver(ac.ID, ac)
	case host.Refuse:
		ga.deliver(ac.ID, ac)
	case host.Interrupt:
		if ad := ga.admissions[ac.ID]; ad != nil {
			ad.cancel()
		}
	case host.AnswerQuery:
		if ch := ga.queries[ac.Query]; ch != nil {
			ch <- ac
		}
	case host.DropAnswer:
		delete(ga.keptResponses, ac.ID)
	case host.RateLimitChanged:
		ga.logRateLimit(ac)
	case host.UpstreamCrashed:
		ga.upstreamCrashed(ac)
	case host.UpstreamLeaving:
		ga.cfg.Client.SetDraining(true)
		ga.leavingUnreported = true
		ga.cfg.Log.Info().
			Str("event", "upstream_leaving").
			Str("instance", string(ga.core.Upstream().Instance)).
			Msg("upstream of this host has stated in a response that it is leaving")
	case host.InvariantViolated:
		if ga.cfg.OnInvariantViolation != nil {
			ga.cfg.OnInvariantViolation(ac)
		}
	}
}

func (ga *Gate) deliver(id host.AttemptID, ac host.Action) {
	if ad := ga.admissions[id]; ad != nil {
		ad.decision <- ac
	}
}

// Tick expires queued attempts, idle connections and the announcement.
func (ga *Gate) Tick() {
	ga.step(host.Tick{})
	ga.cfg.Quarantine.Expire()
	ga.cfg.Client.CloseExpired()
	ga.mu.Lock()
	expired := time.Now().After(ga.announcementExpiresAt)
	an := ga.lastAnnouncement
	ga.mu.Unlock()
	ga.retryHeld()
	if expired && an.State != host.StateGone {
		an.State = host.StateGone
		ga.reportChange(an)
	}
}

// Stopping tells the gate when its host stops: attempts that would run then are refused.
func (ga *Gate) Stopping(at time.Time) { ga.step(host.Stopping{At: at}) }

// Drain makes the gate admit attempts only to free slots, and none from refuseFrom on.
func (ga *Gate) Drain(refuseFrom time.Time) { ga.step(host.Drain{RefuseFrom: refuseFrom}) }

// RaiseIncarnation raises the gate's incarnation; attempts for an earlier one are refused.
func (ga *Gate) RaiseIncarnation(in host.Incarnation) {
	ga.step(host.IncarnationRaised{Incarnation: in})
}

// Running returns the number of attempts that run on the upstream.
func (ga *Gate) Running() int {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	return ga.core.Running()
}
