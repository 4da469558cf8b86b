package caller

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"lynxfold/core/call"
	"lynxfold/core/contract"
	"lynxfold/core/datacentre"
	"lynxfold/core/host"
	"lynxfold/core/wire"
	"lynxfold/io/operator/record"
	"lynxfold/io/upstream"
)

const (
	// maxBufferedBodyBytes bounds the bodies that are read whole and can be sent again, in bytes.
	maxBufferedBodyBytes = 64 << 10
	// maxEagerBodyBytes bounds the bodies that go with their request, in bytes; larger
	// ones follow when the gate has a slot for them, so that a refused attempt
	// costs no more than a lookup does.
	maxEagerBodyBytes = 8 << 10
	// minRetryAfter is the shortest delay that a refused caller is told.
	minRetryAfter = time.Second
	// maxDeadlineMargin and marginShare bound what is kept between the attempts'
	// deadline and the call's, so that a gate's refusal still arrives in time.
	maxDeadlineMargin     = 20 * time.Millisecond
	deadlineMarginDivisor = 10
	// answerWriteTimeout bounds the sending of an answer after the call's deadline.
	answerWriteTimeout = 2 * time.Second
)

// Gate is this host's own gate.
type Gate interface {
	Serve(ctx context.Context, rq *wire.Request, body io.ReadCloser) upstream.Reply
	Query(ctx context.Context, qu *wire.Query) *wire.Verdict
}

// RemoteGates reaches the gates of other hosts.
type RemoteGates interface {
	Serve(ctx context.Context, address string, rq *wire.Request, body io.ReadCloser) upstream.Reply
	Ask(ctx context.Context, address string, qu *wire.Query) (*wire.Verdict, error)
}

// exchange is one request of a caller on its way. It holds its own copy of the
// request: attempts may outlast the HTTP library's.
type exchange struct {
	server  *Server
	session *session
	pending *pendingRequest
	httpCtx *fasthttp.RequestCtx
	conn    *conn
	view    *datacentre.View
	target  *contract.Target
	number  uint64
	callID  record.CallID
	// requestID is the caller's own name for the request.
	requestID     string
	startedAt     time.Time
	method        string
	uri           string
	attemptHeader string
	headers       []*wire.Header
	// bufferedBody is a short body, body a long one that is still to be read.
	bufferedBody []byte
	streamedBody *streamedBody

	deadline time.Time
	// objective is when the answer is wanted; zero when the contract has none.
	objective time.Time
	// nested says that the call is part of another one.
	nested bool
	// returning says that the caller comes back after a refusal.
	returning bool
	context   context.Context
	cancel    context.CancelFunc
	// gone is closed when the caller has left.
	gone     chan struct{}
	call     *call.Call
	attempts []*attempt
	// events come from attempts and queries that run beside the exchange.
	events     chan call.Event
	concurrent int
}

// run answers the request.
func (ex *exchange) run() {
	ex.context, ex.cancel = context.WithDeadline(context.Background(), ex.deadline)
	ex.call = call.New(ex.config())
	ex.session.attach(ex.pending, ex)
	an, ok := ex.loop()
	if !ok {
		ex.server.cfg.Counters.countCallerGone()
		an = call.Respond{
			Result: call.Result{
				Outcome: call.OutcomeUnknown,
				Reason:  ex.session.goneReason(),
			},
		}
		ex.httpCtx.SetConnectionClose()
	}
	ex.answer(an)
}

func (ex *exchange) config() call.Config {
	sv := ex.server
	return call.Config{
		Issuer: host.Issuer{
			Host:        sv.cfg.Host,
			Incarnation: sv.cfg.Incarnation,
		},
		Number:            ex.number,
		Terms:             ex.target.Terms,
		Deadline:          ex.deadline,
		DeadlineMargin:    min(maxDeadlineMargin, ex.deadline.Sub(ex.startedAt)/deadlineMarginDivisor),
		Replayable:        ex.streamedBody == nil,
		UpperLayerRetries: call.UpperLayerRetries(ex.attemptHeader),
		ExpectedLatency:   sv.expectedLatency(ex.target.Route.Service),
		Picker:            ex,
		LocalPicker:       ex.localPicker(),
		MaxQueueWait:      sv.maxLocalQueueWait(ex),
		RetryBudget:       ex,
		HedgeBudget:       hedgeBudget{exchange: ex},
		MinRetryAfter:     minRetryAfter,
		Jitter:            sv.jitter,
	}
}

// localPicker makes brief attempts for calls that may have to wait. A call that is part of
// another one goes before all others at any gate.
func (ex *exchange) localPicker() call.LocalPicker {
	if ex.nested {
		return nil
	}
	return ex
}

// loop drives the call to its answer; it is false when the caller has gone.
func (ex *exchange) loop() (call.Respond, bool) {
	var ev call.Event = call.Begin{}
	for {
		an, next := ex.execute(ex.call.Step(ev, time.Now()))
		if an != nil {
			return *an, true
		}
		if next == nil {
			next = ex.await()
		}
		if _, gone := next.(call.CallerGone); gone {
			ex.execute(ex.call.Step(next, time.Now()))
			return call.Respond{}, false
		}
		ev = next
	}
}

