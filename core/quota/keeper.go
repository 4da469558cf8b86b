package quota

import (
	"slices"
	"time"

	"lynxfold/core/contract"
	"lynxfold/core/datacentre"
	"lynxfold/core/host"
)

// KeeperConfig configures a Keeper.
type KeeperConfig struct {
	Host      host.ID
	StartedAt time.Time
	// FleetSize is the expected number of hosts. A host that knows no other hands out its
	// part of the rate only.
	FleetSize int
}

// Keeper holds the buckets of the customers of which this host is the quota host. It is not
// safe for concurrent use.
type Keeper struct {
	cfg   KeeperConfig
	hosts *datacentre.HostList
	// lostAt is when the last host was lost or left; any customer may have changed its
	// quota host at that time.
	lostAt time.Time
	// joins are the hosts that joined lately.
	joins        []join
	tickedAt     time.Time
	buckets      map[contract.CustomerName]*keptBucket
	unresponsive map[host.ID]silence
	sweptAt      time.Time
	rank         []datacentre.LiveHost
}

// join is a number of hosts that count as out of reach until a time.
type join struct {
	hosts int
	until time.Time
}

// keptBucket is the bucket of a customer and what its rate depends on.
type keptBucket struct {
	bucket *Bucket
	limit  Limit
	// primarySince is since when this host is the quota host; zero while it stands in.
	primarySince time.Time
	askedAt      time.Time
}

// NewKeeper returns a keeper without buckets.
func NewKeeper(cfg KeeperConfig) *Keeper {
	return &Keeper{
		cfg:          cfg,
		hosts:        &datacentre.HostList{},
		lostAt:       cfg.StartedAt,
		buckets:      map[contract.CustomerName]*keptBucket{},
		unresponsive: map[host.ID]silence{},
	}
}

// SetHosts sets the hosts that are alive.
func (ke *Keeper) SetHosts(hl *datacentre.HostList, now time.Time) {
	if hl == nil || hl == ke.hosts {
		return
	}
	for _, lh := range ke.hosts.Live {
		if !hl.Contains(lh.ID) {
			ke.lostAt = now
		}
	}
	joined := 0
	for _, lh := range hl.Live {
		if lh.ID != ke.cfg.Host && !ke.hosts.Contains(lh.ID) {
			joined++
		}
	}
	ke.hosts = hl
	ke.addJoin(joined, now)
}

// addJoin counts hosts as out of reach for joinTime, and forgets earlier joins.
func (ke *Keeper) addJoin(hosts int, now time.Time) {
	ke.joins = slices.DeleteFunc(ke.joins, func(jo join) bool { return !now.Before(jo.until) })
	if hosts > 0 {
		ke.joins = append(ke.joins, join{
			hosts: hosts,
			until: now.Add(joinTime),
		})
	}
}

// Tick must be called several times a second. After a pause, the host is treated as one that
// has just joined, because others have taken over its buckets.
func (ke *Keeper) Tick(now time.Time) {
	if !ke.tickedAt.IsZero() && now.Sub(ke.tickedAt) > pauseThreshold {
		ke.lostAt = now
		ke.addJoin(len(ke.hosts.Live), now)
		for _, kb := range ke.buckets {
			if !kb.primarySince.IsZero() {
				kb.primarySince = now
			}
		}
	}
	ke.tickedAt = now
}

// silence is what is known of a host that does not answer.
type silence struct {
	until time.Time
	// stopped is set when its address refuses connections: it hands out nothing.
	stopped bool
}

// MarkUnresponsive notes that a host did not answer. stopped is set when its address refuses
// connections.
func (ke *Keeper) MarkUnresponsive(id host.ID, stopped bool, now time.Time) {
	ke.unresponsive[id] = silence{
		until:   now.Add(unresponsivePeriod),
		stopped: stopped,
	}
}

// MarkResponsive notes that a host answered.
func (ke *Keeper) MarkResponsive(id host.ID) { delete(ke.unresponsive, id) }

// role says why this host hands out the tokens of a customer.
type role int

const (
	roleNone role = iota
	// roleStandIn: the hosts before this one do not answer, but may hand out tokens.
	roleStandIn
	// roleSuccessor: the processes of the hosts before this one have ended.
	roleSuccessor
	rolePrimary
)

