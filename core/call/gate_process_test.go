package call_test

import (
	"fmt"
	"slices"
	"time"

	"lynxfold/core/host"
)

const drainGrace = 100 * time.Millisecond

// upstreamRun is what an upstream works on, whether or not a gate still waits for it.
type upstreamRun struct {
	attempt  host.AttemptID
	deadline time.Time
}

// job is a dispatched attempt in the adapter of a gate.
type job struct {
	attempt     host.Attempt
	key         string
	started     bool
	interrupted bool
	run         *upstreamRun
	body        int
	reply       func(re reply)
}

// reply is how an attempt ended, as its ingress learns it.
type reply struct {
	outcome host.Outcome
	reason  host.Reason
	status  int
	body    int
}

// gateProcess is a gate with its adapter and the upstream beside it.
type gateProcess struct {
	world       *world
	id          host.ID
	incarnation host.Incarnation
	slots       int
	connections int
	draining    bool
	// nodeEnds and upstreamEnds are when new work must end, by what the gate was told.
	nodeEnds     time.Time
	upstreamEnds time.Time
	gate         *host.Gate
	core         stepper
	jobs         map[host.AttemptID]*job
	kept         map[host.AttemptID]int
	queries      map[host.QueryID]func(te host.Tell, body int)
	query        host.QueryID
	working      []*upstreamRun
	// direct takes the answer to the arrival being fed.
	direct func(re reply)
}

func newGateProcess(wo *world, nth int) *gateProcess {
	ga := &gateProcess{
		world: wo,
		id:    host.ID(fmt.Sprintf("host-%d", nth)),
		slots: 1 + wo.src.intn(3),
	}
	ga.connections = ga.slots + wo.src.intn(2) - wo.src.intn(2)
	ga.connections = max(1, ga.connections)
	ga.restart()
	wo.now = wo.now.Add(announceLag + time.Millisecond)
	ga.announce(wo.now)
	return ga
}

// restart replaces the process; the upstream goes on with what it runs.
func (ga *gateProcess) restart() {
	ga.incarnation++
	ga.nodeEnds, ga.upstreamEnds = time.Time{}, time.Time{}
	ga.gate = host.NewGate(host.Config{
		Incarnation:  ga.incarnation,
		QueuePerSlot: 2,
		ComeBack:     50 * time.Millisecond,
		DrainGrace:   drainGrace,
		AnnounceLag:  announceLag,
		LongestCall:  callTimeout,
		Ledger: host.LedgerConfig{
			KeepFor:        keepFor,
			MaxEntries:     maxEntries,
			MaxAnswerBytes: 3 * answerBytes,
		},
	})
	ga.core = ga.gate
	if ga.world.standIns.gate != nil {
		ga.core = ga.world.standIns.gate(ga.gate)
	}
	ga.jobs = map[host.AttemptID]*job{}
	ga.kept = map[host.AttemptID]int{}
	ga.queries = map[host.QueryID]func(te host.Tell, body int){}
	ga.step(host.Tick{})
}

// announce samples the upstream now; the sample arrives within the lag or not at all.
func (ga *gateProcess) announce(sampled time.Time) {
	an := host.Announcement{
		Service:     service,
		Address:     "127.0.0.1:1",
		Slots:       host.Slots(ga.slots),
		Connections: ga.connections,
		InFlight:    len(ga.working),
	}
	if ga.draining {
		an.State = host.StateDraining
	}
	ga.world.send(&message{
		deliver: func() {
			if ga.world.now.Sub(sampled) <= announceLag {
				ga.noteState(an.State)
				ga.step(host.Announced{
					Announcement: an,
					Lapse:        ga.world.now.Add(time.Second),
				})
			}
		},
		alive: func() bool { return true },
		lossy: true,
	})
}

// noteState follows what the gate is told of its upstream.
func (ga *gateProcess) noteState(st host.State) {
	switch {
	case st != host.StateDraining:
		ga.upstreamEnds = time.Time{}
	case ga.upstreamEnds.IsZero():
		ga.upstreamEnds = ga.world.now.Add(drainGrace)
	}
}

// drain is the node's own.
func (ga *gateProcess) drain() {
	if ga.nodeEnds.IsZero() {
		ga.nodeEnds = ga.world.now.Add(drainGrace)
	}
	ga.step(host.Drain{RefuseFrom: ga.world.now.Add(drainGrace)})
}

// checkDrain reports a dispatch after the grace.
func (ga *gateProcess) checkDrain(id host.AttemptID) {
	for _, ends := range []time.Time{ga.nodeEnds, ga.upstreamEnds} {
		if !ends.IsZero() && !ga.world.now.Before(ends) {
			ga.world.fail(checkDrain, "%s dispatched %s", ga.id, id)
		}
	}
}

// alive tells whether the process is still the one of an incarnation.
func (ga *gateProcess) alive(inc host.Incarnation) func() bool {
	return func() bool { return ga.incarnation == inc }
}

