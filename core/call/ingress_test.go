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

// rowResult is how an operation on the table ended.
type rowResult = keyed.RowResult

// callStepper is the decisions of a call, keyed or not.
type callStepper interface {
	Step(ev any, now time.Time) []any
	WakeAt() time.Time
}

// plainStepper makes a call.Call a callStepper.
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

// keyedStepper makes a keyed.Call a callStepper.
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
	core       callStepper
	issuer     host.Issuer
	number     uint64
	key        string
	digest     keyed.Digest
	idempotent bool
	deadline   time.Time
	answered   bool
	told       call.Result
	tries      map[host.AttemptID]datacentre.Upstream
	begun      map[host.AttemptID]time.Time
	open       []host.AttemptID
	asks       []host.AttemptID
	bodies     map[host.AttemptID]int
}

func (ca *callState) name() string { return fmt.Sprintf("%v.%d", ca.issuer, ca.number) }

// id is the id of the call's first attempt.
func (ca *callState) id() host.AttemptID {
	return host.Origin{Issuer: ca.issuer, Call: ca.number, Try: 1, Idempotent: ca.idempotent}.ID()
}

// ingress is a node that takes calls.
type ingress struct {
	world       *world
	id          host.ID
	incarnation host.Incarnation
	number      uint64
	calls       []*callState
	ended       []*callState
	chooser     *call.Chooser
	rnd         *rand.Rand
	known       []datacentre.Upstream
	budget      *call.Budget
	hedges      *call.Budget
	retried     int
	hedged      int
	successes   int
	budgetFrom  time.Time
	paused      bool
	inbox       []func()
}

const (
	budgetShare   = 0.2
	budgetFloor   = 0.5
	budgetCeiling = 3
)

func newIngress(wo *world, nth int) *ingress {
	in := &ingress{
		world: wo,
		id:    host.ID(fmt.Sprintf("node-%d", nth)),
		rnd:   rand.New(rand.NewPCG(uint64(wo.src.intn(1<<16)), uint64(nth))),
	}
	in.restart()
	return in
}

// restart replaces the process; its callers see their connections break.
func (in *ingress) restart() {
	in.incarnation++
	in.paused = false
	in.inbox = nil
	in.ended = append(in.ended, in.calls...)
	in.calls = nil
	in.chooser = call.NewChooser(call.ChooserConfig{
		DataCentre: "press-hall",
		Rand:       in.rnd,
	})
	cfg := call.BudgetConfig{
		PerSuccess: budgetShare,
		PerSecond:  budgetFloor,
		Ceiling:    budgetCeiling,
	}
	in.budget = call.NewBudget(cfg)
	in.hedges = call.NewBudget(cfg)
	in.retried, in.hedged, in.successes = 0, 0, 0
	in.budgetFrom = in.world.now
	in.known = in.world.view()
}

// alive tells whether the process is still the one of an incarnation.
func (in *ingress) alive() func() bool {
	inc := in.incarnation
	return func() bool { return in.incarnation == inc }
}

// post runs an event of this process, after its pause when it is paused.
func (in *ingress) post(run func()) {
	if in.paused {
		in.inbox = append(in.inbox, run)
		return
	}
	run()
}

func (in *ingress) resume() {
	in.paused = false
	for _, run := range in.inbox {
		run()
	}
	in.inbox = nil
}

func (in *ingress) PickSpare(tried []host.ID, now time.Time) (datacentre.Upstream, bool) {
	return in.Pick(tried, now)
}

// Pick implements call.Picker.
func (in *ingress) Pick(tried []host.ID, now time.Time) (datacentre.Upstream, bool) {
	up, ok := in.chooser.Pick(service, in.known, tried, now)
	if ok {
		in.chooser.Started(up)
	}
	return up, ok
}

func (in *ingress) spender(sp call.Spender) call.Spender {
	if in.world.standIns.budget != nil {
		return in.world.standIns.budget(sp)
	}
	return sp
}

func (in *ingress) newState() *callState {
	in.number++
	return &callState{
		issuer:   host.Issuer{Host: in.id, Incarnation: in.incarnation},
		number:   in.number,
		deadline: in.world.now.Add(callTimeout),
		tries:    map[host.AttemptID]datacentre.Upstream{},
		begun:    map[host.AttemptID]time.Time{},
		bodies:   map[host.AttemptID]int{},
	}
}

// begin starts a call without a key.
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
		Deadline:   ca.deadline,
		Margin:     5 * time.Millisecond,
		Replayable: true,
		Chooser:    in,
		Budget:     in.spender(in.budget),
		Hedges:     in.spender(in.hedges),
		ComeBack:   100 * time.Millisecond,
		Jitter:     in.rnd.Float64,
	})}
	in.run(ca)
}

