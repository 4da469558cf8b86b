package main

import (
	"fmt"

	"lynxfold/bench/capacity"
	"lynxfold/core/contract"
)

// configSizes are numbers of services, up to the target.
var configSizes = []int{100, 250, 400, 550, 700}

// changeSizes are numbers of routes changed at once.
var changeSizes = []int{1, 2, 4, 8, 16}

// document has the shape of the target's: three routes for each service.
func document(services int) *contract.Document {
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

func snapshot(services int) *contract.Snapshot {
	sn, err := contract.Compile(1, document(services))
	if err != nil {
		panic(err) // the document is valid
	}
	return sn
}

// changed moves the first routes of a snapshot to other paths.
func changed(sn *contract.Snapshot, routes int) *contract.Snapshot {
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
			Points: series(configSizes, func(si int) float64 {
				return heapOf(func() any { return snapshot(si) })
			}),
		},
		{
			Name: "delta_time", Unit: "µs", Driver: "service", Source: source,
			Points: series(configSizes, deltaTime),
		},
		{
			Name: "whole_time", Unit: "µs", Driver: "service", Source: source,
			Points: series(configSizes, wholeTime),
		},
		{
			Name: "delta_bytes", Unit: "bytes", Driver: "changed route", Source: source,
			Points: series(changeSizes, func(si int) float64 {
				sn := snapshot(50)
				return float64(len(contract.Diff(sn, changed(sn, si)).Encode()))
			}),
		},
		{
			Name: "whole_bytes", Unit: "bytes", Driver: "service", Source: source,
			Points: series(configSizes, func(si int) float64 {
				return float64(len(contract.Pack(document(si))))
			}),
		},
	}, nil
}

// deltaTime is the time to decode, check and apply a delta of one route.
func deltaTime(services int) float64 {
	sn := snapshot(services)
	data := contract.Diff(sn, changed(sn, 1)).Encode()
	return timeOf(func() {
		de, err := contract.ParseDelta(data)
		if err != nil {
			panic(err)
		}
		if _, err := de.Apply(sn); err != nil {
			panic(err)
		}
	})
}

// wholeTime is the time to unpack, check and compile a whole document.
func wholeTime(services int) float64 {
	sn := snapshot(services)
	data := contract.Pack(sn.Document)
	return timeOf(func() {
		if _, err := contract.Unpack(sn.Version, sn.Digest, data); err != nil {
			panic(err)
		}
	})
}
