package datacentre

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"lynxfold/core/host"
	"lynxfold/core/wire"
)

// reachability is the state of the links from the node's own data centre into another
// one.
type reachability struct {
	// borderHosts are the hosts of the node's own data centre that keep a link into the
	// other one.
	borderHosts []host.ID
	reports     map[host.ID]reachReport
	// unreachableSince is since when this node, as a border host, has no link; zero
	// while it has one.
	unreachableSince time.Time
	reportedAt       time.Time
}

// reachReport is the latest report of one border host.
type reachReport struct {
	reached   bool
	sequence  uint64
	expiresAt time.Time
}

// rendezvousHosts returns the live hosts of a data centre with the highest rendezvous
// weights for a purpose.
func (me *Member) rendezvousHosts(name Name, purpose string, count int) []host.ID {
	key := xxhash.Sum64String(purpose)
	ring := slices.Clone(me.centre(name).liveRing())
	slices.SortFunc(ring, func(a, b *record) int {
		return cmp.Compare(rendezvousWeight(key, b.hash), rendezvousWeight(key, a.hash))
	})
	ids := make([]host.ID, 0, count)
	for _, re := range ring[:min(count, len(ring))] {
		ids = append(ids, re.id)
	}
	return ids
}

func (me *Member) reachabilityOf(name Name) *reachability {
	rc := me.reachability[name]
	if rc == nil {
		rc = &reachability{reports: map[host.ID]reachReport{}}
		me.reachability[name] = rc
	}
	return rc
}

// hasLinkInto reports whether this node has a link into a data centre.
func (me *Member) hasLinkInto(name Name) bool {
	for id := range me.links {
		if re := me.hosts[id]; re != nil && re.centre() == name {
			return true
		}
	}
	return false
}

// updateReachOnOpen reports a data centre as reached again once a link into it opens.
// A new neighbour in the node's own data centre gets the valid reports of unreached
// data centres.
func (me *Member) updateReachOnOpen(pe *peer, now time.Time) {
	re := me.hosts[pe.id]
	if re == nil {
		return
	}
	if name := re.centre(); name != me.cfg.DataCentre {
		rc := me.reachabilityOf(name)
		rc.unreachableSince = time.Time{}
		if rr, reported := rc.reports[me.cfg.Host]; reported && !rr.reached {
			me.reportReach(name, true, now)
		}
		return
	}
	for _, name := range slices.Sorted(maps.Keys(me.reachability)) {
		for _, id := range slices.Sorted(maps.Keys(me.reachability[name].reports)) {
			if rr := me.reachability[name].reports[id]; !rr.reached && now.Before(rr.expiresAt) {
				me.send(pe.id, reachMessage(id, name, rr))
			}
		}
	}
}

// updateReachOnClose starts the timeout for a data centre into which the last link
// closed.
func (me *Member) updateReachOnClose(name Name, now time.Time) {
	rc := me.reachabilityOf(name)
	if rc.unreachableSince.IsZero() && !me.hasLinkInto(name) {
		rc.unreachableSince = now
	}
}

// tickReach reports the data centres that this node, as a border host, does not reach,
// and marks those as separated that no border host reaches.
func (me *Member) tickReach(now time.Time) {
	for _, name := range slices.Sorted(maps.Keys(me.centres)) {
		if name == me.cfg.DataCentre {
			continue
		}
		rc := me.reachabilityOf(name)
		me.reportUnreachable(name, rc, now)
		me.updateSeparation(name, rc, now)
	}
}

func (me *Member) reportUnreachable(name Name, rc *reachability, now time.Time) {
	if !slices.Contains(me.borderHosts(rc), me.cfg.Host) || me.hasLinkInto(name) {
		rc.unreachableSince = time.Time{}
		return
	}
	if rc.unreachableSince.IsZero() {
		rc.unreachableSince = now
	}
	if now.Sub(rc.unreachableSince) >= reachTimeout && now.Sub(rc.reportedAt) >= reachReportInterval {
		rc.reportedAt = now
		me.reportReach(name, false, now)
	}
}

// borderHosts returns the hosts whose reports count; a node without any link counts
// only its own.
func (me *Member) borderHosts(rc *reachability) []host.ID {
	if len(me.links) == 0 {
		return []host.ID{me.cfg.Host}
	}
	return rc.borderHosts
}

func (me *Member) reportReach(name Name, reached bool, now time.Time) {
	rr := reachReport{
		reached:   reached,
		sequence:  uint64(now.UnixNano()),
		expiresAt: now.Add(reachReportTTL),
	}
	rc := me.reachabilityOf(name)
	rc.reports[me.cfg.Host] = rr
	if reached {
		rc.reportedAt = time.Time{}
	}
	me.broadcastReach(reachMessage(me.cfg.Host, name, rr), "")
	me.updateSeparation(name, rc, now)
}

// handleReach stores a report of a border host of the node's own data centre and
// forwards it.
func (me *Member) handleReach(rs *wire.Reach, from host.ID, now time.Time) {
	id := host.ID(rs.GetHost())
	re := me.hosts[id]
	name := Name(rs.GetDataCentre())
	if re == nil || re.centre() != me.cfg.DataCentre || name == me.cfg.DataCentre || me.centres[name] == nil {
		return
	}
	rc := me.reachabilityOf(name)
	if id == me.cfg.Host || rs.GetSequence() <= rc.reports[id].sequence {
		return
	}
	rc.reports[id] = reachReport{
		reached:   rs.GetReached(),
		sequence:  rs.GetSequence(),
		expiresAt: now.Add(reachReportTTL),
	}
	me.broadcastReach(reachMessage(id, name, rc.reports[id]), from)
	me.updateSeparation(name, rc, now)
}

// updateSeparation marks a data centre as separated if all border hosts report that
// they do not reach it.
func (me *Member) updateSeparation(name Name, rc *reachability, now time.Time) {
	hosts := me.borderHosts(rc)
	separated := len(hosts) > 0
	for _, id := range hosts {
		rr, reported := rc.reports[id]
		if !reported || rr.reached || !now.Before(rr.expiresAt) {
			separated = false
		}
	}
	ce := me.centres[name]
	if ce.separated == separated {
		return
	}
	ce.separated = separated
	kind := NoteRejoined
	if separated {
		kind = NoteSeparated
	}
	me.emit(Note{
		Kind:       kind,
		DataCentre: name,
		At:         now,
	})
	for _, re := range ce.hosts {
		me.updateView(re)
	}
}

// broadcastReach sends a report to the linked peers of the node's own data centre.
func (me *Member) broadcastReach(ms *wire.Control, except host.ID) {
	for _, id := range me.peers() {
		if re := me.hosts[id]; id != except && re != nil && re.centre() == me.cfg.DataCentre {
			me.send(id, ms)
		}
	}
}

func reachMessage(id host.ID, name Name, rr reachReport) *wire.Control {
	return &wire.Control{
		Kind: &wire.Control_Reach{
			Reach: &wire.Reach{
				Host:       string(id),
				DataCentre: string(name),
				Reached:    rr.reached,
				Sequence:   rr.sequence,
			},
		},
	}
}
