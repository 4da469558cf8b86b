package datacentre

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"lynxfold/core/host"
	"lynxfold/core/wire"
)

// countRecordBytes counts the bytes of the messages with host records that are sent to a
// host from now on.
func countRecordBytes(si *simulation, id host.ID) *int {
	count := 0
	si.onSend = func(_, to host.ID, size int, ms *wire.Control) {
		if to == id && ms.GetMembers() != nil {
			count += size
		}
	}
	return &count
}

// totalRecordBytes returns the size of all host records.
func totalRecordBytes(si *simulation) int {
	total := 0
	for _, re := range si.hosts[si.hostIDs[0]].member.hosts {
		total += proto.Size(re.host)
	}
	return total
}

// TestJoinTransfersOnce: a restarted host opens about ten links and pulls the records
// of all hosts over only one of them.
func TestJoinTransfersOnce(t *testing.T) {
	si := joinedMesh(t, 150, 3)
	id := si.hostIDs[100]
	si.kill(id)
	si.run(3 * time.Second)
	got := countRecordBytes(si, id)
	si.startHost(id, si.bootstrapContacts()...)
	si.run(20 * time.Second)
	assert.Equal(t, si.hosts[id].member.liveHosts, 150)
	assert.Assert(t, *got >= totalRecordBytes(si)/2 && *got < 2*totalRecordBytes(si), "%d bytes for %d bytes of records", *got, totalRecordBytes(si))
}

// TestResetTransfersNothing: links that are reset and re-established between hosts
// with equal records transfer only the records of suspicions and refutations.
func TestResetTransfersNothing(t *testing.T) {
	si := joinedMesh(t, 150, 3)
	got := countRecordBytes(si, si.hostIDs[100])
	si.closeAll(si.hostIDs[100], time.Millisecond)
	si.run(20 * time.Second)
	assert.Assert(t, *got < totalRecordBytes(si)/10, "%d bytes for %d bytes of records", *got, totalRecordBytes(si))
}

// TestHealTransfersDifference: two data centres that were partitioned while one host
// of each restarted exchange little more than the records of these hosts.
func TestHealTransfersDifference(t *testing.T) {
	si := joinedMesh(t, 150, 2)
	si.partition("dc-0", "dc-1")
	si.run(5 * time.Second)
	for _, i := range []int{10, 11} {
		si.kill(si.hostIDs[i])
		si.startHost(si.hostIDs[i], si.bootstrapContacts()...)
	}
	si.run(10 * time.Second)
	crossedBytes := 0
	si.onSend = func(from, to host.ID, size int, ms *wire.Control) {
		if si.hosts[from].dataCentre != si.hosts[to].dataCentre && ms.GetMembers() != nil {
			crossedBytes += size
		}
	}
	si.heal()
	si.converge(time.Minute)
	assert.Equal(t, len(si.violations), 0, "%q", si.violations)
	assert.Assert(t, crossedBytes < totalRecordBytes(si)/2, "%d bytes for %d bytes of records", crossedBytes, totalRecordBytes(si))
}

// TestPullsAreRateLimited: a node answers many pulls within its byte budget.
func TestPullsAreRateLimited(t *testing.T) {
	si := joinedMesh(t, 100, 1)
	me := si.hosts[si.hostIDs[0]].member
	peer := me.peers()[0]
	all := make([]uint32, digestBuckets)
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
	pull := memberPullMessage("dc-0", all)
	for range 2000 {
		count(me.Step(MessageReceived{Peer: peer, Message: pull}, si.now))
	}
	const slack = 32 << 10 // an answer may start with one byte of budget left
	assert.Assert(t, sent <= resyncBurstBytes+slack, "%d bytes at once", sent)
	assert.Assert(t, refused > 0, "no pull was refused")
	now := si.now
	for range 50 {
		now = now.Add(100 * time.Millisecond)
		count(me.Step(Tick{}, now))
	}
	assert.Assert(t, sent <= resyncBurstBytes+5*resyncBytesPerSecond+slack, "%d bytes within 5 s", sent)
}
