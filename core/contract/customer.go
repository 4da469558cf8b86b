package contract

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"regexp"
	"slices"
	"strings"
)

// KeyDigest is the SHA-256 of a customer's key, in lower-case hexadecimal. Documents
// hold digests only, because keys are secrets.
type KeyDigest string

// DigestKey returns the digest of a key.
func DigestKey(key []byte) KeyDigest {
	sum := sha256.Sum256(key)
	return KeyDigest(hex.EncodeToString(sum[:]))
}

// shortDigestLength is the number of hexadecimal digits that operators are shown.
const shortDigestLength = 12

// Short returns the beginning of the digest, by which operators tell keys apart.
func (kd KeyDigest) Short() string { return string(kd[:min(len(kd), shortDigestLength)]) }

// tableKey returns the binary form of the digest, which Snapshot.customersByKey uses.
func (kd KeyDigest) tableKey() string {
	sum, err := hex.DecodeString(string(kd))
	if err != nil {
		return string(kd) // validation refuses the document
	}
	return string(sum)
}

// Customer is a user of the mesh that its calls identify by a key.
type Customer struct {
	Name CustomerName `json:"name"`
	Keys []KeyDigest  `json:"keys,omitempty"`
	// Priority takes precedence over the rank of the contract; 0 is the highest. It is
	// nil when the customer has none.
	Priority *int `json:"priority,omitempty"`
	// RatePerSecond and Burst limit the customer's calls at all hosts together; a rate
	// of 0 means no limit.
	RatePerSecond float64 `json:"rate_per_second,omitempty"`
	Burst         float64 `json:"burst,omitempty"`
}

// Rank returns the priority plus 1; 0 when the customer has none.
func (cu Customer) Rank() int {
	if cu.Priority == nil {
		return 0
	}
	return *cu.Priority + 1
}

func customerKey(cu Customer) string { return string(cu.Name) }

func sameCustomer(a, b Customer) bool {
	return a.Name == b.Name && slices.Equal(a.Keys, b.Keys) && a.Rank() == b.Rank() &&
		a.RatePerSecond == b.RatePerSecond && a.Burst == b.Burst
}

// normaliseCustomers sorts the customers by name, and the keys of each. It replaces the
// lists of keys, which a clone shares with its original.
func (doc *Document) normaliseCustomers() {
	for i := range doc.Customers {
		cu := &doc.Customers[i]
		cu.Keys = slices.Compact(slices.Sorted(slices.Values(cu.Keys)))
	}
	slices.SortStableFunc(doc.Customers, func(a, b Customer) int {
		return strings.Compare(string(a.Name), string(b.Name))
	})
}

// Bounds on customers. A compiled snapshot at both limits has 37 MB, a fifth of the memory
// of a small host.
const (
	maxCustomers = 20_000
	maxKeys      = 200_000
	// MaxCustomerRate is the highest plausible limit of a customer, in calls a second.
	MaxCustomerRate = 10_000_000
)

