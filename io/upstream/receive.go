package upstream

import (
	"context"
	"io"

	"lynxfold/core/host"
	"lynxfold/core/wire"
)

// bufferShortBody reads a short body whole before the upstream hears of its request, so
// that a body that breaks off leaves nothing that ran. Longer ones, and those
// whose length is not known, are left to be streamed.
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
	// The end shows that nothing more comes.
	if n, err := body.Read(make([]byte, 1)); n > 0 || err != io.EOF {
		return nil, &BodyError{Err: &LengthError{Want: rq.GetLength(), Got: rq.GetLength() + int64(n)}}
	}
	rq.Body = data
	return nil, nil
}

// notifyBodyReceived tells the gate when a body has arrived.
func (ga *Gate) notifyBodyReceived(id host.AttemptID, body io.ReadCloser) io.ReadCloser {
	if body == nil {
		return nil
	}
	return &notifyingBody{
		ReadCloser: body,
		onEOF:    func(bytes int64) { ga.step(host.BodyReceived{ID: id, Bytes: bytes}) },
	}
}

// notifyingBody tells of its end.
type notifyingBody struct {
	io.ReadCloser
	onEOF func(bytes int64)
	readBytes     int64
	notified    bool
}

// Read reads on.
func (wb *notifyingBody) Read(buf []byte) (int, error) {
	n, err := wb.ReadCloser.Read(buf)
	wb.readBytes += int64(n)
	if err == io.EOF && !wb.notified {
		wb.notified = true
		wb.onEOF(wb.readBytes)
	}
	return n, err
}

// bodyFailureReason says why the body of a request did not arrive.
func bodyFailureReason(ctx context.Context) host.Reason {
	if ctx.Err() != nil {
		return connectFailureReason(ctx, ctx.Err())
	}
	return host.ReasonBodyAborted
}
