package draft

import (
	"fmt"
	"slices"
	"strings"

	"lynxfold/core/contract"
)

// RiskKind is the type of a risk.
type RiskKind string

// Kinds of risks.
const (
	// RiskCallsMayRepeat means that calls that ran at most once so far may be retried.
	RiskCallsMayRepeat RiskKind = "calls_may_repeat"
	// RiskTimeoutShorter means that calls time out earlier.
	RiskTimeoutShorter RiskKind = "timeout_shorter"
	// RiskKeyDropped means that idempotency keys are no longer honoured.
	RiskKeyDropped RiskKind = "key_dropped"
	// RiskMoreLoad means that calls may make more attempts than before.
	RiskMoreLoad RiskKind = "more_load"
	// RiskServiceRemoved means that a service with routes or usable upstreams is removed.
	RiskServiceRemoved RiskKind = "service_removed"
	// RiskRouteRemoved means that a route is removed or no longer matches its former
	// path prefix.
	RiskRouteRemoved RiskKind = "route_removed"
	// RiskRouteMoved means that a route sends calls to another service.
	RiskRouteMoved RiskKind = "route_moved"
	// RiskNoUpstream means that a route sends calls to a service without usable upstreams.
	RiskNoUpstream RiskKind = "no_upstream"
	// RiskLimitTighter means that requests that were accepted before are refused as too
	// large.
	RiskLimitTighter RiskKind = "limit_tighter"
	// RiskKeyRemoved means that calls with a key that was known are refused.
	RiskKeyRemoved RiskKind = "key_removed"
	// RiskKeysRequired means that calls without a key are refused that were not before.
	RiskKeysRequired RiskKind = "keys_required"
	// RiskKeysNotRequired means that calls without a key are served that were refused.
	RiskKeysNotRequired RiskKind = "keys_not_required"
	// RiskCustomerRateLower means that more calls of a customer exceed its limit.
	RiskCustomerRateLower RiskKind = "customer_rate_lower"
)

// Risk is a possible adverse effect of applying a draft; Detail describes it to
// operators.
type Risk struct {
	Kind   RiskKind
	Item   Item
	Detail string
}

// riskAssessor collects the risks of one draft.
type riskAssessor struct {
	draft  *Draft
	before *contract.Document
	after  *contract.Document
	// upstreams holds the number of usable upstreams per service.
	upstreams map[contract.ServiceName]int
	risks     []Risk
}

// Risks returns the risks of applying the draft to a document, given the number of
// usable upstreams per service.
func (dr *Draft) Risks(doc *contract.Document, upstreams map[contract.ServiceName]int) []Risk {
	as := &riskAssessor{
		draft:     dr,
		before:    doc,
		after:     dr.Apply(doc),
		upstreams: upstreams,
	}
	for _, na := range sortedKeys(dr.Services) {
		as.checkService(na, dr.Services[na])
	}
	for _, na := range sortedKeys(dr.Contracts) {
		as.checkContract(na, dr.Contracts[na])
	}
	for _, na := range sortedKeys(dr.Routes) {
		as.checkRoute(na, dr.Routes[na])
	}
	for _, na := range sortedKeys(dr.Limits) {
		as.checkLimits(na, dr.Limits[na])
	}
	for _, na := range sortedKeys(dr.Customers) {
		as.checkCustomer(na, dr.Customers[na])
	}
	return as.risks
}

// checkLimits reports limits that refuse requests accepted before.
func (as *riskAssessor) checkLimits(na LimitsName, ed Edit[contract.Limits]) {
	var before, after contract.Limits
	if ed.Before != nil {
		before = *ed.Before
	}
	if ed.After != nil {
		after = *ed.After
	}
	for _, it := range []struct {
		part          string
		before, after int64
	}{
		{part: "headers", before: before.MaxHeaderBytes, after: after.MaxHeaderBytes},
		{part: "bodies", before: before.MaxBodyBytes, after: after.MaxBodyBytes},
	} {
		if it.after > 0 && (it.before == 0 || it.after < it.before) {
			as.addRisk(RiskLimitTighter, KindLimits, string(na),
				"requests with %s of more than %d bytes are refused", it.part, it.after)
		}
	}
}

func (as *riskAssessor) addRisk(rk RiskKind, ki ItemKind, name, format string, args ...any) {
	as.risks = append(as.risks, Risk{
		Kind:   rk,
		Item:   Item{Kind: ki, Name: name},
		Detail: fmt.Sprintf(format, args...),
	})
}

func (as *riskAssessor) checkService(na contract.ServiceName, ed Edit[contract.Service]) {
	if ed.After != nil {
		return
	}
	var routes []string
	for _, ro := range as.before.Routes {
		if ro.Service == na {
			routes = append(routes, string(ro.Name))
		}
	}
	if len(routes) == 0 && as.upstreams[na] == 0 {
		return
	}
	as.addRisk(RiskServiceRemoved, KindService, string(na),
		"service %s has %s and %d usable upstreams now; they get no more calls",
		na, formatNames("route", routes), as.upstreams[na])
}

