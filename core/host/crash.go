package host

import (
	"cmp"
	"slices"
	"time"
)

const (
	// crashWindow is the time before the end of the upstream's process in which it broke
	// off the attempts that may have caused it.
	crashWindow = 5 * time.Second
	// maxBrokenAttempts bounds the attempts remembered for that.
	maxBrokenAttempts = 128
	// maxSuspects bounds the requests that are suspected of one crash.
	maxSuspects = 32
)

// crashTracker collects the requests that may have caused a crash of the upstream.
type crashTracker struct {
	// broken holds the attempts that the current process broke off, oldest first.
	broken []brokenAttempt
	// reported is set once the crash of the current process is reported.
	reported bool
	// served holds the requests that the upstream, in any of its processes, has answered.
	served RecentRequests
}

// brokenAttempt is an attempt whose connection the upstream closed before the end of its
// response.
type brokenAttempt struct {
	fingerprint Fingerprint
	// servedLately says that the ingress had an answer to such a request lately.
	servedLately bool
	dispatched   time.Time
	at           time.Time
}

// recordEnd records how an attempt ended.
func (ct *crashTracker) recordEnd(en *entry, ev Ended, now time.Time) {
	fp := en.attempt.Fingerprint
	if fp == 0 {
		return
	}
	if ev.Outcome == OutcomeRan {
		ct.served.Add(fp, now)
		return
	}
	if ev.Outcome != OutcomeUnknown || ev.Reason != ReasonUpstreamBroken && ev.Reason != ReasonUpstreamTruncated {
		return
	}
	if len(ct.broken) >= maxBrokenAttempts {
		ct.broken = slices.Delete(ct.broken, 0, 1)
	}
	ct.broken = append(ct.broken, brokenAttempt{
		fingerprint:  fp,
		servedLately: en.attempt.ServedLately,
		dispatched:   en.dispatched,
		at:           now,
	})
}

// reportCrash reports the end of the upstream's process, unless the end was to be
// expected or is reported already.
func (ga *Gate) reportCrash(now time.Time) {
	ct := &ga.crashes
	if ct.reported || ga.upstream.State != StateReady || ga.draining() {
		return
	}
	ct.reported = true
	ga.emit(UpstreamCrashed{
		Instance: ga.upstream.Instance,
		Process:  ga.process,
		Since:    ga.processSince,
		Suspects: ga.suspects(now),
	})
}

// suspects returns the requests that the upstream was running at the end of its process,
// those that began last first, without those that were answered lately.
func (ga *Gate) suspects(now time.Time) []Fingerprint {
	ct := &ga.crashes
	candidates := slices.Clone(ct.broken)
	for _, en := range ga.running {
		if en.started || en.attempt.BodyBytes != 0 {
			candidates = append(candidates, brokenAttempt{
				fingerprint:  en.attempt.Fingerprint,
				servedLately: en.attempt.ServedLately,
				dispatched:   en.dispatched,
				at:           now,
			})
		}
	}
	candidates = slices.DeleteFunc(candidates, func(ba brokenAttempt) bool {
		return ba.dispatched.Before(ga.processSince) || now.Sub(ba.at) > crashWindow
	})
	slices.SortFunc(candidates, func(a, b brokenAttempt) int {
		return cmp.Or(b.dispatched.Compare(a.dispatched), cmp.Compare(a.fingerprint, b.fingerprint))
	})
	var suspects []Fingerprint
	for _, ba := range candidates {
		if ba.fingerprint == 0 || ba.servedLately || ct.served.Contains(ba.fingerprint, now) || slices.Contains(suspects, ba.fingerprint) {
			continue
		}
		if len(suspects) < maxSuspects {
			suspects = append(suspects, ba.fingerprint)
		}
	}
	return suspects
}

// forgetProcess forgets the attempts of a former process of the upstream.
func (ct *crashTracker) forgetProcess() {
	ct.broken = nil
	ct.reported = false
}
