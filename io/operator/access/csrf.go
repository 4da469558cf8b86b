package access

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"net/netip"
	"net/url"
	"strings"
)

// csrfPurpose separates the CSRF tokens from other uses of the same HMAC key.
const csrfPurpose = "lynxfold form token"

// CSRFToken derives the CSRF token of a browser's forms from its two cookies. Every
// node derives the same token without shared state, and another site cannot read
// the cookies.
func CSRFToken(csrfSecret, token string) string {
	mac := hmac.New(sha256.New, []byte(csrfSecret+"\x00"+token))
	_, _ = mac.Write([]byte(csrfPurpose)) // never fails
	return hex.EncodeToString(mac.Sum(nil))
}

// CheckCSRFToken returns a DeniedError unless got is the CSRF token that belongs to
// the browser's cookies.
func CheckCSRFToken(csrfSecret, token, got string) error {
	want := CSRFToken(csrfSecret, token)
	if csrfSecret == "" || !hmac.Equal([]byte(want), []byte(got)) {
		return &DeniedError{Reason: ReasonCSRFToken}
	}
	return nil
}

// CheckOrigin returns a DeniedError if the Origin header names another site than the
// Host header. Clients other than browsers send no Origin and pass.
func CheckOrigin(origin, hostHeader string) error {
	if origin == "" {
		return nil
	}
	ur, err := url.Parse(origin)
	if err != nil || !strings.EqualFold(ur.Host, hostHeader) {
		return &DeniedError{Reason: ReasonOrigin}
	}
	return nil
}

// CheckHost returns a DeniedError unless the Host header is an IP address or
// localhost. It protects a console without tokens from DNS rebinding, in which
// another site points its own name at this address.
func CheckHost(hostHeader string) error {
	name := hostHeader
	if ap, err := netip.ParseAddrPort(hostHeader); err == nil {
		name = ap.Addr().String()
	} else if cut, _, ok := strings.Cut(hostHeader, ":"); ok {
		name = cut
	}
	if name == "localhost" {
		return nil
	}
	if _, err := netip.ParseAddr(strings.Trim(name, "[]")); err != nil {
		return &DeniedError{Reason: ReasonOrigin}
	}
	return nil
}
