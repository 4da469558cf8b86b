package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"lynxfold/core/contract"
)

// Keys of the rows that hold the configuration.
const (
	currentVersionKey Key = "config/current"
	versionPrefix     Key = "config/versions/"
)

// maxListedVersions limits the versions read at once; a reader that is further
// behind reads the snapshot instead.
const maxListedVersions = 100

// Submission is an operator's request to accept a document as the next version.
type Submission struct {
	// ID is unique. If the response to the write is lost, it shows whether the version
	// that was accepted is this submission or a concurrent one.
	ID       string
	Operator string
	Base     *contract.Snapshot
	Document *contract.Document
	// SubmittedAt is stored as the version's time of acceptance.
	SubmittedAt time.Time
	// Deadline limits the requests for the submission together; if it is zero, only the
	// client's timeout for each request applies.
	Deadline time.Time
}

func (su Submission) context() (context.Context, context.CancelFunc) {
	if su.Deadline.IsZero() {
		return context.Background(), func() {}
	}
	return context.WithDeadline(context.Background(), su.Deadline)
}

// VersionRow is the table row of an accepted version.
type VersionRow struct {
	Version    contract.Version `json:"version"`
	Submission string           `json:"submission"`
	Operator   string           `json:"operator"`
	AcceptedAt time.Time        `json:"accepted_at"`
	Delta      *contract.Delta  `json:"delta"`
}

// currentRow is the table row that names the latest version.
type currentRow struct {
	Version contract.Version `json:"version"`
	Digest  contract.Digest  `json:"digest"`
}

// Versions stores and reads configuration versions.
type Versions struct {
	client Store
}

// NewVersions returns the version store on top of a Store.
func NewVersions(cl Store) *Versions { return &Versions{client: cl} }

func versionKey(ve contract.Version) Key {
	return versionPrefix + Key(fmt.Sprintf("%020d", ve))
}

func documentObject(di contract.Digest) ObjectName { return ObjectName("config-" + string(di)) }

// Accept stores a submission as the version after its base. It fails with a
// contract.ValidationError, a ConflictError, an UnavailableError or an InDoubtError.
func (vs *Versions) Accept(su Submission) (*contract.Delta, error) {
	ctx, cancel := su.context()
	defer cancel()
	next, err := contract.Compile(su.Base.Version+1, su.Document)
	if err != nil {
		return nil, err
	}
	if err := next.Document.Validate(); err != nil {
		return nil, err
	}
	if err := vs.putDocument(ctx, next); err != nil {
		return nil, err
	}
	de := contract.Diff(su.Base, next)
	_, err = vs.client.Transact(ctx, vs.writes(su, de))
	var (
		inDoubt  *InDoubtError
		conflict *ConflictError
	)
	if errors.As(err, &inDoubt) || errors.As(err, &conflict) {
		return vs.resolve(ctx, su, de, err)
	}
	if err != nil {
		return nil, err
	}
	return de, nil
}

// putDocument stores the document of a snapshot as an object. A write in doubt
// counts as failed: an object without a version row has no effect.
func (vs *Versions) putDocument(ctx context.Context, sn *contract.Snapshot) error {
	err := vs.client.PutObject(ctx, documentObject(sn.Digest), contract.Pack(sn.Document))
	if err == nil {
		return nil
	}
	var inDoubt *InDoubtError
	if errors.As(err, &inDoubt) {
		err = inDoubt.Err
	}
	return &UnavailableError{Op: "store document", Err: err}
}

// writes returns the writes that create the version's row and update the current
// row. Only one of several concurrent submissions can create the version's row; the
// current row only saves reads.
func (vs *Versions) writes(su Submission, de *contract.Delta) []Write {
	row := mustJSON(VersionRow{
		Version:    de.Result,
		Submission: su.ID,
		Operator:   su.Operator,
		AcceptedAt: su.SubmittedAt,
		Delta:      de,
	})
	current := mustJSON(currentRow{
		Version: de.Result,
		Digest:  de.Digest,
	})
	return []Write{
		{
			Key:      versionKey(de.Result),
			Value:    row,
			IfAbsent: true,
		},
		{
			Key:   currentVersionKey,
			Value: current,
		},
	}
}

