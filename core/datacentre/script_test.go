package datacentre

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"lynxfold/core/contract"
	"lynxfold/core/host"
	"lynxfold/core/wire"
)

// TestScripts runs the stories in testdata. Commands that only change something
// print nothing; show prints what hosts have, notes what was noted since.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var wo *world
		datadriven.RunTest(t, path, func(t *testing.T, td *datadriven.TestData) string {
			if td.Cmd == "mesh" {
				cfg := worldConfig{seed: 1}
				td.ScanArgs(t, "hosts", &cfg.hosts)
				td.ScanArgs(t, "centres", &cfg.centres)
				wo = newWorld(cfg)
				wo.startAll()
				wo.converge(converged)
				clear(wo.noted)
				return strings.Join(wo.faults, "\n")
			}
			out := runCommand(t, wo, td)
			if len(wo.faults) > 0 {
				out += strings.Join(wo.faults, "\n") + "\n"
			}
			return out
		})
	})
}

func runCommand(t *testing.T, wo *world, td *datadriven.TestData) string {
	switch td.Cmd {
	case "run":
		span, err := time.ParseDuration(td.CmdArgs[0].Key)
		if err != nil {
			t.Fatal(err)
		}
		wo.run(span)
	case "show":
		return wo.show()
	case "notes":
		return wo.notes(td)
	case "platform":
		wo.platformDown = td.HasArg("down")
	case "cut":
		wo.separate(Name(td.CmdArgs[0].Key), Name(td.CmdArgs[1].Key))
	case "heal":
		wo.heal()
	default:
		for _, ar := range td.CmdArgs {
			runOnHost(t, wo, td.Cmd, wo.nodes[host.ID(ar.Key)])
		}
	}
	return ""
}

func runOnHost(t *testing.T, wo *world, cmd string, ho *hostState) {
	switch cmd {
	case "accept":
		if !wo.accept(ho.id, false) {
			t.Fatalf("%s could not accept", ho.id)
		}
	case "accept_lost_reply":
		wo.accept(ho.id, true)
	case "kill":
		wo.kill(ho.id)
	case "start":
		wo.startHost(ho.id, wo.seeds()...)
	case "start_without_contacts":
		wo.startHost(ho.id)
	case "clock_back":
		ho.clock = -time.Hour
	case "pause":
		wo.pause(ho.id)
	case "resume":
		wo.resume(ho.id)
	case "drain":
		ho.up.State = host.StateDraining
		wo.step(ho, *ho.up)
	case "leave":
		ho.left = true
		wo.step(ho, Leave{})
	case "invalid_version":
		wo.sendUpdate(ho, invalidDelta(ho.member.spread.held).Encode())
	case "cut_short":
		wo.sendUpdate(ho, invalidDelta(ho.member.spread.held).Encode()[:40])
	default:
		t.Fatalf("unknown command %q", cmd)
	}
}

// sendUpdate delivers an update of the next version as if it came from a neighbour.
func (wo *world) sendUpdate(ho *hostState, raw []byte) {
	wo.step(ho, Received{
		Peer: ho.member.peers()[0],
		Message: &wire.Control{
			Kind: &wire.Control_Update{
				Update: &wire.Update{
					Version: uint64(ho.member.spread.held.Version + 1),
					Delta:   raw,
				},
			},
		},
	})
}

// invalidDelta leads to a document with a route to a service that it lacks; its
// digest is right, as from a node that checks less.
func invalidDelta(base *contract.Snapshot) *contract.Delta {
	route := contract.Route{
		Name:       "dangling",
		PathPrefix: "/dangling",
		Service:    "nowhere",
		Contract:   "lookup",
	}
	doc := base.Document.Clone()
	doc.Routes = append(doc.Routes, route)
	return &contract.Delta{
		Base:       base.Version,
		BaseDigest: base.Digest,
		Result:     base.Version + 1,
		Digest:     doc.Digest(),
		PutRoutes:  []contract.Route{route},
	}
}

// show prints each host's version, grounds, live hosts and usable upstreams.
func (wo *world) show() string {
	var sb strings.Builder
	for _, id := range wo.order {
		ho := wo.nodes[id]
		if ho.member == nil {
			fmt.Fprintf(&sb, "%s dead\n", id)
			continue
		}
		rp := ho.member.Report()
		var shown []string
		for _, other := range wo.order {
			if shownIn(ho.view, other) != nil {
				shown = append(shown, strings.TrimPrefix(string(other), "host-"))
			}
		}
		fmt.Fprintf(&sb, "%s %s in force %d held %d floor %d", id, rp.Grounds, rp.InForce, rp.Held, rp.Floor)
		if len(rp.Refused) > 0 {
			fmt.Fprintf(&sb, " refused %d", rp.Refused[0].Version)
		}
		fmt.Fprintf(&sb, " upstreams of %s\n", strings.Join(shown, " "))
	}
	return sb.String()
}

// notes prints which of the asked kinds were noted since the last call.
func (wo *world) notes(td *datadriven.TestData) string {
	var sb strings.Builder
	kinds := slices.Sorted(maps.Keys(wo.noted))
	for _, ar := range td.CmdArgs {
		fmt.Fprintf(&sb, "%s %v\n", ar.Key, slices.Contains(kinds, NoteKind(ar.Key)))
	}
	clear(wo.noted)
	return sb.String()
}
