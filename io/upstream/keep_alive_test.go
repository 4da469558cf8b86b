package upstream

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lynxfold/core/host"
)

// TestIdleConnectionIsNotReusedPastStatedTimeout checks that a connection is not reused
// when the upstream may already be closing it.
func TestIdleConnectionIsNotReusedPastStatedTimeout(t *testing.T) {
	for header, connections := range map[string]int64{
		"Keep-Alive: timeout=1\r\n":          2,
		"Keep-Alive: max=100, timeout=1\r\n": 2,
		"Keep-Alive: timeout=60\r\n":         1,
		"Keep-Alive: timeout=soon\r\n":       1,
		"":                                   1,
	} {
		t.Run(header, func(t *testing.T) {
			t.Parallel()
			sc := startScriptedUpstream(t, func(sc *scriptedUpstream, nc net.Conn, rd *bufio.Reader) {
				for {
					if _, ok := sc.readRequest(rd); !ok {
						return
					}
					_, _ = io.WriteString(nc, "HTTP/1.1 200 OK\r\n"+header+"Content-Length: 2\r\n\r\nok")
				}
			})
			cl := newClient(t)
			rq := newRequest("GET")
			rq.Idempotent = true
			for range 2 {
				_, _, rs, _ := do(t, cl, sc, rq, nil)
				assert.Equal(t, rs.Outcome, host.OutcomeRan)
				time.Sleep(time.Second)
			}
			assert.Equal(t, sc.accepted.Load(), connections)
		})
	}
}
