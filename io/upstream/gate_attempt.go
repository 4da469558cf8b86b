package upstream

import (
	"context"
	"io"
	"time"

	"lynxfold/core/contract"
	"lynxfold/core/host"
	"lynxfold/core/wire"
)

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

// Serve runs one attempt on the upstream. The request body is read from body
// unless rq contains it; if body was read from, it is closed before the attempt
// ends. Cancelling ctx cancels the attempt. Serve returns when the response header
// has arrived.
func (ga *Gate) Serve(ctx context.Context, rq *wire.Request, body io.ReadCloser) Reply {
	now := time.Now()
	at := host.Attempt{
		ID:           host.AttemptID(rq.GetAttempt()),
		Request:      host.RequestID(rq.GetRequestId()),
		Incarnation:  host.Incarnation(rq.GetIncarnation()),
		Service:      contract.ServiceName(rq.GetService()),
		Class:        contract.Class(rq.GetClass()),
		Rank:         int(rq.GetRank()),
		Release:      host.Release(rq.GetRelease()),
		Customer:     contract.CustomerName(rq.GetCustomer()),
		CustomerRank: int(rq.GetCustomerRank()),
		Kind:         host.Kind(rq.GetKind()),
		Nested:       rq.GetNested(),
		NoQueue:      rq.GetBrief(),
		Deadline:     now.Add(time.Duration(rq.GetRemainingUs()) * time.Microsecond),
		Fingerprint:  fingerprintOf(rq),

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

// admit submits an arrival to the gate; it returns the gate's decision, or nil when
// the attempt is queued.
func (ga *Gate) admit(at host.Attempt, ad *admission, now time.Time) host.Action {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	at.ReleaseReplaced = ga.releaseReplaced(at.Service, now)
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
	if ga.cfg.OnRefused != nil {
		ga.cfg.OnRefused(at.Rank, ac.Reason)
	}
	re.Refusal.RateLimited = ac.RateLimited
	re.Refusal.Ahead = uint32(ac.Ahead)
	re.Refusal.KeptSlots = uint32(ac.KeptSlots)
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
	load := loadToWire(ga.core.Load(time.Now()), ga.core.Upstream())
	no := ga.core.PeerNotice()
	ga.mu.Unlock()
	if re.Response != nil {
		re.Response.LoadPermille = lo
		re.Response.Load = load
		re.Response.Notice = PeerNoticeToWire(no, time.Now())
	}
	if re.Refusal != nil {
		re.Refusal.LoadPermille = lo
		re.Refusal.Load = load
	}
	return re
}
