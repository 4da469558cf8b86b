package node

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// CertificatesConfig names the files for mutual TLS between nodes.
type CertificatesConfig struct {
	// Mesh must be a DNS name in the certificate of every node.
	Mesh     string
	CertFile string
	KeyFile  string
	// CAFile holds the authorities that sign the nodes' certificates.
	CAFile string
}

// Certificates authenticate nodes to each other by mutual TLS: both ends present a
// certificate that is signed by one of the mesh's authorities and has the mesh's name
// among its DNS names.
type Certificates struct {
	cfg     CertificatesConfig
	current atomic.Pointer[credentials]
}

// credentials are the node's certificate with its key, and the trusted authorities.
type credentials struct {
	own   tls.Certificate
	roots *x509.CertPool
}

// CertificateError reports a file that can't be used for TLS.
type CertificateError struct {
	File string
	Err  error
}

func (er *CertificateError) Error() string { return fmt.Sprintf("certificate %s: %v", er.File, er.Err) }

// Unwrap returns the cause.
func (er *CertificateError) Unwrap() error { return er.Err }

var errNoCertificates = errors.New("contains no PEM certificate")

// NewCertificates loads the files and verifies the certificate against the authorities
// and the mesh name.
func NewCertificates(cfg CertificatesConfig) (*Certificates, error) {
	ce := &Certificates{cfg: cfg}
	if err := ce.Reload(); err != nil {
		return nil, err
	}
	return ce, nil
}

// Reload loads the files again. When it fails, the previous certificates stay in use.
func (ce *Certificates) Reload() error {
	own, err := tls.LoadX509KeyPair(ce.cfg.CertFile, ce.cfg.KeyFile)
	if err != nil {
		return &CertificateError{File: ce.cfg.CertFile, Err: err}
	}
	pem, err := os.ReadFile(ce.cfg.CAFile)
	if err != nil {
		return &CertificateError{File: ce.cfg.CAFile, Err: err}
	}
	cr := &credentials{
		own:   own,
		roots: x509.NewCertPool(),
	}
	if !cr.roots.AppendCertsFromPEM(pem) {
		return &CertificateError{File: ce.cfg.CAFile, Err: errNoCertificates}
	}
	for _, usage := range []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth} {
		if err := ce.verify(cr, own.Leaf, nil, usage); err != nil {
			return &CertificateError{File: ce.cfg.CertFile, Err: err}
		}
	}
	ce.current.Store(cr)
	return nil
}

// verify verifies a certificate against the trusted authorities and the mesh name.
func (ce *Certificates) verify(cr *credentials, leaf *x509.Certificate, chain []*x509.Certificate, usage x509.ExtKeyUsage) error {
	intermediates := x509.NewCertPool()
	for _, other := range chain {
		intermediates.AddCert(other)
	}
	_, err := leaf.Verify(x509.VerifyOptions{
		DNSName:       ce.cfg.Mesh,
		Roots:         cr.roots,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{usage},
	})
	return err
}

// clientConfig returns the TLS configuration for dialling another node.
func (ce *Certificates) clientConfig() *tls.Config {
	cr := ce.current.Load()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		ServerName:   ce.cfg.Mesh,
		RootCAs:      cr.roots,
		Certificates: []tls.Certificate{cr.own},
	}
}

// serverConfig returns the TLS configuration for accepting a connection. It verifies the
// client certificate itself, in place of crypto/tls, so that failures have typed errors.
func (ce *Certificates) serverConfig() *tls.Config {
	cr := ce.current.Load()
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		Certificates:           []tls.Certificate{cr.own},
		ClientAuth:             tls.RequestClientCert,
		SessionTicketsDisabled: true,
		VerifyConnection: func(cs tls.ConnectionState) error {
			if len(cs.PeerCertificates) == 0 {
				return &NoCertificateError{}
			}
			return ce.verify(cr, cs.PeerCertificates[0], cs.PeerCertificates[1:], x509.ExtKeyUsageClientAuth)
		},
	}
}
