package upstream

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"lynxfold/core/host"
	"lynxfold/core/wire"
	"lynxfold/io/http1"
)

// maxStaleResponses bounds the stale responses skipped in one exchange.
const maxStaleResponses = 3

// readHeader reads the response header. It skips complete responses to earlier
// requests on the same connection.
func (ex *exchange) readHeader() (*fasthttp.Response, ResponseClass, error) {
	for range maxStaleResponses + 1 {
		if err := http1.AwaitHead(ex.conn.reader); err != nil {
			return nil, 0, err
		}
		resp := &fasthttp.Response{}
		resp.Header.SetNoDefaultContentType(true)
		// Read only the header first: it determines how to read the body.
		resp.SkipBody = true
		if err := resp.ReadLimitBody(ex.conn.reader, 0); err != nil {
			return nil, 0, err
		}
		rc := ex.client.protocol.Classify(ex.request, resp.StatusCode(), &resp.Header)
		if rc != ResponseStale {
			ex.conn.recordKeepAlive(&resp.Header)
			return resp, ex.attribute(rc, resp), nil
		}
		ex.sawStale = true
		if err := ex.discardBody(resp); err != nil {
			return nil, 0, err
		}
	}
	return nil, 0, &StaleResponseError{Count: maxStaleResponses + 1}
}

// attribute returns the class of a response. A refusal that repeats no ID could also be that of
// an earlier request on the connection, sent once more.
func (ex *exchange) attribute(rc ResponseClass, resp *fasthttp.Response) ResponseClass {
	refusal := rc == ResponseNotRun || rc == ResponseOtherInstance
	if refusal && ex.conn.reused && !ex.client.protocol.Identifies(&resp.Header) {
		return ResponseAmbiguous
	}
	return rc
}

// StaleResponseError reports a connection that returned only responses to earlier requests.
type StaleResponseError struct {
	Count int
}

func (er *StaleResponseError) Error() string {
	return fmt.Sprintf("received %d responses to earlier requests", er.Count)
}

// discardBody reads and drops a response body, so that the connection can be reused.
func (ex *exchange) discardBody(resp *fasthttp.Response) error {
	if neverHasBody(resp.StatusCode()) {
		return nil
	}
	if resp.Header.ContentLength() < -1 {
		return &StaleResponseError{Count: 1} // the body ends with the connection
	}
	body, err := ex.openBody(resp)
	if err != nil {
		return err
	}
	read, err := io.Copy(io.Discard, io.LimitReader(body, maxDiscardBytes+1))
	if err == nil && read > maxDiscardBytes {
		err = &StaleResponseError{Count: 1}
	}
	return err
}

// discardBuffered drops a response body that has arrived completely, and reports whether
// it had.
func (ex *exchange) discardBuffered(resp *fasthttp.Response) bool {
	rd := ex.conn.reader
	length := resp.Header.ContentLength()
	switch {
	case neverHasBody(resp.StatusCode()):
		return true
	case length < -1:
		return false // the body ends with the connection
	case length >= 0:
		if length > rd.Buffered() {
			return false
		}
		_, err := rd.Discard(length)
		return err == nil
	}
	arrived, err := rd.Peek(rd.Buffered())
	if err != nil {
		return false
	}
	unread := bytes.NewReader(arrived)
	chunks := bufio.NewReader(unread)
	if _, err := io.Copy(io.Discard, http1.NewChunkedReader(chunks)); err != nil {
		return false
	}
	_, err = rd.Discard(len(arrived) - unread.Len() - chunks.Buffered())
	return err == nil
}

// maxDiscardBytes bounds the response bodies read only to reuse the connection.
const maxDiscardBytes = 1 << 20

// refuseNotRun ends an exchange whose request the upstream did not run. It does not wait
// for the response body: the connection is reused only if that has arrived already.
func (ex *exchange) refuseNotRun(resp *fasthttp.Response, re host.Reason) Reply {
	rp := RefusalReply(re, true)
	if delay := upstreamRetryAfter(&resp.Header); delay > 0 {
		rp.Refusal.RetryAfterUs = delay.Microseconds()
		rp.Refusal.RateLimited = true
	}
	if id := ex.request.GetRequestId(); id != "" {
		ex.conn.refused = append(ex.conn.refused, host.RequestID(id))
	}
	reusable := len(ex.conn.refused) < maxRefusedRequests && ex.discardBuffered(resp) && !resp.ConnectionClose()
	ex.finish(reusable, Result{Outcome: host.OutcomeNotRun, Reason: re})
	return rp
}

// maxUpstreamRetryAfter bounds the time for which an upstream may turn calls away.
const maxUpstreamRetryAfter = time.Minute

