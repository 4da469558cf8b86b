package testkit_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"lynxfold/core/host"
	"lynxfold/core/rollout"
	"lynxfold/io/operator"
	"lynxfold/io/platform"
	upstreamstandin "lynxfold/io/upstream/standin"
	"lynxfold/testkit"
)

// rolloutWithin is the duration of the orders.
const rolloutWithin = 8 * time.Second

// joinTime is the time after which hosts know the established release of a service.
const joinTime = 2500 * time.Millisecond

// rolloutMesh is a mesh with two upstreams of release v1 and two hosts without one, on
// which release v2 is started.
type rolloutMesh struct {
	*testkit.Mesh
	callers   *testkit.Callers
	orderedAt time.Time
}

func rolloutUpstream(id, release string) upstreamstandin.Config {
	return upstreamstandin.Config{
		Name:        id,
		Service:     "booking",
		Slots:       16,
		ServiceTime: 5 * time.Millisecond,
		Release:     release,
	}
}

func startRolloutMesh(t *testing.T) *rolloutMesh {
	t.Helper()
	hosts := []testkit.HostSpec{{ID: ingressID, DataCentre: "press-hall"}}
	for _, id := range []string{"old-1", "old-2"} {
		hosts = append(hosts, testkit.HostSpec{ID: id, DataCentre: "press-hall", Upstream: rolloutUpstream(id, "v1")})
	}
	for _, id := range []string{"new-1", "new-2"} {
		hosts = append(hosts, testkit.HostSpec{ID: id, DataCentre: "press-hall"})
	}
	me := startMeshForCalls(t, 2, testkit.MeshConfig{
		Hosts:    hosts,
		Settings: "[rollout]\ncanary_share = 0.1\ncanary_slack = 50\nrollback_within = 5s\n",
	})
	for _, id := range rolloutIngresses {
		testkit.Eventually(t, waitTimeout, "calls run at "+id, func() bool {
			return testkit.NewCallersWithPrefix(me, "warm-"+id).Call(id, "GET", "/results", 0).Outcome == "ran"
		})
	}
	return &rolloutMesh{Mesh: me, callers: testkit.NewCallers(me)}
}

// rolloutIngresses are the hosts that take calls.
var rolloutIngresses = []string{ingressID, "old-1", "new-1"}

// load makes calls until stop is called.
func (rm *rolloutMesh) load() (stop func()) {
	ids := rolloutIngresses
	return rm.callers.StartLoad(9, func(worker int) {
		rm.callers.Call(ids[worker%len(ids)], "POST", fmt.Sprintf("/bookings?work=%dms", 15+worker), 10)
	})
}

// startNew starts release v2; every failEvery-th of its calls fails.
func (rm *rolloutMesh) startNew(failEvery int) {
	for _, id := range []string{"new-1", "new-2"} {
		cfg := rolloutUpstream(id, "v2")
		cfg.FailEvery = failEvery
		rm.Hosts[id].AddUpstream(cfg)
	}
}

func (rm *rolloutMesh) order(t *testing.T) {
	t.Helper()
	body, err := json.Marshal(operator.RolloutBody{Service: "booking", Release: "v2", WithinMS: rolloutWithin.Milliseconds()})
	assert.NilError(t, err)
	status, answer, err := testkit.Post("http://"+rm.Hosts[ingressID].OperatorAddress+"/api/rollouts", body)
	assert.NilError(t, err)
	assert.Equal(t, status, fasthttp.StatusOK, "%s", answer)
	rm.orderedAt = time.Now()
}

// outcome waits until the status row says that the order has ended.
func (rm *rolloutMesh) outcome(t *testing.T) (state string, at time.Time) {
	t.Helper()
	testkit.Eventually(t, rolloutWithin+5*time.Second, "the order has an outcome", func() bool {
		for _, ro := range rm.Platform.Rows("rollout_status/") {
			var row struct {
				State string `json:"state"`
			}
			assert.NilError(t, json.Unmarshal(ro.Value, &row))
			state = row.State
		}
		return state == platform.RolloutState(rollout.PhaseCompleted) || state == platform.RolloutState(rollout.PhaseRolledBack)
	})
	return state, time.Now()
}

