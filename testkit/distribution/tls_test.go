package distribution_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	upstreamstandin "lynxfold/io/upstream/standin"
	"lynxfold/testkit"
)

// tlsSettings returns the settings lines that enable mutual TLS.
func tlsSettings(au *testkit.Authority) string {
	files := au.Sign("test", time.Now().Add(time.Hour))
	return fmt.Sprintf("[tls]\ncert_file = %s\nkey_file = %s\nca_file = %s\n", files.Cert, files.Key, au.CertFile)
}

// TestMeshWithMutualTLS connects nodes whose certificates are of one authority and
// makes a call between them; a node with a certificate of another authority is
// refused.
func TestMeshWithMutualTLS(t *testing.T) {
	own, other := testkit.NewAuthority(t, "own"), testkit.NewAuthority(t, "other")
	la := testkit.Layout{
		Name:        "tls",
		DataCentres: []string{"press-hall", "curing-room"},
		Services:    []testkit.LayoutService{{Name: "portal", Upstreams: 1}},
	}
	me := testkit.StartMesh(t, testkit.MeshConfig{
		Hosts: []testkit.HostSpec{
			{ID: "press-hall-1", DataCentre: "press-hall", Settings: tlsSettings(own)},
			{
				ID:         "curing-room-1",
				DataCentre: "curing-room",
				Upstream:   upstreamstandin.Config{Name: "curing-room-1", Service: "portal", Slots: 4},
				Settings:   tlsSettings(own),
			},
			{
				ID:         "curing-room-2",
				DataCentre: "curing-room",
				Upstream:   upstreamstandin.Config{Name: "curing-room-2", Service: "portal", Slots: 4},
				Settings:   tlsSettings(other),
			},
		},
	})
	testkit.Eventually(t, waitTimeout, "a version is accepted", func() bool {
		if me.Status("press-hall-1") == nil {
			return false
		}
		status, _ := me.Apply("press-hall-1", 0, la.Document(1000))
		return status == fasthttp.StatusOK
	})
	testkit.Eventually(t, waitTimeout, "a call crosses two nodes", func() bool {
		code, _, err := fasthttp.Get(nil, "http://"+me.Hosts["press-hall-1"].CallerAddress+"/portal")
		return err == nil && code == fasthttp.StatusOK
	})
	testkit.Eventually(t, waitTimeout, "the node of another authority was refused", func() bool {
		return me.HostMetric("press-hall-1", `lynxfold_link_connections_refused_total{reason="refused_by_peer"}`) > 0 &&
			me.HostMetric("curing-room-2", `lynxfold_link_dials_failed_total{reason="unknown_authority"}`) > 0
	})
	st := me.Status("press-hall-1")
	assert.Equal(t, len(st.Services), 1)
	assert.Equal(t, st.Services[0].Upstreams, 1)
	assert.Equal(t, me.HostMetric("press-hall-1", "lynxfold_control_links"), 1.0)
}
