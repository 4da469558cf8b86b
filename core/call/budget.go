package call

import (
	"math"
	"time"
)

// BudgetConfig sets up a budget.
type BudgetConfig struct {
	// PerSuccess is what one success adds, in retries.
	PerSuccess float64
	// PerSecond is what each second adds, in retries, so that a service with few
	// calls has some.
	PerSecond float64
	// Ceiling bounds what can be saved, in retries, beside the share of the
	// successes of about the last second.
	Ceiling float64
}

// FleetConfig is what all nodes of a mesh may do together for one service.
type FleetConfig struct {
	// PerSuccess is what one success adds, in retries.
	PerSuccess float64
	// Burst is the number of retries that they can save up.
	Burst float64
	// PerSecond is the number of retries that they always have, each second.
	PerSecond float64
	// Size counts the hosts.
	Size int
}

// FleetBudget divides among the nodes of a mesh what a service can bear, however
// few calls each of them makes.
func FleetBudget(cfg FleetConfig) BudgetConfig {
	nodes := float64(max(1, cfg.Size))
	return BudgetConfig{
		PerSuccess: cfg.PerSuccess,
		PerSecond:  cfg.PerSecond / nodes,
		Ceiling:    max(1, cfg.Burst/nodes),
	}
}

// Budget grants retries or hedges of a service as a share of its successes.
type Budget struct {
	cfg     BudgetConfig
	balance float64
	// recent is a fading count of successes; it is their rate in each second.
	recent float64
	at     time.Time
}

// NewBudget builds a budget that starts full.
func NewBudget(cfg BudgetConfig) *Budget {
	return &Budget{
		cfg:     cfg,
		balance: cfg.Ceiling,
	}
}

// Succeeded counts a success at a first attempt or a later one.
func (bu *Budget) Succeeded(now time.Time) {
	bu.advance(now)
	bu.recent++
	bu.add(bu.cfg.PerSuccess)
}

// Spend takes one retry, or reports that none is left.
func (bu *Budget) Spend(now time.Time) bool {
	bu.advance(now)
	if bu.balance < 1 {
		return false
	}
	bu.balance--
	return true
}

func (bu *Budget) advance(now time.Time) {
	if bu.at.IsZero() {
		bu.at = now
	}
	if !now.After(bu.at) {
		return
	}
	seconds := now.Sub(bu.at).Seconds()
	bu.at = now
	bu.recent *= math.Exp(-seconds)
	bu.add(seconds * bu.cfg.PerSecond)
}

func (bu *Budget) add(retries float64) {
	ceiling := bu.cfg.Ceiling + bu.cfg.PerSuccess*bu.recent
	bu.balance = min(bu.balance+retries, ceiling)
}
