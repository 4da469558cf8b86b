package node

import (
	"bufio"
	"context"
	"crypto/tls"
	"io"
	"net"
	"time"
)

// Dialer opens connections to other nodes.
type Dialer struct {
	// Certificates is nil when connections between nodes are not encrypted.
	Certificates *Certificates
	// Timeout limits the opening of a connection.
	Timeout time.Duration
	// CallDialTimeout limits the opening of a call connection; 0 means Timeout.
	CallDialTimeout time.Duration
}

// timeout returns the limit for opening a connection with a preface.
func (di *Dialer) timeout(preface string) time.Duration {
	if preface == prefaceCalls && di.CallDialTimeout > 0 {
		return di.CallDialTimeout
	}
	return di.Timeout
}

// dial opens a connection and sends its preface. It fails with a RefusedError when the
// TCP connection was opened, but the TLS handshake or the write of the preface failed.
func (di *Dialer) dial(ctx context.Context, address, preface string) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, di.timeout(preface))
	defer cancel()
	var nd net.Dialer
	raw, err := nd.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	co, err := di.handshake(ctx, raw, preface)
	if err != nil {
		_ = raw.Close()
		return nil, newRefusedError(err)
	}
	return co, nil
}

func (di *Dialer) handshake(ctx context.Context, raw net.Conn, preface string) (*Conn, error) {
	stream := raw
	if di.Certificates != nil {
		tc := tls.Client(raw, di.Certificates.clientConfig())
		if err := tc.HandshakeContext(ctx); err != nil {
			return nil, err
		}
		stream = tc
	}
	_ = raw.SetWriteDeadline(time.Now().Add(di.Timeout))
	if _, err := io.WriteString(stream, preface); err != nil {
		return nil, err
	}
	_ = raw.SetWriteDeadline(time.Time{})
	return newConn(raw, stream), nil
}

// connBufferBytes is the size of a connection's read buffer.
const connBufferBytes = 16 << 10

// Conn is a connection between nodes with its buffered reader.
type Conn struct {
	net.Conn
	Reader *bufio.Reader
	// raw is the TCP connection below TLS; closing it never blocks.
	raw net.Conn
}

func newConn(raw, stream net.Conn) *Conn {
	return &Conn{
		Conn:   stream,
		Reader: bufio.NewReaderSize(stream, connBufferBytes),
		raw:    raw,
	}
}

// Read reads through the buffered reader.
func (co *Conn) Read(buf []byte) (int, error) { return co.Reader.Read(buf) }
