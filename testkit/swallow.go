package testkit

import (
	"testing"
	"time"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/Shopify/toxiproxy/v2/toxics"
	"gotest.tools/v3/assert"
)

// swallowToxic swallows what goes over the connections that are open when it is
// added; connections opened after its moment work.
type swallowToxic struct {
	// BeforeMS is that moment, in Unix milliseconds.
	BeforeMS int64 `json:"before_ms"`
}

// swallowMoment is how long a connection counts as open already, so that all
// connections that are open when the toxic is added do.
const swallowMoment = 50 * time.Millisecond

func init() { toxics.Register("swallow", new(swallowToxic)) }

// Pipe passes the data of one connection in one direction.
func (st *swallowToxic) Pipe(stub *toxics.ToxicStub) {
	swallows := time.Now().UnixMilli() < st.BeforeMS
	for {
		select {
		case <-stub.Interrupt:
			return
		case chunk := <-stub.Input:
			if chunk == nil {
				stub.Close()
				return
			}
			if !swallows {
				stub.Output <- chunk
			}
		}
	}
}

// NewProxy starts a proxy before an address; it is stopped when the test ends.
func NewProxy(t testing.TB, upstream string) *toxiproxy.Proxy {
	t.Helper()
	sv := toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), nopLog())
	px := toxiproxy.NewProxy(sv, t.Name(), "127.0.0.1:0", upstream)
	assert.NilError(t, px.Start())
	t.Cleanup(px.Stop)
	return px
}

// SwallowOpen makes the connections that are open through a proxy silent both
// ways, without a reset; connections opened later work.
func SwallowOpen(t testing.TB, px *toxiproxy.Proxy) {
	t.Helper()
	before := time.Now().Add(swallowMoment).UnixMilli()
	for _, dir := range []string{"upstream", "downstream"} {
		addToxic(t, px, "swallow-"+dir, "swallow", dir, map[string]int64{"before_ms": before})
	}
	time.Sleep(swallowMoment)
}
