// Package contract holds the configuration of a mesh: its document, the checks
// on it, the compiled snapshot that traffic reads, and the deltas between versions.
package contract

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Version numbers accepted configurations; 0 is the empty configuration.
type Version uint64

// ServiceName names a service.
type ServiceName string

// RouteName names a route.
type RouteName string

// TermsName names the terms that a route's calls are made under.
type TermsName string

// Class tells short calls from long transfers.
type Class string

// Classes of calls.
const (
	ClassLookup Class = "lookup"
	ClassBulk   Class = "bulk"
)

// Document is the configuration that operators write.
type Document struct {
	Services  []Service `json:"services"`
	Contracts []Terms   `json:"contracts"`
	Routes    []Route   `json:"routes"`
	// Limits bound what callers may send; nil leaves it to the hosts' settings.
	Limits *Limits `json:"limits,omitempty"`
}

// Limits bound a caller's requests and connections. A limit of 0 leaves the
// bound to the settings of each host.
type Limits struct {
	MaxHeaderBytes int64 `json:"max_header_bytes,omitempty"`
	MaxBodyBytes   int64 `json:"max_body_bytes,omitempty"`
	// HeaderTimeoutMS bounds the arrival of a request's header, in milliseconds.
	HeaderTimeoutMS int64 `json:"header_timeout_ms,omitempty"`
	// IdleTimeoutMS is how long a connection may stay idle, in milliseconds.
	IdleTimeoutMS int64 `json:"idle_timeout_ms,omitempty"`
}

// HeaderTimeout bounds the arrival of a request's header; 0 when not set.
func (li Limits) HeaderTimeout() time.Duration {
	return time.Duration(li.HeaderTimeoutMS) * time.Millisecond
}

// IdleTimeout is how long a connection may stay idle; 0 when not set.
func (li Limits) IdleTimeout() time.Duration {
	return time.Duration(li.IdleTimeoutMS) * time.Millisecond
}

// Service is a set of upstreams that answer the same calls.
type Service struct {
	Name        ServiceName `json:"name"`
	Description string      `json:"description,omitempty"`
	// HealthPath is where an upstream says whether it is healthy; empty when it
	// is not asked.
	HealthPath string `json:"health_path,omitempty"`
}

// Terms say how calls may be made: the contract between caller and upstream.
type Terms struct {
	Name TermsName `json:"name"`
	// Idempotent calls may be repeated; all others run at most once.
	Idempotent bool `json:"idempotent,omitempty"`
	// Keyed calls need an Idempotency-Key and get their first answer again.
	Keyed bool `json:"keyed,omitempty"`
	// TimeoutMS bounds a call from its arrival, in milliseconds.
	TimeoutMS int64 `json:"timeout_ms"`
	// Retries is the highest number of further attempts.
	Retries int `json:"retries,omitempty"`
	// HedgeAfterMS starts a second attempt of an idempotent call, in
	// milliseconds after the first; 0 means never.
	HedgeAfterMS int64 `json:"hedge_after_ms,omitempty"`
	Class        Class `json:"class,omitempty"`
	// Rank orders calls that compete for an upstream: 0 goes first.
	Rank int `json:"rank,omitempty"`
	// ObjectiveMS is the time within which an answer is wanted, in
	// milliseconds; 0 means any time before the timeout.
	ObjectiveMS int64 `json:"objective_ms,omitempty"`
}

// Objective is the time within which an answer is wanted.
func (te Terms) Objective() time.Duration {
	if te.ObjectiveMS == 0 {
		return te.Timeout()
	}
	return time.Duration(te.ObjectiveMS) * time.Millisecond
}

// Timeout is the time that a call may take.
func (te Terms) Timeout() time.Duration {
	return time.Duration(te.TimeoutMS) * time.Millisecond
}

// HedgeAfter is the delay before a hedge; 0 means never.
func (te Terms) HedgeAfter() time.Duration {
	return time.Duration(te.HedgeAfterMS) * time.Millisecond
}

