package rollout

import (
	"time"

	"lynxfold/core/contract"
	"lynxfold/core/host"
)

const (
	// slowFactor is the ratio to the usual latency of its route from which an attempt is
	// slow. New upstreams take up to twice the usual time at first; bad ones 8 times.
	slowFactor = 4
	// minSlow keeps short delays of the network from counting as slow.
	minSlow = 100 * time.Millisecond
	// usualWeight is the inverse of the weight of an attempt in the usual latency. It is
	// large, so that trouble of some seconds does not become usual.
	usualWeight = 64
	// maxStreams bounds the routes and releases that are told apart; the attempts on
	// further routes are counted together.
	maxStreams = 64
)

// Attempt is an attempt in flight.
type Attempt struct {
	service   contract.ServiceName
	stream    Stream
	startedAt time.Time
	// slowAt is when the attempt counts as slow; zero if that can't be told.
	slowAt time.Time
	// usual is the usual latency of the route; 0 when unknown.
	usual time.Duration
	// evidence counts the attempt until it is observed.
	evidence *Evidence
}

// Started records the start of an attempt at an upstream. trial says that a filter for a
// trial was chosen for it.
func (fo *Follower) Started(name contract.ServiceName, st Stream, trial bool, now time.Time) *Attempt {
	se := fo.service(name)
	se.settle(st.Release, trial)
	st.Warming = se.ordered && st.Release == se.record.Release && se.warming(now)
	at := &Attempt{
		service:   name,
		stream:    st,
		startedAt: now,
		evidence:  se.evidenceOf(st),
	}
	at.evidence.Sent++
	if us := se.usual[st.Route]; us != nil {
		at.usual = us.latency
		at.slowAt = now.Add(max(slowFactor*us.latency, minSlow))
	}
	se.running[at] = struct{}{}
	return at
}

// warming reports whether the upstreams of the ordered release have just started.
func (se *followed) warming(now time.Time) bool {
	pr := se.releases[se.record.Release]
	return pr != nil && now.Sub(pr.since) < warmUp
}

// settle adds the share of an attempt to the credit, and takes away the attempt if it
// goes to the release and Choose has not done so.
func (se *followed) settle(re host.Release, trial bool) {
	if !se.ordered || se.record.Phase != PhaseCanary {
		return
	}
	// A host without permission sends nothing to the release, and must not save up for
	// a burst.
	se.credit = min(se.credit+int(se.record.Share), int(everything))
	ofRelease := re == se.record.Release
	switch {
	case trial && !ofRelease:
		se.credit += int(everything)
	case !trial && ofRelease:
		se.credit -= int(everything)
	}
}

func (se *followed) evidenceOf(st Stream) *Evidence {
	ev := se.evidence[st]
	if ev == nil && len(se.evidence) >= maxStreams {
		st.Route = ""
		ev = se.evidence[st]
	}
	if ev == nil {
		ev = &Evidence{}
		se.evidence[st] = ev
	}
	return ev
}

// Ending is what the end of an attempt shows about its upstream.
type Ending int

// Endings of attempts.
const (
	// EndedGood: the upstream answered without a failure.
	EndedGood Ending = iota
	EndedFailed
	// EndedSilent: the attempt did not run, or was cancelled; it shows nothing unless it
	// was slow by then.
	EndedSilent
)

// Ended records the end of an attempt.
func (fo *Follower) Ended(at *Attempt, en Ending, now time.Time) {
	se := fo.service(at.service)
	delete(se.running, at)
	took := now.Sub(at.startedAt)
	at.markSlow(now)
	if at.evidence != nil {
		switch en {
		case EndedGood:
			at.evidence.Observed++
		case EndedFailed:
			at.evidence.Observed++
			at.evidence.Failed++
		case EndedSilent:
			return
		}
		at.observeLatency(took)
	}
	if en == EndedGood && (!se.ordered || at.stream.Release != se.record.Release) {
		se.updateUsual(at.stream.Route, took)
	}
}

// updateUsual updates the moving average of the latency of a route.
func (se *followed) updateUsual(ro contract.RouteName, took time.Duration) {
	us := se.usual[ro]
	if us == nil {
		if len(se.usual) >= maxStreams {
			return
		}
		us = &usualLatency{}
		se.usual[ro] = us
	}
	us.count = min(us.count+1, usualWeight)
	us.latency += (took - us.latency) / time.Duration(us.count)
}

// usualLatency is the moving average of the latency of a route, over all attempts at first.
type usualLatency struct {
	latency time.Duration
	count   int
}

// markSlow observes an attempt that takes too long as slow, once.
func (at *Attempt) markSlow(now time.Time) {
	if at.evidence == nil || at.slowAt.IsZero() || now.Before(at.slowAt) {
		return
	}
	at.evidence.Observed++
	at.evidence.Slow++
	at.observeLatency(now.Sub(at.startedAt))
}

// observeLatency adds the duration of an attempt that has been observed.
func (at *Attempt) observeLatency(took time.Duration) {
	if at.usual > 0 {
		at.evidence.Latency += took
		at.evidence.Usual += at.usual
	}
	at.evidence = nil
}

// Active returns the services with an order whose outcome is not confirmed, as far as is
// known here.
func (fo *Follower) Active() []Record {
	var all []Record
	for _, se := range fo.services {
		if se.ordered && !se.record.Confirmed {
			all = append(all, se.record)
		}
	}
	return all
}

// Report returns what this host has observed since it learnt of an order.
func (fo *Follower) Report(name contract.ServiceName, now time.Time) Report {
	se := fo.service(name)
	rp := Report{
		Host:     fo.cfg.Host,
		Service:  name,
		Order:    se.record.Order,
		Revision: se.record.Revision,
		Evidence: make(map[Stream]Evidence, len(se.evidence)),
	}
	for at := range se.running {
		at.markSlow(now)
		if at.stream.Release != se.record.Release {
			rp.OthersInFlight++
		}
	}
	for st, ev := range se.evidence {
		rp.Evidence[st] = *ev
	}
	return rp
}
