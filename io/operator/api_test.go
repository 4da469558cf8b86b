package operator_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"gotest.tools/v3/assert"

	"lynxfold/io/operator/access"
)

func send(t *testing.T, method, url, host, origin, body string) int {
	t.Helper()
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	assert.NilError(t, err)
	req.Header.Set("Content-Type", "application/x-www-form-urlencoded")
	if origin != "" {
		req.Header.Set("Origin", origin)
	}
	req.Host = host
	resp, err := http.DefaultTransport.RoundTrip(req)
	assert.NilError(t, err)
	_ = resp.Body.Close()
	return resp.StatusCode
}

// TestAPI runs the requests of each data file against a server of its own.
func TestAPI(t *testing.T) {
	tokens := []access.Token{
		{Operator: "ana", Role: access.RoleChange, Digest: access.DigestOf("ana-token")},
		{Operator: "eva", Role: access.RoleRead, Digest: access.DigestOf("eva-token")},
	}
	datadriven.Walk(t, "testdata/api", func(t *testing.T, path string) {
		co := startConsole(t, newStore(), tokens)
		datadriven.RunTest(t, path, func(t *testing.T, td *datadriven.TestData) string {
			if td.Cmd == "platform" {
				co.platform(td)
				return ""
			}
			return co.request(t, td)
		})
	})
}

// request sends the directive METHOD path=P token=T with the input as its body.
func (co *console) request(t *testing.T, td *datadriven.TestData) string {
	var path, token string
	td.ScanArgs(t, "path", &path)
	td.MaybeScanArgs(t, "token", &token)
	req, err := http.NewRequest(strings.ToUpper(td.Cmd), co.base+path, strings.NewReader(td.Input))
	assert.NilError(t, err)
	if token != "" {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	out := fmt.Sprintf("%d %s\n", resp.StatusCode, resp.Header.Get("Content-Type"))
	for _, name := range []string{"Retry-After", "WWW-Authenticate"} {
		if va := resp.Header.Get(name); va != "" {
			out += name + ": " + va + "\n"
		}
	}
	return out + string(body)
}
