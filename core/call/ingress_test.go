package call_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"lynxfold/core/call"
	"lynxfold/core/call/keyed"
	"lynxfold/core/contract"
	"lynxfold/core/datacentre"
	"lynxfold/core/host"
)

// rowResult is the result of an operation on the table of keyed calls.
type rowResult = keyed.RowResult

// callStepper is the state machine of a call, keyed or not.
type callStepper interface {
	Step(ev any, now time.Time) []any
	WakeAt() time.Time
}

// plainStepper adapts a call.Call to callStepper.
type plainStepper struct {
	core *call.Call
}

// Step implements callStepper.
func (ps plainStepper) Step(ev any, now time.Time) []any {
	var acts []any
	for _, ac := range ps.core.Step(ev.(call.Event), now) {
		acts = append(acts, ac)
	}
	return acts
}

// WakeAt implements callStepper.
func (ps plainStepper) WakeAt() time.Time { return ps.core.WakeAt() }

// keyedStepper adapts a keyed.Call to callStepper.
type keyedStepper struct {
	*keyed.Call
}

// Step implements callStepper.
func (ks keyedStepper) Step(ev any, now time.Time) []any {
	var acts []any
	for _, ac := range ks.Call.Step(ev, now) {
		acts = append(acts, ac)
	}
	return acts
}

// callState is one call at its ingress.
type callState struct {
	// core is the state machine of the call, possibly mutated.
	core         callStepper
	issuer       host.Issuer
	number       uint64
	key          string
	digest       keyed.Digest
	idempotent   bool
	deadline     time.Time
	responded    bool
	result       call.Result
	upstreams    map[host.AttemptID]datacentre.Upstream
	startedAt    map[host.AttemptID]time.Time
	openAttempts []host.AttemptID
	// queries holds the attempts with an open query.
	queries []host.AttemptID
	// bodies holds the response bodies of attempts that ran.
	bodies map[host.AttemptID]int
}

func (ca *callState) name() string { return fmt.Sprintf("%v.%d", ca.issuer, ca.number) }

// id returns the id of the call's first attempt.
func (ca *callState) id() host.AttemptID {
	return host.Origin{Issuer: ca.issuer, Call: ca.number, Try: 1, Idempotent: ca.idempotent}.ID()
}

// ingress simulates a node that accepts calls.
type ingress struct {
	sim         *simulation
	id          host.ID
	incarnation host.Incarnation
	number      uint64
	calls       []*callState
	// earlierCalls are the calls of the previous incarnations.
	earlierCalls   []*callState
	chooser        *call.Chooser
	rnd            *rand.Rand
	knownUpstreams []datacentre.Upstream
	retryBudget    *call.Budget
	hedgeBudget    *call.Budget
	retried        int
	hedged         int
	successes      int
	budgetFrom     time.Time
	paused         bool
	// inbox holds the events that arrive while the process is paused.
	inbox []func()
}

// Configuration of the budgets for retries and hedged requests.
const (
	budgetPerSuccess = 0.2
	budgetPerSecond  = 0.5
	budgetBurst      = 3
)

func newIngress(sm *simulation, nth int) *ingress {
	in := &ingress{
		sim: sm,
		id:  host.ID(fmt.Sprintf("node-%d", nth)),
		rnd: rand.New(rand.NewPCG(uint64(sm.src.intn(1<<16)), uint64(nth))),
	}
	in.restart()
	return in
}

// restart starts a new incarnation of the process. Open calls of the previous one get
// no response, since the connections of their callers break.
func (in *ingress) restart() {
	in.incarnation++
	in.paused = false
	in.inbox = nil
	in.earlierCalls = append(in.earlierCalls, in.calls...)
	in.calls = nil
	in.chooser = call.NewChooser(call.ChooserConfig{
		DataCentre: "press-hall",
		Rand:       in.rnd,
	})
	cfg := call.BudgetConfig{
		PerSuccess: budgetPerSuccess,
		PerSecond:  budgetPerSecond,
		Burst:      budgetBurst,
	}
	in.retryBudget = call.NewBudget(cfg)
	in.hedgeBudget = call.NewBudget(cfg)
	in.retried, in.hedged, in.successes = 0, 0, 0
	in.budgetFrom = in.sim.now
	in.knownUpstreams = in.sim.view()
}

// alive returns a function that reports whether the process still has its present
// incarnation.
func (in *ingress) alive() func() bool {
	inc := in.incarnation
	return func() bool { return in.incarnation == inc }
}

