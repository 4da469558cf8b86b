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
	// OnUnreadableLimit is called for each response with a rate limit that can't be read;
	// it may be nil.
	OnUnreadableLimit func()
	// OnUpstreamCrashed is called when the upstream's process has ended unexpectedly; it
	// may be nil.
	OnUpstreamCrashed func()
	// ObserveQueueTime is called with the time each dispatched attempt waited for a slot; it may be nil.
	ObserveQueueTime func(took time.Duration)
	Client           *Client
	// Quarantine decides about requests that crash upstreams; nil admits all.
	Quarantine *Quarantine
	Log        zerolog.Logger
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
	// unreportedCrash is nil unless a crash is to be passed on.
	unreportedCrash *host.UpstreamCrashed
	// processChecks are the checks under way whether a process listens, by address.
	processChecks map[string]*processCheck
}

// QueuedBody is a request body that arrives behind others.
type QueuedBody interface {
	// Backlog returns how long the others take to arrive.
	Backlog() time.Duration
}

// admission is an attempt that has arrived and has not ended.
type admission struct {
	decision chan host.Action
	cancel   context.CancelFunc
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

// Serve runs one attempt on the upstream. The request body is read from body
// unless rq contains it; if body was read from, it is closed before the attempt
// ends. Cancelling ctx cancels the attempt. Serve returns when the response header
// has arrived.
func (ga *Gate) Serve(ctx context.Context, rq *wire.Request, body io.ReadCloser) Reply {
	now := time.Now()
	at := host.Attempt{
		ID:          host.AttemptID(rq.GetAttempt()),
		Request:     host.RequestID(rq.GetRequestId()),
		Incarnation: host.Incarnation(rq.GetIncarnation()),
		Service:     contract.ServiceName(rq.GetService()),
		Class:       contract.Class(rq.GetClass()),
		Rank:        int(rq.GetRank()),
		Kind:        host.Kind(rq.GetKind()),
		Nested:      rq.GetNested(),
		NoQueue:     rq.GetBrief(),
		Deadline:    now.Add(time.Duration(rq.GetRemainingUs()) * time.Microsecond),
		Fingerprint: fingerprintOf(rq),

		ServedLately: rq.GetServedLately(),
	}
	if body != nil {
		at.BodyBytes = rq.GetLength()
	}
	if qb, ok := body.(QueuedBody); ok {
		at.BodyWait = qb.Backlog()
	}
	if rq.GetHasObjective() {
		at.CallerRetry = rq.GetReturning()
		at.Objective = now.Add(time.Duration(rq.GetObjectiveUs()) * time.Microsecond)
	}
	at.Notice = PeerNoticeFromWire(rq.GetNotice(), now)
	ga.cfg.Quarantine.Learn(rq.GetCrashes())
	at.Quarantine = quarantineState(ga.cfg.Quarantine.Verdict(at.Fingerprint))
	ctx, cancel := context.WithDeadline(ctx, at.Deadline)
	ad := &admission{
		decision: make(chan host.Action, 1),
		cancel:   cancel,
	}
	ac := ga.admit(at, ad, now)
	if rq.GetNotice().GetLeaving() {
		ga.reportLeaving()
	}
	if ac == nil {
		ac = ga.awaitDecision(ctx, at.ID, ad)
	}
	if _, dispatched := ac.(host.Dispatch); dispatched && ga.cfg.ObserveQueueTime != nil {
		ga.cfg.ObserveQueueTime(time.Since(now))
	}
	switch ac := ac.(type) {
	case host.Dispatch:
		return ga.dispatch(ctx, ad, ac, at.Fingerprint, rq, body)
	case host.Refuse:
		cancel()
		ga.logRefused(rq, ac)
		return ga.refuse(at, ad, ac)
	case host.RefuseArrival:
		cancel()
		return ga.withGateState(RefusalReply(ac.Reason, ac.NotRun))
	}
	cancel()
	return ga.withGateState(RefusalReply(host.ReasonCancelled, false))
}

// logRefused logs the refusal of an attempt and the gate's occupancy.
func (ga *Gate) logRefused(rq *wire.Request, re host.Refuse) {
	ev := ga.cfg.Log.Warn()
	if !ev.Enabled() || re.Reason == host.ReasonBusy {
		return // expected when the ingress tries a busy gate; the log line of the call lists its attempts
	}
	st := ga.Stats()
	ev.Str("event", "gate_refused").
		Str("request", rq.GetRequestId()).
		Str("attempt", rq.GetAttempt()).
		Str("service", rq.GetService()).
		Str("reason", string(re.Reason)).
		Int("slots", int(st.Slots)).
		Int("running", st.Running).
		Int("queued", st.Queued).
		Bool("rate_limited", re.RateLimited).
		Uint32("rank", rq.GetRank()).
		Bool("nested", rq.GetNested()).
		Bool("returning", rq.GetReturning()).
		Int64("objective_left_ms", rq.GetObjectiveUs()/1000).
		Int64("deadline_left_ms", rq.GetRemainingUs()/1000).
		Msg("attempt was refused by the gate")
}

// slowAttemptThreshold is the duration from which an attempt is logged; most
// calls complete several times faster.
const slowAttemptThreshold = time.Second

// logSlowOrFailed logs an attempt that was slow or did not complete. The ingress
// may only know that it got no response.
func (ga *Gate) logSlowOrFailed(rq *wire.Request, rs Result, took time.Duration) {
	if rs.Outcome == host.OutcomeRan && took < slowAttemptThreshold {
		return
	}
	ga.cfg.Log.Warn().
		Str("event", "gate_ended").
		Str("request", rq.GetRequestId()).
		Str("attempt", rq.GetAttempt()).
		Str("service", rq.GetService()).
		Str("outcome", string(rs.Outcome)).
		Int32("status", rs.Response.GetStatus()).
		Str("reason", string(rs.Reason)).
		Str("fingerprint", formatFingerprint(fingerprintOf(rq))).
		Int64("took_ms", took.Milliseconds()).
		Msg("upstream attempt was slow or did not complete")
}

// NestedCalled reports that the upstream calls a service while it runs a request.
func (ga *Gate) NestedCalled(ev host.NestedCalled) { ga.step(ev) }

// Service returns the service of the upstream.
func (ga *Gate) Service() contract.ServiceName {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	return ga.core.Service()
}

// admit submits an arrival to the gate; it returns the gate's decision, or nil when
// the attempt is queued.
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
	ga.scheduleWake()
	return decision
}

