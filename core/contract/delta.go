package contract

import "encoding/json"

// Delta is the difference between two versions of a configuration: the items to add
// or replace, and the names of those to remove.
type Delta struct {
	Base       Version `json:"base"`
	BaseDigest Digest  `json:"base_digest"`
	Result     Version `json:"result"`
	Digest     Digest  `json:"digest"`

	PutServices     []Service      `json:"put_services,omitempty"`
	PutContracts    []Terms        `json:"put_contracts,omitempty"`
	PutRoutes       []Route        `json:"put_routes,omitempty"`
	RemoveServices  []ServiceName  `json:"remove_services,omitempty"`
	RemoveContracts []TermsName    `json:"remove_contracts,omitempty"`
	RemoveRoutes    []RouteName    `json:"remove_routes,omitempty"`
	PutCustomers    []Customer     `json:"put_customers,omitempty"`
	RemoveCustomers []CustomerName `json:"remove_customers,omitempty"`
	// Limits replace those of the base when not nil.
	Limits       *Limits `json:"limits,omitempty"`
	RemoveLimits bool    `json:"remove_limits,omitempty"`
}

// Diff returns the delta between two snapshots.
func Diff(from, to *Snapshot) *Delta {
	ch := diffDocuments(from.Document, to.Document)
	de := &Delta{
		Base:            from.Version,
		BaseDigest:      from.Digest,
		Result:          to.Version,
		Digest:          to.Digest,
		PutServices:     ch.putServices,
		PutContracts:    ch.putContracts,
		PutRoutes:       ch.putRoutes,
		RemoveServices:  convertNames[ServiceName](ch.removeServices),
		RemoveContracts: convertNames[TermsName](ch.removeContracts),
		RemoveRoutes:    convertNames[RouteName](ch.removeRoutes),
		PutCustomers:    ch.putCustomers,
		RemoveCustomers: convertNames[CustomerName](ch.removeCustomers),
	}
	if ch.hasLimits {
		de.Limits = ch.limits
		de.RemoveLimits = ch.limits == nil
	}
	return de
}

func convertNames[To, From ~string](names []From) []To {
	var res []To
	for _, na := range names {
		res = append(res, To(na))
	}
	return res
}

func (de *Delta) change() *change {
	return &change{
		putServices:     de.PutServices,
		putContracts:    de.PutContracts,
		putRoutes:       de.PutRoutes,
		removeServices:  convertNames[string](de.RemoveServices),
		removeContracts: convertNames[string](de.RemoveContracts),
		removeRoutes:    convertNames[string](de.RemoveRoutes),
		putCustomers:    de.PutCustomers,
		removeCustomers: convertNames[string](de.RemoveCustomers),
		limits:          de.Limits,
		hasLimits:       de.Limits != nil || de.RemoveLimits,
	}
}

// Encode returns the JSON form of the delta.
func (de *Delta) Encode() []byte {
	data, err := json.Marshal(de)
	if err != nil {
		panic(err) // a Delta holds only types that always marshal
	}
	return data
}

// ParseDelta parses the JSON form of a delta. It fails with a SyntaxError.
func ParseDelta(data []byte) (*Delta, error) {
	var de Delta
	if err := json.Unmarshal(data, &de); err != nil {
		return nil, &SyntaxError{Detail: err.Error()}
	}
	return &de, nil
}

// Apply returns the snapshot that results from applying the delta to a base, which
// stays unchanged. Its cost depends on the size of the change, since hashes and
// targets of unchanged items are shared and these items are not validated again. It
// fails with a DeltaError when the delta is for another base or its result version
// is not above that of the base, with a DigestError when the result does not have
// the digest in the delta, and with a ValidationError when the result is not valid.
func (de *Delta) Apply(base *Snapshot) (*Snapshot, error) {
	if de.Base != base.Version || de.BaseDigest != base.Digest {
		return nil, &DeltaError{Base: de.Base, Result: de.Result, Detail: "delta is for another base version or digest"}
	}
	if de.Result <= de.Base {
		return nil, &DeltaError{Base: de.Base, Result: de.Result, Detail: "result version is not above the base version"}
	}
	ch := de.change()
	dh := ch.hashes(&base.hashes)
	if got := dh.digest(); got != de.Digest {
		return nil, &DigestError{Version: de.Result, Want: de.Digest, Got: got}
	}
	next := &Snapshot{
		Version:  de.Result,
		Digest:   de.Digest,
		Document: ch.apply(base.Document),
		hashes:   dh,
	}
	next.buildTables(base, ch)
	if !next.isValidChange(base, ch) {
		if err := next.Document.check(usable); err != nil {
			return nil, err
		}
	}
	return next, nil
}
