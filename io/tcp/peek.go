// Package tcp checks the state of TCP connections without reading from them.
package tcp

import (
	"crypto/tls"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// State is the state of a connection's receiving side.
type State int

// States of a connection's receiving side.
const (
	// StateIdle means that the connection is open and has nothing to read.
	StateIdle State = iota
	// StateReadable means that the connection is open and has bytes to read.
	StateReadable
	// StateClosed means that the peer has closed or reset the connection.
	StateClosed
)

// PeerClosed reports whether the peer has closed its sending side, also while there are
// bytes to read before that. It returns false for a connection without a file descriptor.
func PeerClosed(nc net.Conn) bool {
	closed := false
	if err := control(nc, func(fd int) { closed = pollPeerClosed(fd) }); err != nil {
		return true
	}
	return closed
}

func pollPeerClosed(fd int) bool {
	fds := []unix.PollFd{{
		Fd:     int32(fd),
		Events: unix.POLLRDHUP,
	}}
	_, err := unix.Poll(fds, 0)
	return err == nil && fds[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}

// control calls run with the file descriptor of a connection, if it has one.
func control(nc net.Conn, run func(fd int)) error {
	if tc, ok := nc.(*tls.Conn); ok {
		nc = tc.NetConn()
	}
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return nil
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return err
	}
	return rc.Control(func(fd uintptr) { run(int(fd)) })
}

// Peek returns the state of a connection without blocking and without consuming
// bytes. It returns StateIdle for a connection without a file descriptor.
func Peek(nc net.Conn) State {
	state := StateIdle
	if err := control(nc, func(fd int) { state = peek(fd) }); err != nil {
		return StateClosed
	}
	return state
}

func peek(fd int) State {
	var buf [1]byte
	n, _, err := syscall.Recvfrom(fd, buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch {
	case err == syscall.EAGAIN || err == syscall.EINTR:
		return StateIdle
	case err != nil || n == 0:
		return StateClosed
	}
	return StateReadable
}
