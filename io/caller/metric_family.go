package caller

import "sync"

// metricFamily holds the metrics of one name by their labels, so that a call does not
// build the name again. K is made of the labels.
type metricFamily[K comparable, M any] struct {
	create func(labels K) M

	mu      sync.RWMutex
	metrics map[K]M
}

func newMetricFamily[K comparable, M any](create func(labels K) M) *metricFamily[K, M] {
	return &metricFamily[K, M]{
		create:  create,
		metrics: map[K]M{},
	}
}

// metric returns the metric with some labels; the first use makes it.
func (fa *metricFamily[K, M]) metric(labels K) M {
	fa.mu.RLock()
	it, ok := fa.metrics[labels]
	fa.mu.RUnlock()
	if ok {
		return it
	}
	fa.mu.Lock()
	defer fa.mu.Unlock()
	it = fa.create(labels)
	fa.metrics[labels] = it
	return it
}
