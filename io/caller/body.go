package caller

import (
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// ShortBodyError reports a request body that ended before its length.
type ShortBodyError struct {
	Length int64
	Got    int64
}

func (er *ShortBodyError) Error() string {
	return fmt.Sprintf("request body ended after %d of %d bytes", er.Got, er.Length)
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

// BodyStoppedError reports a body that is read after its attempt has ended.
type BodyStoppedError struct{}

func (er *BodyStoppedError) Error() string { return "request body is not wanted any more" }

// body is a caller's request body while it arrives. It is read by one attempt.
type body struct {
	conn   *conn
	stream io.Reader
	// length is -1 when the caller did not say it.
	length int64
	limit  int64

	mu    sync.Mutex
	got   int64
	taken bool
	// err is why reading ended; io.EOF when the body is whole.
	err error
	// over is closed when reading has ended.
	over chan struct{}
}

// read reads on; only a whole body ends with io.EOF.
func (bo *body) read(buf []byte) (int, error) {
	n, err := bo.stream.Read(buf)
	bo.mu.Lock()
	defer bo.mu.Unlock()
	bo.got += int64(n)
	switch {
	case bo.got > bo.limit:
		err = &BodyTooLargeError{Limit: bo.limit}
	case err == io.EOF && bo.length >= 0 && bo.got < bo.length:
		err = &ShortBodyError{
			Length: bo.length,
			Got:    bo.got,
		}
	case err != nil && !connectionEnded(err):
		err = &MalformedBodyError{Cause: err}
	}
	if err != nil && bo.err == nil {
		close(bo.over)
	}
	if err != nil {
		bo.err = err
	}
	return n, err
}

// connectionEnded tells whether reading ended with the caller's connection, or
// with the time for it, and not with bytes that can't be read.
func connectionEnded(err error) bool {
	var ne net.Error
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &ne)
}

// untouched tells whether the body can still be sent to an upstream.
func (bo *body) untouched() bool {
	bo.mu.Lock()
	defer bo.mu.Unlock()
	return !bo.taken
}

// ended tells whether nothing more will be read.
func (bo *body) ended() bool {
	bo.mu.Lock()
	defer bo.mu.Unlock()
	return bo.err != nil
}

// whole tells whether the body was read to its end.
func (bo *body) whole() bool {
	bo.mu.Lock()
	defer bo.mu.Unlock()
	return errors.Is(bo.err, io.EOF)
}

// failure is why the body could not be read to its end; nil when that is not so.
func (bo *body) failure() error {
	bo.mu.Lock()
	defer bo.mu.Unlock()
	if errors.Is(bo.err, io.EOF) {
		return nil
	}
	return bo.err
}

// forAttempt is the body as one attempt reads it.
func (bo *body) forAttempt() io.ReadCloser { return &attemptBody{body: bo} }

// attemptBody can be stopped while a Read waits for the caller.
type attemptBody struct {
	body    *body
	mu      sync.Mutex
	stopped bool
}

// Read reads on.
func (ab *attemptBody) Read(buf []byte) (int, error) {
	ab.mu.Lock()
	if ab.stopped {
		ab.mu.Unlock()
		return 0, &BodyStoppedError{}
	}
	ab.body.mu.Lock()
	ab.body.taken = true
	ab.body.mu.Unlock()
	ab.mu.Unlock()
	return ab.body.read(buf)
}

// Close ends a Read that waits. What is left of a body that was begun can't be
// read any more.
func (ab *attemptBody) Close() error {
	ab.mu.Lock()
	defer ab.mu.Unlock()
	if ab.stopped {
		return nil
	}
	ab.stopped = true
	if ab.body.untouched() || ab.body.ended() {
		return nil
	}
	ab.body.conn.unread.Store(true)
	return ab.body.conn.SetReadDeadline(time.Unix(1, 0))
}
