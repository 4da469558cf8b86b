package call

import (
	"math"
	"time"
)

// BudgetConfig configures a Budget.
type BudgetConfig struct {
	// PerSuccess is the number of retries that one success adds.
	PerSuccess float64
	// PerSecond is the number of retries that each second adds, so that a service
	// with few calls can retry too.
	PerSecond float64
	// Burst bounds the retries that accumulate, in addition to those for the
	// successes of about the last second.
	Burst float64
}

// FleetConfig is the retry budget of one service that all nodes of a mesh share.
type FleetConfig struct {
	// PerSuccess is the number of retries that one success adds.
	PerSuccess float64
	// Burst is the number of retries that can accumulate across all nodes.
	Burst float64
	// PerSecond is the number of retries that each second adds across all nodes.
	PerSecond float64
	// Size is the number of hosts.
	Size int
}

// FleetBudget returns one node's share of a budget, so that the nodes of a mesh
// together stay within what a service can bear, however few calls each of them
// makes.
func FleetBudget(cfg FleetConfig) BudgetConfig {
	nodes := float64(max(1, cfg.Size))
	return BudgetConfig{
		PerSuccess: cfg.PerSuccess,
		PerSecond:  cfg.PerSecond / nodes,
		Burst:      max(1, cfg.Burst/nodes),
	}
}

// Budget is a token bucket that limits the retries or hedged requests of a service
// to a share of its successes.
type Budget struct {
	cfg    BudgetConfig
	tokens float64
	// recentSuccesses is an exponentially decaying count of successes, which
	// approximates their number in the last second.
	recentSuccesses float64
	updatedAt       time.Time
}

// NewBudget returns a budget that starts full.
func NewBudget(cfg BudgetConfig) *Budget {
	return &Budget{
		cfg:    cfg,
		tokens: cfg.Burst,
	}
}

// RecordSuccess records a successful call, whichever attempt succeeded.
func (bu *Budget) RecordSuccess(now time.Time) {
	bu.refill(now)
	bu.recentSuccesses++
	bu.add(bu.cfg.PerSuccess)
}

// Spend takes one retry from the budget and reports whether there was one left.
func (bu *Budget) Spend(now time.Time) bool {
	bu.refill(now)
	if bu.tokens < 1 {
		return false
	}
	bu.tokens--
	return true
}

// refill adds the retries of the time since the last update.
func (bu *Budget) refill(now time.Time) {
	if bu.updatedAt.IsZero() {
		bu.updatedAt = now
	}
	if !now.After(bu.updatedAt) {
		return
	}
	seconds := now.Sub(bu.updatedAt).Seconds()
	bu.updatedAt = now
	bu.recentSuccesses *= math.Exp(-seconds)
	bu.add(seconds * bu.cfg.PerSecond)
}

func (bu *Budget) add(retries float64) {
	limit := bu.cfg.Burst + bu.cfg.PerSuccess*bu.recentSuccesses
	bu.tokens = min(bu.tokens+retries, limit)
}