// post handles an event, or queues it while the process is paused.
func (in *ingress) post(run func()) {
	if in.paused {
		in.inbox = append(in.inbox, run)
		return
	}
	run()
}

// resume ends a pause and handles the queued events.
func (in *ingress) resume() {
	in.paused = false
	for _, run := range in.inbox {
		run()
	}
	in.inbox = nil
}

// PickWithCapacity implements call.Picker.
func (in *ingress) PickWithCapacity(tried []host.ID, now time.Time) (datacentre.Upstream, bool) {
	return in.Pick(tried, now)
}

// Pick implements call.Picker.
func (in *ingress) Pick(tried []host.ID, now time.Time) (datacentre.Upstream, bool) {
	up, ok := in.chooser.Pick(service, in.knownUpstreams, tried, now)
	if ok {
		in.chooser.Started(up)
	}
	return up, ok
}

func (in *ingress) mutateBudget(sp call.Spender) call.Spender {
	if in.sim.mutations.budget != nil {
		return in.sim.mutations.budget(sp)
	}
	return sp
}

func (in *ingress) newState() *callState {
	in.number++
	return &callState{
		issuer:    host.Issuer{Host: in.id, Incarnation: in.incarnation},
		number:    in.number,
		deadline:  in.sim.now.Add(callTimeout),
		upstreams: map[host.AttemptID]datacentre.Upstream{},
		startedAt: map[host.AttemptID]time.Time{},
		bodies:    map[host.AttemptID]int{},
	}
}

// begin starts a call without an idempotency key.
func (in *ingress) begin(idempotent bool) {
	ca := in.newState()
	ca.idempotent = idempotent
	ca.core = plainStepper{core: call.New(call.Config{
		Issuer: ca.issuer,
		Number: ca.number,
		Terms: contract.Terms{
			Idempotent:   idempotent,
			Retries:      2,
			HedgeAfterMS: 50,
			Class:        contract.ClassLookup,
		},
		Deadline:       ca.deadline,
		DeadlineMargin: 5 * time.Millisecond,
		Replayable:     true,
		Picker:         in,
		RetryBudget:    in.mutateBudget(in.retryBudget),
		HedgeBudget:    in.mutateBudget(in.hedgeBudget),
		MinRetryAfter:  100 * time.Millisecond,
		Jitter:         in.rnd.Float64,
	})}
	in.run(ca)
}

// beginKeyed starts a call with an idempotency key.
func (in *ingress) beginKeyed(key string, digest keyed.Digest) {
	ca := in.newState()
	ca.key = key
	ca.digest = digest
	ca.core = keyedStepper{Call: keyed.New(keyed.Config{
		Issuer: ca.issuer,
		Number: ca.number,
		Terms: contract.Terms{
			Keyed:   true,
			Retries: 2,
		},
		Digest:         digest,
		Deadline:       ca.deadline,
		DeadlineMargin: 5 * time.Millisecond,
		MinRetryAfter:  100 * time.Millisecond,
		Picker:         in,
		RetryBudget:    in.mutateBudget(in.retryBudget),
		WriteBudget:    unlimitedBudget{},
		Jitter:         in.rnd.Float64,
	})}
	in.run(ca)
}

func (in *ingress) run(ca *callState) {
	if in.sim.mutations.call != nil {
		ca.core = in.sim.mutations.call(ca.core)
	}
	in.calls = append(in.calls, ca)
	in.step(ca, call.Begin{})
}

// unlimitedBudget is a budget that is never exhausted.
type unlimitedBudget struct{}

// Spend implements call.Spender.
func (unlimitedBudget) Spend(time.Time) bool { return true }

func (in *ingress) step(ca *callState, ev any) {
	in.sim.logEvent("%s %T%v", ca.name(), ev, ev)
	for _, ac := range ca.core.Step(ev, in.sim.now) {
		in.sim.logEvent("%s -> %T%v", ca.name(), ac, ac)
		in.execute(ca, ac)
	}
}

func (in *ingress) execute(ca *callState, ac any) {
	switch ac := ac.(type) {
	case call.SendAttempt:
		in.send(ca, ac)
	case call.QueryAttempt:
		ca.queries = append(ca.queries, ac.Attempt)
		in.query(ca, ac)
	case call.CancelAttempt:
		ca.openAttempts = slices.DeleteFunc(ca.openAttempts, func(id host.AttemptID) bool { return id == ac.Attempt })
		in.cancel(ca, ac.Attempt)
	case call.Respond:
		in.respond(ca, ac)
	case call.InvariantViolated:
		in.sim.fail(invariantInternal, "call %s", ca.name())
	case keyed.AnswerFromRow:
		in.answerFromRow(ca, ac)
	case keyed.ReadRow, keyed.CreateRow, keyed.UpdateRow:
		in.sim.table.request(in, ca, ac)
	}
}