// upstreamRetryAfter returns the time that an upstream names in its refusal, in seconds;
// 0 if it names none. Dates are not supported, as the clocks of hosts differ.
func upstreamRetryAfter(he *fasthttp.ResponseHeader) time.Duration {
	seconds, err := strconv.ParseFloat(string(bytes.TrimSpace(he.Peek(fasthttp.HeaderRetryAfter))), 64)
	if err != nil || !(seconds > 0) {
		return 0
	}
	return time.Duration(min(seconds, maxUpstreamRetryAfter.Seconds()) * float64(time.Second))
}

// readUnframed reads a response that ends with its connection. A reset
// instead of an orderly close means that the response is truncated.
func (ex *exchange) readUnframed(resp *fasthttp.Response) Reply {
	bo := &bufferedBody{budget: ex.client.buffers}
	for {
		if !bo.grow() {
			bo.release()
			ex.finish(false, ex.incompleteResult(ReasonUpstreamUnframed))
			return RefusalReply(ReasonUpstreamUnframed, false)
		}
		err := bo.readFrom(ex.conn.reader)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			bo.release()
			return ex.fail()
		}
	}
	if !ex.endedOrderly() {
		bo.release()
		return ex.fail()
	}
	length := int64(bo.length)
	if length <= maxInlineBodyBytes {
		data := make([]byte, length)
		_, _ = io.ReadFull(bo, data) // reads from memory
		bo.release()
		rp := ex.complete(resp, data)
		rp.Response.Length = length
		return rp
	}
	ex.finish(false, Result{Outcome: host.OutcomeRan})
	re := newWireResponse(resp)
	re.Length = length
	return Reply{
		Response: re,
		Body:     bo,
	}
}

// neverHasBody reports whether responses with a status never have a body.
func neverHasBody(status int) bool {
	return status < fasthttp.StatusOK || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified
}

// complete ends an exchange whose response was read completely.
func (ex *exchange) complete(resp *fasthttp.Response, data []byte) Reply {
	re := newWireResponse(resp)
	re.Complete = true
	re.Body = data
	ex.finish(!resp.ConnectionClose(), Result{
		Outcome:  host.OutcomeRan,
		Response: re,
	})
	return Reply{Response: re}
}

func (ex *exchange) streamResponse(resp *fasthttp.Response) Reply {
	body, err := ex.openBody(resp)
	if err != nil {
		return ex.fail()
	}
	return Reply{
		Response: newWireResponse(resp),
		Body: &bodyStream{
			exchange: ex,
			resp:     resp,
			body:     body,
		},
	}
}

// openBody returns a reader of a body with a length or in chunks, which returns io.EOF only at
// the end of a whole body.
func (ex *exchange) openBody(resp *fasthttp.Response) (io.Reader, error) {
	if resp.Header.ContentLength() < 0 {
		return http1.NewChunkedReader(ex.conn.reader), nil
	}
	resp.SkipBody = false
	resp.StreamBody = true
	err := resp.ReadBody(ex.conn.reader, 0)
	return resp.BodyStream(), err
}

// omittedHeaders are response headers that only concern the upstream's connection
// and are not forwarded.
var omittedHeaders = map[string]bool{
	fasthttp.HeaderContentLength: true,
	fasthttp.HeaderDate:          true,
	fasthttp.HeaderKeepAlive:     true,
}

func newWireResponse(resp *fasthttp.Response) *wire.Response {
	re := &wire.Response{
		Status: int32(resp.StatusCode()),
		Length: int64(resp.Header.ContentLength()),
	}
	for na, va := range resp.Header.All() {
		if omittedHeaders[string(na)] {
			continue
		}
		re.Headers = append(re.Headers, &wire.Header{
			Name:  bytes.Clone(na),
			Value: bytes.Clone(va),
		})
	}
	return re
}

// bodyStream is a response body that is read from its connection on demand.
type bodyStream struct {
	exchange   *exchange
	resp       *fasthttp.Response
	body       io.Reader
	once       sync.Once
	reachedEOF bool
}

// Read implements io.Reader; a truncated body gives an error other than io.EOF.
func (bs *bodyStream) Read(buf []byte) (int, error) {
	n, err := bs.body.Read(buf)
	if err == io.EOF {
		bs.reachedEOF = true
	}
	return n, err
}

// Close ends the exchange; the connection is reused only if the body was read to EOF.
func (bs *bodyStream) Close() error {
	bs.once.Do(func() {
		if bs.reachedEOF {
			bs.exchange.finish(!bs.resp.ConnectionClose(), Result{Outcome: host.OutcomeRan})
			return
		}
		re := host.ReasonUpstreamTruncated
		if bs.exchange.ctx.Err() != nil {
			re = incompleteReason(bs.exchange.ctx)
		}
		bs.exchange.finish(false, bs.exchange.incompleteResult(re))
	})
	return nil
}
