package upstream

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/rs/zerolog"

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
	// Violated is called when the gate has found a fault of its own; it may be nil.
	Violated func(vi host.InvariantViolated)
	// Waited is told how long each attempt waited for a slot; it may be nil.
	Waited func(took time.Duration)
	Client *Client
	Log    zerolog.Logger
}

// Gate runs host.Gate for many goroutines and executes what it decides.
type Gate struct {
	cfg GateConfig

	mu      sync.Mutex
	core    *host.Gate
	admissions map[host.AttemptID]*admission
	keptResponses map[host.AttemptID]*wire.Response
	queries map[host.QueryID]chan host.AnswerQuery
	lastQueryID   host.QueryID
	lastAnnouncement    host.Announcement
	announcementExpiresAt   time.Time
}

// admission is an attempt between its arrival and its end.
type admission struct {
	decision chan host.Action
	cancel  context.CancelFunc
}

// NewGate builds a gate that knows no upstream yet.
func NewGate(cfg GateConfig) *Gate {
	return &Gate{
		cfg:     cfg,
		core:    host.NewGate(cfg.Core),
		admissions: map[host.AttemptID]*admission{},
		keptResponses: map[host.AttemptID]*wire.Response{},
		queries: map[host.QueryID]chan host.AnswerQuery{},
		lastAnnouncement:    host.Announcement{State: host.StateGone},
	}
}

// Serve passes one attempt to the upstream; body follows the request when it
// is not in it, and is closed before the attempt ends if it was read from. The
// end of ctx cancels the attempt. Serve returns when the response's head is there.
func (ga *Gate) Serve(ctx context.Context, rq *wire.Request, body io.ReadCloser) Reply {
	now := time.Now()
	at := host.Attempt{
		ID:          host.AttemptID(rq.GetAttempt()),
		Incarnation: host.Incarnation(rq.GetIncarnation()),
		Service:     contract.ServiceName(rq.GetService()),
		Class:       contract.Class(rq.GetClass()),
		Rank:        int(rq.GetRank()),
		Kind:        host.Kind(rq.GetKind()),
		Nested:      rq.GetNested(),
		NoQueue:     rq.GetBrief(),
		Deadline:    now.Add(time.Duration(rq.GetRemainingUs()) * time.Microsecond),
	}
	if body != nil {
		at.BodyBytes = rq.GetLength()
	}
	if rq.GetHasObjective() {
		at.CallerRetry = rq.GetReturning()
		at.Objective = now.Add(time.Duration(rq.GetObjectiveUs()) * time.Microsecond)
	}
	ctx, cancel := context.WithDeadline(ctx, at.Deadline)
	ad := &admission{
		decision: make(chan host.Action, 1),
		cancel:  cancel,
	}
	ac := ga.admit(at, ad, now)
	if ac == nil {
		ac = ga.awaitDecision(ctx, at.ID, ad)
	}
	if _, dispatched := ac.(host.Dispatch); dispatched && ga.cfg.Waited != nil {
		ga.cfg.Waited(time.Since(now))
	}
	switch ac := ac.(type) {
	case host.Dispatch:
		return ga.dispatch(ctx, ad, ac, rq, body)
	case host.Refuse:
		cancel()
		ga.logRefused(rq, ac)
		return ga.refuse(at.ID, ad, ac)
	case host.RefuseArrival:
		cancel()
		return ga.withLoad(Refuse(ac.Reason, ac.NotRun))
	}
	cancel()
	return ga.withLoad(Refuse(host.ReasonCancelled, false))
}

// logRefused writes why an attempt got no slot, and what the gate held then.
func (ga *Gate) logRefused(rq *wire.Request, re host.Refuse) {
	ev := ga.cfg.Log.Warn()
	if !ev.Enabled() || re.Reason == host.ReasonBusy {
		return // a busy gate is asked by the way; the answer's line has its attempts
	}
	me := ga.Measures()
	ev.Str("event", "gate_refused").
		Str("request", rq.GetRequestId()).
		Str("attempt", rq.GetAttempt()).
		Str("service", rq.GetService()).
		Str("reason", string(re.Reason)).
		Int("slots", int(me.Slots)).
		Int("running", me.Running).
		Int("queued", me.Queued).
		Uint32("rank", rq.GetRank()).
		Bool("nested", rq.GetNested()).
		Bool("returning", rq.GetReturning()).
		Int64("objective_left_ms", rq.GetObjectiveUs()/1000).
		Int64("deadline_left_ms", rq.GetRemainingUs()/1000).
		Msg("attempt was refused by the gate")
}