// gate returns the gate on a host, or nil.
func (in *ingress) gate(id host.ID) *gateProcess {
	for _, ga := range in.sim.gates {
		if ga.id == id {
			return ga
		}
	}
	return nil
}

func (in *ingress) send(ca *callState, sa call.SendAttempt) {
	in.countRetry(sa)
	ca.upstreams[sa.Attempt] = sa.Upstream
	ca.startedAt[sa.Attempt] = in.sim.now
	ca.openAttempts = append(ca.openAttempts, sa.Attempt)
	ga := in.gate(sa.Upstream.Host)
	at := host.Attempt{
		ID:          sa.Attempt,
		Incarnation: sa.Upstream.Incarnation,
		Service:     service,
		Class:       contract.ClassLookup,
		Deadline:    sa.Deadline,
	}
	if in.sim.chance(4) {
		at.Class = contract.ClassBulk
	}
	respond := in.replyTo(ca, sa.Attempt)
	// The message is for the present incarnation of the gate. An idempotent attempt is
	// never duplicated, since gates keep no record of it after its end.
	in.sim.send(&message{
		deliver:         func() { ga.arrive(at, ca.key, respond) },
		alive:           ga.alive(ga.incarnation),
		lossy:           true,
		neverDuplicated: ca.idempotent,
	})
}

// replyTo returns a function that sends the end of an attempt to its call.
func (in *ingress) replyTo(ca *callState, id host.AttemptID) func(re reply) {
	alive := in.alive()
	return func(re reply) {
		in.sim.send(&message{
			deliver: func() { in.post(func() { in.attemptEnded(ca, id, re) }) },
			alive:   alive,
			lossy:   true,
		})
	}
}

func (in *ingress) attemptEnded(ca *callState, id host.AttemptID, re reply) {
	if !slices.Contains(ca.openAttempts, id) {
		return
	}
	ca.openAttempts = slices.DeleteFunc(ca.openAttempts, func(it host.AttemptID) bool { return it == id })
	if re.outcome == host.OutcomeRan {
		ca.bodies[id] = re.body
	}
	rs := call.Result{
		Outcome: re.outcome,
		Reason:  re.reason,
		Status:  re.status,
	}
	in.chooser.Ended(ca.upstreams[id], call.Observation{
		Result:       rs,
		Latency:      in.sim.now.Sub(ca.startedAt[id]),
		LoadPermille: 500,
		HasLoad:      true,
	}, in.sim.now)
	in.step(ca, call.AttemptEnded{
		Attempt: id,
		Result:  rs,
	})
}

// countRetry counts retries and hedged requests, and fails the run if there are more
// of them than the budgets' configuration allows.
func (in *ingress) countRetry(sa call.SendAttempt) {
	switch sa.Reason {
	case call.RetryStatus, call.RetryNotRun, call.RetryUnknown:
		in.retried++
	case call.RetryHedge:
		in.hedged++
	}
	granted := budgetBurst + budgetPerSuccess*float64(in.successes) +
		budgetPerSecond*in.sim.now.Sub(in.budgetFrom).Seconds()
	if float64(max(in.retried, in.hedged)) > granted {
		in.sim.fail(invariantBudget, "%d retries, %d hedges, %.1f granted", in.retried, in.hedged, granted)
	}
}

func (in *ingress) query(ca *callState, qa call.QueryAttempt) {
	ga := in.gate(qa.Upstream.Host)
	respond := in.queryReplyTo(ca, qa.Attempt)
	in.sim.send(&message{
		deliver: func() {
			ga.handleQuery(host.Queried{
				ID:          qa.Attempt,
				Incarnation: qa.Upstream.Incarnation,
				WaitUntil:   qa.WaitUntil,
			}, respond)
		},
		alive: ga.alive(ga.incarnation),
		lossy: true,
	})
}

func (in *ingress) queryReplyTo(ca *callState, id host.AttemptID) func(aq host.AnswerQuery, body int) {
	alive := in.alive()
	return func(aq host.AnswerQuery, body int) {
		in.sim.send(&message{
			deliver: func() { in.post(func() { in.queryAnswered(ca, id, aq, body) }) },
			alive:   alive,
			lossy:   true,
		})
	}
}

