package draft_test

import (
	"fmt"
	"testing"

	"lynxfold/core/contract"
	"lynxfold/core/draft"
)

// largeDocument builds a document with 700 services, the number that the mesh is
// designed for, and three routes for each.
func largeDocument() *contract.Document {
	doc := &contract.Document{}
	for i := range 20 {
		doc.Contracts = append(doc.Contracts, contract.Terms{
			Name:      contract.TermsName(fmt.Sprintf("contract-%03d", i)),
			TimeoutMS: 2000,
			Class:     contract.ClassLookup,
		})
	}
	for i := range 700 {
		name := contract.ServiceName(fmt.Sprintf("service-%03d", i))
		doc.Services = append(doc.Services, contract.Service{Name: name})
		for j := range 3 {
			doc.Routes = append(doc.Routes, contract.Route{
				Name:       contract.RouteName(fmt.Sprintf("%s-%d", name, j)),
				PathPrefix: fmt.Sprintf("/%s/%d", name, j),
				Service:    name,
				Contract:   doc.Contracts[i%20].Name,
			})
		}
	}
	return doc
}

// BenchmarkReview measures the review of a draft with ten edited contracts: parsing,
// merging, risks and validation. It reports the sizes of the draft and the document.
func BenchmarkReview(b *testing.B) {
	sn, err := contract.Compile(1, largeDocument())
	if err != nil {
		b.Fatal(err)
	}
	dr := draft.New(1)
	for _, te := range sn.Document.Contracts[:10] {
		te.TimeoutMS = 1000
		dr.PutContract(sn.Document, te)
	}
	encoded := dr.Encode()
	b.ReportAllocs()
	for b.Loop() {
		again, err := draft.Parse(encoded)
		if err != nil {
			b.Fatal(err)
		}
		merged, _ := again.Merge(sn, nil)
		_ = merged.Risks(sn.Document, nil)
		if err := merged.Apply(sn.Document).Validate(); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(encoded)), "draft-B")
	b.ReportMetric(float64(len(sn.Document.Encode())), "document-B")
	b.ReportMetric(float64(len(contract.Pack(sn.Document))), "packed-B")
}
