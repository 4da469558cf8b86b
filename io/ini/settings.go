// Package ini reads a node's settings from an INI file and checks them as a whole.
package ini

import (
	"net/netip"
	"time"

	"lynxfold/core/datacentre"
	"lynxfold/core/host"
	"lynxfold/io/operator/access"
)

// Settings are everything that a node is told before it starts.
type Settings struct {
	Mesh     MeshSettings
	Host     HostSettings
	Link     LinkSettings
	Caller   CallerSettings
	Upstream UpstreamSettings
	Operator OperatorSettings
	Platform PlatformSettings
	TLS      TLSSettings
	Log      LogSettings
}

// MeshSettings name the mesh and its size.
type MeshSettings struct {
	Name string
	// FleetSize is how many hosts the mesh is expected to have.
	FleetSize int
}

// HostSettings identify the host.
type HostSettings struct {
	ID         host.ID
	DataCentre datacentre.Name
}

// LinkSettings are the addresses between nodes.
type LinkSettings struct {
	Listen    netip.AddrPort
	Advertise netip.AddrPort
	// AdvertiseRemote is told to nodes of other data centres.
	AdvertiseRemote netip.AddrPort
	Contacts        []netip.AddrPort
	// Joins bounds the nodes that join through this one at once.
	Joins int
	// ResyncBytesPerSecond bounds large control messages to all other nodes together.
	ResyncBytesPerSecond int
	MaxConnections       int
}

// CallerSettings are the callers' listener and its limits.
type CallerSettings struct {
	Listen          netip.AddrPort
	MaxHeaderBytes  int
	MaxBodyBytes    int
	MaxConnections  int
	DrainWithin     time.Duration
	RetryPerSuccess float64
}

// UpstreamSettings are the announcements' listener and the gate's limits.
type UpstreamSettings struct {
	Listen       netip.AddrPort
	LapseAfter   time.Duration
	QueuePerSlot int
}

// OperatorSettings are the console's listener and access.
type OperatorSettings struct {
	Listen netip.AddrPort
	// Tokens are who may read and who may change; only digests are kept.
	Tokens []access.Token
	// CertFile and KeyFile turn TLS on for the console.
	CertFile string
	KeyFile  string
}

// PlatformSettings are the platform's services and the budget for reading them.
type PlatformSettings struct {
	TableURL  string
	ObjectURL string
	Timeout   time.Duration
	// ReadsPerSecond is the budget of the whole fleet.
	ReadsPerSecond float64
	// KeyedWritesPerSecond is the budget of the whole fleet for keyed calls.
	KeyedWritesPerSecond float64
}

// TLSSettings turn mutual TLS on between nodes.
type TLSSettings struct {
	CertFile string
	KeyFile  string
	CAFile   string
}

// LogSettings set the least level that is logged.
type LogSettings struct {
	Level string
}
