package datacentre

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"lynxfold/core/host"
)

// converged is how long a mesh may take to agree once faults have ceased.
const converged = 90 * time.Second

// TestRandomFaults drives several members through random faults and checks the
// invariants of the configuration and of membership throughout.
func TestRandomFaults(t *testing.T) {
	var reached coverage
	rapid.Check(t, func(rt *rapid.T) {
		wo := newWorld(worldConfig{
			seed:    rapid.Uint64().Draw(rt, "seed"),
			centres: rapid.IntRange(2, 3).Draw(rt, "centres"),
			hosts:   rapid.IntRange(4, 8).Draw(rt, "hosts"),
			loss:    rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(rt, "loss"),
			double:  rapid.SampledFrom([]float64{0, 0.1}).Draw(rt, "double"),
			reorder: rapid.Bool().Draw(rt, "reorder"),
			spoil:   rapid.SampledFrom([]float64{0, 0.1}).Draw(rt, "spoil"),
		})
		wo.startAll()
		wo.run(time.Duration(rapid.IntRange(0, 5000).Draw(rt, "warm")) * time.Millisecond)
		for range rapid.IntRange(1, 10).Draw(rt, "ops") {
			randomOp(rt, wo)
			wo.run(time.Duration(rapid.IntRange(0, 3000).Draw(rt, "pass")) * time.Millisecond)
		}
		ceaseFaults(wo)
		wo.converge(converged)
		wo.checkReads()
		reached.add(wo)
		if len(wo.faults) > 0 {
			rt.Fatalf("faults: %q", wo.faults)
		}
	})
	reached.check(t)
}

// coverage counts what the sequences reached.
type coverage struct {
	sequences int
	accepted  int
	assumed   int
	noted     map[NoteKind]int
}

func (co *coverage) add(wo *world) {
	if co.noted == nil {
		co.noted = map[NoteKind]int{}
	}
	co.sequences++
	co.accepted += len(wo.accepted) - 1
	co.assumed += wo.assumed
	for ki, count := range wo.noted {
		co.noted[ki] += count
	}
}

// coveredFrom is how many sequences reach everything that is checked for.
const coveredFrom = 1000

// check fails when the sequences pass because they reach too little.
func (co *coverage) check(t *testing.T) {
	t.Logf("%d sequences, %d versions accepted, %d restarts below the highest on an assumption", co.sequences, co.accepted, co.assumed)
	if co.sequences < coveredFrom {
		return
	}
	for _, ki := range []NoteKind{
		NoteVersionRefused, NoteGapFilled, NoteFloorKnown, NoteReadFailed, NoteHostDead, NoteHostLeft,
		NoteRefuted, NoteReincarnated, NoteSeparated, NoteRejoined,
	} {
		t.Logf("%s: %d", ki, co.noted[ki])
		assert.Assert(t, co.noted[ki] > 0, "no sequence reached %s", ki)
	}
	assert.Assert(t, co.accepted > co.sequences/10, "only %d versions accepted", co.accepted)
}

func randomOp(rt *rapid.T, wo *world) {
	id := rapid.SampledFrom(wo.order).Draw(rt, "host")
	ho := wo.nodes[id]
	switch op := rapid.SampledFrom([]string{
		"accept", "accept", "race", "lost_reply", "kill", "herd", "restart", "clock", "pause", "resume",
		"partition", "heal", "platform_down", "platform_slow", "platform_up", "kill_centre", "drain", "upstream", "leave", "reset", "echo", "echo",
	}).Draw(rt, "op"); op {
	case "accept":
		wo.accept(id, false)
	case "race":
		wo.accept(id, false)
		wo.accept(rapid.SampledFrom(wo.order).Draw(rt, "rival"), false)
	case "lost_reply":
		wo.accept(id, true)
	case "kill":
		wo.kill(id)
	case "herd":
		for _, other := range wo.order {
			if wo.nodes[other].dc == ho.dc {
				wo.kill(other)
				wo.startHost(other, wo.seeds()...)
			}
		}
	case "restart":
		wo.kill(id)
		wo.startHost(id, wo.seeds()...)
	case "clock":
		wo.kill(id)
		ho.clock -= time.Hour
		wo.startHost(id, wo.seeds()...)
	case "pause":
		if ho.member != nil {
			wo.pause(id)
		}
	case "resume":
		wo.resume(id)
	case "partition":
		wo.separate(ho.dc, wo.nodes[rapid.SampledFrom(wo.order).Draw(rt, "far")].dc)
	case "heal":
		wo.heal()
	case "platform_down":
		wo.platformDown = true
	case "platform_slow":
		wo.platformDelay = time.Duration(rapid.IntRange(0, 8000).Draw(rt, "delay")) * time.Millisecond
	case "platform_up":
		wo.platformDown = false
		wo.platformDelay = 0
	case "kill_centre":
		for _, other := range wo.order {
			if wo.nodes[other].dc == ho.dc {
				wo.kill(other)
			}
		}
	case "drain", "upstream":
		ho.up.State = host.StateReady
		if op == "drain" {
			ho.up.State = host.StateDraining
		}
		wo.step(ho, *ho.up)
	case "leave":
		if ho.member != nil && !ho.paused {
			ho.left = true
			wo.step(ho, Leave{})
		}
	case "echo":
		wo.echo(id)
	case "reset":
		wo.closeAll(id, time.Millisecond)
	}
}

// ceaseFaults ends all faults: everything runs and is connected again. Hosts
// that left are ended.
func ceaseFaults(wo *world) {
	wo.heal()
	wo.platformDown = false
	wo.platformDelay = 0
	wo.cfg.loss = 0
	wo.cfg.spoil = 0
	for _, id := range wo.order {
		ho := wo.nodes[id]
		if ho.left {
			wo.kill(id)
		}
		if ho.paused {
			wo.resume(id)
		}
	}
}

// TestHealthyMeshAgrees is the base line of the randomised runs.
func TestHealthyMeshAgrees(t *testing.T) {
	wo := newWorld(worldConfig{
		seed:    7,
		centres: 3,
		hosts:   12,
	})
	wo.startAll()
	wo.converge(converged)
	assert.Assert(t, wo.accept("host-5", false))
	wo.converge(time.Second)
	assert.Equal(t, len(wo.faults), 0, "%q", wo.faults)
}
