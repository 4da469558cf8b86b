package call_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lynxfold/core/call"
	"lynxfold/core/datacentre"
	"lynxfold/core/host"
)

// TestRateLimitedUpstreamIsAvoided checks that an upstream whose gate has refused a call
// because of the rate limit gets no other one before the time that the gate named, and
// that it gets calls again from then on.
func TestRateLimitedUpstreamIsAvoided(t *testing.T) {
	cf := newChooserFixture(t, map[datacentre.Name]int{local: 2})
	limited := cf.all[0]
	cf.chooser.Pick(service, cf.all, nil, cf.now)
	limitedUntil := cf.now.Add(5 * time.Second)
	cf.chooser.Started(limited)
	cf.chooser.Ended(limited, call.Observation{Result: call.Result{
		Outcome:     call.OutcomeNotRun,
		Reason:      host.ReasonBusy,
		RetryAfter:  limitedUntil,
		RateLimited: true,
	}}, cf.now)
	for cf.now.Before(limitedUntil) {
		up, found := cf.chooser.PickWithCapacity(service, cf.all, nil, cf.now)
		assert.Assert(t, found && up.Host != limited.Host)
		up, found = cf.chooser.PickLocal(service, cf.all, nil, cf.now)
		assert.Assert(t, found && up.Host != limited.Host)
		cf.now = cf.now.Add(100 * time.Millisecond)
	}
	counts := cf.picks(200, always(succeeded(2*time.Millisecond, 300)))
	assert.Check(t, counts[limited.Host] > 20, "%v", counts)
}

// TestLeavingUpstreamIsAvoided checks that an upstream that is leaving gets no call while
// another one can serve it, even before its host announces it.
func TestLeavingUpstreamIsAvoided(t *testing.T) {
	cf := newChooserFixture(t, map[datacentre.Name]int{local: 2})
	leaving := cf.all[0]
	cf.chooser.Pick(service, cf.all, nil, cf.now)
	ob := succeeded(2*time.Millisecond, 300)
	ob.Notice = host.PeerNotice{Process: 7, LeavingSince: cf.now}
	ob.HasNotice = true
	cf.chooser.Started(leaving)
	cf.chooser.Ended(leaving, ob, cf.now)
	counts := cf.picks(200, always(succeeded(2*time.Millisecond, 300)))
	assert.Equal(t, counts[leaving.Host], 0)
}

// TestNoticeOutlivesGate checks that what an upstream has stated is kept while its host
// is out of the view, until a response states something else.
func TestNoticeOutlivesGate(t *testing.T) {
	cf := newChooserFixture(t, map[datacentre.Name]int{local: 2})
	up := cf.all[0]
	stated := host.PeerNotice{
		Process:      7,
		RateLimit:    host.RateLimit{Limited: true, PerSecond: 3},
		LeavingSince: cf.now,
	}
	cf.chooser.Pick(service, cf.all, nil, cf.now)
	observe := func(no host.PeerNotice) {
		ob := succeeded(2*time.Millisecond, 300)
		ob.Notice = no
		ob.HasNotice = true
		cf.chooser.Started(up)
		cf.chooser.Ended(up, ob, cf.now)
	}
	observe(stated)
	assert.Equal(t, cf.chooser.Notice(up, cf.now), stated)
	cf.chooser.Pick(service, cf.all[1:], nil, cf.now)
	up.Incarnation++
	assert.Equal(t, cf.chooser.Notice(up, cf.now), stated)

	later := stated
	later.LeavingSince = cf.now.Add(time.Second)
	observe(later)
	assert.Equal(t, cf.chooser.Notice(up, cf.now), stated, "the upstream is leaving since it first said so")

	other := host.PeerNotice{Process: 8, LeavingSince: cf.now.Add(time.Second)}
	observe(other)
	assert.Equal(t, cf.chooser.Notice(up, cf.now), other)
	cf.now = cf.now.Add(time.Millisecond)
	observe(host.PeerNotice{})
	assert.Equal(t, cf.chooser.Notice(up, cf.now), other, "the response may be older than the notice")
	cf.now = cf.now.Add(time.Millisecond)
	observe(host.PeerNotice{})
	assert.Equal(t, cf.chooser.Notice(up, cf.now), host.PeerNotice{})

	observe(stated)
	cf.now = cf.now.Add(5 * time.Minute)
	assert.Equal(t, cf.chooser.Notice(up, cf.now), host.PeerNotice{})
}