// resolve finds out whether a write that is in doubt or in conflict was applied: it
// reads the version's row, which may hold this submission. Otherwise it returns a
// ConflictError, or cause if the row can't be read.
func (vs *Versions) resolve(ctx context.Context, su Submission, de *contract.Delta, cause error) (*contract.Delta, error) {
	row, err := vs.Row(ctx, de.Result)
	switch {
	case err != nil:
		return nil, cause // a write in doubt may still be applied
	case row.Submission != su.ID:
		return nil, &ConflictError{
			Key:      versionKey(de.Result),
			Version:  row.Version,
			Operator: row.Operator,
			Fields:   vs.differences(su, row),
		}
	}
	return row.Delta, nil
}

// differences returns the fields in which the accepted version differs from a
// submission with the same base.
func (vs *Versions) differences(su Submission, row VersionRow) []contract.Difference {
	accepted, err := row.Delta.Apply(su.Base)
	if err != nil {
		return nil // the accepted version has another base and can't be compared
	}
	return contract.Differences(accepted.Document, su.Document)
}

// ChangeQuery asks for the changes after a version.
type ChangeQuery struct {
	After contract.Version
	// Known is the ETag of the state that the reader has; empty if it has none.
	Known ETag
	// MaxWait is how long the response may be held back while the state has the known
	// ETag.
	MaxWait time.Duration
	// ResponseTimeout limits the time from the end of MaxWait until the response begins to
	// arrive; zero means the client's timeout.
	ResponseTimeout time.Duration
}

// Since reads the changes after a version: the deltas in order, or the current
// snapshot if there are more than maxListedVersions. It returns neither if there is
// no later version or the current row still has the known ETag; it never waits for a
// change. et is the ETag of the current row.
func (vs *Versions) Since(ctx context.Context, cq ChangeQuery) (deltas []*contract.Delta, sn *contract.Snapshot, et ETag, err error) {
	ro, changed, err := vs.client.ReadIfChanged(ctx, currentVersionKey, cq.Known)
	var notFound *NotFoundError
	if errors.As(err, &notFound) {
		return nil, nil, "", nil
	}
	if err != nil || !changed {
		return nil, nil, cq.Known, err
	}
	var cur currentRow
	if err := json.Unmarshal(ro.Value, &cur); err != nil {
		return nil, nil, "", &UnavailableError{Op: "read current version", Err: err}
	}
	if cur.Version <= cq.After {
		return nil, nil, ro.ETag, nil
	}
	if cur.Version-cq.After > maxListedVersions {
		sn, err = vs.snapshot(ctx, cur)
		return nil, sn, ro.ETag, err
	}
	deltas, err = vs.deltas(ctx, cq.After)
	return deltas, nil, ro.ETag, err
}

// RefusedVersion is a version on the platform that can't be put in force.
type RefusedVersion struct {
	// Version is 0 if it can't be read either.
	Version contract.Version
	Err     error
}

// CurrentSnapshot reads the snapshot of the current version. It fails with a
// NotFoundError while there is no version.
func (vs *Versions) CurrentSnapshot(ctx context.Context) (*contract.Snapshot, error) {
	ro, err := vs.client.Read(ctx, currentVersionKey)
	if err != nil {
		return nil, err
	}
	var cur currentRow
	if err := json.Unmarshal(ro.Value, &cur); err != nil {
		return nil, &UnavailableError{Op: "read current version", Err: err}
	}
	return vs.snapshot(ctx, cur)
}

// Refused returns nil: versions that are accepted here can be put in force.
func (vs *Versions) Refused() *RefusedVersion { return nil }

func (vs *Versions) snapshot(ctx context.Context, cur currentRow) (*contract.Snapshot, error) {
	data, err := vs.client.GetObject(ctx, documentObject(cur.Digest))
	if err != nil {
		return nil, err
	}
	return contract.Unpack(cur.Version, cur.Digest, data)
}

func (vs *Versions) deltas(ctx context.Context, after contract.Version) ([]*contract.Delta, error) {
	rows, err := vs.client.List(ctx, versionPrefix, versionKey(after), maxListedVersions)
	if err != nil {
		return nil, err
	}
	deltas := make([]*contract.Delta, 0, len(rows))
	for _, ro := range rows {
		var row VersionRow
		if err := json.Unmarshal(ro.Value, &row); err != nil {
			return nil, &UnavailableError{Op: "read version rows", Err: err}
		}
		deltas = append(deltas, row.Delta)
	}
	return deltas, nil
}

func mustJSON(va any) json.RawMessage {
	data, err := json.Marshal(va)
	if err != nil {
		panic(err) // row types can always be marshalled
	}
	return data
}
