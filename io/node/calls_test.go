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
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lynxfold/core/call"
	"lynxfold/core/host"
	"lynxfold/core/wire"
	"lynxfold/io/upstream"
	"lynxfold/testkit"
)

// testTimeout limits waits whose duration is not under test.
const testTimeout = 20 * time.Second

// stubGate is a gate that calls functions of the test.
type stubGate struct {
	serve func(ctx context.Context, rq *wire.Request, body io.ReadCloser) upstream.Reply
	query func(ctx context.Context, qu *wire.Query) *wire.Verdict
}

func (sg *stubGate) Serve(ctx context.Context, rq *wire.Request, body io.ReadCloser) upstream.Reply {
	return sg.serve(ctx, rq, body)
}

func (sg *stubGate) Query(ctx context.Context, qu *wire.Query) *wire.Verdict {
	return sg.query(ctx, qu)
}

// listen starts a listener for a gate and returns its address.
func listen(t *testing.T, ga Gate) (string, *Listener) {
	t.Helper()
	return listenTLS(t, ga, nil)
}

func listenTLS(t *testing.T, ga Gate, ce *Certificates) (string, *Listener) {
	t.Helper()
	return startListener(t, ce, NewCallServer(ga).Serve)
}

// listenCalls starts a listener that passes call connections to a function of the test,
// and returns its address.
func listenCalls(t testing.TB, calls func(co *Conn)) string {
	t.Helper()
	address, _ := startListener(t, nil, calls)
	return address
}

// startListener starts a listener that passes call connections to a function, and returns its
// address.
func startListener(t testing.TB, ce *Certificates, calls func(co *Conn)) (string, *Listener) {
	t.Helper()
	li, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ls := NewListener(li, ListenerConfig{
		Certificates: ce,
		Calls:        calls,
		Control:      func(*Conn) {},
		Refused:      func(*RefusedError) {},
	})
	go func() { _ = ls.Serve() }()
	t.Cleanup(ls.Close)
	return li.Addr().String(), ls
}

func newCallPool(t *testing.T) *CallPool {
	cp := NewCallPool(&Dialer{Timeout: time.Second})
	t.Cleanup(cp.Close)
	return cp
}

func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

// requestOf returns a request whose body has the given length.
func requestOf(attempt string, length int64) *wire.Request {
	return &wire.Request{
		Attempt:     attempt,
		Method:      []byte("POST"),
		Uri:         []byte("/bookings"),
		RemainingUs: testTimeout.Microseconds(),
		Length:      length,
	}
}

func completeReply(body string) upstream.Reply {
	return upstream.Reply{
		Response: &wire.Response{
			Status:   200,
			Length:   int64(len(body)),
			Body:     []byte(body),
			Complete: true,
		},
	}
}

// TestConnectionIsReused makes sequential calls, which must share one connection.
func TestConnectionIsReused(t *testing.T) {
	address, ln := listen(t, &stubGate{
		serve: func(_ context.Context, rq *wire.Request, _ io.ReadCloser) upstream.Reply {
			return completeReply(rq.GetAttempt())
		},
	})
	cp := newCallPool(t)
	for i := range 20 {
		id := fmt.Sprintf("a.1.%d.1", i)
		re := cp.Send(testContext(t), address, requestOf(id, 0), nil)
		assert.Equal(t, string(re.Response.GetBody()), id)
	}
	ln.mu.Lock()
	defer ln.mu.Unlock()
	assert.Equal(t, len(ln.conns), 1)
}

