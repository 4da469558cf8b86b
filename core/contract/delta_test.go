package contract

import (
	"errors"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// drawDocument draws a small document, which may be invalid.
func drawDocument(rt *rapid.T) *Document {
	doc := &Document{}
	for i := range rapid.IntRange(0, 4).Draw(rt, "services") {
		doc.Services = append(doc.Services, Service{
			Name:        ServiceName(fmt.Sprintf("s%d", i)),
			Description: rapid.SampledFrom([]string{"", "x", "y"}).Draw(rt, "description"),
		})
	}
	for i := range rapid.IntRange(0, 2).Draw(rt, "contracts") {
		doc.Contracts = append(doc.Contracts, Terms{
			Name:       TermsName(fmt.Sprintf("c%d", i)),
			Idempotent: rapid.Bool().Draw(rt, "idempotent"),
			TimeoutMS:  int64(rapid.SampledFrom([]int{0, 100, 200, 200}).Draw(rt, "timeout")),
		})
	}
	for i := range rapid.IntRange(0, 5).Draw(rt, "routes") {
		doc.Routes = append(doc.Routes, Route{
			Name:       RouteName(fmt.Sprintf("r%d", i)),
			PathPrefix: rapid.SampledFrom([]string{"/a", "/a/b", "/c", "/d/", "/e", "bad"}).Draw(rt, "prefix"),
			Methods:    rapid.SampledFrom([][]string{nil, {"GET"}, {"PUT", "GET"}}).Draw(rt, "methods"),
			Service:    ServiceName(fmt.Sprintf("s%d", rapid.IntRange(0, 4).Draw(rt, "service"))),
			Contract:   TermsName(fmt.Sprintf("c%d", rapid.IntRange(0, 2).Draw(rt, "contract"))),
			Fallback:   rapid.SampledFrom([]RouteName{"", "", "r0", "r1", "r4"}).Draw(rt, "fallback"),
		})
	}
	for i := range rapid.IntRange(0, 3).Draw(rt, "customers") {
		cu := Customer{
			Name:          CustomerName(fmt.Sprintf("u%d", i)),
			RatePerSecond: rapid.SampledFrom([]float64{0, 2.5, 2.5, 1e8}).Draw(rt, "rate"),
		}
		for range rapid.IntRange(0, 2).Draw(rt, "keys") {
			cu.Keys = append(cu.Keys, DigestKey([]byte(rapid.SampledFrom([]string{"k0", "k1", "k2", "k3", "k4", "k5"}).Draw(rt, "key"))))
		}
		if rapid.Bool().Draw(rt, "has priority") {
			priority := rapid.IntRange(0, 2).Draw(rt, "priority")
			cu.Priority = &priority
		}
		doc.Customers = append(doc.Customers, cu)
	}
	doc.normalise()
	return doc
}

// makeValid drops routes from the end until the document is valid, sets all timeouts
// and compiles it. It returns the empty configuration if it does not compile.
func makeValid(doc *Document) *Snapshot {
	for len(doc.Routes) > 0 && doc.Validate() != nil {
		doc.Routes = doc.Routes[:len(doc.Routes)-1]
	}
	for len(doc.Customers) > 0 && doc.Validate() != nil {
		doc.Customers = doc.Customers[:len(doc.Customers)-1]
	}
	for i := range doc.Contracts {
		doc.Contracts[i].TimeoutMS = 100
	}
	sn, err := Compile(1, doc)
	if err != nil {
		return EmptySnapshot()
	}
	return sn
}

// TestApplyEqualsCompile checks that applying a delta gives the same error, digest,
// document and targets as compiling the whole document.
func TestApplyEqualsCompile(t *testing.T) {
	valid, invalid := 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		base := makeValid(drawDocument(rt))
		doc := drawDocument(rt)
		want, wantErr := Compile(base.Version+1, doc)
		ch := diffDocuments(base.Document, doc)
		got, err := (&Delta{
			Base:            base.Version,
			BaseDigest:      base.Digest,
			Result:          base.Version + 1,
			Digest:          doc.Digest(),
			PutServices:     ch.putServices,
			PutContracts:    ch.putContracts,
			PutRoutes:       ch.putRoutes,
			RemoveServices:  convertNames[ServiceName](ch.removeServices),
			RemoveContracts: convertNames[TermsName](ch.removeContracts),
			RemoveRoutes:    convertNames[RouteName](ch.removeRoutes),
			PutCustomers:    ch.putCustomers,
			RemoveCustomers: convertNames[CustomerName](ch.removeCustomers),
		}).Apply(base)
		if wantErr != nil {
			invalid++
			if err == nil || err.Error() != wantErr.Error() {
				rt.Fatalf("got error %v, want %v", err, wantErr)
			}
			return
		}
		valid++
		assert.NilError(rt, err)
		compareSnapshots(rt, got, want)
		assert.Equal(rt, len(base.DanglingRoutes()), 0)
	})
	assert.Assert(t, valid > 50 && invalid > 50, "%d valid, %d invalid", valid, invalid)
}

