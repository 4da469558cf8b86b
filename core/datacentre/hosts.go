package datacentre

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"lynxfold/core/host"
	"lynxfold/core/wire"
)

// lostMemory is how long a host that died counts as lost: it may run on behind a partition.
const lostMemory = 20 * time.Second

// LiveHost is a host that this node believes to be alive and in reach.
type LiveHost struct {
	ID      host.ID
	Address string
	// Suspect is set while the failure detector suspects the host.
	Suspect bool
	hash    uint64
}

// NewLiveHost returns an entry of a host list.
func NewLiveHost(id host.ID, address string, suspect bool) LiveHost {
	return LiveHost{
		ID:      id,
		Address: address,
		Suspect: suspect,
		hash:    xxhash.Sum64String(string(id)),
	}
}

// HostList is the list of the hosts that are alive and of those that were lost without an
// orderly departure. It is immutable once published.
type HostList struct {
	// Live is sorted by ID.
	Live []LiveHost
	// Separated is the number of hosts that can't be reached and are not known to be dead.
	Separated int
	// LostUntil holds, for each host that died, and for each that the introduction rows name
	// and that this process has not heard of, the time until which it counts as lost.
	LostUntil []time.Time
}

// Lost returns the number of hosts that may run on out of reach.
func (hl *HostList) Lost(now time.Time) int {
	lost := hl.Separated
	for _, until := range hl.LostUntil {
		if now.Before(until) {
			lost++
		}
	}
	return lost
}

// Contains reports whether a host is alive.
func (hl *HostList) Contains(id host.ID) bool {
	_, found := hl.Find(id)
	return found
}

// Find returns a live host.
func (hl *HostList) Find(id host.ID) (LiveHost, bool) {
	at, found := slices.BinarySearchFunc(hl.Live, id, func(lh LiveHost, id host.ID) int { return cmp.Compare(lh.ID, id) })
	if !found {
		return LiveHost{}, false
	}
	return hl.Live[at], true
}

// Rank appends to dst the live hosts that come first in the rendezvous order of a key, at
// most count.
func (hl *HostList) Rank(dst []LiveHost, key string, count int) []LiveHost {
	hash := xxhash.Sum64String(key)
	first := len(dst)
	for _, lh := range hl.Live {
		at := len(dst)
		for at > first && rendezvousWeight(hash, lh.hash) > rendezvousWeight(hash, dst[at-1].hash) {
			at--
		}
		if at-first >= count {
			continue
		}
		dst = slices.Insert(dst, at, lh)
		dst = dst[:min(len(dst), first+count)]
	}
	return dst
}

// outdateHosts makes the next step build a new host list if a change of a record
// concerns it.
func (me *Member) outdateHosts(re *record) {
	state := hostListState{
		status:    re.host.GetStatus(),
		reachable: me.reachable(re),
		address:   me.addressOf(re.host),
	}
	if state != re.listed {
		re.listed = state
		me.view.hosts = nil
		me.view.dirty = true
	}
}

// hostListState is what the host list says about a host.
type hostListState struct {
	status    wire.Status
	reachable bool
	address   string
}

// reachable reports whether a host is alive and can be reached as far as is known.
func (me *Member) reachable(re *record) bool {
	return re.live() && !re.unconfirmedDead && !me.centre(re.centre()).separated
}

// hostList returns the list of the view; it is built only after a change.
func (me *Member) hostList() *HostList {
	if me.view.hosts != nil {
		return me.view.hosts
	}
	hl := &HostList{}
	for _, re := range me.hosts {
		switch {
		case me.reachable(re):
			hl.Live = append(hl.Live, LiveHost{
				ID:      re.id,
				Address: me.addressOf(re.host),
				Suspect: re.host.GetStatus() == wire.Status_STATUS_SUSPECT,
				hash:    re.hash,
			})
		case re.live():
			hl.Separated++
		case re.host.GetStatus() == wire.Status_STATUS_DEAD:
			hl.LostUntil = append(hl.LostUntil, re.tombstoneAt.Add(lostMemory))
		}
	}
	for range me.unknownAmong(me.introduced) {
		hl.LostUntil = append(hl.LostUntil, me.cfg.StartedAt.Add(lostMemory))
	}
	slices.SortFunc(hl.Live, func(a, b LiveHost) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortFunc(hl.LostUntil, time.Time.Compare)
	me.view.hosts = hl
	return hl
}
