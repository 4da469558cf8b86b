package contract

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"maps"
	"slices"
)

// Digest identifies the content of a document. It is the root of a two-level hash
// tree, in hexadecimal: a SHA-256 over the hashes of the shards and of the limits. The
// shards of customers are left out when there are none, as in releases without them.
// A shard's hash is a SHA-256 over the names and hashes of its items, an item's hash
// is the SHA-256 of its JSON form. The order of items does not matter, nor whether a
// list is empty or nil.
type Digest string

// hash is a binary SHA-256 hash.
type hash [sha256.Size]byte

// hashTree holds the hashes of the items of one kind and those of their shards.
type hashTree struct {
	items  table[hash]
	shards [tableShards]hash
}

// documentHashes holds all hashes of a document.
type documentHashes struct {
	services  hashTree
	contracts hashTree
	routes    hashTree
	customers hashTree
	// limits is zero when the document has no limits.
	limits hash
}

func hashItem(item any) hash {
	data, err := json.Marshal(item)
	if err != nil {
		panic(err) // items hold only types that always marshal
	}
	return sha256.Sum256(data)
}

// update returns the tree with some item hashes added or replaced and others removed.
// It recomputes only the hashes of the shards that hold these items.
func (ht hashTree) update(put map[string]hash, remove []string) hashTree {
	next := hashTree{
		items:  ht.items.update(put, remove),
		shards: ht.shards,
	}
	for sh := range affectedShards(put, remove) {
		next.shards[sh] = next.items.hashShard(sh)
	}
	return next
}

func affectedShards(put map[string]hash, remove []string) map[int]bool {
	affected := map[int]bool{}
	for name := range put {
		affected[shardOf(name)] = true
	}
	for _, name := range remove {
		affected[shardOf(name)] = true
	}
	return affected
}

// hashShard returns the hash over the names and item hashes in one shard, sorted by
// name; it is zero for an empty shard. It may only be called on a table[hash].
func (tb *table[V]) hashShard(sh int) hash {
	if len(tb.shards[sh]) == 0 {
		return hash{}
	}
	ha := sha256.New()
	for _, name := range slices.Sorted(maps.Keys(tb.shards[sh])) {
		it, _ := any(tb.shards[sh][name]).(hash)
		ha.Write([]byte(name))
		ha.Write([]byte{0})
		ha.Write(it[:])
	}
	return hash(ha.Sum(nil))
}

// digest returns the digest of the whole document.
func (dh *documentHashes) digest() Digest {
	ha := sha256.New()
	for _, ht := range []*hashTree{&dh.services, &dh.contracts, &dh.routes} {
		for i := range ht.shards {
			ha.Write(ht.shards[i][:])
		}
	}
	if dh.limits != (hash{}) {
		ha.Write(dh.limits[:])
	}
	if dh.customers.items.count > 0 {
		for i := range dh.customers.shards {
			ha.Write(dh.customers.shards[i][:])
		}
	}
	return Digest(hex.EncodeToString(ha.Sum(nil)))
}

// hashLimits returns the hash of a document's limits; zero when there are none.
func hashLimits(li *Limits) hash {
	if li == nil {
		return hash{}
	}
	return hashItem(li)
}

// hashDocument computes all hashes of a document.
func hashDocument(doc *Document) documentHashes {
	ch := diffDocuments(&Document{}, doc)
	return ch.hashes(&documentHashes{})
}

// Digest returns the digest of the document.
func (doc *Document) Digest() Digest {
	dh := hashDocument(doc)
	return dh.digest()
}
