// Package keyed decides how a call with an idempotency key is answered: it runs
// at most once, whatever its caller repeats, at whatever node, and a repeat gets
// the first answer. All that nodes must agree on is one row of the platform's
// table for each key, written only on condition.
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
	// ReasonKeyReused means that the key came before with another request.
	ReasonKeyReused host.Reason = "key_reused"
	// ReasonTableDown means that the table took no claim.
	ReasonTableDown host.Reason = "table_down"
	// ReasonTableDoubt means that it is not known whether the table took a claim.
	ReasonTableDoubt host.Reason = "table_doubt"
	// ReasonWriteBudget means that the node may write no more rows for now.
	ReasonWriteBudget host.Reason = "write_budget"
	// ReasonInProgress means that the first call with the key still runs.
	ReasonInProgress host.Reason = "in_progress"
	// ReasonClaimUnreachable means that the gate of the first call can't be asked.
	ReasonClaimUnreachable host.Reason = "claim_unreachable"
	// ReasonClaimUnknown means that the first call with the key may have run.
	ReasonClaimUnknown host.Reason = "claim_unknown"
)

// Digest identifies a request's method, URI and body.
type Digest string

// Tag is the version of a row; an update names the one that it replaces.
type Tag string

// RowState is what a row says about its key.
type RowState string

// States of a row.
const (
	// RowClaimed means that the row's attempt, and no other, may run.
	RowClaimed RowState = "claimed"
	// RowFinished means that the row's attempt ran.
	RowFinished RowState = "finished"
	// RowTombstone means that the row's attempt was given up before it was sent.
	RowTombstone RowState = "tombstone"
)

// Row is what the table holds for a key.
type Row struct {
	State    RowState
	Attempt  host.AttemptID
	Upstream datacentre.Upstream
	Digest   Digest
	// HasAnswer says that the row holds the answer; a large one is left out.
	HasAnswer bool
}

// RowStatus is how an operation on a row ended.
type RowStatus int

// Ends of operations.
const (
	// RowDone means that the read found the row, or the write took effect.
	RowDone RowStatus = iota
	// RowAbsent means that there is no row.
	RowAbsent
	// RowConflict means that another row is there and the write had no effect.
	RowConflict
	// RowFailed means that the operation certainly had no effect.
	RowFailed
	// RowDoubt means that a write may have taken effect, or may do so yet.
	RowDoubt
)

// Op tells the operations of one call apart.
type Op int

// RowResult is the event that ends an operation. Row and Tag are those in the
// table after the operation, when known.
type RowResult struct {
	Op     Op
	Status RowStatus
	Row    Row
	Tag    Tag
}

// Event is an event of package call or a RowResult.
type Event any

// Action is an action of package call, or one of those below.
type Action any

// ReadRow reads the key's row.
type ReadRow struct {
	Op Op
}

// CreateRow writes the key's row if there is none.
type CreateRow struct {
	Op  Op
	Row Row
}

// UpdateRow replaces the key's row if its version is Tag. For a finished row
// the adapter adds the answer of the row's attempt, when it is short enough,
// and sets HasAnswer.
type UpdateRow struct {
	Op  Op
	Tag Tag
	Row Row
}

// AnswerFromRow ends the call with the answer that the row holds.
type AnswerFromRow struct {
	Row Row
}

// Config sets up one keyed call.
type Config struct {
	Issuer host.Issuer
	Number uint64
	Terms  contract.Terms
	Digest Digest
	// Deadline is when the caller gets an answer at the latest.
	Deadline time.Time
	// Margin is kept between the attempts' deadline and the call's.
	Margin time.Duration
	// Estimate is how long an attempt takes as a rule; 0 when unknown.
	Estimate time.Duration
	// ComeBack is the delay that a caller is told when no gate named one.
	ComeBack time.Duration
	Chooser  call.Picker
	// Budget grants retries, Writes grants claims.
	Budget call.Spender
	Writes call.Spender
	Jitter func() float64
}
