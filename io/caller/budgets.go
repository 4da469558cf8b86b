package caller

import (
	"sync"
	"time"

	"lynxfold/core/call"
	"lynxfold/core/contract"
)

const (
	// hedgesPerSuccess is the number of hedged requests that one success adds to
	// the budget.
	hedgesPerSuccess = 0.05
)

// serviceBudgets holds one budget per service. It is safe for concurrent use.
type serviceBudgets struct {
	cfg call.BudgetConfig

	mu       sync.Mutex
	services map[contract.ServiceName]*call.Budget
}

func newServiceBudgets(cfg call.BudgetConfig) *serviceBudgets {
	return &serviceBudgets{
		cfg:      cfg,
		services: map[contract.ServiceName]*call.Budget{},
	}
}

// budget returns the budget of a service. sb.mu must be held.
func (sb *serviceBudgets) budget(name contract.ServiceName) *call.Budget {
	bu := sb.services[name]
	if bu == nil {
		bu = call.NewBudget(sb.cfg)
		sb.services[name] = bu
	}
	return bu
}

func (sb *serviceBudgets) spend(name contract.ServiceName, now time.Time) bool {
	sb.mu.Lock()
	defer sb.mu.Unlock()
	return sb.budget(name).Spend(now)
}

func (sb *serviceBudgets) recordSuccess(name contract.ServiceName, now time.Time) {
	sb.mu.Lock()
	defer sb.mu.Unlock()
	sb.budget(name).RecordSuccess(now)
}
