package call_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"lynxfold/core/call"
	"lynxfold/core/contract"
	"lynxfold/core/datacentre"
	"lynxfold/core/host"
)

// Parameters of the played loads.
const (
	roomService contract.ServiceName = "readings"
	// oneWayTime is the time of a message between two hosts.
	oneWayTime = 1500 * time.Microsecond
	// shedTime is how long an upstream takes to turn a call away.
	shedTime = time.Millisecond
	// slowRefusal is the time after which a refusal counts as one after waiting.
	slowRefusal = 50 * time.Millisecond
	// retryWaitDivisor bounds a caller's wait before its retry, to a part of the time that it
	// has left.
	retryWaitDivisor = 3
)

// period is when a change of the load lasts, in seconds after the start.
type period struct {
	from, to float64
}

func (pe period) contains(since time.Duration) bool {
	return since.Seconds() >= pe.from && since.Seconds() < pe.to
}

// roomKind is a kind of call of a played load.
type roomKind struct {
	name                     host.Kind
	work, objective, timeout time.Duration
	rank                     int
	notIdempotent            bool
	// rate is in calls per second; it is multiplied by burst during the period.
	rate, burst      float64
	period           period
	worth, lateWorth float64
}

// roomConfig is a played load.
type roomConfig struct {
	seed             uint64
	seconds          float64
	upstreams, slots int
	// slowdown is the factor of the service times during slowPeriod.
	slowdown   float64
	slowPeriod period
	// shedding upstreams turn away this share of the calls sent to them.
	shedding  int
	shedShare float64
	// noRetry callers don't come back after a refusal.
	noRetry bool
	// The first heavy customers make heavyFactor times the calls of the others; a third of
	// the customers have priority 0 and the others 1 if there are priorities.
	customers, heavy int
	heavyFactor      float64
	heavyPeriod      period
	priorities       bool
	kinds            []roomKind
}

// roomTally counts what the calls of one group got.
type roomTally struct {
	calls, within, late, refused, refusedLate int
	value                                     float64
}

// roomCall is a caller's call with its retries.
type roomCall struct {
	kind     *roomKind
	customer int
	begun    time.Time
	deadline time.Time
	work     time.Duration
	retried  bool
	waited   bool
}

// roomIngress is the ingress of one host.
type roomIngress struct {
	chooser   *call.Chooser
	latencies call.KindLatencies
	throttle  call.Throttle
	calls     uint64
	id        host.ID
}

// roomTry is one call at an ingress: the first try of a caller or its retry.
type roomTry struct {
	load      *roomLoad
	ingress   *roomIngress
	call      *roomCall
	core      *call.Call
	begun     time.Time
	objective time.Time
	ended     bool
}

// roomAttempt is an attempt on its way or at a gate.
type roomAttempt struct {
	try      *roomTry
	upstream datacentre.Upstream
	sentAt   time.Time
}

// roomLoad plays a load through the gates, choosers and calls of a mesh in virtual time.
type roomLoad struct {
	cfg   roomConfig
	start time.Time
	now   time.Time
	// arrivals draws the offered load, which is the same whatever becomes of the calls, and
	// rnd all other choices.
	arrivals  *rand.Rand
	rnd       *rand.Rand
	timers    eventQueue
	gates     map[host.ID]*host.Gate
	upstreams []datacentre.Upstream
	ingresses []*roomIngress
	attempts  map[host.AttemptID]*roomAttempt
	tallies   map[string]*roomTally
	offered   []*roomCall
	// slowRefusals and refusals count the answers to callers that were refusals.
	slowRefusals, refusals int
	attemptsSent           int
	busy                   time.Duration
}

