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
	// sendQueueLength limits the messages queued on each stream of a session.
	sendQueueLength = 512
	// maxQueuedBytes limits the bytes queued on each stream of a session. An empty
	// queue accepts a message of any size.
	maxQueuedBytes = 4 << 20
	// bulkThresholdBytes is the size from which a message uses the bulk stream, and
	// the size of the chunks that the bulk stream writes.
	bulkThresholdBytes = 16 << 10
	// socketSendBufferBytes limits the kernel send buffer of a control link, so that
	// probes do not wait long behind a large message.
	socketSendBufferBytes = 128 << 10
	// acceptBacklog limits the streams that a peer has opened and this node has not
	// accepted.
	acceptBacklog = 4
	// joinSlotTimeout is how long a new link occupies a join slot.
	joinSlotTimeout = time.Second
	// closeTimeout limits the wait for the peer to close the connection of a link
	// that this node closes gracefully.
	closeTimeout = time.Second
)

// Session is one control link: a control stream for small messages and probes, and a bulk
// stream for large messages. LinksConfig.ResyncBytesPerSecond limits the rate of the bulk
// streams of all sessions together.
type Session struct {
	peer host.ID
	// address is the one in the peer's hello; a replacement link is opened to it.
	address string
	// bytesAtHello is the number of bytes read up to the end of the peer's hello.
	bytesAtHello uint64
	raw          net.Conn
	mux          *yamux.Session
	control      *stream
	bulk         *stream
	conn         *countingConn
	closeOnce    sync.Once
	backlog      atomic.Pointer[Backlog]
	counters     *Counters
	// releaseJoinSlot frees the join slot that the session occupies, if any.
	releaseJoinSlot func()

	// Once the session is open, only the control goroutine uses the fields below,
	// except reason.
	detector    *link.Detector
	incarnation host.Incarnation
	// bytesSeen is the number of bytes read up to the last tick.
	bytesSeen uint64
	// silent is set when a probe has timed out and the session is being replaced.
	silent bool
	// reason is why the session was closed; empty while it is open.
	reason atomic.Value
	// replacement is set when the session was opened to replace a silent one.
	replacement bool
	// closing is set when the session closes after its queued small messages.
	closing bool
	// retireAt is when a redundant session is closed; zero for others.
	retireAt time.Time
}

// stream is one yamux stream of a session with its send queue.
type stream struct {
	conn        net.Conn
	reader      *bufio.Reader
	queue       chan queuedMessage
	queuedBytes atomic.Int64
}

// queuedMessage is a message in a send queue; its size is in bytes. In the queue of the
// control stream, a nil message closes the session.
type queuedMessage struct {
	message  *wire.Control
	size     int
	queuedAt time.Time
}

// Backlog is what waited on the control stream of a session whose queue was full.
type Backlog struct {
	// Kinds counts the messages by kind.
	Kinds map[string]int
	Bytes int64
	// OldestAt is when the message that waited longest was queued.
	OldestAt time.Time
}

// countingConn counts the bytes read from a connection.
type countingConn struct {
	*Conn
	bytesRead atomic.Uint64
}

// Read reads from the connection and counts the bytes.
func (cn *countingConn) Read(buf []byte) (int, error) {
	n, err := cn.Conn.Read(buf)
	cn.bytesRead.Add(uint64(n))
	return n, err
}

func newStream(co net.Conn) *stream {
	return &stream{
		conn:   co,
		reader: bufio.NewReader(co),
		queue:  make(chan queuedMessage, sendQueueLength),
	}
}

func muxConfig() *yamux.Config {
	cfg := yamux.DefaultConfig()
	cfg.EnableKeepAlive = false // core/link sends probes instead
	cfg.LogOutput = io.Discard
	cfg.StreamOpenTimeout = 0
	cfg.StreamCloseTimeout = closeTimeout
	cfg.AcceptBacklog = acceptBacklog
	return cfg
}

// limitSendBuffer limits the kernel send buffer of a TCP connection.
func limitSendBuffer(raw net.Conn) {
	if tc, ok := raw.(*net.TCPConn); ok {
		_ = tc.SetWriteBuffer(socketSendBufferBytes)
	}
}

