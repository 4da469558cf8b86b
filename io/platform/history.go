package platform

import (
	"context"
	"encoding/json"

	"lynxfold/core/contract"
)

// Row reads the row of one version. It fails with a NotFoundError or an
// UnavailableError.
func (vs *Versions) Row(ctx context.Context, ve contract.Version) (VersionRow, error) {
	ro, err := vs.client.Read(ctx, versionKey(ve))
	if err != nil {
		return VersionRow{}, err
	}
	return parseVersionRow(ro)
}

// Rows reads the rows of the versions after a given one, in order: at most limit and
// at most maxListedVersions.
func (vs *Versions) Rows(ctx context.Context, after contract.Version, limit int) ([]VersionRow, error) {
	rows, err := vs.client.List(ctx, versionPrefix, versionKey(after), min(limit, maxListedVersions))
	if err != nil {
		return nil, err
	}
	versions := make([]VersionRow, 0, len(rows))
	for _, ro := range rows {
		row, err := parseVersionRow(ro)
		if err != nil {
			return nil, err
		}
		versions = append(versions, row)
	}
	return versions, nil
}

// Snapshot reads the snapshot of a version.
func (vs *Versions) Snapshot(ctx context.Context, ve contract.Version) (*contract.Snapshot, error) {
	row, err := vs.Row(ctx, ve)
	if err != nil {
		return nil, err
	}
	return vs.snapshot(ctx, currentRow{
		Version: ve,
		Digest:  row.Delta.Digest,
	})
}

func parseVersionRow(ro Row) (VersionRow, error) {
	var row VersionRow
	if err := json.Unmarshal(ro.Value, &row); err != nil {
		return VersionRow{}, &UnavailableError{Op: "read row " + string(ro.Key), Err: err}
	}
	if row.Delta == nil {
		return VersionRow{}, &UnavailableError{Op: "read row " + string(ro.Key), Err: &NotFoundError{Name: "delta"}}
	}
	return row, nil
}
