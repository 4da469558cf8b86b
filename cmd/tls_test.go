package cmd_test

import (
	"bufio"
	"bytes"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lynxfold/cmd"
	"lynxfold/io/operator/access"
	"lynxfold/testkit"
)

// writeKeys writes a self-signed certificate for loopback and its key.
func writeKeys(t *testing.T, dir string, serial int64) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	ce := &x509.Certificate{
		SerialNumber:          big.NewInt(serial),
		Subject:               pkix.Name{CommonName: "console"},
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(time.Hour),
		IsCA:                  true,
		BasicConstraintsValid: true,
	}
	// Every test process has a loopback address of its own.
	address, _, err := net.SplitHostPort(testkit.FreeAddress(t))
	assert.NilError(t, err)
	ce.IPAddresses = []net.IP{net.ParseIP(address)}
	der, err := x509.CreateCertificate(rand.Reader, ce, ce, &key.PublicKey, key)
	assert.NilError(t, err)
	private, err := x509.MarshalECPrivateKey(key)
	assert.NilError(t, err)
	for name, block := range map[string]*pem.Block{
		"cert.pem": {Type: "CERTIFICATE", Bytes: der},
		"key.pem":  {Type: "EC PRIVATE KEY", Bytes: private},
	} {
		assert.NilError(t, os.WriteFile(filepath.Join(dir, name), pem.EncodeToMemory(block), 0o600))
	}
}

// TestKeysAreReadAgain replaces a running node's keys: an open connection stays open,
// a new one gets the new certificate, and invalid keys change nothing.
func TestKeysAreReadAgain(t *testing.T) {
	dir := t.TempDir()
	writeKeys(t, dir, 1)
	me := testkit.StartMesh(t, testkit.MeshConfig{
		Hosts: []testkit.HostSpec{{ID: "press-hall-1", DataCentre: "press-hall"}},
		Settings: fmt.Sprintf("[operator]\ncert_file = %s/cert.pem\nkey_file = %s/key.pem\ntokens = ana change %x\n",
			dir, dir, access.DigestOf("secret")),
	})
	ho := me.Hosts["press-hall-1"]
	testkit.Eventually(t, 20*time.Second, "the console answers", func() bool {
		co, err := tls.Dial("tcp", ho.OperatorAddress, &tls.Config{InsecureSkipVerify: true})
		if err != nil {
			return false
		}
		_ = co.Close()
		return true
	})
	open := dial(t, ho.OperatorAddress)
	assert.Equal(t, get(t, open, "/live"), http.StatusOK)
	assert.Equal(t, open.ConnectionState().PeerCertificates[0].SerialNumber.Int64(), int64(1))

	assert.Equal(t, status(t, ho.OperatorAddress, dir, "wrong"), 3)
	assert.Equal(t, status(t, ho.OperatorAddress, dir, "secret"), 0)

	writeKeys(t, dir, 2)
	ho.Signal(syscall.SIGHUP)
	testkit.Eventually(t, 20*time.Second, "the keys are read again", func() bool {
		return strings.Contains(ho.Log(), "console keys read again")
	})
	assert.Equal(t, get(t, open, "/live"), http.StatusOK)
	assert.Equal(t, dial(t, ho.OperatorAddress).ConnectionState().PeerCertificates[0].SerialNumber.Int64(), int64(2))

	assert.NilError(t, os.WriteFile(filepath.Join(dir, "cert.pem"), []byte("not PEM"), 0o600))
	ho.Signal(syscall.SIGHUP)
	testkit.Eventually(t, 20*time.Second, "the invalid keys are reported", func() bool {
		return strings.Contains(ho.Log(), "console keys not read again")
	})
	assert.Equal(t, dial(t, ho.OperatorAddress).ConnectionState().PeerCertificates[0].SerialNumber.Int64(), int64(2))
}

func dial(t *testing.T, address string) *tls.Conn {
	t.Helper()
	co, err := tls.Dial("tcp", address, &tls.Config{InsecureSkipVerify: true})
	assert.NilError(t, err)
	t.Cleanup(func() { _ = co.Close() })
	return co
}

// get sends one request on a connection that stays open.
func get(t *testing.T, co *tls.Conn, path string) int {
	t.Helper()
	_, err := fmt.Fprintf(co, "GET %s HTTP/1.1\r\nHost: console\r\n\r\n", path)
	assert.NilError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(co), nil)
	assert.NilError(t, err)
	_ = resp.Body.Close()
	return resp.StatusCode
}

// status runs lynxfold status with a token file and returns its exit code.
func status(t *testing.T, address, dir, token string) int {
	t.Helper()
	file := filepath.Join(dir, "token")
	assert.NilError(t, os.WriteFile(file, []byte(token+"\n"), 0o600))
	var out, err bytes.Buffer
	code := cmd.Run([]string{
		"status", "--node", "https://" + address,
		"--ca-file", filepath.Join(dir, "cert.pem"), "--token-file", file,
	}, &out, &err)
	t.Log(out.String(), err.String())
	return code
}

// TestSettingsAreReadAgain changes a running node's settings, without a signal and
// with one: limits take effect at once, and invalid settings change nothing.
func TestSettingsAreReadAgain(t *testing.T) {
	me := testkit.StartMesh(t, testkit.MeshConfig{
		Hosts: []testkit.HostSpec{{ID: "press-hall-1", DataCentre: "press-hall"}},
	})
	ho := me.Hosts["press-hall-1"]
	text, err := os.ReadFile(ho.SettingsFile())
	assert.NilError(t, err)
	write := func(text string) {
		assert.NilError(t, os.WriteFile(ho.SettingsFile(), []byte(text), 0o600))
	}
	testkit.Eventually(t, 20*time.Second, "the node runs", func() bool {
		return strings.Contains(ho.Log(), "node started")
	})
	write(string(text) + "[caller]\nmax_body_bytes = 10\n")
	testkit.Eventually(t, 20*time.Second, "the settings are read again", func() bool {
		return strings.Contains(ho.Log(), "settings read again")
	})
	write(string(text) + "[caller]\nmax_body_bytes = none\n")
	ho.Signal(syscall.SIGHUP)
	testkit.Eventually(t, 20*time.Second, "the invalid settings are reported", func() bool {
		return strings.Contains(ho.Log(), "settings not read again")
	})
	assert.Assert(t, strings.Contains(ho.Log(), "max_body_bytes"))
}
