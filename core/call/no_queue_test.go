package call_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lynxfold/core/call"
	"lynxfold/core/contract"
	"lynxfold/core/datacentre"
	"lynxfold/core/host"
)

// Parameters of sparseSimulation: many nodes that each make few calls, so that what a
// node knows of a gate's load is old.
const (
	simNodes       = 20
	simGates       = 12
	simSlots       = 9
	simServiceTime = 300 * time.Millisecond
	simCalls       = 20_000
	// simLatency is the one-way latency between a node and a gate.
	simLatency = 300 * time.Microsecond
	// objective is the latency objective of the calls.
	objective = 800 * time.Millisecond
	// simMaxQueueWait is how long a call may wait in a local queue.
	simMaxQueueWait = 100 * time.Millisecond
)

// sparseSimulation simulates calls from the nodes of one data centre to its gates and
// those of a remote one. The calls of each node are sparse.
type sparseSimulation struct {
	now   time.Time
	rnd   *rand.Rand
	queue eventQueue
	all   []datacentre.Upstream
	gates map[host.ID]*host.Gate
	nodes []*sparseNode
	calls map[host.AttemptID]*sparseCall
	// limits are the rate limits that upstreams state, and dispatched the times at which
	// these got their requests.
	limits     map[host.ID]host.RateLimit
	dispatched map[host.ID][]time.Time

	// late counts the responses after the objective, and remoteQueueing the attempts
	// to the remote data centre that may wait in its queues.
	late, refused, done, attempts, remoteQueueing int
}

// sparseNode is one ingress.
type sparseNode struct {
	id      host.ID
	chooser *call.Chooser
}

// sparseCall is one call at its ingress.
type sparseCall struct {
	node  *sparseNode
	core  *call.Call
	sim   *sparseSimulation
	up    datacentre.Upstream
	begun time.Time
	sent  time.Time
}

// Pick implements call.Picker.
func (sc *sparseCall) Pick(tried []host.ID, now time.Time) (datacentre.Upstream, bool) {
	return sc.node.chooser.PickWithMaxWait(service, sc.sim.all, tried, simMaxQueueWait, now)
}

// PickWithCapacity implements call.Picker.
func (sc *sparseCall) PickWithCapacity(tried []host.ID, now time.Time) (datacentre.Upstream, bool) {
	return sc.node.chooser.PickWithCapacity(service, sc.sim.all, tried, now)
}

// PickLocal implements call.LocalPicker.
func (sc *sparseCall) PickLocal(tried []host.ID, now time.Time) (datacentre.Upstream, bool) {
	return sc.node.chooser.PickLocal(service, sc.sim.all, tried, now)
}

func newSparseSimulation() *sparseSimulation {
	ss := &sparseSimulation{
		now:   time.Unix(1_000_000, 0),
		rnd:   rand.New(rand.NewPCG(7, 8)),
		gates: map[host.ID]*host.Gate{},
		calls: map[host.AttemptID]*sparseCall{},

		limits:     map[host.ID]host.RateLimit{},
		dispatched: map[host.ID][]time.Time{},
	}
	for i := range 2 * simGates {
		id := host.ID(fmt.Sprint("up-", i))
		name := local
		if i >= simGates {
			name = "dc-farther"
		}
		ss.all = append(ss.all, datacentre.Upstream{
			Host:        id,
			DataCentre:  name,
			Incarnation: 1,
			Service:     service,
			Slots:       simSlots,
		})
		ga := host.NewGate(host.Config{Incarnation: 1, QueuePerSlot: 3, DefaultRetryAfter: time.Second})
		ga.Step(host.Announced{
			Announcement: host.Announcement{Service: service, Slots: simSlots},
			ExpiresAt:    ss.now.Add(time.Hour),
		}, ss.now)
		ss.gates[id] = ga
	}
	for i := range simNodes {
		ss.nodes = append(ss.nodes, &sparseNode{
			id: host.ID(fmt.Sprint("node-", i)),
			chooser: call.NewChooser(call.ChooserConfig{
				DataCentre: local,
				Rand:       rand.New(rand.NewPCG(9, uint64(i))),
			}),
		})
	}
	return ss
}

// schedule runs a function after a delay.
func (ss *sparseSimulation) schedule(after time.Duration, run func()) {
	heap.Push(&ss.queue, timedEvent{at: ss.now.Add(after), run: run})
}

// play makes the calls, at a rate relative to the capacity of the local data centre.
func (ss *sparseSimulation) play(utilisation float64, noQueue bool) {
	perSecond := utilisation * simGates * simSlots / simServiceTime.Seconds()
	at := time.Duration(0)
	for i := range simCalls {
		at += time.Duration(ss.rnd.ExpFloat64() / perSecond * float64(time.Second))
		ss.schedule(at, func() { ss.begin(uint64(i+1), noQueue) })
	}
	for ss.queue.Len() > 0 {
		te := heap.Pop(&ss.queue).(timedEvent)
		ss.now = te.at
		te.run()
	}
}