// slowAttemptThreshold is how long an upstream may take before the end of an attempt gets a
// line of its own; most calls are answered several times faster.
const slowAttemptThreshold = time.Second

// logSlowOrFailed writes how the upstream ended an attempt that took long or did not run
// to its end: the ingress may know no more than that it had no answer.
func (ga *Gate) logSlowOrFailed(rq *wire.Request, en Result, took time.Duration) {
	if en.Outcome == host.OutcomeRan && took < slowAttemptThreshold {
		return
	}
	ga.cfg.Log.Warn().
		Str("event", "gate_ended").
		Str("request", rq.GetRequestId()).
		Str("attempt", rq.GetAttempt()).
		Str("service", rq.GetService()).
		Str("outcome", string(en.Outcome)).
		Int32("status", en.Response.GetStatus()).
		Str("reason", string(en.Reason)).
		Int64("took_ms", took.Milliseconds()).
		Msg("upstream took long over an attempt, or did not end it")
}

// admit feeds the arrival; it returns what the gate decides at once, if anything.
func (ga *Gate) admit(at host.Attempt, ad *admission, now time.Time) host.Action {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	var decision host.Action
	for _, ac := range ga.core.Step(host.Arrived{Attempt: at}, now) {
		switch ac := ac.(type) {
		case host.RefuseArrival:
			decision = ac
		case host.Dispatch:
			if ac.ID == at.ID {
				decision = ac
				continue
			}
			ga.execute(ac)
		case host.Refuse:
			if ac.ID == at.ID {
				decision = ac
				continue
			}
			ga.execute(ac)
		default:
			ga.execute(ac)
		}
	}
	if _, duplicate := decision.(host.RefuseArrival); !duplicate {
		ga.admissions[at.ID] = ad
	}
	return decision
}

// awaitDecision blocks until the gate has decided; a cancelled attempt is decided by the gate too.
func (ga *Gate) awaitDecision(ctx context.Context, id host.AttemptID, ad *admission) host.Action {
	select {
	case ac := <-ad.decision:
		return ac
	case <-ctx.Done():
	}
	ga.step(host.Tick{})
	ga.step(host.Cancelled{ID: id})
	return <-ad.decision
}

func (ga *Gate) refuse(id host.AttemptID, ad *admission, ac host.Refuse) Reply {
	ga.removeAdmission(id, ad)
	re := Refuse(ac.Reason, true)
	if !ac.RetryAfter.IsZero() {
		re.Refusal.RetryAfterUs = max(1, time.Until(ac.RetryAfter).Microseconds())
	}
	return ga.withLoad(re)
}

func (ga *Gate) dispatch(ctx context.Context, ad *admission, di host.Dispatch, rq *wire.Request, body io.ReadCloser) Reply {
	dispatchedAt := time.Now()
	watch := Hooks{
		OnStart: func() { ga.step(host.Started{ID: di.ID}) },
		OnEnd: func(en Result) {
			ga.logSlowOrFailed(rq, en, time.Since(dispatchedAt))
			ga.recordEnd(di.ID, rq.GetIdempotent(), en)
			ga.removeAdmission(di.ID, ad)
			ad.cancel()
			if en.Outcome == host.OutcomeNotRun && indicatesUpstreamLost(en.Reason) {
				ga.markUpstreamLost()
			}
		},
	}
	body = ga.notifyBodyReceived(di.ID, body)
	body, err := bufferShortBody(ctx, rq, body)
	if err != nil {
		re := bodyFailureReason(ctx)
		watch.OnEnd(Result{Outcome: host.OutcomeNotRun, Reason: re})
		return ga.withLoad(Refuse(re, true))
	}
	to := Destination{
		Address:  di.Address,
		Instance: di.Instance,
	}
	return ga.withLoad(ga.cfg.Client.Do(ctx, to, rq, body, watch))
}

// indicatesUpstreamLost tells the reasons that say that the upstream is not there any more.
func indicatesUpstreamLost(re host.Reason) bool {
	return re == host.ReasonUpstreamConnect || re == ReasonUpstreamOtherInstance
}

// markUpstreamLost takes the upstream out until it announces itself again.
func (ga *Gate) markUpstreamLost() {
	ga.mu.Lock()
	ga.stepLocked(host.UpstreamLost{})
	an := ga.lastAnnouncement
	ga.mu.Unlock()
	an.State = host.StateGone
	ga.reportChange(an)
}

