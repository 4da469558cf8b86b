package draft

import (
	"fmt"
	"slices"
	"strings"

	"lynxfold/core/contract"
)

// RiskKind names what a draft puts at risk.
type RiskKind string

// Kinds of risks.
const (
	RiskRepeats        RiskKind = "calls_may_repeat"
	RiskTimeoutShorter RiskKind = "timeout_shorter"
	RiskKeyDropped     RiskKind = "key_dropped"
	RiskMoreLoad       RiskKind = "more_load"
	RiskServiceRemoved RiskKind = "service_removed"
	RiskRouteRemoved   RiskKind = "route_removed"
	RiskRouteMoved     RiskKind = "route_moved"
	RiskNoUpstream     RiskKind = "no_upstream"
	RiskLimitTighter   RiskKind = "limit_tighter"
)

// Risk is one thing that a draft puts at risk, in plain words.
type Risk struct {
	Kind   RiskKind
	Item   Item
	Detail string
}

// assessor collects the risks of one draft.
type assessor struct {
	draft     *Draft
	before    *contract.Document
	after     *contract.Document
	upstreams map[contract.ServiceName]int
	risks     []Risk
}

// Risks lists what the draft puts at risk on a document, given the usable
// upstreams that a node knows.
func (dr *Draft) Risks(doc *contract.Document, upstreams map[contract.ServiceName]int) []Risk {
	as := &assessor{
		draft:     dr,
		before:    doc,
		after:     dr.Apply(doc),
		upstreams: upstreams,
	}
	for _, na := range sortedKeys(dr.Services) {
		as.service(na, dr.Services[na])
	}
	for _, na := range sortedKeys(dr.Contracts) {
		as.contract(na, dr.Contracts[na])
	}
	for _, na := range sortedKeys(dr.Routes) {
		as.route(na, dr.Routes[na])
	}
	for _, na := range sortedKeys(dr.Limits) {
		as.limits(na, dr.Limits[na])
	}
	return as.risks
}

// limits tells of requests that were taken until now and are refused from now on.
func (as *assessor) limits(na LimitsName, ed Edit[contract.Limits]) {
	var was, now contract.Limits
	if ed.Was != nil {
		was = *ed.Was
	}
	if ed.Now != nil {
		now = *ed.Now
	}
	for _, it := range []struct {
		part     string
		was, now int64
	}{
		{part: "headers", was: was.MaxHeaderBytes, now: now.MaxHeaderBytes},
		{part: "bodies", was: was.MaxBodyBytes, now: now.MaxBodyBytes},
	} {
		if it.now > 0 && (it.was == 0 || it.now < it.was) {
			as.add(RiskLimitTighter, KindLimits, string(na),
				"requests with %s of more than %d bytes are refused", it.part, it.now)
		}
	}
}

func (as *assessor) add(rk RiskKind, ki Kind, name, format string, args ...any) {
	as.risks = append(as.risks, Risk{
		Kind:   rk,
		Item:   Item{Kind: ki, Name: name},
		Detail: fmt.Sprintf(format, args...),
	})
}

