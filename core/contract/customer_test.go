package contract

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestDocumentWithoutCustomersIsUnchanged guards against a new encoding or digest of
// documents without customers, which hosts of earlier releases would refuse. The wanted
// values come from the release before customers.
func TestDocumentWithoutCustomersIsUnchanged(t *testing.T) {
	doc, err := ParseDocument([]byte(`{"services":[{"name":"a"}],"contracts":[{"name":"c","timeout_ms":5}],
"routes":[{"name":"r","path_prefix":"/","service":"a","contract":"c"}],"limits":{"max_body_bytes":7}}`))
	assert.NilError(t, err)
	assert.Equal(t, string(doc.Encode()), `{"services":[{"name":"a"}],"contracts":[{"name":"c","timeout_ms":5,"class":"lookup"}],`+
		`"routes":[{"name":"r","path_prefix":"/","service":"a","contract":"c"}],"limits":{"max_body_bytes":7}}`)
	assert.Equal(t, doc.Digest(), Digest("f6a7705f627ff152f55c902a857a124a12c86bcced6d9d32815244d8c9386371"))
}

// TestCustomerFaults checks that each fault of a customer is reported with its path, and
// that no detail quotes a key that was written in place of its digest.
func TestCustomerFaults(t *testing.T) {
	doc, err := ParseDocument([]byte(strings.ReplaceAll(`{"customers":[
{"name":"a","keys":["DIGEST"],"rate_per_second":-1,"burst":10000001,"priority":-1},
{"name":"b","keys":["DIGEST","secret-key"]},{"name":"b"},{"keys":[]},{"name":"c\n"}]}`, "DIGEST", string(DigestKey([]byte("k"))))))
	assert.NilError(t, err)
	var invalid *ValidationError
	assert.Assert(t, errors.As(doc.Validate(), &invalid))
	var got []string
	for _, fe := range invalid.Fields {
		got = append(got, fmt.Sprintf("%s %s", fe.Path, fe.Fault))
	}
	assert.DeepEqual(t, got, []string{
		"customers[0].name missing",
		"customers[1].priority out_of_range",
		"customers[1].rate_per_second out_of_range",
		"customers[1].burst out_of_range",
		"customers[2].keys[0] shared_key",
		"customers[2].keys[1] bad_key",
		"customers[3].name duplicate",
		"customers[4].name bad_name",
	})
	assert.Assert(t, !strings.Contains(invalid.Error(), "secret-key"))
	assert.Assert(t, !strings.Contains(invalid.Error(), string(DigestKey([]byte("k")))))
}

// BenchmarkCustomerByKey checks that a lookup costs the same with few keys and with many,
// and allocates nothing.
func BenchmarkCustomerByKey(b *testing.B) {
	for _, keys := range []int{10, 100_000} {
		b.Run(fmt.Sprintf("keys=%d", keys), func(b *testing.B) {
			doc := &Document{}
			for i := range keys {
				if i%10 == 0 {
					doc.Customers = append(doc.Customers, Customer{Name: CustomerName(fmt.Sprintf("customer-%d", i/10))})
				}
				cu := &doc.Customers[i/10]
				cu.Keys = append(cu.Keys, DigestKey(fmt.Appendf(nil, "key-%d", i)))
			}
			sn, err := Compile(1, doc)
			assert.NilError(b, err)
			key := fmt.Appendf(nil, "key-%d", keys/2)
			b.ReportAllocs()
			for b.Loop() {
				if _, ok := sn.CustomerByKey(key); !ok {
					b.Fatal("unknown key")
				}
			}
		})
	}
}
