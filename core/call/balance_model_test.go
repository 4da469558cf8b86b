package call_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"lynxfold/core/call"
	"lynxfold/core/contract"
	"lynxfold/core/datacentre"
	"lynxfold/core/host"
)

// Parameters of the balance model.
const (
	balanceDataCentres = 4
	balanceMeanRun     = 160 * time.Millisecond
	// balanceLongShare of the calls take balanceLongFactor times as long as the others.
	balanceLongShare  = 1.0 / 30
	balanceLongFactor = 7
	balanceObjective  = 600 * time.Millisecond
	balanceTimeout    = 3 * time.Second
	// balanceLocalLatency and balanceRemoteLatency are one-way latencies within and between
	// data centres.
	balanceLocalLatency  = 300 * time.Microsecond
	balanceRemoteLatency = 3900 * time.Microsecond
	// The demand of a data centre varies by balanceSwing over balancePeriod.
	balanceSwing  = 0.55
	balancePeriod = 15 * time.Second
	// At any time, balanceSlowShare of the upstreams are slowed down for balanceSlowTime.
	balanceSlowShare  = 0.15
	balanceSlowTime   = 600 * time.Millisecond
	balanceSlowFactor = 2.5
	// balanceWarmUp is not measured.
	balanceWarmUp = 3 * time.Second
	// balanceWaitDivisor is queueWaitDivisor in package caller.
	balanceWaitDivisor = 8
	// Sizes of messages between data centres, assumed from calls of the deployments.
	balanceRequestBytes, balanceResponseBytes, balanceRefusalBytes = 700, 1500, 60
)

// balanceConfig describes one run of the balance model.
type balanceConfig struct {
	hosts, upstreams int
	slots            host.Slots
	utilisation      float64
	length           time.Duration
	seed             uint64
	// remoteLatency replaces balanceRemoteLatency, unless it is 0.
	remoteLatency time.Duration
	// alike gives all upstreams the same speed, without slow spells.
	alike bool
	// fault replaces what the gate of upstream i reports, or sheds a call, if it is set.
	fault func(i int, ob *call.Observation)
	sheds func(i int) bool
	// make returns the picker of a host.
	make func(bm *balanceModel, i int) balancePicker
	// moves lets queued calls move at no cost to slots that have become free: within their
	// data centre, or to any. It bounds what moving waiting calls can gain.
	moves moveScope
	// single replaces all gates by one queue that every free slot takes from.
	single bool
}

// moveScope is how far queued calls move.
type moveScope int

// Scopes of moves.
const (
	moveNone moveScope = iota
	moveLocal
	moveAny
)

// balancePicker chooses upstreams for the calls of one host.
type balancePicker interface {
	PickWithMaxWait(name contract.ServiceName, all []datacentre.Upstream, tried []host.ID, maxWait time.Duration, now time.Time) (datacentre.Upstream, bool)
	PickWithCapacity(name contract.ServiceName, all []datacentre.Upstream, tried []host.ID, now time.Time) (datacentre.Upstream, bool)
	PickLocal(name contract.ServiceName, all []datacentre.Upstream, tried []host.ID, now time.Time) (datacentre.Upstream, bool)
	Started(up datacentre.Upstream)
	Ended(up datacentre.Upstream, ob call.Observation, now time.Time)
	ExpectedLatency(name contract.ServiceName) time.Duration
}

// balanceHost is a host that chooses.
type balanceHost struct {
	id         host.ID
	dataCentre datacentre.Name
	picker     balancePicker
}

// balanceModel simulates the calls of many hosts in four data centres.
type balanceModel struct {
	cfg       balanceConfig
	start     time.Time
	now       time.Time
	rnd       *rand.Rand
	queue     eventQueue
	all       []datacentre.Upstream
	upstreams []*balanceUpstream
	byHost    map[host.ID]*balanceUpstream
	hosts     []*balanceHost
	calls     map[host.AttemptID]*balanceCall
	waiting   []*balanceCall
	figures   balanceFigures
}

// balanceCall is one call at its ingress.
type balanceCall struct {
	model *balanceModel
	host  *balanceHost
	core  *call.Call
	up    datacentre.Upstream
	begun time.Time
	sent  time.Time
	work  time.Duration
	// dispatched is when an upstream began to run the call.
	dispatched time.Time
	number     uint64
	// queuedAs is the attempt that was sent last, and moving is set while it is withdrawn.
	queuedAs host.Attempt
	moving   bool
}

func dataCentreName(i int) datacentre.Name { return datacentre.Name(fmt.Sprint("dc-", i)) }

func newBalanceModel(cfg balanceConfig) *balanceModel {
	bm := &balanceModel{
		cfg:    cfg,
		start:  time.Unix(1_000_000, 0),
		rnd:    rand.New(rand.NewPCG(cfg.seed, 5)),
		byHost: map[host.ID]*balanceUpstream{},
		calls:  map[host.AttemptID]*balanceCall{},
	}
	if bm.cfg.remoteLatency == 0 {
		bm.cfg.remoteLatency = balanceRemoteLatency
	}
	bm.now = bm.start
	for i := range cfg.upstreams {
		bm.addUpstream(i)
	}
	for i := range cfg.hosts {
		bm.hosts = append(bm.hosts, &balanceHost{
			id:         host.ID(fmt.Sprint("host-", i)),
			dataCentre: dataCentreName(i % balanceDataCentres),
		})
		bm.hosts[i].picker = cfg.make(bm, i)
	}
	return bm
}

