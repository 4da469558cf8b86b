// Package draft decides about the edits that an operator makes to a
// configuration before they are accepted: what they change, what they put at
// risk, and how they fit on a newer version.
package draft

import (
	"bytes"
	"cmp"
	"encoding/json"
	"reflect"
	"slices"

	"lynxfold/core/contract"
)

// Edit is one changed item. Was is nil when the edit adds the item, Now is nil
// when it removes it.
type Edit[T any] struct {
	Was *T `json:"was,omitempty"`
	Now *T `json:"now,omitempty"`
}

// Draft holds edits by item with the state that each was made on, so that any
// node can tell later whether somebody else has changed the same item.
type Draft struct {
	// Base is the version that the draft was begun on.
	Base      contract.Version                                `json:"base"`
	Services  map[contract.ServiceName]Edit[contract.Service] `json:"services,omitempty"`
	Contracts map[contract.TermsName]Edit[contract.Terms]     `json:"contracts,omitempty"`
	Routes    map[contract.RouteName]Edit[contract.Route]     `json:"routes,omitempty"`
	Limits    map[LimitsName]Edit[contract.Limits]            `json:"limits,omitempty"`
}

// LimitsName names a document's limits among its items.
type LimitsName string

// LimitsCallers are the limits of what callers may send, the only ones there are.
const LimitsCallers LimitsName = "callers"

// SyntaxError reports a draft that can't be read.
type SyntaxError struct {
	Detail string
}

func (er *SyntaxError) Error() string { return "draft syntax: " + er.Detail }

// New begins a draft on a version.
func New(base contract.Version) *Draft {
	return &Draft{
		Base:      base,
		Services:  map[contract.ServiceName]Edit[contract.Service]{},
		Contracts: map[contract.TermsName]Edit[contract.Terms]{},
		Routes:    map[contract.RouteName]Edit[contract.Route]{},
		Limits:    map[LimitsName]Edit[contract.Limits]{},
	}
}

// Between builds the draft that leads from one document to another.
func Between(from *contract.Snapshot, to *contract.Document) *Draft {
	dr := New(from.Version)
	between(dr.Services, from.Document.Services, to.Services, serviceName)
	between(dr.Contracts, from.Document.Contracts, to.Contracts, termsName)
	between(dr.Routes, from.Document.Routes, to.Routes, routeName)
	between(dr.Limits, limitsOf(from.Document), limitsOf(to), limitsName)
	return dr
}

// Parse reads a draft. It fails with a SyntaxError.
func Parse(data []byte) (*Draft, error) {
	dr := New(0)
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(dr); err != nil {
		return nil, &SyntaxError{Detail: err.Error()}
	}
	if dec.More() {
		return nil, &SyntaxError{Detail: "data after the end of the draft"}
	}
	return dr.checked()
}

// checked rejects edits that stand under another name than their item's.
func (dr *Draft) checked() (*Draft, error) {
	begun := New(dr.Base)
	ok := named(begun.Services, dr.Services, serviceName) &&
		named(begun.Contracts, dr.Contracts, termsName) &&
		named(begun.Routes, dr.Routes, routeName) &&
		named(begun.Limits, dr.Limits, limitsName)
	if !ok {
		return nil, &SyntaxError{Detail: "an edit has another name than its item"}
	}
	return begun, nil
}

// Encode writes the draft; the same draft always gives the same bytes.
func (dr *Draft) Encode() []byte {
	data, err := json.Marshal(dr)
	if err != nil {
		panic(err) // a Draft holds only types that always marshal
	}
	return data
}

// Len counts the edits.
func (dr *Draft) Len() int {
	return len(dr.Services) + len(dr.Contracts) + len(dr.Routes) + len(dr.Limits)
}

// PutService adds or changes a service of a document.
func (dr *Draft) PutService(doc *contract.Document, se contract.Service) {
	edit(dr.Services, doc.Services, serviceName, se.Name, &se)
}

// RemoveService removes a service of a document.
func (dr *Draft) RemoveService(doc *contract.Document, na contract.ServiceName) {
	edit(dr.Services, doc.Services, serviceName, na, nil)
}

// PutContract adds or changes a contract of a document.
func (dr *Draft) PutContract(doc *contract.Document, te contract.Terms) {
	edit(dr.Contracts, doc.Contracts, termsName, te.Name, &te)
}