func (as *assessor) service(na contract.ServiceName, ed Edit[contract.Service]) {
	if ed.Now != nil {
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
	as.add(RiskServiceRemoved, KindService, string(na),
		"service %s has %s and %d usable upstreams now; they get no more calls",
		na, list("route", routes), as.upstreams[na])
}

func (as *assessor) contract(na contract.TermsName, ed Edit[contract.Terms]) {
	if ed.Was == nil || ed.Now == nil {
		return
	}
	name, was, now := string(na), ed.Was, ed.Now
	routes := list("route", as.routesUnder(na))
	if now.Idempotent && !was.Idempotent {
		as.add(RiskRepeats, KindContract, name,
			"calls under contract %s (%s) may run more than once: they are retried after a lost answer", na, routes)
	}
	if now.TimeoutMS < was.TimeoutMS {
		as.add(RiskTimeoutShorter, KindContract, name,
			"calls under contract %s (%s) that take more than %d ms are given up; until now they had %d ms",
			na, routes, now.TimeoutMS, was.TimeoutMS)
	}
	if was.Keyed && !now.Keyed {
		as.add(RiskKeyDropped, KindContract, name,
			"a caller that sends a call under contract %s (%s) again makes a second one: keys count no more", na, routes)
	}
	if now.Retries > was.Retries || (now.HedgeAfterMS > 0 && was.HedgeAfterMS == 0) {
		as.add(RiskMoreLoad, KindContract, name,
			"calls under contract %s (%s) make more attempts when upstreams are slow or fail", na, routes)
	}
}

func (as *assessor) route(na contract.RouteName, ed Edit[contract.Route]) {
	name := string(na)
	if ed.Now == nil {
		as.add(RiskRouteRemoved, KindRoute, name, "calls to %s no longer take route %s; %s",
			ed.Was.PathPrefix, na, as.instead(ed.Was.PathPrefix))
		return
	}
	if as.upstreams[ed.Now.Service] == 0 && (ed.Was == nil || ed.Was.Service != ed.Now.Service) {
		as.add(RiskNoUpstream, KindRoute, name,
			"no usable upstream of service %s is known: calls to %s are refused until one announces itself",
			ed.Now.Service, ed.Now.PathPrefix)
	}
	if ed.Was != nil {
		as.routeChanged(name, ed.Was, ed.Now)
	}
}

func (as *assessor) routeChanged(name string, was, now *contract.Route) {
	if was.Service != now.Service {
		as.add(RiskRouteMoved, KindRoute, name, "calls to %s go to service %s, until now to %s",
			now.PathPrefix, now.Service, was.Service)
	}
	if was.PathPrefix != now.PathPrefix {
		as.add(RiskRouteRemoved, KindRoute, name, "calls to %s no longer take route %s; %s",
			was.PathPrefix, name, as.instead(was.PathPrefix))
	}
	before, after := as.terms(as.before, was.Contract), as.terms(as.after, now.Contract)
	if was.Contract == now.Contract || before == nil || after == nil {
		return
	}
	if after.Idempotent && !before.Idempotent {
		as.add(RiskRepeats, KindRoute, name,
			"calls to %s may run more than once: contract %s is idempotent, %s was not",
			now.PathPrefix, now.Contract, was.Contract)
	}
	if after.TimeoutMS < before.TimeoutMS {
		as.add(RiskTimeoutShorter, KindRoute, name,
			"calls to %s that take more than %d ms are given up; until now they had %d ms",
			now.PathPrefix, after.TimeoutMS, before.TimeoutMS)
	}
}

// instead says what becomes of calls to a prefix after the draft.
func (as *assessor) instead(prefix string) string {
	best := ""
	for _, ro := range as.after.Routes {
		if covers(ro.PathPrefix, prefix) && len(ro.PathPrefix) > len(best) {
			best = ro.PathPrefix
		}
	}
	if best == "" {
		return "they are refused (no_route)"
	}
	return "they take the route for " + best + " if its methods fit"
}

func covers(prefix, path string) bool {
	prefix = strings.TrimRight(prefix, "/")
	path = strings.TrimRight(path, "/")
	return path == prefix || strings.HasPrefix(path, prefix+"/")
}

func (as *assessor) terms(doc *contract.Document, na contract.TermsName) *contract.Terms {
	return find(doc.Contracts, termsName, na)
}

func (as *assessor) routesUnder(na contract.TermsName) []string {
	var routes []string
	for _, ro := range as.after.Routes {
		if ro.Contract == na {
			routes = append(routes, string(ro.Name))
		}
	}
	return routes
}

// maxListed bounds the names in one sentence.
const maxListed = 5

func list(what string, names []string) string {
	switch {
	case len(names) == 0:
		return "no " + what
	case len(names) > maxListed:
		return fmt.Sprintf("%d %ss, among them %s", len(names), what, strings.Join(slices.Sorted(slices.Values(names))[:maxListed], ", "))
	case len(names) == 1:
		return what + " " + names[0]
	}
	return what + "s " + strings.Join(names, ", ")
}