func (in *ingress) queryAnswered(ca *callState, id host.AttemptID, aq host.AnswerQuery, body int) {
	at := slices.Index(ca.queries, id)
	if at < 0 {
		return
	}
	ca.queries = slices.Delete(ca.queries, at, at+1)
	in.sim.fates[aq.Fate]++
	if aq.Fate == host.FateFinished {
		ca.bodies[id] = body
	}
	in.step(ca, call.QueryResult{
		Attempt: id,
		Fate:    aq.Fate,
		Result: call.Result{
			Reason: aq.Reason,
			Status: 200,
		},
	})
}

func (in *ingress) cancel(ca *callState, id host.AttemptID) {
	ga := in.gate(ca.upstreams[id].Host)
	in.sim.send(&message{
		deliver: func() { ga.step(host.Cancelled{ID: id}) },
		alive:   ga.alive(ga.incarnation),
		lossy:   true,
	})
}

func (in *ingress) respond(ca *callState, re call.Respond) {
	ca.responded = true
	ca.result = re.Result
	switch re.Result.Outcome {
	case call.OutcomeRan:
		in.successes++
		in.retryBudget.RecordSuccess(in.sim.now)
		in.hedgeBudget.RecordSuccess(in.sim.now)
		in.checkBody(ca, re.Attempt, ca.bodies[re.Attempt])
	case call.OutcomeNotRun:
		if in.sim.wasExecuted(ca.id()) {
			in.sim.fail(invariantNotRun, "call %s, result %v", ca.name(), re.Result)
		}
	}
}

// checkBody fails the run unless a response body is that of an execution of the call
// or, for a keyed call, of the first execution with its key.
func (in *ingress) checkBody(ca *callState, id host.AttemptID, body int) {
	if body == 0 || body != in.sim.bodyOf(id) {
		in.sim.fail(invariantOwnResponse, "call %s got %d of %s", ca.name(), body, id)
	}
	if ca.key == "" {
		if !sameCall(id, ca.id()) {
			in.sim.fail(invariantOwnResponse, "call %s got the response of %s", ca.name(), id)
		}
		return
	}
	for _, ex := range in.sim.executions {
		if ex.key == ca.key && ex.body != body {
			in.sim.fail(invariantFirstResponse, "call %s got %d, the first was %d", ca.name(), body, ex.body)
		}
	}
}

func (in *ingress) answerFromRow(ca *callState, an keyed.AnswerFromRow) {
	ca.responded = true
	ca.result = call.Result{Outcome: call.OutcomeRan}
	in.checkBody(ca, an.Row.Attempt, in.sim.table.rows[ca.key].body)
	if an.Row.Digest != ca.digest {
		in.sim.fail(invariantOwnResponse, "call %s got the response to another request", ca.name())
	}
}

// randomCall returns a random call of the present incarnation, or nil.
func (in *ingress) randomCall() *callState {
	if len(in.calls) == 0 {
		return nil
	}
	return in.calls[in.sim.src.intn(len(in.calls))]
}

// loseLink reports the silence or the loss of the link of a random open attempt to its call.
func (in *ingress) loseLink() {
	ca := in.randomCall()
	if ca == nil || len(ca.openAttempts) == 0 || in.paused {
		return
	}
	id := ca.openAttempts[in.sim.src.intn(len(ca.openAttempts))]
	if ca.key == "" && in.sim.chance(2) {
		in.step(ca, call.LinkSilent{Attempt: id})
		return
	}
	in.step(ca, call.LinkLost{Attempt: id})
}

// failQuery fails an open query of a random call.
func (in *ingress) failQuery() {
	ca := in.randomCall()
	if ca == nil || len(ca.queries) == 0 || in.paused {
		return
	}
	id := ca.queries[0]
	ca.queries = ca.queries[1:]
	in.step(ca, call.QueryFailed{Attempt: id})
}

// callerGone disconnects the caller of a random call.
func (in *ingress) callerGone() {
	if ca := in.randomCall(); ca != nil && !in.paused {
		ca.responded = true
		in.step(ca, call.CallerGone{})
	}
}

// checkResults fails the run if an attempt ran of a call that was reported as not
// run.
func (in *ingress) checkResults() {
	for _, ca := range append(in.earlierCalls, in.calls...) {
		if ca.result.Outcome == call.OutcomeNotRun && in.sim.wasExecuted(ca.id()) {
			in.sim.fail(invariantNotRun, "call %s ran after the result %v", ca.name(), ca.result)
		}
	}
}
