package node

import (
	"strings"
	"testing"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
)

// blackholeProxy is a proxy that can drop all traffic without closing connections.
type blackholeProxy struct {
	t       *testing.T
	proxy   *toxiproxy.Proxy
	address string
}

func newBlackholeProxy(t *testing.T, address string) *blackholeProxy {
	t.Helper()
	sv := toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop())
	pr := toxiproxy.NewProxy(sv, "silent", "127.0.0.1:0", address)
	assert.NilError(t, pr.Start())
	t.Cleanup(pr.Stop)
	return &blackholeProxy{
		t:       t,
		proxy:   pr,
		address: pr.Listen,
	}
}

// dropTraffic drops all traffic in both directions from now on.
func (bp *blackholeProxy) dropTraffic() {
	for _, stream := range []string{"upstream", "downstream"} {
		to := `{"name":"` + stream + `","type":"timeout","stream":"` + stream + `","attributes":{"timeout":0}}`
		_, err := bp.proxy.Toxics.AddToxicJson(strings.NewReader(to))
		assert.Check(bp.t, err)
	}
}
