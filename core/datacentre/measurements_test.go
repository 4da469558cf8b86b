package datacentre

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lynxfold/core/contract"
	"lynxfold/core/host"
	"lynxfold/core/wire"
)

// printFigures makes the tests below print the tables of docs/design.
var printFigures = flag.Bool("figures", false, "print the tables of docs/design")

// spreadCost is the cost of distributing a configuration change.
type spreadCost struct {
	messages int
	bytes    int
	// worstBytes is the largest number of bytes that one host sent and received for one
	// change.
	worstBytes int
	// hops and duration are the largest of all changes.
	hops     int
	duration time.Duration
}

func joinedMesh(t *testing.T, hosts, centres int) *simulation {
	t.Helper()
	si := newSimulation(simulationConfig{
		seed:           11,
		hosts:          hosts,
		centres:        centres,
		readsPerSecond: float64(hosts),
	})
	si.startJoined()
	si.converge(5 * time.Minute)
	if len(si.violations) > 0 {
		t.Fatalf("mesh of %d hosts did not converge: %q", hosts, si.violations)
	}
	return si
}

// configBytes returns the size of a message that belongs to the configuration: an
// update, pull, document or notice; 0 for all others.
func configBytes(ms *wire.Control, size int) int {
	switch ms.GetKind().(type) {
	case *wire.Control_Update, *wire.Control_Pull, *wire.Control_Whole, *wire.Control_Notice:
		return size
	}
	return 0
}

// measureSpreadCost lets hosts accept changes one after the other, and measures until
// each is active on all hosts.
func measureSpreadCost(si *simulation, loss float64, changes int) spreadCost {
	var sc spreadCost
	si.cfg.lossRate = loss
	for i := range changes {
		bytes := map[host.ID]int{}
		hops := map[host.ID]int{}
		version := si.accepted[len(si.accepted)-1].Version + 1
		id := si.hostIDs[(i*37)%len(si.hostIDs)]
		si.onSend = func(from, to host.ID, size int, ms *wire.Control) {
			if cost := configBytes(ms, size); cost > 0 {
				sc.messages++
				sc.bytes += cost
				bytes[from] += cost
				bytes[to] += cost
			}
			if up := ms.GetUpdate(); up != nil && contract.Version(up.GetVersion()) == version {
				if old, ok := hops[to]; to != id && (!ok || hops[from]+1 < old) {
					hops[to] = hops[from] + 1
				}
			}
		}
		startedAt := si.now
		si.accept(id, false)
		for si.lagging(version) && si.now.Sub(startedAt) < 20*time.Second {
			si.run(20 * time.Millisecond)
		}
		sc.duration = max(sc.duration, si.now.Sub(startedAt))
		for _, id := range si.hostIDs {
			sc.worstBytes = max(sc.worstBytes, bytes[id])
			sc.hops = max(sc.hops, hops[id])
		}
	}
	si.onSend = nil
	si.cfg.lossRate = 0
	return sc
}

// lagging reports whether any running host has not activated a version yet.
func (si *simulation) lagging(ve contract.Version) bool {
	for _, id := range si.hostIDs {
		if ho := si.hosts[id]; ho.member != nil && (ho.view == nil || ho.view.Config.Version < ve) {
			return true
		}
	}
	return false
}

// TestSpreadFigures prints the cost of one change.
func TestSpreadFigures(t *testing.T) {
	if !*printFigures {
		t.Skip("runs with -figures")
	}
	for _, hosts := range []int{12, 100, 1000} {
		for _, loss := range []float64{0, 0.05, 0.3} {
			si := joinedMesh(t, hosts, min(10, 3+hosts/100))
			changes := 10
			if hosts > 100 {
				changes = 3
			}
			sc := measureSpreadCost(si, loss, changes)
			fmt.Printf("| %d | %.0f%% | %.1f | %.0f | %d | %d | %s |\n", hosts, loss*100,
				float64(sc.messages)/float64(changes*hosts), float64(sc.bytes)/float64(changes*hosts), sc.worstBytes, sc.hops, sc.duration)
		}
	}
}

// TestIdleFigures prints the traffic on links while nothing changes.
func TestIdleFigures(t *testing.T) {
	if !*printFigures {
		t.Skip("runs with -figures")
	}
	const span = 60
	for _, hosts := range []int{12, 100, 300} {
		si := joinedMesh(t, hosts, min(10, 3+hosts/100))
		si.run(10 * time.Second)
		si.messages = 0
		clear(si.bytes)
		si.run(span * time.Second)
		total, worst := 0, 0
		for _, id := range si.hostIDs {
			total += si.bytes[id]
			worst = max(worst, si.bytes[id])
		}
		fmt.Printf("| %d | %.2f | %.0f | %d |\n", hosts, float64(si.messages)/span/float64(hosts),
			float64(total)/span/float64(hosts), worst/span)
	}
}

