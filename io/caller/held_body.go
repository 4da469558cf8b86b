package caller

import (
	"io"

	"github.com/cockroachdb/errors"

	"lynxfold/io/upstream"
)

const (
	// maxHeldAnswerBytes bounds an answer of unknown length that is received before it is
	// written.
	maxHeldAnswerBytes = 8 << 20
	// minHeldBytes is the smallest buffer for such an answer.
	minHeldBytes = 16 << 10
)

// errNoRoom says that there is no room to receive the rest of an answer.
var errNoRoom = errors.New("no room for the answer")

// heldBody is the body of an answer, of which a part may have been received before it is
// written.
type heldBody struct {
	io.ReadCloser
	received []byte
}

// Read implements io.Reader.
func (hb *heldBody) Read(buf []byte) (int, error) {
	if len(hb.received) > 0 {
		n := copy(buf, hb.received)
		hb.received = hb.received[n:]
		return n, nil
	}
	return hb.ReadCloser.Read(buf)
}

// receive receives the whole body; its length is negative if it is unknown. It returns the room
// that it has taken, and errNoRoom if there is not enough: the body can still be read then.
func (hb *heldBody) receive(length int, room *upstream.ByteBudget) (taken int64, err error) {
	if length >= 0 {
		if !room.Take(int64(length)) {
			return 0, errNoRoom
		}
		hb.received = make([]byte, length)
		_, err := io.ReadFull(hb.ReadCloser, hb.received)
		return int64(length), err
	}
	for {
		if len(hb.received) == cap(hb.received) {
			size := max(minHeldBytes, 2*cap(hb.received))
			more := int64(size - cap(hb.received))
			if size > maxHeldAnswerBytes || !room.Take(more) {
				return taken, errNoRoom
			}
			taken += more
			hb.received = append(make([]byte, 0, size), hb.received...)
		}
		n, err := hb.ReadCloser.Read(hb.received[len(hb.received):cap(hb.received)])
		hb.received = hb.received[:len(hb.received)+n]
		if errors.Is(err, io.EOF) {
			return taken, nil
		}
		if err != nil {
			return taken, err
		}
	}
}
