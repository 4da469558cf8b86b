package testkit

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Authority is a certificate authority for tests.
type Authority struct {
	t    testing.TB
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
	dir  string
	// CertFile is the path of the authority's own certificate.
	CertFile string
}

// CertificateFiles are the paths of a node's certificate and key.
type CertificateFiles struct {
	Cert string
	Key  string
}

// NewAuthority returns an authority with a new self-signed certificate.
func NewAuthority(t testing.TB, name string) *Authority {
	t.Helper()
	au := &Authority{
		t:   t,
		dir: t.TempDir(),
	}
	au.key = au.newKey()
	template := au.template(name)
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	data, err := x509.CreateCertificate(rand.Reader, template, template, au.key.Public(), au.key)
	assert.NilError(t, err)
	au.cert, err = x509.ParseCertificate(data)
	assert.NilError(t, err)
	au.CertFile = au.write(name+"-ca.pem", "CERTIFICATE", data)
	return au
}

// Sign issues a node certificate for a mesh, valid until the given time.
func (au *Authority) Sign(mesh string, until time.Time) CertificateFiles {
	au.t.Helper()
	key := au.newKey()
	template := au.template(mesh)
	template.DNSNames = []string{mesh}
	template.NotAfter = until
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	data, err := x509.CreateCertificate(rand.Reader, template, au.cert, key.Public(), au.key)
	assert.NilError(au.t, err)
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	assert.NilError(au.t, err)
	name := mesh + "-" + template.SerialNumber.String()
	return CertificateFiles{
		Cert: au.write(name+".pem", "CERTIFICATE", data),
		Key:  au.write(name+".key", "PRIVATE KEY", keyDER),
	}
}

func (au *Authority) newKey() *ecdsa.PrivateKey {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(au.t, err)
	return key
}

func (au *Authority) template(name string) *x509.Certificate {
	serial, err := rand.Int(rand.Reader, big.NewInt(1<<62))
	assert.NilError(au.t, err)
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(time.Hour),
	}
}

func (au *Authority) write(name, kind string, data []byte) string {
	path := filepath.Join(au.dir, name)
	block := &pem.Block{
		Type:  kind,
		Bytes: data,
	}
	assert.NilError(au.t, os.WriteFile(path, pem.EncodeToMemory(block), 0o600))
	return path
}
