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
	"lynxfold/io/operator/access"
)

// key describes one key of the settings file.
type key struct {
	section     string
	name        string
	help        string
	defaultText string
	required    bool
	// secret is set if errors must not contain the value.
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
	remedyCount    = "use a whole number above 0"
	remedyRate     = "use a number above 0"
	remedyURL      = "use a URL such as http://10.0.0.2:7000"
	remedyFile     = "use the path of a file that this process can read"
	remedyProtocol = "use own or fleet"
	remedyLevel    = "use debug, info, warn or error"
	remedyTokens   = "use NAME ROLE DIGEST, separated by commas; ROLE is read or change, DIGEST the SHA-256 of the token in hexadecimal"
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// allKeys returns all keys in the order of the reference file.
func allKeys() []key {
	var all []key
	all = append(all, identityKeys()...)
	all = append(all, linkKeys()...)
	all = append(all, callerKeys()...)
	all = append(all, upstreamKeys()...)
	all = append(all, operatorKeys()...)
	all = append(all, platformKeys()...)
	all = append(all, tlsKeys()...)
	all = append(all, processKeys()...)
	return all
}

func processKeys() []key {
	return []key{
		{
			section: "health", name: "listen", remedy: remedyAddress,
			help: "Address of the health pages, without a token; none when empty.",
			set:  addressSetter(func(se *Settings) *netip.AddrPort { return &se.Health.Listen }),
		},
		{
			section: "health", name: "metrics", remedy: remedyAddress,
			help: "Address of the counters, without a token; none when empty.",
			set:  addressSetter(func(se *Settings) *netip.AddrPort { return &se.Health.Metrics }),
		},
		{
			section: "process", name: "memory_mb", remedy: remedyCount,
			help: "Memory that the process may use, in MB; no bound when empty.",
			set:  countSetter(func(se *Settings) *int { return &se.Process.MemoryMB }),
		},
	}
}

func identityKeys() []key {
	return []key{
		{
			section: "mesh", name: "name", required: true, remedy: remedyName,
			help: "Name of the mesh; nodes of another mesh are refused.",
			set:  nameSetter(func(se *Settings) *string { return &se.Mesh.Name }),
		},
		{
			section: "mesh", name: "fleet_size", defaultText: "50", remedy: remedyCount,
			help: "Expected number of hosts; bounds the reads of a node that sees few others.",
			set:  countSetter(func(se *Settings) *int { return &se.Mesh.FleetSize }),
		},
		{
			section: "host", name: "id", required: true, remedy: remedyName,
			help: "Name of this host; the same after every restart.",
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
			help: "Service of this host's upstream; upstreams are told it of the calls that begin here.",
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
			help: "Address on which other nodes reach this one.",
			set:  addressSetter(func(se *Settings) *netip.AddrPort { return &se.Link.Listen }),
		},
		{
			section: "link", name: "advertise", remedy: remedyAddress,
			help: "Address told to other nodes; the listen address when empty.",
			set:  addressSetter(func(se *Settings) *netip.AddrPort { return &se.Link.Advertise }),
		},
		{
			section: "link", name: "advertise_remote", remedy: remedyAddress,
			help: "Address told to nodes of other data centres; the advertised address when empty.",
			set:  addressSetter(func(se *Settings) *netip.AddrPort { return &se.Link.AdvertiseRemote }),
		},
		{
			section: "link", name: "contacts", remedy: remedyAddress + ", separated by commas",
			help: "Addresses of nodes to try first, separated by commas.",
			set:  setContacts,
		},
		{
			section: "link", name: "joins", defaultText: "8", remedy: remedyCount,
			help: "Most nodes that may join through this one at once; others are sent elsewhere.",
			set:  countSetter(func(se *Settings) *int { return &se.Link.MaxConcurrentJoins }),
		},
		{
			section: "link", name: "resync_bytes_per_second", defaultText: "1048576", remedy: remedyCount,
			help: "Bytes a second for large control messages to all other nodes together.",
			set:  countSetter(func(se *Settings) *int { return &se.Link.ResyncBytesPerSecond }),
		},
		{
			section: "link", name: "max_connections", defaultText: "16384", remedy: remedyCount,
			help: "Most connections of other nodes at once.",
			set:  countSetter(func(se *Settings) *int { return &se.Link.MaxConnections }),
		},
	}
}

func callerKeys() []key {
	return []key{
		{
			section: "caller", name: "listen", required: true, remedy: remedyAddress,
			help: "Address on which callers reach this node.",
			set:  addressSetter(func(se *Settings) *netip.AddrPort { return &se.Caller.Listen }),
		},
		{
			section: "caller", name: "max_header_bytes", defaultText: "16384", remedy: remedyCount,
			help: "Largest request header, in bytes.",
			set:  countSetter(func(se *Settings) *int { return &se.Caller.MaxHeaderBytes }),
		},
		{
			section: "caller", name: "max_body_bytes", defaultText: "134217728", remedy: remedyCount,
			help: "Largest request body, in bytes.",
			set:  countSetter(func(se *Settings) *int { return &se.Caller.MaxBodyBytes }),
		},
		{
			section: "caller", name: "max_connections", defaultText: "4096", remedy: remedyCount,
			help: "Most connections of callers at once.",
			set:  countSetter(func(se *Settings) *int { return &se.Caller.MaxConnections }),
		},
		{
			section: "caller", name: "drain_within", defaultText: "30s", remedy: remedyDuration,
			help: "How long a node that stops waits for calls in flight.",
			set:  durationSetter(func(se *Settings) *time.Duration { return &se.Caller.DrainWithin }),
		},
		{
			section: "caller", name: "linger_for", defaultText: "1500ms", remedy: remedyDuration,
			help: "How long a node that stops still takes new connections; its health page says at once that it is not ready.",
			set:  durationSetter(func(se *Settings) *time.Duration { return &se.Caller.LingerFor }),
		},
		{
			section: "caller", name: "retry_per_success", defaultText: "0.1", remedy: remedyRate,
			help: "Retries that one success of a service pays for.",
			set:  rateSetter(func(se *Settings) *float64 { return &se.Caller.RetryPerSuccess }),
		},
		{
			section: "caller", name: "retry_burst", defaultText: "240", remedy: remedyRate,
			help: "Retries of one service that all nodes together can save up.",
			set:  rateSetter(func(se *Settings) *float64 { return &se.Caller.RetryBurst }),
		},
		{
			section: "caller", name: "retry_per_second", defaultText: "6", remedy: remedyRate,
			help: "Retries of one service that all nodes together always have, each second.",
			set:  rateSetter(func(se *Settings) *float64 { return &se.Caller.RetryPerSecond }),
		},
	}
}

func upstreamKeys() []key {
	return []key{
		{
			section: "upstream", name: "listen", required: true, remedy: remedyAddress,
			help: "Address on which this host's upstream announces itself.",
			set:  addressSetter(func(se *Settings) *netip.AddrPort { return &se.Upstream.Listen }),
		},
		{
			section: "upstream", name: "lapse_after", defaultText: "2s", remedy: remedyDuration,
			help: "An upstream that has not announced itself for this long takes no new calls.",
			set:  durationSetter(func(se *Settings) *time.Duration { return &se.Upstream.LapseAfter }),
		},
		{
			section: "upstream", name: "announce_lag", defaultText: "1s", remedy: remedyDuration,
			help: "Largest age of what an announcement says of calls in flight; a gate that starts lets nothing in for so long.",
			set:  durationSetter(func(se *Settings) *time.Duration { return &se.Upstream.AnnounceLag }),
		},
		{
			section: "upstream", name: "announce_every", remedy: remedyDuration,
			help: "Time between two announcements; when given, an upstream counts for four times as long at least.",
			set:  durationSetter(func(se *Settings) *time.Duration { return &se.Upstream.AnnounceEvery }),
		},
		{
			section: "upstream", name: "drain_grace", defaultText: "1500ms", remedy: remedyDuration,
			help: "How long an upstream that leaves still gets calls that find a free slot.",
			set:  durationSetter(func(se *Settings) *time.Duration { return &se.Upstream.DrainGrace }),
		},
		{
			section: "upstream", name: "queue_per_slot", defaultText: "2", remedy: remedyCount,
			help: "Calls that may wait for each slot of the upstream.",
			set:  countSetter(func(se *Settings) *int { return &se.Upstream.QueuePerSlot }),
		},
	}
}

func operatorKeys() []key {
	return []key{
		{
			section: "operator", name: "listen", required: true, remedy: remedyAddress,
			help: "Address of the console and its API.",
			set:  addressSetter(func(se *Settings) *netip.AddrPort { return &se.Operator.Listen }),
		},
		{
			section: "operator", name: "tokens", remedy: remedyTokens, secret: true,
			help: "Operators' tokens as NAME ROLE DIGEST, separated by commas; everybody may change when empty and the address is a loopback one.",
			set:  setTokens,
		},
		{
			section: "operator", name: "cert_file", remedy: remedyFile,
			help: "Certificate of the console and its API, PEM; turns on TLS there; read again on SIGHUP.",
			set:  fileSetter(func(se *Settings) *string { return &se.Operator.CertFile }),
		},
		{
			section: "operator", name: "key_file", remedy: remedyFile,
			help: "Private key of the console, PEM; read again on SIGHUP.",
			set:  fileSetter(func(se *Settings) *string { return &se.Operator.KeyFile }),
		},
	}
}

func platformKeys() []key {
	return []key{
		{
			section: "platform", name: "protocol", defaultText: string(ProtocolNative), remedy: remedyProtocol,
			help: "What the platform, callers and upstreams speak: own, or fleet for the adapter in the folder platform.",
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
			help: "Longest wait for one answer of the platform.",
			set:  durationSetter(func(se *Settings) *time.Duration { return &se.Platform.Timeout }),
		},
		{
			section: "platform", name: "reads_per_second", defaultText: "20", remedy: remedyRate,
			help: "Reads a second that the whole fleet may make.",
			set:  rateSetter(func(se *Settings) *float64 { return &se.Platform.ReadsPerSecond }),
		},
		{
			section: "platform", name: "keyed_writes_per_second", defaultText: "200", remedy: remedyRate,
			help: "Writes a second that the whole fleet may make for keyed calls.",
			set:  rateSetter(func(se *Settings) *float64 { return &se.Platform.KeyedWritesPerSecond }),
		},
	}
}

func tlsKeys() []key {
	return []key{
		{
			section: "tls", name: "cert_file", remedy: remedyFile,
			help: "Certificate of this node, PEM; turns on mutual TLS between nodes.",
			set:  fileSetter(func(se *Settings) *string { return &se.TLS.CertFile }),
		},
		{
			section: "tls", name: "key_file", remedy: remedyFile,
			help: "Private key of this node, PEM.",
			set:  fileSetter(func(se *Settings) *string { return &se.TLS.KeyFile }),
		},
		{
			section: "tls", name: "ca_file", remedy: remedyFile,
			help: "Certificates that other nodes' certificates must be signed by, PEM.",
			set:  fileSetter(func(se *Settings) *string { return &se.TLS.CAFile }),
		},
		{
			section: "log", name: "level", defaultText: "info", remedy: remedyLevel,
			help: "Least level that is logged: debug, info, warn or error.",
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
