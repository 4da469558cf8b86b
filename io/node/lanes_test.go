package node

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lynxfold/core/call"
	"lynxfold/core/host"
	"lynxfold/core/wire"
	"lynxfold/io/upstream"
	"lynxfold/testkit"
)

// generous bounds waits whose length is no verdict.
const generous = 20 * time.Second

// scriptedGate is a gate whose answers a test writes.
type scriptedGate struct {
	serve func(ctx context.Context, rq *wire.Request, body io.ReadCloser) upstream.Reply
	query func(ctx context.Context, qu *wire.Query) *wire.Verdict
}

func (sg *scriptedGate) Serve(ctx context.Context, rq *wire.Request, body io.ReadCloser) upstream.Reply {
	return sg.serve(ctx, rq, body)
}

func (sg *scriptedGate) Query(ctx context.Context, qu *wire.Query) *wire.Verdict {
	return sg.query(ctx, qu)
}

// listen serves a gate and returns its address.
func listen(t *testing.T, ga Gate) (string, *Listener) {
	t.Helper()
	return listenTLS(t, ga, nil)
}

func listenTLS(t *testing.T, ga Gate, ce *Certificates) (string, *Listener) {
	t.Helper()
	li, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ls := NewListener(li, ListenerConfig{
		Certificates: ce,
		Lane:         NewIncoming(ga).Serve,
		Control:      func(*Conn) {},
		Refused:      func(*RefusedError) {},
	})
	go func() { _ = ls.Serve() }()
	t.Cleanup(ls.Close)
	return li.Addr().String(), ls
}

func newLanes(t *testing.T) *Lanes {
	ls := NewLanes(&Dialer{Timeout: time.Second})
	t.Cleanup(ls.Close)
	return ls
}

func bound(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), generous)
	t.Cleanup(cancel)
	return ctx
}

func requestOf(attempt string, length int64) *wire.Request {
	return &wire.Request{
		Attempt:     attempt,
		Method:      []byte("POST"),
		Uri:         []byte("/bookings"),
		RemainingUs: generous.Microseconds(),
		Length:      length,
	}
}

func whole(body string) upstream.Reply {
	return upstream.Reply{
		Response: &wire.Response{
			Status:   200,
			Length:   int64(len(body)),
			Body:     []byte(body),
			Complete: true,
		},
	}
}

// TestLaneIsKept makes calls one after the other and finds them on one lane.
func TestLaneIsKept(t *testing.T) {
	address, ln := listen(t, &scriptedGate{
		serve: func(_ context.Context, rq *wire.Request, _ io.ReadCloser) upstream.Reply {
			return whole(rq.GetAttempt())
		},
	})
	ls := newLanes(t)
	for i := range 20 {
		id := fmt.Sprintf("a.1.%d.1", i)
		re := ls.Serve(bound(t), address, requestOf(id, 0), nil)
		assert.Equal(t, string(re.Response.GetBody()), id)
	}
	ln.mu.Lock()
	defer ln.mu.Unlock()
	assert.Equal(t, len(ln.conns), 1)
}

// TestAnswersMatchTheirCalls runs calls with bodies side by side.
func TestAnswersMatchTheirCalls(t *testing.T) {
	address, _ := listen(t, &scriptedGate{
		serve: func(_ context.Context, rq *wire.Request, body io.ReadCloser) upstream.Reply {
			data := rq.GetBody()
			if body != nil {
				var err error
				if data, err = io.ReadAll(body); err != nil {
					return upstream.Refuse(host.ReasonBodyAborted, false)
				}
			}
			return upstream.Reply{
				Response: &wire.Response{
					Status: 200,
					Length: -1,
				},
				Body: io.NopCloser(bytes.NewReader(data)),
			}
		},
	})
	ls := newLanes(t)
	var done sync.WaitGroup
	for i := range 16 {
		done.Go(func() {
			for j := range 10 {
				text := strings.Repeat(fmt.Sprintf("call %d/%d;", i, j), 1+j*3000)
				rq := requestOf(fmt.Sprintf("a.1.%d.1", i*100+j), int64(len(text)))
				re := ls.Serve(bound(t), address, rq, io.NopCloser(strings.NewReader(text)))
				got, err := io.ReadAll(re.Body)
				assert.Check(t, err)
				assert.Check(t, string(got) == text)
				assert.Check(t, re.Body.Close())
			}
		})
	}
	done.Wait()
}

