package upstream

import (
	"io"
	"sync"
	"sync/atomic"
)

// ByteBudget bounds the bytes that all calls of a host buffer together. It is safe for
// concurrent use.
type ByteBudget struct {
	limit int64
	used  atomic.Int64
}

// NewByteBudget returns a budget of a number of bytes.
func NewByteBudget(limit int64) *ByteBudget { return &ByteBudget{limit: limit} }

// Take reserves bytes; it returns false and reserves none if they exceed the budget.
func (bb *ByteBudget) Take(bytes int64) bool {
	if bb.used.Add(bytes) > bb.limit {
		bb.used.Add(-bytes)
		return false
	}
	return true
}

// Give returns reserved bytes.
func (bb *ByteBudget) Give(bytes int64) { bb.used.Add(-bytes) }

const (
	// maxUnframedBytes bounds the responses that end with their connection.
	maxUnframedBytes = 8 << 20
	// minBodyBuffer is the size with which the buffer of such a response begins; it
	// doubles whenever it is full.
	minBodyBuffer = 16 << 10
)

// bufferedBody is a response body that is buffered until its end is known.
type bufferedBody struct {
	budget *ByteBudget
	taken  int64
	data   []byte
	// unread is the part of the data that has not been read.
	unread []byte
	once   sync.Once
}

// grow makes room in the buffer if it is full, and reports whether there is room.
func (bb *bufferedBody) grow() bool {
	if len(bb.data) < cap(bb.data) {
		return true
	}
	more := max(minBodyBuffer, len(bb.data))
	if len(bb.data)+more > maxUnframedBytes || !bb.budget.Take(int64(more)) {
		return false
	}
	bb.taken += int64(more)
	bb.data = append(make([]byte, 0, len(bb.data)+more), bb.data...)
	return true
}

// readFrom appends what one read returns.
func (bb *bufferedBody) readFrom(rd io.Reader) error {
	n, err := rd.Read(bb.data[len(bb.data):cap(bb.data)])
	bb.data = bb.data[:len(bb.data)+n]
	bb.unread = bb.data
	return err
}

// Read implements io.Reader.
func (bb *bufferedBody) Read(buf []byte) (int, error) {
	if len(bb.unread) == 0 {
		return 0, io.EOF
	}
	n := copy(buf, bb.unread)
	bb.unread = bb.unread[n:]
	return n, nil
}

// Close implements io.Closer.
func (bb *bufferedBody) Close() error {
	bb.release()
	return nil
}

// release returns the bytes of the buffer to the budget.
func (bb *bufferedBody) release() {
	bb.once.Do(func() { bb.budget.Give(bb.taken) })
}
