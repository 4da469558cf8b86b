package node

import (
	"context"
	"crypto/tls"
	"net"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"lynxfold/testkit"
)

// recordingListener counts the connections that a listener accepted and records why it
// refused the others.
type recordingListener struct {
	address  string
	mu       sync.Mutex
	accepted int
	refused  []RefusalReason
}

func startRecordingListener(t *testing.T, cfg ListenerConfig) *recordingListener {
	t.Helper()
	li, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	rl := &recordingListener{address: li.Addr().String()}
	accept := func(co *Conn) {
		rl.mu.Lock()
		rl.accepted++
		rl.mu.Unlock()
		_, _ = co.Reader.ReadByte()
	}
	cfg.Control, cfg.Calls = accept, accept
	cfg.Refused = func(er *RefusedError) {
		rl.mu.Lock()
		defer rl.mu.Unlock()
		rl.refused = append(rl.refused, er.Reason)
	}
	ls := NewListener(li, cfg)
	var done sync.WaitGroup
	done.Go(func() { _ = ls.Serve() })
	t.Cleanup(func() {
		ls.Close()
		done.Wait()
	})
	return rl
}

func (rl *recordingListener) counts() (accepted int, refused []RefusalReason) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	return rl.accepted, append([]RefusalReason(nil), rl.refused...)
}

func certificates(t *testing.T, mesh string, files testkit.CertificateFiles, ca string) *Certificates {
	t.Helper()
	ce, err := NewCertificates(CertificatesConfig{
		Mesh:     mesh,
		CertFile: files.Cert,
		KeyFile:  files.Key,
		CAFile:   ca,
	})
	assert.NilError(t, err)
	return ce
}

func TestMutualTLS(t *testing.T) {
	inOneHour := time.Now().Add(time.Hour)
	own, other := testkit.NewAuthority(t, "own"), testkit.NewAuthority(t, "other")
	server := certificates(t, "szeged", own.Sign("szeged", inOneHour), own.CertFile)
	dialer := func(ce *Certificates) *Dialer {
		return &Dialer{
			Certificates: ce,
			Timeout:      2 * time.Second,
		}
	}
	for _, tc := range []struct {
		name   string
		dialer *Dialer
		// client is the reason for which the dialling side refuses the connection, server
		// the one of the listening side; it is empty for a side that accepts.
		client RefusalReason
		server RefusalReason
	}{
		{
			name:   "same mesh",
			dialer: dialer(certificates(t, "szeged", own.Sign("szeged", inOneHour), own.CertFile)),
		},
		{
			name:   "client of another authority",
			dialer: dialer(certificatesTrusting(t, other, own, "szeged")),
			server: RefusedUnknownAuthority,
		},
		{
			name:   "client that trusts another authority",
			dialer: dialer(certificates(t, "szeged", other.Sign("szeged", inOneHour), other.CertFile)),
			client: RefusedUnknownAuthority,
			server: RefusedByPeer,
		},
		{
			name:   "client of another mesh",
			dialer: dialer(certificates(t, "cuyo", own.Sign("cuyo", inOneHour), own.CertFile)),
			client: RefusedOtherMesh,
			server: RefusedByPeer,
		},
		{
			name:   "certificate of another mesh",
			dialer: dialer(certificatesPresenting(t, own, "cuyo", inOneHour)),
			server: RefusedOtherMesh,
		},
		{
			name:   "expired certificate",
			dialer: dialer(certificatesPresenting(t, own, "szeged", time.Now().Add(-time.Minute))),
			server: RefusedBadCertificate,
		},
		{
			name:   "no certificate",
			dialer: dialer(certificatesPresenting(t, own, "", inOneHour)),
			server: RefusedNoCertificate,
		},
		{
			name:   "no TLS",
			dialer: dialer(nil),
			server: RefusedNotTLS,
		},
	} {
		for _, preface := range []string{prefaceControl, prefaceCalls} {
			t.Run(tc.name+" "+preface[9:14], func(t *testing.T) {
				rl := startRecordingListener(t, ListenerConfig{Certificates: server})
				co, err := tc.dialer.dial(context.Background(), rl.address, preface)
				if tc.client != "" {
					var er *RefusedError
					assert.Assert(t, errors.As(err, &er), "%v", err)
					assert.Equal(t, er.Reason, tc.client)
				} else {
					assert.NilError(t, err)
					defer co.raw.Close()
				}
				testkit.Eventually(t, 5*time.Second, "the connection is accepted or refused", func() bool {
					accepted, refused := rl.counts()
					return accepted+len(refused) > 0
				})
				accepted, refused := rl.counts()
				if tc.server == "" {
					assert.Equal(t, accepted, 1)
					return
				}
				assert.Equal(t, accepted, 0)
				assert.DeepEqual(t, refused, []RefusalReason{tc.server})
			})
		}
	}
}

