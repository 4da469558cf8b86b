package contract

import (
	"slices"
	"strings"
)

// change is the difference between two documents: the items to add or replace, and
// the names of those to remove.
type change struct {
	putServices     []Service
	putContracts    []Terms
	putRoutes       []Route
	removeServices  []string
	removeContracts []string
	removeRoutes    []string
	putCustomers    []Customer
	removeCustomers []string
	// limits are those of the result; they are used only if hasLimits is set.
	limits    *Limits
	hasLimits bool
}

func serviceKey(se Service) string { return string(se.Name) }
func termsKey(te Terms) string     { return string(te.Name) }
func routeKey(ro Route) string     { return string(ro.Name) }

// diffDocuments returns the change from one document to another.
func diffDocuments(from, to *Document) *change {
	ch := &change{}
	ch.putServices, ch.removeServices = diffItems(from.Services, to.Services, serviceKey, sameService)
	ch.putContracts, ch.removeContracts = diffItems(from.Contracts, to.Contracts, termsKey, sameTerms)
	ch.putRoutes, ch.removeRoutes = diffItems(from.Routes, to.Routes, routeKey, sameRoute)
	ch.putCustomers, ch.removeCustomers = diffItems(from.Customers, to.Customers, customerKey, sameCustomer)
	ch.limits = to.Limits
	ch.hasLimits = !sameLimits(from.Limits, to.Limits)
	return ch
}

// hashes returns the hashes of the document after the change, from those of the base.
func (ch *change) hashes(base *documentHashes) documentHashes {
	limits := base.limits
	if ch.hasLimits {
		limits = hashLimits(ch.limits)
	}
	return documentHashes{
		limits:    limits,
		services:  base.services.update(hashItems(ch.putServices, serviceKey), ch.removeServices),
		contracts: base.contracts.update(hashItems(ch.putContracts, termsKey), ch.removeContracts),
		routes:    base.routes.update(hashItems(ch.putRoutes, routeKey), ch.removeRoutes),
		customers: base.customers.update(hashItems(ch.putCustomers, customerKey), ch.removeCustomers),
	}
}

// apply returns the document after the change; the lists of base must be sorted by name.
func (ch *change) apply(base *Document) *Document {
	limits := base.Limits
	if ch.hasLimits {
		limits = ch.limits
	}
	return &Document{
		Limits:    limits,
		Services:  applyItems(base.Services, ch.putServices, ch.removeServices, serviceKey),
		Contracts: applyItems(base.Contracts, ch.putContracts, ch.removeContracts, termsKey),
		Routes:    applyItems(base.Routes, ch.putRoutes, ch.removeRoutes, routeKey),
		Customers: applyItems(base.Customers, ch.putCustomers, ch.removeCustomers, customerKey),
	}
}

func hashItems[T any](items []T, key func(T) string) map[string]hash {
	res := make(map[string]hash, len(items))
	for _, it := range items {
		res[key(it)] = hashItem(it)
	}
	return res
}

func indexByName[T any](items []T, key func(T) string) map[string]T {
	res := make(map[string]T, len(items))
	for _, it := range items {
		res[key(it)] = it
	}
	return res
}

func sameService(a, b Service) bool { return a == b }
func sameTerms(a, b Terms) bool     { return a == b }

func sameLimits(a, b *Limits) bool {
	if a == nil || b == nil {
		return a == b
	}
	return *a == *b
}

func sameRoute(a, b Route) bool {
	if !slices.Equal(a.Methods, b.Methods) {
		return false
	}
	if !slices.Equal(a.Split, b.Split) {
		return false
	}
	return a.Name == b.Name && a.Host == b.Host && a.PathPrefix == b.PathPrefix && a.Service == b.Service &&
		a.Contract == b.Contract && a.Fallback == b.Fallback && a.Public == b.Public
}

func diffItems[T any](from, to []T, key func(T) string, same func(a, b T) bool) (put []T, remove []string) {
	remaining := indexByName(from, key)
	for _, it := range to {
		before, ok := remaining[key(it)]
		if !ok || !same(before, it) {
			put = append(put, it)
		}
		delete(remaining, key(it))
	}
	for _, it := range from {
		if _, left := remaining[key(it)]; left {
			remove = append(remove, key(it))
		}
	}
	return put, remove
}

// applyItems returns a copy of a list, sorted by name, with items added, replaced and
// removed. Without a change it returns the list itself.
func applyItems[T any](base, put []T, remove []string, key func(T) string) []T {
	if len(put) == 0 && len(remove) == 0 {
		return base
	}
	compare := func(it T, name string) int { return strings.Compare(key(it), name) }
	out := make([]T, len(base), len(base)+len(put))
	copy(out, base)
	for _, name := range remove {
		if at, found := slices.BinarySearchFunc(out, name, compare); found {
			out = slices.Delete(out, at, at+1)
		}
	}
	for _, it := range put {
		at, found := slices.BinarySearchFunc(out, key(it), compare)
		if found {
			out[at] = it
			continue
		}
		out = slices.Insert(out, at, it)
	}
	return out
}
