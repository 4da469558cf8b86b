package datacentre

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lynxfold/core/host"
	"lynxfold/core/rollout"
)

// learnRollout makes a host learn a state of an order for service s1.
func (si *simulation) learnRollout(id host.ID, order rollout.OrderID, revision rollout.Revision, ph rollout.Phase) {
	si.step(si.hosts[id], RolloutsFound{
		Records: []rollout.Record{
			{
				Service:   "s1",
				Order:     order,
				Release:   "v2",
				Phase:     ph,
				Revision:  revision,
				OrderedAt: si.now,
				Deadline:  si.now.Add(12 * time.Second),
			},
		},
	})
}

// assertPhase checks what all hosts know of the roll-out.
func assertPhase(t *testing.T, si *simulation, ph rollout.Phase) {
	t.Helper()
	for _, id := range si.hostIDs {
		re, _ := si.hosts[id].member.rollouts.Get("s1")
		assert.Check(t, re.Phase == ph, "%s knows phase %s, not %s", id, re.Phase, ph)
	}
	assert.Equal(t, len(si.violations), 0, "%q", si.violations)
}

// TestRolloutNewsReachesAllHosts guards against hosts that act by an earlier state of an
// order: all learn the latest, and a roll-back is not replaced by a later revision.
func TestRolloutNewsReachesAllHosts(t *testing.T) {
	si := joinedMesh(t, 86, 4)
	si.learnRollout("host-3", 5, 1, rollout.PhaseCanary)
	si.run(newsTimeout)
	assertPhase(t, si, rollout.PhaseCanary)
	si.learnRollout("host-9", 5, 2, rollout.PhaseRolledBack)
	si.learnRollout("host-70", 5, 7, rollout.PhaseShifted)
	si.run(newsTimeout)
	assertPhase(t, si, rollout.PhaseRolledBack)
	si.learnRollout("host-70", 6, 1, rollout.PhaseCanary)
	si.run(newsTimeout)
	assertPhase(t, si, rollout.PhaseCanary)
}

// TestRolloutNewsReachesRestartedHost guards against a host that has lost its memory and
// sends to a release that was taken back.
func TestRolloutNewsReachesRestartedHost(t *testing.T) {
	si := joinedMesh(t, 12, 3)
	si.learnRollout("host-3", 5, 2, rollout.PhaseRolledBack)
	si.run(newsTimeout)
	restarted := si.hostIDs[0]
	si.kill(restarted)
	si.run(time.Second)
	si.startHost(restarted, si.bootstrapContacts()...)
	for len(si.hosts[restarted].member.links) == 0 {
		si.run(10 * time.Millisecond)
	}
	si.run(50 * time.Millisecond)
	assertPhase(t, si, rollout.PhaseRolledBack)
}

// TestRolloutNewsLostOnSilentLinkIsSentAgain guards against hosts that never learn a state
// whose messages were lost.
func TestRolloutNewsLostOnSilentLinkIsSentAgain(t *testing.T) {
	si := joinedMesh(t, 12, 3)
	si.cfg.lossRate = 1
	si.learnRollout("host-3", 5, 2, rollout.PhaseRolledBack)
	si.run(200 * time.Millisecond)
	si.cfg.lossRate = 0
	si.run(time.Minute)
	assertPhase(t, si, rollout.PhaseRolledBack)
}
