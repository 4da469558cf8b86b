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

// TestGarbage sends what is no request: each gets a clear answer or the end of
// its connection, is counted, and the console goes on.
func TestGarbage(t *testing.T) {
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
		{name: "noise", bytes: string(noise) + "\r\n\r\n", status: http.StatusBadRequest},
		{name: "no version", bytes: "GET /\r\n\r\n", status: http.StatusBadRequest},
		{name: "header without a colon", bytes: "GET / HTTP/1.1\r\nHost: x\r\nnonsense\r\n\r\n", status: http.StatusBadRequest},
		{name: "endless header", bytes: "GET / HTTP/1.1\r\nHost: x\r\nX: " + strings.Repeat("a", 1<<20), status: http.StatusRequestHeaderFieldsTooLarge},
		{name: "body too large", bytes: fmt.Sprintf("POST /api/config HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", 1<<30), status: http.StatusRequestEntityTooLarge},
		{name: "length that is none", bytes: "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: many\r\n\r\n", status: http.StatusBadRequest},
		{name: "method of another kind", bytes: "BREW /console HTTP/1.1\r\nHost: 127.0.0.1\r\n\r\n", status: http.StatusMethodNotAllowed},
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