// Route sends calls that match a path prefix and method to a service.
type Route struct {
	Name RouteName `json:"name"`
	// Host is the name that calls are addressed to, in lower case and without a
	// port; a route without one takes the calls to hosts that no route names.
	Host string `json:"host,omitempty"`
	// PathPrefix that ends in a slash takes only what lies below it.
	PathPrefix string      `json:"path_prefix"`
	Methods    []string    `json:"methods,omitempty"`
	Service    ServiceName `json:"service,omitempty"`
	// Split divides the calls among several services; Service is empty then.
	Split    []Share   `json:"split,omitempty"`
	Contract TermsName `json:"contract"`
	// Fallback is the route taken when the service has no usable upstream.
	Fallback RouteName `json:"fallback,omitempty"`
}

// Share is one service's part of a split route.
type Share struct {
	Service ServiceName `json:"service"`
	// Weight is the part of the calls, in proportion to the other weights.
	Weight int `json:"weight"`
}

// FormatSplit writes a split as a person reads it, such as "lookup=90 archive=10".
func FormatSplit(split []Share) string {
	parts := make([]string, 0, len(split))
	for _, sh := range split {
		parts = append(parts, fmt.Sprintf("%s=%d", sh.Service, sh.Weight))
	}
	return strings.Join(parts, " ")
}

// ParseSplit reads what FormatSplit writes; a part that can't be read gets the
// weight -1, which no valid document has.
func ParseSplit(text string) []Share {
	var split []Share
	for _, part := range strings.Fields(text) {
		name, weight, _ := strings.Cut(part, "=")
		nu, err := strconv.Atoi(weight)
		if err != nil {
			nu = -1
		}
		split = append(split, Share{
			Service: ServiceName(name),
			Weight:  nu,
		})
	}
	return split
}

// Services lists the services that the route's calls go to.
func (ro Route) Services() []ServiceName {
	if len(ro.Split) == 0 {
		return []ServiceName{ro.Service}
	}
	names := make([]ServiceName, 0, len(ro.Split))
	for _, sh := range ro.Split {
		names = append(names, sh.Service)
	}
	return names
}

// ParseDocument reads a document and rejects fields that it does not know.
func ParseDocument(data []byte) (*Document, error) {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	var doc Document
	if err := dec.Decode(&doc); err != nil {
		return nil, &SyntaxError{Detail: err.Error()}
	}
	if dec.More() {
		return nil, &SyntaxError{Detail: "data after the end of the document"}
	}
	doc.normalise()
	return &doc, nil
}

// Encode writes the canonical JSON form of the document.
func (doc *Document) Encode() []byte {
	data, err := json.Marshal(doc)
	if err != nil {
		panic(err) // a Document holds only types that always marshal
	}
	return data
}

// Clone copies the document's lists; the elements are values.
func (doc *Document) Clone() *Document {
	return &Document{
		Services:  slices.Clone(doc.Services),
		Contracts: slices.Clone(doc.Contracts),
		Routes:    slices.Clone(doc.Routes),
		Limits:    doc.Limits,
	}
}

// normalise sorts the lists by name, fills in defaults and makes missing lists empty.
func (doc *Document) normalise() {
	doc.Services = orEmpty(doc.Services)
	doc.Contracts = orEmpty(doc.Contracts)
	doc.Routes = orEmpty(doc.Routes)
	for i := range doc.Contracts {
		if doc.Contracts[i].Class == "" {
			doc.Contracts[i].Class = ClassLookup
		}
	}
	slices.SortStableFunc(doc.Services, func(a, b Service) int {
		return strings.Compare(string(a.Name), string(b.Name))
	})
	slices.SortStableFunc(doc.Contracts, func(a, b Terms) int {
		return strings.Compare(string(a.Name), string(b.Name))
	})
	slices.SortStableFunc(doc.Routes, func(a, b Route) int {
		return strings.Compare(string(a.Name), string(b.Name))
	})
}

func orEmpty[T any](items []T) []T {
	if items == nil {
		return []T{}
	}
	return items
}
