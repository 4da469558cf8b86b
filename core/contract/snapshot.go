package contract

import (
	"slices"
	"strings"
)

// Snapshot is one compiled configuration. It never changes once built; a
// snapshot made by a delta shares what the delta left alone.
type Snapshot struct {
	Version  Version
	Digest   Digest
	Document *Document

	digests  digests
	services table[Service]
	terms    table[Terms]
	targets  table[*Target]
	prefixes table[[]*Target]
}

// Target is a route with the service and terms that it depends on.
type Target struct {
	Route   Route
	Service Service
	Terms   Terms
	// Fallback is nil when the route has none.
	Fallback *Target
	// Parts are the targets of a split route, one a service; Service is empty
	// then. Each has the route as it would be with that service alone.
	Parts []*Target
}

// resolve fills in the services and terms that a target's route names.
func (sn *Snapshot) resolve(ta *Target) {
	ta.Terms, _ = sn.terms.get(string(ta.Route.Contract))
	if len(ta.Route.Split) == 0 {
		ta.Service, _ = sn.services.get(string(ta.Route.Service))
		return
	}
	ta.Parts = make([]*Target, 0, len(ta.Route.Split))
	for _, sh := range ta.Route.Split {
		part := &Target{
			Route: ta.Route,
			Terms: ta.Terms,
		}
		part.Route.Service = sh.Service
		part.Service, _ = sn.services.get(string(sh.Service))
		ta.Parts = append(ta.Parts, part)
	}
}

// Empty is the configuration of a mesh before its first version.
func Empty() *Snapshot {
	sn, err := Compile(0, &Document{})
	if err != nil {
		panic(err) // the empty document is valid
	}
	return sn
}

// Compile validates a document and builds its snapshot.
func Compile(ve Version, doc *Document) (*Snapshot, error) {
	doc = doc.Clone()
	doc.normalise()
	if err := doc.Validate(); err != nil {
		return nil, err
	}
	ch := changeOf(&Document{}, doc)
	sn := &Snapshot{
		Version:  ve,
		Document: doc,
		digests:  ch.digests(&digests{}),
	}
	sn.Digest = sn.digests.total()
	sn.index(&Snapshot{}, ch)
	return sn, nil
}

// index builds the tables from those of a base.
func (sn *Snapshot) index(base *Snapshot, ch *change) {
	sn.services = base.services.edit(byName(ch.putServices, serviceKey), ch.removeServices)
	sn.terms = base.terms.edit(byName(ch.putContracts, termsKey), ch.removeContracts)
	fresh := base.dependents(ch)
	for _, ro := range ch.putRoutes {
		fresh[string(ro.Name)] = &Target{Route: ro}
	}
	for _, name := range ch.removeRoutes {
		delete(fresh, name)
	}
	for _, ta := range fresh {
		sn.resolve(ta)
	}
	sn.targets = base.targets.edit(fresh, ch.removeRoutes)
	for _, ta := range fresh {
		ta.Fallback, _ = sn.targets.get(string(ta.Route.Fallback))
		for _, part := range ta.Parts {
			part.Fallback = ta.Fallback
		}
	}
	sn.prefixes = base.editPrefixes(fresh, ch.removeRoutes)
}

// dependents are new targets for the routes that a change touches through their
// service, terms or fallback.
func (sn *Snapshot) dependents(ch *change) map[string]*Target {
	services := byName(ch.putServices, serviceKey)
	terms := byName(ch.putContracts, termsKey)
	touched := byName(ch.putRoutes, routeKey)
	for _, name := range ch.removeRoutes {
		touched[name] = Route{}
	}
	fresh := map[string]*Target{}
	for grown := true; grown; {
		grown = false
		sn.targets.all(func(name string, ta *Target) bool {
			if _, done := touched[name]; done {
				return true
			}
			byService := slices.ContainsFunc(ta.Route.Services(), func(na ServiceName) bool {
				_, put := services[string(na)]
				return put
			})
			_, byTerms := terms[string(ta.Route.Contract)]
			_, byFallback := touched[string(ta.Route.Fallback)]
			if byService || byTerms || byFallback {
				touched[name] = ta.Route
				fresh[name] = &Target{Route: ta.Route}
				grown = true
			}
			return true
		})
	}
	return fresh
}

