package upstream

import (
	"bytes"
	"context"
	"io"

	"github.com/cockroachdb/errors"

	"lynxfold/core/host"
	"lynxfold/core/wire"
)

// bufferShortBody reads a short body completely before the request is sent to
// the upstream, so that a request whose body is aborted never runs. Longer
// bodies and those of unknown length are returned for streaming.
func bufferShortBody(ctx context.Context, rq *wire.Request, body io.ReadCloser) (io.ReadCloser, error) {
	if body == nil || rq.GetLength() < 0 || rq.GetLength() > maxInlineBodyBytes {
		return body, nil
	}
	stop := context.AfterFunc(ctx, func() { _ = body.Close() })
	defer stop()
	data := make([]byte, rq.GetLength())
	if _, err := io.ReadFull(body, data); err != nil {
		return nil, &BodyError{Err: err}
	}
	// Check for EOF: the body must not exceed its declared length.
	if n, err := body.Read(make([]byte, 1)); n > 0 || err != io.EOF {
		return nil, &BodyError{Err: &LengthError{Want: rq.GetLength(), Got: rq.GetLength() + int64(n)}}
	}
	rq.Body = data
	return nil, nil
}

// identify computes the fingerprint of a request whose ingress, of an earlier release,
// sent none. It receives the beginning of the body, if that is not in the request, and
// returns a body that begins with it.
func (ga *Gate) identify(ctx context.Context, id host.AttemptID, rq *wire.Request, body io.ReadCloser) (host.Fingerprint, io.ReadCloser, error) {
	prefix := rq.GetBody()
	if body != nil {
		stop := context.AfterFunc(ctx, func() { _ = body.Close() })
		defer stop()
		buf := make([]byte, host.FingerprintBodyBytes)
		n, err := io.ReadFull(body, buf)
		if err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			return 0, body, err
		}
		prefix = buf[:n]
		body = &prefixedBody{
			Reader: io.MultiReader(bytes.NewReader(prefix), body),
			Closer: body,
		}
	}
	fp := Fingerprint(rq.GetMethod(), rq.GetUri(), rq.GetHeaders(), prefix)
	ga.step(host.Identified{
		ID:          id,
		Fingerprint: fp,
	})
	return fp, body, nil
}

// prefixedBody is a body whose beginning has been received.
type prefixedBody struct {
	io.Reader
	io.Closer
}

// notifyBodyReceived wraps a body, so that the gate is notified of its end.
func (ga *Gate) notifyBodyReceived(id host.AttemptID, body io.ReadCloser) io.ReadCloser {
	if body == nil {
		return nil
	}
	return &notifyingBody{
		ReadCloser: body,
		onEOF:      func(bytes int64) { ga.step(host.BodyReceived{ID: id, Bytes: bytes}) },
	}
}

// notifyingBody calls onEOF once, with its length, when it is read to EOF.
type notifyingBody struct {
	io.ReadCloser
	onEOF     func(bytes int64)
	readBytes int64
	notified  bool
}

// Read implements io.Reader.
func (nb *notifyingBody) Read(buf []byte) (int, error) {
	n, err := nb.ReadCloser.Read(buf)
	nb.readBytes += int64(n)
	if err == io.EOF && !nb.notified {
		nb.notified = true
		nb.onEOF(nb.readBytes)
	}
	return n, err
}

// bodyFailureReason returns the reason why a request body could not be read.
func bodyFailureReason(ctx context.Context) host.Reason {
	if ctx.Err() != nil {
		return notSentReason(ctx, ctx.Err())
	}
	return host.ReasonBodyAborted
}
