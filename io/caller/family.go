package caller

import "sync"

// family holds the metrics of one name by their labels, so that a call does not
// build the name again. K is made of the labels.
type family[K comparable, M any] struct {
	create func(labels K) M

	mu   sync.RWMutex
	made map[K]M
}

func newFamily[K comparable, M any](create func(labels K) M) *family[K, M] {
	return &family[K, M]{
		create: create,
		made:   map[K]M{},
	}
}

// of returns the metric with some labels; the first use makes it.
func (fa *family[K, M]) of(labels K) M {
	fa.mu.RLock()
	it, ok := fa.made[labels]
	fa.mu.RUnlock()
	if ok {
		return it
	}
	fa.mu.Lock()
	defer fa.mu.Unlock()
	it = fa.create(labels)
	fa.made[labels] = it
	return it
}
