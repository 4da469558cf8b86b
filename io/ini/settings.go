// Package ini reads a node's settings from an INI file and checks them as a whole.
package ini

import (
	"net/netip"
	"time"

	"lynxfold/core/contract"
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
	Health   HealthSettings
	Process  ProcessSettings
	// Surroundings are values for the adapter that Platform.Protocol names.
	Surroundings map[string]string
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
	// Service is that of the upstream on this host; calls that begin here are
	// made in its name.
	Service contract.ServiceName
}

// HealthSettings are the listener for health pages and counters.
type HealthSettings struct {
	// Listen is not valid when there is no such listener.
	Listen  netip.AddrPort
	Metrics netip.AddrPort
}

// ProcessSettings bound what the process takes of its host.
type ProcessSettings struct {
	// MemoryMB is the memory that the process may use; 0 means no bound.
	MemoryMB int
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
	// RetryBurst and RetryPerSecond are what all nodes together have for one
	// service beside that: what they can save up, and what each second adds.
	RetryBurst     float64
	RetryPerSecond float64
	// LingerFor is how long a node that stops still takes new connections.
	LingerFor time.Duration
}

// UpstreamSettings are the announcements' listener and the gate's limits.
type UpstreamSettings struct {
	Listen       netip.AddrPort
	LapseAfter   time.Duration
	QueuePerSlot int
	// DrainGrace is how long an upstream that leaves, or whose node stops, still
	// gets calls that find a free slot.
	DrainGrace time.Duration
	// AnnounceLag bounds the age of what an announcement says of calls in flight.
	AnnounceLag time.Duration
	// AnnounceEvery is the time between two announcements; 0 when not known.
	AnnounceEvery time.Duration
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
	// Protocol is what the platform, callers and upstreams speak.
	Protocol  Protocol
	TableURL  string
	ObjectURL string
	Timeout   time.Duration
	// ReadsPerSecond is the budget of the whole fleet.
	ReadsPerSecond float64
	// KeyedWritesPerSecond is the budget of the whole fleet for keyed calls.
	KeyedWritesPerSecond float64
}

// Protocol names what the platform, callers and upstreams speak.
type Protocol string

// Protocols.
const (
	// ProtocolOwn is lynxfold's own.
	ProtocolOwn Protocol = "own"
	// ProtocolFleet is that of the adapter in the folder platform.
	ProtocolFleet Protocol = "fleet"
)

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
