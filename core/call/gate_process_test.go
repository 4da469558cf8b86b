package call_test

import (
	"fmt"
	"slices"
	"time"

	"lynxfold/core/host"
)

// drainGrace is the time for which a draining gate still dispatches attempts.
const drainGrace = 100 * time.Millisecond

// upstreamRun is a call that an upstream runs, whether or not a gate waits for it.
type upstreamRun struct {
	attempt  host.AttemptID
	deadline time.Time
}

// job is an attempt that arrived at a gate and has not ended.
type job struct {
	attempt     host.Attempt
	key         string
	started     bool
	interrupted bool
	// run is nil until the gate dispatches the attempt.
	run   *upstreamRun
	body  int
	reply func(re reply)
}

// reply is the result of an attempt as sent to its ingress.
type reply struct {
	outcome host.Outcome
	reason  host.Reason
	status  int
	body    int
}

// gateProcess simulates the process of a gate, and its upstream.
type gateProcess struct {
	sim         *simulation
	id          host.ID
	incarnation host.Incarnation
	slots       int
	connections int
	draining    bool
	// nodeDrainEnd and upstreamDrainEnd are the times from which the gate must not
	// dispatch because the node or its upstream drains; zero if it does not.
	nodeDrainEnd     time.Time
	upstreamDrainEnd time.Time
	gate             *host.Gate
	// core is the gate, possibly mutated.
	core       gateStepper
	jobs       map[host.AttemptID]*job
	keptBodies map[host.AttemptID]int
	// queries holds the functions that send the answers to open queries.
	queries   map[host.QueryID]func(aq host.AnswerQuery, body int)
	lastQuery host.QueryID
	// running holds the calls that the upstream runs.
	running []*upstreamRun
	// arrivalReply replies to the attempt that is being handled.
	arrivalReply func(re reply)
}

func newGateProcess(sm *simulation, nth int) *gateProcess {
	ga := &gateProcess{
		sim:   sm,
		id:    host.ID(fmt.Sprintf("host-%d", nth)),
		slots: 1 + sm.src.intn(3),
	}
	ga.connections = ga.slots + sm.src.intn(2) - sm.src.intn(2)
	ga.connections = max(1, ga.connections)
	ga.restart()
	sm.now = sm.now.Add(announceLag + time.Millisecond)
	ga.announce(sm.now)
	return ga
}

// restart starts a new incarnation of the process; the upstream keeps running its
// calls.
func (ga *gateProcess) restart() {
	ga.incarnation++
	ga.nodeDrainEnd, ga.upstreamDrainEnd = time.Time{}, time.Time{}
	ga.gate = host.NewGate(host.Config{
		Incarnation:       ga.incarnation,
		QueuePerSlot:      2,
		DefaultRetryAfter: 50 * time.Millisecond,
		DrainGrace:        drainGrace,
		AnnounceLag:       announceLag,
		MaxCallTimeout:    callTimeout,
		Ledger: host.LedgerConfig{
			KeepFor:        keepFor,
			MaxEntries:     maxEntries,
			MaxAnswerBytes: 3 * answerBytes,
		},
	})
	ga.core = ga.gate
	if ga.sim.mutations.gate != nil {
		ga.core = ga.sim.mutations.gate(ga.gate)
	}
	ga.jobs = map[host.AttemptID]*job{}
	ga.keptBodies = map[host.AttemptID]int{}
	ga.queries = map[host.QueryID]func(aq host.AnswerQuery, body int){}
	ga.step(host.Tick{})
}

// announce sends the state of the upstream as sampled at a time. The gate receives it
// within announceLag of that or not at all.
func (ga *gateProcess) announce(sampled time.Time) {
	an := host.Announcement{
		Service:     service,
		Address:     "127.0.0.1:1",
		Slots:       host.Slots(ga.slots),
		Connections: ga.connections,
		InFlight:    len(ga.running),
	}
	if ga.draining {
		an.State = host.StateDraining
	}
	ga.sim.send(&message{
		deliver: func() {
			if ga.sim.now.Sub(sampled) <= announceLag {
				ga.recordState(an.State)
				ga.step(host.Announced{
					Announcement: an,
					ExpiresAt:    ga.sim.now.Add(time.Second),
				})
			}
		},
		alive: func() bool { return true },
		lossy: true,
	})
}

