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

// The data centre of crowd: many nodes that each make few calls, so that what one
// knows of a gate's load is old.
const (
	crowdNodes = 20
	crowdGates = 12
	crowdSlots = 9
	crowdWork  = 300 * time.Millisecond
	crowdCalls = 20_000
	// crowdHop is the time between a node and a gate.
	crowdHop  = 300 * time.Microsecond
	objective = 800 * time.Millisecond
	// crowdPatience is how long a call may wait near by.
	crowdPatience = 100 * time.Millisecond
)

// crowd plays calls from nodes to gates of one data centre.
type crowd struct {
	now   time.Time
	rnd   *rand.Rand
	queue happenings
	all   []datacentre.Upstream
	gates map[host.ID]*host.Gate
	nodes []*crowdNode
	calls map[host.AttemptID]*crowdCall

	late, refused, done, attempts, far int
}

// crowdNode is one ingress.
type crowdNode struct {
	id      host.ID
	chooser *call.Chooser
}

// crowdCall is one call at its ingress.
type crowdCall struct {
	node  *crowdNode
	core  *call.Call
	crowd *crowd
	up    datacentre.Upstream
	begun time.Time
	sent  time.Time
}

// Pick implements call.Picker.
func (cc *crowdCall) Pick(tried []host.ID, now time.Time) (datacentre.Upstream, bool) {
	return cc.node.chooser.PickPatient(service, cc.crowd.all, tried, crowdPatience, now)
}

// PickSpare implements call.Picker.
func (cc *crowdCall) PickSpare(tried []host.ID, now time.Time) (datacentre.Upstream, bool) {
	return cc.node.chooser.PickSpare(service, cc.crowd.all, tried, now)
}

// PickNear implements call.NearPicker.
func (cc *crowdCall) PickNear(tried []host.ID, now time.Time) (datacentre.Upstream, bool) {
	return cc.node.chooser.PickNear(service, cc.crowd.all, tried, now)
}

func newCrowd() *crowd {
	cr := &crowd{
		now:   time.Unix(1_000_000, 0),
		rnd:   rand.New(rand.NewPCG(7, 8)),
		gates: map[host.ID]*host.Gate{},
		calls: map[host.AttemptID]*crowdCall{},
	}
	for i := range 2 * crowdGates {
		id := host.ID(fmt.Sprint("up-", i))
		name := local
		if i >= crowdGates {
			name = "dc-farther"
		}
		cr.all = append(cr.all, datacentre.Upstream{
			Host:        id,
			DataCentre:  name,
			Incarnation: 1,
			Service:     service,
			Slots:       crowdSlots,
		})
		ga := host.NewGate(host.Config{Incarnation: 1, QueuePerSlot: 3, ComeBack: time.Second})
		ga.Step(host.Announced{
			Announcement: host.Announcement{Service: service, Slots: crowdSlots},
			Lapse:        cr.now.Add(time.Hour),
		}, cr.now)
		cr.gates[id] = ga
	}
	for i := range crowdNodes {
		cr.nodes = append(cr.nodes, &crowdNode{
			id: host.ID(fmt.Sprint("node-", i)),
			chooser: call.NewChooser(call.ChooserConfig{
				DataCentre: local,
				Rand:       rand.New(rand.NewPCG(9, uint64(i))),
			}),
		})
	}
	return cr
}

func (cr *crowd) later(after time.Duration, run func()) {
	heap.Push(&cr.queue, happening{at: cr.now.Add(after), run: run})
}

// play makes the calls at a share of what all slots of the own data centre can do.
func (cr *crowd) play(utilisation float64, brief bool) {
	perSecond := utilisation * crowdGates * crowdSlots / crowdWork.Seconds()
	at := time.Duration(0)
	for i := range crowdCalls {
		at += time.Duration(cr.rnd.ExpFloat64() / perSecond * float64(time.Second))
		cr.later(at, func() { cr.begin(uint64(i+1), brief) })
	}
	for cr.queue.Len() > 0 {
		ha := heap.Pop(&cr.queue).(happening)
		cr.now = ha.at
		ha.run()
	}
}

