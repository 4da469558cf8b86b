package upstream

import (
	"bufio"
	"fmt"
	"io"
	"math"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"lynxfold/core/host"
	"lynxfold/core/wire"
)

// startNoticeGate starts a gate and an upstream that adds a header to each response.
func startNoticeGate(t *testing.T, header *atomic.Value) (*Gate, *scriptedUpstream) {
	t.Helper()
	sc := startScriptedUpstream(t, func(sc *scriptedUpstream, nc net.Conn, rd *bufio.Reader) {
		for {
			if _, ok := sc.readRequest(rd); !ok {
				return
			}
			_, _ = fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\n%sContent-Length: 2\r\n\r\nok", header.Load())
		}
	})
	ga := NewGate(GateConfig{
		Core:                 host.Config{Incarnation: 7, QueuePerSlot: 2, DrainGrace: time.Hour},
		AnnouncementTTL:      time.Hour,
		OnAnnouncementChange: func(host.Announcement) {},
		Client:               newClient(t),
		Log:                  zerolog.Nop(),
	})
	ga.Announce(host.Announcement{
		Service:   "booking",
		Address:   sc.address,
		Slots:     4,
		Instance:  "a",
		StartedAt: time.Unix(1, 0),
		Sequence:  1,
	})
	return ga, sc
}

// serveLookup makes an attempt as the last release sends it, without a notice.
func serveLookup(t *testing.T, ga *Gate, call int, noQueue bool) Reply {
	t.Helper()
	return ga.Serve(testContext(t), &wire.Request{
		Attempt:     fmt.Sprintf("node-1.3.%d.1i", call),
		Incarnation: 7,
		Service:     "booking",
		Method:      []byte("GET"),
		Uri:         []byte("/results"),
		RemainingUs: time.Second.Microseconds(),
		Idempotent:  true,
		Brief:       noQueue,
	}, nil)
}

// TestIngressOfLastReleaseIsLimited checks that the limit holds for an ingress that knows
// nothing of it, and that refusals give reasons that its release acts on.
func TestIngressOfLastReleaseIsLimited(t *testing.T) {
	var header atomic.Value
	header.Store("Lynxfold-Rate-Limit: 0.2\r\n")
	ga, sc := startNoticeGate(t, &header)
	assert.Equal(t, serveLookup(t, ga, 1, true).Response.GetStatus(), int32(200))
	for call := 2; call < 10; call++ {
		noQueue := call%2 == 0
		re := serveLookup(t, ga, call, noQueue).Refusal
		want := host.ReasonQueueFull
		if noQueue {
			want = host.ReasonBusy
		}
		assert.Equal(t, re.GetReason(), string(want))
		assert.Check(t, re.GetNotRun() && re.GetRateLimited())
		wait := time.Duration(re.GetRetryAfterUs()) * time.Microsecond
		assert.Check(t, wait > 4*time.Second && wait <= 5*time.Second, "retry after %s", wait)
	}
	assert.Equal(t, sc.requests.Load(), int64(1))
}

// TestNoticeReachesIngress checks that responses tell the ingress what the upstream
// states, and nothing when it states nothing.
func TestNoticeReachesIngress(t *testing.T) {
	var header atomic.Value
	header.Store("Lynxfold-Rate-Limit: 1000\r\nLynxfold-Leaving: 1\r\n")
	ga, _ := startNoticeGate(t, &header)
	no := PeerNoticeFromWire(serveLookup(t, ga, 1, true).Response.GetNotice(), time.Now())
	assert.Equal(t, no.RateLimit, host.RateLimit{Limited: true, PerSecond: 1000})
	assert.Check(t, no.Process != 0 && !no.LeavingSince.IsZero())

	header.Store("")
	ga, _ = startNoticeGate(t, &header)
	assert.Check(t, serveLookup(t, ga, 1, true).Response.GetNotice() == nil)
}

// TestQueryReturnsNotice checks that a kept response that a query finds says what the
// upstream states, since the ingress passes it on.
func TestQueryReturnsNotice(t *testing.T) {
	var header atomic.Value
	header.Store("Lynxfold-Rate-Limit: 1000\r\n")
	ga, _ := startNoticeGate(t, &header)
	rq := newBookingRequest("node-1.3.1.1", 0)
	assert.Equal(t, ga.Serve(testContext(t), rq, nil).Response.GetStatus(), int32(200))
	ve := ga.Query(testContext(t), &wire.Query{
		Attempt:     rq.GetAttempt(),
		Incarnation: rq.GetIncarnation(),
	})
	assert.Equal(t, ve.GetFate(), wire.Fate_FATE_FINISHED)
	assert.Check(t, ve.GetResponse().GetNotice().GetRateLimited())
}

// TestLeavingIsPublished checks that other hosts hear that the upstream drains as soon as
// a response states that it is leaving.
func TestLeavingIsPublished(t *testing.T) {
	var header atomic.Value
	header.Store("Lynxfold-Leaving: 1\r\n")
	ga, _ := startNoticeGate(t, &header)
	var published []host.State
	ga.cfg.OnAnnouncementChange = func(an host.Announcement) { published = append(published, an.State) }
	for call := range 2 {
		assert.Equal(t, serveLookup(t, ga, call, true).Response.GetStatus(), int32(200))
	}
	assert.DeepEqual(t, published, []host.State{host.StateDraining})
}

