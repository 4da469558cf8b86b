package access_test

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"lynxfold/io/operator/access"
)

var startTime = time.Date(2026, 12, 3, 22, 0, 0, 0, time.UTC)

// script runs the directives of one data file against one authenticator.
type script struct {
	authenticator *access.Authenticator
	now           time.Time
}

func (sc *script) run(t *testing.T, td *datadriven.TestData) string {
	switch td.Cmd {
	case "tokens":
		return sc.tokens(t, td.Input)
	case "wait":
		var text string
		td.ScanArgs(t, "for", &text)
		du, err := time.ParseDuration(text)
		assert.NilError(t, err)
		sc.now = sc.now.Add(du)
		return "at " + sc.now.Format(time.TimeOnly) + "\n"
	case "authenticate":
		var secret, from string
		td.ScanArgs(t, "from", &from)
		td.MaybeScanArgs(t, "token", &secret)
		op, err := sc.authenticator.Authenticate(secret, netip.MustParseAddr(from), sc.now)
		if err != nil {
			return accessResult(err)
		}
		return op.String() + "\n"
	case "host":
		return accessResult(access.CheckHost(strings.TrimSpace(td.Input)))
	case "origin":
		origin, host, _ := strings.Cut(strings.TrimSpace(td.Input), " to ")
		return accessResult(access.CheckOrigin(origin, host))
	}
	t.Fatalf("unknown command %s", td.Cmd)
	return ""
}

// tokens builds an authenticator from lines of NAME ROLE SECRET.
func (sc *script) tokens(t *testing.T, input string) string {
	var tokens []access.Token
	for line := range strings.Lines(input) {
		fields := strings.Fields(line)
		to, err := access.ParseToken(fmt.Sprintf("%s %s %x", fields[0], fields[1], access.DigestOf(fields[2])))
		assert.NilError(t, err)
		tokens = append(tokens, to)
	}
	sc.authenticator = access.NewAuthenticator(tokens)
	return fmt.Sprintf("disabled=%t\n", sc.authenticator.Disabled())
}

func accessResult(err error) string {
	var de *access.DeniedError
	switch {
	case err == nil:
		return "allowed\n"
	case !errors.As(err, &de):
		return "untyped: " + err.Error() + "\n"
	case de.RetryAt.IsZero():
		return de.Error() + "\n"
	}
	return de.Error() + ", retry at " + de.RetryAt.Format(time.TimeOnly) + "\n"
}

func TestAccess(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		sc := &script{
			authenticator: access.NewAuthenticator(nil),
			now:           startTime,
		}
		datadriven.RunTest(t, path, sc.run)
	})
}

// TestCSRFToken checks that a CSRF token is valid only with the cookies that it was
// derived from.
func TestCSRFToken(t *testing.T) {
	to := access.CSRFToken("secret", "token")
	assert.NilError(t, access.CheckCSRFToken("secret", "token", to))
	for name, err := range map[string]error{
		"other secret": access.CheckCSRFToken("other", "token", to),
		"other token":  access.CheckCSRFToken("secret", "other", to),
		"no form":      access.CheckCSRFToken("secret", "token", ""),
		"no secret":    access.CheckCSRFToken("", "token", access.CSRFToken("", "token")),
	} {
		assert.ErrorContains(t, err, "form_token", name)
	}
}

// TestTrackedAddressesAreBounded sends wrong tokens from more addresses than are
// tracked: the address with the most failures stays rate limited.
func TestTrackedAddressesAreBounded(t *testing.T) {
	au := access.NewAuthenticator([]access.Token{{Operator: "ana", Role: access.RoleChange, Digest: access.DigestOf("right")}})
	worst := netip.MustParseAddr("10.1.0.1")
	for range 5 {
		_, _ = au.Authenticate("wrong", worst, startTime)
	}
	for i := range 5000 {
		from := netip.AddrFrom4([4]byte{10, 2, byte(i >> 8), byte(i)})
		_, err := au.Authenticate("wrong", from, startTime)
		assert.ErrorContains(t, err, "wrong_token")
	}
	_, err := au.Authenticate("right", worst, startTime)
	assert.ErrorContains(t, err, "too_many")
}
