package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"lynxfold/core/datacentre"
)

const (
	// introductionPrefix is the prefix of the introduction rows, one for each data
	// centre.
	introductionPrefix Key = "introductions/"
	// maxDataCentres limits the introduction rows that are read.
	maxDataCentres = 100
	// minValidTenths is the share of a row's addresses, in tenths, that must still be
	// valid; with fewer, the row is rewritten.
	minValidTenths = 8
	// refreshInterval is the age at which a row is rewritten even if it is unchanged.
	refreshInterval = time.Hour
)

// IntroductionRow lists the bootstrap addresses of a data centre: the hosts that a node
// connects to when it knows no other nodes.
type IntroductionRow struct {
	DataCentre datacentre.Name `json:"data_centre"`
	// Addresses are used by nodes of the same data centre.
	Addresses []string `json:"addresses"`
	// RemoteAddresses are used by nodes of other data centres.
	RemoteAddresses []string  `json:"remote_addresses"`
	WrittenAt       time.Time `json:"written_at"`
}

// Introductions stores the introduction rows of the data centres.
type Introductions struct {
	// OnUnreadable is called with rows that can't be read, and with addresses in a row that
	// can't be used. It may be nil, and is set before the first read.
	OnUnreadable func(key Key, err error)

	client Store
}

// NewIntroductions returns the store of introduction rows on top of a Store.
func NewIntroductions(cl Store) *Introductions { return &Introductions{client: cl} }

// Read returns the addresses in the rows of all data centres, as seen by a node in the
// data centre from. Rows and addresses that can't be read are left out.
func (is *Introductions) Read(ctx context.Context, from datacentre.Name) ([]string, error) {
	rows, err := is.client.List(ctx, introductionPrefix, "", maxDataCentres)
	if err != nil {
		return nil, err
	}
	var addresses []string
	for _, ro := range rows {
		row, err := parseIntroduction(ro)
		if err != nil {
			is.reportUnreadable(ro.Key, err)
			continue
		}
		for _, ad := range row.addressesFor(from) {
			if err := checkAddress(ad); err != nil {
				is.reportUnreadable(ro.Key, err)
				continue
			}
			addresses = append(addresses, ad)
		}
	}
	return addresses, nil
}

func (is *Introductions) reportUnreadable(key Key, err error) {
	if is.OnUnreadable != nil {
		is.OnUnreadable(key, err)
	}
}

// AddressError reports an address that can't be dialled.
type AddressError struct {
	Address string
}

func (er *AddressError) Error() string {
	return fmt.Sprintf("%q is not a host and a port from 1 to 65535", er.Address)
}

func checkAddress(address string) error {
	name, portText, err := net.SplitHostPort(address)
	port, portErr := strconv.ParseUint(portText, 10, 16)
	if err != nil || portErr != nil || name == "" || port == 0 {
		return &AddressError{Address: address}
	}
	return nil
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
		return IntroductionRow{}, &UnavailableError{Op: "read row " + string(ro.Key), Err: err}
	}
	return row, nil
}

// Write writes the row of a data centre if the stored one is missing or outdated. wrote
// is false if the stored row is kept or another host wrote it concurrently.
func (is *Introductions) Write(ctx context.Context, row IntroductionRow) (wrote bool, err error) {
	key := introductionPrefix + Key(row.DataCentre)
	write := Write{
		Key:   key,
		Value: mustJSON(row),
	}
	ro, err := is.client.Read(ctx, key)
	var notFound *NotFoundError
	switch {
	case errors.As(err, &notFound):
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

// outdated reports whether a stored row should be replaced by the latest one: it is
// old, it has no addresses of one kind, or too many of its addresses have changed.
func (row IntroductionRow) outdated(latest IntroductionRow) bool {
	if latest.WrittenAt.Sub(row.WrittenAt) >= refreshInterval || len(row.Addresses) == 0 || len(row.RemoteAddresses) == 0 {
		return true
	}
	valid := map[string]bool{}
	for _, ad := range latest.Addresses {
		valid[ad] = true
	}
	validCount := 0
	for _, ad := range row.Addresses {
		if valid[ad] {
			validCount++
		}
	}
	larger := max(len(row.Addresses), len(latest.Addresses))
	return validCount*10 < larger*minValidTenths
}
