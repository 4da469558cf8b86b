package rollout

import (
	"math"
	"time"

	"lynxfold/core/host"
)

const (
	// writeRetry is the time between two attempts to write the status row.
	writeRetry = 250 * time.Millisecond
	// writeMargin is reserved before the deadline for the write of the outcome.
	writeMargin = time.Second
	// maxFinish is the time that calls at the other releases get to finish after the
	// shift, and finishPart its largest part of the time that the order allows.
	maxFinish  = 3 * time.Second
	finishPart = 0.25
	// rampStep is the time for which the release receives a quarter of the calls, and
	// then half of them, before the shift.
	// It is longer for a service with few requests, up to maxRampStep.
	rampStep    = 500 * time.Millisecond
	maxRampStep = 1500 * time.Millisecond
	// rampRequests is the number of requests of the first step.
	rampRequests = 30
	// trialPart is the part of the upstreams whose load is sent to the release on trial.
	trialPart = 0.04
	// maxTrialPart bounds the share on trial as a part of the share that a bad release may
	// receive. The rest is for requests between the shift and the detection of a fault
	// that only full load shows.
	maxTrialPart = 0.8
	// minTrialRate is the number of requests a second that a service with few requests
	// sends to the release on trial if its share allows.
	minTrialRate = 8
	// minResponses is the number of responses without which a release is not taken into
	// use, unless the service has hardly any calls.
	minResponses = 8
	// incomparableFor is how long after its first upstream trouble of the service shows in
	// calls that began when the upstreams were new.
	incomparableFor = 6 * time.Second
	// troubleLasts is for how long after trouble in that time nothing is compared.
	troubleLasts = 2 * time.Second
	// confirmFor is for how long a verdict waits in the first seconds of a release for
	// signs that the whole service is in trouble, while the release receives nothing.
	confirmFor = 700 * time.Millisecond
	// idleRate is the number of requests a second below which a service has hardly any.
	idleRate = 1
	// suspiciousRatio stops the share from rising until further responses clear it.
	suspiciousRatio = verdictThreshold / 3
	// reportMaxAge is the age from which a report says nothing about what is in flight.
	reportMaxAge = time.Second
)

// shiftAt returns when the release is to receive all calls.
func (co *Coordinator) shiftAt() time.Time {
	allowed := co.record.Deadline.Sub(co.record.OrderedAt)
	finish := min(maxFinish, time.Duration(finishPart*float64(allowed)))
	return co.record.Deadline.Add(-finish - writeMargin)
}

// tick compares the releases and takes the next step that is due.
func (co *Coordinator) tick(me Mesh, now time.Time) {
	if co.record.Confirmed {
		return
	}
	if !co.record.Phase.Final() {
		if co.firstUpstreamAt.IsZero() && me.OfRelease > 0 {
			co.firstUpstreamAt = now
		}
		// The slowness of new upstreams multiplies with that of a service in trouble, so
		// that the calls that began then can't be compared.
		if now.Sub(co.firstUpstreamAt) < incomparableFor && co.verdict.troubled() {
			co.warmUpTroubled = true
			co.troubledAt = now
		}
		// Failures arrive before the slow answers of the same time, which the baseline
		// shows later still.
		if now.Sub(co.troubledAt) < troubleLasts {
			co.verdict.startOver()
		}
		co.finding = co.verdict.compare(now)
		if !co.finding.Bad {
			co.badSince = time.Time{}
		}
		switch {
		case me.Established && co.record.Phase == PhaseCanary:
			co.enter(PhaseShifted, ReasonEstablished, now)
		case co.finding.Bad && !me.Established:
			co.rollBackWhenSure(now)
		case co.record.Phase == PhaseCanary:
			co.tickCanary(me, now)
		case co.record.Phase == PhaseShifted:
			co.tickShifted(me, now)
		}
	}
	co.writeDue(me, now)
}

// rollBackWhenSure takes the release back. In its first seconds it only stops its calls at
// first: trouble of the whole service shows at new upstreams, which are slower, earlier
// than at the others.
func (co *Coordinator) rollBackWhenSure(now time.Time) {
	if co.badSince.IsZero() {
		co.badSince = now
	}
	if co.record.Phase == PhaseCanary && now.Sub(co.firstUpstreamAt) < incomparableFor && now.Sub(co.badSince) < confirmFor {
		co.setShare(0, ReasonSuspected)
		return
	}
	co.enter(PhaseRolledBack, ReasonFailing, now)
}

// tickCanary sets the share that is due, or shifts all calls.
func (co *Coordinator) tickCanary(me Mesh, now time.Time) {
	shiftAt := co.shiftAt()
	step := co.rampStep(now)
	rampAt := shiftAt.Add(-2 * step)
	latest := co.record.Deadline.Add(-writeMargin)
	switch {
	case !now.Before(latest):
		co.enter(PhaseRolledBack, co.lateReason(me), now)
	case me.OfRelease == 0:
		co.setShare(0, ReasonNoUpstreams)
	case co.overspent():
		co.setShare(0, ReasonOverspent)
	case now.Before(rampAt):
		co.setShare(co.trialShare(me, now), ReasonTrial)
	case co.finding.Ratio >= suspiciousRatio:
		return
	case now.Before(rampAt.Add(step)):
		co.setShare(everything/4, ReasonHealthy)
	case now.Before(shiftAt) || !co.hasEvidence(me, now):
		co.setShare(everything/2, ReasonHealthy)
	default:
		co.enter(PhaseShifted, ReasonHealthy, now)
	}
}