// recordEnd reports the end of an attempt, and holds its answer for later queries.
func (ga *Gate) recordEnd(id host.AttemptID, idempotent bool, en Result) {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	ev := host.Ended{
		ID:          id,
		Outcome:     en.Outcome,
		Reason:      en.Reason,
		MayStillRun: en.MayStillRun,
	}
	if en.Response != nil && !idempotent {
		ga.keptResponses[id] = &wire.Response{
			Status:   en.Response.GetStatus(),
			Headers:  en.Response.GetHeaders(),
			Length:   en.Response.GetLength(),
			Body:     en.Response.GetBody(),
			Complete: true,
		}
		ev.KeptBytes = keptResponseBytes(en.Response)
	}
	ga.stepLocked(ev)
}

// keptResponseOverheadBytes stands for what a kept answer takes beside its body, in bytes.
const keptResponseOverheadBytes = 512

func keptResponseBytes(rs *wire.Response) int { return len(rs.GetBody()) + keptResponseOverheadBytes }

// removeAdmission ends an admission; another one with the same id stays.
func (ga *Gate) removeAdmission(id host.AttemptID, ad *admission) {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	if ga.admissions[id] == ad {
		delete(ga.admissions, id)
	}
}

// withLoad puts the gate's withLoad on a reply.
func (ga *Gate) withLoad(re Reply) Reply {
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
	ga.stepLocked(ev)
}

func (ga *Gate) stepLocked(ev host.Event) {
	for _, ac := range ga.core.Step(ev, time.Now()) {
		ga.execute(ac)
	}
}

// execute hands a decision to those who wait for it; ga.mu is held.
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
	case host.InvariantViolated:
		if ga.cfg.Violated != nil {
			ga.cfg.Violated(ac)
		}
	}
}

func (ga *Gate) deliver(id host.AttemptID, ac host.Action) {
	if ad := ga.admissions[id]; ad != nil {
		ad.decision <- ac
	}
}

// Announce takes an upstream's announcement.
func (ga *Gate) Announce(an host.Announcement) {
	ga.mu.Lock()
	if !ga.core.AcceptAnnouncement(an, time.Now()) {
		ga.mu.Unlock()
		return
	}
	ga.cfg.Client.SetLimit(an.Connections)
	ga.cfg.Client.SetDraining(an.State != host.StateReady)
	ga.announcementExpiresAt = time.Now().Add(ga.cfg.LapseAfter)
	ga.stepLocked(host.Announced{
		Announcement: an,
		ExpiresAt:    ga.announcementExpiresAt,
	})
	settling := ga.core.UnavailableReason(time.Now()) == host.ReasonSettling
	ga.mu.Unlock()
	// Others hear of the upstream when the gate lets calls in.
	if !settling {
		ga.reportChange(an)
	}
}

// Announced tells whether the upstream has announced itself, or its departure.
func (ga *Gate) Announced() bool {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	return !ga.announcementExpiresAt.IsZero()
}

// Depart takes in that an instance of the upstream has left.
func (ga *Gate) Depart(id host.InstanceID) {
	ga.mu.Lock()
	an := ga.lastAnnouncement
	ga.mu.Unlock()
	an.Instance = id
	an.StartedAt = time.Time{}
	an.State = host.StateGone
	ga.Announce(an)
}

// Tick lets time pass for the queue, the connections and the announcement.
func (ga *Gate) Tick() {
	ga.step(host.Tick{})
	ga.cfg.Client.CloseExpired()
	ga.mu.Lock()
	expired := time.Now().After(ga.announcementExpiresAt)
	an := ga.lastAnnouncement
	ga.mu.Unlock()
	if expired && an.State != host.StateGone {
		an.State = host.StateGone
		ga.reportChange(an)
	}
}

// reportChange reports an announcement that differs from the last in what others must know.
func (ga *Gate) reportChange(an host.Announcement) {
	an.InFlight = 0
	an.Sequence = 0
	ga.mu.Lock()
	same := an == ga.lastAnnouncement
	ga.lastAnnouncement = an
	ga.mu.Unlock()
	if !same {
		ga.cfg.Log.Info().
			Str("event", "upstream_changed").
			Str("service", string(an.Service)).
			Str("instance", string(an.Instance)).
			Str("state", an.State.String()).
			Int("slots", int(an.Slots)).
			Msg("upstream of this host has changed")
		ga.cfg.Changed(an)
	}
}

// Drain lets the last attempts in until refuseFrom, when they find a free slot.
func (ga *Gate) Drain(refuseFrom time.Time) { ga.step(host.Drain{RefuseFrom: refuseFrom}) }

// Reincarnate refuses attempts at an earlier incarnation from now on.
func (ga *Gate) Reincarnate(in host.Incarnation) {
	ga.step(host.IncarnationRaised{Incarnation: in})
}

// Running counts the attempts that the upstream works on.
func (ga *Gate) Running() int {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	return ga.core.Running()
}
