package rollout

import (
	"fmt"
	"hash/fnv"
	"time"

	"lynxfold/core/contract"
	"lynxfold/core/host"
)

// CoordinatorConfig configures a Coordinator.
type CoordinatorConfig struct {
	Host host.ID
	// CanaryShare is the largest share of all requests that a bad release may receive.
	CanaryShare float64
	// CanarySlack is the number of requests that it may receive beyond that share.
	CanarySlack float64
}

// CoordinatorHost returns the first of the hosts in rendezvous order of a service; empty if
// there are none.
func CoordinatorHost(name contract.ServiceName, hosts []host.ID) host.ID {
	var (
		first host.ID
		best  uint64
	)
	for _, id := range hosts {
		ha := fnv.New64a()
		_, _ = ha.Write([]byte(name))
		_, _ = ha.Write([]byte{0})
		_, _ = ha.Write([]byte(id))
		if rank := mix(ha.Sum64()); first == "" || rank > best || rank == best && id < first {
			first, best = id, rank
		}
	}
	return first
}

// Coordinator decides the roll-out of one service on the host that believes to be the
// first in rendezvous order. Others may believe so, too: the status row in the store
// decides between them. It is not safe for concurrent use.
type Coordinator struct {
	cfg    CoordinatorConfig
	record Record
	// claimed says that the status row is known to be about the order.
	claimed bool
	// written is set while a write of the status row is in flight; the next one is due at
	// writeAt.
	writing bool
	writeAt time.Time

	verdict verdict
	finding Finding
	hosts   map[host.ID]*reporter
	// shiftedRevision is the first revision in PhaseShifted.
	shiftedRevision Revision
	// sent counts the attempts at the service since the order, and toRelease those at the
	// release.
	sent, toRelease uint64
	// firstUpstreamAt is when the first upstream of the release was seen.
	firstUpstreamAt time.Time
	// badSince is since when the verdict is that the release is bad.
	badSince time.Time
	// warmUpTroubled is set when the service as a whole was in trouble while the upstreams
	// of the release were new.
	warmUpTroubled bool
	// troubledAt is when that was last seen.
	troubledAt time.Time
	actions    []Action
}

// reporter is a host that has sent reports.
type reporter struct {
	last Report
	at   time.Time
}

// NewCoordinator returns a coordinator that continues from a record.
func NewCoordinator(cfg CoordinatorConfig, re Record) *Coordinator {
	co := &Coordinator{
		cfg:     cfg,
		record:  re,
		verdict: newVerdict(),
		hosts:   map[host.ID]*reporter{},
	}
	if re.Phase == PhaseShifted {
		co.shiftedRevision = re.Revision
	}
	return co
}

// Record returns the current record.
func (co *Coordinator) Record() Record { return co.record }

// Finding returns the latest comparison of the releases.
func (co *Coordinator) Finding() Finding { return co.finding }

// Sent returns the attempts at the service since the order, and those at the release.
func (co *Coordinator) Sent() (all, toRelease uint64) { return co.sent, co.toRelease }

// Event is an input of a coordinator.
type Event interface{ isEvent() }

// Action is an output of a coordinator.
type Action interface{ isAction() }

// ReportReceived delivers a report of a host.
type ReportReceived struct {
	Report Report
}

// Tick drives the schedule.
type Tick struct {
	Mesh Mesh
}

// Mesh is what the coordinator's host knows of the mesh.
type Mesh struct {
	// Hosts are the live hosts that are neither suspected nor separated.
	Hosts []host.ID
	// OtherHosts are those of them whose upstreams run other releases.
	OtherHosts map[host.ID]bool
	// OfRelease and Others count the usable upstreams.
	OfRelease, Others int
	// Established says that the ordered release is in use anyway, as after an order that
	// was replaced.
	Established bool
}

// Learnt delivers a record from another host that supersedes the known one.
type Learnt struct {
	Record Record
}

// StatusKnown delivers what the status row says after a write.
type StatusKnown struct {
	Status Status
}

// StatusLost reports that the status row could not be written or read.
type StatusLost struct{}

func (ReportReceived) isEvent() {}
func (Tick) isEvent()           {}
func (Learnt) isEvent()         {}
func (StatusKnown) isEvent()    {}
func (StatusLost) isEvent()     {}

// Publish spreads a record.
type Publish struct {
	Record Record
}

