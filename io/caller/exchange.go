package caller

import (
	"context"
	"io"
	"sync"
	"time"

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
	// maxBufferedBodyBytes limits the request bodies that are buffered, so that
	// they can be sent again.
	maxBufferedBodyBytes = 64 << 10
	// maxEagerBodyBytes limits the request bodies that are sent together with the
	// request. Larger ones are sent when the gate has a free slot, so that a
	// refused attempt costs no more than a request without a body.
	maxEagerBodyBytes = 8 << 10
	// minRetryAfter is the minimum retry delay returned to a refused caller.
	minRetryAfter = time.Second
	// The deadline of the attempts is before that of the call, so that a gate's
	// refusal still arrives in time. maxDeadlineMargin and deadlineMarginDivisor
	// limit the time between them.
	maxDeadlineMargin     = 20 * time.Millisecond
	deadlineMarginDivisor = 10
	// answerWriteTimeout limits the time to write an answer after the call's
	// deadline.
	answerWriteTimeout = 2 * time.Second
)

// Gate is the gate of this host.
type Gate interface {
	// Serve sends a request to the gate and returns its reply.
	Serve(ctx context.Context, rq *wire.Request, body io.ReadCloser) upstream.Reply
	// Query returns what the gate knows of an attempt.
	Query(ctx context.Context, qu *wire.Query) *wire.Verdict
	// NestedCalled reports that the upstream calls a service while it runs a request.
	NestedCalled(ev host.NestedCalled)
	// RunningCustomer returns the customer that a running request is made for, and
	// reports whether the request is running.
	RunningCustomer(id host.RequestID) (contract.CustomerName, bool)
	// Service returns the service of the upstream.
	Service() contract.ServiceName
}

// RemoteGates sends requests and queries to the gates of other hosts.
type RemoteGates interface {
	// Send sends a request to the gate at an address and returns its reply.
	Send(ctx context.Context, address string, rq *wire.Request, body io.ReadCloser) upstream.Reply
	// Query returns what the gate at an address knows of an attempt.
	Query(ctx context.Context, address string, qu *wire.Query) (*wire.Verdict, error)
}

// exchange handles one request of a caller. It copies the request, because
// attempts can outlive the HTTP library's request.
type exchange struct {
	server  *Server
	session *session
	pending *pendingRequest
	httpCtx *fasthttp.RequestCtx
	conn    *conn
	view    *datacentre.View
	target  *contract.Target
	// customer is the one that the request is made for; its name is empty if there is
	// none. onBehalf reports that a running request makes the call, whose customer it takes.
	customer contract.Customer
	onBehalf bool
	// token is what the request has taken of its customer's quota.
	token  quotaToken
	number uint64
	callID record.CallID
	// requestID is the ID that the caller gave to the request; empty if there is
	// none.
	requestID string
	startedAt time.Time
	method    string
	uri       string
	// attemptHeader is the value of the caller's call.HeaderAttempt; empty if there
	// is none.
	attemptHeader string
	headers       []*wire.Header
	// bufferedBody is a short body. streamedBody is a long one that is not read
	// yet.
	bufferedBody []byte
	streamedBody *streamedBody
	// fingerprint identifies the request when it comes again.
	fingerprint host.Fingerprint
	// release is the choice of a release for the first attempt.
	release releaseChoice
	// trial is set when the run of the request decides if its quarantine goes on.
	trial bool

	deadline time.Time
	// objective is the time by which the contract wants the answer; zero if it
	// has no objective.
	objective time.Time
	// nested reports that an upstream makes the call as part of another call. parentID is
	// the ID of the request that this other call serves; empty if it is unknown.
	nested   bool
	parentID host.RequestID
	// returning reports that the caller retries after a refusal.
	returning bool
	context   context.Context
	cancel    context.CancelFunc
	// gone is closed when the caller has disconnected.
	gone     chan struct{}
	call     *call.Call
	attempts []*attempt
	// events delivers the results of attempts and queries that run on other
	// goroutines; asyncCount is the number of them.
	events     chan asyncResult
	asyncCount int
}

// asyncResult is the result of an attempt or a query that ran on a goroutine of its own.
type asyncResult struct {
	event call.Event
	// reply is closed if nobody receives the result.
	reply upstream.Reply
	// apply stores the result in the attempt; the goroutine of the exchange calls it. It may
	// be nil.
	apply func()
}

// run executes the call and answers the request.
func (ex *exchange) run() {
	ex.context, ex.cancel = context.WithDeadline(context.Background(), ex.deadline)
	ex.call = call.New(ex.config())
	ex.session.attach(ex.pending, ex)
	if ex.answerQuarantined() || ex.answerThrottled() {
		return
	}
	ex.server.reportNested(ex)
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
		ExpectedLatency:   sv.expectedLatency(ex.target),
		Picker:            ex,
		LocalPicker:       ex.localPicker(),
		MaxQueueWait:      sv.maxLocalQueueWait(ex),
		RetryBudget:       ex,
		HedgeBudget:       ex.hedgeBudget(),
		MinRetryAfter:     minRetryAfter,
		Jitter:            sv.jitter,
	}
}

// localPicker returns the picker for no-queue attempts, or nil for nested calls:
// gates serve nested calls before all others.
func (ex *exchange) localPicker() call.LocalPicker {
	if ex.nested {
		return nil
	}
	return ex
}

// loop runs the call to its answer. It returns false if the caller has
// disconnected.
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

