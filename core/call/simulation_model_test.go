package call_test

import (
	"fmt"
	"time"

	"lynxfold/core/call"
	"lynxfold/core/contract"
	"lynxfold/core/datacentre"
	"lynxfold/core/host"
)

// randomSource makes the random choices of a run.
type randomSource interface {
	// intn returns a number in [0, n).
	intn(n int) int
}

// invariant describes a property that must hold in every run.
type invariant string

// Invariants that every run checks.
const (
	invariantAtMostOnce    invariant = "a non-idempotent call runs at most once"
	invariantNotRun        invariant = "a call that ran is never reported as not_run"
	invariantOwnResponse   invariant = "a caller gets the response to its own request"
	invariantSlots         invariant = "an upstream never runs more calls than it has slots"
	invariantBudget        invariant = "retries and hedged requests stay within the budget"
	invariantDeadline      invariant = "a call ends by its deadline"
	invariantMemory        invariant = "the gate's memory stays bounded"
	invariantFirstResponse invariant = "a repeated keyed call gets the first response"
	invariantDrain         invariant = "a draining gate dispatches nothing after the grace period"
	invariantInternal      invariant = "the state machines detect no violation of their own"
)

// violation is the first violation of an invariant in a run.
type violation struct {
	invariant invariant
	detail    string
	// lines are the logged events if the -events flag is set.
	lines []string
}

// gateStepper is the state machine of a gate, possibly mutated.
type gateStepper interface {
	Step(ev host.Event, now time.Time) []host.Action
}

// mutations introduce faults into the state machines, to show that the invariants
// detect them.
type mutations struct {
	gate   func(ga *host.Gate) gateStepper
	call   func(ca callStepper) callStepper
	budget func(sp call.Spender) call.Spender
	// row changes the results of table operations.
	row func(ev rowResult) rowResult
}

// Parameters of the simulation; maxEntries and keepFor apply to a gate's records of
// attempts, and answerBytes is the size of a response that it keeps.
const (
	service     contract.ServiceName = "booking"
	announceLag                      = 200 * time.Millisecond
	keepFor                          = 2 * time.Second
	callTimeout                      = time.Second
	maxEntries                       = 12
	answerBytes                      = 100
)

// message is a message in transit, which may be delayed, lost or duplicated.
type message struct {
	deliver func()
	// alive reports whether the connection that carries the message is open.
	alive func() bool
	// lossy messages may be lost.
	lossy bool
	// neverDuplicated messages are delivered at most once.
	neverDuplicated bool
}

// execution is an attempt that an upstream ran.
type execution struct {
	attempt host.AttemptID
	key     string
	body    int
}

// simulation runs a few hosts, their callers and a table in memory.
type simulation struct {
	src        randomSource
	mutations  mutations
	now        time.Time
	start      time.Time
	gates      []*gateProcess
	nodes      []*ingress
	messages   []*message
	executions []execution
	table      table
	// fates counts the answers to queries.
	fates     map[host.Fate]int
	violation *violation
	lines     []string
}

func newSimulation(src randomSource, mu mutations) *simulation {
	sm := &simulation{
		src:       src,
		mutations: mu,
		now:       time.Unix(1_000_000, 0),
		fates:     map[host.Fate]int{},
	}
	sm.start = sm.now
	sm.table.rows = map[string]tableRow{}
	for i := range 2 + src.intn(2) {
		sm.gates = append(sm.gates, newGateProcess(sm, i))
	}
	for i := range 2 {
		sm.nodes = append(sm.nodes, newIngress(sm, i))
	}
	return sm
}

// fail records a violation if it is the first one.
func (sm *simulation) fail(iv invariant, format string, args ...any) {
	if sm.violation == nil {
		sm.logEvent("violated: %s", iv)
		sm.violation = &violation{
			invariant: iv,
			detail:    fmt.Sprintf(format, args...),
		}
	}
}

// logEvent records a line if the -events flag is set.
func (sm *simulation) logEvent(format string, args ...any) {
	if *events {
		sm.lines = append(sm.lines, sm.now.Sub(sm.start).String()+" "+fmt.Sprintf(format, args...))
	}
}

// chance reports true with a probability of one in n.
func (sm *simulation) chance(n int) bool { return sm.src.intn(n) == 0 }

func (sm *simulation) send(me *message) { sm.messages = append(sm.messages, me) }

// takeMessage removes and returns a random message, or nil if there is none.
func (sm *simulation) takeMessage() *message {
	if len(sm.messages) == 0 {
		return nil
	}
	at := sm.src.intn(len(sm.messages))
	me := sm.messages[at]
	sm.messages = append(sm.messages[:at], sm.messages[at+1:]...)
	return me
}