// recordState records the announced state of the upstream.
func (ga *gateProcess) recordState(st host.State) {
	switch {
	case st != host.StateDraining:
		ga.upstreamDrainEnd = time.Time{}
	case ga.upstreamDrainEnd.IsZero():
		ga.upstreamDrainEnd = ga.sim.now.Add(drainGrace)
	}
}

// drain drains the node.
func (ga *gateProcess) drain() {
	if ga.nodeDrainEnd.IsZero() {
		ga.nodeDrainEnd = ga.sim.now.Add(drainGrace)
	}
	ga.step(host.Drain{RefuseFrom: ga.sim.now.Add(drainGrace)})
}

// checkDrain fails the run if an attempt is dispatched after the drain grace period.
func (ga *gateProcess) checkDrain(id host.AttemptID) {
	for _, ends := range []time.Time{ga.nodeDrainEnd, ga.upstreamDrainEnd} {
		if !ends.IsZero() && !ga.sim.now.Before(ends) {
			ga.sim.fail(invariantDrain, "%s dispatched %s", ga.id, id)
		}
	}
}

// alive returns a function that reports whether the process still has the
// incarnation.
func (ga *gateProcess) alive(inc host.Incarnation) func() bool {
	return func() bool { return ga.incarnation == inc }
}

func (ga *gateProcess) step(ev host.Event) {
	ga.sim.logEvent("%s.%d %T%v", ga.id, ga.incarnation, ev, ev)
	for _, ac := range slices.Clone(ga.core.Step(ev, ga.sim.now)) {
		ga.sim.logEvent("%s.%d -> %T%v", ga.id, ga.incarnation, ac, ac)
		ga.execute(ac)
	}
	if ga.gate.LedgerEntries() > maxEntries+1 || ga.gate.KeptBytes() > 3*answerBytes {
		ga.sim.fail(invariantMemory, "%d entries, %d bytes", ga.gate.LedgerEntries(), ga.gate.KeptBytes())
	}
}

func (ga *gateProcess) execute(ac host.Action) {
	switch ac := ac.(type) {
	case host.Dispatch:
		ga.checkDrain(ac.ID)
	case host.Refuse:
		ga.end(ac.ID, reply{outcome: host.OutcomeNotRun, reason: ac.Reason})
	case host.RefuseArrival:
		re := reply{outcome: host.OutcomeUnknown, reason: ac.Reason}
		if ac.NotRun {
			re.outcome = host.OutcomeNotRun
		}
		ga.arrivalReply(re)
	case host.Interrupt:
		if jo := ga.jobs[ac.ID]; jo != nil {
			jo.interrupted = true
		}
	case host.AnswerQuery:
		if respond := ga.queries[ac.Query]; respond != nil {
			delete(ga.queries, ac.Query)
			respond(ac, ga.keptBodies[ac.ID])
		}
	case host.DropAnswer:
		delete(ga.keptBodies, ac.ID)
	case host.InvariantViolated:
		ga.sim.fail(invariantInternal, "%s: %s of %s", ga.id, ac.Invariant, ac.ID)
	}
	if di, ok := ac.(host.Dispatch); ok {
		// The job was created when the attempt arrived.
		ga.jobs[di.ID].started = false
		ga.jobs[di.ID].run = &upstreamRun{
			attempt:  di.ID,
			deadline: ga.jobs[di.ID].attempt.Deadline,
		}
	}
}

// arrive handles an attempt from an ingress.
func (ga *gateProcess) arrive(at host.Attempt, key string, respond func(re reply)) {
	ga.arrivalReply = respond
	if ga.jobs[at.ID] == nil {
		ga.jobs[at.ID] = &job{
			attempt: at,
			key:     key,
			reply:   respond,
		}
		ga.arrivalReply = func(re reply) {
			delete(ga.jobs, at.ID)
			respond(re)
		}
	}
	ga.step(host.Arrived{Attempt: at})
}

// end removes a job and replies to its ingress.
func (ga *gateProcess) end(id host.AttemptID, re reply) {
	jo := ga.jobs[id]
	if jo == nil {
		return
	}
	delete(ga.jobs, id)
	jo.reply(re)
}

