package node

import (
	"strings"
	"testing"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
)

// swallower is a proxy that can go silent without closing anything.
type swallower struct {
	t       *testing.T
	proxy   *toxiproxy.Proxy
	address string
}

func newSwallower(t *testing.T, address string) *swallower {
	t.Helper()
	sv := toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop())
	pr := toxiproxy.NewProxy(sv, "silent", "127.0.0.1:0", address)
	assert.NilError(t, pr.Start())
	t.Cleanup(pr.Stop)
	return &swallower{
		t:       t,
		proxy:   pr,
		address: pr.Listen,
	}
}

// swallow drops everything both ways from now on.
func (sw *swallower) swallow() {
	for _, stream := range []string{"upstream", "downstream"} {
		to := `{"name":"` + stream + `","type":"timeout","stream":"` + stream + `","attributes":{"timeout":0}}`
		_, err := sw.proxy.Toxics.AddToxicJson(strings.NewReader(to))
		assert.Check(sw.t, err)
	}
}