func (ss *sparseSimulation) begin(number uint64, noQueue bool) {
	sc := &sparseCall{
		node:  ss.nodes[ss.rnd.IntN(simNodes)],
		sim:   ss,
		begun: ss.now,
	}
	cfg := call.Config{
		Issuer:        host.Issuer{Host: sc.node.id, Incarnation: 1},
		Number:        number,
		Terms:         contract.Terms{Idempotent: true, TimeoutMS: 5000},
		Deadline:      ss.now.Add(5 * time.Second),
		Replayable:    true,
		Picker:        sc,
		RetryBudget:   unlimitedBudget{},
		MinRetryAfter: time.Second,
		Jitter:        ss.rnd.Float64,
	}
	if noQueue {
		cfg.LocalPicker = sc
		cfg.MaxQueueWait = simMaxQueueWait
	}
	sc.core = call.New(cfg)
	ss.execute(sc, sc.core.Step(call.Begin{}, ss.now))
}

func (ss *sparseSimulation) execute(sc *sparseCall, acts []call.Action) {
	for _, ac := range acts {
		switch ac := ac.(type) {
		case call.SendAttempt:
			sc.up = ac.Upstream
			sc.sent = ss.now
			sc.node.chooser.Started(ac.Upstream)
			ss.calls[ac.Attempt] = sc
			ss.attempts++
			if ac.Upstream.DataCentre != local && !ac.NoQueue {
				ss.remoteQueueing++
			}
			ss.schedule(simLatency, func() { ss.arrive(sc, ac) })
		case call.Respond:
			ss.done++
			switch {
			case ac.Result.Outcome != call.OutcomeRan:
				ss.refused++
			case ss.now.Sub(sc.begun) > objective:
				ss.late++
			}
		}
	}
}

func (ss *sparseSimulation) arrive(sc *sparseCall, sa call.SendAttempt) {
	ss.step(sa.Upstream.Host, host.Arrived{
		Attempt: host.Attempt{
			ID:          sa.Attempt,
			Incarnation: 1,
			Service:     service,
			NoQueue:     sa.NoQueue,
			Objective:   sc.begun.Add(objective),
			Deadline:    sa.Deadline,
		},
	})
}

// step passes an event to a gate and executes its actions.
func (ss *sparseSimulation) step(id host.ID, ev host.Event) {
	ga := ss.gates[id]
	for _, ac := range ga.Step(ev, ss.now) {
		switch ac := ac.(type) {
		case host.Dispatch:
			ss.dispatched[id] = append(ss.dispatched[id], ss.now)
			sentAt := ss.now
			took := time.Duration(float64(simServiceTime) * (0.5 + ss.rnd.ExpFloat64()/2))
			ss.schedule(took, func() {
				ss.step(id, host.Noticed{
					SentAt: sentAt,
					Notice: host.Notice{RateLimit: ss.limits[id]},
				})
				ss.step(id, host.Ended{ID: ac.ID, Outcome: host.OutcomeRan})
				ss.reply(ac.ID, ga, call.Result{Outcome: call.OutcomeRan, Status: 200})
			})
		case host.Refuse:
			ss.reply(ac.ID, ga, call.Result{
				Outcome:     call.OutcomeNotRun,
				Reason:      ac.Reason,
				RetryAfter:  ac.RetryAfter,
				RateLimited: ac.RateLimited,
			})
		}
	}
	if at := ga.WakeAt(ss.now); !at.IsZero() {
		ss.schedule(at.Sub(ss.now), func() { ss.step(id, host.Tick{}) })
	}
}

func (ss *sparseSimulation) reply(id host.AttemptID, ga *host.Gate, re call.Result) {
	sc := ss.calls[id]
	delete(ss.calls, id)
	load := ga.LoadPermille(ss.now)
	ss.schedule(simLatency, func() {
		sc.node.chooser.Ended(sc.up, call.Observation{
			Result:       re,
			Latency:      ss.now.Sub(sc.sent),
			LoadPermille: load,
			HasLoad:      true,
		}, ss.now)
		ss.execute(sc, sc.core.Step(call.AttemptEnded{Attempt: id, Result: re}, ss.now))
	})
}

// TestNoQueueAttemptsFindFreeSlots checks that no-queue attempts find free slots in
// the data centre when the load that nodes know is outdated: even under overload, no
// more than twice as many calls miss the objective as would without any wait.
func TestNoQueueAttemptsFindFreeSlots(t *testing.T) {
	// alone is the probability that the service time alone exceeds the objective.
	alone := math.Exp(-float64(objective-simServiceTime/2) / float64(simServiceTime/2))
	for _, utilisation := range []float64{0.7, 0.85, 1.1, 1.5} {
		plain, noQueue := newSparseSimulation(), newSparseSimulation()
		plain.play(utilisation, false)
		noQueue.play(utilisation, true)
		missed := func(ss *sparseSimulation) float64 { return float64(ss.late+ss.refused) / float64(ss.done) }
		t.Logf("utilisation %.2f: late or refused %.4f (%d, %d), with no-queue attempts %.4f (%d, %d), attempts per call %.2f, remote queueing attempts %d to %d", utilisation,
			missed(plain), plain.late, plain.refused, missed(noQueue), noQueue.late, noQueue.refused, float64(noQueue.attempts)/simCalls, plain.remoteQueueing, noQueue.remoteQueueing)
		assert.Equal(t, noQueue.done, simCalls)
		assert.Assert(t, missed(noQueue) <= 2*alone)
	}
}