// beginKeyed starts a call with a key.
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
		Digest:   digest,
		Deadline: ca.deadline,
		Margin:   5 * time.Millisecond,
		ComeBack: 100 * time.Millisecond,
		Chooser:  in,
		Budget:   in.spender(in.budget),
		Writes:   unlimited{},
		Jitter:   in.rnd.Float64,
	})}
	in.run(ca)
}

func (in *ingress) run(ca *callState) {
	if in.world.standIns.call != nil {
		ca.core = in.world.standIns.call(ca.core)
	}
	in.calls = append(in.calls, ca)
	in.step(ca, call.Begin{})
}

// unlimited grants everything.
type unlimited struct{}

// Spend implements call.Spender.
func (unlimited) Spend(time.Time) bool { return true }

func (in *ingress) step(ca *callState, ev any) {
	in.world.note("%s %T%v", ca.name(), ev, ev)
	for _, ac := range ca.core.Step(ev, in.world.now) {
		in.world.note("%s -> %T%v", ca.name(), ac, ac)
		in.execute(ca, ac)
	}
}

func (in *ingress) execute(ca *callState, ac any) {
	switch ac := ac.(type) {
	case call.Try:
		in.try(ca, ac)
	case call.Ask:
		ca.asks = append(ca.asks, ac.Attempt)
		in.ask(ca, ac)
	case call.Abandon:
		ca.open = slices.DeleteFunc(ca.open, func(id host.AttemptID) bool { return id == ac.Attempt })
		in.cancel(ca, ac.Attempt)
	case call.Answer:
		in.answer(ca, ac)
	case call.Violated:
		in.world.fail(checkInside, "call %s", ca.name())
	case keyed.AnswerFromRow:
		in.answerFromRow(ca, ac)
	case keyed.ReadRow, keyed.CreateRow, keyed.UpdateRow:
		in.world.table.request(in, ca, ac)
	}
}

// gate finds the process on a host.
func (in *ingress) gate(id host.ID) *gateProcess {
	for _, ga := range in.world.gates {
		if ga.id == id {
			return ga
		}
	}
	return nil
}

func (in *ingress) try(ca *callState, tr call.Try) {
	in.countRetry(tr)
	ca.tries[tr.Attempt] = tr.Upstream
	ca.begun[tr.Attempt] = in.world.now
	ca.open = append(ca.open, tr.Attempt)
	ga := in.gate(tr.Upstream.Host)
	at := host.Attempt{
		ID:          tr.Attempt,
		Incarnation: tr.Upstream.Incarnation,
		Service:     service,
		Class:       contract.ClassLookup,
		Deadline:    tr.Deadline,
	}
	if in.world.chance(4) {
		at.Class = contract.ClassBulk
	}
	answer := in.replyTo(ca, tr.Attempt)
	// What is written to a connection goes to one process, once or twice. An
	// idempotent attempt is written once: gates don't remember it after its end.
	in.world.send(&message{
		deliver: func() { ga.arrive(at, ca.key, answer) },
		alive:   ga.alive(ga.incarnation),
		lossy:   true,
		single:  ca.idempotent,
	})
}

// replyTo sends an attempt's end back to its call.
func (in *ingress) replyTo(ca *callState, id host.AttemptID) func(re reply) {
	alive := in.alive()
	return func(re reply) {
		in.world.send(&message{
			deliver: func() { in.post(func() { in.attemptEnded(ca, id, re) }) },
			alive:   alive,
			lossy:   true,
		})
	}
}

func (in *ingress) attemptEnded(ca *callState, id host.AttemptID, re reply) {
	if !slices.Contains(ca.open, id) {
		return
	}
	ca.open = slices.DeleteFunc(ca.open, func(it host.AttemptID) bool { return it == id })
	if re.outcome == host.OutcomeRan {
		ca.bodies[id] = re.body
	}
	rs := call.Result{
		Outcome: re.outcome,
		Reason:  re.reason,
		Status:  re.status,
	}
	in.chooser.Ended(ca.tries[id], call.Observation{
		Result:       rs,
		Latency:      in.world.now.Sub(ca.begun[id]),
		LoadPermille: 500,
		HasLoad:      true,
	}, in.world.now)
	in.step(ca, call.AttemptEnded{
		Attempt: id,
		Result:  rs,
	})
}

// countRetry compares further attempts with an account of its own.
func (in *ingress) countRetry(tr call.Try) {
	switch tr.Reason {
	case call.RetryStatus, call.RetryNotRun, call.RetryUnknown:
		in.retried++
	case call.RetryHedge:
		in.hedged++
	}
	granted := budgetCeiling + budgetShare*float64(in.successes) +
		budgetFloor*in.world.now.Sub(in.budgetFrom).Seconds()
	if float64(max(in.retried, in.hedged)) > granted {
		in.world.fail(checkBudget, "%d retries, %d hedges, %.1f granted", in.retried, in.hedged, granted)
	}
}

