package host

import (
	"math"
	"slices"
	"time"

	"lynxfold/core/contract"
)

// urgency orders attempts by the priority of their customer and then by the rank of their
// route; attempts of a lower urgency value are dispatched first.
type urgency int64

const (
	urgencyRankBits = 32
	// noPriority takes the place of the priority of a customer that has none, and of calls
	// without a customer.
	noPriority = 1 << 30
)

// urgency returns the urgency of an attempt.
func (at *Attempt) urgency() urgency {
	priority := noPriority
	if at.CustomerRank > 0 {
		priority = min(at.CustomerRank, noPriority-1)
	}
	return urgency(priority)<<urgencyRankBits + urgency(min(at.Rank, math.MaxInt32))
}

// level is what a gate knows of the attempts of one urgency.
type level struct {
	urgency urgency
	// demand is a moving average of the number of running and queued lookups; sample is the
	// number that is being counted.
	demand float64
	sample int
	// running is the number of dispatched attempts of both classes that have not ended.
	running int
	// time is the service time of lookups, and slack the moving average of the time for
	// which a lookup can wait on arrival and still meet its objective.
	time  estimate
	slack time.Duration
	// virtualTime is the fairness tag of the last dispatched attempt, and shared is set once
	// an attempt has named a customer.
	virtualTime time.Duration
	shared      bool
	// waits is the error of the estimated waits, and laggingWaits that of customers that
	// have attempts ahead of their next one.
	waits        waitError
	laggingWaits waitError
	share        servedShare
}

// levels holds the levels of a gate, the most urgent first.
type levels struct {
	list []*level
}

const (
	// maxLevels bounds the levels of a gate. Further urgencies share the last one.
	maxLevels = 32
	// unusedDemand is the demand below which a level without running attempts is dropped
	// for a new one.
	unusedDemand = 0.01
)

// of returns the level of an urgency.
func (lv *levels) of(ur urgency) *level {
	at, found := slices.BinarySearchFunc(lv.list, ur, func(le *level, ur urgency) int {
		switch {
		case le.urgency < ur:
			return -1
		case le.urgency > ur:
			return 1
		}
		return 0
	})
	if found {
		return lv.list[at]
	}
	if len(lv.list) >= maxLevels {
		unused := slices.IndexFunc(lv.list, func(le *level) bool { return le.running == 0 && le.demand < unusedDemand })
		if unused < 0 {
			return lv.list[len(lv.list)-1]
		}
		lv.list = slices.Delete(lv.list, unused, unused+1)
		return lv.of(ur)
	}
	le := &level{urgency: ur}
	lv.list = slices.Insert(lv.list, at, le)
	return le
}

// demandAbove returns the demand of the levels that are more urgent.
func (lv *levels) demandAbove(ur urgency) float64 {
	demand := 0.0
	for _, le := range lv.list {
		if le.urgency >= ur {
			break
		}
		demand += le.demand
	}
	return demand
}

// demandWindow is the window of the moving average of the lookup demand, in samples.
const demandWindow = 64

// recordLookupDemand samples the number of concurrent lookups of each level when a
// lookup arrives.
func (ga *Gate) recordLookupDemand() {
	for _, en := range ga.running {
		if en.attempt.Class != contract.ClassBulk {
			en.level.sample++
		}
	}
	for _, en := range ga.queue.lookups {
		en.level.sample++
	}
	for _, le := range ga.levels.list {
		le.demand += (float64(le.sample) - le.demand) / demandWindow
		le.sample = 0
	}
}

const (
	// slowBulkRatio is the ratio of bulk to lookup service time above which slots are
	// reserved for lookups.
	slowBulkRatio = 4
	// minSlackSlots is the slack of urgent lookups, in mean times until one of the slots is
	// free, above which no slot is reserved for them: the time until a slot is free is
	// about exponential, so that at 4 one in 50 is late. The more of them there are at
	// once, the more slots they need in addition when their number varies.
	minSlackSlots = 4
)

// mayTakeSlot reports whether an attempt may take a slot. Less urgent attempts always get
// at least one slot. No bulk attempt is dispatched while its body could not be received.
func (ga *Gate) mayTakeSlot(en *entry) bool {
	if en.attempt.Class == contract.ClassBulk && ga.transfers.full() {
		return false
	}
	kept := ga.keptSlots(en)
	return kept == 0 || ga.runningFrom(en) < max(1, ga.concurrencyLimit()-kept)
}

// keptSlots returns the number of slots that are kept free from an attempt. They are kept
// for lookups that are more urgent, and from bulk for those that are as urgent: their
// recent average concurrency plus its square root as headroom.
func (ga *Gate) keptSlots(en *entry) int {
	bulk := en.attempt.Class == contract.ClassBulk
	switch {
	case en.level == nil, !bulk && (en.attempt.Nested || en.urgency < en.level.urgency):
		return 0
	case bulk && ga.bulkTime.mean > 0 && ga.bulkTime.mean <= slowBulkRatio*ga.lookupTime.mean:
		return 0
	}
	demand, kept := 0.0, bulk
	for _, le := range ga.levels.list {
		if le.urgency > en.level.urgency || le == en.level && !bulk {
			break
		}
		if bulk || ga.isDelayed(le, en.level) {
			demand += le.demand
			kept = true
		}
	}
	if !kept {
		return 0
	}
	return max(1, int(math.Ceil(demand+math.Sqrt(demand))))
}

// isDelayed reports whether the lookups of a level would often miss their objectives if
// those of a less urgent level held all slots.
func (ga *Gate) isDelayed(le, less *level) bool {
	if le.slack == 0 || less.time.mean <= le.time.mean {
		return false
	}
	slots := max(1, float64(ga.concurrencyLimit())-ga.levels.demandAbove(le.urgency))
	return le.slack.Seconds() < minSlackSlots*less.time.mean.Seconds()/slots*max(1, math.Sqrt(le.demand))
}

// runningFrom returns the number of running attempts that the slots reserved from an
// attempt are reserved from.
func (ga *Gate) runningFrom(en *entry) int {
	if en.attempt.Class == contract.ClassBulk {
		return ga.runningBulk
	}
	running := 0
	for _, le := range ga.levels.list {
		if le.urgency >= en.level.urgency {
			running += le.running
		}
	}
	return running
}

// slackWindow is the window of the moving average of a level's slack, in samples.
const slackWindow = 32

// recordSlack records for how long an arriving lookup can wait. It does not record that of a
// late retry by the caller.
func (ga *Gate) recordSlack(en *entry, now time.Time) {
	at := &en.attempt
	if at.Objective.IsZero() || at.CallerRetry || at.Class == contract.ClassBulk {
		return
	}
	slack := max(1, at.Objective.Sub(now)-ga.estimateFor(*at).mean)
	if en.level.slack == 0 {
		en.level.slack = slack
	}
	en.level.slack += (slack - en.level.slack) / slackWindow
}