func (cr *crowd) begin(number uint64, brief bool) {
	cc := &crowdCall{
		node:  cr.nodes[cr.rnd.IntN(crowdNodes)],
		crowd: cr,
		begun: cr.now,
	}
	cfg := call.Config{
		Issuer:     host.Issuer{Host: cc.node.id, Incarnation: 1},
		Number:     number,
		Terms:      contract.Terms{Idempotent: true, TimeoutMS: 5000},
		Deadline:   cr.now.Add(5 * time.Second),
		Replayable: true,
		Chooser:    cc,
		Budget:     unlimited{},
		ComeBack:   time.Second,
		Jitter:     cr.rnd.Float64,
	}
	if brief {
		cfg.Near = cc
		cfg.Patience = crowdPatience
	}
	cc.core = call.New(cfg)
	cr.execute(cc, cc.core.Step(call.Begin{}, cr.now))
}

func (cr *crowd) execute(cc *crowdCall, acts []call.Action) {
	for _, ac := range acts {
		switch ac := ac.(type) {
		case call.Try:
			cc.up = ac.Upstream
			cc.sent = cr.now
			cc.node.chooser.Started(ac.Upstream)
			cr.calls[ac.Attempt] = cc
			cr.attempts++
			if ac.Upstream.DataCentre != local && !ac.Brief {
				cr.far++
			}
			cr.later(crowdHop, func() { cr.arrive(cc, ac) })
		case call.Answer:
			cr.done++
			switch {
			case ac.Result.Outcome != call.OutcomeRan:
				cr.refused++
			case cr.now.Sub(cc.begun) > objective:
				cr.late++
			}
		}
	}
}

func (cr *crowd) arrive(cc *crowdCall, tr call.Try) {
	cr.step(tr.Upstream.Host, host.Arrived{
		Attempt: host.Attempt{
			ID:          tr.Attempt,
			Incarnation: 1,
			Service:     service,
			Brief:       tr.Brief,
			Objective:   cc.begun.Add(objective),
			Deadline:    tr.Deadline,
		},
	})
}

// step feeds a gate and carries out what it decides.
func (cr *crowd) step(id host.ID, ev host.Event) {
	ga := cr.gates[id]
	for _, ac := range ga.Step(ev, cr.now) {
		switch ac := ac.(type) {
		case host.Dispatch:
			took := time.Duration(float64(crowdWork) * (0.5 + cr.rnd.ExpFloat64()/2))
			cr.later(took, func() {
				cr.step(id, host.Ended{ID: ac.ID, Outcome: host.OutcomeRan})
				cr.reply(ac.ID, ga, call.Result{Outcome: call.OutcomeRan, Status: 200})
			})
		case host.Refuse:
			cr.reply(ac.ID, ga, call.Result{
				Outcome:  call.OutcomeNotRun,
				Reason:   ac.Reason,
				ComeBack: ac.ComeBack,
			})
		}
	}
}

func (cr *crowd) reply(id host.AttemptID, ga *host.Gate, re call.Result) {
	cc := cr.calls[id]
	delete(cr.calls, id)
	load := ga.LoadPermille()
	cr.later(crowdHop, func() {
		cc.node.chooser.Ended(cc.up, call.Observation{
			Result:       re,
			Latency:      cr.now.Sub(cc.sent),
			LoadPermille: load,
			HasLoad:      true,
		}, cr.now)
		cr.execute(cc, cc.core.Step(call.AttemptEnded{Attempt: id, Result: re}, cr.now))
	})
}

// TestBriefAttemptsFindRoom serves calls in time as long as there is room anywhere
// in the data centre, from nodes that know little of it.
func TestBriefAttemptsFindRoom(t *testing.T) {
	// Work alone takes longer than the objective this often.
	alone := math.Exp(-float64(objective-crowdWork/2) / float64(crowdWork/2))
	for _, utilisation := range []float64{0.7, 0.85, 1.1, 1.5} {
		plain, brief := newCrowd(), newCrowd()
		plain.play(utilisation, false)
		brief.play(utilisation, true)
		missed := func(cr *crowd) float64 { return float64(cr.late+cr.refused) / float64(cr.done) }
		t.Logf("at %.2f: late or refused %.4f (%d, %d), with brief attempts %.4f (%d, %d), attempts a call %.2f, waiting far %d to %d", utilisation,
			missed(plain), plain.late, plain.refused, missed(brief), brief.late, brief.refused, float64(brief.attempts)/crowdCalls, plain.far, brief.far)
		assert.Equal(t, brief.done, crowdCalls)
		assert.Assert(t, missed(brief) <= 2*alone)
	}
}
