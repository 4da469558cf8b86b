package testkit

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// ServeConns starts a server that calls serve for each connection, closes the connection after it,
// and returns its address. At the end of the test it waits for all calls.
func ServeConns(t *testing.T, serve func(nc net.Conn)) string {
	t.Helper()
	li, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	var served sync.WaitGroup
	served.Go(func() {
		for {
			nc, err := li.Accept()
			if err != nil {
				return
			}
			served.Go(func() {
				defer func() { _ = nc.Close() }()
				serve(nc)
			})
		}
	})
	t.Cleanup(func() {
		_ = li.Close()
		served.Wait()
	})
	return li.Addr().String()
}

// StartRawServer starts a server that sends the same bytes after the first request of each
// connection. It returns its address.
func StartRawServer(t *testing.T, response string) string {
	t.Helper()
	return ServeConns(t, func(nc net.Conn) {
		rq, err := http.ReadRequest(bufio.NewReader(nc))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, rq.Body)
		_, _ = io.WriteString(nc, response)
	})
}

// MalformedResponses are bytes that are no HTTP response and that look like a success whose body
// is an empty JSON object.
var MalformedResponses = map[string]string{
	"status 000":           "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\n{}",
	"status 099":           "HTTP/1.1 099 OK\r\nContent-Length: 2\r\n\r\n{}",
	"HTTP/2.0":             "HTTP/2.0 200 OK\r\nContent-Length: 2\r\n\r\n{}",
	"blank in a name":      "HTTP/1.1 200 OK\r\nX Odd: 1\r\nContent-Length: 2\r\n\r\n{}",
	"control in a reason":  "HTTP/1.1 200 O\x01K\r\nContent-Length: 2\r\n\r\n{}",
	"blank before a colon": "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\n{}",
	"length and chunks":    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
}
