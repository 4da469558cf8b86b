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

// TestInvariantChecksCanFail seeds one fault for each invariant of the driver.
func TestInvariantChecksCanFail(t *testing.T) {
	for name, tc := range map[string]struct {
		seed func(wo *world, ho *hostState)
		want string
	}{
		"going back in a process": {
			seed: func(wo *world, ho *hostState) { wo.published(ho, viewOf(wo, 1)) },
			want: "back to 1 in one process",
		},
		"going back after a restart": {
			seed: func(wo *world, ho *hostState) {
				ho.view = nil
				wo.published(ho, viewOf(wo, 1))
			},
			want: "knows better",
		},
		"another content": {
			seed: func(wo *world, ho *hostState) {
				vi := viewOf(wo, 2)
				other := *vi.Config
				other.Document = &contract.Document{}
				vi.Config = &other
				wo.published(ho, vi)
			},
			want: "is not the accepted one",
		},
		"without grounds": {
			seed: func(wo *world, ho *hostState) {
				vi := viewOf(wo, 2)
				vi.Grounds = GroundsNone
				wo.published(ho, vi)
			},
			want: "without grounds",
		},
		"version lost": {
			seed: func(wo *world, _ *hostState) {
				wo.accepted = append(wo.accepted, nextVersion(wo.accepted[2], wo.rnd))
				wo.platformDown = true
				wo.converge(10 * time.Second)
			},
			want: "no agreement",
		},
		"reads over the budget": {
			seed: func(wo *world, _ *hostState) {
				wo.reads += 1000
				wo.checkReads()
			},
			want: "reads of the platform",
		},
		"message storm": {
			seed: func(wo *world, _ *hostState) {
				wo.watch = func(_, _ host.ID, _ int, _ *wire.Control) {
					wo.messages += 100 * stormMessages
				}
				wo.run(10 * time.Second)
			},
			want: "messages within",
		},
		"version going back inside the member": {
			seed: func(wo *world, ho *hostState) {
				ho.member.spread.held = wo.accepted[1]
				wo.step(ho, Tick{})
			},
			want: "invariant violation",
		},
	} {
		t.Run(name, func(t *testing.T) {
			wo := newWorld(worldConfig{seed: 5, centres: 2, hosts: 6})
			wo.startAll()
			wo.converge(converged)
			for range 2 {
				assert.Assert(t, wo.accept(wo.order[0], false))
				wo.converge(converged)
			}
			wo.run(10 * time.Second)
			assert.Equal(t, len(wo.faults), 0, "%q", wo.faults)
			tc.seed(wo, wo.nodes[wo.order[3]])
			assert.Assert(t, strings.Contains(strings.Join(wo.faults, "\n"), tc.want), "%q", wo.faults)
		})
	}
}

func viewOf(wo *world, ve contract.Version) *View {
	return &View{
		Config:  wo.accepted[ve],
		Grounds: GroundsNeighbours,
	}
}
