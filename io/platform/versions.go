package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"lynxfold/core/contract"
)

// Keys of the configuration's rows.
const (
	keyCurrent    Key = "config/current"
	prefixVersion Key = "config/versions/"
)

// maxListed bounds the versions read at once; beyond it the whole document is read.
const maxListed = 100

// Submission is one operator's request to accept a document.
type Submission struct {
	// ID tells a lost reply from a lost race; it is unique.
	ID       string
	Operator string
	Base     *contract.Snapshot
	Document *contract.Document
	// SubmittedAt is recorded with the version.
	SubmittedAt time.Time
	// Deadline bounds the whole of it; zero means the client's timeouts only.
	Deadline time.Time
}

func (su Submission) context() (context.Context, context.CancelFunc) {
	if su.Deadline.IsZero() {
		return context.Background(), func() {}
	}
	return context.WithDeadline(context.Background(), su.Deadline)
}

// VersionRow is what the table holds of one accepted version.
type VersionRow struct {
	Version    contract.Version `json:"version"`
	Submission string           `json:"submission"`
	Operator   string           `json:"operator"`
	AcceptedAt time.Time        `json:"accepted_at"`
	Delta      *contract.Delta  `json:"delta"`
}

// currentRow points at the highest version.
type currentRow struct {
	Version contract.Version `json:"version"`
	Digest  contract.Digest  `json:"digest"`
}

// Versions reads and accepts configuration versions.
type Versions struct {
	client Store
}

// NewVersions builds the store of versions over a client.
func NewVersions(cl Store) *Versions { return &Versions{client: cl} }

func versionKey(ve contract.Version) Key {
	return prefixVersion + Key(fmt.Sprintf("%020d", ve))
}

func objectOf(di contract.Digest) ObjectName { return ObjectName("config-" + string(di)) }

// Accept stores the submission as the next version. It fails with a
// contract.ValidationError, a ConflictError, an UnavailableError or an InDoubtError.
func (vs *Versions) Accept(su Submission) (*contract.Delta, error) {
	ctx, cancel := su.context()
	defer cancel()
	next, err := contract.Compile(su.Base.Version+1, su.Document)
	if err != nil {
		return nil, err
	}
	if err := vs.putDocument(ctx, next); err != nil {
		return nil, err
	}
	de := contract.Diff(su.Base, next)
	_, err = vs.client.Transact(ctx, vs.writes(su, de))
	var (
		doubt    *InDoubtError
		conflict *ConflictError
	)
	if errors.As(err, &doubt) || errors.As(err, &conflict) {
		return vs.resolve(ctx, su, de, err)
	}
	if err != nil {
		return nil, err
	}
	return de, nil
}

// putDocument stores the whole document. An object that may have arrived is no
// doubt about the version: without its row it has no effect.
func (vs *Versions) putDocument(ctx context.Context, sn *contract.Snapshot) error {
	err := vs.client.PutObject(ctx, objectOf(sn.Digest), contract.Pack(sn.Document))
	if err == nil {
		return nil
	}
	var doubt *InDoubtError
	if errors.As(err, &doubt) {
		err = doubt.Err
	}
	return &UnavailableError{Doing: "store document", Err: err}
}

// writes creates the version's row and moves the current one. The create
// decides a race; the current row only saves reads.
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
			Key:   keyCurrent,
			Value: current,
		},
	}
}

// resolve reads the row of a version whose write had no reply, or found the row
// there already: it may be this submission's own.
func (vs *Versions) resolve(ctx context.Context, su Submission, de *contract.Delta, cause error) (*contract.Delta, error) {
	row, err := vs.Row(ctx, de.Result)
	switch {
	case err != nil:
		return nil, cause // a write without a reply may still arrive
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

// differences lists the fields in which the accepted version differs from a
// submission on the same base.
func (vs *Versions) differences(su Submission, row VersionRow) []contract.Difference {
	accepted, err := row.Delta.Apply(su.Base)
	if err != nil {
		return nil // the other was based on another version: nothing to compare
	}
	return contract.Differences(accepted.Document, su.Document)
}

// Since reads what leads on from a version: the deltas in order, or the whole
// document when there are too many.
func (vs *Versions) Since(ctx context.Context, ve contract.Version, known ETag) (deltas []*contract.Delta, whole *contract.Snapshot, et ETag, err error) {
	ro, changed, err := vs.client.ReadIfChanged(ctx, keyCurrent, known)
	var missing *NotFoundError
	if errors.As(err, &missing) {
		return nil, nil, "", nil
	}
	if err != nil || !changed {
		return nil, nil, known, err
	}
	var cur currentRow
	if err := json.Unmarshal(ro.Value, &cur); err != nil {
		return nil, nil, "", &UnavailableError{Doing: "read current version", Err: err}
	}
	if cur.Version <= ve {
		return nil, nil, ro.ETag, nil
	}
	if cur.Version-ve > maxListed {
		whole, err = vs.whole(ctx, cur)
		return nil, whole, ro.ETag, err
	}
	deltas, err = vs.deltas(ctx, ve)
	return deltas, nil, ro.ETag, err
}

// Whole reads the whole document of the current version; it fails with a
// NotFoundError while there is none.
func (vs *Versions) Whole(ctx context.Context) (*contract.Snapshot, error) {
	ro, err := vs.client.Read(ctx, keyCurrent)
	if err != nil {
		return nil, err
	}
	var cur currentRow
	if err := json.Unmarshal(ro.Value, &cur); err != nil {
		return nil, &UnavailableError{Doing: "read current version", Err: err}
	}
	return vs.whole(ctx, cur)
}

func (vs *Versions) whole(ctx context.Context, cur currentRow) (*contract.Snapshot, error) {
	data, err := vs.client.GetObject(ctx, objectOf(cur.Digest))
	if err != nil {
		return nil, err
	}
	return contract.Unpack(cur.Version, cur.Digest, data)
}

func (vs *Versions) deltas(ctx context.Context, after contract.Version) ([]*contract.Delta, error) {
	rows, err := vs.client.List(ctx, prefixVersion, versionKey(after), maxListed)
	if err != nil {
		return nil, err
	}
	deltas := make([]*contract.Delta, 0, len(rows))
	for _, ro := range rows {
		var row VersionRow
		if err := json.Unmarshal(ro.Value, &row); err != nil {
			return nil, &UnavailableError{Doing: "read version rows", Err: err}
		}
		deltas = append(deltas, row.Delta)
	}
	return deltas, nil
}

func mustJSON(va any) json.RawMessage {
	data, err := json.Marshal(va)
	if err != nil {
		panic(err) // rows hold only types that always marshal
	}
	return data
}
