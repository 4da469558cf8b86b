// Package draft holds an operator's edits to a configuration before they are
// submitted. It lists their changes and risks, and rebases them onto a newer version.
package draft

import (
	"bytes"
	"cmp"
	"encoding/json"
	"reflect"
	"slices"

	"lynxfold/core/contract"
)

// Edit is one changed item. Before is nil when the edit adds the item, After is nil
// when it removes it.
type Edit[T any] struct {
	Before *T `json:"was,omitempty"`
	After  *T `json:"now,omitempty"`
}

// Draft holds edits by item name. Each edit includes the item's state before it, so
// that any node can detect a concurrent change of the same item without the base.
type Draft struct {
	// Base is the version that the edits apply to.
	Base      contract.Version                                  `json:"base"`
	Services  map[contract.ServiceName]Edit[contract.Service]   `json:"services,omitempty"`
	Contracts map[contract.TermsName]Edit[contract.Terms]       `json:"contracts,omitempty"`
	Routes    map[contract.RouteName]Edit[contract.Route]       `json:"routes,omitempty"`
	Limits    map[LimitsName]Edit[contract.Limits]              `json:"limits,omitempty"`
	Customers map[contract.CustomerName]Edit[contract.Customer] `json:"customers,omitempty"`
}

// LimitsName names a document's limits. Limits are handled like a list of items, so
// that drafts treat them as they do services, contracts and routes.
type LimitsName string

// LimitsCallers is the name of the only limits of a document, those for callers.
const LimitsCallers LimitsName = "callers"

// SyntaxError reports a draft that can't be parsed.
type SyntaxError struct {
	Detail string
}

func (er *SyntaxError) Error() string { return "draft syntax: " + er.Detail }

// New returns an empty draft for a version.
func New(base contract.Version) *Draft {
	return &Draft{
		Base:      base,
		Services:  map[contract.ServiceName]Edit[contract.Service]{},
		Contracts: map[contract.TermsName]Edit[contract.Terms]{},
		Routes:    map[contract.RouteName]Edit[contract.Route]{},
		Limits:    map[LimitsName]Edit[contract.Limits]{},
		Customers: map[contract.CustomerName]Edit[contract.Customer]{},
	}
}

// Diff returns the draft that changes a snapshot's document into another one.
func Diff(from *contract.Snapshot, to *contract.Document) *Draft {
	dr := New(from.Version)
	diffItems(dr.Services, from.Document.Services, to.Services, serviceName)
	diffItems(dr.Contracts, from.Document.Contracts, to.Contracts, termsName)
	diffItems(dr.Routes, from.Document.Routes, to.Routes, routeName)
	diffItems(dr.Limits, limitsOf(from.Document), limitsOf(to), limitsName)
	diffItems(dr.Customers, from.Document.Customers, to.Customers, customerName)
	return dr
}

// Parse parses the JSON form of a draft. It fails with a SyntaxError.
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
	return dr.withCheckedNames()
}

// withCheckedNames returns a copy of the draft without nil maps. It fails with a
// SyntaxError if the key of an edit is not the name of its item.
func (dr *Draft) withCheckedNames() (*Draft, error) {
	res := New(dr.Base)
	ok := copyNamedEdits(res.Services, dr.Services, serviceName) &&
		copyNamedEdits(res.Contracts, dr.Contracts, termsName) &&
		copyNamedEdits(res.Routes, dr.Routes, routeName) &&
		copyNamedEdits(res.Limits, dr.Limits, limitsName) &&
		copyNamedEdits(res.Customers, dr.Customers, customerName)
	if !ok {
		return nil, &SyntaxError{Detail: "an edit has another name than its item"}
	}
	return res, nil
}

// Encode returns the JSON form of the draft; equal drafts have equal encodings.
func (dr *Draft) Encode() []byte {
	data, err := json.Marshal(dr)
	if err != nil {
		panic(err) // a Draft holds only types that always marshal
	}
	return data
}

// Len returns the number of edits.
func (dr *Draft) Len() int {
	return len(dr.Services) + len(dr.Contracts) + len(dr.Routes) + len(dr.Limits) + len(dr.Customers)
}

// PutService adds or changes a service of a document.
func (dr *Draft) PutService(doc *contract.Document, se contract.Service) {
	recordEdit(dr.Services, doc.Services, serviceName, se.Name, &se)
}

// RemoveService removes a service of a document.
func (dr *Draft) RemoveService(doc *contract.Document, na contract.ServiceName) {
	recordEdit(dr.Services, doc.Services, serviceName, na, nil)
}

// PutContract adds or changes a contract of a document.
func (dr *Draft) PutContract(doc *contract.Document, te contract.Terms) {
	recordEdit(dr.Contracts, doc.Contracts, termsName, te.Name, &te)
}

// RemoveContract removes a contract of a document.
func (dr *Draft) RemoveContract(doc *contract.Document, na contract.TermsName) {
	recordEdit(dr.Contracts, doc.Contracts, termsName, na, nil)
}

