package quarantine

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"lynxfold/core/host"
)

// Table holds what a host knows of crashes. It is not safe for concurrent use.
type Table struct {
	cfg       Config
	crashes   map[CrashID]*Crash
	suspects  map[host.Fingerprint]*suspect
	survivals map[host.Fingerprint]time.Time
}

// suspect is a request that may have caused crashes.
type suspect struct {
	// crashes are in the order of their times.
	crashes []*Crash
	// trialUntil is until when this host makes no other trial of its callers' requests, and
	// runUntil until when its upstream runs no other one; zero before the first.
	trialUntil time.Time
	runUntil   time.Time
}

// Config configures a Table.
type Config struct {
	// Host staggers the trials of the hosts.
	Host host.ID
	// Hold is how long a request is not run after a trial has ended in another crash. Each
	// further one doubles it, up to maxDoublings times. The first trial comes earlier.
	Hold time.Duration
}

// New returns an empty table.
func New(cfg Config) *Table {
	return &Table{
		cfg:       cfg,
		crashes:   map[CrashID]*Crash{},
		suspects:  map[host.Fingerprint]*suspect{},
		survivals: map[host.Fingerprint]time.Time{},
	}
}

// IsEmpty reports whether no request is suspected.
func (ta *Table) IsEmpty() bool { return len(ta.suspects) == 0 }

// IsSuspected reports whether a request was part of a crash and has not been answered since.
func (ta *Table) IsSuspected(fp host.Fingerprint) bool { return ta.suspects[fp] != nil }

// Quarantined returns the number of requests that have crashed so many upstreams that
// they are quarantined.
func (ta *Table) Quarantined() int {
	n := 0
	for _, su := range ta.suspects {
		if su.isCondemned() {
			n++
		}
	}
	return n
}

// Verdict returns the decision about a request that a gate receives.
func (ta *Table) Verdict(fp host.Fingerprint, now time.Time) Verdict {
	su := ta.suspects[fp]
	if su == nil {
		return Verdict{}
	}
	return ta.verdict(su, ta.heldUntil(su), now)
}

// Admit returns the decision about a request that a caller sends to this host. Once the
// quarantine has ended, one host after the other begins to try the request, each with one
// at a time, since the first trial may show that it still crashes upstreams.
func (ta *Table) Admit(fp host.Fingerprint, now time.Time) Verdict {
	su := ta.suspects[fp]
	if su == nil {
		return Verdict{}
	}
	until := ta.heldUntil(su).Add(ta.stagger(fp, ta.hold(su)))
	if until.Before(su.trialUntil) {
		until = su.trialUntil
	}
	ve := ta.verdict(su, until, now)
	if ve.IsTrial() {
		su.trialUntil = now.Add(trialTimeout)
	}
	return ve
}

// Run returns the decision about a request that is about to run on this host's upstream. A
// request whose quarantine has ended runs once in the time of a trial, also when callers
// of many hosts try it before the outcome of the first trial is known.
func (ta *Table) Run(fp host.Fingerprint, now time.Time) Verdict {
	su := ta.suspects[fp]
	if su == nil {
		return Verdict{}
	}
	until := ta.heldUntil(su)
	if until.Before(su.runUntil) {
		until = su.runUntil
	}
	ve := ta.verdict(su, until, now)
	if ve.IsTrial() {
		su.runUntil = now.Add(trialTimeout)
	}
	return ve
}

// TrialHost returns the host whose upstream runs the trials of a request; empty if there is
// none. All hosts that know the same upstreams choose the same one.
func TrialHost(fp host.Fingerprint, hosts []host.ID) host.ID {
	var first host.ID
	var lowest uint64
	for _, id := range hosts {
		if ha := hashWith(fp, id); first == "" || ha < lowest {
			first, lowest = id, ha
		}
	}
	return first
}

// hashWith returns a hash by which hosts are ordered differently for each request.
func hashWith(fp host.Fingerprint, id host.ID) uint64 {
	ha := fnv.New64a()
	var key [8]byte
	binary.BigEndian.PutUint64(key[:], uint64(fp))
	_, _ = ha.Write(key[:])
	_, _ = ha.Write([]byte(id))
	return ha.Sum64()
}

// stagger returns this host's share of half of a hold.
func (ta *Table) stagger(fp host.Fingerprint, hold time.Duration) time.Duration {
	const steps = 1 << 10
	return hold / 2 * time.Duration(hashWith(fp, ta.cfg.Host)%steps) / steps
}

func (su *suspect) last() *Crash { return su.crashes[len(su.crashes)-1] }

// verdict returns the decision about a suspect, which is not run until a time if it is
// condemned.
func (ta *Table) verdict(su *suspect, until, now time.Time) Verdict {
	ve := Verdict{
		Crashes:   len(su.crashes),
		LastHost:  su.last().Host,
		LastCrash: su.last().At,
	}
	switch {
	case su.isCondemned() && now.Before(until):
		ve.State = StateQuarantined
		ve.Until = until
	case su.isCondemned():
		ve.State = StateIsolated
	default:
		ve.Crashes = ta.ownCrashes(su)
		if ve.Crashes >= crashesToIsolate {
			ve.State = StateIsolated
		}
	}
	return ve
}