// TestAnswersMatchTheirCalls runs concurrent calls with bodies: each must get the answer
// to its own request.
func TestAnswersMatchTheirCalls(t *testing.T) {
	address, _ := listen(t, &stubGate{
		serve: func(_ context.Context, rq *wire.Request, body io.ReadCloser) upstream.Reply {
			data := rq.GetBody()
			if body != nil {
				var err error
				if data, err = io.ReadAll(body); err != nil {
					return upstream.RefusalReply(host.ReasonBodyAborted, false)
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
	cp := newCallPool(t)
	var done sync.WaitGroup
	for i := range 16 {
		done.Go(func() {
			for j := range 10 {
				text := strings.Repeat(fmt.Sprintf("call %d/%d;", i, j), 1+j*3000)
				rq := requestOf(fmt.Sprintf("a.1.%d.1", i*100+j), int64(len(text)))
				re := cp.Send(testContext(t), address, rq, io.NopCloser(strings.NewReader(text)))
				got, err := io.ReadAll(re.Body)
				assert.Check(t, err)
				assert.Check(t, string(got) == text)
				assert.Check(t, re.Body.Close())
			}
		})
	}
	done.Wait()
}

// endlessBody is a body without end whose reads fail once it is closed.
type endlessBody struct {
	closed chan struct{}
	once   sync.Once
}

func (eb *endlessBody) Read(buf []byte) (int, error) {
	select {
	case <-eb.closed:
		return 0, errors.New("closed")
	default:
		return len(buf), nil
	}
}

func (eb *endlessBody) Close() error {
	eb.once.Do(func() { close(eb.closed) })
	return nil
}

// TestAnswerBeforeBodyEnds answers an upload after its first bytes: neither side may
// wait for the other forever.
func TestAnswerBeforeBodyEnds(t *testing.T) {
	address, _ := listen(t, &stubGate{
		serve: func(_ context.Context, _ *wire.Request, body io.ReadCloser) upstream.Reply {
			_, _ = io.ReadFull(body, make([]byte, 100_000))
			return completeReply("early")
		},
	})
	cp := newCallPool(t)
	for range 5 {
		body := &endlessBody{closed: make(chan struct{})}
		re := cp.Send(testContext(t), address, requestOf("a.1.1.1", 1<<40), body)
		assert.Equal(t, string(re.Response.GetBody()), "early")
		<-body.closed
	}
}

// TestBytesThatAreNotUTF8 sends a URI and a header that are valid in HTTP but not UTF-8;
// they must arrive unchanged.
func TestBytesThatAreNotUTF8(t *testing.T) {
	name := []byte("attachment; filename=\"petici\xf3n.pdf\"")
	address, _ := listen(t, &stubGate{
		serve: func(_ context.Context, rq *wire.Request, _ io.ReadCloser) upstream.Reply {
			re := completeReply(string(rq.GetUri()))
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
	re := newCallPool(t).Send(testContext(t), address, rq, nil)
	assert.Equal(t, string(re.Response.GetBody()), "/scans/petici\xf3n")
	assert.DeepEqual(t, re.Response.GetHeaders()[0].GetValue(), name)
}

// TestRefusedBodyIsUntouched refuses an upload before its body is asked for: nothing of
// the body may be read, so that it can be sent to another gate.
func TestRefusedBodyIsUntouched(t *testing.T) {
	address, _ := listen(t, &stubGate{
		serve: func(context.Context, *wire.Request, io.ReadCloser) upstream.Reply {
			return upstream.RefusalReply(host.ReasonQueueFull, true)
		},
	})
	cp := newCallPool(t)
	body := strings.NewReader(strings.Repeat("x", 1<<20))
	for range 3 {
		re := cp.Send(testContext(t), address, requestOf("a.1.1.1", 1<<20), io.NopCloser(body))
		assert.Equal(t, re.Refusal.GetReason(), string(host.ReasonQueueFull))
		assert.Equal(t, body.Len(), 1<<20)
	}
}

// truncatedBody returns io.ErrUnexpectedEOF in place of io.EOF.
type truncatedBody struct {
	io.Reader
}

func (tb truncatedBody) Read(buf []byte) (int, error) {
	n, err := tb.Reader.Read(buf)
	if err == io.EOF {
		return n, io.ErrUnexpectedEOF
	}
	return n, err
}

// TestTruncatedBodiesAreNotComplete sends bodies that fail midway in both directions: the
// reader must get an error and not the end of a complete body.
func TestTruncatedBodiesAreNotComplete(t *testing.T) {
	var seen error
	address, _ := listen(t, &stubGate{
		serve: func(_ context.Context, _ *wire.Request, body io.ReadCloser) upstream.Reply {
			_, seen = io.ReadAll(body)
			return upstream.Reply{
				Response: &wire.Response{
					Status: 200,
					Length: 200_000,
				},
				Body: io.NopCloser(truncatedBody{strings.NewReader(strings.Repeat("y", 100_000))}),
			}
		},
	})
	cp := newCallPool(t)
	body := io.NopCloser(truncatedBody{strings.NewReader(strings.Repeat("x", 100_000))})
	re := cp.Send(testContext(t), address, requestOf("a.1.1.1", 200_000), body)
	_, err := io.ReadAll(re.Body)
	assert.NilError(t, re.Body.Close())
	var truncated *TruncatedError
	assert.Check(t, errors.As(seen, &truncated), "%v", seen)
	assert.Check(t, errors.As(err, &truncated), "%v", err)
}

// TestCancelReachesGate cancels a call's context at the ingress: the context of the call
// at the gate must end.
func TestCancelReachesGate(t *testing.T) {
	arrived := make(chan struct{}, 1)
	cancelled := make(chan struct{}, 1)
	address, _ := listen(t, &stubGate{
		serve: func(ctx context.Context, _ *wire.Request, _ io.ReadCloser) upstream.Reply {
			arrived <- struct{}{}
			<-ctx.Done()
			cancelled <- struct{}{}
			return upstream.RefusalReply(host.ReasonCancelled, true)
		},
	})
	cp := newCallPool(t)
	ctx, cancel := context.WithCancel(testContext(t))
	go func() {
		<-arrived
		cancel()
	}()
	re := cp.Send(ctx, address, requestOf("a.1.1.1", 0), nil)
	assert.Equal(t, re.Refusal.GetNotRun(), false)
	<-cancelled
}

// TestLostConnection closes connections during a call: an idempotent call is cancelled;
// another one keeps running, and its outcome can be queried.
func TestLostConnection(t *testing.T) {
	for _, idempotent := range []bool{false, true} {
		t.Run(fmt.Sprintf("idempotent=%t", idempotent), func(t *testing.T) {
			arrived := make(chan struct{}, 1)
			end := make(chan struct{})
			cancelled := make(chan struct{})
			address, ln := listen(t, &stubGate{
				serve: func(ctx context.Context, _ *wire.Request, _ io.ReadCloser) upstream.Reply {
					arrived <- struct{}{}
					select {
					case <-ctx.Done():
						close(cancelled)
					case <-end:
					}
					return completeReply("late")
				},
				query: func(_ context.Context, qu *wire.Query) *wire.Verdict {
					close(end)
					return &wire.Verdict{
						Fate:     wire.Fate_FATE_FINISHED,
						Response: completeReply(qu.GetAttempt()).Response,
					}
				},
			})
			cp := newCallPool(t)
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
			re := cp.Send(testContext(t), address, rq, nil)
			assert.Check(t, re.LinkLost)
			if idempotent {
				<-cancelled
				return
			}
			ve, err := cp.Query(testContext(t), address, &wire.Query{
				Attempt:     "a.1.1.1",
				RemainingUs: testTimeout.Microseconds(),
			})
			assert.NilError(t, err)
			assert.Equal(t, string(ve.GetResponse().GetBody()), "a.1.1.1")
		})
	}
}

// listenWithoutAnswer starts a listener for a gate that does not answer during the test. It
// returns its address, and the channel that receives a value for each call.
func listenWithoutAnswer(t *testing.T) (string, <-chan struct{}) {
	t.Helper()
	arrived := make(chan struct{}, 1)
	end := make(chan struct{})
	address, _ := listen(t, &stubGate{
		serve: func(context.Context, *wire.Request, io.ReadCloser) upstream.Reply {
			arrived <- struct{}{}
			<-end
			return completeReply("never seen")
		},
	})
	t.Cleanup(func() { close(end) })
	return address, arrived
}

// TestSilentConnectionLosesItsCall drops all traffic on the connection of a call without
// closing it: the call must be reported as silent, and be lost once newer connections work.
func TestSilentConnectionLosesItsCall(t *testing.T) {
	address, arrived := listenWithoutAnswer(t)
	px := testkit.NewProxy(t, address)
	cp := newCallPool(t)
	silences := make(chan Silence, 1)
	cp.OnSilence = func(si Silence) { silences <- si }
	go func() {
		<-arrived
		testkit.BlackholeOpenConnections(t, px)
	}()
	start := time.Now()
	re := cp.Send(testContext(t), px.Listen, requestOf("a.1.1.1", 0), nil)
	assert.Assert(t, re.Pending != nil)
	re = re.Pending.Await()
	assert.Check(t, re.LinkLost)
	assert.Check(t, time.Since(start) < 2*(heartbeatTimeout+brokenAfter), "%v", time.Since(start))
	assert.Equal(t, (<-silences).End, SilenceEndedByLoss)
}

// TestCallToSilentHostWaitsForItsDeadline drops all traffic to a host, on new connections too:
// nothing shows if the host is gone or its link is full.
func TestCallToSilentHostWaitsForItsDeadline(t *testing.T) {
	address, arrived := listenWithoutAnswer(t)
	pr := newBlackholeProxy(t, address)
	cp := newCallPool(t)
	go func() {
		<-arrived
		pr.dropTraffic()
	}()
	ctx, cancel := context.WithTimeout(testContext(t), 4*time.Second)
	defer cancel()
	re := cp.Send(ctx, pr.address, requestOf("a.1.1.1", 0), nil)
	assert.Assert(t, re.Pending != nil)
	re = re.Pending.Await()
	assert.Check(t, ctx.Err() != nil)
	assert.Equal(t, re.Refusal.GetReason(), string(host.ReasonDeadline))
	assert.Check(t, !re.Refusal.GetNotRun())
}

// TestAnswersDelayedOnTheLinkAreWhole delays what a gate sends by more than heartbeatTimeout:
// before the answer, in the middle of its only frame and in the middle of its body.
func TestAnswersDelayedOnTheLinkAreWhole(t *testing.T) {
	const delay = 3 * heartbeatTimeout / 2
	short := strings.Repeat("s", 100_000)
	long := strings.Repeat("l", 3*chunkBytes)
	for name, send := range map[string]func(co *Conn){
		"before the answer": func(co *Conn) {
			time.Sleep(delay)
			writeParts(co, 0, replyFrame(completeReply(short)))
		},
		"in a frame": func(co *Conn) {
			writeParts(co, delay, replyFrame(completeReply(short)))
		},
		"in the body": func(co *Conn) {
			writeParts(co, 0, &wire.Frame{Kind: &wire.Frame_Response{Response: &wire.Response{Status: 200, Length: int64(len(long))}}})
			for len(long) > 0 {
				n := min(chunkBytes, len(long))
				time.Sleep(delay)
				writeParts(co, delay, bodyFrame([]byte(long[:n]), n == len(long), false))
				long = long[n:]
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			want := len(long)
			if name != "in the body" {
				want = len(short)
			}
			address := listenCalls(t, func(co *Conn) {
				writeParts(co, 0, &wire.Frame{})
				if _, err := (&callConn{co: co}).readFrame(); err != nil {
					return
				}
				send(co)
				_, _ = co.Reader.Peek(1)
			})
			re := newCallPool(t).Send(testContext(t), address, requestOf("a.1.1.1i", 0), nil)
			if re.Pending != nil {
				re = re.Pending.Await()
			}
			assert.Assert(t, re.Response != nil, "%+v", re)
			got := re.Response.GetBody()
			if re.Body != nil {
				var err error
				got, err = io.ReadAll(re.Body)
				assert.NilError(t, err)
				assert.NilError(t, re.Body.Close())
			}
			assert.Equal(t, len(got), want)
		})
	}
}

// TestSilenceInAnswerDoesNotCutIt makes a gate silent in the middle of an answer while newer
// connections to it work: the answer was cut with time left until the deadline.
func TestSilenceInAnswerDoesNotCutIt(t *testing.T) {
	const silence = 2 * (heartbeatTimeout + brokenAfter)
	address := listenCalls(t, func(co *Conn) {
		writeParts(co, 0, &wire.Frame{})
		if _, err := (&callConn{co: co}).readFrame(); err != nil {
			return
		}
		writeParts(co, 0, &wire.Frame{Kind: &wire.Frame_Response{Response: &wire.Response{Status: 200, Length: 10}}})
		writeParts(co, 0, bodyFrame([]byte("first"), false, false))
		time.Sleep(silence)
		writeParts(co, 0, bodyFrame([]byte(" last"), true, false))
		_, _ = co.Reader.Peek(1)
	})
	cp := newCallPool(t)
	re := cp.Send(testContext(t), address, requestOf("a.1.1.1i", 0), nil)
	assert.Assert(t, re.Body != nil, "%+v", re)
	time.AfterFunc(2*heartbeatTimeout, func() {
		cc, err := cp.acquireNew(testContext(t), address)
		assert.Check(t, err == nil, "%v", err)
		cp.release(address, cc, false)
	})
	got, err := io.ReadAll(re.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(got), "first last")
	assert.NilError(t, re.Body.Close())
}

// TestAnswerCutAtAnyByteIsNotComplete ends a gate's answer after each of its bytes.
func TestAnswerCutAtAnyByteIsNotComplete(t *testing.T) {
	var answer []byte
	for _, fr := range []*wire.Frame{
		{},
		{Kind: &wire.Frame_Response{Response: &wire.Response{Status: 200, Length: 5}}},
		bodyFrame([]byte("hel"), false, false),
		bodyFrame([]byte("lo"), true, false),
	} {
		var err error
		answer, err = appendMessage(answer, fr)
		assert.NilError(t, err)
	}
	for cut := range len(answer) + 1 {
		address := listenCalls(t, func(co *Conn) {
			writeParts(co, 0, &wire.Frame{})
			if _, err := (&callConn{co: co}).readFrame(); err == nil {
				_, _ = co.Write(answer[:cut])
			}
		})
		re := newCallPool(t).Send(testContext(t), address, requestOf("a.1.1.1i", 0), nil)
		whole := false
		if re.Body != nil {
			_, err := io.ReadAll(re.Body)
			whole = err == nil
			assert.NilError(t, re.Body.Close())
		}
		assert.Equal(t, whole, cut == len(answer), "cut after %d of %d bytes", cut, len(answer))
		assert.Check(t, re.Response != nil || re.LinkLost, "%+v", re)
	}
}

// writeParts writes a frame in two parts with a pause between them.
func writeParts(co *Conn, pause time.Duration, fr *wire.Frame) {
	data, err := appendMessage(nil, fr)
	if err != nil {
		panic(err)
	}
	half := (len(data) + 1) / 2
	_, _ = co.Write(data[:half])
	time.Sleep(pause)
	_, _ = co.Write(data[half:])
}

// TestSlowCallKeepsItsConnection runs a call for longer than heartbeatTimeout: heartbeats
// must keep its connection open.
func TestSlowCallKeepsItsConnection(t *testing.T) {
	address, _ := listen(t, &stubGate{
		serve: func(context.Context, *wire.Request, io.ReadCloser) upstream.Reply {
			time.Sleep(heartbeatTimeout + heartbeatInterval)
			return completeReply("slow")
		},
	})
	re := newCallPool(t).Send(testContext(t), address, requestOf("a.1.1.1", 0), nil)
	assert.Equal(t, string(re.Response.GetBody()), "slow")
}

// TestIdleConnectionClosedByPeer closes an idle connection at the gate: the next call must
// use another one, or its outcome would be unknown.
func TestIdleConnectionClosedByPeer(t *testing.T) {
	address, ln := listen(t, &stubGate{
		serve: func(context.Context, *wire.Request, io.ReadCloser) upstream.Reply { return completeReply("ok") },
	})
	cp := newCallPool(t)
	for range 5 {
		re := cp.Send(testContext(t), address, requestOf("a.1.1.1", 0), nil)
		assert.Equal(t, string(re.Response.GetBody()), "ok")
		ln.mu.Lock()
		for nc := range ln.conns {
			_ = nc.Close()
		}
		ln.mu.Unlock()
		waitForNoConns(t, ln)
	}
}

func waitForNoConns(t *testing.T, ln *Listener) {
	t.Helper()
	for until := time.Now().Add(testTimeout); time.Now().Before(until); time.Sleep(time.Millisecond) {
		ln.mu.Lock()
		n := len(ln.conns)
		ln.mu.Unlock()
		if n == 0 {
			return
		}
	}
	t.Fatal("connections are still open")
}

// TestCallsOverTLS checks that TLS connections are reused, and that those closed by the
// peer are detected.
func TestCallsOverTLS(t *testing.T) {
	au := testkit.NewAuthority(t, "own")
	ce := certificates(t, "szeged", au.Sign("szeged", time.Now().Add(time.Hour)), au.CertFile)
	address, ln := listenTLS(t, &stubGate{
		serve: func(_ context.Context, rq *wire.Request, body io.ReadCloser) upstream.Reply {
			if body != nil {
				n, err := io.Copy(io.Discard, body)
				return completeReply(fmt.Sprint(n, err))
			}
			return completeReply(rq.GetAttempt())
		},
	}, ce)
	cp := NewCallPool(&Dialer{
		Certificates: ce,
		Timeout:      testTimeout,
	})
	t.Cleanup(cp.Close)
	for i := range 10 {
		id := fmt.Sprintf("a.1.%d.1", i)
		re := cp.Send(testContext(t), address, requestOf(id, 0), nil)
		assert.Equal(t, string(re.Response.GetBody()), id)
		body := io.NopCloser(io.LimitReader(zeroReader{}, 3_000_000))
		re = cp.Send(testContext(t), address, requestOf(id, 3_000_000), body)
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
			waitForNoConns(t, ln)
		}
	}
}

type zeroReader struct{}

func (zeroReader) Read(buf []byte) (int, error) { return len(buf), nil }

// TestConnectionLimit makes a call when all allowed connections are in use: it must be
// refused as not run.
func TestConnectionLimit(t *testing.T) {
	end := make(chan struct{})
	arrived := make(chan struct{})
	address, _ := listen(t, &stubGate{
		serve: func(context.Context, *wire.Request, io.ReadCloser) upstream.Reply {
			arrived <- struct{}{}
			<-end
			return completeReply("ok")
		},
	})
	cp := newCallPool(t)
	var done sync.WaitGroup
	for i := range maxConnsPerNode {
		done.Go(func() { cp.Send(testContext(t), address, requestOf(fmt.Sprintf("a.1.%d.1", i), 0), nil) })
	}
	for range maxConnsPerNode {
		<-arrived
	}
	re := cp.Send(testContext(t), address, requestOf("a.1.9999.1", 0), nil)
	assert.Equal(t, re.Refusal.GetReason(), string(ReasonConnLimit))
	assert.Check(t, re.Refusal.GetNotRun())
	close(end)
	done.Wait()
}

// TestNoListener calls an address without a listener: the call must be refused as not run.
func TestNoListener(t *testing.T) {
	li, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, li.Close())
	re := newCallPool(t).Send(testContext(t), li.Addr().String(), requestOf("a.1.1.1", 0), nil)
	assert.Equal(t, re.Refusal.GetReason(), string(call.ReasonLinkDial))
	assert.Check(t, re.Refusal.GetNotRun())
}

// TestProxyWithoutNode calls through a proxy that accepts connections but has no node
// behind it, and closes them or stays silent: the call must be refused as not run.
func TestProxyWithoutNode(t *testing.T) {
	for name, serve := range map[string]func(nc net.Conn){
		"closes": func(nc net.Conn) { _ = nc.Close() },
		"silent": func(nc net.Conn) { _, _ = io.Copy(io.Discard, nc) },
	} {
		t.Run(name, func(t *testing.T) {
			li, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			t.Cleanup(func() { _ = li.Close() })
			go func() {
				for {
					nc, err := li.Accept()
					if err != nil {
						return
					}
					go serve(nc)
				}
			}()
			re := newCallPool(t).Send(testContext(t), li.Addr().String(), requestOf("a.1.1.1", 0), nil)
			assert.Check(t, !re.LinkLost)
			assert.Equal(t, re.Refusal.GetReason(), string(call.ReasonLinkDial))
			assert.Check(t, re.Refusal.GetNotRun())
		})
	}
}

// TestMalformedFrames sends bytes that are no frame: the gate must close the connection
// without a call.
func TestMalformedFrames(t *testing.T) {
	address, ln := listen(t, &stubGate{})
	for _, bytes := range []string{
		"\xff\xff\xff\xff",
		"\x00\x00\x00\x04abcd",
		"\x00\x00\x00\x01",
	} {
		nc, err := net.Dial("tcp", address)
		assert.NilError(t, err)
		_, err = io.WriteString(nc, prefaceCalls+bytes)
		assert.NilError(t, err)
		assert.NilError(t, nc.(*net.TCPConn).CloseWrite())
		_, err = io.ReadAll(nc)
		assert.Check(t, err == nil || errors.Is(err, io.EOF) || strings.Contains(err.Error(), "reset"))
		assert.NilError(t, nc.Close())
	}
	waitForNoConns(t, ln)
}

// TestTimeToOpenConnectionIsTakenOffRequest lets the gate's greeting come late: the
// request that waits for it has less time left when it is sent.
func TestTimeToOpenConnectionIsTakenOffRequest(t *testing.T) {
	const delay = 200 * time.Millisecond
	remaining := make(chan time.Duration, 1)
	cs := NewCallServer(&stubGate{
		serve: func(_ context.Context, rq *wire.Request, _ io.ReadCloser) upstream.Reply {
			remaining <- time.Duration(rq.GetRemainingUs()) * time.Microsecond
			return completeReply("")
		},
	})
	address := listenCalls(t, func(co *Conn) {
		time.Sleep(delay)
		cs.Serve(co)
	})
	newCallPool(t).Send(testContext(t), address, requestOf("a.1.1.1", 0), nil)
	assert.Assert(t, <-remaining <= testTimeout-delay)
}

// TestCallWhoseCallerHasLeftIsNotSent uses an open connection, on which a call can be
// sent at once.
func TestCallWhoseCallerHasLeftIsNotSent(t *testing.T) {
	var served sync.Map
	address, _ := listen(t, &stubGate{
		serve: func(_ context.Context, rq *wire.Request, _ io.ReadCloser) upstream.Reply {
			served.Store(rq.GetAttempt(), true)
			return completeReply("")
		},
	})
	cp := newCallPool(t)
	gone, cancel := context.WithCancel(testContext(t))
	cancel()
	for i := range 100 {
		cp.Send(testContext(t), address, requestOf(fmt.Sprintf("a.1.%d.1", i), 0), nil)
		re := cp.Send(gone, address, requestOf(fmt.Sprintf("a.1.%d.2", i), 0), nil)
		assert.Equal(t, re.Refusal.GetReason(), string(host.ReasonCancelled))
		assert.Equal(t, re.Refusal.GetNotRun(), true)
	}
	time.Sleep(50 * time.Millisecond)
	served.Range(func(attempt, _ any) bool {
		assert.Check(t, strings.HasSuffix(attempt.(string), ".1"), "%s was sent", attempt)
		return true
	})
}

// TestFrameSlowerThanHeartbeatTimeoutIsReadWhileItArrives lets an answer arrive in pieces
// over a time longer than heartbeatTimeout, with shorter pauses between them.
func TestFrameSlowerThanHeartbeatTimeoutIsReadWhileItArrives(t *testing.T) {
	const pieces = 6
	body := strings.Repeat("x", 60_000)
	address := listenCalls(t, func(co *Conn) {
		cc := &callConn{co: co}
		_ = cc.writeFrame(&wire.Frame{})
		if _, err := cc.readFrame(); err != nil {
			return
		}
		out, err := appendMessage(nil, replyFrame(completeReply(body)))
		if err != nil {
			return
		}
		for i := range pieces {
			time.Sleep(heartbeatTimeout / 3)
			_, _ = co.Write(out[i*len(out)/pieces : (i+1)*len(out)/pieces])
		}
		_, _ = cc.readFrame()
	})
	re := newCallPool(t).Send(testContext(t), address, requestOf("a.1.1.1", 0), nil)
	assert.Equal(t, re.LinkLost, false, "%s", re.Detail)
	assert.Equal(t, len(re.Response.GetBody()), len(body))
}

// TestRestOfBodyIsDroppedWhenCallerHasLeft cancels an upload while the gate does not read:
// what the gate has not taken yet must not follow.
func TestRestOfBodyIsDroppedWhenCallerHasLeft(t *testing.T) {
	const length = 32 << 20
	ctx, cancel := context.WithCancel(testContext(t))
	ended := make(chan error, 1)
	received := int64(0)
	address := listenCalls(t, func(co *Conn) {
		cc := &callConn{co: co}
		_ = cc.writeFrame(&wire.Frame{})
		if _, err := cc.readFrame(); err != nil {
			return
		}
		_ = cc.writeFrame(&wire.Frame{Kind: &wire.Frame_Continue{Continue: &wire.Continue{}}})
		if _, err := co.Reader.Peek(1); err != nil {
			ended <- err
			return
		}
		time.Sleep(100 * time.Millisecond) // the ingress fills the buffers of the connection
		cancel()
		time.Sleep(2 * heartbeatInterval)
		n, err := io.Copy(io.Discard, co)
		received = n
		ended <- err
	})
	body := io.NopCloser(io.LimitReader(zeros{}, length))
	re := newCallPool(t).Send(ctx, address, requestOf("a.1.1.1", length), body)
	assert.Equal(t, re.Refusal.GetReason(), string(host.ReasonCancelled))
	assert.Assert(t, errors.Is(<-ended, syscall.ECONNRESET), "the rest of the body followed, %d bytes", received)
}

// zeros is an endless reader of zeros.
type zeros struct{}

func (zeros) Read(buf []byte) (int, error) {
	clear(buf)
	return len(buf), nil
}

// TestOddAddressIsNotReached sends calls to addresses that can't be dialled.
func TestOddAddressIsNotReached(t *testing.T) {
	cp := newCallPool(t)
	for _, address := range []string{"", "127.0.0.1", "127.0.0.1:99999", "127.0.0.1:-1", "[::1", ":::", strings.Repeat("[", 10_000)} {
		re := cp.Send(testContext(t), address, requestOf("a.1.1.1", 0), nil)
		assert.Equal(t, re.Refusal.GetReason(), string(call.ReasonLinkDial), "%.20s", address)
		assert.Check(t, re.Refusal.GetNotRun())
	}
}
