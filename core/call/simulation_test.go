package call_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"lynxfold/core/call"
	"lynxfold/core/call/keyed"
	"lynxfold/core/host"
	"lynxfold/testkit"
)

// events enables the event log of violations.
var events = flag.Bool("events", false, "log the events of a run that violates an invariant")

func TestMain(m *testing.M) { testkit.Main(m) }

// rapidSource draws choices from rapid.
type rapidSource struct {
	t *rapid.T
}

func (rs rapidSource) intn(n int) int { return rapid.IntRange(0, n-1).Draw(rs.t, "choice") }

// seedSource draws choices from a seed.
type seedSource struct {
	rnd *rand.Rand
}

func (ss seedSource) intn(n int) int { return ss.rnd.IntN(n) }

// steps is the number of random steps of a run.
const steps = 300

// run makes one random run and returns the invariant that it violates, or nil.
func run(src randomSource, mu mutations) *violation {
	sm := newSimulation(src, mu)
	for range steps {
		sm.randomStep()
		if sm.violation != nil {
			break
		}
	}
	if sm.violation == nil {
		sm.completeAll()
	}
	if sm.violation != nil {
		sm.violation.lines = sm.lines
	}
	return sm.violation
}

// randomStep makes one random step.
func (sm *simulation) randomStep() {
	in := sm.nodes[sm.src.intn(len(sm.nodes))]
	ga := sm.gates[sm.src.intn(len(sm.gates))]
	switch at := sm.src.intn(32); {
	case at < 14:
		sm.deliver(sm.takeMessage())
	case at < 18:
		ga.progressOne()
	case at < 20:
		sm.advance(time.Duration(1+sm.src.intn(40)) * time.Millisecond)
	case at < 22:
		sm.beginAt(in)
	case at < 25:
		ga.announce(sm.now)
	case at < 26:
		sm.loseMessage()
	case at < 27:
		sm.duplicateMessage()
	case at < 28:
		in.loseLink()
	case at < 29:
		in.failQuery()
	case at < 30:
		ga.endOrphan()
	default:
		sm.rareStep(in, ga)
	}
}

// rareStep makes one of the steps that happen rarely.
func (sm *simulation) rareStep(in *ingress, ga *gateProcess) {
	switch sm.src.intn(11) {
	case 0, 9:
		ga.restart()
		if sm.chance(2) {
			sm.advance(announceLag + time.Duration(sm.src.intn(2))*time.Millisecond)
			ga.announce(sm.now)
			in.knownUpstreams = sm.view()
		}
	case 1:
		in.restart()
	case 2:
		in.callerGone()
	case 3:
		in.paused = true
	case 4:
		in.resume()
	case 5:
		sm.advance(time.Duration(1+sm.src.intn(4)) * time.Second)
	case 6:
		in.knownUpstreams = sm.view()
	case 7:
		ga.draining = !ga.draining
	case 8:
		sm.table.down = sm.chance(3)
	case 10:
		if sm.chance(3) {
			ga.drain()
		}
	}
}

// beginAt starts a call of one of three kinds.
func (sm *simulation) beginAt(in *ingress) {
	if in.paused {
		return
	}
	switch sm.src.intn(3) {
	case 0:
		in.begin(true)
	case 1:
		in.begin(false)
	case 2:
		digest := keyed.Digest("d")
		if sm.chance(6) {
			digest = "other"
		}
		in.beginKeyed(fmt.Sprintf("key-%d", sm.src.intn(3)), digest)
	}
}

// TestInvariants checks gates and calls under lost, delayed, duplicated and
// reordered messages, cancels, restarts, pauses and a table that loses replies.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		if vi := run(rapidSource{t: rt}, mutations{}); vi != nil {
			rt.Fatalf("%s: %s\n%s", vi.invariant, vi.detail, strings.Join(vi.lines, "\n"))
		}
	})
}

// seeds is the number of runs within which a mutation must violate an invariant.
const seeds = 4000

// assertViolates checks that mutations violate an invariant, and that the first one
// violated is among those wanted.
func assertViolates(t *testing.T, mu mutations, want ...invariant) {
	t.Helper()
	for seed := range uint64(seeds) {
		vi := run(seedSource{rnd: rand.New(rand.NewPCG(seed, 1))}, mu)
		if vi == nil {
			continue
		}
		for _, iv := range want {
			if vi.invariant == iv {
				t.Logf("seed %d: %s: %s", seed, vi.invariant, vi.detail)
				return
			}
		}
		t.Fatalf("seed %d violated another invariant: %s: %s", seed, vi.invariant, vi.detail)
	}
	t.Fatalf("none of %d runs violated %v", seeds, want)
}

