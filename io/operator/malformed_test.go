package operator_test

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestMalformedRequests sends input that is not a valid HTTP request. Each must get an
// error response and be counted, and the server must continue to serve.
func TestMalformedRequests(t *testing.T) {
	rd := rand.New(rand.NewPCG(1, 2))
	noise := make([]byte, 64<<10)
	for i := range noise {
		noise[i] = byte(rd.Uint32())
	}
	for _, tc := range []struct {
		name   string
		bytes  string
		status int
	}{
		{name: "random bytes", bytes: string(noise) + "\r\n\r\n", status: http.StatusBadRequest},
		{name: "missing HTTP version", bytes: "GET /\r\n\r\n", status: http.StatusBadRequest},
		{name: "header without a colon", bytes: "GET / HTTP/1.1\r\nHost: x\r\nnonsense\r\n\r\n", status: http.StatusBadRequest},
		{name: "header too large", bytes: "GET / HTTP/1.1\r\nHost: x\r\nX: " + strings.Repeat("a", 1<<20), status: http.StatusRequestHeaderFieldsTooLarge},
		{name: "body too large", bytes: fmt.Sprintf("POST /api/config HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", 1<<30), status: http.StatusRequestEntityTooLarge},
		{name: "invalid content length", bytes: "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: many\r\n\r\n", status: http.StatusBadRequest},
		{name: "unknown method", bytes: "BREW /console HTTP/1.1\r\nHost: 127.0.0.1\r\n\r\n", status: http.StatusMethodNotAllowed},
	} {
		t.Run(tc.name, func(t *testing.T) {
			co := startConsole(t, newStore(), nil)
			nc, err := net.Dial("tcp", strings.TrimPrefix(co.base, "http://"))
			assert.NilError(t, err)
			defer func() { _ = nc.Close() }()
			go func() { _, _ = io.WriteString(nc, tc.bytes) }()
			_ = nc.SetReadDeadline(time.Now().Add(20 * time.Second))
			resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
			assert.NilError(t, err)
			_ = resp.Body.Close()
			assert.Equal(t, resp.StatusCode, tc.status)
			if tc.status != http.StatusMethodNotAllowed {
				assert.Assert(t, strings.Contains(co.counters(), "lynxfold_operator_bad_requests_total 1"), co.counters())
			}
			assert.Equal(t, send(t, http.MethodGet, co.base+"/live", "", "", ""), http.StatusOK)
		})
	}
}
