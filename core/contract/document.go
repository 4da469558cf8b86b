// Package contract defines the configuration of a mesh: the document that
// operators write, its validation, the compiled snapshot that calls are routed
// with, and the deltas between versions.
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

// Version is the number of an accepted configuration; 0 is the empty configuration.
type Version uint64

// ServiceName names a service.
type ServiceName string

// RouteName names a route.
type RouteName string

// TermsName names a contract, which is an entry of Document.Contracts.
type TermsName string

// CustomerName names a customer of the mesh.
type CustomerName string

// Class separates short calls from long transfers.
type Class string

// Classes of calls: ClassLookup for short calls, ClassBulk for long transfers.
const (
	ClassLookup Class = "lookup"
	ClassBulk   Class = "bulk"
)

// Document is the configuration of a mesh as operators write it.
type Document struct {
	Services  []Service `json:"services"`
	Contracts []Terms   `json:"contracts"`
	Routes    []Route   `json:"routes"`
	// Limits bound what callers may send; nil means that each host's settings apply.
	Limits *Limits `json:"limits,omitempty"`
	// Customers are the users that calls identify by a key; if there are none, calls
	// need no key.
	Customers []Customer `json:"customers,omitempty"`
}

// Limits bound a caller's requests and connections. For a limit of 0, each
// host's own setting applies.
type Limits struct {
	MaxHeaderBytes int64 `json:"max_header_bytes,omitempty"`
	MaxBodyBytes   int64 `json:"max_body_bytes,omitempty"`
	// HeaderTimeoutMS bounds the time to receive a request's header.
	HeaderTimeoutMS int64 `json:"header_timeout_ms,omitempty"`
	// IdleTimeoutMS bounds the time that a connection may stay idle.
	IdleTimeoutMS int64 `json:"idle_timeout_ms,omitempty"`
}

// HeaderTimeout bounds the time to receive a request's header; 0 when not set.
func (li Limits) HeaderTimeout() time.Duration {
	return time.Duration(li.HeaderTimeoutMS) * time.Millisecond
}

// IdleTimeout bounds the time that a connection may stay idle; 0 when not set.
func (li Limits) IdleTimeout() time.Duration {
	return time.Duration(li.IdleTimeoutMS) * time.Millisecond
}

// Service is a set of interchangeable upstreams.
type Service struct {
	Name        ServiceName `json:"name"`
	Description string      `json:"description,omitempty"`
	// HealthPath is the path of the upstreams' health check; empty disables it.
	HealthPath string `json:"health_path,omitempty"`
}

// Terms is a contract: the timeout, retry and priority settings for the calls of
// the routes that refer to it.
type Terms struct {
	Name TermsName `json:"name"`
	// Idempotent calls may run more than once; all others run at most once.
	Idempotent bool `json:"idempotent,omitempty"`
	// Keyed calls need an Idempotency-Key; a repeated key gets the first response again.
	Keyed bool `json:"keyed,omitempty"`
	// TimeoutMS bounds the duration of a call from its arrival.
	TimeoutMS int64 `json:"timeout_ms"`
	// Retries is the maximum number of attempts after the first.
	Retries int `json:"retries,omitempty"`
	// HedgeAfterMS is the delay after which an idempotent call sends a hedged
	// request; 0 disables hedging.
	HedgeAfterMS int64 `json:"hedge_after_ms,omitempty"`
	Class        Class `json:"class,omitempty"`
	// Rank is the priority among calls that wait for the same upstream; 0 is the highest.
	Rank int `json:"rank,omitempty"`
	// ObjectiveMS is the latency objective; 0 means that the timeout applies.
	ObjectiveMS int64 `json:"objective_ms,omitempty"`
}

// Objective is the latency objective of a call, by default its timeout.
func (te Terms) Objective() time.Duration {
	if te.ObjectiveMS == 0 {
		return te.Timeout()
	}
	return time.Duration(te.ObjectiveMS) * time.Millisecond
}

// Timeout bounds the duration of a call from its arrival.
func (te Terms) Timeout() time.Duration {
	return time.Duration(te.TimeoutMS) * time.Millisecond
}

// HedgeAfter is the delay before a hedged request; 0 disables hedging.
func (te Terms) HedgeAfter() time.Duration {
	return time.Duration(te.HedgeAfterMS) * time.Millisecond
}

// Route sends calls that match a host, path prefix and method to a service.
type Route struct {
	Name RouteName `json:"name"`
	// Host is the host name in the request, in lower case and without a port. If it is
	// empty, the route matches the calls that no route with a host matches.
	Host string `json:"host,omitempty"`
	// PathPrefix matches whole path segments. If it ends in a slash, it matches only
	// the paths below it.
	PathPrefix string `json:"path_prefix"`
	// Methods are the HTTP methods that the route matches; empty means all.
	Methods []string    `json:"methods,omitempty"`
	Service ServiceName `json:"service,omitempty"`
	// Split divides the calls among several services by weight; Service is then empty.
	Split    []Share   `json:"split,omitempty"`
	Contract TermsName `json:"contract"`
	// Fallback is the route to use when the service has no usable upstream.
	Fallback RouteName `json:"fallback,omitempty"`
	// Public routes need no key.
	Public bool `json:"public,omitempty"`
}

// Share is one service of a split route and its weight.
type Share struct {
	Service ServiceName `json:"service"`
	// Weight is the service's share of the calls, relative to the sum of all weights.
	Weight int `json:"weight"`
}

// FormatSplit returns a split in text form, such as "lookup=90 archive=10".
func FormatSplit(split []Share) string {
	parts := make([]string, 0, len(split))
	for _, sh := range split {
		parts = append(parts, fmt.Sprintf("%s=%d", sh.Service, sh.Weight))
	}
	return strings.Join(parts, " ")
}

// ParseSplit parses the text form of FormatSplit. A share without a valid weight
// gets the weight -1, which validation rejects.
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

// Services returns the names of the services that the route sends calls to.
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

// ParseDocument parses and normalises a JSON document. It fails with a
// SyntaxError, also for an unknown field.
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

// Encode returns the JSON form of the document.
func (doc *Document) Encode() []byte {
	data, err := json.Marshal(doc)
	if err != nil {
		panic(err) // a Document holds only types that always marshal
	}
	return data
}

// Clone returns a copy of the document with copied item lists. The Methods and Split
// slices of routes, the Keys of customers and the Limits are shared with the original.
func (doc *Document) Clone() *Document {
	return &Document{
		Services:  slices.Clone(doc.Services),
		Contracts: slices.Clone(doc.Contracts),
		Routes:    slices.Clone(doc.Routes),
		Limits:    doc.Limits,
		Customers: slices.Clone(doc.Customers),
	}
}

// normalise sorts the lists by name, sets default values and replaces nil lists
// by empty ones.
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
	doc.normaliseCustomers()
}

func orEmpty[T any](items []T) []T {
	if items == nil {
		return []T{}
	}
	return items
}
