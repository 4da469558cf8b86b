// Package keyed decides how a call with an idempotency key is answered. Such a
// call runs at most once, however often and at whichever node its caller
// repeats it, and a repeat gets the first answer. The only state that the nodes
// share is one row per key in the platform's table, and it is changed only by
// conditional writes.
package keyed

import (
	"time"

	"lynxfold/core/call"
	"lynxfold/core/contract"
	"lynxfold/core/datacentre"
	"lynxfold/core/host"
)

// Reasons for refusals of keyed calls, beside those of package call.
const (
	// ReasonKeyReused means that the key was used before with a different
	// request.
	ReasonKeyReused host.Reason = "key_reused"
	// ReasonTableDown means that the table did not store the claim and never
	// will.
	ReasonTableDown host.Reason = "table_down"
	// ReasonTableDoubt means that it is unknown whether the table stored the
	// claim.
	ReasonTableDoubt host.Reason = "table_doubt"
	// ReasonWriteBudget means that the node has used up its budget of table
	// writes.
	ReasonWriteBudget host.Reason = "write_budget"
	// ReasonInProgress means that an earlier call with the key is still
	// running.
	ReasonInProgress host.Reason = "in_progress"
	// ReasonClaimUnreachable means that the gate that an earlier call with the
	// key was sent to does not answer queries.
	ReasonClaimUnreachable host.Reason = "claim_unreachable"
	// ReasonClaimUnknown means that an earlier call with the key may have run.
	ReasonClaimUnknown host.Reason = "claim_unknown"
)

// Digest is a hash of a request's method, URI and body.
type Digest string

// ETag is the version of a row. A conditional update names the version that it
// replaces.
type ETag string

// RowState is the state of a key's row.
type RowState string

// States of a row.
const (
	// RowClaimed means that the row's attempt may run, and no other.
	RowClaimed RowState = "claimed"
	// RowFinished means that the row's attempt ran.
	RowFinished RowState = "finished"
	// RowTombstone means that the row's claim was revoked before its attempt
	// was sent.
	RowTombstone RowState = "tombstone"
)

// Row is the table's row for a key.
type Row struct {
	State    RowState
	Attempt  host.AttemptID
	Upstream datacentre.Upstream
	Digest   Digest
	// HasAnswer says that the row stores the answer of its attempt. Long answers
	// are not stored.
	HasAnswer bool
}

// OpStatus is the result of a table operation.
type OpStatus int

// Results of table operations.
const (
	// OpDone means that the read found the row, or that the write took effect.
	OpDone OpStatus = iota
	// OpAbsent means that the row does not exist.
	OpAbsent
	// OpConflict means that the row exists already or has another version, and
	// the write had no effect.
	OpConflict
	// OpFailed means that the operation certainly had no effect.
	OpFailed
	// OpInDoubt means that the write may have taken effect, or may still do so.
	OpInDoubt
)

// Op is the sequence number of a table operation within one call.
type Op int

// RowResult is the event that ends a table operation. Row and ETag are the row's
// content and version after the operation, when known.
type RowResult struct {
	Op     Op
	Status OpStatus
	Row    Row
	ETag   ETag
}

// Event is an event of package call or a RowResult.
type Event any

// Action is an action of package call or one of the actions below.
type Action any

// ReadRow reads the key's row.
type ReadRow struct {
	Op Op
}

// CreateRow creates the key's row if it does not exist.
type CreateRow struct {
	Op  Op
	Row Row
}

// UpdateRow replaces the key's row if its version is ETag. For a finished row
// the executor adds the answer of the row's attempt, when it is short enough to
// store, and sets HasAnswer.
type UpdateRow struct {
	Op   Op
	ETag ETag
	Row  Row
}

// AnswerFromRow ends the call with the answer that the row stores.
type AnswerFromRow struct {
	Row Row
}

// Config configures one keyed call.
type Config struct {
	// Issuer and Number identify the call. Its attempts' ids are derived from
	// them.
	Issuer host.Issuer
	Number uint64
	Terms  contract.Terms
	Digest Digest
	// Deadline is the latest time at which the caller gets an answer.
	Deadline time.Time
	// DeadlineMargin is the time between the attempts' deadline and the call's.
	DeadlineMargin time.Duration
	// ExpectedLatency is the expected duration of an attempt; 0 when unknown.
	ExpectedLatency time.Duration
	// MinRetryAfter is the retry delay that the caller is told when no gate gave
	// one.
	MinRetryAfter time.Duration
	Picker        call.Picker
	// RetryBudget grants retries.
	RetryBudget call.Spender
	// WriteBudget grants claims.
	WriteBudget call.Spender
	// Jitter returns a random number in [0, 1).
	Jitter func() float64
}
