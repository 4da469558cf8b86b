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

// figures makes the tests below print the tables of docs/design.
var figures = flag.Bool("figures", false, "print the tables of docs/design")

// spreadFigures are the costs of one change.
type spreadFigures struct {
	messages int
	bytes    int
	worst    int
	hops     int
	all      time.Duration
}

func joined(t *testing.T, hosts, centres int) *world {
	t.Helper()
	wo := newWorld(worldConfig{
		seed:    11,
		hosts:   hosts,
		centres: centres,
		budget:  float64(hosts),
	})
	wo.startKnown()
	wo.converge(5 * time.Minute)
	if len(wo.faults) > 0 {
		t.Fatalf("%d hosts did not join: %q", hosts, wo.faults)
	}
	return wo
}

// configBytes counts what a message costs for the configuration: updates, pulls,
// documents and the notices of versions.
func configBytes(ms *wire.Control, size int) int {
	switch ms.GetKind().(type) {
	case *wire.Control_Update, *wire.Control_Pull, *wire.Control_Whole, *wire.Control_Notice:
		return size
	}
	return 0
}

// measureSpread lets some hosts accept changes, one after the other, and counts
// until the last host has each in force.
func measureSpread(wo *world, loss float64, changes int) spreadFigures {
	var fi spreadFigures
	wo.cfg.loss = loss
	for i := range changes {
		bytes := map[host.ID]int{}
		rounds := map[host.ID]int{}
		version := wo.accepted[len(wo.accepted)-1].Version + 1
		id := wo.order[(i*37)%len(wo.order)]
		wo.watch = func(from, to host.ID, size int, ms *wire.Control) {
			if cost := configBytes(ms, size); cost > 0 {
				fi.messages++
				fi.bytes += cost
				bytes[from] += cost
				bytes[to] += cost
			}
			if up := ms.GetUpdate(); up != nil && contract.Version(up.GetVersion()) == version {
				if old, ok := rounds[to]; to != id && (!ok || rounds[from]+1 < old) {
					rounds[to] = rounds[from] + 1
				}
			}
		}
		began := wo.now
		wo.accept(id, false)
		for wo.lagging(version) && wo.now.Sub(began) < 20*time.Second {
			wo.run(20 * time.Millisecond)
		}
		fi.all = max(fi.all, wo.now.Sub(began))
		for _, id := range wo.order {
			fi.worst = max(fi.worst, bytes[id])
			fi.hops = max(fi.hops, rounds[id])
		}
	}
	wo.watch = nil
	wo.cfg.loss = 0
	return fi
}

func (wo *world) lagging(ve contract.Version) bool {
	for _, id := range wo.order {
		if ho := wo.nodes[id]; ho.member != nil && (ho.view == nil || ho.view.Config.Version < ve) {
			return true
		}
	}
	return false
}

// TestSpreadFigures prints what one change costs.
func TestSpreadFigures(t *testing.T) {
	if !*figures {
		t.Skip("runs with -figures")
	}
	for _, hosts := range []int{12, 100, 1000} {
		for _, loss := range []float64{0, 0.05, 0.3} {
			wo := joined(t, hosts, min(10, 3+hosts/100))
			changes := 10
			if hosts > 100 {
				changes = 3
			}
			fi := measureSpread(wo, loss, changes)
			fmt.Printf("| %d | %.0f%% | %.1f | %.0f | %d | %d | %s |\n", hosts, loss*100,
				float64(fi.messages)/float64(changes*hosts), float64(fi.bytes)/float64(changes*hosts), fi.worst, fi.hops, fi.all)
		}
	}
}

// TestSuspicionFigures prints how fast dead hosts are found, and how often slow
// ones are taken for dead.
func TestSuspicionFigures(t *testing.T) {
	if !*figures {
		t.Skip("runs with -figures")
	}
	for _, loss := range []float64{0, 0.05, 0.3} {
		wo := joined(t, 100, 3)
		wo.cfg.loss = loss
		killed := time.Duration(0)
		for i := range 10 {
			killed = max(killed, wo.timeToForget(wo.order[i*7], wo.kill))
		}
		silent := time.Duration(0)
		for i := range 5 {
			silent = max(silent, wo.timeToForget(wo.order[1+i*7], wo.pause))
		}
		wo.run(5 * time.Second)
		clear(wo.noted)
		wo.pauseSome(1500 * time.Millisecond)
		fmt.Printf("| %s | %.0f%% | %s | %s | %d | %d |\n", suspectFor, loss*100, killed, silent,
			wo.noted[NoteHostSuspect], wo.noted[NoteHostDead])
	}
}

// pauseSome pauses every fourth host for a while, one after the other.
func (wo *world) pauseSome(span time.Duration) {
	for i := 2; i < len(wo.order); i += 4 {
		id := wo.order[i]
		if wo.nodes[id].member == nil || wo.nodes[id].paused {
			continue
		}
		wo.pause(id)
		wo.run(span)
		wo.resume(id)
		wo.run(time.Second)
	}
}

// goneWithin is the brief's bound from an upstream's end to its absence everywhere.
const goneWithin = 3 * time.Second

// TestGoneWithin checks the bound, counted in the driver's own time, for a
// killed, a silent, a draining and a leaving host.
func TestGoneWithin(t *testing.T) {
	ends := map[string]func(wo *world, ho *hostState){
		"killed": func(wo *world, ho *hostState) { wo.kill(ho.id) },
		"silent": func(wo *world, ho *hostState) { wo.pause(ho.id) },
		"leaves": func(wo *world, ho *hostState) { wo.step(ho, Leave{}) },
		"drains": func(wo *world, ho *hostState) {
			ho.up.State = host.StateDraining
			wo.step(ho, *ho.up)
		},
		"gone": func(wo *world, ho *hostState) {
			ho.up.State = host.StateGone
			wo.step(ho, *ho.up)
		},
	}
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			wo := newWorld(worldConfig{seed: 3, centres: 3, hosts: 30})
			wo.startAll()
			wo.converge(converged)
			id := wo.order[17]
			end(wo, wo.nodes[id])
			wo.run(goneWithin)
			for _, other := range wo.order {
				ho := wo.nodes[other]
				if ho.member != nil && !ho.paused && shownIn(ho.view, id) != nil {
					t.Errorf("%s still shows %s", other, id)
				}
			}
			assert.Equal(t, len(wo.faults), 0, "%q", wo.faults)
		})
	}
}

// TestSlowIsNotDead pauses hosts for as long as a link may be silent.
func TestSlowIsNotDead(t *testing.T) {
	wo := newWorld(worldConfig{seed: 4, centres: 3, hosts: 30})
	wo.startAll()
	wo.converge(converged)
	clear(wo.noted)
	wo.pauseSome(1700 * time.Millisecond)
	assert.Equal(t, wo.noted[NoteHostDead], 0)
	assert.Assert(t, wo.noted[NoteRefuted] > 0, "nobody was even suspected")
}

// timeToForget ends a host and returns when the last host no longer counts on it.
func (wo *world) timeToForget(id host.ID, end func(id host.ID)) time.Duration {
	began := wo.now
	end(id)
	for wo.countedOn(id) && wo.now.Sub(began) < time.Minute {
		wo.run(20 * time.Millisecond)
	}
	return wo.now.Sub(began)
}

func (wo *world) countedOn(id host.ID) bool {
	for _, other := range wo.order {
		ho := wo.nodes[other]
		if other == id || ho.member == nil || ho.paused {
			continue
		}
		if re := ho.member.hosts[id]; re != nil && re.live() {
			return true
		}
	}
	return false
}
