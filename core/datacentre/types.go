// Package datacentre implements a node's membership and configuration state: which
// hosts are alive in every data centre, which configuration version is active, what is
// forwarded to which peer, and which hosts read the platform.
package datacentre

import (
	"lynxfold/core/contract"
	"lynxfold/core/host"
)

// Name is the name of a data centre.
type Name string

// Upstream is a backend server that is eligible for calls.
type Upstream struct {
	Host        host.ID
	DataCentre  Name
	Address     string
	Incarnation host.Incarnation
	Service     contract.ServiceName
	Slots       host.Slots
	Connections int
	// Release is the release of the software that the upstream runs; empty when it states
	// none.
	Release host.Release
	// Suspect is set while the failure detector suspects the host; callers prefer
	// other upstreams.
	Suspect bool
}

// ActivationBasis says what the first active version after a start is based on.
type ActivationBasis string

// Bases of the first active version after a start. A node without a basis has no
// active version and rejects all calls without running them.
const (
	BasisNone ActivationBasis = ""
	// BasisPlatform: the current version was read from the platform's table.
	BasisPlatform ActivationBasis = "platform"
	// BasisFloor: neighbours remembered this host's floor, the highest version that it
	// may have had active before its restart, and the version is not below it.
	BasisFloor ActivationBasis = "floor"
	// BasisNeighbours: no neighbour remembered this host; the version is the highest
	// among the neighbours that were reached within floorTimeout.
	BasisNeighbours ActivationBasis = "neighbours"
)

// View is the snapshot that calls are routed by: the active configuration and the
// usable upstreams. It is immutable once published.
type View struct {
	Config *contract.Snapshot
	// Basis is empty until the node may activate a version.
	Basis     ActivationBasis
	Upstreams map[contract.ServiceName][]Upstream
	Hosts     *HostList
}
