package call

import (
	"math/rand/v2"
	"slices"
	"time"

	"lynxfold/core/contract"
	"lynxfold/core/datacentre"
	"lynxfold/core/host"
)

// ChooserConfig sets up a chooser.
type ChooserConfig struct {
	DataCentre datacentre.Name
	Rand       *rand.Rand
}

// Chooser picks upstreams by what this node has seen of each of them. What
// upstreams say of their own health or load has no part in it.
type Chooser struct {
	cfg   ChooserConfig
	pools map[contract.ServiceName]*pool
	peers map[host.ID]*peer
	// distances are round trips to data centres.
	distances map[datacentre.Name]time.Duration
	// near is used again by each PickNear, which most calls begin with.
	near []*peer
}

// NewChooser builds a chooser for callers in a data centre.
func NewChooser(cfg ChooserConfig) *Chooser {
	return &Chooser{
		cfg:       cfg,
		pools:     map[contract.ServiceName]*pool{},
		peers:     map[host.ID]*peer{},
		distances: map[datacentre.Name]time.Duration{},
	}
}

// Observation is what an attempt showed of its upstream.
type Observation struct {
	Result Result
	// Latency is from the start of the attempt to the head of its answer.
	Latency time.Duration
	// LoadPermille is the gate's load on its answer, in thousandths of its
	// slots; it counts when HasLoad is set.
	LoadPermille uint32
	HasLoad      bool
	// Abandoned attempts say nothing about the upstream.
	Abandoned bool
	// Bulk attempts say nothing about its latency.
	Bulk bool
}

// Pick returns the better of two random upstreams that were not tried yet. It
// takes data centres in the order of their distance, and goes on to the next one
// only when what it finds is full or slow. The list is the view's own: it is
// recognised by its first element.
func (ch *Chooser) Pick(
	name contract.ServiceName,
	all []datacentre.Upstream,
	tried []host.ID,
	now time.Time,
) (datacentre.Upstream, bool) {
	return ch.PickPatient(name, all, tried, 0, now)
}

// PickSpare returns the best upstream that was not tried yet and is not known to
// be full, in the nearest data centre that has one.
func (ch *Chooser) PickSpare(
	name contract.ServiceName,
	all []datacentre.Upstream,
	tried []host.ID,
	now time.Time,
) (datacentre.Upstream, bool) {
	if len(all) == 0 {
		return datacentre.Upstream{}, false
	}
	po := ch.pool(name, all, now)
	from := 0
	for _, end := range po.ends {
		var best *peer
		for _, pe := range po.peers[from:end] {
			if pe.spare(tried, now) && (best == nil || pe.score(po, now) < best.score(po, now)) {
				best = pe
			}
		}
		if best != nil {
			return best.upstream, true
		}
		from = end
	}
	return datacentre.Upstream{}, false
}

// PickNear returns the better of two random upstreams of the own data centre that
// were not tried yet and are not known to be full.
func (ch *Chooser) PickNear(
	name contract.ServiceName,
	all []datacentre.Upstream,
	tried []host.ID,
	now time.Time,
) (datacentre.Upstream, bool) {
	if len(all) == 0 || ch.cfg.DataCentre == "" {
		return datacentre.Upstream{}, false
	}
	po := ch.pool(name, all, now)
	if po.peers[0].upstream.DataCentre != ch.cfg.DataCentre {
		return datacentre.Upstream{}, false
	}
	near := ch.near[:0]
	for _, pe := range po.peers[:po.ends[0]] {
		if pe.spare(tried, now) {
			near = append(near, pe)
		}
	}
	ch.near = near
	if len(near) == 0 {
		return datacentre.Upstream{}, false
	}
	a, b := near[ch.cfg.Rand.IntN(len(near))], near[ch.cfg.Rand.IntN(len(near))]
	if b.score(po, now) < a.score(po, now) {
		a = b
	}
	return a.upstream, true
}

