package datacentre

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lynxfold/core/contract"
	"lynxfold/core/host"
	"lynxfold/core/wire"
)

// TestInvariantChecksCanFail injects one fault for each invariant that the simulation
// checks, and expects the violation to be recorded.
func TestInvariantChecksCanFail(t *testing.T) {
	for name, tc := range map[string]struct {
		inject func(si *simulation, ho *hostState)
		want   string
	}{
		"lower version in one process": {
			inject: func(si *simulation, ho *hostState) { si.publish(ho, viewOf(si, 1)) },
			want:   "to lower version 1 in one process",
		},
		"lower version after a restart": {
			inject: func(si *simulation, ho *hostState) {
				ho.view = nil
				si.publish(ho, viewOf(si, 1))
			},
			want: "had time to send the highest",
		},
		"changed content": {
			inject: func(si *simulation, ho *hostState) {
				vi := viewOf(si, 2)
				other := *vi.Config
				other.Document = &contract.Document{}
				vi.Config = &other
				si.publish(ho, vi)
			},
			want: "differs from the accepted one",
		},
		"without a basis": {
			inject: func(si *simulation, ho *hostState) {
				vi := viewOf(si, 2)
				vi.Basis = BasisNone
				si.publish(ho, vi)
			},
			want: "without a basis",
		},
		"lost version": {
			inject: func(si *simulation, _ *hostState) {
				si.accepted = append(si.accepted, nextVersion(si.accepted[2], si.rnd))
				si.platformDown = true
				si.converge(10 * time.Second)
			},
			want: "no convergence",
		},
		"read budget exceeded": {
			inject: func(si *simulation, _ *hostState) {
				si.reads += 1000
				si.checkReads()
			},
			want: "platform reads",
		},
		"too many messages": {
			inject: func(si *simulation, _ *hostState) {
				si.onSend = func(_, _ host.ID, _ int, _ *wire.Control) {
					si.messages += 100 * maxMessagesPerSecond
				}
				si.run(10 * time.Second)
			},
			want: "messages within",
		},
		"lower version inside the member": {
			inject: func(si *simulation, ho *hostState) {
				ho.member.versions.verified = si.accepted[1]
				si.step(ho, Tick{})
			},
			want: "invariant violation",
		},
	} {
		t.Run(name, func(t *testing.T) {
			si := newSimulation(simulationConfig{seed: 5, centres: 2, hosts: 6})
			si.startAll()
			si.converge(convergenceTimeout)
			for range 2 {
				assert.Assert(t, si.accept(si.hostIDs[0], false))
				si.converge(convergenceTimeout)
			}
			si.run(10 * time.Second)
			assert.Equal(t, len(si.violations), 0, "%q", si.violations)
			tc.inject(si, si.hosts[si.hostIDs[3]])
			assert.Assert(t, strings.Contains(strings.Join(si.violations, "\n"), tc.want), "%q", si.violations)
		})
	}
}

func viewOf(si *simulation, ve contract.Version) *View {
	return &View{
		Config: si.accepted[ve],
		Basis:  BasisNeighbours,
	}
}
