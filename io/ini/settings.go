// Package ini reads the settings of a node from an INI file and validates them.
package ini

import (
	"net/netip"
	"time"

	"lynxfold/core/contract"
	"lynxfold/core/datacentre"
	"lynxfold/core/host"
	"lynxfold/io/operator/access"
)

// Settings are the settings of a node, one field for each section of the file.
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
	// AdapterSettings are the settings of the adapter for Platform.Protocol, by key.
	AdapterSettings map[string]string
}

// MeshSettings are the name and the expected size of the mesh.
type MeshSettings struct {
	Name string
	// FleetSize is the expected number of hosts in the mesh.
	FleetSize int
}

// HostSettings identify the host.
type HostSettings struct {
	ID         host.ID
	DataCentre datacentre.Name
	// Service is the service of the upstream on this host, and the calling service of
	// calls that begin here.
	Service contract.ServiceName
}

// HealthSettings are the listeners for health checks and metrics.
type HealthSettings struct {
	// Listen and Metrics are invalid if there is no such listener.
	Listen  netip.AddrPort
	Metrics netip.AddrPort
}

// ProcessSettings limit the resources that the process uses.
type ProcessSettings struct {
	// MemoryMB limits the memory of the process; 0 means no limit.
	MemoryMB int
}

// LinkSettings are the addresses and limits of links between nodes.
type LinkSettings struct {
	Listen    netip.AddrPort
	Advertise netip.AddrPort
	// AdvertiseRemote is the address advertised to nodes of other data centres.
	AdvertiseRemote netip.AddrPort
	Contacts        []netip.AddrPort
	// MaxConcurrentJoins limits the nodes that join through this one at the same time.
	MaxConcurrentJoins int
	// ResyncBytesPerSecond limits large control messages to all other nodes together.
	ResyncBytesPerSecond int
	MaxConnections       int
}

// CallerSettings are the callers' listener, its limits, and the retry budget.
type CallerSettings struct {
	Listen         netip.AddrPort
	MaxHeaderBytes int
	MaxBodyBytes   int
	MaxConnections int
	DrainWithin    time.Duration
	// RetryPerSuccess is the retry budget that each success of a service adds.
	RetryPerSuccess float64
	// RetryBurst and RetryPerSecond are the retry budget of one service on all nodes
	// together: the most that accumulates, and what each second adds.
	RetryBurst     float64
	RetryPerSecond float64
	// LingerFor is how long a stopping node still accepts new connections.
	LingerFor time.Duration
}

// UpstreamSettings are the listener for the upstream's announcements and the limits of
// the gate.
type UpstreamSettings struct {
	Listen       netip.AddrPort
	LapseAfter   time.Duration
	QueuePerSlot int
	// DrainGrace is how long a draining upstream, or one whose node is stopping, still
	// gets calls for which a slot is free.
	DrainGrace time.Duration
	// AnnounceLag is the largest age of what an announcement reports about calls in
	// flight.
	AnnounceLag time.Duration
	// AnnounceEvery is the time between two announcements; 0 if unknown.
	AnnounceEvery time.Duration
}

// OperatorSettings are the listener and the access control of the console and its API.
type OperatorSettings struct {
	Listen netip.AddrPort
	// Tokens hold the operators with their roles, and only the digests of their tokens.
	Tokens []access.Token
	// CertFile and KeyFile enable TLS for the console.
	CertFile string
	KeyFile  string
}

// PlatformSettings are the platform's URLs and the rate limits for using it.
type PlatformSettings struct {
	// Protocol is the protocol of the platform, callers and upstreams.
	Protocol  Protocol
	TableURL  string
	ObjectURL string
	Timeout   time.Duration
	// ReadsPerSecond is the rate limit of the whole fleet's reads.
	ReadsPerSecond float64
	// KeyedWritesPerSecond is the rate limit of the whole fleet's writes for keyed
	// calls.
	KeyedWritesPerSecond float64
}

// Protocol identifies the protocol of the platform, callers and upstreams.
type Protocol string

// Supported protocols.
const (
	// ProtocolNative is the protocol that lynxfold defines.
	ProtocolNative Protocol = "own"
	// ProtocolFleet is the protocol that the adapter in the folder platform translates.
	ProtocolFleet Protocol = "fleet"
)

// TLSSettings enable mutual TLS between nodes.
type TLSSettings struct {
	CertFile string
	KeyFile  string
	CAFile   string
}

// LogSettings set the lowest level that is logged.
type LogSettings struct {
	Level string
}
