// Package platform is a client of the platform's transactional table and object
// store, which are accessed by JSON over HTTP with conditional requests. On top of
// the client, the package stores configuration versions, the addresses by which a new
// node finds the mesh (introduction rows), and the state of keyed calls.
package platform

import (
	"encoding/json"
	"fmt"

	"lynxfold/core/contract"
)

// Key identifies a row of the table, by a path such as config/current.
type Key string

// ETag identifies one revision of a row.
type ETag string

// ObjectName is the name of an object in the object store.
type ObjectName string

// Row is one row of the table.
type Row struct {
	Key   Key             `json:"key"`
	ETag  ETag            `json:"etag"`
	Value json.RawMessage `json:"value"`
}

// Write is one conditional write of a transaction.
type Write struct {
	Key   Key             `json:"key"`
	Value json.RawMessage `json:"value"`
	// IfMatch is the ETag that the row must have; empty means any.
	IfMatch ETag `json:"if_match,omitempty"`
	// IfAbsent means that the row must not exist.
	IfAbsent bool `json:"if_absent,omitempty"`
}

// NotFoundError reports a row or object that does not exist.
type NotFoundError struct {
	Name string
}

func (er *NotFoundError) Error() string { return fmt.Sprintf("%s is not there", er.Name) }

// ConflictError reports a write whose condition did not hold; nothing was written.
type ConflictError struct {
	Key Key
	// Version, Operator and Fields describe the submission that was accepted instead, if
	// there is one: its version, its operator, and the fields in which it differs.
	Version  contract.Version
	Operator string
	Fields   []contract.Difference
}

func (er *ConflictError) Error() string {
	return fmt.Sprintf("row %s does not meet the write's condition", er.Key)
}

// UnavailableError reports a request that failed and is known to have had no effect.
type UnavailableError struct {
	Op  string
	Err error
}

func (er *UnavailableError) Error() string {
	return fmt.Sprintf("platform unavailable: %s: %v", er.Op, er.Err)
}

// Unwrap returns the cause.
func (er *UnavailableError) Unwrap() error { return er.Err }

// DialError reports a request that was not sent: there was no connection, or its
// context had already ended.
type DialError struct {
	Address string
	Err     error
}

func (er *DialError) Error() string { return fmt.Sprintf("connect to %s: %v", er.Address, er.Err) }

// Unwrap returns the cause.
func (er *DialError) Unwrap() error { return er.Err }

// StalledError reports a response that did not arrive completely in time.
type StalledError struct {
	// ReceivedBytes is the part of the response that arrived, with its header.
	ReceivedBytes int64
	Err           error
}

func (er *StalledError) Error() string {
	return fmt.Sprintf("response not complete in time, %d bytes received: %v", er.ReceivedBytes, er.Err)
}

// Unwrap returns the cause.
func (er *StalledError) Unwrap() error { return er.Err }

// Timeout makes fasthttp report a missing response as a timeout, not as a closed
// connection.
func (er *StalledError) Timeout() bool { return true }

// InDoubtError reports a write whose outcome is unknown: it may have been applied, or
// may still be.
type InDoubtError struct {
	Op  string
	Err error
}

func (er *InDoubtError) Error() string {
	return fmt.Sprintf("outcome in doubt: %s: %v", er.Op, er.Err)
}

// Unwrap returns the cause.
func (er *InDoubtError) Unwrap() error { return er.Err }

// StatusError reports an unexpected HTTP status and the beginning of the response body.
type StatusError struct {
	Status int
	Body   string
}

func (er *StatusError) Error() string { return fmt.Sprintf("status %d: %s", er.Status, er.Body) }
