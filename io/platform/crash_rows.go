package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"lynxfold/core/datacentre"
	"lynxfold/core/quarantine"
	"lynxfold/core/wire"
)

const (
	// crashPrefix is the prefix of the rows of crashes, one for each data centre.
	crashPrefix Key = "crashes/"
	// maxCrashRowBytes limits the crashes of a row.
	maxCrashRowBytes = 32 << 10
)

// crashRow holds the crashes of the requests that are quarantined, as a host of the data
// centre knew them.
type crashRow struct {
	WrittenAt time.Time `json:"written_at"`
	// News is an encoded wire.CrashNews, whose ages count from WrittenAt.
	News []byte `json:"news"`
}

// CrashRows stores what hosts know of requests that crash upstreams, for the time after all of
// them were restarted at once. The clocks of hosts must agree to some seconds.
type CrashRows struct {
	// OnUnreadable is called with rows that can't be read. It may be nil, and is set before
	// the first read.
	OnUnreadable func(key Key, err error)

	store Store
}

// NewCrashRows returns the store of crashes on top of a Store.
func NewCrashRows(st Store) *CrashRows { return &CrashRows{store: st} }

// Write replaces the row of a data centre. It fails with an OversizeError if there are too many
// crashes.
func (cr *CrashRows) Write(ctx context.Context, dc datacentre.Name, ne quarantine.News, now time.Time) error {
	news, err := proto.Marshal(ne.ToWire(now))
	if err != nil {
		return err
	}
	if len(news) > maxCrashRowBytes {
		return &OversizeError{
			Bytes: len(news),
			Limit: maxCrashRowBytes,
		}
	}
	_, err = cr.store.Transact(ctx, []Write{{
		Key: crashPrefix + Key(dc),
		Value: mustJSON(crashRow{
			WrittenAt: now.UTC(),
			News:      news,
		}),
	}})
	return err
}

// OversizeError reports a value that is too large for a row.
type OversizeError struct {
	Bytes, Limit int
}

func (er *OversizeError) Error() string {
	return fmt.Sprintf("%d bytes are too many for a row, which may hold %d", er.Bytes, er.Limit)
}

// Read returns the crashes in the rows of all data centres. Rows that can't be read are left
// out.
func (cr *CrashRows) Read(ctx context.Context, now time.Time) (quarantine.News, error) {
	rows, err := cr.store.List(ctx, crashPrefix, "", maxDataCentres)
	if err != nil {
		return quarantine.News{}, err
	}
	var all quarantine.News
	for _, ro := range rows {
		ne, err := parseCrashes(ro, now)
		if err != nil {
			if cr.OnUnreadable != nil {
				cr.OnUnreadable(ro.Key, err)
			}
			continue
		}
		all.Crashes = append(all.Crashes, ne.Crashes...)
		all.Survivals = append(all.Survivals, ne.Survivals...)
	}
	return all, nil
}

func parseCrashes(ro Row, now time.Time) (quarantine.News, error) {
	var row crashRow
	if err := json.Unmarshal(ro.Value, &row); err != nil {
		return quarantine.News{}, err
	}
	var cn wire.CrashNews
	if err := proto.Unmarshal(row.News, &cn); err != nil {
		return quarantine.News{}, err
	}
	at := row.WrittenAt
	if at.After(now) {
		at = now // the clocks differ
	}
	return quarantine.NewsFromWire(&cn, at), nil
}
