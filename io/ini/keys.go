package ini

import (
	"net/netip"
	"net/url"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"lynxfold/core/contract"
	"lynxfold/core/datacentre"
	"lynxfold/core/host"
	"lynxfold/core/quarantine"
	"lynxfold/io/operator/access"
)

// key describes one key of the settings file.
type key struct {
	section     string
	name        string
	help        string
	defaultText string
	required    bool
	// secret means that errors must not contain the value.
	secret bool
	remedy string
	// set parses a value and stores it in the settings.
	set func(se *Settings, text string) error
}

var (
	errInvalidAddress    = errors.New("not an IP address and port")
	errInvalidDuration   = errors.New("not a valid duration")
	errInvalidNumber     = errors.New("not a number in the valid range")
	errInvalidName       = errors.New("not a valid name")
	errInvalidURL        = errors.New("not an HTTP URL")
	errUnreadableFile    = errors.New("file can't be opened")
	errUnknownLevel      = errors.New("unknown log level")
	errUnknownProtocol   = errors.New("unknown protocol")
	errDuplicateOperator = errors.New("several tokens for the same operator")
)

// Remedies for invalid values.
const (
	remedyName     = "use up to 63 lower-case letters, digits and hyphens"
	remedyAddress  = "use an IP address and port, such as 10.0.0.5:7400"
	remedyDuration = "use a number and a unit, such as 500ms or 3s"
	// remedyQuarantine names quarantine.MaxHold.
	remedyQuarantine = "use a number and a unit, such as 1m, and 4m at most"
	remedyCount      = "use a whole number above 0"
	remedyRate       = "use a number above 0"
	remedyURL        = "use a URL such as http://10.0.0.2:7000"
	remedyFile       = "use the path of a file that this process can read"
	remedyProtocol   = "use own or fleet"
	remedyLevel      = "use debug, info, warn or error"
	remedyTokens     = "use NAME ROLE DIGEST, separated by commas; ROLE is read or change, DIGEST the SHA-256 of the token in hexadecimal"
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// allKeys returns all keys, in the order of the reference file.
func allKeys() []key {
	var all []key
	all = append(all, identityKeys()...)
	all = append(all, linkKeys()...)
	all = append(all, callerKeys()...)
	all = append(all, upstreamKeys()...)
	all = append(all, operatorKeys()...)
	all = append(all, platformKeys()...)
	all = append(all, rolloutKeys()...)
	all = append(all, tlsKeys()...)
	all = append(all, processKeys()...)
	return all
}

func processKeys() []key {
	return []key{
		{
			section: "health", name: "listen", remedy: remedyAddress,
			help: "Listen address of the health endpoints, which need no token; disabled if empty.",
			set:  addressSetter(func(se *Settings) *netip.AddrPort { return &se.Health.Listen }),
		},
		{
			section: "health", name: "metrics", remedy: remedyAddress,
			help: "Listen address of the metrics endpoint, which needs no token; disabled if empty.",
			set:  addressSetter(func(se *Settings) *netip.AddrPort { return &se.Health.Metrics }),
		},
		{
			section: "process", name: "memory_mb", remedy: remedyCount,
			help: "Memory limit of the process, in MB; no limit if empty.",
			set:  countSetter(func(se *Settings) *int { return &se.Process.MemoryMB }),
		},
		{
			section: "process", name: "buffer_mb", remedy: remedyCount,
			help: "Maximum size of all bodies that the process buffers, in MB; if empty, an eighth of memory_mb, or 64 without it.",
			set:  countSetter(func(se *Settings) *int { return &se.Process.BufferMB }),
		},
	}
}

func identityKeys() []key {
	return []key{
		{
			section: "mesh", name: "name", required: true, remedy: remedyName,
			help: "Name of the mesh; connections from nodes of another mesh are refused.",
			set:  nameSetter(func(se *Settings) *string { return &se.Mesh.Name }),
		},
		{
			section: "mesh", name: "fleet_size", defaultText: "50", remedy: remedyCount,
			help: "Expected number of hosts in the mesh; limits for all nodes together are divided by it, also on a node that sees few others.",
			set:  countSetter(func(se *Settings) *int { return &se.Mesh.FleetSize }),
		},
		{
			section: "host", name: "id", required: true, remedy: remedyName,
			help: "Name of this host; it must stay the same across restarts.",
			set: func(se *Settings, text string) error {
				se.Host.ID = host.ID(text)
				return checkName(text)
			},
		},
		{
			section: "host", name: "data_centre", required: true, remedy: remedyName,
			help: "Data centre of this host.",
			set: func(se *Settings, text string) error {
				se.Host.DataCentre = datacentre.Name(text)
				return checkName(text)
			},
		},
		{
			section: "host", name: "service", remedy: remedyName,
			help: "Service of this host's upstream; reported to upstreams as the calling service of calls that enter the mesh on this host.",
			set: func(se *Settings, text string) error {
				se.Host.Service = contract.ServiceName(text)
				return checkName(text)
			},
		},
	}
}

func linkKeys() []key {
	return []key{
		{
			section: "link", name: "listen", required: true, remedy: remedyAddress,
			help: "Listen address for links from other nodes.",
			set:  addressSetter(func(se *Settings) *netip.AddrPort { return &se.Link.Listen }),
		},
		{
			section: "link", name: "advertise", remedy: remedyAddress,
			help: "Address advertised to other nodes; the listen address if empty.",
			set:  addressSetter(func(se *Settings) *netip.AddrPort { return &se.Link.Advertise }),
		},
		{
			section: "link", name: "advertise_remote", remedy: remedyAddress,
			help: "Address advertised to nodes of other data centres; the value of advertise if empty.",
			set:  addressSetter(func(se *Settings) *netip.AddrPort { return &se.Link.AdvertiseRemote }),
		},
		{
			section: "link", name: "contacts", remedy: remedyAddress + ", separated by commas",
			help: "Addresses of nodes to connect to first when joining the mesh, separated by commas.",
			set:  setContacts,
		},
		{
			section: "link", name: "joins", defaultText: "8", remedy: remedyCount,
			help: "Maximum number of nodes that join through this one at once; others are redirected to other nodes.",
			set:  countSetter(func(se *Settings) *int { return &se.Link.MaxConcurrentJoins }),
		},
		{
			section: "link", name: "resync_bytes_per_second", defaultText: "1048576", remedy: remedyCount,
			help: "Limit on large control messages to all other nodes together, in bytes per second.",
			set:  countSetter(func(se *Settings) *int { return &se.Link.ResyncBytesPerSecond }),
		},
		{
			section: "link", name: "max_connections", defaultText: "16384", remedy: remedyCount,
			help: "Maximum number of concurrent connections from other nodes.",
			set:  countSetter(func(se *Settings) *int { return &se.Link.MaxConnections }),
		},
	}
}

func callerKeys() []key {
	return []key{
		{
			section: "caller", name: "listen", required: true, remedy: remedyAddress,
			help: "Listen address for callers.",
			set:  addressSetter(func(se *Settings) *netip.AddrPort { return &se.Caller.Listen }),
		},
		{
			section: "caller", name: "max_header_bytes", defaultText: "16384", remedy: remedyCount,
			help: "Maximum size of a request header, in bytes.",
			set:  countSetter(func(se *Settings) *int { return &se.Caller.MaxHeaderBytes }),
		},
		{
			section: "caller", name: "max_body_bytes", defaultText: "134217728", remedy: remedyCount,
			help: "Maximum size of a request body, in bytes.",
			set:  countSetter(func(se *Settings) *int { return &se.Caller.MaxBodyBytes }),
		},
		{
			section: "caller", name: "max_connections", defaultText: "4096", remedy: remedyCount,
			help: "Maximum number of concurrent connections from callers.",
			set:  countSetter(func(se *Settings) *int { return &se.Caller.MaxConnections }),
		},
		{
			section: "caller", name: "drain_within", defaultText: "30s", remedy: remedyDuration,
			help: "Maximum time that a stopping node waits for calls in flight.",
			set:  durationSetter(func(se *Settings) *time.Duration { return &se.Caller.DrainWithin }),
		},
		{
			section: "caller", name: "linger_for", defaultText: "1500ms", remedy: remedyDuration,
			help: "How long a stopping node still accepts new connections; its health endpoint reports at once that it is not ready.",
			set:  durationSetter(func(se *Settings) *time.Duration { return &se.Caller.LingerFor }),
		},
		{
			section: "caller", name: "retry_per_success", defaultText: "0.1", remedy: remedyRate,
			help: "Retries that each successful call, or one that its upstream turns away, adds to the retry budget of its service.",
			set:  rateSetter(func(se *Settings) *float64 { return &se.Caller.RetryPerSuccess }),
		},
		{
			section: "caller", name: "retry_burst", defaultText: "240", remedy: remedyRate,
			help: "Maximum number of retries that accumulate in the retry budget of a service, for all nodes together.",
			set:  rateSetter(func(se *Settings) *float64 { return &se.Caller.RetryBurst }),
		},
		{
			section: "caller", name: "retry_per_second", defaultText: "6", remedy: remedyRate,
			help: "Retries that each second adds to the retry budget of a service, for all nodes together.",
			set:  rateSetter(func(se *Settings) *float64 { return &se.Caller.RetryPerSecond }),
		},
	}
}

func upstreamKeys() []key {
	return []key{
		{
			section: "upstream", name: "listen", required: true, remedy: remedyAddress,
			help: "Listen address for the announcements of this host's upstream.",
			set:  addressSetter(func(se *Settings) *netip.AddrPort { return &se.Upstream.Listen }),
		},
		{
			section: "upstream", name: "lapse_after", defaultText: "2s", remedy: remedyDuration,
			help: "An upstream gets no new calls when its last announcement is older than this.",
			set:  durationSetter(func(se *Settings) *time.Duration { return &se.Upstream.LapseAfter }),
		},
		{
			section: "upstream", name: "announce_lag", defaultText: "1s", remedy: remedyDuration,
			help: "Maximum age of the number of calls in flight in an announcement; a gate admits no calls for at least this long after its start.",
			set:  durationSetter(func(se *Settings) *time.Duration { return &se.Upstream.AnnounceLag }),
		},
		{
			section: "upstream", name: "announce_every", remedy: remedyDuration,
			help: "Time between two announcements; if set, lapse_after is raised to at least four times this value.",
			set:  durationSetter(func(se *Settings) *time.Duration { return &se.Upstream.AnnounceEvery }),
		},
		{
			section: "upstream", name: "drain_grace", defaultText: "1500ms", remedy: remedyDuration,
			help: "How long a draining upstream still gets calls for which a slot is free.",
			set:  durationSetter(func(se *Settings) *time.Duration { return &se.Upstream.DrainGrace }),
		},
		{
			section: "upstream", name: "quarantine_for", defaultText: "1m", remedy: remedyQuarantine,
			help: "How long a request that has crashed three upstreams is not run, up to 4m; the same on all hosts.",
			set:  quarantineSetter,
		},
		{
			section: "upstream", name: "queue_per_slot", defaultText: "2", remedy: remedyCount,
			help: "Maximum length of the queue of each class, in calls per slot of the upstream.",
			set:  countSetter(func(se *Settings) *int { return &se.Upstream.QueuePerSlot }),
		},
	}
}

func operatorKeys() []key {
	return []key{
		{
			section: "operator", name: "listen", required: true, remedy: remedyAddress,
			help: "Listen address of the console and its API.",
			set:  addressSetter(func(se *Settings) *netip.AddrPort { return &se.Operator.Listen }),
		},
		{
			section: "operator", name: "tokens", remedy: remedyTokens, secret: true,
			help: "Operators' tokens as NAME ROLE DIGEST, separated by commas; if empty, anyone may make changes, and the listen address must be a loopback address.",
			set:  setTokens,
		},
		{
			section: "operator", name: "cert_file", remedy: remedyFile,
			help: "Certificate of the console and its API, in PEM; enables TLS there; reloaded on SIGHUP.",
			set:  fileSetter(func(se *Settings) *string { return &se.Operator.CertFile }),
		},
		{
			section: "operator", name: "key_file", remedy: remedyFile,
			help: "Private key of the console's certificate, in PEM; reloaded on SIGHUP.",
			set:  fileSetter(func(se *Settings) *string { return &se.Operator.KeyFile }),
		},
	}
}

func rolloutKeys() []key {
	return []key{
		{
			section: "rollout", name: "canary_share", remedy: remedyRate,
			help: "Largest share of the requests to a service that a bad release may receive, such as 0.1; roll-outs are off if empty.",
			set:  rateSetter(func(se *Settings) *float64 { return &se.Rollout.CanaryShare }),
		},
		{
			section: "rollout", name: "canary_slack", remedy: remedyRate,
			help: "Number of requests that a bad release may receive beyond canary_share.",
			set:  rateSetter(func(se *Settings) *float64 { return &se.Rollout.CanarySlack }),
		},
		{
			section: "rollout", name: "rollback_within", remedy: remedyDuration,
			help: "Longest time for which a release that responds badly may still receive requests.",
			set:  durationSetter(func(se *Settings) *time.Duration { return &se.Rollout.RollbackWithin }),
		},
	}
}

func platformKeys() []key {
	return []key{
		{
			section: "platform", name: "protocol", defaultText: string(ProtocolNative), remedy: remedyProtocol,
			help: "Protocol of the platform, callers and upstreams: own, or fleet, which the adapter in the folder platform translates.",
			set:  setProtocol,
		},
		{
			section: "platform", name: "table_url", required: true, remedy: remedyURL,
			help: "URL of the platform's transactional table.",
			set:  urlSetter(func(se *Settings) *string { return &se.Platform.TableURL }),
		},
		{
			section: "platform", name: "object_url", required: true, remedy: remedyURL,
			help: "URL of the platform's object store.",
			set:  urlSetter(func(se *Settings) *string { return &se.Platform.ObjectURL }),
		},
		{
			section: "platform", name: "timeout", defaultText: "2s", remedy: remedyDuration,
			help: "Timeout for the start of a response of the platform, and for each further part of it.",
			set:  durationSetter(func(se *Settings) *time.Duration { return &se.Platform.Timeout }),
		},
		{
			section: "platform", name: "reads_per_second", defaultText: "20", remedy: remedyRate,
			help: "Maximum reads per second from the platform, by all nodes together.",
			set:  rateSetter(func(se *Settings) *float64 { return &se.Platform.ReadsPerSecond }),
		},
		{
			section: "platform", name: "keyed_writes_per_second", defaultText: "200", remedy: remedyRate,
			help: "Maximum writes per second for keyed calls (calls with an idempotency key), by all nodes together.",
			set:  rateSetter(func(se *Settings) *float64 { return &se.Platform.KeyedWritesPerSecond }),
		},
	}
}

func tlsKeys() []key {
	return []key{
		{
			section: "tls", name: "cert_file", remedy: remedyFile,
			help: "Certificate of this node, in PEM; enables mutual TLS between nodes.",
			set:  fileSetter(func(se *Settings) *string { return &se.TLS.CertFile }),
		},
		{
			section: "tls", name: "key_file", remedy: remedyFile,
			help: "Private key of this node's certificate, in PEM.",
			set:  fileSetter(func(se *Settings) *string { return &se.TLS.KeyFile }),
		},
		{
			section: "tls", name: "ca_file", remedy: remedyFile,
			help: "Certificates of the authorities that must have signed other nodes' certificates, in PEM.",
			set:  fileSetter(func(se *Settings) *string { return &se.TLS.CAFile }),
		},
		{
			section: "log", name: "level", defaultText: "info", remedy: remedyLevel,
			help: "Lowest level that is logged: debug, info, warn or error.",
			set:  setLevel,
		},
	}
}

func checkName(text string) error {
	if !namePattern.MatchString(text) {
		return errInvalidName
	}
	return nil
}

func nameSetter(field func(*Settings) *string) func(*Settings, string) error {
	return func(se *Settings, text string) error {
		*field(se) = text
		return checkName(text)
	}
}

func addressSetter(field func(*Settings) *netip.AddrPort) func(*Settings, string) error {
	return func(se *Settings, text string) error {
		ap, err := netip.ParseAddrPort(text)
		if err != nil {
			return errInvalidAddress
		}
		*field(se) = ap
		return nil
	}
}

func setContacts(se *Settings, text string) error {
	for part := range strings.SplitSeq(text, ",") {
		ap, err := netip.ParseAddrPort(strings.TrimSpace(part))
		if err != nil {
			return errInvalidAddress
		}
		se.Link.Contacts = append(se.Link.Contacts, ap)
	}
	return nil
}

func setTokens(se *Settings, text string) error {
	for part := range strings.SplitSeq(text, ",") {
		to, err := access.ParseToken(part)
		if err != nil {
			return err
		}
		if slices.ContainsFunc(se.Operator.Tokens, func(other access.Token) bool { return other.Operator == to.Operator }) {
			return errDuplicateOperator
		}
		se.Operator.Tokens = append(se.Operator.Tokens, to)
	}
	return nil
}

func setProtocol(se *Settings, text string) error {
	switch pr := Protocol(text); pr {
	case ProtocolNative, ProtocolFleet:
		se.Platform.Protocol = pr
		return nil
	}
	return errUnknownProtocol
}

func setLevel(se *Settings, text string) error {
	switch text {
	case "debug", "info", "warn", "error":
		se.Log.Level = text
		return nil
	}
	return errUnknownLevel
}

// quarantineSetter stores a time that is short enough for a quarantine.
func quarantineSetter(se *Settings, text string) error {
	if err := durationSetter(func(se *Settings) *time.Duration { return &se.Upstream.QuarantineFor })(se, text); err != nil {
		return err
	}
	if se.Upstream.QuarantineFor > quarantine.MaxHold {
		return errInvalidDuration
	}
	return nil
}

func durationSetter(field func(*Settings) *time.Duration) func(*Settings, string) error {
	return func(se *Settings, text string) error {
		du, err := time.ParseDuration(text)
		if err != nil || du <= 0 {
			return errInvalidDuration
		}
		*field(se) = du
		return nil
	}
}

func countSetter(field func(*Settings) *int) func(*Settings, string) error {
	return func(se *Settings, text string) error {
		nu, err := strconv.Atoi(text)
		if err != nil || nu <= 0 {
			return errInvalidNumber
		}
		*field(se) = nu
		return nil
	}
}

func rateSetter(field func(*Settings) *float64) func(*Settings, string) error {
	return func(se *Settings, text string) error {
		nu, err := strconv.ParseFloat(text, 64)
		if err != nil || !(nu > 0) || nu > 1e9 {
			return errInvalidNumber
		}
		*field(se) = nu
		return nil
	}
}

func urlSetter(field func(*Settings) *string) func(*Settings, string) error {
	return func(se *Settings, text string) error {
		ur, err := url.Parse(text)
		if err != nil || ur.Host == "" || (ur.Scheme != "http" && ur.Scheme != "https") {
			return errInvalidURL
		}
		*field(se) = strings.TrimRight(text, "/")
		return nil
	}
}

func fileSetter(field func(*Settings) *string) func(*Settings, string) error {
	return func(se *Settings, text string) error {
		fi, err := os.Open(text)
		if err != nil {
			return errUnreadableFile
		}
		*field(se) = text
		return fi.Close()
	}
}