// RemoveContract removes a contract of a document.
func (dr *Draft) RemoveContract(doc *contract.Document, na contract.TermsName) {
	edit(dr.Contracts, doc.Contracts, termsName, na, nil)
}

// PutRoute adds or changes a route of a document.
func (dr *Draft) PutRoute(doc *contract.Document, ro contract.Route) {
	edit(dr.Routes, doc.Routes, routeName, ro.Name, &ro)
}

// RemoveRoute removes a route of a document.
func (dr *Draft) RemoveRoute(doc *contract.Document, na contract.RouteName) {
	edit(dr.Routes, doc.Routes, routeName, na, nil)
}

// PutLimits adds or changes the limits of a document.
func (dr *Draft) PutLimits(doc *contract.Document, li contract.Limits) {
	edit(dr.Limits, limitsOf(doc), limitsName, LimitsCallers, &li)
}

// RemoveLimits removes the limits of a document.
func (dr *Draft) RemoveLimits(doc *contract.Document) {
	edit(dr.Limits, limitsOf(doc), limitsName, LimitsCallers, nil)
}

// Apply builds the document that the edits lead to. Every edit wins over what
// the document holds; Merge finds out whether it may.
func (dr *Draft) Apply(doc *contract.Document) *contract.Document {
	out := &contract.Document{
		Services:  apply(doc.Services, dr.Services, serviceName),
		Contracts: apply(doc.Contracts, dr.Contracts, termsName),
		Routes:    apply(doc.Routes, dr.Routes, routeName),
	}
	if limits := apply(limitsOf(doc), dr.Limits, limitsName); len(limits) > 0 {
		out.Limits = &limits[0]
	}
	return out
}

// limitsOf lists the limits of a document: one, or none.
func limitsOf(doc *contract.Document) []contract.Limits {
	if doc.Limits == nil {
		return nil
	}
	return []contract.Limits{*doc.Limits}
}

func serviceName(se contract.Service) contract.ServiceName { return se.Name }
func termsName(te contract.Terms) contract.TermsName       { return te.Name }
func routeName(ro contract.Route) contract.RouteName       { return ro.Name }
func limitsName(contract.Limits) LimitsName                { return LimitsCallers }

func find[T any, K comparable](items []T, key func(T) K, name K) *T {
	for i := range items {
		if key(items[i]) == name {
			it := items[i]
			return &it
		}
	}
	return nil
}

func same[T any](a, b *T) bool {
	if a == nil || b == nil {
		return a == b
	}
	return reflect.DeepEqual(*a, *b)
}

// edit records an item's new state, and forgets the edit when nothing is left of it.
func edit[T any, K comparable](edits map[K]Edit[T], items []T, key func(T) K, name K, now *T) {
	was := find(items, key, name)
	if before, ok := edits[name]; ok {
		was = before.Was
	}
	if same(was, now) {
		delete(edits, name)
		return
	}
	edits[name] = Edit[T]{
		Was: was,
		Now: now,
	}
}

func between[T any, K comparable](edits map[K]Edit[T], from, to []T, key func(T) K) {
	for _, it := range from {
		edit(edits, from, key, key(it), find(to, key, key(it)))
	}
	for _, it := range to {
		edit(edits, from, key, key(it), &it)
	}
}

func named[T any, K comparable](into, edits map[K]Edit[T], key func(T) K) bool {
	for na, ed := range edits {
		if ed.Was != nil && key(*ed.Was) != na || ed.Now != nil && key(*ed.Now) != na {
			return false
		}
		into[na] = ed
	}
	return true
}

// apply returns the items after the edits, sorted by name.
func apply[T any, K cmp.Ordered](items []T, edits map[K]Edit[T], key func(T) K) []T {
	out := make([]T, 0, len(items)+len(edits))
	for _, it := range items {
		if _, changed := edits[key(it)]; !changed {
			out = append(out, it)
		}
	}
	for _, ed := range edits {
		if ed.Now != nil {
			out = append(out, *ed.Now)
		}
	}
	slices.SortStableFunc(out, func(a, b T) int { return cmp.Compare(key(a), key(b)) })
	return out
}