// awaitDecision blocks until the gate has decided on a queued attempt. When ctx ends,
// it cancels the attempt and returns the decision on that.
func (ga *Gate) awaitDecision(ctx context.Context, id host.AttemptID, ad *admission) host.Action {
	select {
	case ac := <-ad.decision:
		return ac
	case <-ctx.Done():
	}
	// Expire attempts first: one whose deadline has passed is refused for that.
	ga.step(host.Tick{})
	ga.step(host.Cancelled{ID: id})
	return <-ad.decision
}

func (ga *Gate) refuse(at host.Attempt, ad *admission, ac host.Refuse) Reply {
	ga.removeAdmission(at.ID, ad)
	re := RefusalReply(ac.Reason, true)
	if ac.Reason == host.ReasonQuarantined {
		re.Refusal.Crashes = ga.cfg.Quarantine.Evidence(at.Fingerprint)
	}
	re.Refusal.RateLimited = ac.RateLimited
	if ac.RateLimited && ga.cfg.OnRateLimited != nil {
		ga.cfg.OnRateLimited()
	}
	if !ac.RetryAfter.IsZero() {
		re.Refusal.RetryAfterUs = max(1, time.Until(ac.RetryAfter).Microseconds())
	}
	return ga.withGateState(re)
}

func (ga *Gate) dispatch(ctx context.Context, ad *admission, di host.Dispatch, fp host.Fingerprint, rq *wire.Request, body io.ReadCloser) Reply {
	dispatchedAt := time.Now()
	hooks := Hooks{
		OnStart:  func() { ga.step(host.Started{ID: di.ID}) },
		OnNotice: func(no host.Notice) { ga.noticeReceived(no, dispatchedAt) },
		OnEnd: func(rs Result) {
			ga.logSlowOrFailed(rq, rs, time.Since(dispatchedAt))
			ga.recordEnd(di.ID, rq.GetIdempotent(), rs)
			ga.removeAdmission(di.ID, ad)
			ad.cancel()
			switch {
			case rs.Outcome == host.OutcomeRan:
				ga.cfg.Quarantine.RecordSurvival(fp)
			case rs.Outcome == host.OutcomeNotRun && indicatesUpstreamLost(rs.Reason):
				ga.markUpstreamLost(host.UpstreamLost{Refused: rs.Refused, SentAt: dispatchedAt})
			case rs.Reason == host.ReasonUpstreamTruncated:
				go ga.checkProcess(di.Address, dispatchedAt)
			}
		},
	}
	body = ga.notifyBodyReceived(di.ID, body)
	body, err := bufferShortBody(ctx, rq, body)
	if err == nil && fp == 0 {
		fp, body, err = ga.identify(ctx, di.ID, rq, body)
	}
	var refusal Reply
	if err != nil {
		refusal = RefusalReply(bodyFailureReason(ctx), true)
	} else {
		refusal = ga.cfg.Quarantine.refuseRun(fp)
	}
	if refusal.Refusal != nil {
		if body != nil {
			_ = body.Close()
		}
		hooks.OnEnd(Result{Outcome: host.OutcomeNotRun, Reason: host.Reason(refusal.Refusal.GetReason())})
		return ga.withGateState(refusal)
	}
	to := Destination{
		Address:  di.Address,
		Instance: di.Instance,
	}
	rp := ga.cfg.Client.Do(ctx, to, rq, body, hooks)
	if rp.Refusal.GetReason() == string(host.ReasonUpstreamBroken) && !ga.checkProcess(di.Address, dispatchedAt) {
		rp.Refusal.Reason = string(host.ReasonUpstreamCrashed)
		rp.Refusal.Crashes = ga.cfg.Quarantine.Evidence(fp)
	}
	return ga.withGateState(rp)
}