func compareSnapshots(rt *rapid.T, got, want *Snapshot) {
	assert.Equal(rt, got.Digest, want.Digest)
	assert.Equal(rt, string(got.Document.Encode()), string(want.Document.Encode()))
	assert.Equal(rt, len(got.DanglingRoutes()), 0)
	assert.Equal(rt, got.targets.count, want.targets.count)
	assert.Equal(rt, got.HasCustomers(), want.HasCustomers())
	assert.Equal(rt, got.customersByKey.count, want.customersByKey.count)
	for _, key := range []string{"k0", "k1", "k2", "k3", "k4", "k5"} {
		a, known := got.CustomerByKey([]byte(key))
		b, wanted := want.CustomerByKey([]byte(key))
		assert.Equal(rt, known, wanted)
		assert.Assert(rt, sameCustomer(a, b))
		byName, _ := got.Customer(a.Name)
		assert.Assert(rt, sameCustomer(a, byName))
	}
	for _, method := range []string{"GET", "PUT", "POST"} {
		for _, path := range []string{"/a", "/a/b/c", "/c/", "/d/x", "/e", "/none"} {
			a, b := got.Match("", method, path), want.Match("", method, path)
			assert.Equal(rt, a == nil, b == nil)
			for a != nil {
				assert.Assert(rt, sameRoute(a.Route, b.Route) && a.Service == b.Service && a.Terms == b.Terms)
				a, b = a.Fallback, b.Fallback
				assert.Equal(rt, a == nil, b == nil)
			}
		}
	}
}

// largeDocument builds a valid document with many services and routes.
func largeDocument(services, routes int) *Document {
	doc := &Document{Contracts: []Terms{{Name: "lookup", Idempotent: true, TimeoutMS: 1000}}}
	for i := range services {
		doc.Services = append(doc.Services, Service{Name: ServiceName(fmt.Sprintf("service-%04d", i))})
	}
	for i := range routes {
		doc.Routes = append(doc.Routes, Route{
			Name:       RouteName(fmt.Sprintf("route-%04d", i)),
			PathPrefix: fmt.Sprintf("/area-%d/page-%d", i%50, i),
			Service:    ServiceName(fmt.Sprintf("service-%04d", i%services)),
			Contract:   "lookup",
		})
	}
	return doc
}

// largeDelta returns a base of the size that the mesh is designed for, and a delta
// that changes one of its routes.
func largeDelta(t testing.TB) (*Snapshot, *Delta) {
	base, err := Compile(1, largeDocument(700, 2000))
	assert.NilError(t, err)
	doc := base.Document.Clone()
	doc.Routes[1000].PathPrefix = "/moved"
	next, err := Compile(2, doc)
	assert.NilError(t, err)
	return base, Diff(base, next)
}

