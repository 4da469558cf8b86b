// Package record keeps a node's latest decisions in memory, in bounded rings, so
// that operators can ask why something happened.
package record

import (
	"slices"
	"strings"
	"sync"
	"time"

	"lynxfold/core/contract"
	"lynxfold/core/host"
)

// Kind names what was decided.
type Kind string

// Kinds of decisions; the others of control are the kinds of its notes.
const (
	// KindAccepted says that the platform accepted a version through this node.
	KindAccepted Kind = "version_accepted"
	// KindAttempt says that an upstream was chosen for an attempt.
	KindAttempt Kind = "attempt"
	// KindAttemptEnded says how an attempt ended.
	KindAttemptEnded Kind = "attempt_ended"
	// KindAnswer says what the caller was told.
	KindAnswer Kind = "answer"
	// KindRefused says that a call was refused before any attempt.
	KindRefused Kind = "refused"
)

// CallID names a call; the ids of its attempts begin with it and a dot.
type CallID string

// Entry is one decision. Fields that do not apply are empty.
type Entry struct {
	At   time.Time `json:"at"`
	Kind Kind      `json:"kind"`
	// Host is the host that the decision is about.
	Host       host.ID              `json:"host,omitempty"`
	DataCentre string               `json:"data_centre,omitempty"`
	Version    contract.Version     `json:"config_version,omitempty"`
	Call       CallID               `json:"call,omitempty"`
	Attempt    host.AttemptID       `json:"attempt,omitempty"`
	Route      contract.RouteName   `json:"route,omitempty"`
	Service    contract.ServiceName `json:"service,omitempty"`
	Outcome    string               `json:"outcome,omitempty"`
	Reason     string               `json:"reason,omitempty"`
	// Detail is the error or the grounds of the decision.
	Detail string `json:"detail,omitempty"`
}

// Config bounds a record.
type Config struct {
	// Control and Calls are the entries kept of each; the oldest go first.
	Control int
	Calls   int
}

// Record is safe for many goroutines.
type Record struct {
	control ring
	calls   ring
}

// New builds an empty record.
func New(cfg Config) *Record {
	return &Record{
		control: ring{entries: make([]Entry, 0, cfg.Control)},
		calls:   ring{entries: make([]Entry, 0, cfg.Calls)},
	}
}

// Control keeps a decision about versions, hosts, links and data centres.
func (re *Record) Control(en Entry) { re.control.add(en) }

// Call keeps a decision about a call.
func (re *Record) Call(en Entry) { re.calls.add(en) }

// Answer holds the entries that explain something, in order of time.
type Answer struct {
	Entries []Entry `json:"entries"`
	// Since is the time of the oldest entry still kept of this sort; what
	// happened before it is forgotten.
	Since time.Time `json:"since,omitzero"`
}

// Version explains a configuration version.
func (re *Record) Version(ve contract.Version) Answer {
	return re.control.find(func(en *Entry) bool { return en.Version == ve })
}

// Host explains a host: what control decided about it and the attempts that it
// was chosen for and did not answer.
func (re *Record) Host(id host.ID) Answer {
	control := re.control.find(func(en *Entry) bool { return en.Host == id })
	calls := re.calls.find(func(en *Entry) bool {
		return en.Host == id && en.Kind == KindAttemptEnded && en.Reason != ""
	})
	control.Entries = append(control.Entries, calls.Entries...)
	slices.SortStableFunc(control.Entries, func(a, b Entry) int { return a.At.Compare(b.At) })
	return control
}

// CallOf explains a call by its id or by that of one of its attempts.
func (re *Record) CallOf(id string) Answer {
	return re.calls.find(func(en *Entry) bool {
		return string(en.Call) == id || string(en.Attempt) == id ||
			(en.Call != "" && strings.HasPrefix(id, string(en.Call)+"."))
	})
}

// Latest returns the latest decisions of control.
func (re *Record) Latest(limit int) Answer {
	an := re.control.find(func(*Entry) bool { return true })
	an.Entries = an.Entries[max(0, len(an.Entries)-limit):]
	return an
}

// ring keeps the latest entries; its capacity is that of the slice it begins with.
type ring struct {
	mu      sync.Mutex
	entries []Entry
	next    int
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
	ri.entries[ri.next] = en
	ri.next = (ri.next + 1) % len(ri.entries)
}

func (ri *ring) find(fits func(en *Entry) bool) Answer {
	ri.mu.Lock()
	defer ri.mu.Unlock()
	an := Answer{Entries: []Entry{}}
	for i := range ri.entries {
		en := &ri.entries[(ri.next+i)%len(ri.entries)]
		if i == 0 {
			an.Since = en.At
		}
		if fits(en) {
			an.Entries = append(an.Entries, *en)
		}
	}
	return an
}
