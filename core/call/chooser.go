package call

import (
	"math/rand/v2"
	"slices"
	"time"

	"lynxfold/core/contract"
	"lynxfold/core/datacentre"
	"lynxfold/core/host"
)

// ChooserConfig configures a Chooser.
type ChooserConfig struct {
	DataCentre datacentre.Name
	Rand       *rand.Rand
}

// Chooser balances load across upstreams by what this node has observed of each
// of them and the load that their gates report. Health or load that upstreams
// report about themselves is not used.
type Chooser struct {
	cfg       ChooserConfig
	pools     map[contract.ServiceName]*pool
	upstreams map[host.ID]*upstreamStats
	// rtts are round-trip times to data centres.
	rtts map[datacentre.Name]time.Duration
	// localBuf is reused for the candidates of the local data centre, which most
	// calls need.
	localBuf []*upstreamStats
	notices  notices
}

// NewChooser returns a Chooser for the callers of one data centre.
func NewChooser(cfg ChooserConfig) *Chooser {
	return &Chooser{
		cfg:       cfg,
		pools:     map[contract.ServiceName]*pool{},
		upstreams: map[host.ID]*upstreamStats{},
		rtts:      map[datacentre.Name]time.Duration{},
		notices:   notices{},
	}
}

// Observation is what an attempt revealed about its upstream.
type Observation struct {
	Result Result
	// Latency is the time from the start of the attempt to the response header.
	Latency time.Duration
	// LoadPermille is the load that the gate reported with the response, in
	// thousandths of its slots. It is valid only if HasLoad is set.
	LoadPermille uint32
	HasLoad      bool
	// Load is the load in detail, as gates of this release report it. It is valid only if
	// HasDetail is set.
	Load      host.Load
	HasDetail bool
	// Cancelled says that the attempt was cancelled; nothing else is learned
	// from it.
	Cancelled bool
	// Bulk says that the call is of class bulk; its latency is ignored.
	Bulk bool
	// Notice is what the upstream states about itself, as the gate reported it with a
	// response. It is valid only if HasNotice is set.
	Notice    host.PeerNotice
	HasNotice bool
}

// Pick returns the better of two random upstreams that were not tried yet, by the expected
// time to an answer. It considers data centres in the order of their round-trip time, those
// that are about equally far together, and moves on to the next ones only if its choice is
// full or slow. The slice must be the view's
// own, not a copy: a changed view is recognised by the address of the first element
// and the length.
func (ch *Chooser) Pick(
	name contract.ServiceName,
	all []datacentre.Upstream,
	tried []host.ID,
	now time.Time,
) (datacentre.Upstream, bool) {
	return ch.PickWithMaxWait(name, all, tried, 0, now)
}

// PickWithCapacity returns the better of two random upstreams that were not tried yet and
// are not known to be full, in the nearest data centres that have one.
func (ch *Chooser) PickWithCapacity(
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
	for _, end := range po.tierEnds {
		if us := ch.bestWithCapacity(po, from, end, tried, now); us != nil {
			return us.upstream, true
		}
		from = end
	}
	return datacentre.Upstream{}, false
}

// bestWithCapacity returns the best of a few random upstreams, from one index of a pool to
// another, that are not known to be full; nil if there is none.
func (ch *Chooser) bestWithCapacity(po *pool, from, end int, tried []host.ID, now time.Time) *upstreamStats {
	candidates := ch.localBuf[:0]
	for _, us := range po.upstreams[from:end] {
		if us.hasCapacity(po, tried, now) {
			candidates = append(candidates, us)
		}
	}
	ch.localBuf = candidates
	if len(candidates) == 0 {
		return nil
	}
	var best *upstreamStats
	lowest := 0.0
	for range min(sampleSize, len(candidates)) {
		us := candidates[ch.cfg.Rand.IntN(len(candidates))]
		if sc := us.score(po, now); best == nil || sc < lowest {
			best, lowest = us, sc
		}
	}
	return best
}

// PickLocal returns the better of two random upstreams of the local data centre
// that were not tried yet and are not known to be full.
func (ch *Chooser) PickLocal(
	name contract.ServiceName,
	all []datacentre.Upstream,
	tried []host.ID,
	now time.Time,
) (datacentre.Upstream, bool) {
	if len(all) == 0 || ch.cfg.DataCentre == "" {
		return datacentre.Upstream{}, false
	}
	po := ch.pool(name, all, now)
	if po.upstreams[0].upstream.DataCentre != ch.cfg.DataCentre {
		return datacentre.Upstream{}, false
	}
	us := ch.bestWithCapacity(po, 0, po.tierEnds[0], tried, now)
	if us == nil {
		return datacentre.Upstream{}, false
	}
	return us.upstream, true
}

// PickHost returns the upstream of a host if it was not tried yet and is not known to be
// full.
func (ch *Chooser) PickHost(
	name contract.ServiceName,
	all []datacentre.Upstream,
	id host.ID,
	tried []host.ID,
	now time.Time,
) (datacentre.Upstream, bool) {
	if len(all) == 0 {
		return datacentre.Upstream{}, false
	}
	po := ch.pool(name, all, now)
	for _, us := range po.upstreams {
		if us.upstream.Host == id {
			return us.upstream, us.hasCapacity(po, tried, now)
		}
	}
	return datacentre.Upstream{}, false
}