// editPrefixes replaces the targets of changed routes in the lists by prefix.
func (sn *Snapshot) editPrefixes(fresh map[string]*Target, remove []string) table[[]*Target] {
	lists := map[string][]*Target{}
	list := func(prefix string) []*Target {
		if ls, ok := lists[prefix]; ok {
			return ls
		}
		ls, _ := sn.prefixes.get(prefix)
		return slices.Clone(ls)
	}
	drop := func(name string) {
		if old, ok := sn.targets.get(name); ok {
			prefix := prefixKey(old.Route)
			lists[prefix] = slices.DeleteFunc(list(prefix), func(ta *Target) bool { return ta == old })
		}
	}
	for _, name := range remove {
		drop(name)
	}
	for name := range fresh {
		drop(name)
	}
	for _, ta := range fresh {
		prefix := prefixKey(ta.Route)
		lists[prefix] = append(list(prefix), ta)
	}
	var empty []string
	for prefix, ls := range lists {
		if len(ls) == 0 {
			empty = append(empty, prefix)
			delete(lists, prefix)
		}
	}
	return sn.prefixes.edit(lists, empty)
}

// Service finds a service by name.
func (sn *Snapshot) Service(name ServiceName) (Service, bool) {
	return sn.services.get(string(name))
}

// Match finds the route for a call. Routes that name the call's host go before
// those that name none; among them the longest prefix wins, and a route that
// names the method goes before one that takes all. It is nil when none fits.
func (sn *Snapshot) Match(host, method, path string) *Target {
	if host != "" {
		if ta := sn.matchPath(host, method, path); ta != nil {
			return ta
		}
	}
	return sn.matchPath("", method, path)
}

func (sn *Snapshot) matchPath(host, method, path string) *Target {
	rest := strings.TrimRight(path, "/")
	for {
		targets, _ := sn.prefixes.get(host + rest)
		if ta := pickMethod(targets, method, path); ta != nil {
			return ta
		}
		cut := strings.LastIndexByte(rest, '/')
		if cut < 0 {
			return nil
		}
		rest = rest[:cut]
	}
}

func pickMethod(targets []*Target, method, path string) *Target {
	var any *Target
	for _, ta := range targets {
		if !strings.HasPrefix(path, ta.Route.PathPrefix) {
			continue
		}
		if len(ta.Route.Methods) == 0 {
			any = ta
			continue
		}
		if slices.Contains(ta.Route.Methods, method) {
			return ta
		}
	}
	return any
}

// CheckRoutes reports the routes whose service, terms or fallback the snapshot
// does not hold. It is an invariant: the list is always empty.
func (sn *Snapshot) CheckRoutes() []RouteName {
	var dangling []RouteName
	sn.targets.all(func(name string, ta *Target) bool {
		te, known := sn.terms.get(string(ta.Route.Contract))
		fallback, _ := sn.targets.get(string(ta.Route.Fallback))
		if !sn.holdsServices(ta) || !known || te != ta.Terms || fallback != ta.Fallback {
			dangling = append(dangling, RouteName(name))
		}
		return true
	})
	return dangling
}

// holdsServices tells whether a target and its parts have the services of the snapshot.
func (sn *Snapshot) holdsServices(ta *Target) bool {
	if len(ta.Parts) == 0 {
		se, ok := sn.services.get(string(ta.Route.Service))
		return ok && se == ta.Service
	}
	for _, part := range ta.Parts {
		if !sn.holdsServices(&Target{Route: part.Route, Service: part.Service}) {
			return false
		}
	}
	return len(ta.Parts) == len(ta.Route.Split)
}
