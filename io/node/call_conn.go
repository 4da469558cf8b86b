package node

import (
	"encoding/binary"
	"io"
	"net"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"lynxfold/core/wire"
)

const (
	// heartbeatInterval is the time between the heartbeats of a gate that runs a call.
	heartbeatInterval = 250 * time.Millisecond
	// readerHandoffDelay is how long a call runs before another goroutine starts to read
	// its connection, so that a Cancel frame is received while the call runs.
	readerHandoffDelay = 10 * time.Millisecond
	// heartbeatTimeout is how long a connection may receive nothing during a call.
	heartbeatTimeout = 800 * time.Millisecond
	// maxKeptBufferBytes limits each buffer that a connection keeps for reuse.
	maxKeptBufferBytes = 128 << 10
)

// callConn is a reusable connection that carries one call at a time. Only one
// goroutine reads from it at a time; several may write.
type callConn struct {
	co        *Conn
	idleUntil time.Time
	readBuf   []byte
	// readTimeout limits the wait for each part of a frame; 0 means no limit.
	readTimeout time.Duration
	// partialFrame is the frame that has arrived in part, up to arrivedBytes; nil if there
	// is none. A read that fails with a timeout can be continued.
	partialFrame []byte
	arrivedBytes int
	// borrowsBodies says that the data of a body frame is valid until the next read only, so
	// that a long body leaves no garbage.
	borrowsBodies bool

	mu       sync.Mutex // guards writeBuf and writes to co
	writeBuf []byte
}

// writeFrame writes one frame.
func (cc *callConn) writeFrame(fr *wire.Frame) error {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	return cc.writeFrameLocked(fr)
}

func (cc *callConn) writeFrameLocked(fr *wire.Frame) error {
	out, err := appendMessage(cc.writeBuf[:0], fr)
	if err != nil {
		return err
	}
	if cap(out) <= maxKeptBufferBytes {
		cc.writeBuf = out
	}
	_, err = cc.co.Write(out)
	return err
}

// readFrame returns the next frame.
func (cc *callConn) readFrame() (*wire.Frame, error) {
	if cc.partialFrame == nil {
		if err := cc.readLength(); err != nil {
			return nil, err
		}
	}
	if err := cc.readParts(); err != nil {
		return nil, err
	}
	data := cc.partialFrame
	cc.partialFrame = nil
	if cc.borrowsBodies {
		if fr, ok := borrowBody(data); ok {
			return fr, nil
		}
	}
	fr := &wire.Frame{}
	if err := proto.Unmarshal(data, fr); err != nil {
		return nil, &MalformedError{Err: err}
	}
	return fr, nil
}

// readLength reads the length of the next frame.
func (cc *callConn) readLength() error {
	head, err := cc.co.Reader.Peek(lengthPrefixBytes)
	if err != nil {
		return err
	}
	size := int(binary.BigEndian.Uint32(head))
	if size > maxFrameBytes {
		return &OversizeError{Length: size, Limit: maxFrameBytes}
	}
	if _, err := cc.co.Reader.Discard(lengthPrefixBytes); err != nil {
		return err
	}
	cc.partialFrame = cc.frameBuffer(size)
	cc.arrivedBytes = 0
	return nil
}

// readParts reads the rest of a frame. A frame that keeps arriving shows that the connection
// works, however long it takes: the timeout begins anew with each part.
func (cc *callConn) readParts() error {
	for cc.arrivedBytes < len(cc.partialFrame) {
		if cc.readTimeout > 0 && cc.co.Reader.Buffered() == 0 {
			if err := cc.co.SetReadDeadline(time.Now().Add(cc.readTimeout)); err != nil {
				return err
			}
		}
		n, err := cc.co.Reader.Read(cc.partialFrame[cc.arrivedBytes:])
		cc.arrivedBytes += n
		if err != nil {
			return err
		}
	}
	return nil
}

// awaitByte waits until something can be read.
func (cc *callConn) awaitByte(timeout time.Duration) error {
	if err := cc.co.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	_, err := cc.co.Reader.Peek(1)
	return err
}

// frameBuffer returns a buffer for one frame; the next frame may reuse it.
func (cc *callConn) frameBuffer(size int) []byte {
	if size > maxKeptBufferBytes {
		return make([]byte, size)
	}
	if cap(cc.readBuf) < size {
		cc.readBuf = make([]byte, max(size, 4<<10))
	}
	return cc.readBuf[:size]
}

// readNonHeartbeat returns the next frame that is not a heartbeat; it fails when nothing
// arrives for heartbeatTimeout.
func (cc *callConn) readNonHeartbeat() (*wire.Frame, error) {
	for {
		fr, err := cc.readFrameWithin(heartbeatTimeout)
		if err != nil || fr.GetKind() != nil {
			return fr, err
		}
	}
}

// readFrameWithin returns the next frame; it fails when nothing arrives for the timeout.
func (cc *callConn) readFrameWithin(timeout time.Duration) (*wire.Frame, error) {
	cc.readTimeout = timeout
	if err := cc.co.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return nil, err
	}
	return cc.readFrame()
}

// sendBody sends a body in chunks and closes it; when reading the body fails, the last
// frame is marked as aborted.
func (cc *callConn) sendBody(body io.ReadCloser) error {
	defer func() { _ = body.Close() }()
	buf := chunkPool.Get().(*[chunkBytes]byte)
	defer chunkPool.Put(buf)
	for {
		n, err := body.Read(buf[:])
		last := err == io.EOF
		if n > 0 || err != nil {
			if we := cc.writeFrame(bodyFrame(buf[:n], last, err != nil && !last)); we != nil {
				return we
			}
		}
		if last {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

var chunkPool = sync.Pool{New: func() any { return new([chunkBytes]byte) }}

func bodyFrame(data []byte, last, aborted bool) *wire.Frame {
	return &wire.Frame{
		Kind: &wire.Frame_Body{
			Body: &wire.Body{
				Data:    data,
				Last:    last,
				Aborted: aborted,
			},
		},
	}
}

// close closes the TCP connection immediately, without a TLS close alert.
func (cc *callConn) close() { _ = cc.co.raw.Close() }

// closeWrite ends the sending direction after what was written.
func (cc *callConn) closeWrite() {
	if tc, ok := cc.co.raw.(*net.TCPConn); ok {
		_ = tc.CloseWrite()
	}
}

// reset closes the TCP connection and discards what the peer has not received yet.
func (cc *callConn) reset() {
	if tc, ok := cc.co.raw.(*net.TCPConn); ok {
		_ = tc.SetLinger(0)
	}
	cc.close()
}

// TruncatedError reports a body that ended before it was complete.
type TruncatedError struct{}

func (er *TruncatedError) Error() string { return "body was truncated" }
