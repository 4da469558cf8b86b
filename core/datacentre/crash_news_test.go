package datacentre

import (
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"lynxfold/core/host"
	"lynxfold/core/quarantine"
	"lynxfold/core/wire"
)

// newsTimeout is how long news of crashes may take to reach all hosts of a mesh whose
// links are open.
const newsTimeout = 500 * time.Millisecond

// crashUpstream reports the crash of a host's upstream while it was running requests.
func (si *simulation) crashUpstream(id host.ID, requests ...host.Fingerprint) {
	si.serial++
	si.step(si.hosts[id], CrashesFound{
		News: quarantine.News{
			Crashes: []quarantine.Crash{
				{
					ID:       quarantine.CrashID(si.serial),
					Host:     id,
					At:       si.now,
					Suspects: requests,
				},
			},
		},
	})
}

// quarantineRequest reports crashes by a request at three hosts.
func (si *simulation) quarantineRequest(fp host.Fingerprint) {
	for _, id := range si.hostIDs[:3] {
		si.crashUpstream(id, fp)
	}
}

// knowsOf reports whether a host holds a request to have crashed enough upstreams.
func (si *simulation) knowsOf(id host.ID, fp host.Fingerprint) bool {
	return si.hosts[id].member.crashes.Verdict(fp, si.now).Crashes >= 3
}

// assertKnown checks that all hosts but some know that a request crashes upstreams, and
// that their ingresses and gates have been told.
func assertKnown(t *testing.T, si *simulation, fp host.Fingerprint, except ...host.ID) {
	t.Helper()
	for _, id := range si.hostIDs {
		if slices.Contains(except, id) {
			continue
		}
		assert.Check(t, si.knowsOf(id, fp), "%s does not know", id)
		told := quarantine.New(quarantine.Config{Host: id})
		told.Merge(si.hosts[id].crashes, si.now)
		reported := slices.Index(si.hostIDs[:3], id) >= 0 && si.hosts[id].process == 1
		assert.Check(t, reported || told.Verdict(fp, si.now).Crashes >= 3, "%s: ingress and gate were not told", id)
	}
	assert.Equal(t, len(si.violations), 0, "%q", si.violations)
}

func TestCrashNewsReachesAllHosts(t *testing.T) {
	si := joinedMesh(t, 86, 4)
	si.quarantineRequest(7)
	si.run(newsTimeout)
	assertKnown(t, si, 7)
}

// TestCrashesAreKnownAfterAllHostsWereRestarted kills all hosts at once, whose memory held what
// was known.
func TestCrashesAreKnownAfterAllHostsWereRestarted(t *testing.T) {
	si := joinedMesh(t, 12, 3)
	si.quarantineRequest(7)
	si.run(newsTimeout)
	for _, id := range si.hostIDs {
		si.kill(id)
	}
	si.run(time.Second)
	for _, id := range si.hostIDs {
		si.startHost(id, si.bootstrapContacts()...)
	}
	si.run(10 * time.Second)
	assertKnown(t, si, 7)
}

func TestCrashNewsReachesRestartedHost(t *testing.T) {
	si := joinedMesh(t, 12, 3)
	si.quarantineRequest(7)
	si.run(newsTimeout)
	restarted := si.hostIDs[0]
	si.kill(restarted)
	si.run(time.Second)
	si.startHost(restarted, si.bootstrapContacts()...)
	for len(si.hosts[restarted].member.links) == 0 {
		si.run(10 * time.Millisecond)
	}
	si.run(50 * time.Millisecond)
	assertKnown(t, si, 7)
}

func TestCrashNewsReachesDataCentreAfterPartition(t *testing.T) {
	si := joinedMesh(t, 12, 3)
	si.partition("dc-0", "dc-1")
	si.partition("dc-0", "dc-2")
	si.run(10 * time.Second)
	for _, id := range []host.ID{"host-1", "host-2", "host-4"} {
		si.crashUpstream(id, 7)
	}
	si.run(newsTimeout)
	assert.Assert(t, si.knowsOf("host-5", 7) && !si.knowsOf("host-0", 7))
	si.heal()
	si.run(20 * time.Second)
	assertKnown(t, si, 7, "host-1", "host-2", "host-4")
	assert.Assert(t, si.knowsOf("host-1", 7) && si.knowsOf("host-2", 7) && si.knowsOf("host-4", 7))
}

// TestCrashNewsReachesHostsBesideOlderOnes runs every third host as one of an earlier
// release, which neither reads news of crashes nor forwards them.
func TestCrashNewsReachesHostsBesideOlderOnes(t *testing.T) {
	si := meshWithOlderHosts(3)
	for _, id := range []host.ID{"host-0", "host-1", "host-3"} {
		si.crashUpstream(id, 7)
	}
	si.run(newsTimeout)
	for _, id := range si.hostIDs {
		assert.Check(t, si.older[id] || si.knowsOf(id, 7), "%s does not know", id)
	}
	assert.Equal(t, len(si.violations), 0, "%q", si.violations)
}

