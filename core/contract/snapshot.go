package contract

import (
	"slices"
	"strings"
)

// Snapshot is one compiled configuration. It never changes once built.
type Snapshot struct {
	Version  Version
	Digest   Digest
	Document *Document

	services map[ServiceName]Service
	byName   map[RouteName]*Target
	byPrefix map[string][]*Target
}

// Target is a route with the service and terms that it depends on.
type Target struct {
	Route   Route
	Service Service
	Terms   Terms
	// Fallback is nil when the route has none.
	Fallback *Target
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
	sn := &Snapshot{
		Version:  ve,
		Digest:   doc.Digest(),
		Document: doc,
		services: map[ServiceName]Service{},
		byName:   map[RouteName]*Target{},
		byPrefix: map[string][]*Target{},
	}
	sn.index()
	return sn, nil
}

func (sn *Snapshot) index() {
	terms := map[TermsName]Terms{}
	for _, te := range sn.Document.Contracts {
		terms[te.Name] = te
	}
	for _, se := range sn.Document.Services {
		sn.services[se.Name] = se
	}
	for _, ro := range sn.Document.Routes {
		ta := &Target{
			Route:   ro,
			Service: sn.services[ro.Service],
			Terms:   terms[ro.Contract],
		}
		prefix := trimPrefix(ro.PathPrefix)
		sn.byName[ro.Name] = ta
		sn.byPrefix[prefix] = append(sn.byPrefix[prefix], ta)
	}
	for _, ta := range sn.byName {
		ta.Fallback = sn.byName[ta.Route.Fallback]
	}
}

// Service finds a service by name.
func (sn *Snapshot) Service(name ServiceName) (Service, bool) {
	se, ok := sn.services[name]
	return se, ok
}

// Match finds the route with the longest prefix for a method and path; a route
// that names the method goes before one that takes all. It is nil when none fits.
func (sn *Snapshot) Match(method, path string) *Target {
	path = strings.TrimRight(path, "/")
	for {
		if ta := pickMethod(sn.byPrefix[path], method); ta != nil {
			return ta
		}
		cut := strings.LastIndexByte(path, '/')
		if cut < 0 {
			return nil
		}
		path = path[:cut]
	}
}

func pickMethod(targets []*Target, method string) *Target {
	var any *Target
	for _, ta := range targets {
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

// CheckRoutes reports the routes whose service the snapshot does not hold.
// It is an invariant: the list is always empty.
func (sn *Snapshot) CheckRoutes() []RouteName {
	var dangling []RouteName
	for name, ta := range sn.byName {
		if _, ok := sn.services[ta.Route.Service]; !ok {
			dangling = append(dangling, name)
		}
	}
	return dangling
}
