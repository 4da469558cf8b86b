package platform

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"lynxfold/core/datacentre"
)

const (
	// prefixIntroduction holds one row for each data centre.
	prefixIntroduction Key = "introductions/"
	// maxDataCentres bounds the introduction rows that are read.
	maxDataCentres = 100
	// keptShare is the share of a row's addresses, in tenths, that must still be
	// good for the row to stay as it is.
	keptShare = 8
	// refreshAfter is the age at which a row is written again in any case.
	refreshAfter = time.Hour
)

// IntroductionRow tells a node that knows nobody whom to link to.
type IntroductionRow struct {
	DataCentre datacentre.Name `json:"data_centre"`
	// Addresses are for nodes of the same data centre.
	Addresses []string `json:"addresses"`
	// RemoteAddresses are for nodes of other data centres.
	RemoteAddresses []string  `json:"remote_addresses"`
	WrittenAt       time.Time `json:"written_at"`
}

// Introductions stores the introduction rows of the data centres.
type Introductions struct {
	client Store
}

// NewIntroductions builds the store over a client.
func NewIntroductions(cl Store) *Introductions { return &Introductions{client: cl} }

// Read reads the addresses in the rows of all data centres that nodes of one use.
func (is *Introductions) Read(ctx context.Context, from datacentre.Name) ([]string, error) {
	rows, err := is.client.List(ctx, prefixIntroduction, "", maxDataCentres)
	if err != nil {
		return nil, err
	}
	var addresses []string
	for _, ro := range rows {
		row, err := parseIntroduction(ro)
		if err != nil {
			return nil, err
		}
		addresses = append(addresses, row.addressesFor(from)...)
	}
	return addresses, nil
}

func (row IntroductionRow) addressesFor(from datacentre.Name) []string {
	if from == row.DataCentre {
		return row.Addresses
	}
	return row.RemoteAddresses
}

func parseIntroduction(ro Row) (IntroductionRow, error) {
	row := IntroductionRow{}
	if err := json.Unmarshal(ro.Value, &row); err != nil {
		return IntroductionRow{}, &UnavailableError{Doing: "read row " + string(ro.Key), Err: err}
	}
	return row, nil
}

// Write writes the row of a data centre when it has changed enough or is old;
// wrote is false when the row stays, or when another host was first.
func (is *Introductions) Write(ctx context.Context, row IntroductionRow) (wrote bool, err error) {
	key := prefixIntroduction + Key(row.DataCentre)
	write := Write{
		Key:   key,
		Value: mustJSON(row),
	}
	ro, err := is.client.Read(ctx, key)
	var missing *NotFoundError
	switch {
	case errors.As(err, &missing):
		write.IfAbsent = true
	case err != nil:
		return false, err
	default:
		old, err := parseIntroduction(ro)
		if err == nil && !old.outdated(row) {
			return false, nil
		}
		write.IfMatch = ro.ETag
	}
	_, err = is.client.Transact(ctx, []Write{write})
	var conflict *ConflictError
	if errors.As(err, &conflict) {
		return false, nil
	}
	return err == nil, err
}

// outdated tells whether a row is worth another write.
func (row IntroductionRow) outdated(by IntroductionRow) bool {
	if by.WrittenAt.Sub(row.WrittenAt) >= refreshAfter || len(row.Addresses) == 0 || len(row.RemoteAddresses) == 0 {
		return true
	}
	good := map[string]bool{}
	for _, ad := range by.Addresses {
		good[ad] = true
	}
	kept := 0
	for _, ad := range row.Addresses {
		if good[ad] {
			kept++
		}
	}
	larger := max(len(row.Addresses), len(by.Addresses))
	return kept*10 < larger*keptShare
}