// TestQueuedAttemptIsSentWhenLimitAllows checks that a queued attempt does not wait for
// another event.
func TestQueuedAttemptIsSentWhenLimitAllows(t *testing.T) {
	var header atomic.Value
	header.Store("Lynxfold-Rate-Limit: 10\r\n")
	ga, _ := startNoticeGate(t, &header)
	for call := range 5 {
		assert.Equal(t, serveLookup(t, ga, call, false).Response.GetStatus(), int32(200))
	}
}

// echoProtocol is the native protocol, but a response that echoes "old" is a stale one.
type echoProtocol struct {
	NativeProtocol
}

// Classify implements Protocol.
func (echoProtocol) Classify(_ *wire.Request, _ int, he *fasthttp.ResponseHeader) ResponseClass {
	if string(he.Peek("Echo")) == "old" {
		return ResponseStale
	}
	return ResponseRan
}

// TestStaleResponseStatesNothing checks that a late response to an earlier request does
// not change the limit.
func TestStaleResponseStatesNothing(t *testing.T) {
	sc := startScriptedUpstream(t, func(sc *scriptedUpstream, nc net.Conn, rd *bufio.Reader) {
		if _, ok := sc.readRequest(rd); !ok {
			return
		}
		_, _ = io.WriteString(nc, "HTTP/1.1 200 OK\r\nEcho: old\r\nLynxfold-Rate-Limit: 1\r\nContent-Length: 2\r\n\r\nok"+
			"HTTP/1.1 200 OK\r\nEcho: new\r\nLynxfold-Rate-Limit: 9\r\nContent-Length: 2\r\n\r\nok")
	})
	cl := NewClientWithProtocol(echoProtocol{})
	t.Cleanup(cl.Close)
	var noticed []host.Notice
	ended := make(chan Result, 1)
	re := cl.Do(testContext(t), Destination{Address: sc.address}, newRequest("GET"), nil, Hooks{
		OnNotice: func(no host.Notice) { noticed = append(noticed, no) },
		OnEnd:    func(rs Result) { ended <- rs },
	})
	assert.Equal(t, re.Response.GetStatus(), int32(200))
	<-ended
	assert.DeepEqual(t, noticed, []host.Notice{{RateLimit: host.RateLimit{Limited: true, PerSecond: 9}}})
}

// TestRefusalOfUpstreamSaysWhenToRetry checks that the time that an upstream names in its
// refusal reaches the ingress, and that the refusal states its limit like any response.
func TestRefusalOfUpstreamSaysWhenToRetry(t *testing.T) {
	for text, want := range map[string]time.Duration{
		"2":                             2 * time.Second,
		"0.25":                          250 * time.Millisecond,
		"":                              0,
		"-1":                            0,
		"NaN":                           0,
		"1e99":                          maxUpstreamRetryAfter,
		"Fri, 31 Dec 1999 23:59:59 GMT": 0,
	} {
		t.Run(text, func(t *testing.T) {
			sc := startScriptedUpstream(t, func(sc *scriptedUpstream, nc net.Conn, rd *bufio.Reader) {
				if _, ok := sc.readRequest(rd); ok {
					_, _ = fmt.Fprintf(nc, "HTTP/1.1 429 Too Many Requests\r\nLynxfold-Rate-Limit: 3\r\nRetry-After: %s\r\nContent-Length: 0\r\n\r\n", text)
				}
			})
			cl := NewClientWithProtocol(refusingProtocol{})
			t.Cleanup(cl.Close)
			var noticed host.Notice
			re := cl.Do(testContext(t), Destination{Address: sc.address}, newRequest("POST"), nil, Hooks{
				OnNotice: func(no host.Notice) { noticed = no },
				OnEnd:    func(rs Result) { assert.Equal(t, rs.Outcome, host.OutcomeNotRun) },
			})
			assert.DeepEqual(t, noticed.RateLimit, host.RateLimit{Limited: true, PerSecond: 3})
			assert.Equal(t, time.Duration(re.Refusal.GetRetryAfterUs())*time.Microsecond, want)
			assert.Equal(t, re.Refusal.GetRateLimited(), want > 0)
		})
	}
}

// refusingProtocol is the native protocol, but responses say that the request did not run.
type refusingProtocol struct {
	NativeProtocol
}

// Classify implements Protocol.
func (refusingProtocol) Classify(*wire.Request, int, *fasthttp.ResponseHeader) ResponseClass {
	return ResponseNotRun
}

// Identifies implements Protocol: each response counts as that of its request.
func (refusingProtocol) Identifies(*fasthttp.ResponseHeader) bool { return true }

// FuzzParseNotice checks that whatever an upstream states, a limit is a number that the
// gate can keep to.
func FuzzParseNotice(f *testing.F) {
	for _, text := range []string{"10.4", "0", "-0", "1e400", "NaN", "0x1p-2", "_1", "", " 7\t", "5,7"} {
		f.Add([]byte(text), []byte("1"))
	}
	f.Fuzz(func(t *testing.T, limit, leaving []byte) {
		no := ParseNotice([][]byte{limit}, leaving)
		rate := float64(no.RateLimit.PerSecond)
		assert.Check(t, rate >= 0 && !math.IsInf(rate, 0), "%q gives a limit of %v", limit, rate)
		assert.Equal(t, no.RateLimit.Limited, no.UnreadableLimit == "")
	})
}
