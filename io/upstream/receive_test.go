package upstream

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"lynxfold/core/contract"
	"lynxfold/core/host"
	"lynxfold/core/wire"
)

// startGate starts a gate for a scripted upstream that reads each request
// completely and responds with 200.
func startGate(t *testing.T, slots host.Slots) (*Gate, *scriptedUpstream) {
	t.Helper()
	sc := startScriptedUpstream(t, func(sc *scriptedUpstream, nc net.Conn, rd *bufio.Reader) {
		for {
			rq, ok := sc.readRequest(rd)
			if !ok {
				return
			}
			if _, err := io.Copy(io.Discard, rq.Body); err != nil {
				return
			}
			if _, err := io.WriteString(nc, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"); err != nil {
				return
			}
		}
	})
	ga := NewGate(GateConfig{
		Core:                 host.Config{Incarnation: 7},
		AnnouncementTTL:      time.Hour,
		OnAnnouncementChange: func(host.Announcement) {},
		Client:               newClient(t),
		Log:                  zerolog.Nop(),
	})
	ga.Announce(host.Announcement{
		Service: "booking",
		Address: sc.address,
		Slots:   slots,
	})
	return ga, sc
}

// newBookingRequest returns a request whose body of the given length is streamed.
func newBookingRequest(attempt string, length int64) *wire.Request {
	return &wire.Request{
		Attempt:     attempt,
		Incarnation: 7,
		Service:     "booking",
		Method:      []byte("POST"),
		Uri:         []byte("/bookings"),
		RemainingUs: testTimeout.Microseconds(),
		Class:       string(contract.ClassBulk),
		Length:      length,
	}
}

// recordingBody is a body that records whether it was read.
type recordingBody struct {
	io.Reader
	wasRead bool
}

// Read implements io.Reader.
func (rb *recordingBody) Read(buf []byte) (int, error) {
	rb.wasRead = true
	return rb.Reader.Read(buf)
}

// Close implements io.Closer.
func (rb *recordingBody) Close() error { return nil }

// TestShortBodyIsBufferedBeforeDispatch checks that a request with a short body is
// sent to the upstream only when the body is complete. One with a truncated or
// too long body does not run.
func TestShortBodyIsBufferedBeforeDispatch(t *testing.T) {
	for name, it := range map[string]struct {
		sent int
		want host.Outcome
	}{
		"complete":  {sent: 20_000, want: host.OutcomeRan},
		"truncated": {sent: 19_999, want: host.OutcomeNotRun},
		"too long":  {sent: 20_001, want: host.OutcomeNotRun},
	} {
		t.Run(name, func(t *testing.T) {
			ga, sc := startGate(t, 1)
			re := ga.Serve(testContext(t), newBookingRequest("node-1.3.1.1", 20_000),
				&recordingBody{Reader: bytes.NewReader(make([]byte, it.sent))})
			if it.want == host.OutcomeRan {
				assert.Equal(t, re.Response.GetStatus(), int32(200))
				return
			}
			assert.Assert(t, re.Refusal.GetNotRun())
			assert.Equal(t, re.Refusal.GetReason(), string(host.ReasonBodyAborted))
			assert.Equal(t, sc.accepted.Load(), int64(0))
			assert.Equal(t, ga.Running(), 0)
		})
	}
}

// TestRefusedBodyIsNotRead checks that the body of a refused attempt is not read.
func TestRefusedBodyIsNotRead(t *testing.T) {
	ga, _ := startGate(t, 0)
	rb := &recordingBody{Reader: bytes.NewReader(make([]byte, 20_000))}
	re := ga.Serve(testContext(t), newBookingRequest("node-1.3.1.1", 20_000), rb)
	assert.Assert(t, re.Refusal.GetNotRun())
	assert.Assert(t, !rb.wasRead)
}