// PutRoute adds or changes a route of a document.
func (dr *Draft) PutRoute(doc *contract.Document, ro contract.Route) {
	recordEdit(dr.Routes, doc.Routes, routeName, ro.Name, &ro)
}

// RemoveRoute removes a route of a document.
func (dr *Draft) RemoveRoute(doc *contract.Document, na contract.RouteName) {
	recordEdit(dr.Routes, doc.Routes, routeName, na, nil)
}

// PutCustomer adds or changes a customer of a document.
func (dr *Draft) PutCustomer(doc *contract.Document, cu contract.Customer) {
	recordEdit(dr.Customers, doc.Customers, customerName, cu.Name, &cu)
}

// RemoveCustomer removes a customer of a document.
func (dr *Draft) RemoveCustomer(doc *contract.Document, na contract.CustomerName) {
	recordEdit(dr.Customers, doc.Customers, customerName, na, nil)
}

// PutLimits adds or changes the limits of a document.
func (dr *Draft) PutLimits(doc *contract.Document, li contract.Limits) {
	recordEdit(dr.Limits, limitsOf(doc), limitsName, LimitsCallers, &li)
}

// RemoveLimits removes the limits of a document.
func (dr *Draft) RemoveLimits(doc *contract.Document) {
	recordEdit(dr.Limits, limitsOf(doc), limitsName, LimitsCallers, nil)
}

// Apply returns the document with the edits applied. An edit overwrites whatever the
// document holds; use Merge to detect conflicts.
func (dr *Draft) Apply(doc *contract.Document) *contract.Document {
	out := &contract.Document{
		Services:  applyEdits(doc.Services, dr.Services, serviceName),
		Contracts: applyEdits(doc.Contracts, dr.Contracts, termsName),
		Routes:    applyEdits(doc.Routes, dr.Routes, routeName),
	}
	if customers := applyEdits(doc.Customers, dr.Customers, customerName); len(customers) > 0 {
		out.Customers = customers
	}
	if limits := applyEdits(limitsOf(doc), dr.Limits, limitsName); len(limits) > 0 {
		out.Limits = &limits[0]
	}
	return out
}

// limitsOf returns the limits of a document as a list of at most one element.
func limitsOf(doc *contract.Document) []contract.Limits {
	if doc.Limits == nil {
		return nil
	}
	return []contract.Limits{*doc.Limits}
}

func serviceName(se contract.Service) contract.ServiceName    { return se.Name }
func termsName(te contract.Terms) contract.TermsName          { return te.Name }
func routeName(ro contract.Route) contract.RouteName          { return ro.Name }
func customerName(cu contract.Customer) contract.CustomerName { return cu.Name }
func limitsName(contract.Limits) LimitsName                   { return LimitsCallers }

func findItem[T any, K comparable](items []T, key func(T) K, name K) *T {
	for i := range items {
		if key(items[i]) == name {
			it := items[i]
			return &it
		}
	}
	return nil
}

func sameItem[T any](a, b *T) bool {
	if a == nil || b == nil {
		return a == b
	}
	return reflect.DeepEqual(*a, *b)
}

// recordEdit records the state of an item after its edit, nil if the edit removes the
// item. It deletes an edit that changes nothing.
func recordEdit[T any, K comparable](edits map[K]Edit[T], items []T, key func(T) K, name K, after *T) {
	before := findItem(items, key, name)
	if existing, ok := edits[name]; ok {
		before = existing.Before
	}
	if sameItem(before, after) {
		delete(edits, name)
		return
	}
	edits[name] = Edit[T]{
		Before: before,
		After:  after,
	}
}

func diffItems[T any, K comparable](edits map[K]Edit[T], from, to []T, key func(T) K) {
	for _, it := range from {
		recordEdit(edits, from, key, key(it), findItem(to, key, key(it)))
	}
	for _, it := range to {
		recordEdit(edits, from, key, key(it), &it)
	}
}

// copyNamedEdits copies edits to dst. It returns false if the key of an edit is not the
// name of its item.
func copyNamedEdits[T any, K comparable](dst, edits map[K]Edit[T], key func(T) K) bool {
	for na, ed := range edits {
		if ed.Before != nil && key(*ed.Before) != na || ed.After != nil && key(*ed.After) != na {
			return false
		}
		dst[na] = ed
	}
	return true
}

// applyEdits returns the items with the edits applied, sorted by name.
func applyEdits[T any, K cmp.Ordered](items []T, edits map[K]Edit[T], key func(T) K) []T {
	out := make([]T, 0, len(items)+len(edits))
	for _, it := range items {
		if _, changed := edits[key(it)]; !changed {
			out = append(out, it)
		}
	}
	for _, ed := range edits {
		if ed.After != nil {
			out = append(out, *ed.After)
		}
	}
	slices.SortStableFunc(out, func(a, b T) int { return cmp.Compare(key(a), key(b)) })
	return out
}