// runs counts the runs at two upstreams that began in a period, or that had not ended
// before it.
func (rm *rolloutMesh) runs(from, to time.Time, ids ...string) int {
	count := 0
	for _, id := range ids {
		for _, ru := range rm.Hosts[id].Upstream.Ledger() {
			if ru.StartedAt.Before(to) && (ru.FinishedAt.IsZero() || ru.FinishedAt.After(from)) {
				count++
			}
		}
	}
	return count
}

func far() time.Time { return time.Now().Add(time.Hour) }

// TestGoodReleaseIsCompleted guards against a release that gets calls before an order
// names it, against a good one that is not in use by the deadline, and against calls at
// the replaced upstreams when the status row says so.
func TestGoodReleaseIsCompleted(t *testing.T) {
	rm := startRolloutMesh(t)
	stop := rm.load()
	time.Sleep(joinTime)
	rm.startNew(0)
	waitForUpstreams(t, rm.Mesh, 4)
	time.Sleep(500 * time.Millisecond)
	assert.Equal(t, rm.runs(time.Time{}, far(), "new-1", "new-2"), 0)
	rm.order(t)
	state, at := rm.outcome(t)
	assert.Equal(t, state, "completed")
	t.Logf("completed after %s", at.Sub(rm.orderedAt))
	assert.Assert(t, at.Sub(rm.orderedAt) < rolloutWithin)
	time.Sleep(500 * time.Millisecond)
	stop()
	assert.Equal(t, rm.runs(at, far(), "old-1", "old-2"), 0)
	assert.Assert(t, rm.runs(at, far(), "new-1", "new-2") > 0)
	counts := rm.callers.CheckOutcomes(t)
	t.Logf("outcomes: %v", counts)
	assert.Equal(t, len(counts), 1, "a call did not run: %v", counts)
}

// TestBadReleaseIsRolledBack guards against a bad release that is completed, or that gets
// more than its share of the calls.
func TestBadReleaseIsRolledBack(t *testing.T) {
	rm := startRolloutMesh(t)
	stop := rm.load()
	defer stop()
	rm.order(t)
	rm.startNew(2)
	state, at := rm.outcome(t)
	assert.Equal(t, state, "rolled_back")
	time.Sleep(time.Second)
	old, bad := rm.runs(rm.orderedAt, far(), "old-1", "old-2"), rm.runs(rm.orderedAt, far(), "new-1", "new-2")
	t.Logf("rolled back after %s; %d runs at the bad release, %d at the others", at.Sub(rm.orderedAt), bad, old)
	assert.Assert(t, bad > 0)
	assert.Assert(t, float64(bad) <= 0.1*float64(old+bad)+50)
	assert.Equal(t, rm.runs(at.Add(500*time.Millisecond), far(), "new-1", "new-2"), 0)
	// A host that has lost its memory does not send to it, either.
	rm.Hosts[ingressID].Kill()
	rm.Hosts[ingressID].Start()
	restartedAt := time.Now()
	testkit.Eventually(t, waitTimeout, "calls run at the restarted host", func() bool {
		return rm.callers.Call(ingressID, "POST", "/bookings", 10).Outcome == "ran"
	})
	time.Sleep(time.Second)
	assert.Equal(t, rm.runs(restartedAt, far(), "new-1", "new-2"), 0)
}

// TestRolloutOutlivesItsCoordinator guards against an order without an outcome when the
// host that decides is killed.
func TestRolloutOutlivesItsCoordinator(t *testing.T) {
	rm := startRolloutMesh(t)
	ids := []host.ID{ingressID, "old-1", "old-2", "new-1", "new-2"}
	first := rollout.CoordinatorHost("booking", ids)
	stop := rm.load()
	defer stop()
	rm.order(t)
	rm.startNew(0)
	time.Sleep(2500 * time.Millisecond)
	rm.Hosts[string(first)].Kill()
	state, at := rm.outcome(t)
	t.Logf("coordinator %s was killed; %s after %s", first, state, at.Sub(rm.orderedAt))
	assert.Equal(t, state, "completed")
	assert.Assert(t, at.Sub(rm.orderedAt) < rolloutWithin)
}