func newRoomLoad(cfg roomConfig) *roomLoad {
	rl := &roomLoad{
		cfg:      cfg,
		now:      time.Unix(1_000_000, 0),
		arrivals: rand.New(rand.NewPCG(cfg.seed, 9)),
		rnd:      rand.New(rand.NewPCG(cfg.seed, 10)),
		gates:    map[host.ID]*host.Gate{},
		attempts: map[host.AttemptID]*roomAttempt{},
		tallies:  map[string]*roomTally{},
	}
	rl.start = rl.now
	for i := range cfg.upstreams {
		up := datacentre.Upstream{
			Host:        host.ID(fmt.Sprint("up-", i)),
			DataCentre:  "press-hall",
			Incarnation: 1,
			Service:     roomService,
			Slots:       host.Slots(cfg.slots),
		}
		rl.upstreams = append(rl.upstreams, up)
		ga := host.NewGate(host.Config{
			Incarnation:       1,
			QueuePerSlot:      2,
			DefaultRetryAfter: time.Second,
		})
		ga.Step(host.Announced{
			Announcement: host.Announcement{
				Service: roomService,
				Slots:   up.Slots,
			},
			ExpiresAt: rl.now.Add(time.Hour),
		}, rl.now)
		rl.gates[up.Host] = ga
		rl.ingresses = append(rl.ingresses, &roomIngress{
			id: host.ID(fmt.Sprint("in-", i)),
			chooser: call.NewChooser(call.ChooserConfig{
				DataCentre: "press-hall",
				Rand:       rl.rnd,
			}),
		})
	}
	return rl
}

func (rl *roomLoad) after(delay time.Duration, run func()) {
	heap.Push(&rl.timers, timedEvent{at: rl.now.Add(delay), run: run})
}

// play plays the load until all calls have ended.
func (rl *roomLoad) play() {
	for i := range rl.cfg.kinds {
		rl.arrive(&rl.cfg.kinds[i], 0)
	}
	for rl.timers.Len() > 0 {
		ti := heap.Pop(&rl.timers).(timedEvent)
		rl.now = ti.at
		ti.run()
	}
}

// arrive schedules the next call of a kind.
func (rl *roomLoad) arrive(ki *roomKind, delay time.Duration) {
	rl.after(delay, func() {
		since := rl.now.Sub(rl.start)
		if since.Seconds() >= rl.cfg.seconds {
			return
		}
		rate := ki.rate
		if ki.burst > 0 && ki.period.contains(since) {
			rate *= ki.burst
		}
		weight, total := rl.heavyWeight(since), 1.0
		if rl.cfg.customers > 0 {
			total = (float64(rl.cfg.customers-rl.cfg.heavy) + float64(rl.cfg.heavy)*weight) / float64(rl.cfg.customers)
		}
		rl.begin(ki, rl.pickCustomer(weight))
		rl.arrive(ki, time.Duration(rl.arrivals.ExpFloat64()/(rate*total)*float64(time.Second)))
	})
}

func (rl *roomLoad) heavyWeight(since time.Duration) float64 {
	if rl.cfg.heavy > 0 && rl.cfg.heavyPeriod.contains(since) {
		return rl.cfg.heavyFactor
	}
	return 1
}

// pickCustomer returns a customer's number from 1, or 0 if there are none.
func (rl *roomLoad) pickCustomer(weight float64) int {
	if rl.cfg.customers == 0 {
		return 0
	}
	heavy := float64(rl.cfg.heavy) * weight
	at := rl.arrivals.Float64() * (heavy + float64(rl.cfg.customers-rl.cfg.heavy))
	if at < heavy {
		return 1 + int(at/weight)
	}
	return 1 + rl.cfg.heavy + int(at-heavy)
}

// customerRank returns the rank of a customer's attempts.
func (rl *roomLoad) customerRank(customer int) int {
	switch {
	case !rl.cfg.priorities || customer == 0:
		return 0
	case customer%3 == 0:
		return 1
	}
	return 2
}

func (rl *roomLoad) begin(ki *roomKind, customer int) {
	rc := &roomCall{
		kind:     ki,
		customer: customer,
		begun:    rl.now,
		deadline: rl.now.Add(ki.timeout),
		work:     time.Duration(float64(ki.work) * (0.8 + 0.4*rl.arrivals.Float64())),
	}
	rl.offered = append(rl.offered, rc)
	rl.try(rc)
}

