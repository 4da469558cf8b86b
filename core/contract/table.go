package contract

import (
	"maps"

	"github.com/cespare/xxhash/v2"
)

// tableShards is the number of shards of a table. It also determines digests,
// so all nodes of a mesh must agree on it.
const tableShards = 64

// table is an immutable map by name with copy-on-write shards: an update copies
// the shards that it changes and shares the others.
type table[V any] struct {
	shards [tableShards]map[string]V
	count  int
}

func shardOf(name string) int { return int(xxhash.Sum64String(name) % tableShards) }

// get returns the value with the given name.
func (tb *table[V]) get(name string) (V, bool) {
	va, ok := tb.shards[shardOf(name)][name]
	return va, ok
}

// has reports whether the table holds a name.
func (tb *table[V]) has(name string) bool {
	_, ok := tb.get(name)
	return ok
}

// update returns a table with some values added or replaced and others removed.
func (tb *table[V]) update(put map[string]V, remove []string) table[V] {
	next := *tb
	var copied [tableShards]bool
	writable := func(sh int) map[string]V {
		if !copied[sh] {
			copied[sh] = true
			if next.shards[sh] = maps.Clone(next.shards[sh]); next.shards[sh] == nil {
				next.shards[sh] = map[string]V{}
			}
		}
		return next.shards[sh]
	}
	for _, name := range remove {
		sh := shardOf(name)
		if _, found := next.shards[sh][name]; found {
			delete(writable(sh), name)
			next.count--
		}
	}
	for name, va := range put {
		sh := shardOf(name)
		if _, found := next.shards[sh][name]; !found {
			next.count++
		}
		writable(sh)[name] = va
	}
	return next
}

// all visits the values in no particular order until visit returns false.
func (tb *table[V]) all(visit func(name string, va V) bool) {
	for _, sh := range tb.shards {
		for name, va := range sh {
			if !visit(name, va) {
				return
			}
		}
	}
}