// indicatesUpstreamLost reports whether a reason shows that the upstream instance
// is no longer at its address.
func indicatesUpstreamLost(re host.Reason) bool {
	return re == host.ReasonUpstreamConnect || re == ReasonUpstreamOtherInstance
}

// markUpstreamLost marks the upstream as gone until its next announcement.
func (ga *Gate) markUpstreamLost(ev host.UpstreamLost) {
	ga.mu.Lock()
	ga.stepLocked(ev)
	lost := !ga.core.UpstreamKnown()
	an := ga.lastAnnouncement
	ga.mu.Unlock()
	ga.reportCrash()
	if lost {
		an.State = host.StateGone
		ga.reportChange(an)
	}
}

// recordEnd reports the end of an attempt to the gate, and keeps the response to a
// non-idempotent one for later queries.
func (ga *Gate) recordEnd(id host.AttemptID, idempotent bool, rs Result) {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	ev := host.Ended{
		ID:          id,
		Outcome:     rs.Outcome,
		Reason:      rs.Reason,
		MayStillRun: rs.MayStillRun,
	}
	if rs.Response != nil && !idempotent {
		ga.keptResponses[id] = &wire.Response{
			Status:   rs.Response.GetStatus(),
			Headers:  rs.Response.GetHeaders(),
			Length:   rs.Response.GetLength(),
			Body:     rs.Response.GetBody(),
			Complete: true,
		}
		ev.KeptBytes = keptResponseBytes(rs.Response)
	}
	ga.stepLocked(ev)
}

// keptResponseOverheadBytes is the estimated size of a kept response without
// its body.
const keptResponseOverheadBytes = 512

func keptResponseBytes(rs *wire.Response) int { return len(rs.GetBody()) + keptResponseOverheadBytes }

// removeAdmission removes an admission unless another one has replaced it under
// the same id.
func (ga *Gate) removeAdmission(id host.AttemptID, ad *admission) {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	if ga.admissions[id] == ad {
		delete(ga.admissions, id)
	}
}

// withGateState sets the gate's load on a reply, and what the upstream states about
// itself on a response, and returns the reply.
func (ga *Gate) withGateState(re Reply) Reply {
	ga.mu.Lock()
	lo := ga.core.LoadPermille(time.Now())
	no := ga.core.PeerNotice()
	ga.mu.Unlock()
	if re.Response != nil {
		re.Response.LoadPermille = lo
		re.Response.Notice = PeerNoticeToWire(no, time.Now())
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

// Announce handles an upstream's announcement.
func (ga *Gate) Announce(an host.Announcement) { ga.announce(an, nil) }

// AnnounceProbed handles the result of a probe.
func (ga *Gate) AnnounceProbed(re ProbeResult) {
	ga.reportUnreadable(re.Notice)
	ga.announce(re.Announcement, &re.Notice)
}

// announce handles an announcement, and what the response that it was taken from states;
// nil if it was not taken from one.
func (ga *Gate) announce(an host.Announcement, no *host.Notice) {
	ga.mu.Lock()
	if !ga.core.AcceptAnnouncement(an, time.Now()) {
		ga.mu.Unlock()
		return
	}
	ga.cfg.Client.SetLimit(an.Connections)
	ga.announcementExpiresAt = time.Now().Add(ga.cfg.AnnouncementTTL)
	ga.stepLocked(host.Announced{
		Announcement: an,
		ExpiresAt:    ga.announcementExpiresAt,
	})
	if no != nil {
		ga.stepLocked(host.Noticed{
			SentAt: time.Now(),
			Notice: *no,
		})
	}
	an = ga.core.Upstream()
	ga.cfg.Client.SetDraining(an.State != host.StateReady)
	settling := ga.core.UnavailableReason(time.Now()) == host.ReasonSettling
	ga.mu.Unlock()
	ga.reportCrash()
	// While the gate is settling it admits no calls, so the announcement is not
	// reported yet.
	if !settling {
		ga.reportChange(an)
	}
}

// Announced reports whether the upstream has sent an announcement, including one that it is gone.
func (ga *Gate) Announced() bool {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	return !ga.announcementExpiresAt.IsZero()
}

// MarkGone marks an instance of the upstream as gone.
func (ga *Gate) MarkGone(id host.InstanceID) {
	ga.mu.Lock()
	an := ga.lastAnnouncement
	ga.mu.Unlock()
	an.Instance = id
	an.StartedAt = time.Time{}
	an.State = host.StateGone
	ga.Announce(an)
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
	if expired && an.State != host.StateGone {
		an.State = host.StateGone
		ga.reportChange(an)
	}
}

// reportChange logs and reports an announcement that differs from the last one in more
// than its load and sequence number.
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
		ga.cfg.OnAnnouncementChange(an)
	}
}

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