// endless is a body without end that notices when nobody wants it any more.
type endless struct {
	closed chan struct{}
	once   sync.Once
}

func (en *endless) Read(buf []byte) (int, error) {
	select {
	case <-en.closed:
		return 0, errors.New("closed")
	default:
		return len(buf), nil
	}
}

func (en *endless) Close() error {
	en.once.Do(func() { close(en.closed) })
	return nil
}

// TestAnswerBeforeBodyEnds answers an upload after its first bytes; neither
// side waits for the other for ever.
func TestAnswerBeforeBodyEnds(t *testing.T) {
	address, _ := listen(t, &scriptedGate{
		serve: func(_ context.Context, _ *wire.Request, body io.ReadCloser) upstream.Reply {
			_, _ = io.ReadFull(body, make([]byte, 100_000))
			return whole("early")
		},
	})
	ls := newLanes(t)
	for range 5 {
		body := &endless{closed: make(chan struct{})}
		re := ls.Serve(bound(t), address, requestOf("a.1.1.1", 1<<40), body)
		assert.Equal(t, string(re.Response.GetBody()), "early")
		<-body.closed
	}
}

// TestBytesThatAreNoText carries what HTTP allows and UTF-8 does not.
func TestBytesThatAreNoText(t *testing.T) {
	name := []byte("attachment; filename=\"petici\xf3n.pdf\"")
	address, _ := listen(t, &scriptedGate{
		serve: func(_ context.Context, rq *wire.Request, _ io.ReadCloser) upstream.Reply {
			re := whole(string(rq.GetUri()))
			re.Response.Headers = rq.GetHeaders()
			return re
		},
	})
	rq := requestOf("a.1.1.1", 0)
	rq.Uri = []byte("/scans/petici\xf3n")
	rq.Headers = []*wire.Header{{
		Name:  []byte("Content-Disposition"),
		Value: name,
	}}
	re := newLanes(t).Serve(bound(t), address, rq, nil)
	assert.Equal(t, string(re.Response.GetBody()), "/scans/petici\xf3n")
	assert.DeepEqual(t, re.Response.GetHeaders()[0].GetValue(), name)
}

// TestRefusedBodyIsUntouched refuses an upload before its body was asked for, so
// that it can go to another gate.
func TestRefusedBodyIsUntouched(t *testing.T) {
	address, _ := listen(t, &scriptedGate{
		serve: func(context.Context, *wire.Request, io.ReadCloser) upstream.Reply {
			return upstream.Refuse(host.ReasonQueueFull, true)
		},
	})
	ls := newLanes(t)
	body := strings.NewReader(strings.Repeat("x", 1<<20))
	for range 3 {
		re := ls.Serve(bound(t), address, requestOf("a.1.1.1", 1<<20), io.NopCloser(body))
		assert.Equal(t, re.Refusal.GetReason(), string(host.ReasonQueueFull))
		assert.Equal(t, body.Len(), 1<<20)
	}
}

// cutBody fails after some bytes.
type cutBody struct {
	io.Reader
}

func (cb cutBody) Read(buf []byte) (int, error) {
	n, err := cb.Reader.Read(buf)
	if err == io.EOF {
		return n, io.ErrUnexpectedEOF
	}
	return n, err
}

// TestCutBodies never turns a part of a body into a whole one.
func TestCutBodies(t *testing.T) {
	var seen error
	address, _ := listen(t, &scriptedGate{
		serve: func(_ context.Context, _ *wire.Request, body io.ReadCloser) upstream.Reply {
			_, seen = io.ReadAll(body)
			return upstream.Reply{
				Response: &wire.Response{
					Status: 200,
					Length: 200_000,
				},
				Body: io.NopCloser(cutBody{strings.NewReader(strings.Repeat("y", 100_000))}),
			}
		},
	})
	ls := newLanes(t)
	body := io.NopCloser(cutBody{strings.NewReader(strings.Repeat("x", 100_000))})
	re := ls.Serve(bound(t), address, requestOf("a.1.1.1", 200_000), body)
	_, err := io.ReadAll(re.Body)
	assert.NilError(t, re.Body.Close())
	var cut *TruncatedError
	assert.Check(t, errors.As(seen, &cut), "%v", seen)
	assert.Check(t, errors.As(err, &cut), "%v", err)
}

