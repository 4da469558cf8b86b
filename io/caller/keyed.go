package caller

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/valyala/fasthttp"
	"google.golang.org/protobuf/proto"

	"lynxfold/core/call"
	"lynxfold/core/call/keyed"
	"lynxfold/core/host"
	"lynxfold/core/wire"
	"lynxfold/io/platform"
	"lynxfold/io/upstream"
)

const (
	// HeaderIdempotencyKey is the request header with the key of a keyed call.
	// Repeats carry the same key.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderReplayed is on answers that are read from the table.
	HeaderReplayed = "Lynxfold-Replayed"
	// maxKeyBytes limits the length of a key.
	maxKeyBytes = 255
	// maxStoredAnswerBytes limits the answers that are stored in the table.
	maxStoredAnswerBytes = 64 << 10
	// keyedWriteGrace is the time after the deadline of a keyed call in which its
	// row can still be written.
	keyedWriteGrace = 30 * time.Second
)

// Reasons for refusing requests that don't qualify as keyed calls.
const (
	ReasonKeyMissing       host.Reason = "key_missing"
	ReasonKeyMalformed     host.Reason = "key_malformed"
	ReasonKeyedBodyTooLong host.Reason = "keyed_body_too_long"
)

// KeyStore stores the rows of keyed calls. Its writes fail if the row no longer has
// the ETag of the record that is passed; an empty ETag means that there is no row.
type KeyStore interface {
	// Read returns the row of a key.
	Read(ctx context.Context, ck platform.CallKey) (platform.KeyedCallRecord, error)
	// Claim stores that the attempt of the record is the only one that may run.
	Claim(ctx context.Context, re platform.KeyedCallRecord) (platform.KeyedCallRecord, error)
	// Finish stores the result of a claimed attempt, with its answer if there is one.
	Finish(ctx context.Context, re platform.KeyedCallRecord, answer []byte) (platform.KeyedCallRecord, error)
	// WriteTombstone replaces the row by a tombstone, so that its attempt can't be claimed any
	// more.
	WriteTombstone(ctx context.Context, re platform.KeyedCallRecord) (platform.KeyedCallRecord, error)
}

// keyedCall executes a keyed call. It can outlive its exchange, so that the
// result of an attempt is stored even if the caller has disconnected.
type keyedCall struct {
	exchange *exchange
	// context ends the table operations keyedWriteGrace after the deadline of the
	// call.
	context context.Context
	cancel  context.CancelFunc
	call    *keyed.Call
	key     platform.CallKey
	// record is the row as last read or written.
	record platform.KeyedCallRecord
	events chan keyed.Event
	ended  chan struct{}
	// answers delivers at most one answer to the exchange and is then closed.
	answers  chan keyedAnswer
	answered bool
	// quotaAsked is set when the token of the call has been asked for, and quotaRefused when
	// there was none.
	quotaAsked, quotaRefused bool
	// streaming reports that the answer is still being read from its attempt.
	streaming bool
}

// keyedAnswer is the answer to the caller.
type keyedAnswer struct {
	answer call.Respond
	reply  upstream.Reply
	// replayed reports that the answer was read from the table.
	replayed bool
}

// checkKey returns the status and the reason for refusing a request that doesn't
// qualify as a keyed call. It returns status 0 for all others.
func (ex *exchange) checkKey() (int, host.Reason) {
	key := ex.httpCtx.Request.Header.Peek(HeaderIdempotencyKey)
	switch {
	case len(key) == 0:
		return fasthttp.StatusBadRequest, ReasonKeyMissing
	case len(key) > maxKeyBytes:
		return fasthttp.StatusBadRequest, ReasonKeyMalformed
	case ex.streamedBody != nil:
		return fasthttp.StatusRequestEntityTooLarge, ReasonKeyedBodyTooLong
	}
	return 0, ""
}