// execute carries out what the call decides. It returns the answer, or the
// event of an attempt that it made at once.
func (ex *exchange) execute(acts []call.Action) (*call.Respond, call.Event) {
	for _, ac := range acts {
		switch ac := ac.(type) {
		case call.SendAttempt:
			at := ex.newAttempt(ac)
			ex.server.cfg.Counters.countAttempt(ac.Reason)
			ex.recordAttempt(ac)
			if len(acts) == 1 && ex.concurrent == 0 && ex.nothingDue() {
				return nil, ex.callerGoneOr(at.run())
			}
			ex.startAsync(at, at.run)
		case call.QueryAttempt:
			if at := ex.findAttempt(ac.Attempt); at != nil {
				ex.startAsync(at, func() call.Event { return at.queryFate(ac) })
			}
		case call.CancelAttempt:
			if at := ex.findAttempt(ac.Attempt); at != nil {
				at.abandoned.Store(true)
				at.cancel()
			}
		case call.SkipHedge:
			ex.server.cfg.Counters.countSkippedAttempt(ac.Reason)
		case call.Respond:
			return &ac, nil
		}
	}
	return nil, nil
}

// nothingDue tells whether nothing is due before the one attempt ends.
func (ex *exchange) nothingDue() bool { return !ex.call.WakeAt().Before(ex.deadline) }

// callerGoneOr puts the end of the caller before the event of an attempt that was
// cancelled by it.
func (ex *exchange) callerGoneOr(ev call.Event) call.Event {
	select {
	case <-ex.gone:
		return call.CallerGone{}
	default:
		return ev
	}
}

// startAsync runs an attempt or a query beside the exchange.
func (ex *exchange) startAsync(at *attempt, run func() call.Event) {
	if ex.events == nil {
		ex.events = make(chan call.Event)
	}
	ex.concurrent++
	done := make(chan struct{})
	at.done = done
	go func() {
		ev := run()
		close(done)
		select {
		case ex.events <- ev:
		case <-ex.context.Done():
		}
	}()
}

// await waits for the next event of the call.
func (ex *exchange) await() call.Event {
	ti := time.NewTimer(time.Until(ex.call.WakeAt()))
	defer ti.Stop()
	select {
	case ev := <-ex.events:
		ex.concurrent--
		return ev
	case <-ti.C:
		return call.Tick{}
	case <-ex.gone:
		return call.CallerGone{}
	}
}

// callerGone ends the exchange; it is called once, by the session. A keyed call
// that was sent is seen through.
func (ex *exchange) callerGone() {
	close(ex.gone)
	if !ex.target.Terms.Keyed {
		ex.cancel()
	}
}

func (ex *exchange) findAttempt(id host.AttemptID) *attempt {
	for _, at := range ex.attempts {
		if at.action.Attempt == id {
			return at
		}
	}
	return nil
}

// answer answers the caller and releases everything else.
func (ex *exchange) answer(an call.Respond) {
	defer ex.recordAnswer(an)
	defer ex.logAnswer(an)
	sv := ex.server
	winner := ex.findAttempt(an.Attempt)
	ex.releaseLosers(winner)
	sv.cfg.Counters.countAnswer(an, time.Since(ex.startedAt))
	sv.cfg.Counters.countServiceAnswer(ex.target.Route.Service, an.Result)
	if an.Result.Outcome != call.OutcomeRan || winner == nil {
		ex.cancel()
		ex.refuse(an)
		sv.activeCalls.Add(-1)
		return
	}
	sv.recordSuccess(ex.target.Route.Service, an.Result)
	if winner.reply.Body == nil {
		ex.cancel()
		sv.activeCalls.Add(-1)
		sv.respond(ex.httpCtx, winner.reply, an.Result)
		ex.leaveUnread()
		return
	}
	winner.reply.Body = &answerBody{
		ReadCloser: winner.reply.Body,
		exchange:   ex,
	}
	ex.leaveUnread()
	sv.respond(ex.httpCtx, winner.reply, an.Result)
}

// releaseLosers drops the attempts that did not win. It waits for those that read
// the caller's body: nothing may touch the request after the answer.
func (ex *exchange) releaseLosers(winner *attempt) {
	for _, at := range ex.attempts {
		if at == winner {
			continue
		}
		at.abandoned.Store(true)
		at.cancel()
		if at.done == nil {
			at.discard()
			continue
		}
		if ex.streamedBody != nil {
			<-at.done
		}
		go func() {
			<-at.done
			at.discard()
		}()
	}
}

// refuse answers a call without a response.
func (ex *exchange) refuse(an call.Respond) {
	re := an.Result
	if ex.streamedBody != nil {
		var (
			large     *BodyTooLargeError
			malformed *MalformedBodyError
		)
		switch err := ex.streamedBody.readError(); {
		case errors.As(err, &large):
			re.Reason = call.ReasonBodyTooLarge
		case errors.As(err, &malformed):
			re.Reason = call.ReasonBadRequest
		}
	}
	ex.server.refuse(ex.httpCtx, httpStatus(re), re)
	ex.leaveUnread()
}

// leaveUnread ends the connection after the answer when the body was not read to
// its end.
func (ex *exchange) leaveUnread() {
	if ex.streamedBody != nil && !ex.streamedBody.complete() {
		ex.conn.leaveUnread(ex.httpCtx)
	}
}

// answerBody is the body of the answer; its end is the exchange's.
type answerBody struct {
	io.ReadCloser
	exchange *exchange
	once     sync.Once
}

// Close closes the body first, so that a complete one gives its connection back.
func (fb *answerBody) Close() error {
	err := fb.ReadCloser.Close()
	fb.once.Do(func() {
		fb.exchange.cancel()
		fb.exchange.server.activeCalls.Add(-1)
	})
	return err
}
