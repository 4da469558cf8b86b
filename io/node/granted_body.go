package node

import (
	"io"
	"sync"
)

// grantedBody is a request body of which only the granted bytes are read.
type grantedBody struct {
	io.ReadCloser

	mu      sync.Mutex
	granted int64
	closed  bool
	changed sync.Cond
}

func newGrantedBody(body io.ReadCloser) *grantedBody {
	gb := &grantedBody{ReadCloser: body}
	gb.changed.L = &gb.mu
	return gb
}

// grant allows further bytes to be read.
func (gb *grantedBody) grant(bytes int64) {
	gb.mu.Lock()
	defer gb.mu.Unlock()
	gb.granted += bytes
	gb.changed.Broadcast()
}

// Read reads granted bytes; it waits until there are any.
func (gb *grantedBody) Read(buf []byte) (int, error) {
	gb.mu.Lock()
	for gb.granted == 0 && !gb.closed {
		gb.changed.Wait()
	}
	allowed, closed := gb.granted, gb.closed
	gb.mu.Unlock()
	if closed {
		return 0, &TruncatedError{}
	}
	n, err := gb.ReadCloser.Read(buf[:min(int64(len(buf)), allowed)])
	gb.mu.Lock()
	gb.granted -= int64(n)
	gb.mu.Unlock()
	return n, err
}

// Close closes the body; a blocked Read fails.
func (gb *grantedBody) Close() error {
	gb.mu.Lock()
	gb.closed = true
	gb.changed.Broadcast()
	gb.mu.Unlock()
	return gb.ReadCloser.Close()
}