// mutatedGate is a gate whose events and actions are changed.
type mutatedGate struct {
	*host.Gate
	event  func(ev host.Event) host.Event
	action func(ac host.Action) host.Action
}

// Step implements gateStepper.
func (mg mutatedGate) Step(ev host.Event, now time.Time) []host.Action {
	if mg.event != nil {
		ev = mg.event(ev)
	}
	acts := mg.Gate.Step(ev, now)
	if mg.action != nil {
		for i, ac := range acts {
			acts[i] = mg.action(ac)
		}
	}
	return acts
}

// mutatedCall is a call whose events and actions are changed.
type mutatedCall struct {
	callStepper
	event  func(ev any) any
	action func(ac any) any
}

// Step implements callStepper.
func (mc mutatedCall) Step(ev any, now time.Time) []any {
	if mc.event != nil {
		ev = mc.event(ev)
	}
	acts := mc.callStepper.Step(ev, now)
	if mc.action != nil {
		for i, ac := range acts {
			acts[i] = mc.action(ac)
		}
	}
	return acts
}

func mutateCallEvents(change func(ev any) any) mutations {
	return mutations{call: func(ca callStepper) callStepper {
		return mutatedCall{callStepper: ca, event: change}
	}}
}

func mutateGateEvents(change func(ev host.Event) host.Event) mutations {
	return mutations{gate: func(ga *host.Gate) gateStepper {
		return mutatedGate{Gate: ga, event: change}
	}}
}

// TestInvariantsDetectMutations checks that the invariants detect faults: each
// mutation must violate one of those that it names.
func TestInvariantsDetectMutations(t *testing.T) {
	t.Run("unknown fate treated as not run", func(t *testing.T) {
		assertViolates(t, mutateCallEvents(func(ev any) any {
			if qr, ok := ev.(call.QueryResult); ok && qr.Fate.Outcome() == host.OutcomeUnknown {
				qr.Fate = host.FateNeverSeen
				return qr
			}
			return ev
		}), invariantAtMostOnce, invariantNotRun)
	})
	t.Run("lost attempt treated as not run", func(t *testing.T) {
		assertViolates(t, mutateCallEvents(func(ev any) any {
			if ll, ok := ev.(call.LinkLost); ok {
				return call.AttemptEnded{
					Attempt: ll.Attempt,
					Result:  call.Result{Outcome: call.OutcomeNotRun, Reason: call.ReasonLinkLost},
				}
			}
			return ev
		}), invariantAtMostOnce, invariantNotRun)
	})
	t.Run("query without tombstone", func(t *testing.T) {
		assertViolates(t, mutations{gate: func(ga *host.Gate) gateStepper { return &gateWithoutTombstones{Gate: ga} }},
			invariantAtMostOnce, invariantNotRun)
	})
	t.Run("gate with one slot too many", func(t *testing.T) {
		assertViolates(t, mutateGateEvents(func(ev host.Event) host.Event {
			if an, ok := ev.(host.Announced); ok {
				an.Announcement.Slots++
				an.Announcement.Connections++
				return an
			}
			return ev
		}), invariantSlots)
	})
	t.Run("calls of the previous incarnation ignored", func(t *testing.T) {
		assertViolates(t, mutateGateEvents(func(ev host.Event) host.Event {
			if an, ok := ev.(host.Announced); ok {
				an.Announcement.InFlight = 0
				return an
			}
			return ev
		}), invariantSlots)
	})
	t.Run("cancelled call releases its slot at once", func(t *testing.T) {
		assertViolates(t, mutateGateEvents(func(ev host.Event) host.Event {
			if en, ok := ev.(host.Ended); ok {
				en.MayStillRun = false
				return en
			}
			return ev
		}), invariantSlots)
	})
	t.Run("drain of the node ignored", func(t *testing.T) {
		assertViolates(t, mutateGateEvents(func(ev host.Event) host.Event {
			if _, ok := ev.(host.Drain); ok {
				return host.Tick{}
			}
			return ev
		}), invariantDrain)
	})
	t.Run("drain of the upstream ignored", func(t *testing.T) {
		assertViolates(t, mutateGateEvents(func(ev host.Event) host.Event {
			if an, ok := ev.(host.Announced); ok && an.Announcement.State == host.StateDraining {
				an.Announcement.State = host.StateReady
				return an
			}
			return ev
		}), invariantDrain)
	})
	t.Run("budget never exhausted", func(t *testing.T) {
		assertViolates(t, mutations{budget: func(call.Spender) call.Spender { return unlimitedBudget{} }}, invariantBudget)
	})
	t.Run("call without timers", func(t *testing.T) {
		assertViolates(t, mutateCallEvents(func(ev any) any {
			if _, ok := ev.(call.Tick); ok {
				return call.QueryFailed{}
			}
			return ev
		}), invariantDeadline)
	})
	t.Run("response of another attempt", func(t *testing.T) {
		assertViolates(t, mutations{call: func(ca callStepper) callStepper {
			return mutatedCall{callStepper: ca, action: func(ac any) any {
				if re, ok := ac.(call.Respond); ok && re.Result.Outcome == call.OutcomeRan {
					re.Attempt += "x"
					return re
				}
				return ac
			}}
		}}, invariantOwnResponse)
	})
	t.Run("unknown or conflicting table result treated as success", func(t *testing.T) {
		assertViolates(t, mutations{row: func(ev rowResult) rowResult {
			if ev.Status == keyed.OpInDoubt || ev.Status == keyed.OpConflict {
				ev.Status = keyed.OpDone
			}
			return ev
		}}, invariantAtMostOnce, invariantFirstResponse, invariantNotRun, invariantOwnResponse)
	})
}

