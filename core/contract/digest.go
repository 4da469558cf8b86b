package contract

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"maps"
	"slices"
)

// Digest names the content of a document, in hexadecimal: a SHA-256 over the
// digests of its parts, which are SHA-256 sums over the digests of their items.
// An item's digest is the SHA-256 of its JSON form. The order of items and the
// difference between an empty and a missing list do not matter.
type Digest string

// sum is a binary SHA-256.
type sum [sha256.Size]byte

// sums holds the digests of one kind of items, and of the parts they fall into.
type sums struct {
	items table[sum]
	parts [tableParts]sum
}

// digests holds the sums of a whole document.
type digests struct {
	services  sums
	contracts sums
	routes    sums
	// limits is zero when the document has none.
	limits sum
}

func sumOf(item any) sum {
	data, err := json.Marshal(item)
	if err != nil {
		panic(err) // items hold only types that always marshal
	}
	return sha256.Sum256(data)
}

// edit returns sums with some items replaced and others removed; only the parts
// that they fall into are computed again.
func (su sums) edit(put map[string]sum, remove []string) sums {
	next := sums{
		items: su.items.edit(put, remove),
		parts: su.parts,
	}
	for pa := range touchedParts(put, remove) {
		next.parts[pa] = next.items.sumPart(pa)
	}
	return next
}

func touchedParts(put map[string]sum, remove []string) map[int]bool {
	touched := map[int]bool{}
	for name := range put {
		touched[partOf(name)] = true
	}
	for _, name := range remove {
		touched[partOf(name)] = true
	}
	return touched
}

// sumPart computes the digest of one part from names and digests in order.
func (tb *table[V]) sumPart(pa int) sum {
	if len(tb.parts[pa]) == 0 {
		return sum{}
	}
	ha := sha256.New()
	for _, name := range slices.Sorted(maps.Keys(tb.parts[pa])) {
		it, _ := any(tb.parts[pa][name]).(sum)
		ha.Write([]byte(name))
		ha.Write([]byte{0})
		ha.Write(it[:])
	}
	return sum(ha.Sum(nil))
}

// total is the digest of the whole document.
func (di *digests) total() Digest {
	ha := sha256.New()
	for _, su := range []*sums{&di.services, &di.contracts, &di.routes} {
		for i := range su.parts {
			ha.Write(su.parts[i][:])
		}
	}
	if di.limits != (sum{}) {
		ha.Write(di.limits[:])
	}
	return Digest(hex.EncodeToString(ha.Sum(nil)))
}

// sumLimits is the digest of a document's limits; zero when there are none.
func sumLimits(li *Limits) sum {
	if li == nil {
		return sum{}
	}
	return sumOf(li)
}

// digestsOf computes all sums of a document.
func digestsOf(doc *Document) digests {
	ch := changeOf(&Document{}, doc)
	return ch.digests(&digests{})
}

// Digest computes the digest of the document.
func (doc *Document) Digest() Digest {
	di := digestsOf(doc)
	return di.total()
}
