package contract_test

import (
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"lynxfold/core/contract"
)

// TestFallbackKeepsRetrySafety checks that a fallback to an idempotent contract is
// refused, since it would allow retries of calls that may run only once.
func TestFallbackKeepsRetrySafety(t *testing.T) {
	doc, err := contract.ParseDocument([]byte(`{
  "services": [{"name": "booking"}],
  "contracts": [
    {"name": "once", "timeout_ms": 1000},
    {"name": "often", "idempotent": true, "timeout_ms": 1000}
  ],
  "routes": [
    {"name": "first", "path_prefix": "/a", "service": "booking", "contract": "once", "fallback": "second"},
    {"name": "second", "path_prefix": "/b", "service": "booking", "contract": "often"}
  ]
}`))
	assert.NilError(t, err)
	var invalid *contract.ValidationError
	assert.Assert(t, errors.As(doc.Validate(), &invalid))
	assert.Equal(t, len(invalid.Fields), 1)
	assert.Equal(t, invalid.Fields[0].Path, "routes[0].fallback")
	assert.Equal(t, invalid.Fields[0].Fault, contract.FaultContradiction)
}
