package contract

import (
	"maps"

	"github.com/cespare/xxhash/v2"
)

// tableParts is how many parts a table is copied in.
const tableParts = 64

// table is an immutable map by name. An edit copies only the parts that it
// touches and shares all others.
type table[V any] struct {
	parts [tableParts]map[string]V
	count int
}

func partOf(name string) int { return int(xxhash.Sum64String(name) % tableParts) }

// get finds a value by name.
func (tb *table[V]) get(name string) (V, bool) {
	va, ok := tb.parts[partOf(name)][name]
	return va, ok
}

// has tells whether a name is there.
func (tb *table[V]) has(name string) bool {
	_, ok := tb.get(name)
	return ok
}

// edit returns a table with some values replaced and others removed.
func (tb *table[V]) edit(put map[string]V, remove []string) table[V] {
	next := *tb
	var owned [tableParts]bool
	own := func(pa int) map[string]V {
		if !owned[pa] {
			owned[pa] = true
			if next.parts[pa] = maps.Clone(next.parts[pa]); next.parts[pa] == nil {
				next.parts[pa] = map[string]V{}
			}
		}
		return next.parts[pa]
	}
	for _, name := range remove {
		pa := partOf(name)
		if _, there := next.parts[pa][name]; there {
			delete(own(pa), name)
			next.count--
		}
	}
	for name, va := range put {
		pa := partOf(name)
		if _, there := next.parts[pa][name]; !there {
			next.count++
		}
		own(pa)[name] = va
	}
	return next
}

// all visits every value in no fixed order until the visitor returns false.
func (tb *table[V]) all(visit func(name string, va V) bool) {
	for _, pa := range tb.parts {
		for name, va := range pa {
			if !visit(name, va) {
				return
			}
		}
	}
}