func (as *riskAssessor) checkContract(na contract.TermsName, ed Edit[contract.Terms]) {
	if ed.Before == nil || ed.After == nil {
		return
	}
	name, before, after := string(na), ed.Before, ed.After
	routes := formatNames("route", as.routesWithContract(na))
	if after.Idempotent && !before.Idempotent {
		as.addRisk(RiskCallsMayRepeat, KindContract, name,
			"calls under contract %s (%s) may run more than once: they are retried after a lost answer", na, routes)
	}
	if after.TimeoutMS < before.TimeoutMS {
		as.addRisk(RiskTimeoutShorter, KindContract, name,
			"calls under contract %s (%s) that take more than %d ms are given up; until now they had %d ms",
			na, routes, after.TimeoutMS, before.TimeoutMS)
	}
	if before.Keyed && !after.Keyed {
		as.addRisk(RiskKeyDropped, KindContract, name,
			"calls under contract %s (%s) that a caller repeats run again: their idempotency keys are ignored", na, routes)
	}
	if after.Retries > before.Retries || (after.HedgeAfterMS > 0 && before.HedgeAfterMS == 0) {
		as.addRisk(RiskMoreLoad, KindContract, name,
			"calls under contract %s (%s) make more attempts when upstreams are slow or fail", na, routes)
	}
}

func (as *riskAssessor) checkRoute(na contract.RouteName, ed Edit[contract.Route]) {
	name := string(na)
	if ed.After == nil {
		as.addRisk(RiskRouteRemoved, KindRoute, name, "calls to %s no longer match route %s; %s",
			ed.Before.PathPrefix, na, as.describeReplacement(ed.Before.PathPrefix))
		return
	}
	if as.upstreams[ed.After.Service] == 0 && (ed.Before == nil || ed.Before.Service != ed.After.Service) {
		as.addRisk(RiskNoUpstream, KindRoute, name,
			"no usable upstream of service %s is known: calls to %s are refused until one announces itself",
			ed.After.Service, ed.After.PathPrefix)
	}
	if ed.Before != nil {
		as.checkChangedRoute(name, ed.Before, ed.After)
	}
}

func (as *riskAssessor) checkChangedRoute(name string, before, after *contract.Route) {
	if before.Public != after.Public && len(as.after.Customers) > 0 {
		if after.Public {
			as.addRisk(RiskKeysNotRequired, KindRoute, name, "calls to %s need no key any more", after.PathPrefix)
		} else {
			as.addRisk(RiskKeysRequired, KindRoute, name, "calls to %s without the key of a customer are refused", after.PathPrefix)
		}
	}
	if before.Service != after.Service {
		as.addRisk(RiskRouteMoved, KindRoute, name, "calls to %s go to service %s, until now to %s",
			after.PathPrefix, after.Service, before.Service)
	}
	if before.PathPrefix != after.PathPrefix {
		as.addRisk(RiskRouteRemoved, KindRoute, name, "calls to %s no longer match route %s; %s",
			before.PathPrefix, name, as.describeReplacement(before.PathPrefix))
	}
	oldTerms, newTerms := as.terms(as.before, before.Contract), as.terms(as.after, after.Contract)
	if before.Contract == after.Contract || oldTerms == nil || newTerms == nil {
		return
	}
	if newTerms.Idempotent && !oldTerms.Idempotent {
		as.addRisk(RiskCallsMayRepeat, KindRoute, name,
			"calls to %s may run more than once: contract %s is idempotent, %s was not",
			after.PathPrefix, after.Contract, before.Contract)
	}
	if newTerms.TimeoutMS < oldTerms.TimeoutMS {
		as.addRisk(RiskTimeoutShorter, KindRoute, name,
			"calls to %s that take more than %d ms are given up; until now they had %d ms",
			after.PathPrefix, newTerms.TimeoutMS, oldTerms.TimeoutMS)
	}
}

// describeReplacement describes how calls to a prefix are routed after the draft.
func (as *riskAssessor) describeReplacement(prefix string) string {
	best := ""
	for _, ro := range as.after.Routes {
		if covers(ro.PathPrefix, prefix) && len(ro.PathPrefix) > len(best) {
			best = ro.PathPrefix
		}
	}
	if best == "" {
		return "they are refused (no_route)"
	}
	return "they match the route for " + best + " if it allows their method"
}

// covers reports whether a path is at or below a prefix, apart from trailing slashes.
func covers(prefix, path string) bool {
	prefix = strings.TrimRight(prefix, "/")
	path = strings.TrimRight(path, "/")
	return path == prefix || strings.HasPrefix(path, prefix+"/")
}

func (as *riskAssessor) terms(doc *contract.Document, na contract.TermsName) *contract.Terms {
	return findItem(doc.Contracts, termsName, na)
}

func (as *riskAssessor) routesWithContract(na contract.TermsName) []string {
	var routes []string
	for _, ro := range as.after.Routes {
		if ro.Contract == na {
			routes = append(routes, string(ro.Name))
		}
	}
	return routes
}

// maxListedNames is the maximum number of names that one message lists.
const maxListedNames = 5

func formatNames(noun string, names []string) string {
	switch {
	case len(names) == 0:
		return "no " + noun
	case len(names) > maxListedNames:
		return fmt.Sprintf("%d %ss, among them %s", len(names), noun, strings.Join(slices.Sorted(slices.Values(names))[:maxListedNames], ", "))
	case len(names) == 1:
		return noun + " " + names[0]
	}
	return noun + "s " + strings.Join(names, ", ")
}
