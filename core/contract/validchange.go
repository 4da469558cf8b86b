package contract

// isValidChange reports whether the snapshot that results from applying a change to a
// valid base is valid. It validates only the changed items and the references to
// them, not the whole document.
func (sn *Snapshot) isValidChange(base *Snapshot, ch *change) bool {
	ck := &checker{
		rules: usable,
		doc: &Document{
			Services:  ch.putServices,
			Contracts: ch.putContracts,
			Routes:    ch.putRoutes,
			Customers: ch.putCustomers,
		},
		maxChainLength: sn.targets.count,
		hasService:     func(name ServiceName) bool { return sn.services.has(string(name)) },
		terms:          func(name TermsName) (Terms, bool) { return sn.terms.get(string(name)) },
		route:          sn.route,
	}
	if ch.hasLimits {
		ck.checkLimits(ch.limits)
	}
	ck.checkServices()
	ck.checkContracts()
	ck.checkRoutes()
	ck.checkFallbacks()
	ck.checkCustomers()
	return len(ck.fieldErrors) == 0 && !sn.sharesKeys(base, ch) && !sn.hasOverlap(ch) && !sn.hasDanglingReference(base, ch) && !sn.mixesRetrySafety()
}

func (sn *Snapshot) route(name RouteName) (Route, bool) {
	ta, ok := sn.targets.get(string(name))
	if !ok {
		return Route{}, false
	}
	return ta.Route, true
}

// hasOverlap reports whether a changed route matches the same calls as another route.
func (sn *Snapshot) hasOverlap(ch *change) bool {
	for _, ro := range ch.putRoutes {
		targets, _ := sn.prefixes.get(prefixKey(ro))
		prefix := canonicalPath(ro.PathPrefix)
		seen := map[string]bool{}
		for _, ta := range targets {
			if ta.prefix != prefix {
				continue
			}
			methods := ta.Route.Methods
			if len(methods) == 0 {
				methods = []string{""}
			}
			for _, me := range methods {
				if seen[me] {
					return true
				}
				seen[me] = true
			}
		}
	}
	return false
}

// hasDanglingReference reports whether a route refers to an item that the change removed.
func (sn *Snapshot) hasDanglingReference(base *Snapshot, ch *change) bool {
	if len(ch.removeServices)+len(ch.removeContracts)+len(ch.removeRoutes) == 0 {
		return false
	}
	found := false
	sn.targets.all(func(_ string, ta *Target) bool {
		fallback := string(ta.Route.Fallback)
		found = !sn.hasServices(ta.Route) || !sn.terms.has(string(ta.Route.Contract)) ||
			fallback != "" && base.targets.has(fallback) && !sn.targets.has(fallback)
		return !found
	})
	return found
}

// hasServices reports whether the snapshot holds all services of a route.
func (sn *Snapshot) hasServices(ro Route) bool {
	for _, name := range ro.Services() {
		if !sn.services.has(string(name)) {
			return false
		}
	}
	return true
}

// mixesRetrySafety reports whether a route and its fallback differ in retry safety.
// It checks all routes, since a changed contract may cause this for unchanged routes.
func (sn *Snapshot) mixesRetrySafety() bool {
	mixed := false
	sn.targets.all(func(_ string, ta *Target) bool {
		mixed = ta.Fallback != nil && !sameRetrySafety(ta.Terms, ta.Fallback.Terms)
		return !mixed
	})
	return mixed
}
