package contract

import (
	"fmt"
	"regexp"
	"strings"
	"time"
)

// Bounds on documents.
// What the terms of a document may say at most.
const (
	// MaxTimeout is the longest time that a call may take.
	MaxTimeout = 10 * time.Minute
	// MaxRetries is the highest number of further attempts.
	MaxRetries = 5
)

const (
	maxTimeoutMS   = int64(MaxTimeout / time.Millisecond)
	maxIdleMS      = 24 * 60 * 60 * 1000
	maxLimitBytes  = 1 << 40
	maxItems       = 20_000
	maxDescription = 1_000
	maxRank        = 100
	maxWeight      = 1_000_000
	maxShares      = 16
)

var (
	namePattern   = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)
	methodPattern = regexp.MustCompile(`^[A-Z]{1,16}$`)
	hostPattern   = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,251}[a-z0-9])?$`)
	pathPattern   = regexp.MustCompile(`^/[A-Za-z0-9._~/%-]*$`)
)

// checker collects the faults of one document, or of the items that a change put.
type checker struct {
	doc        *Document
	hasService func(name ServiceName) bool
	terms      func(name TermsName) (Terms, bool)
	route      func(name RouteName) (Route, bool)
	// count is how many routes a chain of fallbacks can have at most.
	count  int
	fields []FieldError
}

// Validate checks the whole document and reports every fault at once.
func (doc *Document) Validate() error {
	services := byName(doc.Services, serviceKey)
	contracts := byName(doc.Contracts, termsKey)
	routes := byName(doc.Routes, routeKey)
	ch := &checker{
		doc:        doc,
		count:      len(doc.Routes),
		hasService: func(name ServiceName) bool { _, ok := services[string(name)]; return ok },
		terms:      func(name TermsName) (Terms, bool) { te, ok := contracts[string(name)]; return te, ok },
		route:      func(name RouteName) (Route, bool) { ro, ok := routes[string(name)]; return ro, ok },
	}
	ch.checkSizes()
	ch.checkLimits(doc.Limits)
	ch.checkServices()
	ch.checkContracts()
	ch.checkRoutes()
	ch.checkFallbacks()
	ch.checkOverlaps()
	if len(ch.fields) == 0 {
		return nil
	}
	return &ValidationError{Fields: ch.fields}
}

func (ch *checker) add(path string, fa Fault, format string, args ...any) {
	ch.fields = append(ch.fields, FieldError{
		Path:   path,
		Fault:  fa,
		Detail: fmt.Sprintf(format, args...),
	})
}

func (ch *checker) checkSizes() {
	total := len(ch.doc.Services) + len(ch.doc.Contracts) + len(ch.doc.Routes)
	if total > maxItems {
		ch.add("document", FaultOutOfRange, "%d items, at most %d", total, maxItems)
	}
}

func (ch *checker) checkName(path, name string, seen bool) {
	switch {
	case name == "":
		ch.add(path, FaultMissing, "a name is needed")
	case !namePattern.MatchString(name):
		ch.add(path, FaultBadName, "%q: use up to 63 lower-case letters, digits and hyphens", name)
	case seen:
		ch.add(path, FaultDuplicate, "%q is there twice", name)
	}
}

func (ch *checker) checkServices() {
	seen := map[ServiceName]bool{}
	for i, se := range ch.doc.Services {
		path := fmt.Sprintf("services[%d]", i)
		ch.checkName(path+".name", string(se.Name), seen[se.Name])
		seen[se.Name] = true
		if len(se.Description) > maxDescription {
			ch.add(path+".description", FaultOutOfRange, "at most %d bytes", maxDescription)
		}
		if se.HealthPath != "" && !pathPattern.MatchString(se.HealthPath) {
			ch.add(path+".health_path", FaultBadPath, "%q: use an absolute path", se.HealthPath)
		}
	}
}

func (ch *checker) checkContracts() {
	seen := map[TermsName]bool{}
	for i, te := range ch.doc.Contracts {
		path := fmt.Sprintf("contracts[%d]", i)
		ch.checkName(path+".name", string(te.Name), seen[te.Name])
		seen[te.Name] = true
		ch.checkTerms(path, te)
	}
}

func (ch *checker) checkTerms(path string, te Terms) {
	if te.TimeoutMS <= 0 || te.TimeoutMS > maxTimeoutMS {
		ch.add(path+".timeout_ms", FaultImpossibleDeadline, "%d: use 1 to %d", te.TimeoutMS, maxTimeoutMS)
	}
	if te.Retries < 0 || te.Retries > MaxRetries {
		ch.add(path+".retries", FaultOutOfRange, "%d: use 0 to %d", te.Retries, MaxRetries)
	}
	if te.HedgeAfterMS < 0 || (te.HedgeAfterMS > 0 && te.HedgeAfterMS >= te.TimeoutMS) {
		ch.add(path+".hedge_after_ms", FaultImpossibleDeadline, "%d: use less than timeout_ms", te.HedgeAfterMS)
	}
	if te.HedgeAfterMS > 0 && !te.Idempotent {
		ch.add(path+".hedge_after_ms", FaultContradiction, "only idempotent calls may be hedged")
	}
	if te.Keyed && te.Idempotent {
		ch.add(path+".keyed", FaultContradiction, "idempotent calls need no key")
	}
	ch.checkOrder(path, te)
	if te.Class != ClassLookup && te.Class != ClassBulk {
		ch.add(path+".class", FaultOutOfRange, "%q: use lookup or bulk", te.Class)
	}
}

// checkOrder checks what orders calls that compete for an upstream.
func (ch *checker) checkOrder(path string, te Terms) {
	if te.Rank < 0 || te.Rank > maxRank {
		ch.add(path+".rank", FaultOutOfRange, "%d: use 0 to %d", te.Rank, maxRank)
	}
	if te.ObjectiveMS < 0 || te.ObjectiveMS > maxTimeoutMS {
		ch.add(path+".objective_ms", FaultImpossibleDeadline, "%d: use 0 to %d", te.ObjectiveMS, maxTimeoutMS)
	}
}

func (ch *checker) checkRoutes() {
	seen := map[RouteName]bool{}
	for i, ro := range ch.doc.Routes {
		path := fmt.Sprintf("routes[%d]", i)
		ch.checkName(path+".name", string(ro.Name), seen[ro.Name])
		seen[ro.Name] = true
		ch.checkRoute(path, ro)
	}
}

func (ch *checker) checkRoute(path string, ro Route) {
	if !pathPattern.MatchString(ro.PathPrefix) || strings.Contains(ro.PathPrefix, "//") {
		ch.add(path+".path_prefix", FaultBadPath, "%q: use an absolute path", ro.PathPrefix)
	}
	for j, me := range ro.Methods {
		if !methodPattern.MatchString(me) {
			ch.add(fmt.Sprintf("%s.methods[%d]", path, j), FaultBadMethod, "%q: use upper-case letters", me)
		}
	}
	if ro.Host != "" && !hostPattern.MatchString(ro.Host) {
		ch.add(path+".host", FaultBadName, "%q: use a host name in lower case without a port", ro.Host)
	}
	ch.checkDestination(path, ro)
	if _, ok := ch.terms(ro.Contract); !ok {
		ch.add(path+".contract", FaultUnknownContract, "%q is not a contract of this document", ro.Contract)
	}
}

// checkDestination checks the service of a route, or those that it is split among.
func (ch *checker) checkDestination(path string, ro Route) {
	if len(ro.Split) == 0 {
		ch.checkService(path+".service", ro.Service)
		return
	}
	if ro.Service != "" {
		ch.add(path+".service", FaultContradiction, "a split route names its services in split only")
	}
	if len(ro.Split) > maxShares {
		ch.add(path+".split", FaultOutOfRange, "%d services, at most %d", len(ro.Split), maxShares)
	}
	seen := map[ServiceName]bool{}
	total := 0
	for i, sh := range ro.Split {
		at := fmt.Sprintf("%s.split[%d]", path, i)
		ch.checkService(at+".service", sh.Service)
		if seen[sh.Service] {
			ch.add(at+".service", FaultDuplicate, "%q is there twice", sh.Service)
		}
		seen[sh.Service] = true
		if sh.Weight < 0 || sh.Weight > maxWeight {
			ch.add(at+".weight", FaultOutOfRange, "%d: use 0 to %d", sh.Weight, maxWeight)
		}
		total += max(0, sh.Weight)
	}
	if total == 0 {
		ch.add(path+".split", FaultOutOfRange, "at least one weight must be above 0")
	}
}

func (ch *checker) checkService(path string, name ServiceName) {
	if !ch.hasService(name) {
		ch.add(path, FaultUnknownService, "%q is not a service of this document", name)
	}
}

func (ch *checker) checkLimits(li *Limits) {
	if li == nil {
		return
	}
	for _, it := range []struct {
		field string
		value int64
		most  int64
	}{
		{field: "max_header_bytes", value: li.MaxHeaderBytes, most: maxLimitBytes},
		{field: "max_body_bytes", value: li.MaxBodyBytes, most: maxLimitBytes},
		{field: "header_timeout_ms", value: li.HeaderTimeoutMS, most: maxTimeoutMS},
		{field: "idle_timeout_ms", value: li.IdleTimeoutMS, most: maxIdleMS},
	} {
		if it.value < 0 || it.value > it.most {
			ch.add("limits."+it.field, FaultOutOfRange, "%d: use 0 to %d", it.value, it.most)
		}
	}
}

func (ch *checker) checkFallbacks() {
	for i, ro := range ch.doc.Routes {
		path := fmt.Sprintf("routes[%d].fallback", i)
		if ro.Fallback == "" {
			continue
		}
		if _, ok := ch.route(ro.Fallback); !ok {
			ch.add(path, FaultUnknownRoute, "%q is not a route of this document", ro.Fallback)
			continue
		}
		if ch.cyclic(ro) {
			ch.add(path, FaultCyclicFallback, "%q leads back to itself", ro.Fallback)
		}
		if fb, _ := ch.route(ro.Fallback); !ch.sameSafety(ro, fb) {
			ch.add(path, FaultContradiction, "%q has a contract that is idempotent or keyed where this route's is not, or the other way round", ro.Fallback)
		}
	}
}

// sameSafety tells whether a fallback treats repeats as its route does: a call
// that may run once may not become one that is retried.
func (ch *checker) sameSafety(ro, fb Route) bool {
	a, _ := ch.terms(ro.Contract)
	b, _ := ch.terms(fb.Contract)
	return sameSafety(a, b)
}

func sameSafety(a, b Terms) bool {
	return a.Idempotent == b.Idempotent && a.Keyed == b.Keyed
}

// cyclic follows the fallbacks of a route for at most one step per route.
func (ch *checker) cyclic(ro Route) bool {
	next := ro
	for range ch.count {
		fb, ok := ch.route(next.Fallback)
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

// checkOverlaps finds routes that match the same calls.
func (ch *checker) checkOverlaps() {
	type key struct {
		prefix string
		method string
	}
	taken := map[key]RouteName{}
	for i, ro := range ch.doc.Routes {
		methods := ro.Methods
		if len(methods) == 0 {
			methods = []string{""}
		}
		for _, me := range methods {
			ke := key{prefix: prefixKey(ro), method: me}
			if other, ok := taken[ke]; ok {
				ch.add(fmt.Sprintf("routes[%d].path_prefix", i), FaultOverlap, "route %q matches the same calls", other)
				continue
			}
			taken[ke] = ro.Name
		}
	}
}

func trimPrefix(prefix string) string {
	return strings.TrimRight(prefix, "/")
}

// prefixKey is what a route is found by: its host and its prefix.
func prefixKey(ro Route) string { return ro.Host + trimPrefix(ro.PathPrefix) }