// try begins a call at a random ingress.
func (rl *roomLoad) try(rc *roomCall) {
	in := rl.ingresses[rl.rnd.IntN(len(rl.ingresses))]
	tr := &roomTry{
		load:      rl,
		ingress:   in,
		call:      rc,
		begun:     rl.now,
		objective: rc.begun.Add(rc.kind.objective),
	}
	in.calls++
	tr.core = call.New(call.Config{
		Issuer: host.Issuer{Host: in.id, Incarnation: 1},
		Number: in.calls,
		Terms: contract.Terms{
			Idempotent: !rc.kind.notIdempotent,
			Retries:    2,
			Rank:       rc.kind.rank,
		},
		Deadline:        rc.deadline,
		DeadlineMargin:  min(20*time.Millisecond, rc.deadline.Sub(rl.now)/10),
		Replayable:      true,
		ExpectedLatency: tr.expectedLatency(),
		Picker:          tr,
		LocalPicker:     tr,
		MaxQueueWait:    tr.maxQueueWait(rl.now),
		RetryBudget:     tr,
		MinRetryAfter:   time.Second,
		Jitter:          rl.rnd.Float64,
	})
	if at, refuse := in.throttle.Refuse(tr.throttleKey(), rc.retried, rl.now); refuse {
		at = call.JitterRetryAfter(at, rl.now, time.Second, rl.rnd.Float64())
		tr.respond(call.Result{Outcome: call.OutcomeNotRun, Reason: call.ReasonServiceFull, RetryAfter: at})
		return
	}
	tr.step(call.Begin{})
	rl.after(rc.deadline.Sub(rl.now), func() { tr.step(call.Tick{}) })
}

func (tr *roomTry) throttleKey() call.ThrottleKey {
	rc := tr.call
	key := call.ThrottleKey{
		Service:      roomService,
		CustomerRank: tr.load.customerRank(rc.customer),
		Rank:         rc.kind.rank,
	}
	if rc.customer > 0 {
		key.Customer = contract.CustomerName(fmt.Sprint("customer-", rc.customer))
	}
	return key
}

// maxQueueWait follows that of the server.
func (tr *roomTry) maxQueueWait(now time.Time) time.Duration {
	estimate := tr.expectedLatency()
	return max(0, tr.objective.Sub(now)-estimate-estimate/2) / 2
}

func (tr *roomTry) expectedLatency() time.Duration {
	in := tr.ingress
	return in.latencies.Expected(roomService, contract.TermsName(tr.call.kind.name), in.chooser.ExpectedLatency(roomService))
}

// Pick implements call.Picker.
func (tr *roomTry) Pick(tried []host.ID, now time.Time) (datacentre.Upstream, bool) {
	return tr.ingress.chooser.PickWithMaxWait(roomService, tr.load.upstreams, tried, tr.maxQueueWait(now), now)
}

// PickWithCapacity implements call.Picker.
func (tr *roomTry) PickWithCapacity(tried []host.ID, now time.Time) (datacentre.Upstream, bool) {
	return tr.ingress.chooser.PickWithCapacity(roomService, tr.load.upstreams, tried, now)
}

// PickLocal implements call.LocalPicker.
func (tr *roomTry) PickLocal(tried []host.ID, now time.Time) (datacentre.Upstream, bool) {
	return tr.ingress.chooser.PickLocal(roomService, tr.load.upstreams, tried, now)
}

// Spend implements call.Spender.
func (tr *roomTry) Spend(time.Time) bool { return true }

func (tr *roomTry) step(ev call.Event) {
	if tr.ended {
		return
	}
	rl := tr.load
	for _, ac := range slices.Clone(tr.core.Step(ev, rl.now)) {
		switch ac := ac.(type) {
		case call.SendAttempt:
			tr.send(ac)
		case call.CancelAttempt:
			rl.after(oneWayTime, func() { rl.cancel(ac.Attempt) })
		case call.Respond:
			tr.ingress.throttle.Record(tr.throttleKey(), ac.Result, rl.now)
			tr.respond(ac.Result)
			return
		}
	}
	if at := tr.core.WakeAt(); at.Before(tr.call.deadline) {
		rl.after(at.Sub(rl.now), func() { tr.step(call.Tick{}) })
	}
}