// openSession opens the streams on a connection that this node has dialled.
func openSession(co *Conn, counters *Counters) (*Session, error) {
	limitSendBuffer(co.raw)
	cn := &countingConn{Conn: co}
	mux, err := yamux.Client(cn, muxConfig())
	if err != nil {
		return nil, err
	}
	return newSession(cn, mux, mux.Open, counters)
}

// acceptSession accepts the streams on a connection that a peer has dialled.
func acceptSession(co *Conn, counters *Counters) (*Session, error) {
	limitSendBuffer(co.raw)
	cn := &countingConn{Conn: co}
	mux, err := yamux.Server(cn, muxConfig())
	if err != nil {
		return nil, err
	}
	return newSession(cn, mux, mux.Accept, counters)
}

// newSession builds a session; next opens or accepts a stream.
func newSession(cn *countingConn, mux *yamux.Session, next func() (net.Conn, error), counters *Counters) (*Session, error) {
	se := &Session{
		raw:             cn.raw,
		mux:             mux,
		conn:            cn,
		counters:        counters,
		releaseJoinSlot: func() {},
	}
	for _, dest := range []**stream{&se.control, &se.bulk} {
		co, err := next()
		if err != nil {
			se.closeUnused()
			return nil, err
		}
		*dest = newStream(co)
	}
	return se, nil
}

// closeUnused closes a session that has not been run.
func (se *Session) closeUnused() {
	_ = se.raw.Close()
	_ = se.mux.Close()
}

// close closes the session immediately, without blocking. Only the first call
// has an effect and sets the reason.
func (se *Session) close(reason ClosedReason) {
	se.closeOnce.Do(func() {
		se.counters.closed(reason)
		se.reason.Store(string(reason))
		_ = se.raw.Close() // yamux ends on the read error
	})
}

// Peer returns the host at the other end.
func (se *Session) Peer() host.ID { return se.peer }

// Reason returns why the session was closed; it is empty while the session is open.
func (se *Session) Reason() ClosedReason {
	reason, _ := se.reason.Load().(string)
	return ClosedReason(reason)
}

// write writes one message to the control stream, without queueing.
func (se *Session) write(ms *wire.Control) error {
	data, err := appendMessage(nil, ms)
	if err != nil {
		return err
	}
	se.counters.message(DirectionOut, ms, len(data))
	_, err = se.control.conn.Write(data)
	return err
}

// read reads one message of at most limit bytes.
func (se *Session) read(st *stream, limit int) (*wire.Control, error) {
	ms := &wire.Control{}
	size, err := readMessageSize(st.reader, ms, limit)
	if err != nil {
		return nil, err
	}
	se.counters.message(DirectionIn, ms, size)
	return ms, nil
}

// send queues a message. When the queue for small messages is full, the session is
// closed as the peer is too slow; when the bulk queue is full, only the message is
// dropped.
func (se *Session) send(ms *wire.Control) {
	size := proto.Size(ms)
	if size >= bulkThresholdBytes {
		if !se.bulk.enqueue(ms, size) {
			se.counters.dropped(ms)
		}
		return
	}
	if !se.control.enqueue(ms, size) {
		se.backlog.CompareAndSwap(nil, se.control.takeBacklog())
		se.close(ClosedSlowPeer)
	}
}

// Backlog returns what waited when the session was closed as the peer is too slow, or nil.
func (se *Session) Backlog() *Backlog { return se.backlog.Load() }

// takeBacklog removes all messages from the queue.
func (st *stream) takeBacklog() *Backlog {
	bl := &Backlog{
		Kinds: map[string]int{},
		Bytes: st.queuedBytes.Load(),
	}
	for {
		select {
		case qm := <-st.queue:
			if qm.message == nil {
				continue
			}
			bl.Kinds[kindOf(qm.message)]++
			if bl.OldestAt.IsZero() {
				bl.OldestAt = qm.queuedAt
			}
		default:
			return bl
		}
	}
}