// execute executes the actions of the call. It returns the answer, or the event
// of an attempt that it ran synchronously.
func (ex *exchange) execute(actions []call.Action) (*call.Respond, call.Event) {
	for _, ac := range actions {
		switch ac := ac.(type) {
		case call.SendAttempt:
			at := ex.newAttempt(ac)
			ex.server.cfg.Counters.countAttempt(ac.Reason)
			ex.server.registerSpread(ac.Upstream.Service)
			ex.recordAttempt(ac)
			if len(actions) == 1 && ex.asyncCount == 0 && ex.noTimerDue() {
				return nil, ex.callerGoneOr(at.run())
			}
			ex.startAsync(at, func() asyncResult { return asyncResult{event: at.run()} })
		case call.QueryAttempt:
			if at := ex.findAttempt(ac.Attempt); at != nil {
				ex.startAsync(at, func() asyncResult { return at.query(ac) })
			}
		case call.AwaitAnswer:
			if at := ex.findAttempt(ac.Attempt); at != nil {
				pending := at.reply.Pending
				at.awaited = true
				ex.runAsync(func() asyncResult { return at.awaitPending(pending) })
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

// noTimerDue reports whether no timer of the call fires before its deadline.
func (ex *exchange) noTimerDue() bool { return !ex.call.WakeAt().Before(ex.deadline) }

// callerGoneOr returns CallerGone instead of ev if the caller has disconnected,
// since that also cancels the attempt that ev reports.
func (ex *exchange) callerGoneOr(ev call.Event) call.Event {
	select {
	case <-ex.gone:
		return call.CallerGone{}
	default:
		return ev
	}
}

// startAsync runs an attempt or a query on a goroutine of its own.
func (ex *exchange) startAsync(at *attempt, run func() asyncResult) {
	done := make(chan struct{})
	at.done = done
	ex.runAsync(func() asyncResult {
		defer close(done)
		return run()
	})
}

// runAsync delivers the result of a function that runs on a goroutine of its own.
func (ex *exchange) runAsync(run func() asyncResult) {
	if ex.events == nil {
		ex.events = make(chan asyncResult)
	}
	ex.asyncCount++
	go func() {
		re := run()
		select {
		case ex.events <- re:
		case <-ex.context.Done():
			if re.reply.Body != nil {
				_ = re.reply.Body.Close()
			}
		}
	}()
}

// await waits for the next event of the call.
func (ex *exchange) await() call.Event {
	ti := time.NewTimer(time.Until(ex.call.WakeAt()))
	defer ti.Stop()
	select {
	case re := <-ex.events:
		ex.asyncCount--
		if re.apply != nil {
			re.apply()
		}
		return re.event
	case <-ti.C:
		return call.Tick{}
	case <-ex.gone:
		return call.CallerGone{}
	}
}

// callerGone cancels the exchange. The session calls it once. A keyed call that has
// been sent runs to its end.
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

// answer answers the caller and releases the other attempts.
func (ex *exchange) answer(an call.Respond) {
	defer ex.recordAnswer(an)
	defer ex.logAnswer(an)
	sv := ex.server
	winner := ex.findAttempt(an.Attempt)
	if an.Result.Outcome == call.OutcomeNotRun {
		ex.token.giveBack()
	}
	ex.releaseLosers(winner)
	sv.cfg.Counters.countAnswer(an, time.Since(ex.startedAt))
	sv.cfg.Counters.countServiceAnswer(ex.target.Route.Service, an.Result)
	sv.recordShortage(ex, an.Result)
	if an.Result.Outcome != call.OutcomeRan || winner == nil {
		ex.cancel()
		if an.Result.Reason == host.ReasonUpstreamRefused {
			sv.refillBudgets(ex.target.Route.Service)
		}
		ex.refuse(an)
		sv.activeCalls.Add(-1)
		return
	}
	sv.recordSuccess(ex.target.Route.Service, an.Result)
	if winner.reply.Body == nil {
		ex.cancel()
		sv.activeCalls.Add(-1)
		sv.respond(ex.httpCtx, winner.reply, an.Result)
		ex.closeIfUnread()
		return
	}
	winner.reply.Body = &answerBody{
		ReadCloser: winner.reply.Body,
		exchange:   ex,
	}
	ex.closeIfUnread()
	sv.respond(ex.httpCtx, winner.reply, an.Result)
}

// releaseLosers discards all attempts except the winner. It waits for those that
// read the caller's body, because the request must not be used after the answer.
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

// refuse answers a call that has no upstream response.
func (ex *exchange) refuse(an call.Respond) {
	re := an.Result
	if ex.streamedBody != nil {
		switch reason := incompleteBodyReason(ex.streamedBody.readError()); reason {
		case call.ReasonBodyTooLarge, call.ReasonBadRequest:
			re.Reason = reason
		}
	}
	ex.server.refuse(ex.httpCtx, httpStatus(re), re)
	ex.closeIfUnread()
}

// closeIfUnread marks the connection to be closed after the answer if the body was
// not read to its end.
func (ex *exchange) closeIfUnread() {
	if ex.streamedBody != nil && !ex.streamedBody.complete() {
		ex.conn.closeAfterAnswer(ex.httpCtx)
	}
}

// answerBody is the body of the answer. Closing it ends the exchange.
type answerBody struct {
	io.ReadCloser
	exchange *exchange
	once     sync.Once
}

// Close closes the body before the context is cancelled, so that the connection
// of a complete body can be reused.
func (ab *answerBody) Close() error {
	err := ab.ReadCloser.Close()
	ab.once.Do(func() {
		ab.exchange.cancel()
		ab.exchange.server.activeCalls.Add(-1)
	})
	return err
}
