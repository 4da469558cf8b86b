package caller

import (
	"context"
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"lynxfold/core/call"
	"lynxfold/core/contract"
	"lynxfold/core/datacentre"
	"lynxfold/core/host"
	"lynxfold/core/wire"
	"lynxfold/io/upstream"
)

// inlineBytes bounds the bodies that are read whole and can be sent again, in bytes.
const inlineBytes = 64 << 10

// Gate is this host's own gate.
type Gate interface {
	Serve(ctx context.Context, rq *wire.Request, body io.Reader) upstream.Reply
}

// Remote reaches the gates of other hosts.
type Remote interface {
	Serve(ctx context.Context, address string, rq *wire.Request, body io.Reader) upstream.Reply
}

// exchange is one request of a caller on its way.
type exchange struct {
	server *Server
	ctx    *fasthttp.RequestCtx
	view   *datacentre.View
	target *contract.Target
	number uint64
	begun  time.Time
	inline []byte
	stream io.Reader
}

func (ex *exchange) run(now time.Time) {
	ex.readBody()
	deadline := now.Add(ex.target.Terms.Timeout())
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	ca := call.New(ex.config(deadline))
	last := upstream.Reply{}
	acts := ca.Step(call.Begin{}, now)
	for {
		if len(acts) == 0 {
			time.Sleep(time.Until(ca.WakeAt()))
			acts = ca.Step(call.Tick{}, time.Now())
			continue
		}
		switch ac := acts[len(acts)-1].(type) {
		case call.Try:
			last = ex.attempt(ctx, ac)
			now = time.Now()
			acts = ca.Step(call.AttemptEnded{
				Attempt: ac.Attempt,
				Result:  resultOf(last, now),
			}, now)
		case call.Answer:
			ex.answer(ac, last, cancel)
			return
		}
	}
}

// comeBack is the shortest delay that a refused caller is told.
const comeBack = time.Second

func (ex *exchange) config(deadline time.Time) call.Config {
	return call.Config{
		Issuer: host.Issuer{
			Host:        ex.server.cfg.Host,
			Incarnation: ex.server.cfg.Incarnation,
		},
		Number:     ex.number,
		Terms:      ex.target.Terms,
		Deadline:   deadline,
		Replayable: ex.stream == nil,
		Estimate:   ex.server.estimate(ex.target.Route.Service),
		Chooser:    ex,
		Budget:     ex,
		ComeBack:   comeBack,
		Jitter:     ex.server.jitter,
	}
}

// readBody keeps a short body whole, so that it can be sent again.
func (ex *exchange) readBody() {
	length := ex.ctx.Request.Header.ContentLength()
	if length >= 0 && length <= inlineBytes {
		ex.inline = ex.ctx.PostBody()
		return
	}
	ex.stream = ex.ctx.RequestBodyStream()
}

// Pick implements call.Picker.
func (ex *exchange) Pick(tried []host.ID, now time.Time) (datacentre.Upstream, bool) {
	name := ex.target.Route.Service
	return ex.server.pick(name, ex.view.Upstreams[name], tried, now)
}

// Spend implements call.Spender.
func (ex *exchange) Spend(now time.Time) bool {
	return ex.server.spend(ex.target.Route.Service, now)
}

// attempt makes one attempt and notes what it showed of its upstream.
func (ex *exchange) attempt(ctx context.Context, tr call.Try) upstream.Reply {
	begun := time.Now()
	re := ex.send(ctx, tr)
	now := time.Now()
	ob := call.Observation{
		Result:  resultOf(re, now),
		Latency: now.Sub(begun),
		HasLoad: re.Response != nil || re.Refusal.GetLoadPermille() > 0,
		Bulk:    ex.target.Terms.Class == contract.ClassBulk,
	}
	ob.LoadPermille = max(re.Response.GetLoadPermille(), re.Refusal.GetLoadPermille())
	ex.server.attemptEnded(tr.Upstream, ob, now)
	return re
}

func (ex *exchange) send(ctx context.Context, tr call.Try) upstream.Reply {
	rq := &wire.Request{
		Attempt:     string(tr.Attempt),
		Incarnation: uint64(tr.Upstream.Incarnation),
		Service:     string(tr.Upstream.Service),
		Method:      string(ex.ctx.Method()),
		Uri:         string(ex.ctx.RequestURI()),
		Headers:     headersOf(ex.ctx),
		RemainingUs: time.Until(tr.Deadline).Microseconds(),
		Class:       string(ex.target.Terms.Class),
		Length:      int64(len(ex.inline)),
		Body:        ex.inline,
		Idempotent:  ex.target.Terms.Idempotent,
	}
	if ex.stream != nil {
		rq.Length = int64(ex.ctx.Request.Header.ContentLength())
	}
	if tr.Upstream.Host == ex.server.cfg.Host {
		return ex.server.cfg.Local.Serve(ctx, rq, ex.stream)
	}
	return ex.server.cfg.Remote.Serve(ctx, tr.Upstream.Address, rq, ex.stream)
}

func resultOf(re upstream.Reply, now time.Time) call.Result {
	if re.Refusal == nil {
		return call.Result{
			Outcome: call.OutcomeRan,
			Status:  int(re.Response.GetStatus()),
		}
	}
	rs := call.Result{
		Outcome: call.OutcomeUnknown,
		Reason:  host.Reason(re.Refusal.GetReason()),
	}
	if re.Refusal.GetNotRun() {
		rs.Outcome = call.OutcomeNotRun
	}
	if us := re.Refusal.GetRetryAfterUs(); us > 0 {
		rs.ComeBack = now.Add(time.Duration(us) * time.Microsecond)
	}
	return rs
}

func (ex *exchange) answer(an call.Answer, last upstream.Reply, cancel context.CancelFunc) {
	sv := ex.server
	sv.cfg.Counters.answered(an.Result.Outcome, time.Since(ex.begun))
	if an.Result.Outcome != call.OutcomeRan {
		cancel()
		sv.cfg.Log.Debug().
			Str("service", string(ex.target.Route.Service)).
			Str("attempt", string(an.Attempt)).
			Str("reason", string(an.Result.Reason)).
			Msg("call refused")
		if ex.stream != nil {
			ex.ctx.SetConnectionClose()
		}
		sv.refuse(ex.ctx, statusOf(an.Result), an.Result.Outcome, an.Result.Reason, an.Result.ComeBack)
		return
	}
	sv.succeeded(ex.target.Route.Service)
	if last.Body != nil {
		last.Body = &cancelling{
			ReadCloser: last.Body,
			cancel:     cancel,
		}
		sv.respond(ex.ctx, last)
		return
	}
	cancel()
	sv.respond(ex.ctx, last)
}

// cancelling releases a call's context when its body is closed.
type cancelling struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close closes the body first, so that a complete one gives its connection back.
func (ca *cancelling) Close() error {
	defer ca.cancel()
	return ca.ReadCloser.Close()
}