// PickWithMaxWait is Pick for a call that may wait in a queue: it moves on to the next
// data centre only if its choice is slow or the expected wait is longer than maxWait.
func (ch *Chooser) PickWithMaxWait(
	name contract.ServiceName,
	all []datacentre.Upstream,
	tried []host.ID,
	maxWait time.Duration,
	now time.Time,
) (datacentre.Upstream, bool) {
	if len(all) == 0 {
		return datacentre.Upstream{}, false
	}
	po := ch.pool(name, all, now)
	var best *upstreamStats
	from := 0
	for _, end := range po.tierEnds {
		us := ch.bestOfSample(po, from, end, tried, now)
		from = end
		switch {
		case us == nil:
			continue
		case us.canServeWithin(po, maxWait, now):
			return us.upstream, true
		case best == nil || us.expect(po, now).fill()+spilloverMinGain < best.expect(po, now).fill():
			best = us
		}
	}
	if best == nil {
		return ch.pickAvoided(po, tried)
	}
	return best.upstream, true
}

// bestOfSample returns the best of a few random usable upstreams from one index of a pool
// to another, or nil if there is none. It does not return the best of all: the hosts that
// know the same would all choose that one.
func (ch *Chooser) bestOfSample(po *pool, from, end int, tried []host.ID, now time.Time) *upstreamStats {
	upstreams := po.upstreams[from:end]
	var best *upstreamStats
	lowest := 0.0
	for range min(sampleSize, len(upstreams)) {
		us := ch.sampleUsable(upstreams, tried, now)
		if us == nil {
			return nil
		}
		if us == best {
			continue
		}
		if sc := us.score(po, now); best == nil || sc < lowest {
			best, lowest = us, sc
		}
	}
	return best
}

// pickAvoided picks an untried upstream, avoided or ejected as it may be. It is used
// if there are no others: a refusal costs less than a service without upstreams.
func (ch *Chooser) pickAvoided(po *pool, tried []host.ID) (datacentre.Upstream, bool) {
	from := ch.cfg.Rand.IntN(len(po.upstreams))
	for i := range po.upstreams {
		up := po.upstreams[(from+i)%len(po.upstreams)].upstream
		if !slices.Contains(tried, up.Host) {
			return up, true
		}
	}
	return datacentre.Upstream{}, false
}

// sampleSize is the number of random upstreams of which the best is picked. With more, the
// nodes that know the same overload the best ones.
const sampleSize = 2

// maxSamples bounds the random candidates tried before a linear search.
const maxSamples = 4

// sampleUsable returns a random usable upstream, or nil if there is none. Upstreams
// in slow start are less likely.
func (ch *Chooser) sampleUsable(upstreams []*upstreamStats, tried []host.ID, now time.Time) *upstreamStats {
	n := len(upstreams)
	for range maxSamples {
		us := upstreams[ch.cfg.Rand.IntN(n)]
		if us.isUsable(tried, now) && ch.cfg.Rand.Float64() < us.slowStartWeight(now) {
			return us
		}
	}
	from := ch.cfg.Rand.IntN(n)
	for i := range n {
		if us := upstreams[(from+i)%n]; us.isUsable(tried, now) {
			return us
		}
	}
	return nil
}

// Started records the start of an attempt at an upstream.
func (ch *Chooser) Started(up datacentre.Upstream) {
	if us := ch.upstreams[up.Host]; us != nil {
		us.outstanding++
		us.sentSince++
	}
}

// Notice returns what earlier responses have stated about an upstream.
func (ch *Chooser) Notice(up datacentre.Upstream, now time.Time) host.PeerNotice {
	return ch.notices.of(up.Host, now)
}

// Noticed records what the response to an attempt, sent at sentAt, states about the
// upstream.
func (ch *Chooser) Noticed(up datacentre.Upstream, no host.PeerNotice, sentAt, now time.Time) {
	ch.notices.record(up.Host, no, sentAt, now)
	if us := ch.upstreams[up.Host]; us != nil && !no.LeavingSince.IsZero() {
		us.avoidedUntil = now.Add(avoidDrainingFor)
	}
}

// Ended records the end of an attempt and updates the upstream's statistics.
func (ch *Chooser) Ended(up datacentre.Upstream, ob Observation, now time.Time) {
	if ob.HasNotice {
		ch.Noticed(up, ob.Notice, now.Add(-ob.Latency), now)
	}
	us := ch.upstreams[up.Host]
	if us == nil {
		return
	}
	us.outstanding = max(0, us.outstanding-1)
	if us.removed && us.outstanding == 0 {
		delete(ch.upstreams, up.Host)
		return
	}
	if ob.Cancelled || us.upstream.Incarnation != up.Incarnation {
		return
	}
	us.observe(ob, now)
	po := ch.pools[up.Service]
	if po == nil {
		return
	}
	po.observe(ob)
	ch.ejectIfOutlier(po, us, now)
}

// ExpectedLatency returns the moving average of a service's latency; 0 when unknown.
func (ch *Chooser) ExpectedLatency(name contract.ServiceName) time.Duration {
	if po := ch.pools[name]; po != nil {
		return po.latency
	}
	return 0
}

// SetRTT sets the round-trip time to a data centre as measured on links. It ignores
// changes of up to a quarter; others may alter the order of the data centres, so
// that the pools are rebuilt.
func (ch *Chooser) SetRTT(dc datacentre.Name, rtt time.Duration) {
	old := ch.rtt(dc)
	if change := (rtt - old).Abs(); change <= old/4 {
		return
	}
	ch.rtts[dc] = rtt
	for _, po := range ch.pools {
		po.firstUpstream = nil
	}
}
