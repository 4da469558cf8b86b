package caller

import (
	"bytes"
	"context"
	"io"
	"sync/atomic"
	"time"

	"lynxfold/core/call"
	"lynxfold/core/contract"
	"lynxfold/core/datacentre"
	"lynxfold/core/host"
	"lynxfold/core/rollout"
	"lynxfold/core/wire"
	"lynxfold/io/upstream"
)

// attempt is one attempt of an exchange.
type attempt struct {
	exchange *exchange
	action   call.SendAttempt
	ctx      context.Context
	cancel   context.CancelFunc
	// notice is what earlier responses have stated about the upstream.
	notice host.PeerNotice
	// servedLately reports that such a request was answered lately.
	servedLately bool
	// abandoned reports that the reply is no longer needed.
	abandoned atomic.Bool
	reply     upstream.Reply
	startedAt time.Time
	// awaited reports that a goroutine waits for the pending reply.
	awaited bool
	// finalResult is the result of the attempt. It is set when the attempt has
	// ended, as is duration.
	finalResult call.Result
	duration    time.Duration
	// rollout counts the attempt for the roll-out of its service; nil when there are none.
	rollout *rollout.Attempt
	// onTrial reports that the attempt was chosen for a release on trial.
	onTrial bool
	// done is closed when the reply has been received. It is nil unless
	// startAsync started the attempt.
	done chan struct{}
}

// newAttempt registers an attempt without sending it.
func (ex *exchange) newAttempt(sa call.SendAttempt) *attempt {
	ctx, cancel := context.WithCancel(ex.context)
	at := &attempt{
		exchange: ex,
		action:   sa,
		ctx:      ctx,
		cancel:   cancel,
	}
	ex.attempts = append(ex.attempts, at)
	at.onTrial = ex.release.filter.Trial
	ex.release.filter = rollout.Filter{}
	at.notice, at.servedLately = ex.server.attemptStarted(sa.Upstream, ex.fingerprint)
	return at
}

// run executes the attempt, reports its result and latency to the chooser, and
// returns the resulting event for the call. One whose connection is silent counts as lost in
// the chooser, which prefers other upstreams then.
func (at *attempt) run() call.Event {
	at.startedAt = time.Now()
	at.rolloutStarted(at.startedAt)
	at.reply = at.send()
	if at.reply.Pending != nil && at.exchange.target.Terms.Keyed {
		at.reply = at.reply.Pending.Abandon()
	}
	now := time.Now()
	re := at.resultOf(at.reply, now)
	load, hasDetail := upstream.LoadFromWire(at.reply.Load(), at.action.Upstream.Slots)
	ob := call.Observation{
		Result:       re,
		Latency:      now.Sub(at.startedAt),
		HasLoad:      at.reply.Response != nil || at.reply.Refusal.GetLoadPermille() > 0,
		LoadPermille: max(at.reply.Response.GetLoadPermille(), at.reply.Refusal.GetLoadPermille()),
		Load:         load,
		HasDetail:    hasDetail,
		Cancelled:    at.abandoned.Load(),
		Bulk:         at.exchange.target.Terms.Class == contract.ClassBulk,
		Notice:       upstream.PeerNoticeFromWire(at.reply.Response.GetNotice(), now),
		HasNotice:    at.reply.Response != nil,
	}
	at.exchange.server.attemptEnded(at.exchange, at.action.Upstream, ob, now)
	at.rolloutEnded(re, now)
	at.recordResult(re, now)
	at.exchange.server.cfg.Counters.observeAttempt(at.action.Upstream.Service, re.Outcome, now.Sub(at.startedAt))
	return at.endEvent(at.reply, re)
}

// recordResult stores the result of the attempt for the logs.
func (at *attempt) recordResult(re call.Result, now time.Time) {
	at.finalResult = re
	at.duration = now.Sub(at.startedAt)
	at.recordEnd(re)
}

