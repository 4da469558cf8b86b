// Package tcp checks the state of TCP connections without reading from them.
package tcp

import (
	"crypto/tls"
	"net"
	"syscall"
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

// Peek returns the state of a connection without blocking and without consuming
// bytes. It returns StateIdle for a connection without a file descriptor.
func Peek(nc net.Conn) State {
	if tc, ok := nc.(*tls.Conn); ok {
		nc = tc.NetConn()
	}
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return StateIdle
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return StateClosed
	}
	state := StateIdle
	err = rc.Control(func(fd uintptr) { state = peek(int(fd)) })
	if err != nil {
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
