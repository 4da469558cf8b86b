package caller

import (
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// IncompleteBodyError reports a request body that ended before its length.
type IncompleteBodyError struct {
	Length   int64
	Received int64
}

func (er *IncompleteBodyError) Error() string {
	return fmt.Sprintf("request body ended after %d of %d bytes", er.Received, er.Length)
}

// BodyTooLargeError reports a request body without a length that is too large.
type BodyTooLargeError struct {
	Limit int64
}

func (er *BodyTooLargeError) Error() string {
	return fmt.Sprintf("request body has more than %d bytes", er.Limit)
}

// MalformedBodyError reports a request body that is not sent as HTTP/1.1 asks.
type MalformedBodyError struct {
	Cause error
}

func (er *MalformedBodyError) Error() string { return "request body is malformed: " + er.Cause.Error() }

// Unwrap returns the cause.
func (er *MalformedBodyError) Unwrap() error { return er.Cause }

// BodyClosedError reports a body that is read after its attempt has ended.
type BodyClosedError struct{}

func (er *BodyClosedError) Error() string { return "request body is not wanted any more" }

// streamedBody is a caller's request body while it arrives. It is read by one attempt.
type streamedBody struct {
	conn   *conn
	stream io.Reader
	// length is -1 when the caller did not say it.
	length int64
	limit  int64

	mu          sync.Mutex
	received    int64
	readStarted bool
	// err is why reading ended; io.EOF when the body is whole.
	err error
	// done is closed when reading has ended.
	done chan struct{}
}

// read reads on; only a whole body ends with io.EOF.
func (bo *streamedBody) read(buf []byte) (int, error) {
	n, err := bo.stream.Read(buf)
	bo.mu.Lock()
	defer bo.mu.Unlock()
	bo.received += int64(n)
	switch {
	case bo.received > bo.limit:
		err = &BodyTooLargeError{Limit: bo.limit}
	case err == io.EOF && bo.length >= 0 && bo.received < bo.length:
		err = &IncompleteBodyError{
			Length:   bo.length,
			Received: bo.received,
		}
	case err != nil && !isConnectionError(err):
		err = &MalformedBodyError{Cause: err}
	}
	if err != nil && bo.err == nil {
		close(bo.done)
	}
	if err != nil {
		bo.err = err
	}
	return n, err
}

// isConnectionError tells whether reading ended with the caller's connection, or
// with the time for it, and not with bytes that can't be read.
func isConnectionError(err error) bool {
	var ne net.Error
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &ne)
}

// notStarted tells whether the body can still be sent to an upstream.
func (bo *streamedBody) notStarted() bool {
	bo.mu.Lock()
	defer bo.mu.Unlock()
	return !bo.readStarted
}

// ended tells whether nothing more will be read.
func (bo *streamedBody) ended() bool {
	bo.mu.Lock()
	defer bo.mu.Unlock()
	return bo.err != nil
}

// complete tells whether the body was read to its end.
func (bo *streamedBody) complete() bool {
	bo.mu.Lock()
	defer bo.mu.Unlock()
	return errors.Is(bo.err, io.EOF)
}

// readError is why the body could not be read to its end; nil when that is not so.
func (bo *streamedBody) readError() error {
	bo.mu.Lock()
	defer bo.mu.Unlock()
	if errors.Is(bo.err, io.EOF) {
		return nil
	}
	return bo.err
}

// attemptReader is the body as one attempt reads it.
func (bo *streamedBody) attemptReader() io.ReadCloser { return &attemptBody{body: bo} }

// attemptBody can be stopped while a Read waits for the caller.
type attemptBody struct {
	body   *streamedBody
	mu     sync.Mutex
	closed bool
}

// Read reads on.
func (ab *attemptBody) Read(buf []byte) (int, error) {
	ab.mu.Lock()
	if ab.closed {
		ab.mu.Unlock()
		return 0, &BodyClosedError{}
	}
	ab.body.mu.Lock()
	ab.body.readStarted = true
	ab.body.mu.Unlock()
	ab.mu.Unlock()
	return ab.body.read(buf)
}

// Close ends a Read that waits. What is left of a body that was begun can't be
// read any more.
func (ab *attemptBody) Close() error {
	ab.mu.Lock()
	defer ab.mu.Unlock()
	if ab.closed {
		return nil
	}
	ab.closed = true
	if ab.body.notStarted() || ab.body.ended() {
		return nil
	}
	ab.body.conn.unread.Store(true)
	return ab.body.conn.SetReadDeadline(time.Unix(1, 0))
}
