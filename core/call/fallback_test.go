package call_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"lynxfold/core/call"
	"lynxfold/core/contract"
	"lynxfold/core/datacentre"
)

const fallbackDocument = `{
  "services": [{"name": "near"}, {"name": "far"}],
  "contracts": [{"name": "read", "idempotent": true, "timeout_ms": 1000}],
  "routes": [
    {"name": "first", "path_prefix": "/a", "service": "near", "contract": "read", "fallback": "second"},
    {"name": "second", "path_prefix": "/b", "service": "far", "contract": "read"}
  ]
}`

// TestResolveFallback checks that the fallback of a route is used only if it has a
// usable upstream and the route has none.
func TestResolveFallback(t *testing.T) {
	doc, err := contract.ParseDocument([]byte(fallbackDocument))
	assert.NilError(t, err)
	sn, err := contract.Compile(1, doc)
	assert.NilError(t, err)
	up := []datacentre.Upstream{{Host: "a"}}
	for _, tc := range []struct {
		name      string
		upstreams map[contract.ServiceName][]datacentre.Upstream
		want      contract.RouteName
	}{
		{name: "usable", upstreams: map[contract.ServiceName][]datacentre.Upstream{"near": up, "far": up}, want: "first"},
		{name: "fallback", upstreams: map[contract.ServiceName][]datacentre.Upstream{"far": up}, want: "second"},
		{name: "neither", want: "first"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			vi := &datacentre.View{
				Config:    sn,
				Upstreams: tc.upstreams,
			}
			ta := call.ResolveFallback(vi, sn.Match("", "GET", "/a/17"))
			assert.Equal(t, ta.Route.Name, tc.want)
		})
	}
}
