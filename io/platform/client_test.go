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

// rawPlatform answers the first request on each connection and then does what
// the test says with the next one.
type rawPlatform struct {
	url  string
	mu   sync.Mutex
	seen []string
	// conns is the number of connections taken.
	conns int
	done  sync.WaitGroup
}

// startRaw answers a request of which then says so, and otherwise closes the
// connection or holds the answer back until the test's end.
func startRaw(t *testing.T, then func(request int) (answer, hold bool)) *rawPlatform {
	t.Helper()
	li, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	rp := &rawPlatform{url: "http://" + li.Addr().String()}
	ended := make(chan struct{})
	rp.done.Go(func() {
		for {
			co, err := li.Accept()
			if err != nil {
				return
			}
			rp.done.Go(func() { rp.serve(co, then, ended) })
		}
	})
	t.Cleanup(func() {
		_ = li.Close()
		close(ended)
		rp.done.Wait()
	})
	return rp
}

func (rp *rawPlatform) serve(co net.Conn, then func(request int) (answer, hold bool), ended <-chan struct{}) {
	defer co.Close()
	stop := make(chan struct{})
	defer close(stop)
	rp.done.Go(func() {
		select {
		case <-ended:
			_ = co.Close()
		case <-stop:
		}
	})
	rp.mu.Lock()
	rp.conns++
	rp.mu.Unlock()
	rd := bufio.NewReader(co)
	for {
		req, err := http.ReadRequest(rd)
		if err != nil {
			return
		}
		_ = req.Body.Close()
		rp.mu.Lock()
		rp.seen = append(rp.seen, req.Method)
		number := len(rp.seen)
		rp.mu.Unlock()
		answer, hold := then(number)
		if hold {
			<-ended
		}
		if !answer {
			return
		}
		_, _ = co.Write([]byte("HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n"))
	}
}

func (rp *rawPlatform) counts() (requests, conns int) {
	rp.mu.Lock()
	defer rp.mu.Unlock()
	return len(rp.seen), rp.conns
}

func (rp *rawPlatform) client(t *testing.T, timeout time.Duration) *platform.Client {
	cl := platform.NewClient(platform.Config{
		TableURL:  rp.url,
		ObjectURL: rp.url,
		Timeout:   timeout,
	})
	t.Cleanup(cl.Close)
	return cl
}

// requests are one of each method that the client uses.
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

// TestClientNeverRepeatsARequest has the server close a kept connection when
// the second request arrives on it.
func TestClientNeverRepeatsARequest(t *testing.T) {
	for method, request := range requests {
		t.Run(method, func(t *testing.T) {
			rp := startRaw(t, func(number int) (answer, hold bool) { return number == 1, false })
			cl := rp.client(t, time.Second)
			ctx := context.Background()
			_, err := cl.Read(ctx, "config/current")
			assert.Assert(t, errors.HasType(err, &platform.NotFoundError{}), "%v", err)
			assert.Assert(t, request(ctx, cl) != nil)
			count, conns := rp.counts()
			assert.Equal(t, count, 2)
			assert.Equal(t, conns, 1)
		})
	}
}

// TestClientNeverReusesAConnectionAfterATimeout has an answer come too late.
func TestClientNeverReusesAConnectionAfterATimeout(t *testing.T) {
	for method, request := range requests {
		t.Run(method, func(t *testing.T) {
			rp := startRaw(t, func(number int) (answer, hold bool) { return true, number == 1 })
			cl := rp.client(t, 100*time.Millisecond)
			ctx := context.Background()
			assert.Assert(t, request(ctx, cl) != nil)
			_, err := cl.Read(ctx, "config/current")
			assert.Assert(t, errors.HasType(err, &platform.NotFoundError{}), "%v", err)
			count, conns := rp.counts()
			assert.Equal(t, count, 2)
			assert.Equal(t, conns, 2)
		})
	}
}

func TestWriteWithoutAnswerIsInDoubt(t *testing.T) {
	rp := startRaw(t, func(int) (answer, hold bool) { return false, false })
	err := requests[http.MethodPost](context.Background(), rp.client(t, time.Second))
	assert.Assert(t, errors.HasType(err, &platform.InDoubtError{}), "%v", err)
}

func TestDeadlineOfTheCallerIsKept(t *testing.T) {
	rp := startRaw(t, func(int) (answer, hold bool) { return false, true })
	cl := rp.client(t, time.Hour)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err := cl.Read(ctx, "config/current")
	assert.Assert(t, errors.HasType(err, &platform.UnavailableError{}), "%v", err)
	// A request after the deadline is not sent.
	assert.Assert(t, requests[http.MethodPost](ctx, cl) != nil)
	count, _ := rp.counts()
	assert.Equal(t, count, 1)
}

func TestCloseInterruptsRequests(t *testing.T) {
	rp := startRaw(t, func(int) (answer, hold bool) { return false, true })
	cl := rp.client(t, time.Hour)
	ended := make(chan error, 1)
	go func() {
		_, err := cl.Read(context.Background(), "config/current")
		ended <- err
	}()
	for count := 0; count == 0; count, _ = rp.counts() {
		time.Sleep(time.Millisecond)
	}
	cl.Close()
	assert.Assert(t, <-ended != nil)
	assert.Assert(t, requests[http.MethodGet](context.Background(), cl) != nil)
}