// heldUntil returns the end of the quarantine of a suspect if it is condemned.
func (ta *Table) heldUntil(su *suspect) time.Time { return su.last().At.Add(ta.hold(su)) }

// hold returns the length of the quarantine. Crashes that follow each other closely are
// by runs that began before the quarantine was known everywhere.
func (ta *Table) hold(su *suspect) time.Duration {
	hold := ta.cfg.Hold / firstHoldDivisor
	for i := crashesToQuarantine; i < len(su.crashes); i++ {
		if !su.crashes[i].At.Before(su.crashes[i-1].At.Add(hold)) {
			hold = min(max(2*hold, ta.cfg.Hold), ta.cfg.Hold<<maxDoublings)
		}
	}
	return hold
}

// Merge adds news and returns the part that was not known.
func (ta *Table) Merge(ne News, now time.Time) News {
	var fresh News
	for _, sv := range ne.Survivals {
		if ta.addSurvival(sv, now) {
			fresh.Survivals = append(fresh.Survivals, sv)
		}
	}
	for _, cr := range ne.Crashes {
		added := ta.addCrash(cr, now)
		if len(added) > 0 {
			cr.Suspects = added
			fresh.Crashes = append(fresh.Crashes, cr)
		}
	}
	ta.evict()
	fresh.Crashes = ta.kept(fresh.Crashes)
	return fresh
}

// kept returns the crashes without the suspects that were dropped at once. These must not
// count as news, or hosts with full tables would send them to each other without end.
func (ta *Table) kept(crashes []Crash) []Crash {
	var kept []Crash
	for _, cr := range crashes {
		known := ta.crashes[cr.ID]
		cr.Suspects = slices.DeleteFunc(cr.Suspects, func(fp host.Fingerprint) bool {
			return known == nil || !slices.Contains(known.Suspects, fp)
		})
		if len(cr.Suspects) > 0 {
			kept = append(kept, cr)
		}
	}
	return kept
}

// addSurvival clears a request of the crashes before it has run without one, and reports
// whether it was suspected of any.
func (ta *Table) addSurvival(sv Survival, now time.Time) bool {
	if now.Sub(sv.At) > keepFor {
		return false
	}
	if sv.At.After(ta.survivals[sv.Request]) {
		ta.survivals[sv.Request] = sv.At
	}
	su := ta.suspects[sv.Request]
	if su == nil {
		return false
	}
	before := slices.DeleteFunc(slices.Clone(su.crashes), func(cr *Crash) bool { return cr.At.After(sv.At) })
	for _, cr := range before {
		ta.clear(sv.Request, cr)
	}
	return len(before) > 0
}

// addCrash adds a crash, or further suspects of a known one, and returns those added. A
// crash that a quarantined request was part of is put down to it.
func (ta *Table) addCrash(cr Crash, now time.Time) []host.Fingerprint {
	if cr.ID == 0 || now.Sub(cr.At) > keepFor {
		return nil
	}
	known := ta.crashes[cr.ID]
	if known == nil {
		known = &Crash{
			ID:   cr.ID,
			Host: cr.Host,
			At:   cr.At,
		}
	}
	candidates := ta.candidates(known, cr.Suspects)
	var added []host.Fingerprint
	for _, fp := range candidates {
		if len(known.Suspects) < maxSuspectsPerCrash {
			known.Suspects = append(known.Suspects, fp)
			ta.suspect(fp, known)
			added = append(added, fp)
		}
	}
	if len(known.Suspects) > 0 {
		ta.crashes[known.ID] = known
	}
	return added
}

// candidates returns the requests that are to be added to the suspects of a crash.
func (ta *Table) candidates(known *Crash, suspects []host.Fingerprint) []host.Fingerprint {
	candidates := []host.Fingerprint{}
	for _, fp := range suspects {
		survivedAt, survived := ta.survivals[fp]
		if fp == 0 || slices.Contains(known.Suspects, fp) || slices.Contains(candidates, fp) || survived && !known.At.After(survivedAt) {
			continue
		}
		candidates = append(candidates, fp)
	}
	if slices.ContainsFunc(known.Suspects, ta.condemned) || slices.ContainsFunc(candidates, ta.condemned) {
		candidates = slices.DeleteFunc(candidates, func(fp host.Fingerprint) bool { return !ta.condemned(fp) })
	}
	return candidates
}

// suspect adds a crash to those of a request.
func (ta *Table) suspect(fp host.Fingerprint, cr *Crash) {
	su := ta.suspects[fp]
	if su == nil {
		su = &suspect{}
		ta.suspects[fp] = su
	}
	at, _ := slices.BinarySearchFunc(su.crashes, cr, func(a, b *Crash) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.ID, b.ID))
	})
	su.crashes = slices.Insert(su.crashes, at, cr)
	if len(su.crashes) > maxCrashesPerSuspect {
		ta.clear(fp, su.crashes[0])
	}
}