// PickPatient is Pick for calls that may wait for so long: they leave a data
// centre only when the queues there are longer.
func (ch *Chooser) PickPatient(
	name contract.ServiceName,
	all []datacentre.Upstream,
	tried []host.ID,
	patience time.Duration,
	now time.Time,
) (datacentre.Upstream, bool) {
	if len(all) == 0 {
		return datacentre.Upstream{}, false
	}
	po := ch.pool(name, all, now)
	var best *peer
	from := 0
	for _, end := range po.ends {
		pe := ch.better(po, from, end, tried, now)
		from = end
		switch {
		case pe == nil:
			continue
		case pe.roomy(po, patience, now):
			return pe.upstream, true
		case best == nil || pe.utilisation(now)+spillGain < best.utilisation(now):
			best = pe
		}
	}
	if best == nil {
		return ch.lastResort(po, tried)
	}
	return best.upstream, true
}

// better returns the better of two random usable upstreams of one data centre, or
// nil.
func (ch *Chooser) better(po *pool, from, end int, tried []host.ID, now time.Time) *peer {
	peers := po.peers[from:end]
	a := ch.sample(peers, tried, now)
	if a == nil {
		return nil
	}
	if b := ch.sample(peers, tried, now); b.score(po, now) < a.score(po, now) {
		return b
	}
	return a
}

// lastResort picks among upstreams that are avoided, when there are no others: a
// refusal costs less than a service without upstreams.
func (ch *Chooser) lastResort(po *pool, tried []host.ID) (datacentre.Upstream, bool) {
	from := ch.cfg.Rand.IntN(len(po.peers))
	for i := range po.peers {
		up := po.peers[(from+i)%len(po.peers)].upstream
		if !slices.Contains(tried, up.Host) {
			return up, true
		}
	}
	return datacentre.Upstream{}, false
}

// samples bounds the random candidates looked at before the list is searched.
const samples = 4

// sample returns a random usable upstream, or nil.
func (ch *Chooser) sample(peers []*peer, tried []host.ID, now time.Time) *peer {
	n := len(peers)
	for range samples {
		pe := peers[ch.cfg.Rand.IntN(n)]
		if pe.usable(tried, now) && ch.cfg.Rand.Float64() < pe.weight(now) {
			return pe
		}
	}
	from := ch.cfg.Rand.IntN(n)
	for i := range n {
		if pe := peers[(from+i)%n]; pe.usable(tried, now) {
			return pe
		}
	}
	return nil
}

// Started counts an attempt at an upstream.
func (ch *Chooser) Started(up datacentre.Upstream) {
	if pe := ch.peers[up.Host]; pe != nil {
		pe.outstanding++
	}
}

// Ended counts the end of an attempt and learns from it.
func (ch *Chooser) Ended(up datacentre.Upstream, ob Observation, now time.Time) {
	pe := ch.peers[up.Host]
	if pe == nil {
		return
	}
	pe.outstanding = max(0, pe.outstanding-1)
	if pe.gone && pe.outstanding == 0 {
		delete(ch.peers, up.Host)
		return
	}
	if ob.Abandoned || pe.upstream.Incarnation != up.Incarnation {
		return
	}
	pe.observe(ob, now)
	po := ch.pools[up.Service]
	if po == nil {
		return
	}
	po.observe(ob)
	ch.judge(po, pe, now)
}

// Estimate is the service's average latency; 0 when unknown.
func (ch *Chooser) Estimate(name contract.ServiceName) time.Duration {
	if po := ch.pools[name]; po != nil {
		return po.latency
	}
	return 0
}

// SetDistance notes the round trip to a data centre, as measured on links. A
// change that may alter the order of data centres rebuilds the pools.
func (ch *Chooser) SetDistance(dc datacentre.Name, rtt time.Duration) {
	old := ch.distance(dc)
	if change := (rtt - old).Abs(); change <= old/4 {
		return
	}
	ch.distances[dc] = rtt
	for _, po := range ch.pools {
		po.first = nil
	}
}
