package testkit

import (
	"testing"
	"time"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/Shopify/toxiproxy/v2/toxics"
	"gotest.tools/v3/assert"
)

// blackholeToxic drops the data of connections that were open when it was added.
// Connections opened later work.
type blackholeToxic struct {
	// OpenedBeforeUnixMS is the time, in Unix milliseconds, before which Pipe must
	// have started for the connection's data to be dropped. Pipe starts when the toxic
	// is added, or when the connection is opened if that is later.
	OpenedBeforeUnixMS int64 `json:"before_ms"`
}

// openMargin is the time allowed for adding the toxic to all open connections.
// Connections opened within it are affected too.
const openMargin = 50 * time.Millisecond

func init() { toxics.Register("swallow", new(blackholeToxic)) }

// Pipe forwards or drops the data of one connection in one direction.
func (bt *blackholeToxic) Pipe(stub *toxics.ToxicStub) {
	discard := time.Now().UnixMilli() < bt.OpenedBeforeUnixMS
	for {
		select {
		case <-stub.Interrupt:
			return
		case chunk := <-stub.Input:
			if chunk == nil {
				stub.Close()
				return
			}
			if !discard {
				stub.Output <- chunk
			}
		}
	}
}

// NewProxy starts a proxy in front of an address and stops it when the test ends.
func NewProxy(t testing.TB, upstream string) *toxiproxy.Proxy {
	t.Helper()
	sv := toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), nopLog())
	px := toxiproxy.NewProxy(sv, t.Name(), "127.0.0.1:0", upstream)
	assert.NilError(t, px.Start())
	t.Cleanup(px.Stop)
	return px
}

// BlackholeOpenConnections drops all data of a proxy's open connections in both directions
// without closing them. Connections opened later work.
func BlackholeOpenConnections(t testing.TB, px *toxiproxy.Proxy) {
	t.Helper()
	before := time.Now().Add(openMargin).UnixMilli()
	for _, dir := range []string{"upstream", "downstream"} {
		addToxic(t, px, "swallow-"+dir, "swallow", dir, map[string]int64{"before_ms": before})
	}
	time.Sleep(openMargin)
}