// certificatesTrusting returns certificates that present one signed by signer, and trust
// only another authority.
func certificatesTrusting(t *testing.T, signer, trusted *testkit.Authority, mesh string) *Certificates {
	t.Helper()
	ce := certificates(t, mesh, signer.Sign(mesh, time.Now().Add(time.Hour)), signer.CertFile)
	cr := *ce.current.Load()
	cr.roots = certificates(t, mesh, trusted.Sign(mesh, time.Now().Add(time.Hour)), trusted.CertFile).current.Load().roots
	ce.current.Store(&cr)
	return ce
}

// certificatesPresenting returns certificates that trust the mesh's authority, but present
// one with the given name and expiry, or none when the name is empty.
func certificatesPresenting(t *testing.T, au *testkit.Authority, name string, until time.Time) *Certificates {
	t.Helper()
	ce := certificates(t, "szeged", au.Sign("szeged", time.Now().Add(time.Hour)), au.CertFile)
	cr := *ce.current.Load()
	cr.own = tls.Certificate{}
	if name != "" {
		files := au.Sign(name, until)
		var err error
		cr.own, err = tls.LoadX509KeyPair(files.Cert, files.Key)
		assert.NilError(t, err)
	}
	ce.current.Store(&cr)
	return ce
}

func TestTLSIsAtLeast13(t *testing.T) {
	own := testkit.NewAuthority(t, "own")
	ce := certificates(t, "szeged", own.Sign("szeged", time.Now().Add(time.Hour)), own.CertFile)
	rl := startRecordingListener(t, ListenerConfig{Certificates: ce})
	cfg := ce.clientConfig()
	cfg.MinVersion, cfg.MaxVersion = tls.VersionTLS12, tls.VersionTLS12
	co, err := tls.Dial("tcp", rl.address, cfg)
	if err == nil {
		_ = co.Close()
	}
	assert.Assert(t, err != nil)
}

func TestCertificatesThatCannotBeUsed(t *testing.T) {
	inOneHour := time.Now().Add(time.Hour)
	own, other := testkit.NewAuthority(t, "own"), testkit.NewAuthority(t, "other")
	good := own.Sign("szeged", inOneHour)
	for _, tc := range []struct {
		name  string
		files testkit.CertificateFiles
		ca    string
	}{
		{name: "missing key", files: testkit.CertificateFiles{Cert: good.Cert, Key: "none"}, ca: own.CertFile},
		{name: "missing authority", files: good, ca: "none"},
		{name: "authority without certificate", files: good, ca: good.Key},
		{name: "another authority", files: good, ca: other.CertFile},
		{name: "another mesh", files: own.Sign("cuyo", inOneHour), ca: own.CertFile},
		{name: "expired", files: own.Sign("szeged", time.Now().Add(-time.Minute)), ca: own.CertFile},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, err := NewCertificates(CertificatesConfig{
				Mesh:     "szeged",
				CertFile: tc.files.Cert,
				KeyFile:  tc.files.Key,
				CAFile:   tc.ca,
			})
			assert.Assert(t, errors.HasType(err, &CertificateError{}), "%v", err)
		})
	}
}

func TestReloadKeepsTheFormerCertificateWhenTheNewOneIsBad(t *testing.T) {
	own := testkit.NewAuthority(t, "own")
	files := own.Sign("szeged", time.Now().Add(time.Hour))
	ce := certificates(t, "szeged", files, own.CertFile)
	before := ce.current.Load()
	assert.NilError(t, os.WriteFile(files.Cert, []byte("torn"), 0o600))
	assert.Assert(t, errors.HasType(ce.Reload(), &CertificateError{}))
	assert.Equal(t, ce.current.Load(), before)
	next := own.Sign("szeged", time.Now().Add(time.Hour))
	for from, to := range map[string]string{next.Cert: files.Cert, next.Key: files.Key} {
		data, err := os.ReadFile(from)
		assert.NilError(t, err)
		assert.NilError(t, os.WriteFile(to, data, 0o600))
	}
	assert.NilError(t, ce.Reload())
	assert.Assert(t, ce.current.Load() != before)
}
