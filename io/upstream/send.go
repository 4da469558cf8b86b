package upstream

import (
	"fmt"
	"io"
	"math"
	"net/http/httputil"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// copyBufferBytes is the size of the buffers in which bodies are copied or kept.
const copyBufferBytes = 32 << 10

type copyBuffer [copyBufferBytes]byte

var copyBuffers = sync.Pool{New: func() any { return new(copyBuffer) }}

// BodyError reports a request body that could not be read completely.
type BodyError struct {
	Err error
}

func (er *BodyError) Error() string { return "read request body: " + er.Err.Error() }

// Unwrap returns the cause.
func (er *BodyError) Unwrap() error { return er.Err }

// LengthError reports a body whose length differs from the declared length.
type LengthError struct {
	Want int64
	Got  int64
}

func (er *LengthError) Error() string {
	return fmt.Sprintf("body has %d bytes, want %d", er.Got, er.Want)
}

// send writes a request. A non-nil body is streamed after the header.
func (ex *exchange) send(to Destination, body io.Reader) error {
	co, rq := ex.conn, ex.request
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	ex.setHeader(to, req)
	if body == nil {
		if len(rq.GetBody()) > 0 {
			req.SetBodyRaw(rq.GetBody())
		}
		if err := req.Write(co.writer); err != nil {
			return err
		}
		return co.writer.Flush()
	}
	req.Header.SetContentLength(int(rq.GetLength()))
	// Flush the header now: the first byte of the body may take long to arrive.
	if err := req.Header.Write(co.writer); err != nil {
		return err
	}
	if err := co.writer.Flush(); err != nil {
		return err
	}
	if rq.GetLength() < 0 {
		return co.sendChunked(body)
	}
	return co.sendFixedLength(body, rq.GetLength())
}

// setHeader sets the request line and the headers.
func (ex *exchange) setHeader(to Destination, req *fasthttp.Request) {
	rq := ex.request
	req.Header.SetMethodBytes(rq.GetMethod())
	req.SetRequestURIBytes(rq.GetUri())
	req.Header.SetHost(to.Address)
	req.Header.SetNoDefaultContentType(true)
	for _, he := range rq.GetHeaders() {
		req.Header.AddBytesKV(he.GetName(), he.GetValue())
	}
	if deadline, ok := ex.ctx.Deadline(); ok {
		ex.client.protocol.SetHeaders(&req.Header, rq, to.Instance, time.Until(deadline))
	}
}

func (co *conn) sendFixedLength(body io.Reader, length int64) error {
	sent, err := copyBody(co, body, length)
	if err == nil && sent != length {
		return &BodyError{Err: &LengthError{Want: length, Got: sent}}
	}
	return err
}

// flushWriter is a buffered writer that flushes after every write.
type flushWriter struct {
	io.Writer
	conn *conn
}

// Write implements io.Writer.
func (fw *flushWriter) Write(buf []byte) (int, error) {
	n, err := fw.Writer.Write(buf)
	if err != nil {
		return n, err
	}
	return n, fw.conn.writer.Flush()
}

func (co *conn) sendChunked(body io.Reader) error {
	cw := httputil.NewChunkedWriter(co.writer)
	fw := &flushWriter{
		Writer: cw,
		conn:   co,
	}
	if _, err := copyBody(fw, body, math.MaxInt64); err != nil {
		return err
	}
	if err := cw.Close(); err != nil {
		return err
	}
	// The chunked writer doesn't write the empty line after the trailer section.
	if _, err := io.WriteString(co.writer, "\r\n"); err != nil {
		return err
	}
	return co.writer.Flush()
}

// copyBody copies a body to EOF and returns the bytes written. A body longer
// than limit and a read error give a BodyError.
func copyBody(wr io.Writer, body io.Reader, limit int64) (int64, error) {
	buf := copyBuffers.Get().(*copyBuffer)
	defer copyBuffers.Put(buf)
	sent := int64(0)
	for {
		n, err := body.Read(buf[:])
		if sent+int64(n) > limit {
			return sent, &BodyError{Err: &LengthError{Want: limit, Got: sent + int64(n)}}
		}
		if n > 0 {
			if _, err := wr.Write(buf[:n]); err != nil {
				return sent, err
			}
			sent += int64(n)
		}
		if err == io.EOF {
			return sent, nil
		}
		if err != nil {
			return sent, &BodyError{Err: err}
		}
	}
}
