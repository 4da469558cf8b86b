package contract

import (
	"slices"
	"strings"
)

// Snapshot is a compiled configuration. It is immutable; a snapshot that results
// from a delta shares the unchanged items with its base.
type Snapshot struct {
	Version  Version
	Digest   Digest
	Document *Document

	hashes   documentHashes
	services table[Service]
	terms    table[Terms]
	targets  table[*Target]
	// prefixes holds the targets by the prefixKey of their routes.
	prefixes  table[[]*Target]
	customers table[*Customer]
	// customersByKey holds the customers by the SHA-256 of each of their keys.
	customersByKey table[*Customer]
}

// Target is a route with the service and the contract that it refers to.
type Target struct {
	Route   Route
	Service Service
	Terms   Terms
	// Fallback is nil when the route has none.
	Fallback *Target
	// prefix is the canonical form of the route's path prefix.
	prefix string
	// SplitTargets holds one target per service of a split route, in the order of
	// Route.Split; Service is then empty. Each has its service in Service and
	// Route.Service.
	SplitTargets []*Target
}

// resolve sets the services and the contract that the target's route refers to.
func (sn *Snapshot) resolve(ta *Target) {
	ta.prefix = canonicalPath(ta.Route.PathPrefix)
	ta.Terms, _ = sn.terms.get(string(ta.Route.Contract))
	if len(ta.Route.Split) == 0 {
		ta.Service, _ = sn.services.get(string(ta.Route.Service))
		return
	}
	ta.SplitTargets = make([]*Target, 0, len(ta.Route.Split))
	for _, sh := range ta.Route.Split {
		st := &Target{
			Route: ta.Route,
			Terms: ta.Terms,
		}
		st.Route.Service = sh.Service
		st.Service, _ = sn.services.get(string(sh.Service))
		ta.SplitTargets = append(ta.SplitTargets, st)
	}
}

// EmptySnapshot returns the configuration of a mesh before its first version.
func EmptySnapshot() *Snapshot {
	sn, err := Compile(0, &Document{})
	if err != nil {
		panic(err) // the empty document is valid
	}
	return sn
}

// Compile checks that a document is usable and builds its snapshot. It fails with a
// ValidationError. The patterns and bounds of Validate are for operators of this mesh: a
// version that the platform has accepted comes into force without them.
func Compile(ve Version, doc *Document) (*Snapshot, error) {
	doc = doc.Clone()
	doc.normalise()
	if err := doc.check(usable); err != nil {
		return nil, err
	}
	ch := diffDocuments(&Document{}, doc)
	sn := &Snapshot{
		Version:  ve,
		Document: doc,
		hashes:   ch.hashes(&documentHashes{}),
	}
	sn.Digest = sn.hashes.digest()
	sn.buildTables(&Snapshot{}, ch)
	return sn, nil
}

// buildTables builds the snapshot's tables by applying a change to those of the base.
func (sn *Snapshot) buildTables(base *Snapshot, ch *change) {
	sn.services = base.services.update(indexByName(ch.putServices, serviceKey), ch.removeServices)
	sn.buildCustomers(base, ch)
	sn.terms = base.terms.update(indexByName(ch.putContracts, termsKey), ch.removeContracts)
	rebuilt := base.affectedTargets(ch)
	for _, ro := range ch.putRoutes {
		rebuilt[string(ro.Name)] = &Target{Route: ro}
	}
	for _, name := range ch.removeRoutes {
		delete(rebuilt, name)
	}
	for _, ta := range rebuilt {
		sn.resolve(ta)
	}
	sn.targets = base.targets.update(rebuilt, ch.removeRoutes)
	for _, ta := range rebuilt {
		ta.Fallback, _ = sn.targets.get(string(ta.Route.Fallback))
		for _, st := range ta.SplitTargets {
			st.Fallback = ta.Fallback
		}
	}
	sn.prefixes = base.updatePrefixes(rebuilt, ch.removeRoutes)
}

// affectedTargets returns new, unresolved targets for the unchanged routes that refer,
// directly or through fallbacks, to a changed service, contract or route.
func (sn *Snapshot) affectedTargets(ch *change) map[string]*Target {
	services := indexByName(ch.putServices, serviceKey)
	terms := indexByName(ch.putContracts, termsKey)
	affected := indexByName(ch.putRoutes, routeKey)
	for _, name := range ch.removeRoutes {
		affected[name] = Route{}
	}
	rebuilt := map[string]*Target{}
	for found := true; found; {
		found = false
		sn.targets.all(func(name string, ta *Target) bool {
			if _, done := affected[name]; done {
				return true
			}
			byService := slices.ContainsFunc(ta.Route.Services(), func(na ServiceName) bool {
				_, put := services[string(na)]
				return put
			})
			_, byTerms := terms[string(ta.Route.Contract)]
			_, byFallback := affected[string(ta.Route.Fallback)]
			if byService || byTerms || byFallback {
				affected[name] = ta.Route
				rebuilt[name] = &Target{Route: ta.Route}
				found = true
			}
			return true
		})
	}
	return rebuilt
}

