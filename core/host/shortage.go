package host

import (
	"time"

	"lynxfold/core/contract"
)

// RequestID identifies a caller's request across the attempts at it; empty when the
// caller's protocol has none.
type RequestID string

// Shortage tells how many of the calls to a service were not served, as an ingress has
// observed it lately.
type Shortage struct {
	// Nested says that the calls were made as part of other calls. Rank is the rank of
	// all other calls.
	Nested bool
	Rank   int
	// Refused is the share of the calls that were refused for want of capacity, and Failed
	// the share that ran and failed; both are between 0 and 1.
	Refused float64
	Failed  float64
}

const (
	// shortageDecay is the time in which a reported shortage decays to 0, so that a kind
	// that was shed completely is tried again.
	shortageDecay = 2 * time.Second
	// maxEarlyShed bounds how many late attempts are shed ahead of the share to be shed.
	maxEarlyShed = 4
)

// downstreamShortages decides which attempts to shed because a service that they would
// call is short of capacity. Nested calls are served before all others, so that without
// shedding, a kind of call could crowd out the more urgent ones of the services that it
// calls. Shedding the share that these lose lets both be served equally often, and
// refuses the calls before their upstream has worked on them.
type downstreamShortages struct {
	kinds map[Kind]*kindShortage
}

// kindShortage is what is known of the services that one kind of attempt calls.
type kindShortage struct {
	services map[contract.ServiceName]reportedShortage
	// due is the number of attempts to be shed: each attempt adds the share to be shed. It
	// is negative if late attempts were shed early.
	due float64
}

// reportedShortage is the share of a kind's attempts to be shed because of one service.
type reportedShortage struct {
	share      float64
	reportedAt time.Time
}

// record records the shortages of a service that an attempt of a kind and rank calls.
func (ds *downstreamShortages) record(ki Kind, rank int, ev NestedCalled, now time.Time) {
	if ds.kinds == nil {
		ds.kinds = map[Kind]*kindShortage{}
	}
	ks := ds.kinds[ki]
	if ks == nil {
		ds.forget(now)
		if len(ds.kinds) >= maxKinds {
			return
		}
		ks = &kindShortage{services: map[contract.ServiceName]reportedShortage{}}
		ds.kinds[ki] = ks
	}
	ks.services[ev.Service] = reportedShortage{
		share:      shareToShed(rank, ev),
		reportedAt: now,
	}
}

// forget removes what was reported longer ago than shortageDecay: kinds and services come
// and go with the configuration.
func (ds *downstreamShortages) forget(now time.Time) {
	for ki, ks := range ds.kinds {
		for sv, rs := range ks.services {
			if now.Sub(rs.reportedAt) >= shortageDecay {
				delete(ks.services, sv)
			}
		}
		if len(ks.services) == 0 {
			delete(ds.kinds, ki)
		}
	}
}

// shareToShed returns the share of the admitted calls of a rank to be shed, so that as
// many of them are not served as of the more urgent calls to the service that they call,
// or as of their nested calls.
func shareToShed(rank int, ev NestedCalled) float64 {
	target := 0.0
	for _, sh := range ev.Shortages {
		if sh.Nested || sh.Rank < rank {
			target = max(target, sh.Refused)
		}
	}
	lost := 0.0
	for _, sh := range ev.ParentShortages {
		if !sh.Nested && sh.Rank == rank {
			lost = min(1, sh.Refused+sh.Failed)
		}
	}
	if target <= lost {
		return 0
	}
	return (target - lost) / (1 - lost)
}

// share returns the largest share to be shed because of one of the services.
func (ks *kindShortage) share(now time.Time) float64 {
	share := 0.0
	for _, rs := range ks.services {
		left := 1 - now.Sub(rs.reportedAt).Seconds()/shortageDecay.Seconds()
		share = max(share, rs.share*min(1, left))
	}
	return share
}

// sheds reports whether to shed an attempt that would be admitted. Attempts that are late
// already are shed first.
func (ds *downstreamShortages) sheds(ki Kind, late bool, now time.Time) bool {
	ks := ds.kinds[ki]
	if ks == nil {
		return false
	}
	share := ks.share(now)
	if share == 0 {
		ks.due = 0
		return false
	}
	ks.due += share
	threshold := 1.0
	if late {
		threshold -= maxEarlyShed
	}
	if ks.due < threshold {
		return false
	}
	ks.due--
	return true
}

// handleNestedCalled records the shortages of a service that a running attempt calls.
func (ga *Gate) handleNestedCalled(ev NestedCalled, now time.Time) {
	for _, en := range ga.running {
		if en.attempt.Request == ev.Parent {
			ga.downstream.record(en.attempt.Kind, en.attempt.Rank, ev, now)
			return
		}
	}
}
