package rollout

import (
	"hash/fnv"
	"time"

	"lynxfold/core/contract"
	"lynxfold/core/host"
)

const (
	// canaryPermission and shiftedPermission are how long a host sends to the release after
	// the last message from a coordinator. It is longer in PhaseShifted, because the
	// gates of the other releases refuse calls then.
	canaryPermission  = time.Second
	shiftedPermission = 3 * time.Second
	// unnamedFor is how long a release that no order names receives no calls while the
	// service has others.
	unnamedFor = 5 * time.Second
	// settledAfter is how long after the deadline of a completed order its release is
	// still the only one that is used: the upstreams of the others leave within it.
	settledAfter = 15 * time.Second
	// settlingFor is how long after a host has learnt of the first release of a service the
	// releases that it learns of are not new: a host that joins learns of all within it.
	settlingFor = 2 * time.Second
	// absentFor is how long a release that has left the view is remembered, so that it
	// does not count as new when its only upstream is suspected for a moment.
	absentFor = 30 * time.Second
	// warmUp is how long after its first upstream a release is slower than later.
	warmUp = 4 * time.Second
	// maxReleases bounds the releases of a service that are told apart.
	maxReleases = 16
)

// FollowerConfig configures a Follower.
type FollowerConfig struct {
	Host host.ID
	// RollbackWithin is how long a release that responds badly may still receive calls; 0
	// means no limit.
	RollbackWithin time.Duration
}

// Follower decides on one host which releases of a service its calls may use, and counts
// what they show. It is not safe for concurrent use.
type Follower struct {
	cfg      FollowerConfig
	services map[contract.ServiceName]*followed
}

// NewFollower returns a follower that knows of no order.
func NewFollower(cfg FollowerConfig) *Follower {
	return &Follower{cfg: cfg, services: map[contract.ServiceName]*followed{}}
}

// followed is what a host knows of the releases of one service.
type followed struct {
	// record is valid if ordered is set.
	record  Record
	ordered bool
	// rejected is the release of an earlier order that was not taken into use; empty if
	// there is none.
	rejected host.Release
	// heardAt is when a message of a coordinator about the order last arrived.
	heardAt time.Time
	// shiftedPermission is the permission in PhaseShifted.
	shiftedPermission time.Duration
	releases          map[host.Release]*presence
	// credit is the part of a call, in thousandths, that the release may receive yet.
	credit   int
	evidence map[Stream]*Evidence
	running  map[*Attempt]struct{}
	usual    map[contract.RouteName]*usualLatency
}

// presence is when a release was seen.
type presence struct {
	since time.Time
	// absentSince is zero while the service has upstreams of the release.
	absentSince time.Time
	// ordinaryAt is when the release may be used without an order.
	ordinaryAt time.Time
}

func (fo *Follower) service(name contract.ServiceName) *followed {
	se := fo.services[name]
	if se == nil {
		se = &followed{
			shiftedPermission: shiftedPermission,
			releases:          map[host.Release]*presence{},
			evidence:          map[Stream]*Evidence{},
			running:           map[*Attempt]struct{}{},
			usual:             map[contract.RouteName]*usualLatency{},
		}
		if within := fo.cfg.RollbackWithin; within > 0 {
			se.shiftedPermission = min(shiftedPermission, within*3/5)
		}
		fo.services[name] = se
	}
	return se
}

// SetReleases sets the releases that the upstreams of a service in the view run.
func (fo *Follower) SetReleases(name contract.ServiceName, present map[host.Release]bool, now time.Time) {
	se := fo.service(name)
	for re, pr := range se.releases {
		switch {
		case present[re]:
			pr.absentSince = time.Time{}
		case pr.absentSince.IsZero():
			pr.absentSince = now
		case now.Sub(pr.absentSince) > absentFor:
			delete(se.releases, re)
		}
	}
	established := se.knownFor(now) > settlingFor
	for re := range present {
		if se.releases[re] != nil || len(se.releases) >= maxReleases {
			continue
		}
		pr := &presence{since: now, ordinaryAt: now}
		if established && re != "" {
			pr.ordinaryAt = now.Add(unnamedFor)
		}
		se.releases[re] = pr
	}
}

// knownFor returns how long this host has known a release of the service.
func (se *followed) knownFor(now time.Time) time.Duration {
	span := time.Duration(0)
	for _, pr := range se.releases {
		span = max(span, now.Sub(pr.since))
	}
	return span
}

// Learn takes over a record that supersedes the known one.
func (fo *Follower) Learn(re Record, now time.Time) {
	se := fo.service(re.Service)
	if !se.ordered || se.record.Order != re.Order {
		se.reject(re.Release)
		se.evidence = map[Stream]*Evidence{}
		se.credit = initialCredit(fo.cfg.Host, re)
	}
	se.ordered = true
	se.record = re
	if re.Coordinator != "" {
		se.heardAt = now
	}
}

// reject remembers the release of an order that is replaced before it is completed.
func (se *followed) reject(next host.Release) {
	if se.ordered && se.record.Phase != PhaseCompleted {
		se.rejected = se.record.Release
	}
	if se.rejected == next {
		se.rejected = ""
	}
}

