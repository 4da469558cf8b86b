package call

import "time"

// BudgetConfig sets up a budget.
type BudgetConfig struct {
	// PerSuccess is what one success adds, in retries.
	PerSuccess float64
	// PerSecond is what each second adds, in retries, so that a service with few
	// calls has some.
	PerSecond float64
	// Ceiling bounds what can be saved, in retries.
	Ceiling float64
}

// Budget grants retries or hedges of a service as a share of its successes.
type Budget struct {
	cfg     BudgetConfig
	balance float64
	at      time.Time
}

// NewBudget builds a budget that starts full.
func NewBudget(cfg BudgetConfig) *Budget {
	return &Budget{
		cfg:     cfg,
		balance: cfg.Ceiling,
	}
}

// Succeeded counts a success at a first attempt or a later one.
func (bu *Budget) Succeeded() { bu.add(bu.cfg.PerSuccess) }

// Spend takes one retry, or reports that none is left.
func (bu *Budget) Spend(now time.Time) bool {
	if bu.at.IsZero() {
		bu.at = now
	}
	if now.After(bu.at) {
		bu.add(now.Sub(bu.at).Seconds() * bu.cfg.PerSecond)
		bu.at = now
	}
	if bu.balance < 1 {
		return false
	}
	bu.balance--
	return true
}

func (bu *Budget) add(retries float64) { bu.balance = min(bu.balance+retries, bu.cfg.Ceiling) }
