package caller

import "sync"

// metricFamily caches the metrics of one name by label, so that calls don't
// format metric names. K holds the labels.
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

// metric returns the metric with the given labels and creates it on first use.
func (mf *metricFamily[K, M]) metric(labels K) M {
	mf.mu.RLock()
	it, ok := mf.metrics[labels]
	mf.mu.RUnlock()
	if ok {
		return it
	}
	mf.mu.Lock()
	defer mf.mu.Unlock()
	it = mf.create(labels)
	mf.metrics[labels] = it
	return it
}
