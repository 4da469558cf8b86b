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

// Certificates authenticate nodes to each other: both ends show a certificate
// that one of the mesh's authorities has signed and that has the mesh's name
// among its DNS names.
type Certificates struct {
	cfg     CertificatesConfig
	current atomic.Pointer[keyPair]
}

// keyPair is what was read from the files.
type keyPair struct {
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

var errNoCertificates = errors.New("holds no PEM certificate")

// NewCertificates reads the files; they must fit each other and the mesh.
func NewCertificates(cfg CertificatesConfig) (*Certificates, error) {
	ce := &Certificates{cfg: cfg}
	if err := ce.Reload(); err != nil {
		return nil, err
	}
	return ce, nil
}

// Reload reads the files again. When they can't be used, the former ones stay.
func (ce *Certificates) Reload() error {
	own, err := tls.LoadX509KeyPair(ce.cfg.CertFile, ce.cfg.KeyFile)
	if err != nil {
		return &CertificateError{File: ce.cfg.CertFile, Err: err}
	}
	pem, err := os.ReadFile(ce.cfg.CAFile)
	if err != nil {
		return &CertificateError{File: ce.cfg.CAFile, Err: err}
	}
	kp := &keyPair{
		own:   own,
		roots: x509.NewCertPool(),
	}
	if !kp.roots.AppendCertsFromPEM(pem) {
		return &CertificateError{File: ce.cfg.CAFile, Err: errNoCertificates}
	}
	for _, usage := range []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth} {
		if err := ce.verify(kp, own.Leaf, nil, usage); err != nil {
			return &CertificateError{File: ce.cfg.CertFile, Err: err}
		}
	}
	ce.current.Store(kp)
	return nil
}

func (ce *Certificates) verify(kp *keyPair, leaf *x509.Certificate, others []*x509.Certificate, usage x509.ExtKeyUsage) error {
	intermediates := x509.NewCertPool()
	for _, other := range others {
		intermediates.AddCert(other)
	}
	_, err := leaf.Verify(x509.VerifyOptions{
		DNSName:       ce.cfg.Mesh,
		Roots:         kp.roots,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{usage},
	})
	return err
}

// client is what a connection to another node is opened with.
func (ce *Certificates) client() *tls.Config {
	kp := ce.current.Load()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		ServerName:   ce.cfg.Mesh,
		RootCAs:      kp.roots,
		Certificates: []tls.Certificate{kp.own},
	}
}

// server is what a connection from another node is taken with. The peer's
// certificate is verified here, and not by crypto/tls, for typed errors.
func (ce *Certificates) server() *tls.Config {
	kp := ce.current.Load()
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		Certificates:           []tls.Certificate{kp.own},
		ClientAuth:             tls.RequestClientCert,
		SessionTicketsDisabled: true,
		VerifyConnection: func(cs tls.ConnectionState) error {
			if len(cs.PeerCertificates) == 0 {
				return &NoCertificateError{}
			}
			return ce.verify(kp, cs.PeerCertificates[0], cs.PeerCertificates[1:], x509.ExtKeyUsageClientAuth)
		},
	}
}
