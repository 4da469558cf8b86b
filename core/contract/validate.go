package contract

import (
	"fmt"
	"regexp"
	"strings"
	"time"
)

// Bounds on the fields of a contract.
const (
	// MaxTimeout is the longest timeout of a call.
	MaxTimeout = 10 * time.Minute
	// MaxRetries is the maximum number of attempts after the first.
	MaxRetries = 5
)

const (
	maxTimeoutMS        = int64(MaxTimeout / time.Millisecond)
	maxIdleMS           = 24 * 60 * 60 * 1000
	maxLimitBytes       = 1 << 40
	maxItems            = 20_000
	maxDescriptionBytes = 1_000
	maxRank             = 100
	maxWeight           = 1_000_000
	maxShares           = 16
)

var (
	namePattern   = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)
	methodPattern = regexp.MustCompile(`^[A-Z]{1,16}$`)
	hostPattern   = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,251}[a-z0-9])?$`)
	pathPattern   = regexp.MustCompile(`^/[A-Za-z0-9._~/%-]*$`)
)

// checker validates a whole document, or the items that a change adds or replaces, and
// collects the errors.
type checker struct {
	doc        *Document
	hasService func(name ServiceName) bool
	terms      func(name TermsName) (Terms, bool)
	route      func(name RouteName) (Route, bool)
	// maxChainLength bounds the fallbacks that are followed; it is the number of routes.
	maxChainLength int
	fieldErrors    []FieldError
}

// Validate checks the whole document. It fails with a ValidationError that lists all
// invalid fields.
func (doc *Document) Validate() error {
	services := indexByName(doc.Services, serviceKey)
	contracts := indexByName(doc.Contracts, termsKey)
	routes := indexByName(doc.Routes, routeKey)
	ck := &checker{
		doc:            doc,
		maxChainLength: len(doc.Routes),
		hasService:     func(name ServiceName) bool { _, ok := services[string(name)]; return ok },
		terms:          func(name TermsName) (Terms, bool) { te, ok := contracts[string(name)]; return te, ok },
		route:          func(name RouteName) (Route, bool) { ro, ok := routes[string(name)]; return ro, ok },
	}
	ck.checkItemCount()
	ck.checkLimits(doc.Limits)
	ck.checkServices()
	ck.checkContracts()
	ck.checkRoutes()
	ck.checkFallbacks()
	ck.checkOverlaps()
	ck.checkCustomers()
	if len(ck.fieldErrors) == 0 {
		return nil
	}
	return &ValidationError{Fields: ck.fieldErrors}
}

func (ck *checker) addError(path string, fa Fault, format string, args ...any) {
	ck.fieldErrors = append(ck.fieldErrors, FieldError{
		Path:   path,
		Fault:  fa,
		Detail: fmt.Sprintf(format, args...),
	})
}

func (ck *checker) checkItemCount() {
	total := len(ck.doc.Services) + len(ck.doc.Contracts) + len(ck.doc.Routes)
	if total > maxItems {
		ck.addError("document", FaultOutOfRange, "%d items, at most %d", total, maxItems)
	}
}

func (ck *checker) checkName(path, name string, seen bool) {
	switch {
	case name == "":
		ck.addError(path, FaultMissing, "name is missing")
	case !namePattern.MatchString(name):
		ck.addError(path, FaultBadName, "%q: use up to 63 lower-case letters, digits and hyphens", name)
	case seen:
		ck.addError(path, FaultDuplicate, "%q is used more than once", name)
	}
}

func (ck *checker) checkServices() {
	seen := map[ServiceName]bool{}
	for i, se := range ck.doc.Services {
		path := fmt.Sprintf("services[%d]", i)
		ck.checkName(path+".name", string(se.Name), seen[se.Name])
		seen[se.Name] = true
		if len(se.Description) > maxDescriptionBytes {
			ck.addError(path+".description", FaultOutOfRange, "at most %d bytes", maxDescriptionBytes)
		}
		if se.HealthPath != "" && !pathPattern.MatchString(se.HealthPath) {
			ck.addError(path+".health_path", FaultBadPath, "%q: use an absolute path", se.HealthPath)
		}
	}
}

func (ck *checker) checkContracts() {
	seen := map[TermsName]bool{}
	for i, te := range ck.doc.Contracts {
		path := fmt.Sprintf("contracts[%d]", i)
		ck.checkName(path+".name", string(te.Name), seen[te.Name])
		seen[te.Name] = true
		ck.checkTerms(path, te)
	}
}

func (ck *checker) checkTerms(path string, te Terms) {
	if te.TimeoutMS <= 0 || te.TimeoutMS > maxTimeoutMS {
		ck.addError(path+".timeout_ms", FaultImpossibleDeadline, "%d: use 1 to %d", te.TimeoutMS, maxTimeoutMS)
	}
	if te.Retries < 0 || te.Retries > MaxRetries {
		ck.addError(path+".retries", FaultOutOfRange, "%d: use 0 to %d", te.Retries, MaxRetries)
	}
	if te.HedgeAfterMS < 0 || (te.HedgeAfterMS > 0 && te.HedgeAfterMS >= te.TimeoutMS) {
		ck.addError(path+".hedge_after_ms", FaultImpossibleDeadline, "%d: use less than timeout_ms", te.HedgeAfterMS)
	}
	if te.HedgeAfterMS > 0 && !te.Idempotent {
		ck.addError(path+".hedge_after_ms", FaultContradiction, "only idempotent calls may be hedged")
	}
	if te.Keyed && te.Idempotent {
		ck.addError(path+".keyed", FaultContradiction, "idempotent calls need no key")
	}
	ck.checkPriority(path, te)
	if te.Class != ClassLookup && te.Class != ClassBulk {
		ck.addError(path+".class", FaultOutOfRange, "%q: use lookup or bulk", te.Class)
	}
}

// checkPriority checks the fields that order waiting calls: rank and objective.
func (ck *checker) checkPriority(path string, te Terms) {
	if te.Rank < 0 || te.Rank > maxRank {
		ck.addError(path+".rank", FaultOutOfRange, "%d: use 0 to %d", te.Rank, maxRank)
	}
	if te.ObjectiveMS < 0 || te.ObjectiveMS > maxTimeoutMS {
		ck.addError(path+".objective_ms", FaultImpossibleDeadline, "%d: use 0 to %d", te.ObjectiveMS, maxTimeoutMS)
	}
}

func (ck *checker) checkRoutes() {
	seen := map[RouteName]bool{}
	for i, ro := range ck.doc.Routes {
		path := fmt.Sprintf("routes[%d]", i)
		ck.checkName(path+".name", string(ro.Name), seen[ro.Name])
		seen[ro.Name] = true
		ck.checkRoute(path, ro)
	}
}

func (ck *checker) checkRoute(path string, ro Route) {
	if !pathPattern.MatchString(ro.PathPrefix) || strings.Contains(ro.PathPrefix, "//") {
		ck.addError(path+".path_prefix", FaultBadPath, "%q: use an absolute path", ro.PathPrefix)
	}
	for j, me := range ro.Methods {
		if !methodPattern.MatchString(me) {
			ck.addError(fmt.Sprintf("%s.methods[%d]", path, j), FaultBadMethod, "%q: use upper-case letters", me)
		}
	}
	if ro.Host != "" && !hostPattern.MatchString(ro.Host) {
		ck.addError(path+".host", FaultBadName, "%q: use a host name in lower case without a port", ro.Host)
	}
	ck.checkDestination(path, ro)
	if _, ok := ck.terms(ro.Contract); !ok {
		ck.addError(path+".contract", FaultUnknownContract, "%q is not a contract of this document", ro.Contract)
	}
}

// checkDestination checks the service of a route, or the services of its split.
func (ck *checker) checkDestination(path string, ro Route) {
	if len(ro.Split) == 0 {
		ck.checkService(path+".service", ro.Service)
		return
	}
	if ro.Service != "" {
		ck.addError(path+".service", FaultContradiction, "a route with a split must not have a service as well")
	}
	if len(ro.Split) > maxShares {
		ck.addError(path+".split", FaultOutOfRange, "%d services, at most %d", len(ro.Split), maxShares)
	}
	seen := map[ServiceName]bool{}
	total := 0
	for i, sh := range ro.Split {
		at := fmt.Sprintf("%s.split[%d]", path, i)
		ck.checkService(at+".service", sh.Service)
		if seen[sh.Service] {
			ck.addError(at+".service", FaultDuplicate, "%q is used more than once", sh.Service)
		}
		seen[sh.Service] = true
		if sh.Weight < 0 || sh.Weight > maxWeight {
			ck.addError(at+".weight", FaultOutOfRange, "%d: use 0 to %d", sh.Weight, maxWeight)
		}
		total += max(0, sh.Weight)
	}
	if total == 0 {
		ck.addError(path+".split", FaultOutOfRange, "at least one weight must be above 0")
	}
}

func (ck *checker) checkService(path string, name ServiceName) {
	if !ck.hasService(name) {
		ck.addError(path, FaultUnknownService, "%q is not a service of this document", name)
	}
}

func (ck *checker) checkLimits(li *Limits) {
	if li == nil {
		return
	}
	for _, it := range []struct {
		field string
		value int64
		max   int64
	}{
		{field: "max_header_bytes", value: li.MaxHeaderBytes, max: maxLimitBytes},
		{field: "max_body_bytes", value: li.MaxBodyBytes, max: maxLimitBytes},
		{field: "header_timeout_ms", value: li.HeaderTimeoutMS, max: maxTimeoutMS},
		{field: "idle_timeout_ms", value: li.IdleTimeoutMS, max: maxIdleMS},
	} {
		if it.value < 0 || it.value > it.max {
			ck.addError("limits."+it.field, FaultOutOfRange, "%d: use 0 to %d", it.value, it.max)
		}
	}
}

func (ck *checker) checkFallbacks() {
	for i, ro := range ck.doc.Routes {
		path := fmt.Sprintf("routes[%d].fallback", i)
		if ro.Fallback == "" {
			continue
		}
		if _, ok := ck.route(ro.Fallback); !ok {
			ck.addError(path, FaultUnknownRoute, "%q is not a route of this document", ro.Fallback)
			continue
		}
		if ck.isCyclic(ro) {
			ck.addError(path, FaultCyclicFallback, "%q leads back to itself", ro.Fallback)
		}
		if fb, _ := ck.route(ro.Fallback); !ck.sameRetrySafety(ro, fb) {
			ck.addError(path, FaultContradiction, "the contract of %q must be idempotent and keyed exactly where that of this route is", ro.Fallback)
		}
	}
}

// sameRetrySafety reports whether a route and its fallback agree on whether calls may
// be retried. A fallback must not make a call retryable that may run only once.
func (ck *checker) sameRetrySafety(ro, fb Route) bool {
	a, _ := ck.terms(ro.Contract)
	b, _ := ck.terms(fb.Contract)
	return sameRetrySafety(a, b)
}

func sameRetrySafety(a, b Terms) bool {
	return a.Idempotent == b.Idempotent && a.Keyed == b.Keyed
}

// isCyclic reports whether the chain of fallbacks of a route never ends. It follows at
// most maxChainLength fallbacks: a chain that long contains a route twice.
func (ck *checker) isCyclic(ro Route) bool {
	next := ro
	for range ck.maxChainLength {
		fb, ok := ck.route(next.Fallback)
		if !ok {
			return false
		}
		if fb.Name == ro.Name {
			return true
		}
		next = fb
	}
	return true
}

// checkOverlaps reports routes that have the same host, prefix and method, and so match
// the same calls.
func (ck *checker) checkOverlaps() {
	type key struct {
		prefix string
		method string
	}
	seen := map[key]RouteName{}
	for i, ro := range ck.doc.Routes {
		methods := ro.Methods
		if len(methods) == 0 {
			methods = []string{""}
		}
		for _, me := range methods {
			ke := key{prefix: prefixKey(ro), method: me}
			if other, ok := seen[ke]; ok {
				ck.addError(fmt.Sprintf("routes[%d].path_prefix", i), FaultOverlap, "route %q matches the same calls", other)
				continue
			}
			seen[ke] = ro.Name
		}
	}
}

func trimTrailingSlashes(prefix string) string {
	return strings.TrimRight(prefix, "/")
}

// prefixKey returns the key of a route in Snapshot.prefixes: its host and path prefix.
func prefixKey(ro Route) string { return ro.Host + trimTrailingSlashes(ro.PathPrefix) }