// enqueue adds a message to the send queue; it returns false when the queue is full.
func (st *stream) enqueue(ms *wire.Control, size int) bool {
	if waiting := st.queuedBytes.Load(); waiting > 0 && waiting+int64(size) > maxQueuedBytes {
		return false
	}
	select {
	case st.queue <- queuedMessage{message: ms, size: size, queuedAt: time.Now()}:
		st.queuedBytes.Add(int64(size))
		return true
	default:
		return false
	}
}

// closeAfterFlush closes the session after the messages queued on the control stream are
// written.
func (se *Session) closeAfterFlush() {
	if se.closing {
		return
	}
	se.closing = true
	select {
	case se.control.queue <- queuedMessage{}:
	default:
		se.close(ClosedOnPurpose)
	}
}

// run sends and receives messages until the session is closed; onMessage may block.
func (se *Session) run(ctx context.Context, limiter *rate.Limiter, onMessage func(ms *wire.Control)) {
	stop := context.AfterFunc(ctx, func() { se.close(ClosedShutdown) })
	defer stop()
	ctx, cancel := context.WithCancel(ctx)
	var done sync.WaitGroup
	done.Go(func() { se.writeControl(ctx) })
	done.Go(func() { se.writeBulk(ctx, limiter) })
	done.Go(func() { se.readLoop(se.bulk, onMessage) })
	se.readLoop(se.control, onMessage)
	cancel()
	_ = se.mux.Close()
	done.Wait()
	se.releaseJoinSlot()
}

func (se *Session) readLoop(st *stream, onMessage func(ms *wire.Control)) {
	for {
		ms, err := se.read(st, maxControlBytes)
		if err != nil {
			se.close(closedReason(err))
			return
		}
		onMessage(ms)
	}
}

// closedReason classifies a read error that ended a session.
func closedReason(err error) ClosedReason {
	switch reasonOf(err) {
	case RefusedOversize, RefusedMalformed:
		return ClosedBadFrame
	}
	return ClosedByPeer
}

func (se *Session) writeControl(ctx context.Context) {
	join := time.NewTimer(joinSlotTimeout)
	defer join.Stop()
	for {
		select {
		case qm := <-se.control.queue:
			if qm.message == nil {
				se.awaitPeerClose(ctx)
				return
			}
			if err := se.write(qm.message); err != nil {
				se.close(ClosedByPeer)
				return
			}
			se.control.queuedBytes.Add(-int64(qm.size))
		case <-join.C:
			se.releaseJoinSlot()
		case <-ctx.Done():
			return
		}
	}
}

// awaitPeerClose closes the control stream and waits for the peer to close the
// connection, for closeTimeout at most.
func (se *Session) awaitPeerClose(ctx context.Context) {
	_ = se.control.conn.Close()
	ti := time.NewTimer(closeTimeout)
	defer ti.Stop()
	select {
	case <-ctx.Done():
	case <-ti.C:
	}
	se.close(ClosedOnPurpose)
}

func (se *Session) writeBulk(ctx context.Context, limiter *rate.Limiter) {
	for {
		select {
		case qm := <-se.bulk.queue:
			if err := se.writeChunks(ctx, limiter, qm.message); err != nil {
				se.close(ClosedByPeer)
				return
			}
			se.bulk.queuedBytes.Add(-int64(qm.size))
		case <-ctx.Done():
			return
		}
	}
}

// writeChunks writes a large message in chunks, so that the small messages and probes of
// the control stream are sent in between.
func (se *Session) writeChunks(ctx context.Context, limiter *rate.Limiter, ms *wire.Control) error {
	data, err := appendMessage(nil, ms)
	if err != nil {
		return err
	}
	se.counters.message(DirectionOut, ms, len(data))
	for len(data) > 0 {
		chunk := data[:min(len(data), bulkThresholdBytes)]
		if err := limiter.WaitN(ctx, len(chunk)); err != nil {
			return err
		}
		if _, err := se.bulk.conn.Write(chunk); err != nil {
			return err
		}
		data = data[len(chunk):]
	}
	return nil
}