// TestSuspicionFigures prints how fast dead hosts are detected, and how often paused
// hosts are suspected or declared dead.
func TestSuspicionFigures(t *testing.T) {
	if !*printFigures {
		t.Skip("runs with -figures")
	}
	for _, loss := range []float64{0, 0.05, 0.3} {
		si := joinedMesh(t, 100, 3)
		si.cfg.lossRate = loss
		killed := time.Duration(0)
		for i := range 10 {
			killed = max(killed, si.removalTime(si.hostIDs[i*7], si.kill))
		}
		silent := time.Duration(0)
		for i := range 5 {
			silent = max(silent, si.removalTime(si.hostIDs[1+i*7], si.pause))
		}
		si.run(5 * time.Second)
		clear(si.noteCounts)
		si.pauseHosts(1500 * time.Millisecond)
		fmt.Printf("| %s | %.0f%% | %s | %s | %d | %d |\n", suspicionTimeout, loss*100, killed, silent,
			si.noteCounts[NoteHostSuspect], si.noteCounts[NoteHostDead])
	}
}

// pauseHosts pauses every fourth host in turn.
func (si *simulation) pauseHosts(span time.Duration) {
	for i := 2; i < len(si.hostIDs); i += 4 {
		id := si.hostIDs[i]
		if si.hosts[id].member == nil || si.hosts[id].paused {
			continue
		}
		si.pause(id)
		si.run(span)
		si.resume(id)
		si.run(time.Second)
	}
}

// removalBound is the required bound from an upstream's end to its absence from all
// views.
const removalBound = 3 * time.Second

// TestRemovalWithinBound checks the bound in simulated time for a killed, a paused, a
// draining and a leaving host, and for an upstream that is gone.
func TestRemovalWithinBound(t *testing.T) {
	ends := map[string]func(si *simulation, ho *hostState){
		"killed": func(si *simulation, ho *hostState) { si.kill(ho.id) },
		"silent": func(si *simulation, ho *hostState) { si.pause(ho.id) },
		"leaves": func(si *simulation, ho *hostState) { si.step(ho, Leave{}) },
		"drains": func(si *simulation, ho *hostState) {
			ho.upstream.State = host.StateDraining
			si.step(ho, *ho.upstream)
		},
		"gone": func(si *simulation, ho *hostState) {
			ho.upstream.State = host.StateGone
			si.step(ho, *ho.upstream)
		},
	}
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			si := newSimulation(simulationConfig{seed: 3, centres: 3, hosts: 30})
			si.startAll()
			si.converge(convergenceTimeout)
			id := si.hostIDs[17]
			end(si, si.hosts[id])
			si.run(removalBound)
			for _, other := range si.hostIDs {
				ho := si.hosts[other]
				if ho.member != nil && !ho.paused && upstreamInView(ho.view, id) != nil {
					t.Errorf("%s still has %s in its view", other, id)
				}
			}
			assert.Equal(t, len(si.violations), 0, "%q", si.violations)
		})
	}
}

// TestPausedHostIsNotDeclaredDead pauses hosts for longer than a link may be silent,
// but not long enough for the suspicion to time out.
func TestPausedHostIsNotDeclaredDead(t *testing.T) {
	si := newSimulation(simulationConfig{seed: 4, centres: 3, hosts: 30})
	si.startAll()
	si.converge(convergenceTimeout)
	clear(si.noteCounts)
	si.pauseHosts(1700 * time.Millisecond)
	assert.Equal(t, si.noteCounts[NoteHostDead], 0)
	assert.Assert(t, si.noteCounts[NoteSuspicionRefuted] > 0, "no host was suspected")
}

// removalTime ends a host and returns how long it takes until no other host counts it
// as alive.
func (si *simulation) removalTime(id host.ID, end func(id host.ID)) time.Duration {
	startedAt := si.now
	end(id)
	for si.isCountedAlive(id) && si.now.Sub(startedAt) < time.Minute {
		si.run(20 * time.Millisecond)
	}
	return si.now.Sub(startedAt)
}

func (si *simulation) isCountedAlive(id host.ID) bool {
	for _, other := range si.hostIDs {
		ho := si.hosts[other]
		if other == id || ho.member == nil || ho.paused {
			continue
		}
		if re := ho.member.hosts[id]; re != nil && re.live() {
			return true
		}
	}
	return false
}
