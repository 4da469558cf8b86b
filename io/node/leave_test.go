package node

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lynxfold/core/host"
	"lynxfold/core/wire"
	"lynxfold/io/upstream"
)

// serveCalls starts a call server for a gate, and returns it and its address.
func serveCalls(t *testing.T, ga Gate) (*CallServer, string) {
	t.Helper()
	cs := NewCallServer(ga)
	return cs, listenCalls(t, cs.Serve)
}

// leave makes a server leave in the background; the returned channel is closed when all
// connections are closed.
func leave(t *testing.T, cs *CallServer) <-chan struct{} {
	t.Helper()
	left := make(chan struct{})
	go func() {
		defer close(left)
		cs.Leave(testContext(t))
	}()
	for !cs.isLeaving() {
		time.Sleep(time.Millisecond)
	}
	return left
}

// TestCallSentToLeavingHostIsNotRun sends a call that crosses the news that its host leaves, on
// a connection that was idle for some time: it was lost with its connection, so that its
// outcome was unknown.
func TestCallSentToLeavingHostIsNotRun(t *testing.T) {
	var served atomic.Int32
	cs, address := serveCalls(t, &stubGate{
		serve: func(_ context.Context, rq *wire.Request, _ io.ReadCloser) upstream.Reply {
			served.Add(1)
			return completeReply(rq.GetAttempt())
		},
	})
	cp := newCallPool(t)
	first := requestOf("a.1.1.1", 0)
	first.RemainingUs = time.Second.Microseconds()
	assert.Equal(t, string(cp.Send(testContext(t), address, first, nil).Response.GetBody()), "a.1.1.1")
	time.Sleep(time.Second + 2*heartbeatTimeout)
	cc, err := cp.acquire(testContext(t), address)
	assert.NilError(t, err)
	left := leave(t, cs)
	time.Sleep(10 * time.Millisecond)
	ex := &exchange{
		pool:    cp,
		ctx:     testContext(t),
		address: address,
		request: requestOf("a.1.2.1", 0),
		conn:    cc,
	}
	re := ex.roundTrip()
	assert.Equal(t, re.Refusal.GetReason(), string(host.ReasonDraining))
	assert.Check(t, re.Refusal.GetNotRun())
	re = cp.Send(testContext(t), address, requestOf("a.1.3.1", 0), nil)
	assert.Check(t, re.Refusal.GetNotRun(), "%v", re.Detail)
	cp.closeIdle(address)
	<-left
	assert.Equal(t, served.Load(), int32(1))
}

// TestLeavingHostAnswersItsCalls lets a host leave while calls run, one of them with a long
// answer: they are answered whole, and no further calls run on their connections.
func TestLeavingHostAnswersItsCalls(t *testing.T) {
	begun := make(chan struct{}, 2)
	release := make(chan struct{})
	cs, address := serveCalls(t, &stubGate{
		serve: func(_ context.Context, rq *wire.Request, _ io.ReadCloser) upstream.Reply {
			begun <- struct{}{}
			<-release
			if rq.GetAttempt() == "a.1.1.1" {
				return completeReply("short")
			}
			return upstream.Reply{
				Response: &wire.Response{
					Status: 200,
					Length: 1 << 20,
				},
				Body: io.NopCloser(io.LimitReader(zeros{}, 1<<20)),
			}
		},
	})
	cp := newCallPool(t)
	replies := make(chan upstream.Reply, 2)
	for _, id := range []string{"a.1.1.1", "a.1.2.1"} {
		go func() { replies <- cp.Send(testContext(t), address, requestOf(id, 0), nil) }()
	}
	<-begun
	<-begun
	left := leave(t, cs)
	close(release)
	for range 2 {
		re := <-replies
		assert.Assert(t, re.Response != nil, "%v %v", re.Refusal, re.Detail)
		if re.Body == nil {
			assert.Equal(t, string(re.Response.GetBody()), "short")
			continue
		}
		n, err := io.Copy(io.Discard, re.Body)
		assert.NilError(t, err)
		assert.Equal(t, n, int64(1<<20))
		assert.NilError(t, re.Body.Close())
	}
	re := cp.Send(testContext(t), address, requestOf("a.1.3.1", 0), nil)
	assert.Check(t, re.Refusal.GetNotRun(), "%v", re.Detail)
	cp.closeIdle(address)
	<-left
}

// TestCancelledCallsAreReported cancels a call in each way: the cause of each is reported,
// and only those that the end of the host has cut count as cut.
func TestCancelledCallsAreReported(t *testing.T) {
	begun := make(chan struct{}, 1)
	cs, address := serveCalls(t, &stubGate{
		serve: func(ctx context.Context, _ *wire.Request, _ io.ReadCloser) upstream.Reply {
			begun <- struct{}{}
			<-ctx.Done()
			return upstream.RefusalReply(host.ReasonCancelled, false)
		},
	})
	reports := make(chan CancelledCall, 1)
	cs.OnCancelled = func(ca CancelledCall) { reports <- ca }
	cp := newCallPool(t)
	for _, it := range []struct {
		cause CancelCause
		act   func(cancel context.CancelFunc, cc *callConn)
		cut   int
	}{
		{cause: CancelledByIngress, act: func(cancel context.CancelFunc, _ *callConn) { cancel() }},
		{cause: CancelledByLoss, act: func(_ context.CancelFunc, cc *callConn) { cc.close() }},
		{cause: CancelledByShutdown, act: func(context.CancelFunc, *callConn) { cs.Close() }, cut: 1},
	} {
		ctx, cancel := context.WithCancel(testContext(t))
		cc, err := cp.acquire(ctx, address)
		assert.NilError(t, err)
		rq := requestOf("a.1.1.1i", 0)
		rq.Idempotent = true
		ex := &exchange{
			pool:    cp,
			ctx:     ctx,
			address: address,
			request: rq,
			conn:    cc,
		}
		done := make(chan struct{})
		go func() {
			defer close(done)
			ex.roundTrip()
		}()
		<-begun
		it.act(cancel, cc)
		assert.Equal(t, (<-reports).Cause, it.cause)
		assert.Equal(t, cs.CutCalls(), it.cut)
		<-done
		cancel()
	}
}

// TestConnectionOfLeavingHostIsNotReused sends a call after one that a leaving host has refused,
// before the end of their connection arrives: the second one was lost with it.
func TestConnectionOfLeavingHostIsNotReused(t *testing.T) {
	address := listenCalls(t, func(co *Conn) {
		writeParts(co, 0, &wire.Frame{})
		if _, err := (&callConn{co: co}).readFrame(); err != nil {
			return
		}
		writeParts(co, 0, replyFrame(upstream.RefusalReply(host.ReasonDraining, true)))
		time.Sleep(100 * time.Millisecond)
	})
	cp := newCallPool(t)
	for _, id := range []string{"a.1.1.1", "a.1.2.1"} {
		re := cp.Send(testContext(t), address, requestOf(id, 0), nil)
		assert.Check(t, !re.LinkLost, "%s: %s", id, re.Detail)
		assert.Check(t, re.Refusal.GetNotRun(), id)
	}
}
