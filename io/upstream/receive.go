package upstream

import (
	"context"
	"io"

	"lynxfold/core/host"
	"lynxfold/core/wire"
)

// receive reads a short body whole before the upstream hears of its request, so
// that a body that breaks off leaves nothing that ran. Longer ones, and those
// whose length is not known, are left to be streamed.
func receive(ctx context.Context, rq *wire.Request, body io.ReadCloser) (io.ReadCloser, error) {
	if body == nil || rq.GetLength() < 0 || rq.GetLength() > inlineBytes {
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

// watchBody tells the gate when a body has arrived.
func (ga *Gate) watchBody(id host.AttemptID, body io.ReadCloser) io.ReadCloser {
	if body == nil {
		return nil
	}
	return &watchedBody{
		ReadCloser: body,
		arrived:    func(bytes int64) { ga.step(host.BodyReceived{ID: id, Bytes: bytes}) },
	}
}

// watchedBody tells of its end.
type watchedBody struct {
	io.ReadCloser
	arrived func(bytes int64)
	got     int64
	told    bool
}

// Read reads on.
func (wb *watchedBody) Read(buf []byte) (int, error) {
	n, err := wb.ReadCloser.Read(buf)
	wb.got += int64(n)
	if err == io.EOF && !wb.told {
		wb.told = true
		wb.arrived(wb.got)
	}
	return n, err
}

// receiveReason says why the body of a request did not arrive.
func receiveReason(ctx context.Context) host.Reason {
	if ctx.Err() != nil {
		return connectReason(ctx, ctx.Err())
	}
	return host.ReasonBodyAborted
}
