package datacentre

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"lynxfold/core/host"
	"lynxfold/core/wire"
)

// recordBytes counts the host records that one host is sent, in bytes.
func recordBytes(wo *world, id host.ID) *int {
	count := 0
	wo.watch = func(_, to host.ID, size int, ms *wire.Control) {
		if to == id && ms.GetMembers() != nil {
			count += size
		}
	}
	return &count
}

func allRecords(wo *world) int {
	total := 0
	for _, re := range wo.nodes[wo.order[0]].member.hosts {
		total += proto.Size(re.ho)
	}
	return total
}

// TestJoinTransfersOnce: a restarted host has about ten links and gets the
// records of all hosts over one of them.
func TestJoinTransfersOnce(t *testing.T) {
	wo := joined(t, 150, 3)
	id := wo.order[100]
	wo.kill(id)
	wo.run(3 * time.Second)
	got := recordBytes(wo, id)
	wo.startHost(id, wo.seeds()...)
	wo.run(20 * time.Second)
	assert.Equal(t, wo.nodes[id].member.alive, 150)
	assert.Assert(t, *got >= allRecords(wo)/2 && *got < 2*allRecords(wo), "%d bytes for %d bytes of records", *got, allRecords(wo))
}

// TestResetTransfersNothing: links that break and come back between hosts that
// agree move no records but those of suspicions and refutations.
func TestResetTransfersNothing(t *testing.T) {
	wo := joined(t, 150, 3)
	got := recordBytes(wo, wo.order[100])
	wo.closeAll(wo.order[100], time.Millisecond)
	wo.run(20 * time.Second)
	assert.Assert(t, *got < allRecords(wo)/10, "%d bytes for %d bytes of records", *got, allRecords(wo))
}

// TestHealTransfersDifference: two data centres that were apart while one host
// of each was restarted exchange little more than those.
func TestHealTransfersDifference(t *testing.T) {
	wo := joined(t, 150, 2)
	wo.separate("dc-0", "dc-1")
	wo.run(5 * time.Second)
	for _, i := range []int{10, 11} {
		wo.kill(wo.order[i])
		wo.startHost(wo.order[i], wo.seeds()...)
	}
	wo.run(10 * time.Second)
	crossed := 0
	wo.watch = func(from, to host.ID, size int, ms *wire.Control) {
		if wo.nodes[from].dc != wo.nodes[to].dc && ms.GetMembers() != nil {
			crossed += size
		}
	}
	wo.heal()
	wo.converge(time.Minute)
	assert.Equal(t, len(wo.faults), 0, "%q", wo.faults)
	assert.Assert(t, crossed < allRecords(wo)/2, "%d bytes for %d bytes of records", crossed, allRecords(wo))
}

// TestPullsArePaced: a node answers many pulls within its budget of bytes.
func TestPullsArePaced(t *testing.T) {
	wo := joined(t, 100, 1)
	me := wo.nodes[wo.order[0]].member
	peer := me.peers()[0]
	all := make([]uint32, buckets)
	for i := range all {
		all[i] = uint32(i)
	}
	sent, refused := 0, 0
	count := func(acts []Action) {
		for _, ac := range acts {
			switch ac := ac.(type) {
			case Send:
				sent += proto.Size(ac.Message)
			case Note:
				if ac.Kind == NoteResyncRefused {
					refused++
				}
			}
		}
	}
	pull := pullMessage("dc-0", all)
	for range 2000 {
		count(me.Step(Received{Peer: peer, Message: pull}, wo.now))
	}
	const slack = 32 << 10 // one answer may begin on the last byte
	assert.Assert(t, sent <= resyncBurst+slack, "%d bytes at once", sent)
	assert.Assert(t, refused > 0, "the queue took everything")
	now := wo.now
	for range 50 {
		now = now.Add(100 * time.Millisecond)
		count(me.Step(Tick{}, now))
	}
	assert.Assert(t, sent <= resyncBurst+5*resyncBytesPerSecond+slack, "%d bytes within 5 s", sent)
}
