package standin_test

import (
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lynxfold/io/upstream/standin"
)

// TestKilledWhileUnresponsiveAnswersNothing kills the server while requests wait.
func TestKilledWhileUnresponsiveAnswersNothing(t *testing.T) {
	for range 20 {
		sv, err := standin.Start("127.0.0.1:0", standin.Config{Slots: 16})
		assert.NilError(t, err)
		sv.SetUnresponsive(true)
		var conns []net.Conn
		for range 16 {
			nc, err := net.Dial("tcp", sv.Address())
			assert.NilError(t, err)
			_, err = io.WriteString(nc, "GET /results HTTP/1.1\r\nHost: x\r\n\r\n")
			assert.NilError(t, err)
			conns = append(conns, nc)
		}
		time.Sleep(20 * time.Millisecond)
		sv.Kill()
		for _, nc := range conns {
			data, _ := io.ReadAll(nc) // a reset is as good as a close
			assert.Check(t, len(data) == 0, "%q", data)
			assert.NilError(t, nc.Close())
		}
	}
}