// runKeyed answers a request under a keyed contract.
func (ex *exchange) runKeyed() {
	if status, re := ex.checkKey(); status != 0 {
		ex.refuseUnread(status, re)
		return
	}
	ex.server.activeCalls.Add(1)
	ex.context, ex.cancel = context.WithDeadline(context.Background(), ex.deadline.Add(keyedWriteGrace))
	ke := &keyedCall{
		exchange: ex,
		key:      ex.callKey(),
		events:   make(chan keyed.Event),
		ended:    make(chan struct{}),
		answers:  make(chan keyedAnswer, 1),
	}
	ke.context, ke.cancel = context.WithDeadline(context.Background(), ex.deadline.Add(keyedWriteGrace))
	ke.call = keyed.New(ke.config())
	ex.session.attach(ex.pending, ex)
	ex.server.keyedCalls.Go(ke.run)
	ka, ok := <-ke.answers
	if !ok {
		ex.server.cfg.Counters.countCallerGone()
		ka.answer.Result = call.Result{
			Outcome: call.OutcomeUnknown,
			Reason:  call.ReasonCallerGone,
		}
	}
	ex.answerKeyed(ka)
}

// callKey returns the caller's key, qualified by the service.
func (ex *exchange) callKey() platform.CallKey {
	key := string(ex.httpCtx.Request.Header.Peek(HeaderIdempotencyKey))
	return platform.CallKey(string(ex.target.Route.Service) + "/" + key)
}

// requestDigest returns a hash of the request's method, URI, body and customer. One
// customer is not given the stored answer of another. The key of the row does not contain
// the customer, because a repeat after the first customers are configured would run again.
func (ex *exchange) requestDigest() keyed.Digest {
	ha := sha256.New()
	if name := ex.customer.Name; name != "" {
		// No method contains a space, so this can't be the request of no customer.
		_, _ = ha.Write([]byte("customer " + name + "\n"))
	}
	for _, part := range []string{ex.method, ex.uri} {
		_, _ = ha.Write([]byte(part + "\n"))
	}
	_, _ = ha.Write(ex.bufferedBody)
	return keyed.Digest(hex.EncodeToString(ha.Sum(nil)))
}

func (ke *keyedCall) config() keyed.Config {
	ex := ke.exchange
	cc := ex.config()
	return keyed.Config{
		Issuer:          cc.Issuer,
		Number:          cc.Number,
		Terms:           cc.Terms,
		Digest:          ex.requestDigest(),
		Deadline:        cc.Deadline,
		DeadlineMargin:  cc.DeadlineMargin,
		ExpectedLatency: cc.ExpectedLatency,
		MinRetryAfter:   cc.MinRetryAfter,
		Picker:          ex,
		RetryBudget:     ex,
		WriteBudget:     ex.server.writeBudget,
		Jitter:          cc.Jitter,
	}
}

// run executes the call to its end on a goroutine of its own.
func (ke *keyedCall) run() {
	defer ke.close()
	gone := ke.exchange.gone
	var ev keyed.Event = call.Begin{}
	for {
		for _, ac := range ke.call.Step(ev, time.Now()) {
			ke.execute(ac)
		}
		if ke.call.Done() || ke.quotaRefused {
			break
		}
		ev = ke.awaitEvent(gone)
		if _, ok := ev.(call.CallerGone); ok {
			gone = nil
			ke.sendAnswer(nil)
		}
	}
	ke.sendAnswer(nil)
}

// close releases the resources of the call. The exchange's context is kept while
// the answer is still being read.
func (ke *keyedCall) close() {
	close(ke.ended)
	ke.cancel()
	if !ke.streaming {
		ke.exchange.cancel()
	}
}

// sendAnswer passes the answer to the exchange; only the first call has an
// effect. Nil means that there is no answer.
func (ke *keyedCall) sendAnswer(ka *keyedAnswer) {
	if ke.answered {
		return
	}
	ke.answered = true
	if ka != nil {
		ke.streaming = ka.reply.Body != nil
		ke.answers <- *ka
	}
	close(ke.answers)
}

// awaitEvent waits for the next event of the call.
func (ke *keyedCall) awaitEvent(gone <-chan struct{}) keyed.Event {
	var timer <-chan time.Time
	if at := ke.call.WakeAt(); !at.IsZero() {
		ti := time.NewTimer(time.Until(at))
		defer ti.Stop()
		timer = ti.C
	}
	select {
	case ev := <-ke.events:
		return ev
	case <-timer:
		return call.Tick{}
	case <-gone:
		return call.CallerGone{}
	}
}

