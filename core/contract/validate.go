package contract

import (
	"fmt"
	"math"
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
	// MaxWeight is the highest weight of a share.
	MaxWeight = 1_000_000
	// MaxLimitBytes is the highest limit of a size.
	MaxLimitBytes = 1 << 40
	// MaxIdleTimeout is the longest time that a connection may stay idle.
	MaxIdleTimeout = 24 * time.Hour
	// MaxRank is the highest rank that a document may hold; operators use fewer.
	MaxRank = math.MaxInt32 - 1
)

const (
	maxTimeoutMS        = int64(MaxTimeout / time.Millisecond)
	maxIdleMS           = int64(MaxIdleTimeout / time.Millisecond)
	maxItems            = 20_000
	maxDescriptionBytes = 1_000
	maxRank             = 100
	maxShares           = 16
)

var (
	namePattern   = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)
	methodPattern = regexp.MustCompile(`^[A-Z]{1,16}$`)
	hostPattern   = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,251}[a-z0-9])?$`)
	pathPattern   = regexp.MustCompile(`^/[A-Za-z0-9._~/%-]*$`)
	// targetPattern allows what a request line can hold.
	targetPattern = regexp.MustCompile(`^/[!-~]*$`)
)

// ruleSet says which rules a document is checked by.
type ruleSet int

const (
	// usable documents can be put in force: each reference leads to an item, and each value
	// has one meaning. Versions that come from the platform or from other nodes are checked
	// by these rules only.
	usable ruleSet = iota
	// authored documents also keep to the patterns and bounds for operators of this mesh.
	authored
)

// checker validates a whole document, or the items that a change adds or replaces, and
// collects the errors.
type checker struct {
	rules      ruleSet
	doc        *Document
	hasService func(name ServiceName) bool
	terms      func(name TermsName) (Terms, bool)
	route      func(name RouteName) (Route, bool)
	// maxChainLength bounds the fallbacks that are followed; it is the number of routes.
	maxChainLength int
	fieldErrors    []FieldError
}

// Validate checks a document that an operator of this mesh has written. It fails with a
// ValidationError that lists all invalid fields.
func (doc *Document) Validate() error { return doc.check(authored) }

// check checks the whole document by a set of rules. It fails with a ValidationError that
// lists all invalid fields.
func (doc *Document) check(rs ruleSet) error {
	services := indexByName(doc.Services, serviceKey)
	contracts := indexByName(doc.Contracts, termsKey)
	routes := indexByName(doc.Routes, routeKey)
	ck := &checker{
		rules:          rs,
		doc:            doc,
		maxChainLength: len(doc.Routes),
		hasService:     func(name ServiceName) bool { _, ok := services[string(name)]; return ok },
		terms:          func(name TermsName) (Terms, bool) { te, ok := contracts[string(name)]; return te, ok },
		route:          func(name RouteName) (Route, bool) { ro, ok := routes[string(name)]; return ro, ok },
	}
	if rs == authored {
		ck.checkItemCount()
	}
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
	case ck.rules == authored && !namePattern.MatchString(name):
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
		if ck.rules == authored && len(se.Description) > maxDescriptionBytes {
			ck.addError(path+".description", FaultOutOfRange, "at most %d bytes", maxDescriptionBytes)
		}
		if se.HealthPath != "" && !ck.isHealthPath(se.HealthPath) {
			ck.addError(path+".health_path", FaultBadPath, "%q: use an absolute path", se.HealthPath)
		}
	}
}

// isHealthPath reports whether a health check may ask for the path.
func (ck *checker) isHealthPath(path string) bool {
	if ck.rules == authored {
		return pathPattern.MatchString(path)
	}
	return targetPattern.MatchString(path)
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
	if te.Rank < 0 || te.Rank > ck.highestRank() {
		ck.addError(path+".rank", FaultOutOfRange, "%d: use 0 to %d", te.Rank, ck.highestRank())
	}
	if te.ObjectiveMS < 0 || te.ObjectiveMS > maxTimeoutMS {
		ck.addError(path+".objective_ms", FaultImpossibleDeadline, "%d: use 0 to %d", te.ObjectiveMS, maxTimeoutMS)
	}
}

func (ck *checker) highestRank() int {
	if ck.rules == authored {
		return maxRank
	}
	return MaxRank
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
	if !ck.isPathPrefix(ro.PathPrefix) {
		ck.addError(path+".path_prefix", FaultBadPath, "%q: use an absolute path", ro.PathPrefix)
	}
	for j, me := range ro.Methods {
		if ck.rules == authored && !methodPattern.MatchString(me) {
			ck.addError(fmt.Sprintf("%s.methods[%d]", path, j), FaultBadMethod, "%q: use upper-case letters", me)
		}
	}
	if ck.rules == authored && ro.Host != "" && !hostPattern.MatchString(ro.Host) {
		ck.addError(path+".host", FaultBadName, "%q: use a host name in lower case without a port", ro.Host)
	}
	ck.checkDestination(path, ro)
	if _, ok := ck.terms(ro.Contract); !ok {
		ck.addError(path+".contract", FaultUnknownContract, "%q is not a contract of this document", ro.Contract)
	}
}

func (ck *checker) isPathPrefix(prefix string) bool {
	if ck.rules == authored {
		return pathPattern.MatchString(prefix) && !strings.Contains(prefix, "//")
	}
	return strings.HasPrefix(prefix, "/")
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
	if ck.rules == authored && len(ro.Split) > maxShares {
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
		if sh.Weight < 0 || sh.Weight > MaxWeight {
			ck.addError(at+".weight", FaultOutOfRange, "%d: use 0 to %d", sh.Weight, MaxWeight)
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
		{field: "max_header_bytes", value: li.MaxHeaderBytes, max: MaxLimitBytes},
		{field: "max_body_bytes", value: li.MaxBodyBytes, max: MaxLimitBytes},
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
			ke := key{prefix: ck.overlapKey(ro), method: me}
			if other, ok := seen[ke]; ok {
				ck.addError(fmt.Sprintf("routes[%d].path_prefix", i), FaultOverlap, "route %q matches the same calls", other)
				continue
			}
			seen[ke] = ro.Name
		}
	}
}

// overlapKey returns what two routes that match the same calls have in common. Operators
// must not rely on whether a prefix ends with a slash.
func (ck *checker) overlapKey(ro Route) string {
	if ck.rules == authored {
		return prefixKey(ro)
	}
	return tableKey(ro.Host, canonicalPath(ro.PathPrefix))
}

// prefixKey returns the key of a route in Snapshot.prefixes: its host and path prefix.
func prefixKey(ro Route) string {
	return tableKey(ro.Host, strings.TrimRight(canonicalPath(ro.PathPrefix), "/"))
}

// tableKey separates the host from the path with a blank, which neither can hold in a
// request.
func tableKey(host, path string) string { return host + " " + path }
