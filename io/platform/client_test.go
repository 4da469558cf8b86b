package platform_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"lynxfold/io/platform"
)

// rawServer is a platform server that lets the test decide whether each request gets a
// response.
type rawServer struct {
	url     string
	mu      sync.Mutex
	methods []string
	// conns is the number of accepted connections.
	conns int
	wg    sync.WaitGroup
}

// startRawServer starts a server that calls decide for each request, numbered from 1.
// It sends a response if answer is true and else closes the connection; if hold is
// true, it does so only at the end of the test.
func startRawServer(t *testing.T, decide func(number int) (answer, hold bool)) *rawServer {
	t.Helper()
	li, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	rs := &rawServer{url: "http://" + li.Addr().String()}
	testDone := make(chan struct{})
	rs.wg.Go(func() {
		for {
			co, err := li.Accept()
			if err != nil {
				return
			}
			rs.wg.Go(func() { rs.serve(co, decide, testDone) })
		}
	})
	t.Cleanup(func() {
		_ = li.Close()
		close(testDone)
		rs.wg.Wait()
	})
	return rs
}

func (rs *rawServer) serve(co net.Conn, decide func(number int) (answer, hold bool), testDone <-chan struct{}) {
	defer co.Close()
	served := make(chan struct{})
	defer close(served)
	rs.wg.Go(func() {
		select {
		case <-testDone:
			_ = co.Close()
		case <-served:
		}
	})
	rs.mu.Lock()
	rs.conns++
	rs.mu.Unlock()
	rd := bufio.NewReader(co)
	for {
		req, err := http.ReadRequest(rd)
		if err != nil {
			return
		}
		_ = req.Body.Close()
		rs.mu.Lock()
		rs.methods = append(rs.methods, req.Method)
		number := len(rs.methods)
		rs.mu.Unlock()
		answer, hold := decide(number)
		if hold {
			<-testDone
		}
		if !answer {
			return
		}
		_, _ = co.Write([]byte("HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n"))
	}
}

func (rs *rawServer) counts() (requests, conns int) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	return len(rs.methods), rs.conns
}

func (rs *rawServer) client(t *testing.T, timeout time.Duration) *platform.Client {
	cl := platform.NewClient(platform.Config{
		TableURL:  rs.url,
		ObjectURL: rs.url,
		Timeout:   timeout,
	})
	t.Cleanup(cl.Close)
	return cl
}

// requests holds a function that sends a request, for each method that the client uses.
var requests = map[string]func(ctx context.Context, cl *platform.Client) error{
	http.MethodGet: func(ctx context.Context, cl *platform.Client) error {
		_, err := cl.Read(ctx, "config/current")
		return err
	},
	http.MethodPut: func(ctx context.Context, cl *platform.Client) error {
		return cl.PutObject(ctx, "config-1", []byte("x"))
	},
	http.MethodPost: func(ctx context.Context, cl *platform.Client) error {
		_, err := cl.Transact(ctx, []platform.Write{{Key: "a", Value: []byte("1"), IfAbsent: true}})
		return err
	},
}

// TestClientNeverRetriesRequest lets the server close the connection when a second
// request arrives on it. An HTTP client that retries would send that request again.
func TestClientNeverRetriesRequest(t *testing.T) {
	for method, request := range requests {
		t.Run(method, func(t *testing.T) {
			rs := startRawServer(t, func(number int) (answer, hold bool) { return number == 1, false })
			cl := rs.client(t, time.Second)
			ctx := context.Background()
			_, err := cl.Read(ctx, "config/current")
			assert.Assert(t, errors.HasType(err, &platform.NotFoundError{}), "%v", err)
			assert.Assert(t, request(ctx, cl) != nil)
			count, conns := rs.counts()
			assert.Equal(t, count, 2)
			assert.Equal(t, conns, 1)
		})
	}
}

// TestClientNeverReusesConnectionAfterTimeout lets the first request time out. On a
// reused connection its late response could be taken for that of the next request.
func TestClientNeverReusesConnectionAfterTimeout(t *testing.T) {
	for method, request := range requests {
		t.Run(method, func(t *testing.T) {
			rs := startRawServer(t, func(number int) (answer, hold bool) { return true, number == 1 })
			cl := rs.client(t, 100*time.Millisecond)
			ctx := context.Background()
			assert.Assert(t, request(ctx, cl) != nil)
			_, err := cl.Read(ctx, "config/current")
			assert.Assert(t, errors.HasType(err, &platform.NotFoundError{}), "%v", err)
			count, conns := rs.counts()
			assert.Equal(t, count, 2)
			assert.Equal(t, conns, 2)
		})
	}
}

func TestWriteWithoutResponseIsInDoubt(t *testing.T) {
	rs := startRawServer(t, func(int) (answer, hold bool) { return false, false })
	err := requests[http.MethodPost](context.Background(), rs.client(t, time.Second))
	assert.Assert(t, errors.HasType(err, &platform.InDoubtError{}), "%v", err)
}

func TestContextDeadlineLimitsRequest(t *testing.T) {
	rs := startRawServer(t, func(int) (answer, hold bool) { return false, true })
	cl := rs.client(t, time.Hour)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err := cl.Read(ctx, "config/current")
	assert.Assert(t, errors.HasType(err, &platform.UnavailableError{}), "%v", err)
	// After the deadline no request is sent.
	assert.Assert(t, requests[http.MethodPost](ctx, cl) != nil)
	count, _ := rs.counts()
	assert.Equal(t, count, 1)
}

func TestCloseInterruptsRequests(t *testing.T) {
	rs := startRawServer(t, func(int) (answer, hold bool) { return false, true })
	cl := rs.client(t, time.Hour)
	ended := make(chan error, 1)
	go func() {
		_, err := cl.Read(context.Background(), "config/current")
		ended <- err
	}()
	for count := 0; count == 0; count, _ = rs.counts() {
		time.Sleep(time.Millisecond)
	}
	cl.Close()
	assert.Assert(t, <-ended != nil)
	assert.Assert(t, requests[http.MethodGet](context.Background(), cl) != nil)
}
