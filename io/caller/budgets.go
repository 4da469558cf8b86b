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

// serviceBudgets hold one budget for each service; they are safe for many goroutines.
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

// budget returns a service's budget; bs.mu is held.
func (bs *serviceBudgets) budget(name contract.ServiceName) *call.Budget {
	bu := bs.services[name]
	if bu == nil {
		bu = call.NewBudget(bs.cfg)
		bs.services[name] = bu
	}
	return bu
}

func (bs *serviceBudgets) spend(name contract.ServiceName, now time.Time) bool {
	bs.mu.Lock()
	defer bs.mu.Unlock()
	return bs.budget(name).Spend(now)
}

func (bs *serviceBudgets) recordSuccess(name contract.ServiceName, now time.Time) {
	bs.mu.Lock()
	defer bs.mu.Unlock()
	bs.budget(name).RecordSuccess(now)
}
