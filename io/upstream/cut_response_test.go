package upstream

import (
	"bufio"
	"io"
	"net"
	"testing"

	"gotest.tools/v3/assert"

	"lynxfold/core/host"
)

// TestResponseCutAtAnyByteIsNotComplete ends a response after each of its bytes, with a close
// and with a reset, and checks that none but the whole response counts as an answer.
func TestResponseCutAtAnyByteIsNotComplete(t *testing.T) {
	for name, response := range map[string]string{
		"with length":    "HTTP/1.1 200 OK\r\nAttempt: 17\r\nContent-Length: 5\r\nSignature: s\r\n\r\nhello",
		"length first":   "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nAttempt: 17\r\n\r\nhello",
		"empty body":     "HTTP/1.1 200 OK\r\nAttempt: 17\r\nContent-Length: 0\r\n\r\n",
		"without a body": "HTTP/1.1 204 No Content\r\nAttempt: 17\r\n\r\n",
		"chunked":        "HTTP/1.1 200 OK\r\nAttempt: 17\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n",
		"with trailers":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: Sum\r\n\r\n5\r\nhello\r\n0\r\nSum: 1\r\n\r\n",
		"after interim":  "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
		"after hints":    "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
		"failure":        "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 2\r\n\r\nno",
	} {
		t.Run(name, func(t *testing.T) {
			for cut := range len(response) {
				for _, reset := range []bool{false, true} {
					re, data, rs, err := doCut(t, response[:cut], reset)
					whole := re.Response != nil && err == nil
					assert.Check(t, !whole, "cut after %q: %d, body %q, %v", response[:cut], re.Response.GetStatus(), data, rs)
					if re.Response == nil {
						assert.Check(t, !re.Refusal.GetNotRun(), "cut after %q", response[:cut])
						assert.Equal(t, rs.Outcome, host.OutcomeUnknown)
					}
				}
			}
			re, _, rs, err := doCut(t, response, false)
			assert.NilError(t, err)
			assert.Check(t, re.Response != nil, "%+v", re.Refusal)
			assert.Equal(t, rs.Outcome, host.OutcomeRan)
		})
	}
}

// TestHeadWithoutLengthCutAtAnyByteIsNotComplete ends a response whose body would end with the
// connection inside its head.
func TestHeadWithoutLengthCutAtAnyByteIsNotComplete(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nAttempt: 17\r\nConnection: close\r\nSignature: s\r\n\r\n"
	for cut := range len(head) {
		re, data, rs, _ := doCut(t, head[:cut], false)
		assert.Check(t, re.Response == nil, "cut after %q: %d, body %q, %v", head[:cut], re.Response.GetStatus(), data, rs)
	}
}

// doCut makes a request that an upstream answers with the given bytes and the end of the
// connection.
func doCut(t *testing.T, response string, reset bool) (Reply, []byte, Result, error) {
	t.Helper()
	sc := startScriptedUpstream(t, func(sc *scriptedUpstream, nc net.Conn, rd *bufio.Reader) {
		if _, ok := sc.readRequest(rd); !ok {
			return
		}
		_, _ = io.WriteString(nc, response)
		if reset {
			_ = nc.(*net.TCPConn).SetLinger(0)
		}
	})
	defer func() { _ = sc.listener.Close() }()
	return do(t, newClient(t), sc, newRequest("GET"), nil)
}
