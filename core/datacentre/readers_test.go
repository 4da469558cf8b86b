package datacentre

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// serveTarget is the time within which a change is in force on the hosts that the platform
// serves, while it turns others away.
const serveTarget = 7 * time.Second

// TestChangeIsReadWhilePlatformTurnsReadersAway turns away the hosts that would read first in
// each data centre, for each of several numbers of them and phases of a waiting read.
func TestChangeIsReadWhilePlatformTurnsReadersAway(t *testing.T) {
	for name, silent := range map[string]bool{
		"refused": false,
		"silent":  true,
	} {
		t.Run(name, func(t *testing.T) {
			for _, turnedAway := range []int{2, 4, 8, 12} {
				for phase := range 8 {
					si := newSimulation(simulationConfig{
						seed:           1,
						hosts:          36,
						centres:        2,
						readsPerSecond: 2000,
						longPolls:      true,
					})
					si.startAll()
					si.converge(convergenceTimeout)
					si.run(5*time.Second + time.Duration(phase)*250*time.Millisecond)
					si.platformSilent = silent
					si.turnAwayFirstReaders(turnedAway)
					si.acceptOutside()
					took := si.timeUntilInForce(20 * time.Second)
					assert.Check(t, took <= serveTarget, "%d of 18 hosts turned away, phase %d: in force after %v", turnedAway, phase, took)
					assert.Equal(t, len(si.violations), 0, "%v", si.violations)
				}
			}
		})
	}
}

// turnAwayFirstReaders makes the platform turn away the hosts of each data centre that read
// first.
func (si *simulation) turnAwayFirstReaders(count int) {
	me := si.hosts[si.hostIDs[0]].member
	for name := range me.centres {
		for _, id := range me.rendezvousHosts(name, "reader", count) {
			si.cutOff[id] = true
		}
	}
}

// timeUntilInForce runs until the newest version is in force on all hosts that the platform
// serves, for at most the limit, and returns how long that took.
func (si *simulation) timeUntilInForce(limit time.Duration) time.Duration {
	const step = 50 * time.Millisecond
	start := si.now
	for si.now.Sub(start) < limit && !si.inForceOnServed() {
		si.run(step)
	}
	return si.now.Sub(start)
}

func (si *simulation) inForceOnServed() bool {
	newest := si.accepted[len(si.accepted)-1].Version
	for _, id := range si.hostIDs {
		if !si.cutOff[id] && si.hosts[id].member.Report().Active != newest {
			return false
		}
	}
	return true
}

// TestOutageOfThePlatformIsReportedByFewHosts checks that an outage for all hosts costs a
// bounded number of readers.
func TestOutageOfThePlatformIsReportedByFewHosts(t *testing.T) {
	si := newSimulation(simulationConfig{
		seed:           1,
		hosts:          150,
		centres:        1,
		readsPerSecond: 2000,
		longPolls:      true,
	})
	si.startAll()
	si.converge(convergenceTimeout)
	si.platformDown = true
	si.run(30 * time.Second)
	lost := 0
	for _, id := range si.hostIDs {
		if si.hosts[id].member.self.GetPlatformLost() {
			lost++
		}
	}
	assert.Check(t, lost > 0 && lost <= maxReadersPerCentre, "%d hosts report lost reads", lost)
	si.platformDown = false
	si.acceptOutside()
	took := si.timeUntilInForce(20 * time.Second)
	assert.Check(t, took <= applyTarget, "in force %v after the outage", took)
	si.run(5 * time.Second)
	assert.Check(t, len(si.readers()) == readersPerCentre, "%v", si.readers())
}
