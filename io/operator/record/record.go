// Package record keeps the latest decisions of a node in bounded ring buffers, so
// that operators can find out why something happened.
package record

import (
	"slices"
	"strings"
	"sync"
	"time"

	"lynxfold/core/contract"
	"lynxfold/core/host"
)

// Kind is the kind of a decision.
type Kind string

// Kinds of decisions about calls and submissions. All other control-plane decisions have
// the kinds of datacentre.NoteKind.
const (
	// KindVersionAccepted is a configuration version that the platform accepted through this node.
	KindVersionAccepted Kind = "version_accepted"
	// KindAttempt is the choice of an upstream for an attempt.
	KindAttempt Kind = "attempt"
	// KindAttemptEnded is the outcome of an attempt.
	KindAttemptEnded Kind = "attempt_ended"
	// KindAnswer is the response to the caller.
	KindAnswer Kind = "answer"
	// KindRefused is a call that was refused before any attempt.
	KindRefused Kind = "refused"
)

// CallID identifies a call. The ids of its attempts are the call id, a dot and a number.
type CallID string

// Entry is one decision. Fields that do not apply are empty.
type Entry struct {
	At   time.Time `json:"at"`
	Kind Kind      `json:"kind"`
	// Host is the host that the decision concerns.
	Host       host.ID              `json:"host,omitempty"`
	DataCentre string               `json:"data_centre,omitempty"`
	Version    contract.Version     `json:"config_version,omitempty"`
	Call       CallID               `json:"call,omitempty"`
	Attempt    host.AttemptID       `json:"attempt,omitempty"`
	Route      contract.RouteName   `json:"route,omitempty"`
	Service    contract.ServiceName `json:"service,omitempty"`
	// Customer is the customer that the call was made for.
	Customer contract.CustomerName `json:"customer,omitempty"`
	Outcome  string                `json:"outcome,omitempty"`
	Reason   string                `json:"reason,omitempty"`
	// Detail is the error or the basis of the decision.
	Detail string `json:"detail,omitempty"`
}

// Config sets the capacity of a Record.
type Config struct {
	// ControlEntries and CallEntries are the numbers of control-plane and call entries to
	// keep; the oldest are overwritten first.
	ControlEntries int
	CallEntries    int
}

// Record holds the latest decisions of a node. It keeps control-plane and call
// decisions apart, so that many calls cannot displace control-plane decisions. It is
// safe for concurrent use.
type Record struct {
	control ring
	calls   ring
}

// New returns an empty Record.
func New(cfg Config) *Record {
	return &Record{
		control: ring{entries: make([]Entry, 0, cfg.ControlEntries)},
		calls:   ring{entries: make([]Entry, 0, cfg.CallEntries)},
	}
}

// AddControl adds a control-plane decision: on versions, hosts, links or data centres.
func (re *Record) AddControl(en Entry) { re.control.add(en) }

// AddCall adds a decision on a call.
func (re *Record) AddCall(en Entry) { re.calls.add(en) }

// Explanation holds the entries that explain a subject, in order of time.
type Explanation struct {
	Entries []Entry `json:"entries"`
	// Since is the time of the oldest call entry still kept if the subject is a call, else
	// of the oldest control-plane entry. Older decisions may have been overwritten.
	Since time.Time `json:"since,omitzero"`
}

// ExplainVersion returns the entries on a configuration version.
func (re *Record) ExplainVersion(ve contract.Version) Explanation {
	return re.control.filter(func(en *Entry) bool { return en.Version == ve })
}

// ExplainHost returns the control-plane decisions on a host and the attempts that
// failed on it.
func (re *Record) ExplainHost(id host.ID) Explanation {
	control := re.control.filter(func(en *Entry) bool { return en.Host == id })
	calls := re.calls.filter(func(en *Entry) bool {
		return en.Host == id && en.Kind == KindAttemptEnded && en.Reason != ""
	})
	control.Entries = append(control.Entries, calls.Entries...)
	slices.SortStableFunc(control.Entries, func(a, b Entry) int { return a.At.Compare(b.At) })
	return control
}

// ExplainCall returns the entries on a call, by its id or the id of one of its attempts.
func (re *Record) ExplainCall(id string) Explanation {
	return re.calls.filter(func(en *Entry) bool {
		return string(en.Call) == id || string(en.Attempt) == id ||
			(en.Call != "" && strings.HasPrefix(id, string(en.Call)+"."))
	})
}

// Latest returns the latest control-plane decisions.
func (re *Record) Latest(limit int) Explanation {
	ex := re.control.filter(func(*Entry) bool { return true })
	ex.Entries = ex.Entries[max(0, len(ex.Entries)-limit):]
	return ex
}

// ring is a ring buffer of entries. The capacity of the initial slice bounds it.
type ring struct {
	mu      sync.Mutex
	entries []Entry
	// oldest is the index of the entry that is overwritten next, once the ring is full.
	oldest int
}

func (ri *ring) add(en Entry) {
	ri.mu.Lock()
	defer ri.mu.Unlock()
	if len(ri.entries) < cap(ri.entries) {
		ri.entries = append(ri.entries, en)
		return
	}
	if len(ri.entries) == 0 {
		return
	}
	ri.entries[ri.oldest] = en
	ri.oldest = (ri.oldest + 1) % len(ri.entries)
}

func (ri *ring) filter(match func(en *Entry) bool) Explanation {
	ri.mu.Lock()
	defer ri.mu.Unlock()
	ex := Explanation{Entries: []Entry{}}
	for i := range ri.entries {
		en := &ri.entries[(ri.oldest+i)%len(ri.entries)]
		if i == 0 {
			ex.Since = en.At
		}
		if match(en) {
			ex.Entries = append(ex.Entries, *en)
		}
	}
	return ex
}