func (bm *balanceModel) schedule(after time.Duration, run func()) {
	heap.Push(&bm.queue, timedEvent{at: bm.now.Add(after), run: run})
}

// play runs the model.
func (bm *balanceModel) play() *balanceFigures {
	perSecond := bm.cfg.utilisation * bm.capacity() / balanceDataCentres
	for dc := range balanceDataCentres {
		at := 0.0
		for {
			at += bm.rnd.ExpFloat64() / (perSecond * (1 + balanceSwing))
			if at > bm.cfg.length.Seconds() {
				break
			}
			phase := 2 * math.Pi * (at/balancePeriod.Seconds() + float64(dc)/balanceDataCentres)
			if bm.rnd.Float64()*(1+balanceSwing) > 1+balanceSwing*math.Sin(phase) {
				continue
			}
			bm.schedule(time.Duration(at*float64(time.Second)), func() { bm.begin(dc) })
		}
	}
	bm.schedule(balanceWarmUp, bm.sample)
	if bm.cfg.moves != moveNone {
		bm.schedule(balanceWarmUp, bm.move)
	}
	for bm.queue.Len() > 0 {
		te := heap.Pop(&bm.queue).(timedEvent)
		bm.now = te.at
		te.run()
	}
	return &bm.figures
}

// begin starts a call at a random host of a data centre.
func (bm *balanceModel) begin(dc int) {
	work := balanceMeanRun.Seconds() / (1 + balanceLongShare*(balanceLongFactor-1)) * (0.5 + bm.rnd.Float64())
	if bm.rnd.Float64() < balanceLongShare {
		work *= balanceLongFactor
	}
	bm.figures.started++
	bc := &balanceCall{
		model:  bm,
		host:   bm.hosts[dc+balanceDataCentres*bm.rnd.IntN(len(bm.hosts)/balanceDataCentres)],
		begun:  bm.now,
		work:   time.Duration(work * float64(time.Second)),
		number: uint64(bm.figures.started),
	}
	if bm.cfg.single {
		bm.waiting = append(bm.waiting, bc)
		bm.runSingle()
		return
	}
	expected := bc.host.picker.ExpectedLatency(service)
	bc.core = call.New(call.Config{
		Issuer:          host.Issuer{Host: bc.host.id, Incarnation: 1},
		Number:          bc.number,
		Terms:           contract.Terms{Idempotent: true, TimeoutMS: 3000},
		Deadline:        bm.now.Add(balanceTimeout),
		Replayable:      true,
		Picker:          bc,
		LocalPicker:     bc,
		ExpectedLatency: expected,
		MaxQueueWait:    bc.maxWait(),
		RetryBudget:     unlimitedBudget{},
		MinRetryAfter:   time.Second,
		Jitter:          bm.rnd.Float64,
	})
	bm.execute(bc, bc.core.Step(call.Begin{}, bm.now))
}

// runSingle gives waiting calls to free slots, the fastest upstream first.
func (bm *balanceModel) runSingle() {
	for len(bm.waiting) > 0 {
		var best *balanceUpstream
		for _, bu := range bm.upstreams {
			if bu.running < int(bm.cfg.slots) && (best == nil || bu.speed > best.speed) {
				best = bu
			}
		}
		if best == nil {
			return
		}
		bc := bm.waiting[0]
		bm.waiting = bm.waiting[1:]
		best.running++
		bc.dispatched = bm.now
		bm.schedule(best.runTime(bc.work, bm.now), func() {
			best.running--
			bm.figures.served(bc, bm.now)
			bm.runSingle()
		})
	}
}

// maxWait is as in package caller: a share of the time that is left.
func (bc *balanceCall) maxWait() time.Duration {
	expected := bc.host.picker.ExpectedLatency(service)
	return max(0, bc.begun.Add(balanceObjective).Sub(bc.model.now)-expected-expected/2) / balanceWaitDivisor
}

// Pick implements call.Picker.
func (bc *balanceCall) Pick(tried []host.ID, now time.Time) (datacentre.Upstream, bool) {
	return bc.host.picker.PickWithMaxWait(service, bc.model.all, tried, bc.maxWait(), now)
}

// PickWithCapacity implements call.Picker.
func (bc *balanceCall) PickWithCapacity(tried []host.ID, now time.Time) (datacentre.Upstream, bool) {
	return bc.host.picker.PickWithCapacity(service, bc.model.all, tried, now)
}

// PickLocal implements call.LocalPicker.
func (bc *balanceCall) PickLocal(tried []host.ID, now time.Time) (datacentre.Upstream, bool) {
	return bc.host.picker.PickLocal(service, bc.model.all, tried, now)
}