// endEvent returns the event for the call that a reply leads to.
func (at *attempt) endEvent(rp upstream.Reply, re call.Result) call.Event {
	switch {
	case rp.Pending != nil:
		return call.LinkSilent{Attempt: at.action.Attempt}
	case rp.LinkLost:
		at.exchange.server.cfg.Counters.countLinkLost()
		return call.LinkLost{Attempt: at.action.Attempt}
	}
	return call.AttemptEnded{
		Attempt: at.action.Attempt,
		Result:  re,
	}
}

// awaitPending waits for the reply on the attempt's silent connection.
func (at *attempt) awaitPending(pending upstream.PendingReply) asyncResult {
	rp := pending.Await()
	now := time.Now()
	at.exchange.server.cfg.Quarantine.Learn(rp.Refusal.GetCrashes())
	if rs := rp.Response; rs != nil {
		at.exchange.server.upstreamNoticed(at.action.Upstream, rs.GetNotice(), at.startedAt)
	}
	re := at.resultOf(rp, now)
	return asyncResult{
		event: at.endEvent(rp, re),
		reply: rp,
		apply: func() {
			at.reply = rp
			at.recordResult(re, now)
		},
	}
}

func (at *attempt) send() upstream.Reply {
	re := at.exchange.refuseQuarantined()
	if re.Refusal == nil {
		re = at.sendToGate()
	}
	at.exchange.server.cfg.Quarantine.Learn(re.Refusal.GetCrashes())
	return re
}

// sendToGate sends the attempt to its gate and returns the reply.
func (at *attempt) sendToGate() upstream.Reply {
	ex := at.exchange
	up := at.action.Upstream
	rq := &wire.Request{
		Attempt:     string(at.action.Attempt),
		Incarnation: uint64(up.Incarnation),
		Service:     string(up.Service),
		Method:      []byte(ex.method),
		Uri:         []byte(ex.uri),
		Headers:     at.headers(),
		RemainingUs: time.Until(at.action.Deadline).Microseconds(),
		Class:       string(ex.target.Terms.Class),
		Length:      int64(len(ex.bufferedBody)),
		Idempotent:  ex.target.Terms.Idempotent,
		Rank:        uint32(ex.target.Terms.Rank),
		RequestId:   ex.requestID,
		Kind:        string(ex.target.Terms.Name),
	}
	rq.Customer = string(ex.customer.Name)
	rq.CustomerRank = uint32(ex.customer.Rank())
	rq.Fingerprint = uint64(ex.fingerprint)
	rq.Crashes = ex.server.cfg.Quarantine.Evidence(ex.fingerprint)
	rq.ServedLately = at.servedLately
	rq.Nested = ex.nested
	if at.rollout != nil {
		rq.Release = string(up.Release)
	}
	rq.Brief = at.action.NoQueue
	rq.Notice = upstream.PeerNoticeToWire(at.notice, time.Now())
	if !ex.objective.IsZero() && !ex.nested {
		rq.HasObjective = true
		rq.Returning = ex.returning
		rq.ObjectiveUs = time.Until(ex.objective).Microseconds()
	}
	var body io.ReadCloser
	switch {
	case ex.streamedBody != nil:
		rq.Length = ex.streamedBody.length
		body = ex.streamedBody.attemptReader()
	case len(ex.bufferedBody) > maxEagerBodyBytes && up.Host != ex.server.cfg.Host:
		body = io.NopCloser(bytes.NewReader(ex.bufferedBody))
	default:
		rq.Body = ex.bufferedBody
	}
	if up.Host == ex.server.cfg.Host {
		return ex.server.cfg.LocalGate.Serve(at.ctx, rq, body)
	}
	return ex.server.cfg.RemoteGates.Send(at.ctx, up.Address, rq, body)
}

// headers returns the headers of the call, and the protocol's attempt header if it
// has one.
func (at *attempt) headers() []*wire.Header {
	common := at.exchange.headers
	attemptHeader := at.exchange.server.cfg.Protocol.AttemptHeader(call.AttemptHeaderValue(at.exchange.attemptHeader, at.action.Number))
	if attemptHeader == nil {
		return common
	}
	return append(common[:len(common):len(common)], attemptHeader)
}

