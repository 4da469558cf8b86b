package platform_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"lynxfold/io/platform"
)

// chunkedResponse is a response that a server sends in chunks.
type chunkedResponse struct {
	chunkBytes int
	chunks     int
	// pause is the time between two chunks.
	pause time.Duration
	// sentChunks is the number of chunks after which the server stops sending; the
	// connection stays open.
	sentChunks int
}

// chunkServer is a server that answers every request with the same response.
type chunkServer struct {
	response chunkedResponse
	url      string
	conns    atomic.Int64
	testDone chan struct{}
	wg       sync.WaitGroup
}

func startChunkServer(t *testing.T, cr chunkedResponse) *chunkServer {
	t.Helper()
	li, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	cs := &chunkServer{
		response: cr,
		url:      "http://" + li.Addr().String(),
		testDone: make(chan struct{}),
	}
	cs.wg.Go(func() {
		for {
			co, err := li.Accept()
			if err != nil {
				return
			}
			cs.conns.Add(1)
			cs.wg.Go(func() { cs.serve(co) })
		}
	})
	t.Cleanup(func() {
		close(cs.testDone)
		_ = li.Close()
		cs.wg.Wait()
	})
	return cs
}

func (cs *chunkServer) serve(co net.Conn) {
	defer co.Close()
	rd := bufio.NewReader(co)
	for {
		req, err := http.ReadRequest(rd)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if !cs.sendResponse(co) {
			return
		}
	}
}

// sendResponse reports whether the whole response was sent.
func (cs *chunkServer) sendResponse(co net.Conn) bool {
	cr := cs.response
	_, _ = fmt.Fprintf(co, "HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n", cr.chunks*cr.chunkBytes)
	for i := range cr.chunks {
		if i == cr.sentChunks {
			<-cs.testDone
			return false
		}
		time.Sleep(cr.pause)
		if _, err := co.Write(make([]byte, cr.chunkBytes)); err != nil {
			return false
		}
	}
	return true
}

// get sends a GET request and returns the length of the response's body.
func get(ctx context.Context, tr *platform.Transport, url string) (int, error) {
	resp, err := tr.Do(ctx, platform.Request{
		Method: http.MethodGet,
		URL:    url,
	})
	if err != nil {
		return 0, err
	}
	defer fasthttp.ReleaseResponse(resp)
	return len(resp.Body()), nil
}

func newTransport(t *testing.T, timeout time.Duration) *platform.Transport {
	tr := platform.NewTransport(timeout, nil)
	t.Cleanup(tr.Close)
	return tr
}

func TestStalledResponseReportsReceivedBytes(t *testing.T) {
	cs := startChunkServer(t, chunkedResponse{
		chunkBytes: 1000,
		chunks:     10,
		sentChunks: 3,
	})
	_, err := get(context.Background(), newTransport(t, time.Second), cs.url)
	var stalled *platform.StalledError
	assert.Assert(t, errors.As(err, &stalled), "%v", err)
	assert.Assert(t, stalled.ReceivedBytes >= 3000 && stalled.ReceivedBytes < 4000, "%d bytes", stalled.ReceivedBytes)
}

func TestSilentServerIsNotReportedAsClosedConnection(t *testing.T) {
	li, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = li.Close() })
	var result platform.RequestResult
	tr := platform.NewTransport(100*time.Millisecond, func(rr platform.RequestResult) { result = rr })
	t.Cleanup(tr.Close)
	_, err = get(context.Background(), tr, "http://"+li.Addr().String())
	assert.ErrorIs(t, err, fasthttp.ErrTimeout)
	assert.Equal(t, result.Outcome, "timeout")
	assert.Assert(t, result.Took >= 100*time.Millisecond, "%v", result.Took)
}

func TestResponseSlowerThanTimeoutIsReadWhileItArrives(t *testing.T) {
	cs := startChunkServer(t, chunkedResponse{
		chunkBytes: 10_000,
		chunks:     20,
		sentChunks: 20,
		pause:      100 * time.Millisecond,
	})
	length, err := get(context.Background(), newTransport(t, time.Second), cs.url)
	assert.NilError(t, err)
	assert.Equal(t, length, 200_000)
}

func TestContextDeadlineLimitsResponseThatKeepsArriving(t *testing.T) {
	cs := startChunkServer(t, chunkedResponse{
		chunkBytes: 100,
		chunks:     1000,
		sentChunks: 1000,
		pause:      10 * time.Millisecond,
	})
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	begun := time.Now()
	_, err := get(ctx, newTransport(t, time.Hour), cs.url)
	assert.Assert(t, errors.HasType(err, &platform.StalledError{}), "%v", err)
	assert.Assert(t, time.Since(begun) < 5*time.Second)
}

func TestConnectionIsReusedAfterBodyIsRead(t *testing.T) {
	cs := startChunkServer(t, chunkedResponse{
		chunkBytes: 50_000,
		chunks:     2,
		sentChunks: 2,
	})
	tr := newTransport(t, time.Second)
	for range 3 {
		length, err := get(context.Background(), tr, cs.url)
		assert.NilError(t, err)
		assert.Equal(t, length, 100_000)
	}
	assert.Equal(t, cs.conns.Load(), int64(1))
}

// TestRequestSlowerThanTimeoutIsSent lets the server take a long request slowly.
func TestRequestSlowerThanTimeoutIsSent(t *testing.T) {
	const (
		length    = 24 << 20
		partBytes = 2 << 20
	)
	li, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	var wg sync.WaitGroup
	wg.Go(func() {
		co, err := li.Accept()
		if err != nil {
			return
		}
		defer co.Close()
		req, err := http.ReadRequest(bufio.NewReader(co))
		if err != nil {
			return
		}
		for err == nil {
			time.Sleep(50 * time.Millisecond)
			_, err = io.CopyN(io.Discard, req.Body, partBytes)
		}
		_, _ = io.WriteString(co, "HTTP/1.1 201 Created\r\ncontent-length: 0\r\n\r\n")
	})
	t.Cleanup(func() {
		_ = li.Close()
		wg.Wait()
	})
	resp, err := newTransport(t, 200*time.Millisecond).Do(context.Background(), platform.Request{
		Method: http.MethodPut,
		URL:    "http://" + li.Addr().String(),
		Body:   make([]byte, length),
	})
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode(), http.StatusCreated)
	fasthttp.ReleaseResponse(resp)
}