// TestCancelReachesGate ends a call's context at the ingress.
func TestCancelReachesGate(t *testing.T) {
	arrived := make(chan struct{}, 1)
	cancelled := make(chan struct{}, 1)
	address, _ := listen(t, &scriptedGate{
		serve: func(ctx context.Context, _ *wire.Request, _ io.ReadCloser) upstream.Reply {
			arrived <- struct{}{}
			<-ctx.Done()
			cancelled <- struct{}{}
			return upstream.Refuse(host.ReasonCancelled, true)
		},
	})
	ls := newLanes(t)
	ctx, cancel := context.WithCancel(bound(t))
	go func() {
		<-arrived
		cancel()
	}()
	re := ls.Serve(ctx, address, requestOf("a.1.1.1", 0), nil)
	assert.Equal(t, re.Refusal.GetNotRun(), false)
	<-cancelled
}

// TestLostLane cuts lanes during a call: a call that may not be repeated runs
// on, and its outcome is there for the asking.
func TestLostLane(t *testing.T) {
	for _, idempotent := range []bool{false, true} {
		t.Run(fmt.Sprintf("idempotent=%t", idempotent), func(t *testing.T) {
			arrived := make(chan struct{}, 1)
			end := make(chan struct{})
			cancelled := make(chan struct{})
			address, ln := listen(t, &scriptedGate{
				serve: func(ctx context.Context, _ *wire.Request, _ io.ReadCloser) upstream.Reply {
					arrived <- struct{}{}
					select {
					case <-ctx.Done():
						close(cancelled)
					case <-end:
					}
					return whole("late")
				},
				query: func(_ context.Context, qu *wire.Query) *wire.Verdict {
					close(end)
					return &wire.Verdict{
						Fate:     wire.Fate_FATE_FINISHED,
						Response: whole(qu.GetAttempt()).Response,
					}
				},
			})
			ls := newLanes(t)
			go func() {
				<-arrived
				ln.mu.Lock()
				defer ln.mu.Unlock()
				for nc := range ln.conns {
					_ = nc.Close()
				}
			}()
			rq := requestOf("a.1.1.1", 0)
			rq.Idempotent = idempotent
			re := ls.Serve(bound(t), address, rq, nil)
			assert.Check(t, re.Lost)
			if idempotent {
				<-cancelled
				return
			}
			ve, err := ls.Ask(bound(t), address, &wire.Query{
				Attempt:     "a.1.1.1",
				RemainingUs: generous.Microseconds(),
			})
			assert.NilError(t, err)
			assert.Equal(t, string(ve.GetResponse().GetBody()), "a.1.1.1")
		})
	}
}

// TestSilentLane swallows everything on a lane in mid-call: it is found and left.
func TestSilentLane(t *testing.T) {
	arrived := make(chan struct{}, 1)
	end := make(chan struct{})
	address, _ := listen(t, &scriptedGate{
		serve: func(context.Context, *wire.Request, io.ReadCloser) upstream.Reply {
			arrived <- struct{}{}
			<-end
			return whole("never seen")
		},
	})
	defer close(end)
	pr := newSwallower(t, address)
	ls := newLanes(t)
	go func() {
		<-arrived
		pr.swallow()
	}()
	re := ls.Serve(bound(t), pr.address, requestOf("a.1.1.1", 0), nil)
	assert.Check(t, re.Lost)
}

// TestSlowCallKeepsItsLane runs a call for longer than a lane may be silent.
func TestSlowCallKeepsItsLane(t *testing.T) {
	address, _ := listen(t, &scriptedGate{
		serve: func(context.Context, *wire.Request, io.ReadCloser) upstream.Reply {
			time.Sleep(silentAfter + beatEvery)
			return whole("slow")
		},
	})
	re := newLanes(t).Serve(bound(t), address, requestOf("a.1.1.1", 0), nil)
	assert.Equal(t, string(re.Response.GetBody()), "slow")
}

// TestClosedIdleLane closes a kept lane at its far end; the next call does not
// come into doubt.
func TestClosedIdleLane(t *testing.T) {
	address, ln := listen(t, &scriptedGate{
		serve: func(context.Context, *wire.Request, io.ReadCloser) upstream.Reply { return whole("ok") },
	})
	ls := newLanes(t)
	for range 5 {
		re := ls.Serve(bound(t), address, requestOf("a.1.1.1", 0), nil)
		assert.Equal(t, string(re.Response.GetBody()), "ok")
		ln.mu.Lock()
		for nc := range ln.conns {
			_ = nc.Close()
		}
		ln.mu.Unlock()
		waitEmpty(t, ln)
	}
}

