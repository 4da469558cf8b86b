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
	// TLS is nil when links are not encrypted.
	TLS *tls.Config
	// Timeout bounds the opening of a connection.
	Timeout time.Duration
}

func (di *Dialer) dial(ctx context.Context, address, preface string) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, di.Timeout)
	defer cancel()
	var nd net.Dialer
	nc, err := nd.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if di.TLS != nil {
		tc := tls.Client(nc, di.TLS)
		if err := tc.HandshakeContext(ctx); err != nil {
			_ = nc.Close()
			return nil, err
		}
		nc = tc
	}
	_ = nc.SetWriteDeadline(time.Now().Add(di.Timeout))
	if _, err := io.WriteString(nc, preface); err != nil {
		_ = nc.Close()
		return nil, err
	}
	_ = nc.SetWriteDeadline(time.Time{})
	return &Conn{
		Conn:   nc,
		Reader: bufio.NewReaderSize(nc, 16<<10),
	}, nil
}