// TestCrashNewsLostOnSilentLinkIsSentAgain loses all messages for a while, as on links
// that go silent and are replaced without the member's notice.
func TestCrashNewsLostOnSilentLinkIsSentAgain(t *testing.T) {
	si := joinedMesh(t, 12, 3)
	si.cfg.lossRate = 1
	si.quarantineRequest(7)
	si.run(200 * time.Millisecond)
	si.cfg.lossRate = 0
	assert.Assert(t, !si.knowsOf("host-9", 7))
	// Each of the three hosts knows of its own crash only, until the request crashes
	// another upstream.
	si.crashUpstream("host-0", 7)
	si.crashUpstream("host-0", 7)
	si.run(time.Minute)
	for _, id := range si.hostIDs {
		assert.Check(t, si.knowsOf(id, 7), "%s does not know", id)
	}
}

func TestSurvivalEndsQuarantineOnAllHosts(t *testing.T) {
	si := joinedMesh(t, 24, 3)
	si.quarantineRequest(7)
	si.run(newsTimeout)
	si.step(si.hosts["host-9"], CrashesFound{
		News: quarantine.News{Survivals: []quarantine.Survival{{Request: 7, At: si.now}}},
	})
	si.run(newsTimeout)
	for _, id := range si.hostIDs {
		assert.Check(t, si.hosts[id].member.crashes.IsEmpty(), "%s still suspects the request", id)
	}
}

// TestCrashNewsIsBounded reports many crashes at once: each is sent about once over each
// link, and no message is so large that it waits behind others.
func TestCrashNewsIsBounded(t *testing.T) {
	const crashes, suspects, maxMessageBytes = 40, 9, 8 << 10
	si := joinedMesh(t, 86, 4)
	sent, largest := 0, 0
	si.onSend = func(_, _ host.ID, size int, ms *wire.Control) {
		if ms.GetCrashNews() != nil {
			sent += size
			largest = max(largest, size)
		}
	}
	for i := range crashes {
		var requests []host.Fingerprint
		for n := range suspects {
			requests = append(requests, host.Fingerprint(1000*i+n+1))
		}
		si.crashUpstream(si.hostIDs[i%len(si.hostIDs)], requests...)
	}
	si.run(5 * time.Second)
	links := len(si.links)
	one := proto.Size(&wire.Crash{Id: 1, Host: "host-00", AgeUs: 1 << 20, Fingerprints: make([]uint64, suspects)}) + 16
	assert.Assert(t, sent <= 2*links*crashes*one, "%d bytes over %d links", sent, links)
	si.kill("host-9")
	si.startHost("host-9", si.bootstrapContacts()...)
	si.run(10 * time.Second)
	assert.Assert(t, largest <= maxMessageBytes, "a message has %d bytes", largest)
	before := sent
	si.run(time.Minute)
	assert.Equal(t, sent, before, "nothing is sent again while all hosts know")
	t.Logf("%d bytes for %d crashes over %d links, largest message %d", before, crashes, links, largest)
}

// TestCrashNewsDoesNotFillLinks reports many crashes, and runs that clear each of their suspects:
// the news of them filled the send queues of the links, which closed.
func TestCrashNewsDoesNotFillLinks(t *testing.T) {
	const crashes, suspects, queueLength = 200, 16, 512
	si := joinedMesh(t, 24, 2)
	type second struct {
		from, to host.ID
		at       int64
	}
	sent := map[second]int{}
	total := 0
	si.onSend = func(from, to host.ID, _ int, ms *wire.Control) {
		if ms.GetCrashNews() != nil {
			sent[second{from: from, to: to, at: si.now.Unix()}]++
			total++
		}
	}
	for i := range crashes {
		var requests []host.Fingerprint
		for n := range suspects {
			requests = append(requests, host.Fingerprint(1000*i+n+1))
		}
		reporter := si.hostIDs[i%len(si.hostIDs)]
		si.crashUpstream(reporter, requests...)
		si.run(5 * time.Millisecond)
		for _, fp := range requests {
			si.step(si.hosts[reporter], CrashesFound{
				News: quarantine.News{Survivals: []quarantine.Survival{{Request: fp, At: si.now}}},
			})
		}
		si.run(5 * time.Millisecond)
	}
	most := 0
	for _, count := range sent {
		most = max(most, count)
	}
	assert.Check(t, most < queueLength, "%d messages within a second on one link", most)
	si.run(10 * time.Second)
	before := total
	si.run(10 * time.Second)
	assert.Equal(t, total, before, "news circulates")
	t.Logf("%d messages, %d within a second on one link", total, most)
}