// resultOf derives the attempt's result from a reply.
func (at *attempt) resultOf(rp upstream.Reply, now time.Time) call.Result {
	switch {
	case rp.LinkLost || rp.Pending != nil:
		return call.Result{
			Outcome: call.OutcomeUnknown,
			Reason:  call.ReasonLinkLost,
		}
	case rp.Refusal == nil:
		return call.Result{
			Outcome: call.OutcomeRan,
			Status:  int(rp.Response.GetStatus()),
			GaveUp:  call.ParseGaveUp(headerValue(rp.Response, call.HeaderGaveUp)),
		}
	}
	re := call.Result{
		Outcome:     call.OutcomeUnknown,
		Reason:      host.Reason(rp.Refusal.GetReason()),
		RateLimited: rp.Refusal.GetRateLimited(),
		BodyUnread:  at.exchange.streamedBody != nil && at.exchange.streamedBody.notStarted(),
	}
	if rp.Refusal.GetNotRun() {
		re.Outcome = call.OutcomeNotRun
	}
	if us := rp.Refusal.GetRetryAfterUs(); us > 0 {
		re.RetryAfter = now.Add(time.Duration(us) * time.Microsecond)
	}
	return re
}

// query queries the attempt's gate beside the exchange.
func (at *attempt) query(ac call.QueryAttempt) asyncResult {
	ev, kept := at.queryFate(ac)
	re := asyncResult{event: ev}
	if _, answered := ev.(call.QueryResult); answered {
		re.apply = func() { at.reply = kept }
	}
	return re
}

// queryFate queries the attempt's gate for the fate of the attempt. It returns the event
// for the call, and the reply that the gate has kept.
func (at *attempt) queryFate(ac call.QueryAttempt) (call.Event, upstream.Reply) {
	ex := at.exchange
	sentAt := time.Now()
	ve, err := at.sendQuery(ac.Upstream, &wire.Query{
		Attempt:     string(ac.Attempt),
		Incarnation: uint64(ac.Upstream.Incarnation),
		Wait:        true,
		RemainingUs: time.Until(ac.WaitUntil).Microseconds(),
		Withdraw:    ex.streamedBody != nil && !ex.streamedBody.delivered(),
	})
	ex.server.cfg.Counters.countQuery(ve, err)
	if err != nil {
		return call.QueryFailed{Attempt: ac.Attempt}, upstream.Reply{}
	}
	kept := upstream.Reply{
		Response: ve.GetResponse(),
		Refusal:  ve.GetRefusal(),
	}
	if rs := ve.GetResponse(); rs != nil {
		ex.server.upstreamNoticed(ac.Upstream, rs.GetNotice(), sentAt)
	}
	return call.QueryResult{
		Attempt: ac.Attempt,
		Fate:    upstream.FateFromWire(ve.GetFate()),
		Result: call.Result{
			Status: int(ve.GetResponse().GetStatus()),
			Reason: host.Reason(ve.GetRefusal().GetReason()),
		},
	}, kept
}

// UnknownHostError is returned for a host that is not in the view.
type UnknownHostError struct {
	Host host.ID
}

func (er *UnknownHostError) Error() string { return "host " + string(er.Host) + " is not in the view" }

func (at *attempt) sendQuery(up datacentre.Upstream, qu *wire.Query) (*wire.Verdict, error) {
	sv := at.exchange.server
	switch {
	case up.Host == sv.cfg.Host:
		return sv.cfg.LocalGate.Query(at.ctx, qu), nil
	case up.Address == "":
		return nil, &UnknownHostError{Host: up.Host}
	}
	return sv.cfg.RemoteGates.Query(at.ctx, up.Address, qu)
}

// discard releases a reply that is not forwarded.
func (at *attempt) discard() {
	at.cancel()
	if at.reply.Pending != nil && !at.awaited {
		at.reply = at.reply.Pending.Await()
	}
	if at.reply.Body != nil {
		_ = at.reply.Body.Close()
	}
}
