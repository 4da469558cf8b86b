package node

import (
	"encoding/binary"
	"io"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"lynxfold/core/wire"
)

const (
	// beatEvery is the time between two signs of life of a gate that runs a call.
	beatEvery = 250 * time.Millisecond
	// followAfter is how long a call runs before its end of the lane is read on,
	// for a cancel.
	followAfter = 10 * time.Millisecond
	// silentAfter is how long a lane with a call on it may bring nothing.
	silentAfter = 800 * time.Millisecond
	// keptBufferBytes bounds the buffers that a lane keeps, in bytes.
	keptBufferBytes = 128 << 10
)

// lane is one kept connection that carries one call at a time. One goroutine
// reads from it; writes may come from several.
type lane struct {
	co     *Conn
	idleTo time.Time
	in     []byte

	mu  sync.Mutex // guards writing
	out []byte
}

// write sends one frame.
func (la *lane) write(fr *wire.Frame) error {
	la.mu.Lock()
	defer la.mu.Unlock()
	return la.writeLocked(fr)
}

func (la *lane) writeLocked(fr *wire.Frame) error {
	out, err := appendMessage(la.out[:0], fr)
	if err != nil {
		return err
	}
	if cap(out) <= keptBufferBytes {
		la.out = out
	}
	_, err = la.co.Write(out)
	return err
}

// read returns the next frame.
func (la *lane) read() (*wire.Frame, error) {
	head, err := la.co.Reader.Peek(lengthBytes)
	if err != nil {
		return nil, err
	}
	size := int(binary.BigEndian.Uint32(head))
	if size > maxFrameBytes {
		return nil, &OversizeError{Length: size, Limit: maxFrameBytes}
	}
	if _, err := la.co.Reader.Discard(lengthBytes); err != nil {
		return nil, err
	}
	data := la.buffer(size)
	if _, err := io.ReadFull(la.co.Reader, data); err != nil {
		return nil, err
	}
	fr := &wire.Frame{}
	if err := proto.Unmarshal(data, fr); err != nil {
		return nil, &MalformedError{Err: err}
	}
	return fr, nil
}

// buffer returns a buffer for one frame; it is valid until the next one.
func (la *lane) buffer(size int) []byte {
	if size > keptBufferBytes {
		return make([]byte, size)
	}
	if cap(la.in) < size {
		la.in = make([]byte, max(size, 4<<10))
	}
	return la.in[:size]
}

// readAlive returns the next frame that is not a sign of life; a lane that
// brings nothing for too long fails.
func (la *lane) readAlive() (*wire.Frame, error) {
	for {
		fr, err := la.readWithin(silentAfter)
		if err != nil || fr.GetKind() != nil {
			return fr, err
		}
	}
}

// readWithin returns the next frame, if it comes in time.
func (la *lane) readWithin(within time.Duration) (*wire.Frame, error) {
	if err := la.co.SetReadDeadline(time.Now().Add(within)); err != nil {
		return nil, err
	}
	return la.read()
}

// sendBody sends a body in pieces and closes it; one that can't be read to its
// end is marked aborted.
func (la *lane) sendBody(body io.ReadCloser) error {
	defer func() { _ = body.Close() }()
	buf := pieces.Get().(*[pieceBytes]byte)
	defer pieces.Put(buf)
	for {
		n, err := body.Read(buf[:])
		last := err == io.EOF
		if n > 0 || err != nil {
			if we := la.write(bodyFrame(buf[:n], last, err != nil && !last)); we != nil {
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

var pieces = sync.Pool{New: func() any { return new([pieceBytes]byte) }}

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

// close ends the lane at once; it waits for no goodbye.
func (la *lane) close() { _ = la.co.raw.Close() }

// TruncatedError reports a body that its sender could not complete.
type TruncatedError struct{}

func (er *TruncatedError) Error() string { return "body was cut short by its sender" }
