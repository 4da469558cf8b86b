package contract

// validChange tells whether a change of a valid base has left the document
// valid. It looks only at changed items and what refers to them.
func (sn *Snapshot) validChange(base *Snapshot, ch *change) bool {
	ck := &checker{
		doc: &Document{
			Services:  ch.putServices,
			Contracts: ch.putContracts,
			Routes:    ch.putRoutes,
		},
		count:      sn.targets.count,
		hasService: func(name ServiceName) bool { return sn.services.has(string(name)) },
		terms:      func(name TermsName) (Terms, bool) { return sn.terms.get(string(name)) },
		route:      sn.route,
	}
	if sn.services.count+sn.terms.count+sn.targets.count > maxItems {
		return false
	}
	if ch.hasLimits {
		ck.checkLimits(ch.limits)
	}
	ck.checkServices()
	ck.checkContracts()
	ck.checkRoutes()
	ck.checkFallbacks()
	return len(ck.fields) == 0 && !sn.overlaps(ch) && !sn.misses(base, ch) && !sn.mixesSafety()
}

func (sn *Snapshot) route(name RouteName) (Route, bool) {
	ta, ok := sn.targets.get(string(name))
	if !ok {
		return Route{}, false
	}
	return ta.Route, true
}

// overlaps tells whether a changed route matches the same calls as another.
func (sn *Snapshot) overlaps(ch *change) bool {
	for _, ro := range ch.putRoutes {
		targets, _ := sn.prefixes.get(prefixKey(ro))
		taken := map[string]bool{}
		for _, ta := range targets {
			methods := ta.Route.Methods
			if len(methods) == 0 {
				methods = []string{""}
			}
			for _, me := range methods {
				if taken[me] {
					return true
				}
				taken[me] = true
			}
		}
	}
	return false
}

// misses tells whether a route refers to something that the change removed.
func (sn *Snapshot) misses(base *Snapshot, ch *change) bool {
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

// hasServices tells whether the snapshot holds all services of a route.
func (sn *Snapshot) hasServices(ro Route) bool {
	for _, name := range ro.Services() {
		if !sn.services.has(string(name)) {
			return false
		}
	}
	return true
}

// mixesSafety tells whether a route falls back to one that treats repeats in
// another way; a change of terms may bring that about for unchanged routes.
func (sn *Snapshot) mixesSafety() bool {
	mixed := false
	sn.targets.all(func(_ string, ta *Target) bool {
		mixed = ta.Fallback != nil && !sameSafety(ta.Terms, ta.Fallback.Terms)
		return !mixed
	})
	return mixed
}