func waitEmpty(t *testing.T, ln *Listener) {
	t.Helper()
	for until := time.Now().Add(generous); time.Now().Before(until); time.Sleep(time.Millisecond) {
		ln.mu.Lock()
		n := len(ln.conns)
		ln.mu.Unlock()
		if n == 0 {
			return
		}
	}
	t.Fatal("connections stay open")
}

// TestLanesOverTLS keeps encrypted lanes, and finds those that were closed.
func TestLanesOverTLS(t *testing.T) {
	au := testkit.NewAuthority(t, "own")
	ce := certificates(t, "szeged", au.Sign("szeged", time.Now().Add(time.Hour)), au.File)
	address, ln := listenTLS(t, &scriptedGate{
		serve: func(_ context.Context, rq *wire.Request, body io.ReadCloser) upstream.Reply {
			if body != nil {
				n, err := io.Copy(io.Discard, body)
				return whole(fmt.Sprint(n, err))
			}
			return whole(rq.GetAttempt())
		},
	}, ce)
	ls := NewLanes(&Dialer{
		Certificates: ce,
		Timeout:      generous,
	})
	t.Cleanup(ls.Close)
	for i := range 10 {
		id := fmt.Sprintf("a.1.%d.1", i)
		re := ls.Serve(bound(t), address, requestOf(id, 0), nil)
		assert.Equal(t, string(re.Response.GetBody()), id)
		body := io.NopCloser(io.LimitReader(zeroReader{}, 3_000_000))
		re = ls.Serve(bound(t), address, requestOf(id, 3_000_000), body)
		assert.Equal(t, string(re.Response.GetBody()), "3000000 <nil>")
		ln.mu.Lock()
		assert.Check(t, len(ln.conns) == 1, "%d connections", len(ln.conns))
		if i%3 == 2 {
			for nc := range ln.conns {
				_ = nc.Close()
			}
		}
		ln.mu.Unlock()
		if i%3 == 2 {
			waitEmpty(t, ln)
		}
	}
}

type zeroReader struct{}

func (zeroReader) Read(buf []byte) (int, error) { return len(buf), nil }

// TestLaneLimit refuses the call after the last lane, as one that did not run.
func TestLaneLimit(t *testing.T) {
	end := make(chan struct{})
	arrived := make(chan struct{})
	address, _ := listen(t, &scriptedGate{
		serve: func(context.Context, *wire.Request, io.ReadCloser) upstream.Reply {
			arrived <- struct{}{}
			<-end
			return whole("ok")
		},
	})
	ls := newLanes(t)
	var done sync.WaitGroup
	for i := range maxLanes {
		done.Go(func() { ls.Serve(bound(t), address, requestOf(fmt.Sprintf("a.1.%d.1", i), 0), nil) })
	}
	for range maxLanes {
		<-arrived
	}
	re := ls.Serve(bound(t), address, requestOf("a.1.9999.1", 0), nil)
	assert.Equal(t, re.Refusal.GetReason(), string(ReasonLaneLimit))
	assert.Check(t, re.Refusal.GetNotRun())
	close(end)
	done.Wait()
}

// TestNobodyListens is certain that nothing ran.
func TestNobodyListens(t *testing.T) {
	li, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, li.Close())
	re := newLanes(t).Serve(bound(t), li.Addr().String(), requestOf("a.1.1.1", 0), nil)
	assert.Equal(t, re.Refusal.GetReason(), string(call.ReasonLinkDial))
	assert.Check(t, re.Refusal.GetNotRun())
}

// TestGarbage sends bytes that are no frame; the lane ends and nothing else.
func TestGarbage(t *testing.T) {
	address, ln := listen(t, &scriptedGate{})
	for _, bytes := range []string{
		"\xff\xff\xff\xff",
		"\x00\x00\x00\x04abcd",
		"\x00\x00\x00\x01",
	} {
		nc, err := net.Dial("tcp", address)
		assert.NilError(t, err)
		_, err = io.WriteString(nc, prefaceLane+bytes)
		assert.NilError(t, err)
		assert.NilError(t, nc.(*net.TCPConn).CloseWrite())
		_, err = io.ReadAll(nc)
		assert.Check(t, err == nil || errors.Is(err, io.EOF) || strings.Contains(err.Error(), "reset"))
		assert.NilError(t, nc.Close())
	}
	waitEmpty(t, ln)
}
