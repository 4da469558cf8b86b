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
	Connections int
	// Suspect hosts do not answer some neighbour; prefer others.
	Suspect bool
}

// Grounds says why a version may be in force after a start.
type Grounds string

// Grounds for a version after a start. Until a node has grounds it has nothing
// in force, and answers calls as not run.
const (
	GroundsNone Grounds = ""
	// GroundsPlatform: the table's current version was read.
	GroundsPlatform Grounds = "platform"
	// GroundsFloor: neighbours remembered the highest version of this host.
	GroundsFloor Grounds = "floor"
	// GroundsNeighbours: nobody remembered; the highest version among the
	// neighbours reached within the bounded wait.
	GroundsNeighbours Grounds = "neighbours"
)

// View is what traffic reads: the configuration in force and the usable
// upstreams. It never changes once published.
type View struct {
	Config *contract.Snapshot
	// Grounds is empty until the node may put a version in force.
	Grounds   Grounds
	Upstreams map[contract.ServiceName][]Upstream
}
