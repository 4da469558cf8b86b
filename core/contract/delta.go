package contract

import "encoding/json"

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
	// Limits replace those of the base; a delta that removes them says so.
	Limits       *Limits `json:"limits,omitempty"`
	RemoveLimits bool    `json:"remove_limits,omitempty"`
}

// Diff computes the delta between two snapshots.
func Diff(from, to *Snapshot) *Delta {
	ch := changeOf(from.Document, to.Document)
	de := &Delta{
		Base:            from.Version,
		BaseDigest:      from.Digest,
		Result:          to.Version,
		Digest:          to.Digest,
		PutServices:     ch.putServices,
		PutContracts:    ch.putContracts,
		PutRoutes:       ch.putRoutes,
		RemoveServices:  convert[ServiceName](ch.removeServices),
		RemoveContracts: convert[TermsName](ch.removeContracts),
		RemoveRoutes:    convert[RouteName](ch.removeRoutes),
	}
	if ch.hasLimits {
		de.Limits = ch.limits
		de.RemoveLimits = ch.limits == nil
	}
	return de
}

func convert[To, From ~string](names []From) []To {
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
		removeServices:  convert[string](de.RemoveServices),
		removeContracts: convert[string](de.RemoveContracts),
		removeRoutes:    convert[string](de.RemoveRoutes),
		limits:          de.Limits,
		hasLimits:       de.Limits != nil || de.RemoveLimits,
	}
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

// Apply builds the next snapshot from a base; the base stays as it is. Its cost
// follows the size of the change: digests, checks and targets of unchanged items
// are shared. It fails with a DeltaError when the base is another one, with a
// DigestError when the result is not what the delta promised, and with a
// ValidationError when that content is not valid.
func (de *Delta) Apply(base *Snapshot) (*Snapshot, error) {
	if de.Base != base.Version || de.BaseDigest != base.Digest {
		return nil, &DeltaError{Base: de.Base, Result: de.Result, Detail: "base is another version"}
	}
	if de.Result <= de.Base {
		return nil, &DeltaError{Base: de.Base, Result: de.Result, Detail: "result is not above its base"}
	}
	ch := de.change()
	di := ch.digests(&base.digests)
	if got := di.total(); got != de.Digest {
		return nil, &DigestError{Version: de.Result, Want: de.Digest, Got: got}
	}
	next := &Snapshot{
		Version:  de.Result,
		Digest:   de.Digest,
		Document: ch.document(base.Document),
		digests:  di,
	}
	next.index(base, ch)
	if !next.validChange(base, ch) {
		if err := next.Document.Validate(); err != nil {
			return nil, err
		}
	}
	return next, nil
}