// WriteStatus writes the status row of an order, unless it says already that the order has
// ended or was replaced; a StatusKnown or StatusLost event follows.
type WriteStatus struct {
	Record Record
}

func (Publish) isAction()     {}
func (WriteStatus) isAction() {}

// Status is the content of the status row.
type Status struct {
	Order   OrderID
	Release host.Release
	// Phase is PhaseCanary while the order runs.
	Phase Phase
}

// Step handles one event and returns the resulting actions.
func (co *Coordinator) Step(ev Event, now time.Time) []Action {
	co.actions = nil
	switch ev := ev.(type) {
	case ReportReceived:
		co.reportReceived(ev.Report, now)
	case Tick:
		co.tick(ev.Mesh, now)
	case Learnt:
		co.learnt(ev.Record)
	case StatusKnown:
		co.statusKnown(ev.Status, now)
	case StatusLost:
		co.writing = false
		co.writeAt = now.Add(writeRetry)
	}
	return co.actions
}

func (co *Coordinator) emit(ac Action) { co.actions = append(co.actions, ac) }

// publish spreads a new state of the order.
func (co *Coordinator) publish(change func(re *Record)) {
	co.record.Revision++
	co.record.Coordinator = co.cfg.Host
	change(&co.record)
	co.emit(Publish{Record: co.record})
}

func (co *Coordinator) enter(ph Phase, re Reason, now time.Time) {
	co.publish(func(rc *Record) {
		rc.Phase = ph
		rc.Reason = re
	})
	if ph == PhaseShifted {
		co.shiftedRevision = co.record.Revision
	}
	co.writeAt = now
}

func (co *Coordinator) learnt(re Record) {
	if re.Order != co.record.Order {
		*co = *NewCoordinator(co.cfg, re)
		return
	}
	if re.Supersedes(co.record) {
		if re.Phase == PhaseShifted && co.record.Phase != PhaseShifted {
			co.shiftedRevision = re.Revision
		}
		co.record = re
	}
}

// statusKnown takes over what the status row says; the row decides between coordinators.
func (co *Coordinator) statusKnown(st Status, now time.Time) {
	co.writing = false
	if st.Order != co.record.Order || !st.Phase.Final() {
		co.claimed = st.Order == co.record.Order
		co.writeAt = now.Add(writeRetry)
		return
	}
	if co.record.Confirmed {
		return
	}
	reason := co.record.Reason
	if st.Phase != co.record.Phase {
		reason = ReasonStatusRow
		if st.Phase == PhaseCompleted && co.record.Phase == PhaseShifted {
			reason = ReasonDrained
		}
	}
	co.publish(func(re *Record) {
		re.Phase = st.Phase
		re.Reason = reason
		re.Confirmed = true
	})
}

// reportReceived adds what a host has observed since its last report. The totals of a host
// that has restarted begin anew.
func (co *Coordinator) reportReceived(rp Report, now time.Time) {
	if rp.Order != co.record.Order {
		return
	}
	rr := co.hosts[rp.Host]
	if rr == nil {
		rr = &reporter{}
		co.hosts[rp.Host] = rr
	}
	for st, ev := range rp.Evidence {
		co.addEvidence(st, ev, rr.last.Evidence[st])
	}
	rr.last = rp
	rr.at = now
}

func (co *Coordinator) addEvidence(st Stream, ev, last Evidence) {
	if ev.Observed < last.Observed || ev.Sent < last.Sent {
		last = Evidence{}
	}
	bad := float64(ev.Failed+ev.Slow) - float64(last.Failed+last.Slow)
	good := float64(ev.Observed-last.Observed) - bad
	ofRelease := st.Release == co.record.Release
	if !st.Warming || !co.warmUpTroubled {
		co.verdict.add(st.Route, ofRelease, max(0, good), max(0, bad))
	}
	if !ofRelease {
		co.verdict.baseLatency += (ev.Latency - last.Latency).Seconds()
		co.verdict.baseUsual += (ev.Usual - last.Usual).Seconds()
	}
	co.sent += ev.Sent - last.Sent
	if ofRelease {
		co.toRelease += ev.Sent - last.Sent
	}
}

// String describes the finding for logs and operators.
func (fi Finding) String() string {
	route := fi.Route
	if route == "" {
		route = contract.RouteName("all")
	}
	return fmt.Sprintf("route %s: %d of %d responses failed or slow, baseline %.2f, ratio %.1f",
		route, fi.Failures, fi.Responses, fi.BaselineRate, fi.Ratio)
}
