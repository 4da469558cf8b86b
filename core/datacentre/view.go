package datacentre

import (
	"cmp"
	"maps"
	"slices"

	"lynxfold/core/contract"
	"lynxfold/core/host"
	"lynxfold/core/wire"
)

// viewBuilder maintains the upstreams of the next view. It is copy-on-write: a change
// copies only the lists of the affected services and shares all others with the
// published view.
type viewBuilder struct {
	upstreams map[contract.ServiceName][]Upstream
	// published is set once a published view uses the map, which must be cloned before
	// the next change.
	published bool
	// dirty is set when the next view differs from the published one.
	dirty bool
	// hosts is the host list; nil when it must be built again.
	hosts *HostList
}

func newViewBuilder() viewBuilder {
	return viewBuilder{
		upstreams: map[contract.ServiceName][]Upstream{},
		dirty:     true,
	}
}

// updateView updates the upstreams of a host in the view, and the host list, from its
// record.
func (me *Member) updateView(re *record) {
	me.outdateHosts(re)
	next := me.usableUpstreams(re)
	if slices.Equal(next, re.viewUpstreams) {
		return
	}
	vb := &me.view
	if vb.published {
		vb.upstreams = maps.Clone(vb.upstreams)
		vb.published = false
	}
	vb.dirty = true
	for _, up := range re.viewUpstreams {
		vb.remove(up)
	}
	for _, up := range next {
		vb.add(up)
	}
	re.viewUpstreams = next
}

// usableUpstreams returns the upstreams of a host that are eligible for calls.
func (me *Member) usableUpstreams(re *record) []Upstream {
	if !me.reachable(re) {
		return nil
	}
	var ups []Upstream
	for _, up := range re.host.GetUpstreams() {
		if up.GetState() == wire.UpstreamState_UPSTREAM_STATE_READY {
			ups = append(ups, me.viewUpstream(re, up))
		}
	}
	return ups
}

func (me *Member) viewUpstream(re *record, up *wire.Upstream) Upstream {
	return Upstream{
		Host:        re.id,
		DataCentre:  re.centre(),
		Address:     me.addressOf(re.host),
		Incarnation: host.Incarnation(re.host.GetIncarnation()),
		Service:     contract.ServiceName(up.GetService()),
		Slots:       host.Slots(up.GetSlots()),
		Connections: int(up.GetConnections()),
		Release:     host.Release(up.GetRelease()),
		Suspect:     re.host.GetStatus() == wire.Status_STATUS_SUSPECT,
	}
}

func compareHosts(up Upstream, id host.ID) int { return cmp.Compare(up.Host, id) }

func (vb *viewBuilder) remove(up Upstream) {
	old := vb.upstreams[up.Service]
	at, found := slices.BinarySearchFunc(old, up.Host, compareHosts)
	if !found {
		return
	}
	if len(old) == 1 {
		delete(vb.upstreams, up.Service)
		return
	}
	vb.upstreams[up.Service] = slices.Concat(old[:at], old[at+1:])
}

func (vb *viewBuilder) add(up Upstream) {
	old := vb.upstreams[up.Service]
	at, _ := slices.BinarySearchFunc(old, up.Host, compareHosts)
	vb.upstreams[up.Service] = slices.Concat(old[:at], []Upstream{up}, old[at:])
}

// publishView publishes a new view if something in it has changed.
func (me *Member) publishView() {
	vb := &me.view
	if !vb.dirty {
		return
	}
	vb.dirty = false
	vb.published = true
	me.emit(Publish{
		View: &View{
			Config:    me.versions.active,
			Basis:     me.startup.basis,
			Upstreams: vb.upstreams,
			Hosts:     me.hostList(),
		},
	})
}
