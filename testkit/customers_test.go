package testkit_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"lynxfold/core/contract"
	"lynxfold/testkit"
)

// customersDocument returns a configuration in which the customer hotel has these keys.
func customersDocument(keys ...string) string {
	digests := make([]string, 0, len(keys))
	for _, key := range keys {
		digests = append(digests, fmt.Sprintf("%q", contract.DigestKey([]byte(key))))
	}
	customers := fmt.Sprintf(`, "customers": [{"name": "hotel", "keys": [%s]}]}`, strings.Join(digests, ", "))
	return strings.TrimSuffix(strings.TrimSpace(callsDocument), "}") + customers
}

// keyedConnection is an open connection of a caller to a host.
type keyedConnection struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
}

func openConnection(t *testing.T, me *testkit.Mesh, id string) *keyedConnection {
	t.Helper()
	nc, err := net.Dial("tcp", me.Hosts[id].CallerAddress)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = nc.Close() })
	return &keyedConnection{t: t, conn: nc, reader: bufio.NewReader(nc)}
}

// send pipelines n requests with a key and returns the statuses of the answers.
func (kc *keyedConnection) send(key string, n int) []int {
	kc.t.Helper()
	_, err := io.WriteString(kc.conn, strings.Repeat("GET /results HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "+key+"\r\n\r\n", n))
	assert.NilError(kc.t, err)
	statuses := make([]int, 0, n)
	for range n {
		rs, err := http.ReadResponse(kc.reader, nil)
		assert.NilError(kc.t, err)
		_, err = io.Copy(io.Discard, rs.Body)
		assert.NilError(kc.t, err)
		statuses = append(statuses, rs.StatusCode)
	}
	return statuses
}

// TestRemovedKeyIsRefusedEverywhere removes a key while connections with it are open, on
// hosts of which one is cut off from the platform and one restarts. It guards against a
// removed key that still runs requests 2.5 s after the version is accepted, and against a
// key in any log.
func TestRemovedKeyIsRefusedEverywhere(t *testing.T) {
	const within = 2500 * time.Millisecond
	cutOff := upstreamHost("curing-room-1")
	cutOff.DataCentre = "curing-room"
	me := testkit.StartMesh(t, testkit.MeshConfig{
		Proxied:         true,
		ProxiedPlatform: true,
		Hosts: []testkit.HostSpec{
			{ID: ingressID, DataCentre: "press-hall"},
			cutOff,
			upstreamHost("curing-room-2"),
		},
	})
	testkit.Eventually(t, waitTimeout, "the ingress host answers", func() bool { return me.Status(ingressID) != nil })
	const oldKey, newKey = "s3cret-old-key", "s3cret-new-key"
	status, _ := me.Apply(ingressID, 0, customersDocument(oldKey))
	assert.Equal(t, status, fasthttp.StatusOK)
	waitForUpstreams(t, me, 2)
	hosts := []string{ingressID, "curing-room-1", "curing-room-2"}
	open := map[string]*keyedConnection{}
	for _, id := range hosts {
		testkit.Eventually(t, waitTimeout, id+" serves the key", func() bool { return openConnection(t, me, id).send(oldKey, 1)[0] == 200 })
		open[id] = openConnection(t, me, id)
		assert.DeepEqual(t, open[id].send(oldKey, 3), []int{200, 200, 200})
		assert.DeepEqual(t, open[id].send(newKey, 1), []int{401})
	}
	me.PlatformProxies["curing-room"].Stop()
	status, _ = me.Apply(ingressID, 1, customersDocument(newKey))
	assert.Equal(t, status, fasthttp.StatusOK)
	accepted := time.Now()
	me.Hosts["curing-room-2"].Kill()
	me.Hosts["curing-room-2"].Start()
	time.Sleep(time.Until(accepted.Add(within)))
	for _, id := range hosts[:2] {
		assert.DeepEqual(t, open[id].send(oldKey, 3), []int{401, 401, 401})
		assert.DeepEqual(t, open[id].send(newKey, 2), []int{200, 200})
	}
	testkit.Eventually(t, waitTimeout, "the restarted host serves the new key", func() bool {
		st := openConnection(t, me, "curing-room-2").send(oldKey, 1)[0]
		assert.Assert(t, st != 200, "the removed key was accepted after a restart")
		return st == 401
	})
	assert.DeepEqual(t, openConnection(t, me, "curing-room-2").send(newKey, 1), []int{200})
	runs := 0
	for _, id := range hosts[1:] {
		for _, ru := range me.Hosts[id].Upstream.Ledger() {
			runs++
			assert.Assert(t, !ru.HasKey && ru.Customer == "hotel", "%+v", ru)
		}
	}
	assert.Assert(t, runs >= 12, "%d runs", runs)
	for _, id := range hosts {
		assert.Assert(t, !strings.Contains(me.Hosts[id].Log(), "s3cret"), id)
	}
}
