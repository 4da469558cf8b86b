package caller

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"lynxfold/core/contract"
)

const (
	// maxCountedCustomers limits the customers with a counter of their own.
	maxCountedCustomers = 20
	// maxRankedCustomers limits the customers whose use is compared.
	maxRankedCustomers = 2_000
	// customerRankInterval is the time between two choices of the largest customers.
	customerRankInterval = 10 * time.Second
)

// customerCounters counts requests by customer: the largest customers by use have a
// counter each, the others share one.
type customerCounters struct {
	set    *metrics.Set
	others *metrics.Counter

	mu       sync.Mutex
	rankedAt time.Time
	usage    map[contract.CustomerName]*customerUsage
}

// customerUsage is the use by one customer. Recent halves with each choice.
type customerUsage struct {
	recent float64
	// counter is nil unless the customer is among the largest.
	counter *metrics.Counter
}

func newCustomerCounters(set *metrics.Set) *customerCounters {
	return &customerCounters{
		set:    set,
		others: set.GetOrCreateCounter(`lynxfold_other_customers_requests_total`),
		usage:  map[contract.CustomerName]*customerUsage{},
	}
}

func customerMetric(name contract.CustomerName) string {
	return fmt.Sprintf(`lynxfold_customer_requests_total{customer=%q}`, name)
}

// count counts a request.
func (cc *customerCounters) count(name contract.CustomerName, now time.Time) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	if now.Sub(cc.rankedAt) >= customerRankInterval {
		cc.rank()
		cc.rankedAt = now
	}
	us := cc.usage[name]
	if us == nil && len(cc.usage) < maxRankedCustomers {
		us = &customerUsage{}
		if len(cc.usage) < maxCountedCustomers {
			us.counter = cc.set.GetOrCreateCounter(customerMetric(name))
		}
		cc.usage[name] = us
	}
	if us == nil {
		cc.others.Inc()
		return
	}
	us.recent++
	if us.counter == nil {
		cc.others.Inc()
		return
	}
	us.counter.Inc()
}

// rank gives the largest customers counters, and removes those of the others. A customer
// without recent use is forgotten. cc.mu must be held.
func (cc *customerCounters) rank() {
	names := slices.SortedFunc(maps.Keys(cc.usage), func(a, b contract.CustomerName) int {
		return cmp.Or(cmp.Compare(cc.usage[b].recent, cc.usage[a].recent), cmp.Compare(a, b))
	})
	for i, name := range names {
		us := cc.usage[name]
		switch {
		case i < maxCountedCustomers && us.counter == nil:
			us.counter = cc.set.GetOrCreateCounter(customerMetric(name))
		case i >= maxCountedCustomers && us.counter != nil:
			cc.set.UnregisterMetric(customerMetric(name))
			us.counter = nil
		}
		us.recent /= 2
		if us.recent < 1 && i >= maxCountedCustomers {
			delete(cc.usage, name)
		}
	}
}

// countCustomer counts a request that was admitted; name is empty if it has no customer.
func (co *Counters) countCustomer(name contract.CustomerName) {
	if name != "" {
		co.customers.count(name, time.Now())
	}
}
