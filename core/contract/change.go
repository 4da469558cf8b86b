package contract

import (
	"slices"
	"strings"
)

// change is the difference between two documents, by whole items.
type change struct {
	putServices     []Service
	putContracts    []Terms
	putRoutes       []Route
	removeServices  []string
	removeContracts []string
	removeRoutes    []string
	// limits are those of the result, when they differ.
	limits    *Limits
	hasLimits bool
}

func serviceKey(se Service) string { return string(se.Name) }
func termsKey(te Terms) string     { return string(te.Name) }
func routeKey(ro Route) string     { return string(ro.Name) }

// changeOf computes the change that leads from one document to another.
func changeOf(from, to *Document) *change {
	ch := &change{}
	ch.putServices, ch.removeServices = diffItems(from.Services, to.Services, serviceKey, sameService)
	ch.putContracts, ch.removeContracts = diffItems(from.Contracts, to.Contracts, termsKey, sameTerms)
	ch.putRoutes, ch.removeRoutes = diffItems(from.Routes, to.Routes, routeKey, sameRoute)
	ch.limits = to.Limits
	ch.hasLimits = !sameLimits(from.Limits, to.Limits)
	return ch
}

// digests computes the sums that the change leads to.
func (ch *change) digests(base *digests) digests {
	limits := base.limits
	if ch.hasLimits {
		limits = sumLimits(ch.limits)
	}
	return digests{
		limits:    limits,
		services:  base.services.edit(sumItems(ch.putServices, serviceKey), ch.removeServices),
		contracts: base.contracts.edit(sumItems(ch.putContracts, termsKey), ch.removeContracts),
		routes:    base.routes.edit(sumItems(ch.putRoutes, routeKey), ch.removeRoutes),
	}
}

// document applies the change to a document whose lists are in order.
func (ch *change) document(base *Document) *Document {
	limits := base.Limits
	if ch.hasLimits {
		limits = ch.limits
	}
	return &Document{
		Limits:    limits,
		Services:  applyItems(base.Services, ch.putServices, ch.removeServices, serviceKey),
		Contracts: applyItems(base.Contracts, ch.putContracts, ch.removeContracts, termsKey),
		Routes:    applyItems(base.Routes, ch.putRoutes, ch.removeRoutes, routeKey),
	}
}

func sumItems[T any](items []T, key func(T) string) map[string]sum {
	res := make(map[string]sum, len(items))
	for _, it := range items {
		res[key(it)] = sumOf(it)
	}
	return res
}

func byName[T any](items []T, key func(T) string) map[string]T {
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
		a.Contract == b.Contract && a.Fallback == b.Fallback
}

func diffItems[T any](from, to []T, key func(T) string, same func(a, b T) bool) (put []T, remove []string) {
	old := byName(from, key)
	for _, it := range to {
		was, ok := old[key(it)]
		if !ok || !same(was, it) {
			put = append(put, it)
		}
		delete(old, key(it))
	}
	for _, it := range from {
		if _, left := old[key(it)]; left {
			remove = append(remove, key(it))
		}
	}
	return put, remove
}

// applyItems merges changed items into a list in the order of their names; an
// unchanged list is shared.
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
