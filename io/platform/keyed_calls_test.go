package platform_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"lynxfold/core/host"
	"lynxfold/io/platform"
	"lynxfold/io/platform/standin"
)

func newKeyedCalls(t *testing.T) (*platform.KeyedCalls, *standin.Server) {
	t.Helper()
	cl, sv := newClient(t)
	return platform.NewKeyedCalls(cl), sv
}

func record(attempt string) platform.KeyedCallRecord {
	return platform.KeyedCallRecord{
		Key:       "booking-17",
		Request:   "digest-1",
		Attempt:   host.AttemptID(attempt),
		ChangedAt: time.Unix(1, 0).UTC(),
	}
}

func TestKeyedCallIsClaimedOnceAndStoresResponse(t *testing.T) {
	ks, _ := newKeyedCalls(t)
	ctx := context.Background()
	re, err := ks.Claim(ctx, record("a"))
	assert.NilError(t, err)
	_, err = ks.Claim(ctx, record("b"))
	assert.Assert(t, errors.HasType(err, &platform.ConflictError{}), "%v", err)
	_, err = ks.Finish(ctx, re, []byte("booked"))
	assert.NilError(t, err)
	found, err := ks.Read(ctx, "booking-17")
	assert.NilError(t, err)
	assert.Equal(t, found.State, platform.KeyedCallFinished)
	assert.Equal(t, found.Attempt, host.AttemptID("a"))
	assert.DeepEqual(t, found.Answer, []byte("booked"))
}

func TestReadUnknownKeyedCall(t *testing.T) {
	ks, _ := newKeyedCalls(t)
	_, err := ks.Read(context.Background(), "booking-17")
	assert.Assert(t, errors.HasType(err, &platform.NotFoundError{}), "%v", err)
}

func TestClaimResolvesLostResponse(t *testing.T) {
	ks, sv := newKeyedCalls(t)
	sv.SetFaults(standin.Faults{LoseReplies: 1})
	re, err := ks.Claim(context.Background(), record("a"))
	assert.NilError(t, err)
	assert.Equal(t, re.State, platform.KeyedCallClaimed)
	assert.Equal(t, sv.Counts().Writes, int64(1))
}

func TestTombstoneStopsLateClaim(t *testing.T) {
	ks, sv := newKeyedCalls(t)
	ctx := context.Background()
	sv.SetFaults(standin.Faults{LateWrites: 1, LateByMS: 200})
	_, err := ks.Claim(ctx, record("a"))
	assert.Assert(t, errors.HasType(err, &platform.InDoubtError{}), "%v", err)
	tombstone, err := ks.WriteTombstone(ctx, record("a"))
	assert.NilError(t, err)
	sv.WaitLateWrites()
	found, err := ks.Read(ctx, "booking-17")
	assert.NilError(t, err)
	assert.Equal(t, found.State, platform.KeyedCallTombstone)
	next := record("b")
	next.ETag = tombstone.ETag
	_, err = ks.Claim(ctx, next)
	assert.NilError(t, err)
}

func TestTombstoneConflictsWithAppliedClaim(t *testing.T) {
	ks, _ := newKeyedCalls(t)
	ctx := context.Background()
	_, err := ks.Claim(ctx, record("a"))
	assert.NilError(t, err)
	_, err = ks.WriteTombstone(ctx, record("a"))
	assert.Assert(t, errors.HasType(err, &platform.ConflictError{}), "%v", err)
}

func TestFinishCanBeRepeatedAfterLostResponse(t *testing.T) {
	ks, sv := newKeyedCalls(t)
	ctx := context.Background()
	re, err := ks.Claim(ctx, record("a"))
	assert.NilError(t, err)
	sv.SetFaults(standin.Faults{LateWrites: 1, LateByMS: 100})
	_, err = ks.Finish(ctx, re, []byte("booked"))
	assert.Assert(t, errors.HasType(err, &platform.InDoubtError{}), "%v", err)
	sv.WaitLateWrites()
	_, err = ks.Finish(ctx, re, []byte("booked"))
	assert.NilError(t, err)
}

func TestClaimWhilePlatformIsDown(t *testing.T) {
	ks, sv := newKeyedCalls(t)
	sv.SetFaults(standin.Faults{Down: true})
	_, err := ks.Claim(context.Background(), record("a"))
	assert.Assert(t, errors.HasType(err, &platform.UnavailableError{}), "%v", err)
	assert.Equal(t, len(sv.Rows("calls/")), 0)
}

func TestClaimWithoutListenerIsUnavailable(t *testing.T) {
	li, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	url := "http://" + li.Addr().String()
	assert.NilError(t, li.Close())
	cl := platform.NewClient(platform.Config{
		TableURL:  url,
		ObjectURL: url,
		Timeout:   time.Second,
	})
	t.Cleanup(cl.Close)
	_, err = platform.NewKeyedCalls(cl).Claim(context.Background(), record("a"))
	assert.Assert(t, errors.HasType(err, &platform.UnavailableError{}), "%v", err)
}
