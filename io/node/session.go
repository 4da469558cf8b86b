package node

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"golang.org/x/time/rate"
	"google.golang.org/protobuf/proto"

	"lynxfold/core/host"
	"lynxfold/core/link"
	"lynxfold/core/wire"
)

const (
	// sendQueue bounds the messages that wait on each stream of a session.
	sendQueue = 512
	// queuedBytes bounds what waits on each stream of a session, in bytes; one
	// message may always wait.
	queuedBytes = 4 << 20
	// bulkBytes is the size from which a message goes by the bulk stream, in bytes.
	bulkBytes = 16 << 10
	// socketBytes bounds what the kernel holds of a control link, in bytes, so
	// that probes do not wait long behind a large message.
	socketBytes = 128 << 10
	// acceptBacklog bounds the streams that a peer may open unasked.
	acceptBacklog = 4
	// joinFor is how long a peer that joins may hold its place.
	joinFor = time.Second
	// finishFor bounds the wait for the peer to end a link that is closed on purpose.
	finishFor = time.Second
)

// Session is one control link: a stream for small messages and probes, and one
// for large messages, which is slowed down to the node's resync budget.
type Session struct {
	peer    host.ID
	address string
	// greeted is how much was read when the peer's hello was, in bytes.
	greeted uint64
	raw     net.Conn
	mux     *yamux.Session
	control *stream
	bulk    *stream
	meter   *meter
	once    sync.Once
	// counters are told why the session has ended.
	counters *Counters
	// joined gives back the place of a peer that joins.
	joined func()

	// The rest belongs to the control goroutine.
	watch       *link.Detector
	incarnation host.Incarnation
	heard       uint64
	silent      bool
	// reason is why the session was closed; empty while it is open.
	reason atomic.Value
	// replacement is set when the session was opened beside a silent one.
	replacement bool
	finishing   bool
	retireAt    time.Time
}

// stream is one direction of messages of a session with its queue.
type stream struct {
	conn   net.Conn
	reader *bufio.Reader
	out    chan queued
	waits  atomic.Int64
}

// queued is a message that waits; its size is in bytes. A nil message ends the session.
type queued struct {
	message *wire.Control
	size    int
}

// meter counts the bytes that arrive on a connection.
type meter struct {
	*Conn
	read atomic.Uint64
}

// Read reads and counts.
func (me *meter) Read(buf []byte) (int, error) {
	n, err := me.Conn.Read(buf)
	me.read.Add(uint64(n))
	return n, err
}

func newStream(co net.Conn) *stream {
	return &stream{
		conn:   co,
		reader: bufio.NewReader(co),
		out:    make(chan queued, sendQueue),
	}
}

func muxConfig() *yamux.Config {
	cfg := yamux.DefaultConfig()
	cfg.EnableKeepAlive = false // core/link probes instead
	cfg.LogOutput = io.Discard
	cfg.StreamOpenTimeout = 0
	cfg.StreamCloseTimeout = finishFor
	cfg.AcceptBacklog = acceptBacklog
	return cfg
}

func limitSocket(raw net.Conn) {
	if tc, ok := raw.(*net.TCPConn); ok {
		_ = tc.SetWriteBuffer(socketBytes)
	}
}

// openSession opens the streams of a connection that this node has dialled.
func openSession(co *Conn, counters *Counters) (*Session, error) {
	limitSocket(co.raw)
	me := &meter{Conn: co}
	mux, err := yamux.Client(me, muxConfig())
	if err != nil {
		return nil, err
	}
	return streams(me, mux, mux.Open, counters)
}

// acceptSession takes the streams of a connection that a peer has dialled.
func acceptSession(co *Conn, counters *Counters) (*Session, error) {
	limitSocket(co.raw)
	me := &meter{Conn: co}
	mux, err := yamux.Server(me, muxConfig())
	if err != nil {
		return nil, err
	}
	return streams(me, mux, mux.Accept, counters)
}

func streams(me *meter, mux *yamux.Session, next func() (net.Conn, error), counters *Counters) (*Session, error) {
	se := &Session{
		raw:      me.raw,
		mux:      mux,
		meter:    me,
		counters: counters,
		joined:   func() {},
	}
	for _, into := range []**stream{&se.control, &se.bulk} {
		co, err := next()
		if err != nil {
			se.abandon()
			return nil, err
		}
		*into = newStream(co)
	}
	return se, nil
}

// abandon ends a session that was never in use.
func (se *Session) abandon() {
	_ = se.raw.Close()
	_ = se.mux.Close()
}

// close ends the session at once; it does not block.
func (se *Session) close(reason ClosedReason) {
	se.once.Do(func() {
		se.counters.closed(reason)
		se.reason.Store(string(reason))
		_ = se.raw.Close() // the multiplexer notices and ends
	})
}

