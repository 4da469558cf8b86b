package contract

import (
	"encoding/json"
	"slices"
)

// Delta leads from one version to the next. It holds whole items by name.
type Delta struct {
	Base       Version `json:"base"`
	BaseDigest Digest  `json:"base_digest"`
	Result     Version `json:"result"`
	Digest     Digest  `json:"digest"`

	PutServices     []Service     `json:"put_services,omitempty"`
	PutContracts    []Terms       `json:"put_contracts,omitempty"`
	PutRoutes       []Route       `json:"put_routes,omitempty"`
	RemoveServices  []ServiceName `json:"remove_services,omitempty"`
	RemoveContracts []TermsName   `json:"remove_contracts,omitempty"`
	RemoveRoutes    []RouteName   `json:"remove_routes,omitempty"`
}

// Diff computes the delta between two snapshots.
func Diff(from, to *Snapshot) *Delta {
	de := &Delta{
		Base:       from.Version,
		BaseDigest: from.Digest,
		Result:     to.Version,
		Digest:     to.Digest,
	}
	de.PutServices, de.RemoveServices = diffItems(from.Document.Services, to.Document.Services, serviceKey, sameService)
	de.PutContracts, de.RemoveContracts = diffItems(from.Document.Contracts, to.Document.Contracts, termsKey, sameTerms)
	de.PutRoutes, de.RemoveRoutes = diffItems(from.Document.Routes, to.Document.Routes, routeKey, sameRoute)
	return de
}

// Encode writes the JSON form of the delta.
func (de *Delta) Encode() []byte {
	data, err := json.Marshal(de)
	if err != nil {
		panic(err) // a Delta holds only types that always marshal
	}
	return data
}

// ParseDelta reads the JSON form of a delta.
func ParseDelta(data []byte) (*Delta, error) {
	var de Delta
	if err := json.Unmarshal(data, &de); err != nil {
		return nil, &SyntaxError{Detail: err.Error()}
	}
	return &de, nil
}

// Apply builds the next snapshot from a base; the base stays as it is. It fails
// with a DeltaError when the base is another one, with a DigestError when the
// result is not what the delta promised, and with a ValidationError.
func (de *Delta) Apply(base *Snapshot) (*Snapshot, error) {
	if de.Base != base.Version || de.BaseDigest != base.Digest {
		return nil, &DeltaError{Base: de.Base, Result: de.Result, Detail: "base is another version"}
	}
	if de.Result <= de.Base {
		return nil, &DeltaError{Base: de.Base, Result: de.Result, Detail: "result is not above its base"}
	}
	doc := &Document{
		Services:  applyItems(base.Document.Services, de.PutServices, de.RemoveServices, serviceKey),
		Contracts: applyItems(base.Document.Contracts, de.PutContracts, de.RemoveContracts, termsKey),
		Routes:    applyItems(base.Document.Routes, de.PutRoutes, de.RemoveRoutes, routeKey),
	}
	sn, err := Compile(de.Result, doc)
	if err != nil {
		return nil, err
	}
	if sn.Digest != de.Digest {
		return nil, &DigestError{Version: de.Result, Want: de.Digest, Got: sn.Digest}
	}
	return sn, nil
}

func serviceKey(se Service) ServiceName { return se.Name }
func termsKey(te Terms) TermsName       { return te.Name }
func routeKey(ro Route) RouteName       { return ro.Name }

func sameService(a, b Service) bool { return a == b }
func sameTerms(a, b Terms) bool     { return a == b }

func sameRoute(a, b Route) bool {
	if !slices.Equal(a.Methods, b.Methods) {
		return false
	}
	a.Methods, b.Methods = nil, nil
	return a.Name == b.Name && a.PathPrefix == b.PathPrefix && a.Service == b.Service &&
		a.Contract == b.Contract && a.Fallback == b.Fallback
}

func diffItems[T any, K comparable](from, to []T, key func(T) K, same func(a, b T) bool) (put []T, remove []K) {
	old := make(map[K]T, len(from))
	for _, it := range from {
		old[key(it)] = it
	}
	for _, it := range to {
		was, ok := old[key(it)]
		if !ok || !same(was, it) {
			put = append(put, it)
		}
		delete(old, key(it))
	}
	for _, it := range from {
		if _, left := old[key(it)]; left {
			remove = append(remove, key(it))
		}
	}
	return put, remove
}

func applyItems[T any, K comparable](base, put []T, remove []K, key func(T) K) []T {
	changed := make(map[K]bool, len(put)+len(remove))
	for _, it := range put {
		changed[key(it)] = true
	}
	for _, ke := range remove {
		changed[ke] = true
	}
	out := make([]T, 0, len(base)+len(put))
	for _, it := range base {
		if !changed[key(it)] {
			out = append(out, it)
		}
	}
	return append(out, put...)
}
