package datacentre

import (
	"cmp"
	"maps"
	"slices"

	"lynxfold/core/contract"
	"lynxfold/core/host"
	"lynxfold/core/wire"
)

// viewBuilder keeps the next view in step with the records. A change copies the
// lists of the services that it touches and shares all others.
type viewBuilder struct {
	upstreams map[contract.ServiceName][]Upstream
	// shared is set once a published view uses the map.
	shared bool
	dirty  bool
}

func newViewBuilder() viewBuilder {
	return viewBuilder{
		upstreams: map[contract.ServiceName][]Upstream{},
		dirty:     true,
	}
}

// show brings the upstreams of a host in the view in step with its record.
func (me *Member) show(re *record) {
	next := me.usable(re)
	if slices.Equal(next, re.shown) {
		return
	}
	vb := &me.view
	if vb.shared {
		vb.upstreams = maps.Clone(vb.upstreams)
		vb.shared = false
	}
	vb.dirty = true
	for _, up := range re.shown {
		vb.remove(up)
	}
	for _, up := range next {
		vb.add(up)
	}
	re.shown = next
}

// usable lists the upstreams of a host that calls may be sent to.
func (me *Member) usable(re *record) []Upstream {
	if !re.live() || re.doubted || me.centre(re.centre()).separated {
		return nil
	}
	var ups []Upstream
	for _, up := range re.ho.GetUpstreams() {
		if up.GetState() == wire.UpstreamState_UPSTREAM_STATE_READY {
			ups = append(ups, me.upstreamOf(re, up))
		}
	}
	return ups
}

func (me *Member) upstreamOf(re *record, up *wire.Upstream) Upstream {
	return Upstream{
		Host:        re.id,
		DataCentre:  re.centre(),
		Address:     me.addressOf(re.ho),
		Incarnation: host.Incarnation(re.ho.GetIncarnation()),
		Service:     contract.ServiceName(up.GetService()),
		Slots:       host.Slots(up.GetSlots()),
		Connections: int(up.GetConnections()),
		Suspect:     re.ho.GetStatus() == wire.Status_STATUS_SUSPECT,
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

// publish hands out a new view when something in it has changed.
func (me *Member) publish() {
	vb := &me.view
	if !vb.dirty {
		return
	}
	vb.dirty = false
	vb.shared = true
	me.do(Publish{
		View: &View{
			Config:    me.spread.inForce,
			Grounds:   me.start.grounds,
			Upstreams: vb.upstreams,
		},
	})
}
