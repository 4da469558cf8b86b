package tcp_test

import (
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lynxfold/io/tcp"
)

func connect(t *testing.T) (local, peer net.Conn) {
	t.Helper()
	li, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer li.Close()
	peer, err = net.Dial("tcp", li.Addr().String())
	assert.NilError(t, err)
	local, err = li.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() {
		_ = local.Close()
		_ = peer.Close()
	})
	return local, peer
}

// TestPeerClosedBehindUnreadBytes checks that a close is seen although there are bytes to
// read before it, and that none of them is lost.
func TestPeerClosedBehindUnreadBytes(t *testing.T) {
	local, peer := connect(t)
	_, err := io.WriteString(peer, "abc")
	assert.NilError(t, err)
	for tcp.Peek(local) != tcp.StateReadable {
		time.Sleep(time.Millisecond)
	}
	assert.Equal(t, tcp.PeerClosed(local), false)
	assert.NilError(t, peer.Close())
	for !tcp.PeerClosed(local) {
		time.Sleep(time.Millisecond)
	}
	assert.Equal(t, tcp.Peek(local), tcp.StateReadable)
	data, err := io.ReadAll(local)
	assert.NilError(t, err)
	assert.Equal(t, string(data), "abc")
}
