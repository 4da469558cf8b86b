package node

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"
)

// RefusalReason is why a connection between nodes was refused or failed.
type RefusalReason string

// Reasons for refused or failed connections.
const (
	RefusedUnknownAuthority RefusalReason = "unknown_authority"
	// RefusedOtherMesh: the certificate or the hello names another mesh.
	RefusedOtherMesh      RefusalReason = "other_mesh"
	RefusedNoCertificate  RefusalReason = "no_certificate"
	RefusedBadCertificate RefusalReason = "bad_certificate"
	RefusedNotTLS         RefusalReason = "not_tls"
	// RefusedByPeer: the peer sent a TLS alert.
	RefusedByPeer     RefusalReason = "refused_by_peer"
	RefusedBadPreface RefusalReason = "bad_preface"
	RefusedBadHello   RefusalReason = "bad_hello"
	// RefusedItself: a node has connected to itself.
	RefusedItself    RefusalReason = "this_host_itself"
	RefusedOversize  RefusalReason = "oversize"
	RefusedMalformed RefusalReason = "malformed"
	// RefusedSlow: a timeout expired.
	RefusedSlow RefusalReason = "too_slow"
	// RefusedBusy: a limit on connections or concurrent joins is reached.
	RefusedBusy RefusalReason = "busy"
	// RefusedClosed: the connection was closed or reset.
	RefusedClosed RefusalReason = "closed_early"
	// RefusedUnreachable: the TCP connection could not be opened.
	RefusedUnreachable RefusalReason = "unreachable"
	RefusedOther       RefusalReason = "other"
)

// RefusedError reports a connection between nodes that was refused or failed.
type RefusedError struct {
	Reason RefusalReason
	Err    error
}

func (er *RefusedError) Error() string {
	if er.Err == nil {
		return "connection refused: " + string(er.Reason)
	}
	return fmt.Sprintf("connection refused: %s: %v", er.Reason, er.Err)
}

// Unwrap returns the cause.
func (er *RefusedError) Unwrap() error { return er.Err }

// PrefaceError reports a connection that starts with an unknown preface.
type PrefaceError struct{}

func (er *PrefaceError) Error() string { return "connection does not start with a known preface" }

// HelloError reports a hello that this node refused.
type HelloError struct {
	Reason RefusalReason
}

func (er *HelloError) Error() string { return "hello refused: " + string(er.Reason) }

// NoCertificateError reports a peer that presented no certificate.
type NoCertificateError struct{}

func (er *NoCertificateError) Error() string { return "peer presented no certificate" }

// newRefusedError classifies an error that ended a connection during its setup.
func newRefusedError(err error) *RefusedError {
	var refused *RefusedError
	if errors.As(err, &refused) {
		return refused
	}
	return &RefusedError{
		Reason: reasonOf(err),
		Err:    err,
	}
}

// reasonOf classifies an error of a connection between nodes.
func reasonOf(err error) RefusalReason {
	if reason := certificateReason(err); reason != "" {
		return reason
	}
	var (
		hello     *HelloError
		preface   *PrefaceError
		oversize  *OversizeError
		malformed *MalformedError
		timeout   net.Error
		dial      *net.OpError
	)
	switch {
	case errors.As(err, &hello):
		return hello.Reason
	case errors.As(err, &preface):
		return RefusedBadPreface
	case errors.As(err, &oversize):
		return RefusedOversize
	case errors.As(err, &malformed):
		return RefusedMalformed
	case errors.Is(err, os.ErrDeadlineExceeded), errors.As(err, &timeout) && timeout.Timeout():
		return RefusedSlow
	case errors.As(err, &dial) && dial.Op == "dial":
		return RefusedUnreachable
	}
	return streamReason(err)
}

// streamReason classifies an error of yamux or of an established TCP connection.
func streamReason(err error) RefusalReason {
	switch {
	case errors.Is(err, yamux.ErrInvalidVersion), errors.Is(err, yamux.ErrInvalidMsgType),
		errors.Is(err, yamux.ErrUnexpectedFlag), errors.Is(err, yamux.ErrRecvWindowExceeded):
		return RefusedMalformed
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, net.ErrClosed),
		errors.Is(err, yamux.ErrSessionShutdown), errors.Is(err, yamux.ErrConnectionReset),
		errors.Is(err, yamux.ErrStreamClosed), errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		return RefusedClosed
	}
	return RefusedOther
}

// alertOp is the net.OpError operation with which crypto/tls reports an alert from the
// peer.
const alertOp = "remote error"

// certificateReason classifies TLS errors; it is empty for other errors.
func certificateReason(err error) RefusalReason {
	var (
		missing   *NoCertificateError
		authority x509.UnknownAuthorityError
		name      x509.HostnameError
		invalid   x509.CertificateInvalidError
		record    tls.RecordHeaderError
		alert     *net.OpError
	)
	switch {
	case errors.As(err, &missing):
		return RefusedNoCertificate
	case errors.As(err, &authority):
		return RefusedUnknownAuthority
	case errors.As(err, &name):
		return RefusedOtherMesh
	case errors.As(err, &invalid):
		return RefusedBadCertificate
	case errors.As(err, &record):
		return RefusedNotTLS
	case errors.As(err, &alert) && alert.Op == alertOp:
		return RefusedByPeer
	}
	return ""
}
