package testkit_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"lynxfold/testkit"
)

// limitedID is the host whose upstream states a rate limit, and roomyID one whose
// upstream does not.
const (
	limitedID = "curing-room-1"
	roomyID   = "curing-room-2"
)

// limitedLoad returns a load function that makes bookings, reads and uploads at all
// hosts, at some 100 calls per second and host.
func limitedLoad(ca *testkit.Callers) func(worker int) {
	ids := []string{ingressID, limitedID, roomyID}
	return func(worker int) {
		id := ids[worker%len(ids)]
		switch worker / len(ids) % 3 {
		case 0:
			ca.Call(id, http.MethodGet, "/results?work=20ms", 0)
		case 1:
			ca.Call(id, http.MethodPost, fmt.Sprintf("/bookings?work=%dms", 10+worker), 100)
		default:
			ca.Call(id, http.MethodPost, "/scans?work=20ms", 200<<10)
		}
		time.Sleep(30 * time.Millisecond)
	}
}

// TestUpstreamGetsNoMoreThanItsRateLimit puts more load on a service than one of its
// upstreams accepts.
func TestUpstreamGetsNoMoreThanItsRateLimit(t *testing.T) {
	me, ca := startBookingMesh(t)
	waitForRunningCalls(t, ca)
	stop := ca.StartLoad(18, limitedLoad(ca))
	time.Sleep(500 * time.Millisecond)
	up := me.Hosts[limitedID].Upstream
	up.SetRateLimit(testkit.FormatRate(10))
	time.Sleep(8 * time.Second)
	stop()
	testkit.CheckRateLimits(t, up)
	ca.CheckOutcomes(t)
	for _, cr := range ca.Results() {
		assert.Check(t, cr.Status == fasthttp.StatusOK, "%+v", cr)
	}
}

// drainSlack is the time beyond the drain grace for a call that was under way.
const drainSlack = 500 * time.Millisecond

// TestUpstreamThatSaysItLeavesGetsNoCalls lets an upstream state that it is leaving in
// its responses alone; its announcements go on as ready.
func TestUpstreamThatSaysItLeavesGetsNoCalls(t *testing.T) {
	me, ca := startBookingMesh(t)
	waitForRunningCalls(t, ca)
	stop := ca.StartLoad(18, limitedLoad(ca))
	time.Sleep(500 * time.Millisecond)
	up := me.Hosts[limitedID].Upstream
	up.SetLeaving()
	time.Sleep(3*time.Second + drainSlack)
	after := len(up.Ledger())
	time.Sleep(time.Second)
	stop()
	assert.Equal(t, len(up.Ledger()), after, "the upstream got new calls after the drain grace period")
	ca.CheckOutcomes(t)
	for _, cr := range ca.Results() {
		assert.Check(t, cr.Status == fasthttp.StatusOK, "%+v", cr)
	}
}
