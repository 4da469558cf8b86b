package node

import (
	"context"
	"errors"
	"io"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lynxfold/core/host"
	"lynxfold/core/wire"
	"lynxfold/io/upstream"
)

// maxUnsentBytes is the largest number of bytes that a gate may ask for before any of them
// has arrived.
const maxUnsentBytes = 64 << 10

// lengthGate answers with the length of each request body.
func lengthGate() *stubGate {
	return &stubGate{
		serve: func(_ context.Context, _ *wire.Request, body io.ReadCloser) upstream.Reply {
			n, err := io.Copy(io.Discard, body)
			if err != nil {
				return upstream.RefusalReply(host.ReasonBodyAborted, true)
			}
			return completeReply(strconv.FormatInt(n, 10))
		},
	}
}

// dialGate opens a call connection whose frames the test writes and reads itself.
func dialGate(t *testing.T, address string) *callConn {
	t.Helper()
	cc, err := newCallPool(t).dial(testContext(t), address)
	assert.NilError(t, err)
	t.Cleanup(cc.close)
	return cc
}

// request sends the head of an upload.
func (cc *callConn) request(t *testing.T, id string, length int64, acceptsGrants bool) {
	t.Helper()
	rq := requestOf(id, length)
	rq.AcceptsGrants = acceptsGrants
	assert.NilError(t, cc.writeFrame(&wire.Frame{Kind: &wire.Frame_Request{Request: rq}}))
}

// readGrants adds up what the gate asks for until it asks for nothing more.
func (cc *callConn) readGrants(t *testing.T) int64 {
	t.Helper()
	total := int64(0)
	for {
		fr, err := cc.readFrameWithin(200 * time.Millisecond)
		if err != nil {
			return total
		}
		if co := fr.GetContinue(); co != nil {
			total += int64(co.GetBytes())
		}
	}
}

// TestGateAsksForBodiesInParts checks that a gate asks for no more of several bodies
// together than a small window, and for the rest as they arrive.
func TestGateAsksForBodiesInParts(t *testing.T) {
	address, _ := listen(t, lengthGate())
	first, second := dialGate(t, address), dialGate(t, address)
	first.request(t, "a.1.1.1", 1<<20, true)
	granted := first.readGrants(t)
	assert.Check(t, granted > 0 && granted <= maxUnsentBytes, "%d bytes granted", granted)
	second.request(t, "a.1.2.1", 1<<20, true)
	// The first sender is slow by now, and holds the second one up no longer.
	granted = second.readGrants(t)
	assert.Check(t, granted > 0 && granted <= maxUnsentBytes, "%d bytes granted", granted)
}

// TestUploadsInPartsAreWhole sends bodies of several lengths, also unknown ones, one after
// the other on the same connection.
func TestUploadsInPartsAreWhole(t *testing.T) {
	address, ln := listen(t, lengthGate())
	cp := newCallPool(t)
	for i, length := range []int64{1, 16<<10 - 1, 16 << 10, 16<<10 + 1, 48 << 10, 300_000, 5 << 20} {
		for j, declared := range []int64{length, -1} {
			body := io.NopCloser(io.LimitReader(zeros{}, length))
			re := cp.Send(testContext(t), address, requestOf("a.1."+strconv.Itoa(2*i+j)+".1", declared), body)
			assert.Equal(t, string(re.Response.GetBody()), strconv.FormatInt(length, 10))
		}
	}
	ln.mu.Lock()
	defer ln.mu.Unlock()
	assert.Equal(t, len(ln.conns), 1)
}

// TestGateAsksOlderIngressForWholeBody checks that an ingress of an older release, which
// sends the whole body when it is asked, is asked once.
func TestGateAsksOlderIngressForWholeBody(t *testing.T) {
	address, _ := listen(t, lengthGate())
	cc := dialGate(t, address)
	cc.request(t, "a.1.1.1", 100_000, false)
	fr, err := cc.readNonHeartbeat()
	assert.NilError(t, err)
	assert.Assert(t, fr.GetContinue() != nil)
	assert.Equal(t, fr.GetContinue().GetBytes(), uint32(0))
	assert.NilError(t, cc.sendBody(io.NopCloser(io.LimitReader(zeros{}, 100_000))))
	fr, err = cc.readNonHeartbeat()
	assert.NilError(t, err)
	assert.Equal(t, string(fr.GetResponse().GetBody()), "100000")
}

// TestNothingIsAskedForAfterAnswer answers uploads before their bodies have arrived: what
// the gate asks for must not be taken for a part of the next call.
func TestNothingIsAskedForAfterAnswer(t *testing.T) {
	address, _ := listen(t, &stubGate{
		serve: func(_ context.Context, _ *wire.Request, body io.ReadCloser) upstream.Reply {
			_, _ = body.Read(make([]byte, 1))
			return completeReply("early")
		},
	})
	cp := newCallPool(t)
	for i := range 50 {
		body := io.NopCloser(io.LimitReader(zeros{}, 1<<20))
		re := cp.Send(testContext(t), address, requestOf("a.1."+strconv.Itoa(i)+".1", 1<<20), body)
		assert.Equal(t, string(re.Response.GetBody()), "early", "%s", re.Detail)
	}
}

// TestFailedBodyIsAborted checks that a body that its caller does not finish ends the call
// at the gate, although further bytes were granted.
func TestFailedBodyIsAborted(t *testing.T) {
	address, _ := listen(t, lengthGate())
	body := io.NopCloser(io.MultiReader(io.LimitReader(zeros{}, 20_000), failingReader{}))
	re := newCallPool(t).Send(testContext(t), address, requestOf("a.1.1.1", 100_000), body)
	assert.Equal(t, re.Refusal.GetReason(), string(host.ReasonBodyAborted))
}

// failingReader always fails.
type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, errors.New("caller has gone") }