// Peer is the host at the other end.
func (se *Session) Peer() host.ID { return se.peer }

// Reason is why the session was closed.
func (se *Session) Reason() ClosedReason {
	reason, _ := se.reason.Load().(string)
	return ClosedReason(reason)
}

// write sends one message on the calling goroutine.
func (se *Session) write(ms *wire.Control) error {
	data, err := appendMessage(nil, ms)
	if err != nil {
		return err
	}
	se.counters.message(DirectionOut, ms, len(data))
	_, err = se.control.conn.Write(data)
	return err
}

// read reads one message on the calling goroutine.
func (se *Session) read(st *stream, limit int) (*wire.Control, error) {
	ms := &wire.Control{}
	size, err := readSized(st.reader, ms, limit)
	if err != nil {
		return nil, err
	}
	se.counters.message(DirectionIn, ms, size)
	return ms, nil
}

// send queues a message. A peer that does not keep up with small messages is
// dropped; a large message that does not fit is dropped alone.
func (se *Session) send(ms *wire.Control) {
	size := proto.Size(ms)
	if size >= bulkBytes {
		if !se.bulk.put(ms, size) {
			se.counters.dropped(ms)
		}
		return
	}
	if !se.control.put(ms, size) {
		se.close(ClosedSlowPeer)
	}
}

func (st *stream) put(ms *wire.Control, size int) bool {
	if waits := st.waits.Load(); waits > 0 && waits+int64(size) > queuedBytes {
		return false
	}
	select {
	case st.out <- queued{message: ms, size: size}:
		st.waits.Add(int64(size))
		return true
	default:
		return false
	}
}

// finish ends the session once what was queued before is written.
func (se *Session) finish() {
	if se.finishing {
		return
	}
	se.finishing = true
	select {
	case se.control.out <- queued{}:
	default:
		se.close(ClosedOnPurpose)
	}
}

// run passes messages until the session ends; heard may block.
func (se *Session) run(ctx context.Context, budget *rate.Limiter, heard func(ms *wire.Control)) {
	stop := context.AfterFunc(ctx, func() { se.close(ClosedShutdown) })
	defer stop()
	ctx, cancel := context.WithCancel(ctx)
	var done sync.WaitGroup
	done.Go(func() { se.writeControl(ctx) })
	done.Go(func() { se.writeBulk(ctx, budget) })
	done.Go(func() { se.readLoop(se.bulk, heard) })
	se.readLoop(se.control, heard)
	cancel()
	_ = se.mux.Close()
	done.Wait()
	se.joined()
}

func (se *Session) readLoop(st *stream, heard func(ms *wire.Control)) {
	for {
		ms, err := se.read(st, maxControlBytes)
		if err != nil {
			se.close(endedBy(err))
			return
		}
		heard(ms)
	}
}

func endedBy(err error) ClosedReason {
	switch reasonOf(err) {
	case RefusedOversize, RefusedMalformed:
		return ClosedBadFrame
	}
	return ClosedByPeer
}

func (se *Session) writeControl(ctx context.Context) {
	join := time.NewTimer(joinFor)
	defer join.Stop()
	for {
		select {
		case qu := <-se.control.out:
			if qu.message == nil {
				se.farewell(ctx)
				return
			}
			if err := se.write(qu.message); err != nil {
				se.close(ClosedByPeer)
				return
			}
			se.control.waits.Add(-int64(qu.size))
		case <-join.C:
			se.joined()
		case <-ctx.Done():
			return
		}
	}
}

// farewell ends the stream and lets the peer end the connection.
func (se *Session) farewell(ctx context.Context) {
	_ = se.control.conn.Close()
	ti := time.NewTimer(finishFor)
	defer ti.Stop()
	select {
	case <-ctx.Done():
	case <-ti.C:
	}
	se.close(ClosedOnPurpose)
}

func (se *Session) writeBulk(ctx context.Context, budget *rate.Limiter) {
	for {
		select {
		case qu := <-se.bulk.out:
			if err := se.writePieces(ctx, budget, qu.message); err != nil {
				se.close(ClosedByPeer)
				return
			}
			se.bulk.waits.Add(-int64(qu.size))
		case <-ctx.Done():
			return
		}
	}
}

// writePieces sends a large message in pieces, so that small messages and
// probes go between them.
func (se *Session) writePieces(ctx context.Context, budget *rate.Limiter, ms *wire.Control) error {
	data, err := appendMessage(nil, ms)
	if err != nil {
		return err
	}
	se.counters.message(DirectionOut, ms, len(data))
	for len(data) > 0 {
		piece := data[:min(len(data), bulkBytes)]
		if err := budget.WaitN(ctx, len(piece)); err != nil {
			return err
		}
		if _, err := se.bulk.conn.Write(piece); err != nil {
			return err
		}
		data = data[len(piece):]
	}
	return nil
}
