package upstream

import (
	"net"
	"net/netip"
	"strings"

	"github.com/valyala/fasthttp"

	"lynxfold/core/host"
	"lynxfold/core/wire"
)

// HeaderForwardedHost carries the host name of a request that is sent to an upstream by
// its address.
const HeaderForwardedHost = "X-Forwarded-Host"

// HostName returns the host name of a Host header in lower case, without the port.
func HostName(value []byte) string {
	name := string(value)
	if ho, _, err := net.SplitHostPort(name); err == nil {
		name = ho
	}
	return strings.ToLower(name)
}

// Fingerprint returns the fingerprint of a request with the given beginning of its body.
// Callers that address hosts by their IP addresses send the same request to any of them.
func Fingerprint(method, target []byte, headers []*wire.Header, body []byte) host.Fingerprint {
	name := ""
	for _, he := range headers {
		switch string(he.GetName()) {
		case fasthttp.HeaderHost, HeaderForwardedHost:
			name = HostName(he.GetValue())
		}
	}
	if _, err := netip.ParseAddr(strings.Trim(name, "[]")); err == nil {
		name = ""
	}
	return host.FingerprintOf(method, []byte(name), target, body)
}

// fingerprintOf returns the fingerprint that a request states. An ingress of an earlier
// release states none: it is then computed, unless the body has not arrived.
func fingerprintOf(rq *wire.Request) host.Fingerprint {
	if fp := rq.GetFingerprint(); fp != 0 {
		return host.Fingerprint(fp)
	}
	if rq.GetLength() != int64(len(rq.GetBody())) {
		return 0
	}
	return Fingerprint(rq.GetMethod(), rq.GetUri(), rq.GetHeaders(), rq.GetBody())
}
