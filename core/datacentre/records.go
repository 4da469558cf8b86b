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

// record is what is known of one host.
type record struct {
	ho   *wire.Host
	id   host.ID
	hash uint64
	// sum is the record's part of the digests; 0 once the host is gone.
	sum uint64
	// shown are the upstreams of the host in the view.
	shown []Upstream
	// suspectBy is when a suspected host is taken for dead.
	suspectBy time.Time
	// accused is set when this node itself suspects the host.
	accused bool
	// doubted hosts were taken for dead while this node had no link at all.
	doubted bool
	goneAt  time.Time
}

// live tells whether the host is alive as far as is known.
func (re *record) live() bool { return liveStatus(re.ho.GetStatus()) }

func (re *record) centre() Name { return Name(re.ho.GetDataCentre()) }

func (re *record) bucket() uint32 { return uint32(re.hash % buckets) }

func liveStatus(st wire.Status) bool {
	return st == wire.Status_STATUS_ALIVE || st == wire.Status_STATUS_SUSPECT
}

// centre is what is known of one data centre.
type centre struct {
	name  Name
	hosts map[host.ID]*record
	alive int
	sum   uint64
	sums  [buckets]uint64
	// ring holds the live hosts by hash; it is rebuilt when nil.
	ring      []*record
	separated bool
}

// hashes returns the live hosts in the order of their hashes.
func (ce *centre) hashes() []*record {
	if ce.ring == nil {
		ce.ring = make([]*record, 0, ce.alive)
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

// newer tells whether record a replaces record b of the same host.
func newer(a, b *wire.Host) bool {
	return cmp.Or(
		cmp.Compare(a.GetIncarnation(), b.GetIncarnation()),
		cmp.Compare(a.GetSequence(), b.GetSequence()),
		cmp.Compare(a.GetStatus(), b.GetStatus()),
	) > 0
}

// sumOf is a record's part of the digests. Suspicion is left out: it ends by
// itself, in a newer record or a death.
func sumOf(ho *wire.Host) uint64 {
	if !liveStatus(ho.GetStatus()) {
		return 0
	}
	var buf [16]byte
	binary.BigEndian.PutUint64(buf[:8], ho.GetIncarnation())
	binary.BigEndian.PutUint64(buf[8:], ho.GetSequence())
	return xxhash.Sum64String(ho.GetId()) ^ mix(xxhash.Sum64(buf[:])+xxhash.Sum64String(ho.GetId()))
}

// mix spreads the bits of a hash.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// weight ranks a pair of hashes for rendezvous hashing.
func weight(a, b uint64) uint64 { return mix(a ^ mix(b)) }

// put stores a record and keeps digests, rings and the view in step.
func (me *Member) put(ho *wire.Host, now time.Time) *record {
	id := host.ID(ho.GetId())
	re := me.hosts[id]
	if re != nil {
		me.unlist(re)
	} else {
		re = &record{
			id:   id,
			hash: xxhash.Sum64String(ho.GetId()),
		}
		me.hosts[id] = re
	}
	was := re.ho != nil && re.live()
	re.ho = ho
	re.sum = sumOf(ho)
	re.doubted = false
	if ho.GetStatus() != wire.Status_STATUS_SUSPECT {
		re.accused = false
		delete(me.suspects, id)
	}
	switch {
	case re.live() || id == me.cfg.Host:
		delete(me.gone, id)
	case !me.gone[id]:
		me.gone[id] = true
		re.goneAt = now
	}
	me.list(re)
	if was != re.live() {
		me.stale = true
	}
	me.show(re)
	return re
}

// list adds a record to the sums of its data centre.
func (me *Member) list(re *record) {
	ce := me.centre(re.centre())
	ce.hosts[re.id] = re
	me.addSum(ce, re, 1)
}

// unlist takes a record out of the sums of its data centre.
func (me *Member) unlist(re *record) {
	ce := me.centre(re.centre())
	delete(ce.hosts, re.id)
	me.addSum(ce, re, -1)
}

func (me *Member) addSum(ce *centre, re *record, count int) {
	if !re.live() {
		return
	}
	ce.ring = nil
	ce.alive += count
	me.alive += count
	ce.sum ^= re.sum
	ce.sums[re.bucket()] ^= re.sum
	me.sum ^= re.sum
}

// forgetGone drops hosts that have been gone for long.
func (me *Member) forgetGone(now time.Time) {
	for id := range me.gone {
		if re := me.hosts[id]; now.Sub(re.goneAt) > keepGone {
			me.unlist(re)
			delete(me.hosts, id)
			delete(me.gone, id)
			delete(me.start.reported, id)
		}
	}
}

// withStatus copies a record with another status.
func withStatus(ho *wire.Host, st wire.Status) *wire.Host {
	cp := proto.CloneOf(ho)
	cp.Status = st
	return cp
}
