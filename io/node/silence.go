package node

import (
	"context"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"lynxfold/core/wire"
	"lynxfold/io/upstream"
)

// SilenceEnd is how the silence of a call connection ended.
type SilenceEnd string

// Ends of silences.
const (
	// SilenceEndedByData: bytes arrived after all, so that the connection was only slow.
	SilenceEndedByData SilenceEnd = "data"
	// SilenceEndedByClose: the connection was closed or reset by the other side.
	SilenceEndedByClose SilenceEnd = "closed"
	// SilenceEndedByLoss: a newer connection to the node works, so that the silent one
	// counts as broken.
	SilenceEndedByLoss SilenceEnd = "broken"
	// SilenceLasted: nothing had arrived when the call ended.
	SilenceLasted SilenceEnd = "lasted"
)

// Silence reports a call connection on which nothing arrived for heartbeatTimeout while a
// call ran.
type Silence struct {
	// Address is that of the other node.
	Address  string
	Duration time.Duration
	End      SilenceEnd
}

const (
	// brokenAfter is how long after the greeting on a newer connection to the same node a
	// silent one counts as broken. Both share a link: what was sent on the silent one
	// before the greeting should have arrived with it.
	brokenAfter = 2 * heartbeatTimeout
	// probeInterval is the time between two attempts to open a newer connection.
	probeInterval = 250 * time.Millisecond
)

// SilentTooLongError reports a connection on which nothing arrives although a newer one to
// the same node works.
type SilentTooLongError struct {
	Duration time.Duration
}

func (er *SilentTooLongError) Error() string {
	return "nothing arrived for " + er.Duration.String()
}

// isTimeout reports whether nothing arrived in time on a connection that is still open.
func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

// pendingReply is the reply of an attempt whose connection is silent.
type pendingReply struct {
	exchange *exchange
}

// Await implements upstream.PendingReply.
func (pr *pendingReply) Await() upstream.Reply {
	fr, err := pr.exchange.nextFrameAfterSilence(pr.exchange.awaitDataOrLoss)
	return pr.exchange.reply(fr, err)
}

// Abandon implements upstream.PendingReply.
func (pr *pendingReply) Abandon() upstream.Reply {
	return pr.exchange.connLost(&SilentTooLongError{Duration: heartbeatTimeout})
}

// mayWait reports whether the reply may be awaited on a silent connection, while the attempt
// is queried or repeated: not during the transfer of the request body, of which an attempt
// elsewhere would need the rest.
func (ex *exchange) mayWait() bool {
	if ex.bodySent == nil {
		return ex.body == nil
	}
	select {
	case <-ex.bodySent:
		return ex.bodyErr == nil
	default:
		return false
	}
}

// nextFrameAfterSilence returns the next frame of the answer on a connection that has been
// silent for heartbeatTimeout. A full link delays frames by more than that, so that it waits
// until await fails at a silence.
func (ex *exchange) nextFrameAfterSilence(await func() error) (*wire.Frame, error) {
	for {
		if err := await(); err != nil {
			return nil, err
		}
		fr, err := ex.nextFrame()
		if !isTimeout(err) || ex.ctx.Err() != nil {
			return fr, err
		}
	}
}

// awaitData waits for the end of a silence, and reports it. It fails when the connection is
// closed or the call ends.
func (ex *exchange) awaitData() error {
	return ex.awaitDataUnless(func(time.Time) bool { return false })
}

// awaitDataOrLoss is like awaitData, and also fails when the connection counts as broken.
func (ex *exchange) awaitDataOrLoss() error {
	stop := ex.pool.probe(ex.ctx, ex.address, time.Now().Add(-heartbeatTimeout))
	defer stop()
	var greetedAt time.Time
	return ex.awaitDataUnless(func(since time.Time) bool {
		if at := ex.pool.greetedAt(ex.address); greetedAt.IsZero() && at.After(since) {
			greetedAt = at
		}
		return !greetedAt.IsZero() && time.Since(greetedAt) >= brokenAfter
	})
}

// awaitDataUnless waits for the end of a silence, and reports it. It fails when the
// connection is closed, when the call ends, or when broken reports that the connection, which
// has been silent since a time, counts as broken.
func (ex *exchange) awaitDataUnless(broken func(since time.Time) bool) error {
	since := time.Now().Add(-heartbeatTimeout)
	for {
		err := ex.conn.awaitByte(heartbeatTimeout)
		switch {
		case err == nil:
			ex.pool.reportSilence(ex.address, since, SilenceEndedByData)
			return nil
		case ex.ctx.Err() != nil:
			ex.pool.reportSilence(ex.address, since, SilenceLasted)
			return err
		case !isTimeout(err):
			ex.pool.reportSilence(ex.address, since, SilenceEndedByClose)
			return err
		case broken(since):
			ex.pool.reportSilence(ex.address, since, SilenceEndedByLoss)
			return &SilentTooLongError{Duration: time.Since(since)}
		}
	}
}

// reportSilence reports the end of a silence that began at a time.
func (cp *CallPool) reportSilence(address string, since time.Time, end SilenceEnd) {
	if cp.OnSilence == nil {
		return
	}
	cp.OnSilence(Silence{
		Address:  address,
		Duration: time.Since(since),
		End:      end,
	})
}

// greetedAt returns when a new connection to a node was last greeted.
func (cp *CallPool) greetedAt(address string) time.Time {
	cp.mu.Lock()
	defer cp.mu.Unlock()
	return cp.peer(address).greetedAt
}

// probe opens a new connection to a node to see whether that works, unless one has been greeted
// since a time. It repeats failed attempts until ctx ends or stop is called.
func (cp *CallPool) probe(ctx context.Context, address string, since time.Time) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		for ctx.Err() == nil && !cp.greetedAt(address).After(since) {
			cp.probeOnce(ctx, address)
			select {
			case <-ctx.Done():
			case <-time.After(probeInterval):
			}
		}
	}()
	return cancel
}

// probeOnce opens a new connection to a node, unless another call does so.
func (cp *CallPool) probeOnce(ctx context.Context, address string) {
	cp.mu.Lock()
	pe := cp.peer(address)
	if pe.probing {
		cp.mu.Unlock()
		return
	}
	pe.probing = true
	cp.mu.Unlock()
	cc, err := cp.acquireNew(ctx, address)
	cp.mu.Lock()
	pe.probing = false
	cp.mu.Unlock()
	if err == nil {
		cp.release(address, cc, true)
	}
}
