package operator

import (
	"crypto/tls"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// KeyPair is a TLS certificate with its private key that can be reloaded while
// connections are open. It is safe for concurrent use.
type KeyPair struct {
	certFile string
	keyFile  string
	current  atomic.Pointer[tls.Certificate]
}

// LoadKeyPair reads a certificate and its private key from PEM files.
func LoadKeyPair(certFile, keyFile string) (*KeyPair, error) {
	kp := &KeyPair{
		certFile: certFile,
		keyFile:  keyFile,
	}
	return kp, kp.Reload()
}

// Reload reads the files again. On an error the current pair stays in use.
func (kp *KeyPair) Reload() error {
	ce, err := tls.LoadX509KeyPair(kp.certFile, kp.keyFile)
	if err != nil {
		return errors.Wrapf(err, "read certificate %s", kp.certFile)
	}
	kp.current.Store(&ce)
	return nil
}

func (kp *KeyPair) certificate(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	return kp.current.Load(), nil
}
