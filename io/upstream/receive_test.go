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

// startGate starts a gate before a scripted upstream that answers every request
// with the length of its body.
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
		Core:       host.Config{Incarnation: 7},
		LapseAfter: time.Hour,
		Changed:    func(host.Announcement) {},
		Client:     newClient(t),
		Log:        zerolog.Nop(),
	})
	ga.Announce(host.Announcement{
		Service: "booking",
		Address: sc.address,
		Slots:   slots,
	})
	return ga, sc
}

// newBookingRequest is a request whose body of some bytes follows it.
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

// recordingBody is a body that tells whether it was read.
type recordingBody struct {
	io.Reader
	wasRead bool
}

// Read reads on.
func (fo *recordingBody) Read(buf []byte) (int, error) {
	fo.wasRead = true
	return fo.Reader.Read(buf)
}

// Close does nothing.
func (fo *recordingBody) Close() error { return nil }

// TestShortBodyIsBufferedBeforeDispatch lets the upstream hear of a request only when its
// short body is there: one that breaks off, or goes on, did not run.
func TestShortBodyIsBufferedBeforeDispatch(t *testing.T) {
	for name, it := range map[string]struct {
		sent int
		want host.Outcome
	}{
		"whole":     {sent: 20_000, want: host.OutcomeRan},
		"cut short": {sent: 19_999, want: host.OutcomeNotRun},
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

// TestRefusedBodyIsNotRead refuses an attempt before its body is asked for.
func TestRefusedBodyIsNotRead(t *testing.T) {
	ga, _ := startGate(t, 0)
	fo := &recordingBody{Reader: bytes.NewReader(make([]byte, 20_000))}
	re := ga.Serve(testContext(t), newBookingRequest("node-1.3.1.1", 20_000), fo)
	assert.Assert(t, re.Refusal.GetNotRun())
	assert.Assert(t, !fo.wasRead)
}
