package caller

import (
	"sync"
	"time"

	"lynxfold/core/call"
	"lynxfold/core/contract"
)

const (
	// hedgesPerSuccess is the number of hedges that one success pays for.
	hedgesPerSuccess = 0.05
)

// budgets hold one budget for each service; they are safe for many goroutines.
type budgets struct {
	cfg call.BudgetConfig

	mu       sync.Mutex
	services map[contract.ServiceName]*call.Budget
}

func newBudgets(cfg call.BudgetConfig) *budgets {
	return &budgets{
		cfg:      cfg,
		services: map[contract.ServiceName]*call.Budget{},
	}
}

// of returns a service's budget; bs.mu is held.
func (bs *budgets) of(name contract.ServiceName) *call.Budget {
	bu := bs.services[name]
	if bu == nil {
		bu = call.NewBudget(bs.cfg)
		bs.services[name] = bu
	}
	return bu
}

func (bs *budgets) spend(name contract.ServiceName, now time.Time) bool {
	bs.mu.Lock()
	defer bs.mu.Unlock()
	return bs.of(name).Spend(now)
}

func (bs *budgets) succeeded(name contract.ServiceName, now time.Time) {
	bs.mu.Lock()
	defer bs.mu.Unlock()
	bs.of(name).RecordSuccess(now)
}