// latency returns the one-way latency between a call's host and its upstream.
func (bc *balanceCall) latency() time.Duration {
	if bc.up.DataCentre == bc.host.dataCentre {
		return balanceLocalLatency
	}
	return bc.model.cfg.remoteLatency
}

func (bm *balanceModel) execute(bc *balanceCall, acts []call.Action) {
	for _, ac := range acts {
		switch ac := ac.(type) {
		case call.SendAttempt:
			bc.up = ac.Upstream
			bc.sent = bm.now
			bc.host.picker.Started(ac.Upstream)
			bm.calls[ac.Attempt] = bc
			bm.figures.attempts++
			bm.figures.countMessage(bc, balanceRequestBytes)
			bm.schedule(bc.latency(), func() { bm.arrive(bc, ac) })
		case call.Respond:
			if ac.Result.Outcome == call.OutcomeRan {
				bm.figures.served(bc, bm.now)
			} else {
				bm.figures.refuse(bc, bm.now)
			}
		}
	}
}

func (bm *balanceModel) arrive(bc *balanceCall, sa call.SendAttempt) {
	bc.queuedAs = host.Attempt{
		ID:          sa.Attempt,
		Incarnation: 1,
		Service:     service,
		Kind:        "page",
		NoQueue:     sa.NoQueue,
		Objective:   bc.begun.Add(balanceObjective),
		Deadline:    sa.Deadline,
	}
	bm.step(bm.byHost[sa.Upstream.Host], host.Arrived{Attempt: bc.queuedAs})
}

// step passes an event to a gate and executes its actions.
func (bm *balanceModel) step(bu *balanceUpstream, ev host.Event) {
	for _, ac := range bu.gate.Step(ev, bm.now) {
		switch ac := ac.(type) {
		case host.Dispatch:
			bm.dispatch(bu, ac.ID)
		case host.Refuse:
			bm.reply(bu, ac.ID, call.Result{
				Outcome:     call.OutcomeNotRun,
				Reason:      ac.Reason,
				RetryAfter:  ac.RetryAfter,
				RateLimited: ac.RateLimited,
			})
		}
	}
	if at := bu.gate.WakeAt(bm.now); !at.IsZero() && (!bu.wakeAt.After(bm.now) || at.Before(bu.wakeAt)) {
		bu.wakeAt = at
		bm.schedule(at.Sub(bm.now), func() { bm.step(bu, host.Tick{}) })
	}
}

func (bm *balanceModel) dispatch(bu *balanceUpstream, id host.AttemptID) {
	bc := bm.calls[id]
	if bm.cfg.sheds != nil && bm.cfg.sheds(bu.index) {
		bm.schedule(time.Millisecond, func() {
			bm.step(bu, host.Ended{ID: id, Outcome: host.OutcomeNotRun, Reason: host.ReasonUpstreamRefused})
			bm.reply(bu, id, call.Result{Outcome: call.OutcomeNotRun, Reason: host.ReasonUpstreamRefused})
		})
		return
	}
	bc.dispatched = bm.now
	sentAt := bm.now
	bm.schedule(bu.runTime(bc.work, bm.now), func() {
		bm.step(bu, host.Noticed{
			SentAt: sentAt,
			Notice: host.Notice{Slowdown: host.Slowdown(100 * bu.slowdown(bm.now))},
		})
		bm.step(bu, host.Ended{ID: id, Outcome: host.OutcomeRan})
		bm.reply(bu, id, call.Result{Outcome: call.OutcomeRan, Status: 200})
	})
}

// reply sends the reply to an attempt, with the gate's load.
func (bm *balanceModel) reply(bu *balanceUpstream, id host.AttemptID, re call.Result) {
	bc := bm.calls[id]
	if bc.moving {
		return
	}
	delete(bm.calls, id)
	ob := call.Observation{
		Result:       re,
		LoadPermille: bu.gate.LoadPermille(bm.now),
		HasLoad:      true,
		Load:         bu.gate.Load(bm.now),
		HasDetail:    true,
	}
	if bm.cfg.fault != nil {
		bm.cfg.fault(bu.index, &ob)
	}
	size := balanceResponseBytes
	if re.Outcome != call.OutcomeRan {
		size = balanceRefusalBytes
	}
	bm.figures.countMessage(bc, size)
	bm.schedule(bc.latency(), func() {
		ob.Latency = bm.now.Sub(bc.sent)
		bc.host.picker.Ended(bc.up, ob, bm.now)
		bm.execute(bc, bc.core.Step(call.AttemptEnded{Attempt: id, Result: re}, bm.now))
		bm.wakeCall(bc)
	})
}

// wakeCall runs the timer of a call whose next attempt is scheduled.
func (bm *balanceModel) wakeCall(bc *balanceCall) {
	at := bc.core.WakeAt()
	if at.IsZero() || !at.Before(bc.begun.Add(balanceTimeout)) {
		return
	}
	bm.schedule(max(0, at.Sub(bm.now)), func() {
		bm.execute(bc, bc.core.Step(call.Tick{}, bm.now))
	})
}
