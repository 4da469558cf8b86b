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

// DefaultBufferBytes limits the buffered bodies of a host where nothing else is set.
const DefaultBufferBytes = 64 << 20

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

// maxUnframedBytes bounds the responses that end with their connection.
const maxUnframedBytes = 8 << 20

// bufferedBody is a response body that is buffered until its end is known.
type bufferedBody struct {
	budget *ByteBudget
	// chunks hold the body; all but the last one are full.
	chunks []*copyBuffer
	length int
	// offset is how much of the body has been read.
	offset int
	once   sync.Once
}

// grow makes room for further bytes, and reports whether there is room.
func (bb *bufferedBody) grow() bool {
	if bb.length < len(bb.chunks)*copyBufferBytes {
		return true
	}
	if bb.length+copyBufferBytes > maxUnframedBytes || !bb.budget.Take(copyBufferBytes) {
		return false
	}
	bb.chunks = append(bb.chunks, copyBuffers.Get().(*copyBuffer))
	return true
}

// readFrom appends what one read returns.
func (bb *bufferedBody) readFrom(rd io.Reader) error {
	last := bb.chunks[len(bb.chunks)-1]
	n, err := rd.Read(last[bb.length%copyBufferBytes:])
	bb.length += n
	return err
}

// Read implements io.Reader.
func (bb *bufferedBody) Read(buf []byte) (int, error) {
	if bb.offset >= bb.length {
		return 0, io.EOF
	}
	chunk := bb.chunks[bb.offset/copyBufferBytes]
	end := min(copyBufferBytes, bb.length-bb.offset/copyBufferBytes*copyBufferBytes)
	n := copy(buf, chunk[bb.offset%copyBufferBytes:end])
	bb.offset += n
	return n, nil
}

// Close implements io.Closer. Nothing may be read afterwards.
func (bb *bufferedBody) Close() error {
	bb.release()
	return nil
}

// release returns the buffers and their bytes to the budget.
func (bb *bufferedBody) release() {
	bb.once.Do(func() {
		bb.budget.Give(int64(len(bb.chunks)) * copyBufferBytes)
		for _, cb := range bb.chunks {
			copyBuffers.Put(cb)
		}
		bb.chunks = nil
		bb.length = 0
	})
}
