package testkit_test

import (
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	upstreamstandin "lynxfold/io/upstream/standin"
	"lynxfold/testkit"
)

const document = `{
  "services": [{"name": "lookup"}],
  "contracts": [{"name": "read", "idempotent": true, "timeout_ms": 2000, "retries": 2}],
  "routes": [{"name": "results", "path_prefix": "/results", "service": "lookup", "contract": "read"}]
}`

// TestCallCrossesTwoNodes applies a configuration and makes a call that enters at
// one node and runs at the upstream of another.
func TestCallCrossesTwoNodes(t *testing.T) {
	me := testkit.StartMesh(t, testkit.MeshConfig{
		Proxied: true,
		Hosts: []testkit.HostSpec{
			{ID: "press-hall-1", DataCentre: "press-hall"},
			{
				ID:         "curing-room-1",
				DataCentre: "curing-room",
				Upstream: upstreamstandin.Config{
					Name:    "curing-room-1",
					Service: "lookup",
					Slots:   4,
				},
			},
		},
	})
	testkit.Eventually(t, 10*time.Second, "the host answers", func() bool {
		return me.Status("press-hall-1") != nil
	})
	status, body := me.Apply("press-hall-1", 0, document)
	assert.Equal(t, status, fasthttp.StatusOK)
	assert.Equal(t, uint64(body.Version), uint64(1))
	testkit.Eventually(t, 10*time.Second, "the upstream is known", func() bool {
		st := me.Status("press-hall-1")
		return st != nil && len(st.Services) == 1 && st.Services[0].Upstreams == 1
	})
	code, answer, err := fasthttp.Get(nil, "http://"+me.Hosts["press-hall-1"].CallerAddress+"/results/17")
	assert.NilError(t, err)
	assert.Equal(t, code, fasthttp.StatusOK, "%s", answer)
	assert.Equal(t, len(me.Hosts["curing-room-1"].Upstream.Ledger()), 1)
}