func (in *ingress) ask(ca *callState, as call.Ask) {
	ga := in.gate(as.Upstream.Host)
	tell := in.tellTo(ca, as.Attempt)
	in.world.send(&message{
		deliver: func() {
			ga.ask(host.Asked{
				ID:          as.Attempt,
				Incarnation: as.Upstream.Incarnation,
				WaitUntil:   as.WaitUntil,
			}, tell)
		},
		alive: ga.alive(ga.incarnation),
		lossy: true,
	})
}

func (in *ingress) tellTo(ca *callState, id host.AttemptID) func(te host.Tell, body int) {
	alive := in.alive()
	return func(te host.Tell, body int) {
		in.world.send(&message{
			deliver: func() { in.post(func() { in.told(ca, id, te, body) }) },
			alive:   alive,
			lossy:   true,
		})
	}
}

func (in *ingress) told(ca *callState, id host.AttemptID, te host.Tell, body int) {
	at := slices.Index(ca.asks, id)
	if at < 0 {
		return
	}
	ca.asks = slices.Delete(ca.asks, at, at+1)
	in.world.fates[te.Fate]++
	if te.Fate == host.FateFinished {
		ca.bodies[id] = body
	}
	in.step(ca, call.Verdict{
		Attempt: id,
		Fate:    te.Fate,
		Result: call.Result{
			Reason: te.Reason,
			Status: 200,
		},
	})
}

func (in *ingress) cancel(ca *callState, id host.AttemptID) {
	ga := in.gate(ca.tries[id].Host)
	in.world.send(&message{
		deliver: func() { ga.step(host.Cancelled{ID: id}) },
		alive:   ga.alive(ga.incarnation),
		lossy:   true,
	})
}

func (in *ingress) answer(ca *callState, an call.Answer) {
	ca.answered = true
	ca.told = an.Result
	switch an.Result.Outcome {
	case call.OutcomeRan:
		in.successes++
		in.budget.Succeeded(in.world.now)
		in.hedges.Succeeded(in.world.now)
		in.checkBody(ca, an.Attempt, ca.bodies[an.Attempt])
	case call.OutcomeNotRun:
		if in.world.inLedger(ca.id()) {
			in.world.fail(checkNotRun, "call %s, told %v", ca.name(), an.Result)
		}
	}
}

// checkBody compares an answer with what ran for the call or its key.
func (in *ingress) checkBody(ca *callState, id host.AttemptID, body int) {
	if body == 0 || body != in.world.bodyOf(id) {
		in.world.fail(checkOwn, "call %s got %d of %s", ca.name(), body, id)
	}
	if ca.key == "" {
		if !sameCall(id, ca.id()) {
			in.world.fail(checkOwn, "call %s got the answer of %s", ca.name(), id)
		}
		return
	}
	for _, le := range in.world.ledger {
		if le.key == ca.key && le.body != body {
			in.world.fail(checkFirst, "call %s got %d, the first was %d", ca.name(), body, le.body)
		}
	}
}

func (in *ingress) answerFromRow(ca *callState, an keyed.AnswerFromRow) {
	ca.answered = true
	ca.told = call.Result{Outcome: call.OutcomeRan}
	in.checkBody(ca, an.Row.Attempt, in.world.table.rows[ca.key].body)
	if an.Row.Digest != ca.digest {
		in.world.fail(checkOwn, "call %s got the answer of another request", ca.name())
	}
}

// randomCall returns one of the calls under way, or nil.
func (in *ingress) randomCall() *callState {
	if len(in.calls) == 0 {
		return nil
	}
	return in.calls[in.world.src.intn(len(in.calls))]
}

// linkLost breaks the lane of an open attempt.
func (in *ingress) linkLost() {
	ca := in.randomCall()
	if ca == nil || len(ca.open) == 0 || in.paused {
		return
	}
	in.step(ca, call.LinkLost{Attempt: ca.open[in.world.src.intn(len(ca.open))]})
}

func (in *ingress) askFailed() {
	ca := in.randomCall()
	if ca == nil || len(ca.asks) == 0 || in.paused {
		return
	}
	id := ca.asks[0]
	ca.asks = ca.asks[1:]
	in.step(ca, call.AskFailed{Attempt: id})
}

func (in *ingress) callerGone() {
	if ca := in.randomCall(); ca != nil && !in.paused {
		ca.answered = true
		in.step(ca, call.CallerGone{})
	}
}

// checkTold compares all that was told with the ledger.
func (in *ingress) checkTold() {
	for _, ca := range append(in.ended, in.calls...) {
		if ca.told.Outcome == call.OutcomeNotRun && in.world.inLedger(ca.id()) {
			in.world.fail(checkNotRun, "call %s ran after it was told %v", ca.name(), ca.told)
		}
	}
}
