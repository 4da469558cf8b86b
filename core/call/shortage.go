package call

import (
	"math"
	"time"

	"lynxfold/core/contract"
	"lynxfold/core/host"
)

const (
	// shortageWindow is the time constant with which older results of calls are forgotten.
	shortageWindow = 3 * time.Second
	// shortagePrior is the number of served calls that a service is credited with, so that
	// few results show no large shortage.
	shortagePrior = 1.0
)

// ShortageMeter measures which share of this node's calls to each service is refused for
// want of capacity, by rank, and apart from that for nested calls.
type ShortageMeter struct {
	services map[contract.ServiceName][]*demand
}

// demand counts the calls of one rank, or the nested ones, with exponential decay.
type demand struct {
	nested    bool
	rank      int
	calls     float64
	refused   float64
	failed    float64
	updatedAt time.Time
}

// NewShortageMeter returns a meter that has recorded nothing.
func NewShortageMeter() *ShortageMeter {
	return &ShortageMeter{services: map[contract.ServiceName][]*demand{}}
}

// isShortage reports whether a call was refused because its service has no capacity left.
func isShortage(re Result) bool {
	if re.Outcome != OutcomeNotRun {
		return false
	}
	switch re.Reason {
	case host.ReasonQueueFull, host.ReasonBusy, host.ReasonDeadline, ReasonServiceFull:
		return true
	}
	return false
}

// Record records the result of a call.
func (sm *ShortageMeter) Record(sv contract.ServiceName, rank int, nested bool, re Result, now time.Time) {
	if nested {
		rank = 0
	}
	de := sm.demand(sv, rank, nested)
	de.decay(now)
	de.calls++
	switch {
	case isShortage(re):
		de.refused++
	case re.Outcome == OutcomeRan && re.Status >= statusInternalServerError:
		de.failed++
	}
}

func (sm *ShortageMeter) demand(sv contract.ServiceName, rank int, nested bool) *demand {
	for _, de := range sm.services[sv] {
		if de.rank == rank && de.nested == nested {
			return de
		}
	}
	de := &demand{
		nested: nested,
		rank:   rank,
	}
	sm.services[sv] = append(sm.services[sv], de)
	return de
}

// decay reduces the counts by the time since the last update.
func (de *demand) decay(now time.Time) {
	if now.After(de.updatedAt) {
		factor := math.Exp(-now.Sub(de.updatedAt).Seconds() / shortageWindow.Seconds())
		de.calls *= factor
		de.refused *= factor
		de.failed *= factor
		de.updatedAt = now
	}
}

// Shortages returns the shortages of a service.
func (sm *ShortageMeter) Shortages(sv contract.ServiceName, now time.Time) []host.Shortage {
	var out []host.Shortage
	for _, de := range sm.services[sv] {
		de.decay(now)
		out = append(out, host.Shortage{
			Nested:  de.nested,
			Rank:    de.rank,
			Refused: de.refused / (de.calls + shortagePrior),
			Failed:  de.failed / (de.calls + shortagePrior),
		})
	}
	return out
}
