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
	Rollout  RolloutSettings
	TLS      TLSSettings
	Log      LogSettings
	Health   HealthSettings
	Process  ProcessSettings
	// AdapterSettings are the settings of the adapter for Platform.Protocol, by key.
	AdapterSettings map[string]string
}

// RolloutSettings bound what roll-outs of bad releases may cost; roll-outs are off while
// CanaryShare is 0.
type RolloutSettings struct {
	// CanaryShare is the largest share of the requests to a service that a bad release may
	// receive.
	CanaryShare float64
	// CanarySlack is the number of requests that it may receive beyond that share.
	CanarySlack float64
	// RollbackWithin is how long after its first bad responses a release may still receive
	// requests.
	RollbackWithin time.Duration
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
	// Service is the service of the upstream on this host. It is the calling service of
	// calls that enter the mesh on this host.
	Service contract.ServiceName
}

// HealthSettings are the listeners for health checks and metrics.
type HealthSettings struct {
	// Listen and Metrics are the zero AddrPort if the listener is disabled.
	Listen  netip.AddrPort
	Metrics netip.AddrPort
}

// ProcessSettings limit the resources that the process uses.
type ProcessSettings struct {
	// MemoryMB limits the memory of the process; 0 means no limit.
	MemoryMB int
	// BufferMB limits the bodies of requests and responses that are buffered; 0 means
	// that the limit is derived from MemoryMB.
	BufferMB int
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
	// DrainWithin limits how long a stopping node waits for calls in flight.
	DrainWithin time.Duration
	// RetryPerSuccess is the number of retries that each successful call adds to the
	// retry budget of its service.
	RetryPerSuccess float64
	// RetryBurst and RetryPerSecond set the retry budget of one service for all nodes
	// together: the maximum that accumulates, and the number that each second adds.
	RetryBurst     float64
	RetryPerSecond float64
	// LingerFor is how long a stopping node still accepts new connections.
	LingerFor time.Duration
}

// UpstreamSettings are the listener for the upstream's announcements and the limits of
// the gate.
type UpstreamSettings struct {
	Listen netip.AddrPort
	// LapseAfter is the age of the last announcement at which the upstream gets no more
	// calls.
	LapseAfter   time.Duration
	QueuePerSlot int
	// DrainGrace is how long a draining upstream, or one whose node is stopping, still
	// gets calls for which a slot is free.
	DrainGrace time.Duration
	// AnnounceLag is the maximum age of the number of calls in flight in an announcement.
	AnnounceLag time.Duration
	// QuarantineFor is how long a request that has crashed upstreams is not run.
	QuarantineFor time.Duration
	// AnnounceEvery is the time between two announcements; 0 if unknown.
	AnnounceEvery time.Duration
}

// OperatorSettings are the listener and the access control of the console and its API.
type OperatorSettings struct {
	Listen netip.AddrPort
	// Tokens hold the operators, their roles, and digests of their tokens; the tokens
	// themselves are not stored.
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
	// ReadsPerSecond limits the reads of all nodes together.
	ReadsPerSecond float64
	// KeyedWritesPerSecond limits the writes for keyed calls by all nodes together.
	KeyedWritesPerSecond float64
}

// Protocol identifies the protocol of the platform, callers and upstreams.
type Protocol string

// Supported protocols.
const (
	// ProtocolNative is the protocol that lynxfold defines.
	ProtocolNative Protocol = "own"
	// ProtocolFleet is the protocol that is translated by the adapter, package
	// lynxfold/platform.
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
