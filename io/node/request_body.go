package node

import (
	"io"
	"sync"
	"time"

	"lynxfold/core/wire"
)

// requestBody is a request body that arrives in frames.
type requestBody struct {
	// onFirstRead asks the sender for the body; it is called by the first Read.
	onFirstRead func()
	firstRead   sync.Once
	chunks      chan *wire.Body
	closed      chan struct{}
	closeOnce   sync.Once
	// onClose is called by the first Close.
	onClose func()
	// backlog returns how long other bodies take to arrive before this one.
	backlog  func() time.Duration
	chunk    []byte
	complete bool
	aborted  bool
}

func newRequestBody(onFirstRead, onClose func(), backlog func() time.Duration) *requestBody {
	return &requestBody{
		onFirstRead: onFirstRead,
		onClose:     onClose,
		backlog:     backlog,
		chunks:      make(chan *wire.Body, chunkQueueLength),
		closed:      make(chan struct{}),
	}
}

// Backlog implements upstream.QueuedBody.
func (rb *requestBody) Backlog() time.Duration { return rb.backlog() }

// push passes a chunk to the reader. It blocks while the queue is full, and drops the
// chunk when the body is closed.
func (rb *requestBody) push(bo *wire.Body) {
	select {
	case rb.chunks <- bo:
	case <-rb.closed:
	}
}

// Read reads the body; it returns io.EOF only at the end of a complete body, and a
// TruncatedError otherwise.
func (rb *requestBody) Read(buf []byte) (int, error) {
	rb.firstRead.Do(rb.onFirstRead)
	for len(rb.chunk) == 0 {
		if rb.complete {
			return 0, io.EOF
		}
		if rb.aborted {
			return 0, &TruncatedError{}
		}
		select {
		case bo := <-rb.chunks:
			rb.chunk = bo.GetData()
			rb.complete = bo.GetLast()
			rb.aborted = bo.GetAborted()
		case <-rb.closed:
			return 0, &TruncatedError{}
		}
	}
	n := copy(buf, rb.chunk)
	rb.chunk = rb.chunk[n:]
	return n, nil
}

// Close makes a blocked Read fail; chunks that arrive later are dropped.
func (rb *requestBody) Close() error {
	rb.closeOnce.Do(func() {
		close(rb.closed)
		rb.onClose()
	})
	return nil
}

// isClosed reports whether Close was called.
func (rb *requestBody) isClosed() bool {
	select {
	case <-rb.closed:
		return true
	default:
		return false
	}
}