// gateWithoutTombstones answers a query about an unknown attempt with
// host.FateNeverSeen, but records no tombstone for it.
type gateWithoutTombstones struct {
	*host.Gate
	seen map[host.AttemptID]bool
}

// Step implements gateStepper.
func (gt *gateWithoutTombstones) Step(ev host.Event, now time.Time) []host.Action {
	if gt.seen == nil {
		gt.seen = map[host.AttemptID]bool{}
	}
	switch ev := ev.(type) {
	case host.Arrived:
		gt.seen[ev.Attempt.ID] = true
	case host.Queried:
		if !gt.seen[ev.ID] {
			return []host.Action{host.AnswerQuery{Query: ev.Query, ID: ev.ID, Fate: host.FateNeverSeen}}
		}
	}
	return gt.Gate.Step(ev, now)
}

// TestRunCoverage checks that random runs reach all fates and outcomes, and the
// reasons that matter, so that the invariants do not hold merely because nothing
// happens.
func TestRunCoverage(t *testing.T) {
	outcomes := map[host.Outcome]int{}
	reasons := map[host.Reason]int{}
	fates := map[host.Fate]int{}
	executions, writes := 0, 0
	for seed := range uint64(300) {
		sm := newSimulation(seedSource{rnd: rand.New(rand.NewPCG(seed, 2))}, mutations{})
		for range steps {
			sm.randomStep()
		}
		sm.completeAll()
		assert.Assert(t, sm.violation == nil, "%v", sm.violation)
		executions += len(sm.executions)
		writes += sm.table.writes
		for fa, n := range sm.fates {
			fates[fa] += n
		}
		for _, in := range sm.nodes {
			for _, ca := range append(in.earlierCalls, in.calls...) {
				outcomes[ca.result.Outcome]++
				reasons[ca.result.Reason]++
			}
		}
	}
	for _, fa := range []host.Fate{
		host.FateUnknown, host.FateNeverSeen, host.FateRunning, host.FateFinished,
		host.FateAnswerLost, host.FateBroken, host.FateRefused,
	} {
		assert.Assert(t, fates[fa] > 0, "no query returned %s", fa)
	}
	t.Logf("fates %v", fates)
	t.Logf("outcomes %v reasons %v executions %d writes %d", outcomes, reasons, executions, writes)
	assert.Assert(t, outcomes[host.OutcomeRan] > 300)
	assert.Assert(t, outcomes[host.OutcomeNotRun] > 300)
	assert.Assert(t, outcomes[host.OutcomeUnknown] > 100)
	for _, re := range []host.Reason{
		keyed.ReasonKeyReused, keyed.ReasonInProgress,
		host.ReasonDraining, host.ReasonWrongIncarnation, host.ReasonUpstreamConnect,
	} {
		assert.Assert(t, reasons[re] > 0, "no call ended with %s", re)
	}
}
