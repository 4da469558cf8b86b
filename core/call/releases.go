package call

import (
	"cmp"
	"hash/fnv"
	"slices"

	"lynxfold/core/contract"
	"lynxfold/core/datacentre"
	"lynxfold/core/host"
	"lynxfold/core/rollout"
)

// maxReleasePools bounds the cached selections of upstreams; the cache is emptied when it
// is full.
const maxReleasePools = 256

// ReleasePools selects the upstreams of a service whose releases a filter allows. The
// selections are cached, because a Chooser recognises a changed pool by its slice.
type ReleasePools struct {
	pools map[releaseKey]releasePool
}

type releaseKey struct {
	service contract.ServiceName
	filter  rollout.Filter
}

// releasePool is a cached selection. firstUpstream and size identify the slice of the
// view that it was made from.
type releasePool struct {
	firstUpstream *datacentre.Upstream
	size          int
	upstreams     []datacentre.Upstream
}

// NewReleasePools returns an empty cache.
func NewReleasePools() *ReleasePools { return &ReleasePools{pools: map[releaseKey]releasePool{}} }

// Suffixes of the names of a service's pools. The upstreams of a release that receives
// calls of its own are a pool of their own, so that the statistics of the others stay.
const (
	onlyPool  = "\x00only"
	trialPool = "\x00trial"
)

// Select returns the upstreams that a filter allows and the name of their pool. If it
// allows none, it returns all: a service with upstreams serves its calls.
func (rp *ReleasePools) Select(name contract.ServiceName, all []datacentre.Upstream, fi rollout.Filter) (contract.ServiceName, []datacentre.Upstream) {
	if fi == (rollout.Filter{}) || len(all) == 0 {
		return name, all
	}
	key := releaseKey{service: name, filter: fi}
	po, ok := rp.pools[key]
	if !ok || po.firstUpstream != &all[0] || po.size != len(all) {
		if len(rp.pools) >= maxReleasePools {
			clear(rp.pools)
		}
		po = releasePool{
			firstUpstream: &all[0],
			size:          len(all),
			upstreams:     selectUpstreams(name, all, fi),
		}
		rp.pools[key] = po
	}
	switch {
	case len(po.upstreams) == 0:
		if next := fi.Fallback(); next != fi {
			return rp.Select(name, all, next)
		}
		return name, all
	case fi.Trial:
		return name + trialPool, po.upstreams
	case fi.Only:
		return name + onlyPool, po.upstreams
	}
	return name, po.upstreams
}

func selectUpstreams(name contract.ServiceName, all []datacentre.Upstream, fi rollout.Filter) []datacentre.Upstream {
	selected := make([]datacentre.Upstream, 0, len(all))
	for _, up := range all {
		if fi.Allows(up.Release) {
			selected = append(selected, up)
		}
	}
	if n := fi.TrialUpstreams(len(all) - len(selected)); fi.Trial && n < len(selected) {
		// All hosts choose the same upstreams, so that the load of these adds up.
		slices.SortFunc(selected, func(a, b datacentre.Upstream) int {
			return cmp.Compare(trialOrder(name, a.Host), trialOrder(name, b.Host))
		})
		selected = selected[:n]
	}
	return selected
}

func trialOrder(name contract.ServiceName, id host.ID) uint64 {
	ha := fnv.New64a()
	_, _ = ha.Write([]byte(name))
	_, _ = ha.Write([]byte{0})
	_, _ = ha.Write([]byte(id))
	return ha.Sum64()
}
