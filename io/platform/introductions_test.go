package platform_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lynxfold/io/platform"
)

func introduction(from, to int, at time.Time) platform.IntroductionRow {
	row := platform.IntroductionRow{
		DataCentre: "press-hall",
		WrittenAt:  at,
	}
	for i := from; i < to; i++ {
		row.Addresses = append(row.Addresses, fmt.Sprintf("10.0.0.%d:7400", i))
		row.RemoteAddresses = append(row.RemoteAddresses, fmt.Sprintf("192.0.2.%d:7400", i))
	}
	return row
}

func TestIntroductionIsRewrittenOnlyWhenOutdated(t *testing.T) {
	cl, sv := newClient(t)
	is := platform.NewIntroductions(cl)
	ctx := context.Background()
	at := time.Unix(1_796_000_000, 0).UTC()
	for _, tc := range []struct {
		name  string
		row   platform.IntroductionRow
		wrote bool
	}{
		{name: "first", row: introduction(0, 30, at), wrote: true},
		{name: "same", row: introduction(0, 30, at.Add(time.Minute)), wrote: false},
		{name: "a few replaced", row: introduction(4, 34, at.Add(time.Minute)), wrote: false},
		{name: "many replaced", row: introduction(15, 45, at.Add(time.Minute)), wrote: true},
		{name: "old", row: introduction(15, 45, at.Add(2*time.Hour)), wrote: true},
	} {
		wrote, err := is.Write(ctx, tc.row)
		assert.NilError(t, err, tc.name)
		assert.Equal(t, wrote, tc.wrote, tc.name)
	}
	assert.Equal(t, sv.Counts().Writes, int64(3))
	addresses, err := is.Read(ctx, "press-hall")
	assert.NilError(t, err)
	assert.DeepEqual(t, addresses, introduction(15, 45, at).Addresses)
	addresses, err = is.Read(ctx, "curing-room")
	assert.NilError(t, err)
	assert.DeepEqual(t, addresses, introduction(15, 45, at).RemoteAddresses)
}
