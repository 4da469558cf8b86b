package access

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"net/netip"
	"net/url"
	"strings"
)

// formPurpose keeps form tokens apart from other uses of the same key.
const formPurpose = "lynxfold form token"

// FormToken derives the token of a browser's forms from its cookies. Any node
// derives the same one, and another site can read neither.
func FormToken(formSecret, token string) string {
	mac := hmac.New(sha256.New, []byte(formSecret+"\x00"+token))
	_, _ = mac.Write([]byte(formPurpose)) // never fails
	return hex.EncodeToString(mac.Sum(nil))
}

// CheckForm fails with a DeniedError unless the form came from this browser's page.
func CheckForm(formSecret, token, got string) error {
	want := FormToken(formSecret, token)
	if formSecret == "" || !hmac.Equal([]byte(want), []byte(got)) {
		return &DeniedError{Reason: ReasonForm}
	}
	return nil
}

// CheckOrigin fails with a DeniedError when a browser says that another site's
// page makes the request. Programs send no Origin.
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

// CheckHost fails with a DeniedError when a console without tokens is asked for
// by a name: a page of another site could have pointed the name here.
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