// TestInvalidDeltas checks that each kind of invalid delta fails with its typed error
// and leaves the base unchanged.
func TestInvalidDeltas(t *testing.T) {
	base, good := largeDelta(t)
	digest := base.Digest
	for name, corrupt := range map[string]func(de *Delta){
		"missing item":    func(de *Delta) { de.PutRoutes = nil },
		"other item":      func(de *Delta) { de.PutRoutes = []Route{{Name: "x", PathPrefix: "/x"}} },
		"unknown removal": func(de *Delta) { de.RemoveServices = []ServiceName{"service-0001"} },
		"wrong digest":    func(de *Delta) { de.Digest = base.Digest },
		"duplicate item":  func(de *Delta) { de.PutServices = []Service{{Name: "new"}, {Name: "new"}} },
		"missing class":   func(de *Delta) { de.PutContracts = []Terms{{Name: "lookup", TimeoutMS: 1000, Idempotent: true}} },
	} {
		t.Run(name, func(t *testing.T) {
			de := *good
			corrupt(&de)
			_, err := de.Apply(base)
			var wrong *DigestError
			assert.Assert(t, errors.As(err, &wrong), "%v", err)
			assert.Equal(t, base.Document.Digest(), digest)
		})
	}
	for name, corrupt := range map[string]func(de *Delta){
		"other version": func(de *Delta) { de.Base = 7 },
		"other digest":  func(de *Delta) { de.BaseDigest = "x" },
		"old result":    func(de *Delta) { de.Result = 1 },
	} {
		t.Run(name, func(t *testing.T) {
			de := *good
			corrupt(&de)
			_, err := de.Apply(base)
			var wrong *DeltaError
			assert.Assert(t, errors.As(err, &wrong), "%v", err)
		})
	}
}

// TestDigestIgnoresNilLists guards against a digest mismatch after a delta that removes
// the last item of a list: its list is empty, where that of the node which accepted
// the version is nil.
func TestDigestIgnoresNilLists(t *testing.T) {
	assert.Equal(t, (&Document{}).Digest(), (&Document{Services: []Service{}}).Digest())
}

// TestDanglingRoutes checks that a route to a service that is not in the snapshot is
// reported.
func TestDanglingRoutes(t *testing.T) {
	base, _ := largeDelta(t)
	base.services = base.services.update(nil, []string{"service-0001"})
	assert.Assert(t, len(base.DanglingRoutes()) > 0)
}

// TestConflicts checks that only a field that both documents changed is a conflict.
func TestConflicts(t *testing.T) {
	base := largeDocument(3, 3)
	yours, theirs := base.Clone(), base.Clone()
	yours.Routes[0].Service = "service-0001"
	yours.Routes[1].PathPrefix = "/yours"
	theirs.Routes[0].Service = "service-0002"
	theirs.Services = append(theirs.Services, Service{Name: "new"})
	got := Conflicts(base, yours, theirs)
	assert.Equal(t, len(got), 1)
	assert.Equal(t, got[0].Path, "routes[route-0000].service")
	assert.Equal(t, string(got[0].From), `"service-0001"`)
	var paths []string
	for _, di := range Differences(base, theirs) {
		paths = append(paths, di.Path)
	}
	assert.DeepEqual(t, paths, []string{"routes[route-0000].service", "services[new].name"})
}

// BenchmarkNextVersion compares applying a delta of one route with a full compile, and
// measures the invariant check and the matching of a call.
func BenchmarkNextVersion(b *testing.B) {
	base, de := largeDelta(b)
	b.Run("apply", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			if _, err := de.Apply(base); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("compile", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			if _, err := Compile(2, base.Document); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("check_routes", func(b *testing.B) {
		for b.Loop() {
			base.DanglingRoutes()
		}
	})
	b.Run("match", func(b *testing.B) {
		for b.Loop() {
			base.Match("", "GET", "/area-7/page-7/detail/1")
		}
	})
}