func (ga *gateProcess) step(ev host.Event) {
	ga.world.note("%s.%d %T%v", ga.id, ga.incarnation, ev, ev)
	for _, ac := range slices.Clone(ga.core.Step(ev, ga.world.now)) {
		ga.world.note("%s.%d -> %T%v", ga.id, ga.incarnation, ac, ac)
		ga.execute(ac)
	}
	if ga.gate.Remembered() > maxEntries+1 || ga.gate.KeptBytes() > 3*answerBytes {
		ga.world.fail(checkMemory, "%d entries, %d bytes", ga.gate.Remembered(), ga.gate.KeptBytes())
	}
}

func (ga *gateProcess) execute(ac host.Action) {
	switch ac := ac.(type) {
	case host.Dispatch:
		// The job is there already: it waits for the decision.
		ga.checkDrain(ac.ID)
	case host.Refuse:
		ga.end(ac.ID, reply{outcome: host.OutcomeNotRun, reason: ac.Reason})
	case host.RefuseDuplicate:
		re := reply{outcome: host.OutcomeUnknown, reason: ac.Reason}
		if ac.NotRun {
			re.outcome = host.OutcomeNotRun
		}
		ga.direct(re)
	case host.Interrupt:
		if jo := ga.jobs[ac.ID]; jo != nil {
			jo.interrupted = true
		}
	case host.Tell:
		if tell := ga.queries[ac.Query]; tell != nil {
			delete(ga.queries, ac.Query)
			tell(ac, ga.kept[ac.ID])
		}
	case host.DropAnswer:
		delete(ga.kept, ac.ID)
	case host.Violated:
		ga.world.fail(checkInside, "%s: %s of %s", ga.id, ac.Invariant, ac.ID)
	}
	if di, ok := ac.(host.Dispatch); ok {
		ga.jobs[di.ID].started = false
		ga.jobs[di.ID].run = &upstreamRun{
			attempt:  di.ID,
			deadline: ga.jobs[di.ID].attempt.Deadline,
		}
	}
}

// arrive feeds an attempt that came from an ingress.
func (ga *gateProcess) arrive(at host.Attempt, key string, answer func(re reply)) {
	ga.direct = answer
	if ga.jobs[at.ID] == nil {
		ga.jobs[at.ID] = &job{
			attempt: at,
			key:     key,
			reply:   answer,
		}
		ga.direct = func(re reply) {
			delete(ga.jobs, at.ID)
			answer(re)
		}
	}
	ga.step(host.Arrived{Attempt: at})
}

// end forgets a job and tells its ingress.
func (ga *gateProcess) end(id host.AttemptID, re reply) {
	jo := ga.jobs[id]
	if jo == nil {
		return
	}
	delete(ga.jobs, id)
	jo.reply(re)
}

// progress moves one dispatched attempt on.
func (ga *gateProcess) progress(jo *job) {
	if jo.run == nil {
		return
	}
	switch {
	case !jo.started && (jo.interrupted || ga.world.chance(8)):
		ga.finish(jo, host.Ended{Outcome: host.OutcomeNotRun, Reason: host.ReasonUpstreamConnect}, 0)
	case !jo.started:
		ga.begin(jo)
	case jo.interrupted || ga.world.chance(6):
		working := ga.world.chance(2)
		if !working {
			ga.stop(jo.run)
		}
		ga.finish(jo, host.Ended{
			Outcome: host.OutcomeUnknown,
			Reason:  host.ReasonUpstreamBroken,
			Working: working,
		}, 0)
	default:
		ga.stop(jo.run)
		kept := answerBytes * ga.world.src.intn(2)
		if kept > 0 {
			ga.kept[jo.attempt.ID] = jo.body
		}
		status := 200
		if ga.world.chance(5) {
			status = 503
		}
		ga.finish(jo, host.Ended{Outcome: host.OutcomeRan, KeptBytes: kept}, status)
	}
}

func (ga *gateProcess) begin(jo *job) {
	jo.started = true
	jo.body = ga.world.ran(jo.attempt.ID, jo.key)
	ga.working = append(ga.working, jo.run)
	if len(ga.working) > min(ga.slots, ga.connections) {
		ga.world.fail(checkSlots, "%s works on %d of %d", ga.id, len(ga.working), ga.slots)
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

// stop ends an upstream's work.
func (ga *gateProcess) stop(run *upstreamRun) {
	ga.working = slices.DeleteFunc(ga.working, func(it *upstreamRun) bool { return it == run })
}

// expire stops what the upstream works on past its deadline, and ends jobs that are.
func (ga *gateProcess) expire() {
	now := ga.world.now
	ga.working = slices.DeleteFunc(ga.working, func(run *upstreamRun) bool { return !now.Before(run.deadline) })
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

// sorted lists the jobs in a fixed order.
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
		ga.progress(list[ga.world.src.intn(len(list))])
	}
}

func (ga *gateProcess) progressAll() {
	for _, jo := range ga.sorted() {
		ga.progress(jo)
	}
}

// orphanEnds lets the upstream finish something that no gate waits for.
func (ga *gateProcess) orphanEnds() {
	for _, run := range ga.working {
		if jo := ga.jobs[run.attempt]; jo == nil || jo.run != run {
			ga.stop(run)
			return
		}
	}
}

// ask passes a query to the gate.
func (ga *gateProcess) ask(as host.Asked, tell func(te host.Tell, body int)) {
	ga.query++
	as.Query = ga.query
	ga.queries[as.Query] = tell
	ga.step(as)
}
