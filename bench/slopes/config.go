package main

import (
	"fmt"

	"lynxfold/bench/capacity"
	"lynxfold/core/contract"
)

// configSizes are the numbers of services to measure, up to the target.
var configSizes = []int{100, 250, 400, 550, 700}

// changeSizes are the numbers of routes in one change.
var changeSizes = []int{1, 2, 4, 8, 16}

// targetDocument returns a document shaped like that of the target mesh: three
// routes per service.
func targetDocument(services int) *contract.Document {
	doc := &contract.Document{
		Contracts: []contract.Terms{
			{Name: "read", Idempotent: true, TimeoutMS: 1000, Retries: 2, HedgeAfterMS: 50, Class: contract.ClassLookup},
			{Name: "book", TimeoutMS: 5000, Retries: 1, Class: contract.ClassLookup},
			{Name: "upload", TimeoutMS: 60000, Class: contract.ClassBulk},
		},
	}
	for i := range services {
		name := contract.ServiceName(fmt.Sprintf("service-%04d", i))
		doc.Services = append(doc.Services, contract.Service{Name: name, Description: "records of department " + string(name)})
		for _, te := range []struct {
			contract contract.TermsName
			method   string
		}{
			{contract: "read", method: "GET"},
			{contract: "book", method: "POST"},
			{contract: "upload", method: "PUT"},
		} {
			doc.Routes = append(doc.Routes, contract.Route{
				Name:       contract.RouteName(fmt.Sprintf("%s-%s", name, te.contract)),
				PathPrefix: "/" + string(name),
				Methods:    []string{te.method},
				Service:    name,
				Contract:   te.contract,
			})
		}
	}
	return doc
}

func compileSnapshot(services int) *contract.Snapshot {
	sn, err := contract.Compile(1, targetDocument(services))
	if err != nil {
		panic(err) // the document is valid
	}
	return sn
}

// withChangedRoutes returns the next version of a snapshot, with new path prefixes
// for the first routes.
func withChangedRoutes(sn *contract.Snapshot, routes int) *contract.Snapshot {
	doc := sn.Document.Clone()
	for i := range routes {
		doc.Routes[i].PathPrefix += "/moved"
	}
	next, err := contract.Compile(sn.Version+1, doc)
	if err != nil {
		panic(err) // the document is valid
	}
	return next
}

func measureConfig() ([]capacity.Slope, error) {
	const source = "bench/slopes/config.go"
	return []capacity.Slope{
		{
			Name: "config_memory", Unit: "bytes", Driver: "service", Source: source,
			Points: measurePoints(configSizes, func(si int) float64 {
				return heapBytes(func() any { return compileSnapshot(si) })
			}),
		},
		{
			Name: "delta_time", Unit: "µs", Driver: "service", Source: source,
			Points: measurePoints(configSizes, deltaApplyMicros),
		},
		{
			Name: "whole_time", Unit: "µs", Driver: "service", Source: source,
			Points: measurePoints(configSizes, fullUnpackMicros),
		},
		{
			Name: "delta_bytes", Unit: "bytes", Driver: "changed route", Source: source,
			Points: measurePoints(changeSizes, func(si int) float64 {
				sn := compileSnapshot(50)
				return float64(len(contract.Diff(sn, withChangedRoutes(sn, si)).Encode()))
			}),
		},
		{
			Name: "whole_bytes", Unit: "bytes", Driver: "service", Source: source,
			Points: measurePoints(configSizes, func(si int) float64 {
				return float64(len(contract.Pack(targetDocument(si))))
			}),
		},
	}, nil
}

// deltaApplyMicros measures the time to decode, validate and apply a delta of one
// route, in microseconds.
func deltaApplyMicros(services int) float64 {
	sn := compileSnapshot(services)
	data := contract.Diff(sn, withChangedRoutes(sn, 1)).Encode()
	return operationMicros(func() {
		de, err := contract.ParseDelta(data)
		if err != nil {
			panic(err)
		}
		if _, err := de.Apply(sn); err != nil {
			panic(err)
		}
	})
}

// fullUnpackMicros measures the time to unpack, validate and compile a full
// document, in microseconds.
func fullUnpackMicros(services int) float64 {
	sn := compileSnapshot(services)
	data := contract.Pack(sn.Document)
	return operationMicros(func() {
		if _, err := contract.Unpack(sn.Version, sn.Digest, data); err != nil {
			panic(err)
		}
	})
}