func (tr *roomTry) send(sa call.SendAttempt) {
	rl, rc := tr.load, tr.call
	rl.attemptsSent++
	at := host.Attempt{
		ID:           sa.Attempt,
		Incarnation:  1,
		Service:      roomService,
		Rank:         rc.kind.rank,
		Kind:         rc.kind.name,
		Objective:    tr.objective,
		CallerRetry:  rc.retried,
		NoQueue:      sa.NoQueue,
		Deadline:     sa.Deadline,
		CustomerRank: rl.customerRank(rc.customer),
	}
	if rc.customer > 0 {
		at.Customer = contract.CustomerName(fmt.Sprint("customer-", rc.customer))
	}
	rl.attempts[sa.Attempt] = &roomAttempt{
		try:      tr,
		upstream: sa.Upstream,
		sentAt:   rl.now,
	}
	tr.ingress.chooser.Started(sa.Upstream)
	rl.after(oneWayTime, func() { rl.stepGate(sa.Upstream.Host, host.Arrived{Attempt: at}) })
	rl.after(sa.Deadline.Sub(rl.now), func() { rl.stepGate(sa.Upstream.Host, host.Tick{}) })
}

func (rl *roomLoad) cancel(id host.AttemptID) {
	if ra := rl.attempts[id]; ra != nil {
		rl.stepGate(ra.upstream.Host, host.Cancelled{ID: id})
	}
}

func (rl *roomLoad) stepGate(id host.ID, ev host.Event) {
	for _, ac := range slices.Clone(rl.gates[id].Step(ev, rl.now)) {
		switch ac := ac.(type) {
		case host.Dispatch:
			rl.serve(id, ac.ID)
		case host.Refuse:
			rl.reply(ac.ID, call.Result{
				Outcome:     call.OutcomeNotRun,
				Reason:      ac.Reason,
				RetryAfter:  ac.RetryAfter,
				RateLimited: ac.RateLimited,
			})
		}
	}
}

// serve runs an attempt at the upstream, or turns it away.
func (rl *roomLoad) serve(up host.ID, id host.AttemptID) {
	work := rl.attempts[id].try.call.work
	if rl.cfg.slowdown > 0 && rl.cfg.slowPeriod.contains(rl.now.Sub(rl.start)) {
		work = time.Duration(float64(work) * rl.cfg.slowdown)
	}
	if rl.sheds(up) {
		rl.after(shedTime, func() {
			re := host.ReasonUpstreamRefused
			rl.stepGate(up, host.Ended{ID: id, Outcome: host.OutcomeNotRun, Reason: re})
			rl.reply(id, call.Result{Outcome: call.OutcomeNotRun, Reason: re})
		})
		return
	}
	rl.busy += work
	rl.after(work, func() {
		rl.stepGate(up, host.Ended{ID: id, Outcome: host.OutcomeRan})
		rl.reply(id, call.Result{Outcome: call.OutcomeRan, Status: 200})
	})
}

func (rl *roomLoad) sheds(up host.ID) bool {
	for _, it := range rl.upstreams[:rl.cfg.shedding] {
		if it.Host == up {
			return rl.rnd.Float64() < rl.cfg.shedShare
		}
	}
	return false
}

// reply sends the result of an attempt to its ingress.
func (rl *roomLoad) reply(id host.AttemptID, re call.Result) {
	ra := rl.attempts[id]
	delete(rl.attempts, id)
	load := rl.gates[ra.upstream.Host].LoadPermille(rl.now)
	rl.after(oneWayTime, func() {
		ra.try.ingress.chooser.Ended(ra.upstream, call.Observation{
			Result:       re,
			Latency:      rl.now.Sub(ra.sentAt),
			HasLoad:      true,
			LoadPermille: load,
		}, rl.now)
		if re.Outcome == call.OutcomeRan {
			ra.try.ingress.latencies.Observe(roomService, contract.TermsName(ra.try.call.kind.name), rl.now.Sub(ra.sentAt))
		}
		ra.try.step(call.AttemptEnded{Attempt: id, Result: re})
	})
}

// respond ends a try: the caller has its answer, comes back later, or is lost.
func (tr *roomTry) respond(re call.Result) {
	tr.ended = true
	rl, rc := tr.load, tr.call
	if re.Outcome == call.OutcomeRan {
		rl.count(rc, true)
		return
	}
	rl.refusals++
	if rl.now.Sub(tr.begun) > slowRefusal {
		rl.slowRefusals++
		rc.waited = true
	}
	left := rc.deadline.Sub(rl.now)
	if rc.retried || rl.cfg.noRetry || left <= 0 {
		rl.count(rc, false)
		return
	}
	rc.retried = true
	rl.after(min(max(0, re.RetryAfter.Sub(rl.now)), left/retryWaitDivisor), func() { rl.try(rc) })
}