// ownCrashes returns the number of crashes of a request that no quarantined one was part of.
func (ta *Table) ownCrashes(su *suspect) int {
	own := 0
	for _, cr := range su.crashes {
		if !slices.ContainsFunc(cr.Suspects, ta.condemned) {
			own++
		}
	}
	return own
}

// isCondemned reports whether a request was part of enough crashes to be quarantined.
func (su *suspect) isCondemned() bool { return len(su.crashes) >= crashesToQuarantine }

func (ta *Table) condemned(fp host.Fingerprint) bool {
	su := ta.suspects[fp]
	return su != nil && su.isCondemned()
}

// clear removes a request from the suspects of a crash.
func (ta *Table) clear(fp host.Fingerprint, cr *Crash) {
	cr.Suspects = slices.DeleteFunc(cr.Suspects, func(it host.Fingerprint) bool { return it == fp })
	if len(cr.Suspects) == 0 {
		delete(ta.crashes, cr.ID)
	}
	su := ta.suspects[fp]
	su.crashes = slices.DeleteFunc(su.crashes, func(it *Crash) bool { return it == cr })
	if len(su.crashes) == 0 {
		delete(ta.suspects, fp)
	}
}

// Expire forgets requests whose last crash, or run without one, is long ago.
func (ta *Table) Expire(now time.Time) {
	for fp, su := range ta.suspects {
		if now.Sub(su.last().At) > keepFor {
			ta.forget(fp)
		}
	}
	maps.DeleteFunc(ta.survivals, func(_ host.Fingerprint, at time.Time) bool { return now.Sub(at) > keepFor })
}

func (ta *Table) forget(fp host.Fingerprint) {
	for _, cr := range slices.Clone(ta.suspects[fp].crashes) {
		ta.clear(fp, cr)
	}
}

// evict keeps the table within its bounds. Crashes without a quarantined suspect are
// dropped first, and the oldest first.
func (ta *Table) evict() {
	for len(ta.crashes) > maxCrashes {
		oldest := slices.MinFunc(slices.Collect(maps.Values(ta.crashes)), func(a, b *Crash) int {
			return cmp.Or(compareBool(slices.ContainsFunc(a.Suspects, ta.condemned), slices.ContainsFunc(b.Suspects, ta.condemned)),
				a.At.Compare(b.At), cmp.Compare(a.ID, b.ID))
		})
		for _, fp := range slices.Clone(oldest.Suspects) {
			ta.clear(fp, oldest)
		}
	}
	for len(ta.survivals) > maxSurvivals {
		oldest := slices.MinFunc(slices.Collect(maps.Keys(ta.survivals)), func(a, b host.Fingerprint) int {
			return cmp.Or(ta.survivals[a].Compare(ta.survivals[b]), cmp.Compare(a, b))
		})
		delete(ta.survivals, oldest)
	}
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// Evidence returns the latest crashes that a request may have caused.
func (ta *Table) Evidence(fp host.Fingerprint) []Crash {
	su := ta.suspects[fp]
	if su == nil {
		return nil
	}
	latest := su.crashes[max(0, len(su.crashes)-maxEvidence):]
	evidence := make([]Crash, 0, len(latest))
	for _, cr := range latest {
		evidence = append(evidence, Crash{
			ID:       cr.ID,
			Host:     cr.Host,
			At:       cr.At,
			Suspects: []host.Fingerprint{fp},
		})
	}
	return evidence
}

// All returns what a host without knowledge needs, in the order of the crashes.
func (ta *Table) All() News {
	return ta.filtered(func(host.Fingerprint) bool { return true })
}

// Condemned returns the part of All that quarantines requests.
func (ta *Table) Condemned() News { return ta.filtered(ta.condemned) }

// Checksum returns a checksum of Condemned; 0 when it is empty.
func (ta *Table) Checksum() uint64 {
	sum := uint64(0)
	for _, cr := range ta.crashes {
		for _, fp := range cr.Suspects {
			if !ta.condemned(fp) {
				continue
			}
			ha := fnv.New64a()
			var key [16]byte
			binary.BigEndian.PutUint64(key[:8], uint64(cr.ID))
			binary.BigEndian.PutUint64(key[8:], uint64(fp))
			_, _ = ha.Write(key[:])
			sum ^= ha.Sum64()
		}
	}
	return sum
}

// filtered returns the crashes with those of their suspects that are to be included.
func (ta *Table) filtered(include func(fp host.Fingerprint) bool) News {
	var ne News
	for _, cr := range ta.crashes {
		suspects := slices.DeleteFunc(slices.Clone(cr.Suspects), func(fp host.Fingerprint) bool { return !include(fp) })
		if len(suspects) == 0 {
			continue
		}
		ne.Crashes = append(ne.Crashes, Crash{
			ID:       cr.ID,
			Host:     cr.Host,
			At:       cr.At,
			Suspects: suspects,
		})
	}
	slices.SortFunc(ne.Crashes, func(a, b Crash) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.ID, b.ID))
	})
	return ne
}