// updatePrefixes returns the prefix table with the rebuilt targets in place of the
// old ones and without those of removed routes.
func (sn *Snapshot) updatePrefixes(rebuilt map[string]*Target, remove []string) table[[]*Target] {
	updated := map[string][]*Target{}
	targetsAt := func(prefix string) []*Target {
		if targets, ok := updated[prefix]; ok {
			return targets
		}
		targets, _ := sn.prefixes.get(prefix)
		return slices.Clone(targets)
	}
	removeTarget := func(name string) {
		if old, ok := sn.targets.get(name); ok {
			prefix := prefixKey(old.Route)
			updated[prefix] = slices.DeleteFunc(targetsAt(prefix), func(ta *Target) bool { return ta == old })
		}
	}
	for _, name := range remove {
		removeTarget(name)
	}
	for name := range rebuilt {
		removeTarget(name)
	}
	for _, ta := range rebuilt {
		prefix := prefixKey(ta.Route)
		updated[prefix] = append(targetsAt(prefix), ta)
	}
	var empty []string
	for prefix, targets := range updated {
		if len(targets) == 0 {
			empty = append(empty, prefix)
			delete(updated, prefix)
		}
	}
	return sn.prefixes.update(updated, empty)
}

// Service returns the service with the given name.
func (sn *Snapshot) Service(name ServiceName) (Service, bool) {
	return sn.services.get(string(name))
}

// Match returns the target for a call, or nil when no route matches. A route with
// the call's host takes precedence over one without a host, then the longest path
// prefix wins, then a route that lists the method over one for all methods.
func (sn *Snapshot) Match(host, method, path string) *Target {
	path = canonicalPath(path)
	if host != "" {
		if ta := sn.matchPath(host, method, path); ta != nil {
			return ta
		}
	}
	return sn.matchPath("", method, path)
}

func (sn *Snapshot) matchPath(host, method, path string) *Target {
	prefix := strings.TrimRight(path, "/")
	for {
		targets, _ := sn.prefixes.get(tableKey(host, prefix))
		if ta := matchMethod(targets, method, path); ta != nil {
			return ta
		}
		slash := strings.LastIndexByte(prefix, '/')
		if slash < 0 {
			return nil
		}
		prefix = prefix[:slash]
	}
}

// matchMethod returns the target with the longest prefix of the path among those that differ
// only in the slashes at its end, and among equal ones the target that lists the method.
func matchMethod(targets []*Target, method, path string) *Target {
	var best *Target
	for _, ta := range targets {
		if !strings.HasPrefix(path, ta.prefix) {
			continue
		}
		if len(ta.Route.Methods) > 0 && !slices.Contains(ta.Route.Methods, method) {
			continue
		}
		if best == nil || len(ta.prefix) > len(best.prefix) ||
			len(ta.prefix) == len(best.prefix) && len(ta.Route.Methods) > 0 {
			best = ta
		}
	}
	return best
}

// DanglingRoutes returns the routes whose target refers to a service, contract or
// fallback other than those of the snapshot. It checks an invariant: the list is
// always empty.
func (sn *Snapshot) DanglingRoutes() []RouteName {
	var dangling []RouteName
	sn.targets.all(func(name string, ta *Target) bool {
		te, known := sn.terms.get(string(ta.Route.Contract))
		fallback, _ := sn.targets.get(string(ta.Route.Fallback))
		if !sn.hasCurrentServices(ta) || !known || te != ta.Terms || fallback != ta.Fallback {
			dangling = append(dangling, RouteName(name))
		}
		return true
	})
	return dangling
}

// hasCurrentServices reports whether the services of a target, or of its split targets,
// are those of the snapshot.
func (sn *Snapshot) hasCurrentServices(ta *Target) bool {
	if len(ta.SplitTargets) == 0 {
		se, ok := sn.services.get(string(ta.Route.Service))
		return ok && se == ta.Service
	}
	for _, st := range ta.SplitTargets {
		if !sn.hasCurrentServices(&Target{Route: st.Route, Service: st.Service}) {
			return false
		}
	}
	return len(ta.SplitTargets) == len(ta.Route.Split)
}