// rampStep returns for how long the release receives a quarter of the calls.
func (co *Coordinator) rampStep(now time.Time) time.Duration {
	rate := co.rate(now)
	if rate <= 0 {
		return rampStep
	}
	span := time.Duration(rampRequests / (rate / 4) * float64(time.Second))
	allowed := co.record.Deadline.Sub(co.record.OrderedAt)
	return min(max(span, rampStep), maxRampStep, allowed/10)
}

// overspent reports whether the release has received so many requests that a fault found
// now would exceed its share.
func (co *Coordinator) overspent() bool {
	return float64(co.toRelease) > co.cfg.CanaryShare*float64(co.sent)*maxTrialPart+co.cfg.CanarySlack &&
		co.record.Share <= Permille(co.cfg.CanaryShare*float64(everything))
}

// lateReason returns why the release is not in use shortly before the deadline.
func (co *Coordinator) lateReason(me Mesh) Reason {
	switch {
	case me.OfRelease == 0:
		return ReasonNoUpstreams
	case co.finding.Ratio >= suspiciousRatio:
		return ReasonFailing
	case co.finding.Responses < minResponses:
		return ReasonNoEvidence
	}
	return ReasonDeadline
}

func (co *Coordinator) setShare(share Permille, re Reason) {
	if co.record.Share == share && co.record.Coordinator == co.cfg.Host {
		return
	}
	co.publish(func(rc *Record) {
		rc.Share = share
		rc.Reason = re
	})
}

// trialShare returns the share of the release on trial: the load of a few upstreams, and
// more for a service with so few requests that the verdict would take too long. It changes
// in steps, so that the record does not change with each report.
func (co *Coordinator) trialShare(me Mesh, now time.Time) Permille {
	share := co.cfg.CanaryShare / 2
	if me.Others > 0 {
		upstreams := max(1, math.Round(trialPart*float64(me.Others)))
		share = upstreams / float64(me.Others)
	}
	if rate := co.rate(now); rate > 0 {
		share = max(share, minTrialRate/rate)
	}
	share = min(share, maxTrialPart*co.cfg.CanaryShare)
	if co.record.Share != 0 && math.Abs(share-float64(co.record.Share)/float64(everything)) < share/4 {
		return co.record.Share
	}
	return Permille(share * float64(everything))
}

// rate returns the attempts a second at the service; 0 while unknown.
func (co *Coordinator) rate(now time.Time) float64 {
	since := now.Sub(co.record.OrderedAt).Seconds()
	if since < 1 {
		return 0
	}
	return float64(co.sent) / since
}

// hasEvidence reports whether the release has given enough responses to be taken into use.
func (co *Coordinator) hasEvidence(me Mesh, now time.Time) bool {
	return co.verdict.total.good+co.verdict.total.bad >= minResponses ||
		me.Others == 0 || co.rate(now) < idleRate
}

// tickShifted takes the release back if it has lost all its upstreams.
func (co *Coordinator) tickShifted(me Mesh, now time.Time) {
	if me.OfRelease == 0 && me.Others > 0 {
		co.enter(PhaseRolledBack, ReasonNoUpstreams, now)
	}
}

// writeDue writes the status row when it is due: at first to claim it for the order, and
// then the outcome.
func (co *Coordinator) writeDue(me Mesh, now time.Time) {
	if co.writing || now.Before(co.writeAt) || co.record.Confirmed {
		return
	}
	re := co.record
	switch {
	case re.Phase == PhaseRolledBack:
	case re.Phase == PhaseShifted && co.drained(me, now):
		re.Phase = PhaseCompleted
		re.Reason = ReasonDrained
	case !co.claimed:
		re.Phase = PhaseCanary
	default:
		return
	}
	co.writing = true
	co.emit(WriteStatus{Record: re})
}

// drained reports whether nothing runs at the other releases any more and no live host
// would choose them. The release is watched under full load until shortly before the
// deadline. Hosts that have never reported, because they run an earlier release of this
// program, are not waited for beyond that time unless their upstreams run another
// release: the gates of those refuse calls.
func (co *Coordinator) drained(me Mesh, now time.Time) bool {
	if now.Before(co.record.Deadline.Add(-writeMargin)) || co.finding.Ratio >= suspiciousRatio {
		return false
	}
	for _, id := range me.Hosts {
		rr := co.hosts[id]
		if rr == nil && !me.OtherHosts[id] && !now.Before(co.record.Deadline.Add(-writeMargin/2)) {
			continue
		}
		if !co.drainedAt(rr, now) {
			return false
		}
	}
	return true
}

func (co *Coordinator) drainedAt(rr *reporter, now time.Time) bool {
	return rr != nil && now.Sub(rr.at) <= reportMaxAge &&
		rr.last.Revision >= co.shiftedRevision && rr.last.OthersInFlight == 0
}

// Undrained returns the live hosts that completion waits for.
func (co *Coordinator) Undrained(me Mesh, now time.Time) []host.ID {
	var waiting []host.ID
	for _, id := range me.Hosts {
		if !co.drainedAt(co.hosts[id], now) {
			waiting = append(waiting, id)
		}
	}
	return waiting
}
