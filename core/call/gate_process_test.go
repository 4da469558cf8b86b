package call_test

import (
	"fmt"
	"slices"
	"time"

	"lynxfold/core/host"
)

const drainGrace = 100 * time.Millisecond

// upstreamRun is a call that an upstream runs, whether or not a gate waits for it.
type upstreamRun struct {
	attempt  host.AttemptID
	deadline time.Time
}

// job is an attempt in the adapter of a gate.
type job struct {
	attempt     host.Attempt
	key         string
	started     bool
	interrupted bool
	run         *upstreamRun
	body        int
	reply       func(re reply)
}

// reply is the end of an attempt as sent to its ingress.
type reply struct {
	outcome host.Outcome
	reason  host.Reason
	status  int
	body    int
}

// gateProcess is a gate with its adapter and its upstream.
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
	core             gateStepper
	jobs             map[host.AttemptID]*job
	keptBodies       map[host.AttemptID]int
	queries          map[host.QueryID]func(te host.AnswerQuery, body int)
	query            host.QueryID
	running          []*upstreamRun
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

// restart replaces the process; the upstream keeps running its calls.
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
	ga.queries = map[host.QueryID]func(te host.AnswerQuery, body int){}
	ga.step(host.Tick{})
}

// announce sends the state of the upstream, which is applied within announceLag or
// not at all.
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

// checkDrain reports a dispatch after the drain grace period.
func (ga *gateProcess) checkDrain(id host.AttemptID) {
	for _, ends := range []time.Time{ga.nodeDrainEnd, ga.upstreamDrainEnd} {
		if !ends.IsZero() && !ga.sim.now.Before(ends) {
			ga.sim.fail(invariantDrain, "%s dispatched %s", ga.id, id)
		}
	}
}

// alive returns a function that reports whether the process still has an incarnation.
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
		// The job was created when the attempt arrived.
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
		ga.jobs[di.ID].started = false
		ga.jobs[di.ID].run = &upstreamRun{
			attempt:  di.ID,
			deadline: ga.jobs[di.ID].attempt.Deadline,
		}
	}
}

// arrive handles an attempt from an ingress.
func (ga *gateProcess) arrive(at host.Attempt, key string, answer func(re reply)) {
	ga.arrivalReply = answer
	if ga.jobs[at.ID] == nil {
		ga.jobs[at.ID] = &job{
			attempt: at,
			key:     key,
			reply:   answer,
		}
		ga.arrivalReply = func(re reply) {
			delete(ga.jobs, at.ID)
			answer(re)
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

// progress starts, ends or breaks a dispatched attempt.
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
		working := ga.sim.chance(2)
		if !working {
			ga.stop(jo.run)
		}
		ga.finish(jo, host.Ended{
			Outcome:     host.OutcomeUnknown,
			Reason:      host.ReasonUpstreamBroken,
			MayStillRun: working,
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

// stop ends a call that the upstream runs.
func (ga *gateProcess) stop(run *upstreamRun) {
	ga.running = slices.DeleteFunc(ga.running, func(it *upstreamRun) bool { return it == run })
}

// expire stops the calls of the upstream and the jobs that are past their deadline.
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

// sorted returns the jobs in a deterministic order.
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
func (ga *gateProcess) handleQuery(as host.Queried, respond func(te host.AnswerQuery, body int)) {
	ga.query++
	as.Query = ga.query
	ga.queries[as.Query] = respond
	ga.step(as)
}
