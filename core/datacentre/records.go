package datacentre

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"lynxfold/core/host"
	"lynxfold/core/wire"
)

// record is the state of one host.
type record struct {
	host *wire.Host
	id   host.ID
	hash uint64
	// digest is the record's contribution to the digests; 0 when the host is not
	// alive.
	digest uint64
	// viewUpstreams are the upstreams of the host in the view.
	viewUpstreams []Upstream
	// listed is what the host list says about the host.
	listed hostListState
	// suspicionDeadline is when a suspected host is declared dead.
	suspicionDeadline time.Time
	// suspectedHere is set when this node itself raised the suspicion.
	suspectedHere bool
	// unconfirmedDead is set when the suspicion timed out while this node had no link
	// at all.
	unconfirmedDead bool
	tombstoneAt     time.Time
}

// live reports whether the host counts as alive; suspected hosts do.
func (re *record) live() bool { return liveStatus(re.host.GetStatus()) }

func (re *record) centre() Name { return Name(re.host.GetDataCentre()) }

func (re *record) bucket() uint32 { return uint32(re.hash % digestBuckets) }

func liveStatus(st wire.Status) bool {
	return st == wire.Status_STATUS_ALIVE || st == wire.Status_STATUS_SUSPECT
}

// centre is the state of one data centre.
type centre struct {
	name          Name
	hosts         map[host.ID]*record
	liveHosts     int
	digest        uint64
	bucketDigests [digestBuckets]uint64
	// ring holds the live hosts by hash; nil when it must be rebuilt.
	ring []*record
	// separated is set when no border host of this node's data centre reaches this
	// one; its upstreams are then not in the view.
	separated bool
}

// liveRing returns the live hosts in the order of their hashes.
func (ce *centre) liveRing() []*record {
	if ce.ring == nil {
		ce.ring = make([]*record, 0, ce.liveHosts)
		for _, re := range ce.hosts {
			if re.live() {
				ce.ring = append(ce.ring, re)
			}
		}
		slices.SortFunc(ce.ring, func(a, b *record) int {
			return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.id, b.id))
		})
	}
	return ce.ring
}

// centre returns the state of a data centre and creates it if necessary.
func (me *Member) centre(name Name) *centre {
	ce := me.centres[name]
	if ce == nil {
		ce = &centre{
			name:  name,
			hosts: map[host.ID]*record{},
		}
		me.centres[name] = ce
	}
	return ce
}

// newer reports whether record a replaces record b of the same host.
func newer(a, b *wire.Host) bool {
	return cmp.Or(
		cmp.Compare(a.GetIncarnation(), b.GetIncarnation()),
		cmp.Compare(a.GetSequence(), b.GetSequence()),
		cmp.Compare(a.GetStatus(), b.GetStatus()),
	) > 0
}

// recordDigest returns a record's contribution to the digests. Suspicion is left out:
// it ends by itself, in a newer record or a death.
func recordDigest(ho *wire.Host) uint64 {
	if !liveStatus(ho.GetStatus()) {
		return 0
	}
	var buf [16]byte
	binary.BigEndian.PutUint64(buf[:8], ho.GetIncarnation())
	binary.BigEndian.PutUint64(buf[8:], ho.GetSequence())
	return xxhash.Sum64String(ho.GetId()) ^ mixHash(xxhash.Sum64(buf[:])+xxhash.Sum64String(ho.GetId()))
}

// mixHash distributes the bits of a hash (the finalizer of SplitMix64).
func mixHash(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// rendezvousWeight returns the weight of a pair of hashes for rendezvous hashing.
func rendezvousWeight(a, b uint64) uint64 { return mixHash(a ^ mixHash(b)) }

// storeRecord stores a record and updates digests, rings and the view.
func (me *Member) storeRecord(ho *wire.Host, now time.Time) *record {
	id := host.ID(ho.GetId())
	re := me.hosts[id]
	if re != nil {
		me.removeRecord(re)
	} else {
		re = &record{
			id:   id,
			hash: xxhash.Sum64String(ho.GetId()),
		}
		me.hosts[id] = re
	}
	wasLive := re.host != nil && re.live()
	re.host = ho
	re.digest = recordDigest(ho)
	re.unconfirmedDead = false
	if ho.GetStatus() != wire.Status_STATUS_SUSPECT {
		re.suspectedHere = false
		delete(me.suspects, id)
	}
	switch {
	case re.live() || id == me.cfg.Host:
		delete(me.tombstones, id)
	case !me.tombstones[id]:
		me.tombstones[id] = true
		re.tombstoneAt = now
	}
	me.addRecord(re)
	if wasLive != re.live() {
		me.linksOutdated = true
	}
	me.updateView(re)
	return re
}

// addRecord adds a record to its data centre and the digests.
func (me *Member) addRecord(re *record) {
	ce := me.centre(re.centre())
	ce.hosts[re.id] = re
	me.updateDigests(ce, re, 1)
}

// removeRecord removes a record from its data centre and the digests.
func (me *Member) removeRecord(re *record) {
	ce := me.centre(re.centre())
	delete(ce.hosts, re.id)
	me.updateDigests(ce, re, -1)
}

// updateDigests updates the digests and the numbers of live hosts for a record that
// is added (count 1) or removed (count -1).
func (me *Member) updateDigests(ce *centre, re *record, count int) {
	if !re.live() {
		return
	}
	ce.ring = nil
	ce.liveHosts += count
	me.liveHosts += count
	ce.digest ^= re.digest
	ce.bucketDigests[re.bucket()] ^= re.digest
	me.recordsDigest ^= re.digest
}

// expireTombstones removes hosts that died or left longer ago than tombstoneTTL.
func (me *Member) expireTombstones(now time.Time) {
	for id := range me.tombstones {
		if re := me.hosts[id]; now.Sub(re.tombstoneAt) > tombstoneTTL {
			me.removeRecord(re)
			delete(me.hosts, id)
			delete(me.tombstones, id)
			delete(me.startup.peerFloors, id)
		}
	}
}

// withStatus returns a copy of a record with another status.
func withStatus(ho *wire.Host, st wire.Status) *wire.Host {
	cp := proto.CloneOf(ho)
	cp.Status = st
	return cp
}
