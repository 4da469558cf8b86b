package caller

import (
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// IncompleteBodyError is returned when a request body ends before its declared
// length.
type IncompleteBodyError struct {
	Length   int64
	Received int64
}

func (er *IncompleteBodyError) Error() string {
	return fmt.Sprintf("request body ended after %d of %d bytes", er.Received, er.Length)
}

// BodyTooLargeError is returned when a request body without a declared length
// exceeds the limit.
type BodyTooLargeError struct {
	Limit int64
}

func (er *BodyTooLargeError) Error() string {
	return fmt.Sprintf("request body exceeds %d bytes", er.Limit)
}

// MalformedBodyError is returned when a request body violates the HTTP/1.1
// framing.
type MalformedBodyError struct {
	Cause error
}

func (er *MalformedBodyError) Error() string { return "request body is malformed: " + er.Cause.Error() }

// Unwrap returns the cause.
func (er *MalformedBodyError) Unwrap() error { return er.Cause }

// BodyClosedError is returned when a body is read after its attempt has ended.
type BodyClosedError struct{}

func (er *BodyClosedError) Error() string { return "request body read after its attempt ended" }

// streamedBody is a request body that is read from the caller's connection while
// an attempt forwards it. Only one attempt can read it.
type streamedBody struct {
	conn   *conn
	stream io.Reader
	// length is the declared length, or -1 if there is none.
	length int64
	limit  int64

	// prefix is the beginning of the body, received before the first attempt.
	prefix []byte

	mu sync.Mutex
	// unsent is the part of prefix that no attempt has read.
	unsent      []byte
	received    int64
	readStarted bool
	// err is the error that ended reading; io.EOF if the body is complete.
	err error
	// done is closed when reading has ended.
	done chan struct{}
}

// readPrefix receives the beginning of the body: n bytes, or less if it is shorter.
func (bo *streamedBody) readPrefix(n int) error {
	buf := make([]byte, n)
	received := 0
	for received < n {
		part, err := bo.receive(buf[received:])
		received += part
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return err
		}
	}
	bo.prefix = buf[:received]
	bo.unsent = bo.prefix
	return nil
}

// read reads the body for an attempt. It returns io.EOF only if the body is complete.
func (bo *streamedBody) read(buf []byte) (int, error) {
	bo.mu.Lock()
	n := copy(buf, bo.unsent)
	bo.unsent = bo.unsent[n:]
	err := bo.err
	bo.mu.Unlock()
	if n > 0 {
		return n, nil
	}
	if err != nil {
		return 0, err
	}
	return bo.receive(buf)
}

// receive reads from the caller. It returns io.EOF only if the body is complete.
func (bo *streamedBody) receive(buf []byte) (int, error) {
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

// isConnectionError reports whether reading failed because the caller's
// connection ended or timed out, and not because of malformed bytes.
func isConnectionError(err error) bool {
	var ne net.Error
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &ne)
}

// notStarted reports whether no attempt has read from the body, so that it can
// still be sent to an upstream.
func (bo *streamedBody) notStarted() bool {
	bo.mu.Lock()
	defer bo.mu.Unlock()
	return !bo.readStarted
}

// ended reports whether reading has ended, with or without an error.
func (bo *streamedBody) ended() bool {
	bo.mu.Lock()
	defer bo.mu.Unlock()
	return bo.err != nil
}

// complete reports whether the body was read to its end.
func (bo *streamedBody) complete() bool {
	bo.mu.Lock()
	defer bo.mu.Unlock()
	return errors.Is(bo.err, io.EOF)
}

// delivered reports whether the body was read to its end by an attempt.
func (bo *streamedBody) delivered() bool {
	bo.mu.Lock()
	defer bo.mu.Unlock()
	return errors.Is(bo.err, io.EOF) && len(bo.unsent) == 0
}

// readError returns the error that ended reading early, or nil.
func (bo *streamedBody) readError() error {
	bo.mu.Lock()
	defer bo.mu.Unlock()
	if errors.Is(bo.err, io.EOF) {
		return nil
	}
	return bo.err
}

// attemptReader returns a reader of the body for one attempt.
func (bo *streamedBody) attemptReader() io.ReadCloser { return &attemptBody{body: bo} }

// attemptBody is an attempt's view of a streamedBody. It can be closed while a
// Read waits for the caller.
type attemptBody struct {
	body   *streamedBody
	mu     sync.Mutex
	closed bool
}

// Read implements io.Reader.
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

// Close interrupts a pending Read. A partly read body can't be read any further.
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