// Established reports whether an order names the release that is in use anyway: all others
// that the service has were ordered before and not taken into use.
func (fo *Follower) Established(name contract.ServiceName) bool {
	se := fo.services[name]
	if se == nil || !se.ordered || se.rejected == "" || se.releases[se.record.Release] == nil {
		return false
	}
	for re, pr := range se.releases {
		if pr.absentSince.IsZero() && re != se.record.Release && re != se.rejected {
			return false
		}
	}
	return true
}

// Heard notes a reply of a coordinator that acts by an order.
func (fo *Follower) Heard(name contract.ServiceName, order OrderID, now time.Time) {
	if se := fo.services[name]; se != nil && se.ordered && se.record.Order == order {
		se.heardAt = now
	}
}

// initialCredit spreads the first calls that hosts send to a release: if all began without
// a credit, or with a whole one, the sum over many hosts with few calls each would differ
// from the share.
func initialCredit(id host.ID, re Record) int {
	ha := fnv.New64a()
	_, _ = ha.Write([]byte(id))
	_, _ = ha.Write([]byte{0, byte(re.Order), byte(re.Order >> 8)})
	_, _ = ha.Write([]byte(re.Service))
	return int(mix(ha.Sum64()) % uint64(everything))
}

// mix distributes the bits of a hash of short strings, which FNV leaves similar.
func mix(sum uint64) uint64 {
	sum = (sum ^ sum>>33) * 0xff51afd7ed558ccd
	sum = (sum ^ sum>>33) * 0xc4ceb9fe1a85ec53
	return sum ^ sum>>33
}

// maxExcluded bounds the releases that a filter excludes.
const maxExcluded = 4

// Filter says which releases a call may use. It is comparable; the zero value allows all.
type Filter struct {
	// Only says that Release is the only one.
	Only    bool
	Release host.Release
	// Trial says that the call is one of the share of a release on trial, which goes to
	// as many of its upstreams as carry Share at the load of the others; to twice as many
	// while Warming, since they are slower then.
	Trial   bool
	Share   Permille
	Warming bool

	excluded [maxExcluded]host.Release
}

// Allows reports whether the call may use a release.
func (fi Filter) Allows(re host.Release) bool {
	if fi.Only {
		return re == fi.Release
	}
	for _, ex := range fi.excluded {
		if ex != "" && ex == re {
			return false
		}
	}
	return true
}

// Fallback returns the filter to use if no upstream is allowed: it allows the ordered
// release, and others that are excluded still.
func (fi Filter) Fallback() Filter {
	return Filter{excluded: [maxExcluded]host.Release{1: fi.excluded[1]}}
}

// TrialUpstreams returns to how many of the upstreams of a release a trial goes when the
// other releases have others upstreams.
func (fi Filter) TrialUpstreams(others int) int {
	n := (int(fi.Share)*others + int(everything) - 1) / int(everything)
	if fi.Warming {
		n *= 2
	}
	return max(1, n)
}

// Choose returns which releases the next attempt at a service may use. A trial takes the
// credit for one attempt, which Started settles.
func (fo *Follower) Choose(name contract.ServiceName, now time.Time) Filter {
	se := fo.services[name]
	if se == nil {
		return Filter{}
	}
	re := se.record
	if se.ordered && re.Phase == PhaseCanary && se.permitted(now) && se.credit+int(re.Share) >= int(everything) {
		se.credit -= int(everything)
		return Filter{
			Only:    true,
			Release: re.Release,
			Trial:   true,
			Share:   re.Share,
			Warming: se.warming(now),

			excluded: [maxExcluded]host.Release{1: se.rejected},
		}
	}
	return fo.ChooseFurther(name, now)
}

// ChooseFurther is Choose for an attempt that is not part of a trial: a further attempt of
// a call, or one that found no upstream for a trial.
func (fo *Follower) ChooseFurther(name contract.ServiceName, now time.Time) Filter {
	se := fo.services[name]
	if se == nil {
		return Filter{}
	}
	if se.takesAll(now) {
		return Filter{
			Only:     true,
			Release:  se.record.Release,
			excluded: [maxExcluded]host.Release{1: se.rejected},
		}
	}
	fi := Filter{}
	if se.ordered && se.record.Phase != PhaseCompleted {
		fi.excluded[0] = se.record.Release
	}
	fi.excluded[1] = se.rejected
	n := 2
	for re, pr := range se.releases {
		if n < maxExcluded && now.Before(pr.ordinaryAt) && (!se.ordered || re != se.record.Release) {
			fi.excluded[n] = re
			n++
		}
	}
	return fi
}

// permitted reports whether the coordinator was heard lately enough to use the release.
func (se *followed) permitted(now time.Time) bool {
	limit := canaryPermission
	if se.record.Phase == PhaseShifted {
		limit = se.shiftedPermission
	}
	return now.Sub(se.heardAt) <= limit
}

// takesAll reports whether the ordered release receives all calls.
func (se *followed) takesAll(now time.Time) bool {
	if !se.ordered {
		return false
	}
	switch se.record.Phase {
	case PhaseShifted:
		return se.permitted(now)
	case PhaseCompleted:
		return now.Before(se.record.Deadline.Add(settledAfter))
	case PhaseCanary, PhaseRolledBack:
	}
	return false
}

// Accepts reports whether a gate whose upstream runs a release admits new calls to it.
func (fo *Follower) Accepts(name contract.ServiceName, re host.Release, now time.Time) bool {
	se := fo.services[name]
	return se == nil || !se.takesAll(now) || re == se.record.Release
}
