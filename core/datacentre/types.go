// Package datacentre decides what a node knows of the hosts in every data centre
// and of the configuration: who is alive, which version is in force, what is
// passed on to whom, and who reads the platform.
package datacentre

import (
	"lynxfold/core/contract"
	"lynxfold/core/host"
)

// Name names a data centre.
type Name string

// Upstream is one backend server that calls may be sent to.
type Upstream struct {
	Host        host.ID
	DataCentre  Name
	Address     string
	Incarnation host.Incarnation
	Service     contract.ServiceName
	Slots       host.Slots
}

// View is what traffic reads: the configuration in force and the usable
// upstreams. It never changes once published.
type View struct {
	Config    *contract.Snapshot
	Upstreams map[contract.ServiceName][]Upstream
}