// roleFor returns this host's role for a customer, and the host to be checked before this
// one stands in for it.
func (ke *Keeper) roleFor(cu contract.CustomerName, now time.Time) (role, host.ID) {
	ke.rank = ke.hosts.Rank(ke.rank[:0], string(cu), rankedHosts)
	ro := rolePrimary
	for _, lh := range ke.rank {
		if lh.ID == ke.cfg.Host {
			return ro, ""
		}
		si := ke.unresponsive[lh.ID]
		silent := now.Before(si.until)
		switch {
		case silent && si.stopped:
			ro = min(ro, roleSuccessor)
		case silent || lh.Suspect:
			ro = roleStandIn
		default:
			return roleNone, lh.ID
		}
	}
	return roleNone, ""
}

// rate returns how many tokens a second this host hands out. The hosts in reach hand out
// their part of the limit. A host that stands in, or whose others have joined lately, hands
// out less of that, because another host may do so too.
func (ke *Keeper) rate(li Limit, ro role, now time.Time) float64 {
	live := len(ke.hosts.Live)
	total := live + ke.hosts.Lost(now)
	if live <= 1 {
		total = max(total, ke.cfg.FleetSize)
	}
	full := li.PerSecond * float64(max(1, live)) / float64(max(1, total))
	for _, jo := range ke.joins {
		if now.Before(jo.until) {
			live -= jo.hosts
		}
	}
	rate := max(li.PerSecond*float64(max(1, live))/float64(max(1, total)), joinShare*full)
	if ro == roleStandIn {
		rate *= standInShare
	}
	return min(full, max(rate, minHandoverRate))
}

// Take handles the request of a host.
func (ke *Keeper) Take(rq Request, now time.Time) Reply {
	if rq.Want <= 0 && rq.Returned <= 0 {
		return Reply{}
	}
	ke.Tick(now)
	ke.sweep(now)
	ro, preceding := ke.roleFor(rq.Customer, now)
	if ro == roleNone {
		re := Reply{Declined: true}
		if rq.Unanswered {
			re.Probe = preceding
		}
		return re
	}
	kb := ke.keptBucket(rq, ro, now)
	kb.update(ke, rq.Limit, ro, now)
	kb.askedAt = now
	granted, retryAt := kb.bucket.Take(rq.Want, rq.Returned, now)
	return Reply{
		Granted: granted,
		RetryAt: retryAt,
	}
}

// keptBucket returns the bucket of a customer and creates it if necessary. If the quota
// hosts have not changed for settleTime, a bucket that nobody asked for is full.
func (ke *Keeper) keptBucket(rq Request, ro role, now time.Time) *keptBucket {
	kb := ke.buckets[rq.Customer]
	if kb != nil {
		return kb
	}
	rate := ke.rate(rq.Limit, ro, now)
	kb = &keptBucket{
		bucket: NewBucket(rate, rq.Limit.takeoverDepth(), now),
		limit:  rq.Limit,
	}
	ke.buckets[rq.Customer] = kb
	if ro == rolePrimary {
		kb.primarySince = ke.lostAt
		kb.bucket = NewBucket(rate, kb.depth(now), ke.lostAt)
	}
	return kb
}

// update adapts the bucket to a changed limit, role or share of the rate.
func (kb *keptBucket) update(ke *Keeper, li Limit, ro role, now time.Time) {
	if li.Version > kb.limit.Version {
		kb.limit = li
	}
	switch {
	case ro != rolePrimary:
		kb.primarySince = time.Time{}
	case kb.primarySince.IsZero():
		kb.primarySince = now
	}
	settledAt := kb.primarySince.Add(settleTime)
	if !kb.primarySince.IsZero() && kb.bucket.refilledAt.Before(settledAt) && !now.Before(settledAt) {
		kb.bucket.SetRate(kb.bucket.perSecond, kb.limit.depth(), settledAt)
	}
	kb.bucket.SetRate(ke.rate(kb.limit, ro, now), kb.depth(now), now)
}

func (kb *keptBucket) depth(now time.Time) float64 {
	if kb.primarySince.IsZero() || now.Sub(kb.primarySince) < settleTime {
		return kb.limit.takeoverDepth()
	}
	return kb.limit.depth()
}

// sweep removes buckets that nobody asked for lately, and old marks.
func (ke *Keeper) sweep(now time.Time) {
	if now.Sub(ke.sweptAt) < idleTime {
		return
	}
	ke.sweptAt = now
	for cu, kb := range ke.buckets {
		// A bucket that is not full after idleTime would be full if it was created again.
		refill := seconds(kb.bucket.depth / max(kb.bucket.perSecond, 1e-3))
		if now.Sub(kb.askedAt) > max(idleTime, refill) {
			delete(ke.buckets, cu)
		}
	}
	for id, si := range ke.unresponsive {
		if now.After(si.until) {
			delete(ke.unresponsive, id)
		}
	}
}