// runAsync runs an operation on a goroutine of its own and delivers its event.
func (ke *keyedCall) runAsync(run func() keyed.Event) {
	go func() {
		ev := run()
		select {
		case ke.events <- ev:
		case <-ke.ended:
		}
	}()
}

func (ke *keyedCall) execute(ac keyed.Action) {
	ex := ke.exchange
	switch ac := ac.(type) {
	case call.SendAttempt:
		at := ex.newAttempt(ac)
		ex.server.cfg.Counters.countAttempt(ac.Reason)
		ke.runAsync(func() keyed.Event { return at.run() })
	case call.QueryAttempt:
		at := ex.findAttempt(ac.Attempt)
		if at == nil {
			at = ex.newAttempt(call.SendAttempt{
				Attempt:  ac.Attempt,
				Upstream: ac.Upstream,
			})
		}
		ac.Upstream.Address = ex.hostAddress(ac.Upstream.Host)
		ke.runAsync(func() keyed.Event {
			re := at.query(ac)
			if re.apply != nil {
				re.apply()
			}
			return re.event
		})
	case call.Respond:
		ka := keyedAnswer{answer: ac}
		if at := ex.findAttempt(ac.Attempt); at != nil {
			ka.reply = at.reply
		}
		ke.sendAnswer(&ka)
	case keyed.AnswerFromRow:
		ke.replayAnswer()
	case keyed.CreateRow:
		if ke.admitQuota(ac.Row) {
			ke.runRowOperation(ac)
		}
	case keyed.UpdateRow:
		if ke.admitQuota(ac.Row) {
			ke.runRowOperation(ac)
		}
	case keyed.ReadRow:
		ke.runRowOperation(ac)
	}
}

// hostAddress returns the address of a host in the view; empty if it is not in
// the view.
func (ex *exchange) hostAddress(id host.ID) string {
	for _, up := range ex.view.Upstreams[ex.target.Route.Service] {
		if up.Host == id {
			return up.Address
		}
	}
	return ""
}

// replayAnswer answers with the response that the row stores.
func (ke *keyedCall) replayAnswer() {
	rs := &wire.Response{}
	if err := proto.Unmarshal(ke.record.Answer, rs); err != nil {
		ke.sendAnswer(&keyedAnswer{
			answer: call.Respond{
				Result: call.Result{
					Outcome: call.OutcomeUnknown,
					Reason:  call.ReasonAnswerLost,
				},
			},
		})
		return
	}
	ke.sendAnswer(&keyedAnswer{
		answer: call.Respond{
			Attempt: ke.record.Attempt,
			Result: call.Result{
				Outcome: call.OutcomeRan,
				Status:  int(rs.GetStatus()),
			},
		},
		reply:    upstream.Reply{Response: rs},
		replayed: true,
	})
}

// answerKeyed answers the caller.
func (ex *exchange) answerKeyed(ka keyedAnswer) {
	sv := ex.server
	sv.cfg.Counters.countAnswer(ka.answer, time.Since(ex.startedAt))
	if ka.replayed || ka.answer.Result.Outcome == call.OutcomeNotRun {
		ex.token.giveBack()
	}
	if ka.answer.Result.Outcome != call.OutcomeRan || ka.reply.Response == nil {
		ex.refuse(ka.answer)
		sv.activeCalls.Add(-1)
		return
	}
	sv.recordSuccess(ex.target.Route.Service, ka.answer.Result)
	if ka.reply.Body != nil {
		ka.reply.Body = &answerBody{
			ReadCloser: ka.reply.Body,
			exchange:   ex,
		}
	} else {
		sv.activeCalls.Add(-1)
	}
	sv.respond(ex.httpCtx, ka.reply, ka.answer.Result)
	if ka.replayed {
		ex.httpCtx.Response.Header.Set(HeaderReplayed, "true")
	}
}
