package call

// Budget grants retries of a service as a share of its successes.
type Budget struct {
	// PerSuccess is what one success adds, in retries.
	PerSuccess float64
	// Ceiling bounds what can be saved, in retries.
	Ceiling float64
	balance float64
}

// NewBudget builds a budget that starts full.
func NewBudget(perSuccess, ceiling float64) *Budget {
	return &Budget{
		PerSuccess: perSuccess,
		Ceiling:    ceiling,
		balance:    ceiling,
	}
}

// Succeeded counts a success.
func (bu *Budget) Succeeded() {
	bu.balance = min(bu.balance+bu.PerSuccess, bu.Ceiling)
}

// Spend takes one retry, or reports that none is left.
func (bu *Budget) Spend() bool {
	if bu.balance < 1 {
		return false
	}
	bu.balance--
	return true
}