var (
	// customerPattern allows printable ASCII, which HTTP headers carry, without the
	// quotation marks and backslashes that labels of metrics would escape.
	customerPattern = regexp.MustCompile(`^[!#-\[\]-~]([ !#-\[\]-~]{0,126}[!#-\[\]-~])?$`)
	// headerValuePattern allows what the value of an HTTP header can hold: no control
	// characters, and no blank at its ends.
	headerValuePattern = regexp.MustCompile(`^[^\x00-\x20\x7f]([^\x00-\x1f\x7f]*[^\x00-\x20\x7f])?$`)
	digestPattern      = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// checkCustomers checks the customers of the document. Details never quote a digest
// whole, because an operator may have written the key itself in its place.
func (ck *checker) checkCustomers() {
	seen := map[CustomerName]bool{}
	owners := map[KeyDigest]int{}
	keys := 0
	for i, cu := range ck.doc.Customers {
		path := fmt.Sprintf("customers[%d]", i)
		ck.checkCustomerName(path+".name", cu.Name, seen[cu.Name])
		seen[cu.Name] = true
		keys += len(cu.Keys)
		for j, kd := range cu.Keys {
			at := fmt.Sprintf("%s.keys[%d]", path, j)
			if !digestPattern.MatchString(string(kd)) {
				ck.addError(at, FaultBadKey, "use the SHA-256 of the key, 64 lower-case hexadecimal digits")
				continue
			}
			if owner, taken := owners[kd]; taken {
				ck.addError(at, FaultSharedKey, "customers[%d] has the same key %s", owner, kd.Short())
				continue
			}
			owners[kd] = i
		}
		ck.checkCustomerLimits(path, cu)
	}
	ck.checkCustomerCount(len(ck.doc.Customers), keys)
}

func (ck *checker) checkCustomerCount(customers, keys int) {
	if ck.rules != authored {
		return
	}
	if customers > maxCustomers {
		ck.addError("customers", FaultOutOfRange, "%d customers, at most %d", customers, maxCustomers)
	}
	if keys > maxKeys {
		ck.addError("customers", FaultOutOfRange, "%d keys, at most %d", keys, maxKeys)
	}
}

func (ck *checker) checkCustomerName(path string, name CustomerName, seen bool) {
	switch {
	case name == "":
		ck.addError(path, FaultMissing, "name is missing")
	case ck.rules == authored && !customerPattern.MatchString(string(name)):
		ck.addError(path, FaultBadName, "%q: use up to 128 printable ASCII characters other than \" and \\", name)
	case !headerValuePattern.MatchString(string(name)):
		ck.addError(path, FaultBadName, "%q: a header must be able to hold it", name)
	case seen:
		ck.addError(path, FaultDuplicate, "%q is used more than once", name)
	}
}

func (ck *checker) checkCustomerLimits(path string, cu Customer) {
	if cu.Priority != nil && (*cu.Priority < 0 || *cu.Priority > ck.highestRank()) {
		ck.addError(path+".priority", FaultOutOfRange, "%d: use 0 to %d", *cu.Priority, ck.highestRank())
	}
	for _, it := range []struct {
		field string
		value float64
	}{
		{field: "rate_per_second", value: cu.RatePerSecond},
		{field: "burst", value: cu.Burst},
	} {
		// The condition is negated so that it refuses NaN.
		if !(it.value >= 0 && it.value <= MaxCustomerRate) {
			ck.addError(path+"."+it.field, FaultOutOfRange, "%g: use 0 to %d", it.value, MaxCustomerRate)
		}
	}
}

// buildCustomers builds the tables of customers by applying a change to those of the
// base. A key that moves from one customer to another is removed and then added.
func (sn *Snapshot) buildCustomers(base *Snapshot, ch *change) {
	put := make(map[string]*Customer, len(ch.putCustomers))
	keys := map[string]*Customer{}
	changed := slices.Clone(ch.removeCustomers)
	for _, cu := range ch.putCustomers {
		put[customerKey(cu)] = &cu
		changed = append(changed, customerKey(cu))
		for _, kd := range cu.Keys {
			keys[kd.tableKey()] = &cu
		}
	}
	var dropped []string
	for _, name := range changed {
		if before, ok := base.customers.get(name); ok {
			for _, kd := range before.Keys {
				dropped = append(dropped, kd.tableKey())
			}
		}
	}
	sn.customers = base.customers.update(put, ch.removeCustomers)
	sn.customersByKey = base.customersByKey.update(keys, dropped)
}

// sharesKeys reports whether a changed customer has a key of an unchanged one.
func (sn *Snapshot) sharesKeys(base *Snapshot, ch *change) bool {
	changed := map[CustomerName]bool{}
	for _, cu := range ch.putCustomers {
		changed[cu.Name] = true
	}
	for _, name := range ch.removeCustomers {
		changed[CustomerName(name)] = true
	}
	for _, cu := range ch.putCustomers {
		for _, kd := range cu.Keys {
			if owner, ok := base.customersByKey.get(kd.tableKey()); ok && !changed[owner.Name] {
				return true
			}
		}
	}
	return false
}

// HasCustomers reports whether calls on routes that are not public need a key.
func (sn *Snapshot) HasCustomers() bool { return sn.customers.count > 0 }

// Customer returns the customer with the given name.
func (sn *Snapshot) Customer(name CustomerName) (Customer, bool) {
	cu, ok := sn.customers.get(string(name))
	if !ok {
		return Customer{}, false
	}
	return *cu, true
}

// CustomerByKey returns the customer that has a key. It costs one digest and one map
// access. The time it takes tells nothing about other keys, because the map is by
// digest.
func (sn *Snapshot) CustomerByKey(key []byte) (Customer, bool) {
	sum := sha256.Sum256(key)
	cu, ok := sn.customersByKey.get(string(sum[:]))
	if !ok {
		return Customer{}, false
	}
	return *cu, true
}