func (sm *simulation) deliver(me *message) {
	if me != nil && me.alive() {
		me.deliver()
	}
}

// duplicateMessage sends a random message again.
func (sm *simulation) duplicateMessage() {
	if len(sm.messages) == 0 {
		return
	}
	if me := sm.messages[sm.src.intn(len(sm.messages))]; !me.neverDuplicated {
		sm.send(me)
	}
}

// loseMessage drops a random message if it may be lost.
func (sm *simulation) loseMessage() {
	me := sm.takeMessage()
	if me != nil && !me.lossy {
		sm.send(me)
	}
}

// advance moves the clock. It runs the timers of calls when they are due, and those
// of gates at the end.
func (sm *simulation) advance(by time.Duration) {
	to := sm.now.Add(by)
	for range 10_000 {
		next, ok := sm.nextWake(to)
		if !ok {
			break
		}
		sm.now = next
		sm.wake()
	}
	sm.now = to
	sm.wake()
	for _, ga := range sm.gates {
		ga.expire()
		ga.step(host.Tick{})
	}
	sm.checkDeadlines()
}

// nextWake returns the earliest time, before to, at which a timer of a call is due.
func (sm *simulation) nextWake(to time.Time) (time.Time, bool) {
	next, found := to, false
	for _, in := range sm.nodes {
		for _, ca := range in.calls {
			at := ca.core.WakeAt()
			if in.paused || at.IsZero() || !at.Before(next) {
				continue
			}
			next, found = at, true
		}
	}
	if next.Before(sm.now) {
		next = sm.now
	}
	return next, found
}

// wake runs the timers of calls that are due.
func (sm *simulation) wake() {
	for _, in := range sm.nodes {
		if in.paused {
			continue
		}
		for _, ca := range in.calls {
			at := ca.core.WakeAt()
			if !at.IsZero() && !sm.now.Before(at) {
				in.step(ca, call.Tick{})
			}
		}
	}
}

// checkDeadlines fails the run if a call is past its deadline without a response.
func (sm *simulation) checkDeadlines() {
	for _, in := range sm.nodes {
		for _, ca := range in.calls {
			if !in.paused && !ca.responded && !sm.now.Before(ca.deadline) {
				sm.fail(invariantDeadline, "call %s", ca.name())
			}
		}
	}
}

// recordExecution records that an upstream begins to run an attempt, and returns
// the response body.
func (sm *simulation) recordExecution(id host.AttemptID, key string) int {
	body := len(sm.executions) + 1
	sm.executions = append(sm.executions, execution{
		attempt: id,
		key:     key,
		body:    body,
	})
	or, _ := id.Origin()
	if or.Idempotent {
		return body
	}
	runs := 0
	for _, ex := range sm.executions {
		if sameCall(ex.attempt, id) || key != "" && ex.key == key {
			runs++
		}
	}
	if runs > 1 {
		sm.fail(invariantAtMostOnce, "attempt %s key %q ran as number %d", id, key, runs)
	}
	return body
}

// sameCall reports whether two attempts are of the same call.
func sameCall(a, b host.AttemptID) bool {
	oa, _ := a.Origin()
	ob, _ := b.Origin()
	return oa.Issuer == ob.Issuer && oa.Call == ob.Call
}

// wasExecuted reports whether an attempt of the same call ran.
func (sm *simulation) wasExecuted(id host.AttemptID) bool {
	for _, ex := range sm.executions {
		if sameCall(ex.attempt, id) {
			return true
		}
	}
	return false
}

// bodyOf returns the response body of an attempt, or 0 if it did not run.
func (sm *simulation) bodyOf(id host.AttemptID) int {
	for _, ex := range sm.executions {
		if ex.attempt == id {
			return ex.body
		}
	}
	return 0
}

// view returns the upstreams with the current incarnations of their gates.
func (sm *simulation) view() []datacentre.Upstream {
	var all []datacentre.Upstream
	for _, ga := range sm.gates {
		all = append(all, datacentre.Upstream{
			Host:        ga.id,
			DataCentre:  "press-hall",
			Incarnation: ga.incarnation,
			Service:     service,
			Slots:       host.Slots(ga.slots),
		})
	}
	return all
}

// completeAll delivers messages and moves the clock until all calls have ended, and
// checks their results.
func (sm *simulation) completeAll() {
	for _, in := range sm.nodes {
		in.resume()
	}
	for range 30 {
		for len(sm.messages) > 0 {
			sm.deliver(sm.takeMessage())
		}
		for _, ga := range sm.gates {
			ga.progressAll()
		}
		sm.advance(200 * time.Millisecond)
	}
	for _, in := range sm.nodes {
		in.checkResults()
	}
}
