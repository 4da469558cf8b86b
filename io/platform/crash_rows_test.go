package platform_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lynxfold/core/host"
	"lynxfold/core/quarantine"
	"lynxfold/io/platform"
)

// TestStoredCrashesAreRead writes the crashes of two data centres, one of them twice, and an odd
// row: all that can be read is, with the time of each crash.
func TestStoredCrashesAreRead(t *testing.T) {
	cl, _ := newClient(t)
	cr := platform.NewCrashRows(cl)
	skipped := 0
	cr.OnUnreadable = func(platform.Key, error) { skipped++ }
	ctx := context.Background()
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	newsOf := func(id quarantine.CrashID, at time.Time) quarantine.News {
		return quarantine.News{
			Crashes: []quarantine.Crash{{
				ID:       id,
				Host:     "host-1",
				At:       at,
				Suspects: []host.Fingerprint{17},
			}},
		}
	}
	assert.NilError(t, cr.Write(ctx, "press-hall", newsOf(1, now), now))
	assert.NilError(t, cr.Write(ctx, "press-hall", newsOf(2, now.Add(-time.Second)), now))
	assert.NilError(t, cr.Write(ctx, "curing-room", newsOf(3, now), now.Add(time.Second)))
	_, err := cl.Transact(ctx, []platform.Write{{
		Key:   "crashes/aaa",
		Value: []byte(`{"written_at":7}`),
	}})
	assert.NilError(t, err)
	ne, err := cr.Read(ctx, now.Add(5*time.Second))
	assert.NilError(t, err)
	times := map[quarantine.CrashID]time.Duration{}
	for _, it := range ne.Crashes {
		assert.DeepEqual(t, it.Suspects, []host.Fingerprint{17})
		times[it.ID] = it.At.Sub(now)
	}
	assert.DeepEqual(t, times, map[quarantine.CrashID]time.Duration{2: -time.Second, 3: 0})
	assert.Equal(t, skipped, 1)
}
