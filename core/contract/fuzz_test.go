package contract_test

import (
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"lynxfold/core/contract"
)

// FuzzParseDocument checks that parsing never panics, that errors are typed, and that
// encoding and parsing a valid document again keeps its digest.
func FuzzParseDocument(f *testing.F) {
	f.Add([]byte(`{"services":[{"name":"a"}],"contracts":[{"name":"c","timeout_ms":5}],"routes":[{"name":"r","path_prefix":"/","service":"a","contract":"c"}]}`))
	f.Add([]byte(`{"routes":[{"name":"r","fallback":"r","path_prefix":"//","methods":["get"]}]}`))
	f.Add([]byte(`{"services":null}`))
	f.Add([]byte(`{"contracts":[{"timeout_ms":1e99}]}`))
	f.Add([]byte(`{"customers":[{"name":"u","keys":["9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"],"priority":0,"rate_per_second":2.5,"burst":1}]}`))
	f.Add([]byte(`{"customers":[{"keys":["a key","a key"],"burst":-1,"priority":-1},{"name":"u"},{"name":"u"}]}`))
	f.Add([]byte(`{}{}`))
	f.Add([]byte(`[`))
	f.Fuzz(func(t *testing.T, data []byte) {
		doc, err := contract.ParseDocument(data)
		if err != nil {
			var syntax *contract.SyntaxError
			assert.Assert(t, errors.As(err, &syntax), "%T", err)
			return
		}
		if err := doc.Validate(); err != nil {
			var invalid *contract.ValidationError
			assert.Assert(t, errors.As(err, &invalid), "%T", err)
			assert.Assert(t, len(invalid.Fields) > 0)
			return
		}
		again, err := contract.ParseDocument(doc.Encode())
		assert.NilError(t, err)
		assert.Equal(t, again.Digest(), doc.Digest())
	})
}
