package platform_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
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

// startChunkServer starts a server that answers every request with the same response.
func startChunkServer(t *testing.T, cr chunkedResponse) (url string) {
	t.Helper()
	li, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	testDone := make(chan struct{})
	t.Cleanup(func() {
		close(testDone)
		_ = li.Close()
	})
	go func() {
		for {
			co, err := li.Accept()
			if err != nil {
				return
			}
			go cr.serve(co, testDone)
		}
	}()
	return "http://" + li.Addr().String()
}

func (cr chunkedResponse) serve(co net.Conn, testDone <-chan struct{}) {
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
		_, _ = fmt.Fprintf(co, "HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n", cr.chunks*cr.chunkBytes)
		for i := range cr.chunks {
			if i == cr.sentChunks {
				<-testDone
				return
			}
			time.Sleep(cr.pause)
			_, _ = co.Write(make([]byte, cr.chunkBytes))
		}
	}
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
	url := startChunkServer(t, chunkedResponse{
		chunkBytes: 1000,
		chunks:     10,
		sentChunks: 3,
	})
	_, err := get(context.Background(), newTransport(t, 200*time.Millisecond), url)
	var stalled *platform.StalledError
	assert.Assert(t, errors.As(err, &stalled), "%v", err)
	assert.Assert(t, stalled.ReceivedBytes >= 3000 && stalled.ReceivedBytes < 4000, "%d bytes", stalled.ReceivedBytes)
}

func TestResponseSlowerThanTimeoutIsReadWhileItArrives(t *testing.T) {
	cr := chunkedResponse{
		chunkBytes: 10_000,
		chunks:     20,
		sentChunks: 20,
		pause:      50 * time.Millisecond,
	}
	length, err := get(context.Background(), newTransport(t, 300*time.Millisecond), startChunkServer(t, cr))
	assert.NilError(t, err)
	assert.Equal(t, length, 200_000)
}