// progress starts a dispatched attempt, or ends it with a random result.
func (ga *gateProcess) progress(jo *job) {
	if jo.run == nil {
		return
	}
	switch {
	case !jo.started && (jo.interrupted || ga.sim.chance(8)):
		ga.finish(jo, host.Ended{Outcome: host.OutcomeNotRun, Reason: host.ReasonUpstreamConnect}, 0)
	case !jo.started:
		ga.begin(jo)
	case jo.interrupted || ga.sim.chance(6):
		stillRuns := ga.sim.chance(2)
		if !stillRuns {
			ga.stop(jo.run)
		}
		ga.finish(jo, host.Ended{
			Outcome:     host.OutcomeUnknown,
			Reason:      host.ReasonUpstreamBroken,
			MayStillRun: stillRuns,
		}, 0)
	default:
		ga.stop(jo.run)
		kept := answerBytes * ga.sim.src.intn(2)
		if kept > 0 {
			ga.keptBodies[jo.attempt.ID] = jo.body
		}
		status := 200
		if ga.sim.chance(5) {
			status = 503
		}
		ga.finish(jo, host.Ended{Outcome: host.OutcomeRan, KeptBytes: kept}, status)
	}
}

// begin makes the upstream run an attempt.
func (ga *gateProcess) begin(jo *job) {
	jo.started = true
	jo.body = ga.sim.recordExecution(jo.attempt.ID, jo.key)
	ga.running = append(ga.running, jo.run)
	if len(ga.running) > min(ga.slots, ga.connections) {
		ga.sim.fail(invariantSlots, "%s runs %d calls on %d slots", ga.id, len(ga.running), ga.slots)
	}
	ga.step(host.Started{ID: jo.attempt.ID})
}

func (ga *gateProcess) finish(jo *job, en host.Ended, status int) {
	en.ID = jo.attempt.ID
	ga.end(en.ID, reply{
		outcome: en.Outcome,
		reason:  en.Reason,
		status:  status,
		body:    jo.body,
	})
	ga.step(en)
}

// stop removes a call from those that the upstream runs.
func (ga *gateProcess) stop(run *upstreamRun) {
	ga.running = slices.DeleteFunc(ga.running, func(it *upstreamRun) bool { return it == run })
}

// expire ends the calls of the upstream and the dispatched attempts that are past
// their deadline.
func (ga *gateProcess) expire() {
	now := ga.sim.now
	ga.running = slices.DeleteFunc(ga.running, func(run *upstreamRun) bool { return !now.Before(run.deadline) })
	for _, jo := range ga.sorted() {
		if jo.run == nil || now.Before(jo.attempt.Deadline) {
			continue
		}
		en := host.Ended{Outcome: host.OutcomeNotRun, Reason: host.ReasonDeadline}
		if jo.started {
			en = host.Ended{Outcome: host.OutcomeUnknown, Reason: host.ReasonUpstreamTimeout}
		}
		ga.finish(jo, en, 0)
	}
}

// sorted returns the jobs in the order of their ids, so that runs are deterministic.
func (ga *gateProcess) sorted() []*job {
	var list []*job
	for _, jo := range ga.jobs {
		list = append(list, jo)
	}
	slices.SortFunc(list, func(a, b *job) int {
		if a.attempt.ID < b.attempt.ID {
			return -1
		}
		return 1
	})
	return list
}

// progressOne makes progress with a random attempt.
func (ga *gateProcess) progressOne() {
	if list := ga.sorted(); len(list) > 0 {
		ga.progress(list[ga.sim.src.intn(len(list))])
	}
}

func (ga *gateProcess) progressAll() {
	for _, jo := range ga.sorted() {
		ga.progress(jo)
	}
}

// endOrphan ends a call of the upstream that no job waits for.
func (ga *gateProcess) endOrphan() {
	for _, run := range ga.running {
		if jo := ga.jobs[run.attempt]; jo == nil || jo.run != run {
			ga.stop(run)
			return
		}
	}
}

// handleQuery passes a query to the gate.
func (ga *gateProcess) handleQuery(qu host.Queried, respond func(aq host.AnswerQuery, body int)) {
	ga.lastQuery++
	qu.Query = ga.lastQuery
	ga.queries[qu.Query] = respond
	ga.step(qu)
}
