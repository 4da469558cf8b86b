package process

import (
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"lynxfold/core/contract"
	"lynxfold/core/datacentre"
	"lynxfold/core/host"
	"lynxfold/core/rollout"
	"lynxfold/core/wire"
	"lynxfold/io/ini"
	"lynxfold/io/node"
	"lynxfold/io/platform"
	"lynxfold/io/upstream"
)

// rollouts moves services to the releases that operators order. It makes the decisions of
// package rollout safe for concurrent use and carries them out.
type rollouts struct {
	cfg     rollout.CoordinatorConfig
	log     zerolog.Logger
	metrics *metrics.Set
	// The following are set before the process runs.
	control *Control
	gate    *upstream.Gate
	pool    *node.CallPool
	rows    *platform.Rollouts

	mu           sync.Mutex
	table        *rollout.Table
	follower     *rollout.Follower
	succession   *rollout.Succession
	coordinators map[contract.ServiceName]*rollout.Coordinator
	// lookups holds the orders whose outcome is being read from the store.
	lookups map[contract.ServiceName]platform.Order
	// upstreams identifies the slices of the view whose releases the follower knows.
	upstreams map[contract.ServiceName][]datacentre.Upstream
}

// newRollouts returns nil while roll-outs are off.
func newRollouts(se *ini.Settings, set *metrics.Set, log zerolog.Logger) *rollouts {
	if se.Rollout.CanaryShare <= 0 {
		return nil
	}
	return &rollouts{
		cfg: rollout.CoordinatorConfig{
			Host:        se.Host.ID,
			CanaryShare: se.Rollout.CanaryShare,
			CanarySlack: se.Rollout.CanarySlack,
		},
		log:     log,
		metrics: set,
		table:   rollout.NewTable(),
		follower: rollout.NewFollower(rollout.FollowerConfig{
			Host:           se.Host.ID,
			RollbackWithin: se.Rollout.RollbackWithin,
		}),
		succession: rollout.NewSuccession(rollout.SuccessionConfig{
			Host:      se.Host.ID,
			StartedAt: time.Now(),
		}),
		coordinators: map[contract.ServiceName]*rollout.Coordinator{},
		lookups:      map[contract.ServiceName]platform.Order{},
		upstreams:    map[contract.ServiceName][]datacentre.Upstream{},
	}
}

// Choose implements caller.Rollouts.
func (ro *rollouts) Choose(name contract.ServiceName, now time.Time) rollout.Filter {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	return ro.follower.Choose(name, now)
}

// ChooseFurther implements caller.Rollouts.
func (ro *rollouts) ChooseFurther(name contract.ServiceName, now time.Time) rollout.Filter {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	return ro.follower.ChooseFurther(name, now)
}

// Started implements caller.Rollouts.
func (ro *rollouts) Started(name contract.ServiceName, st rollout.Stream, trial bool, now time.Time) *rollout.Attempt {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	return ro.follower.Started(name, st, trial, now)
}

// Ended implements caller.Rollouts.
func (ro *rollouts) Ended(at *rollout.Attempt, en rollout.Ending, now time.Time) {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	ro.follower.Ended(at, en, now)
}

// Accepts implements upstream.Releases.
func (ro *rollouts) Accepts(name contract.ServiceName, re host.Release, now time.Time) bool {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	return ro.follower.Accepts(name, re, now)
}

// viewChanged tells the follower which releases the upstreams in a new view run.
func (ro *rollouts) viewChanged(vi *datacentre.View, now time.Time) {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	for name, old := range ro.upstreams {
		if len(vi.Upstreams[name]) == 0 && len(old) > 0 {
			ro.upstreams[name] = nil
			ro.follower.SetReleases(name, nil, now)
		}
	}
	for name, ups := range vi.Upstreams {
		old := ro.upstreams[name]
		if len(old) == len(ups) && &old[0] == &ups[0] {
			continue
		}
		ro.upstreams[name] = ups
		present := map[host.Release]bool{}
		for _, up := range ups {
			present[up.Release] = true
		}
		ro.follower.SetReleases(name, present, now)
	}
}

// learn takes over records that the member has merged.
func (ro *rollouts) learn(records []rollout.Record, now time.Time) {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	ro.learnLocked(records, now)
}

func (ro *rollouts) learnLocked(records []rollout.Record, now time.Time) {
	for _, re := range ro.table.Merge(records) {
		// The table keeps the times of the first record of an order.
		re, _ = ro.table.Get(re.Service)
		ro.follower.Learn(re, now)
		if co := ro.coordinators[re.Service]; co != nil {
			ro.execute(co.Step(rollout.Learnt{Record: re}, now))
		}
		ro.metrics.GetOrCreateCounter(fmt.Sprintf(`lynxfold_rollout_records_total{phase=%q}`, re.Phase.String())).Inc()
		ro.log.Info().
			Str("event", "rollout_changed").
			Str("service", string(re.Service)).
			Uint64("order", uint64(re.Order)).
			Str("release", string(re.Release)).
			Str("phase", re.Phase.String()).
			Uint64("revision", uint64(re.Revision)).
			Uint32("share_permille", uint32(re.Share)).
			Str("reason", string(re.Reason)).
			Str("coordinator", string(re.Coordinator)).
			Bool("confirmed", re.Confirmed).
			Int64("deadline_left_ms", re.Deadline.Sub(now).Milliseconds()).
			Msg("state of a roll-out has changed")
	}
}

// execute carries out the actions of a coordinator; ro.mu is held.
func (ro *rollouts) execute(acts []rollout.Action) {
	for _, ac := range acts {
		switch ac := ac.(type) {
		case rollout.Publish:
			ro.logDecision(ac.Record)
			ro.learnLocked([]rollout.Record{ac.Record}, time.Now())
			go ro.control.Emit(datacentre.RolloutsFound{Records: []rollout.Record{ac.Record}})
		case rollout.WriteStatus:
			go ro.writeStatus(ac.Record)
		}
	}
}

// logDecision logs the inputs of a decision of this host's coordinator; ro.mu is held.
func (ro *rollouts) logDecision(re rollout.Record) {
	co := ro.coordinators[re.Service]
	if co == nil {
		return
	}
	all, toRelease := co.Sent()
	ro.log.Info().
		Str("event", "rollout_decided").
		Str("service", string(re.Service)).
		Str("release", string(re.Release)).
		Str("phase", re.Phase.String()).
		Uint32("share_permille", uint32(re.Share)).
		Str("reason", string(re.Reason)).
		Str("finding", co.Finding().String()).
		Uint64("sent", all).
		Uint64("sent_to_release", toRelease).
		Msg("coordinator of a roll-out has decided")
}

// ordersFound handles orders that were read from the store.
func (ro *rollouts) ordersFound(orders []platform.Order) {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	for _, or := range orders {
		known, ok := ro.table.Get(or.Service)
		if ok && known.Order >= or.ID || ro.lookups[or.Service].ID >= or.ID {
			continue
		}
		ro.lookups[or.Service] = or
		go ro.lookup(or)
	}
}

// rolloutMesh is what this host knows of the mesh.
type rolloutMesh struct {
	hosts     []host.ID
	addresses map[host.ID]string
}

// mesh returns the live hosts that are neither suspected nor separated.
func (ro *rollouts) mesh() rolloutMesh {
	me := rolloutMesh{addresses: map[host.ID]string{}}
	for _, ce := range ro.control.Report().Centres {
		for _, hr := range ce.Hosts {
			if hr.ID == ro.cfg.Host || !ce.Separated && hr.Status == wire.Status_STATUS_ALIVE {
				me.hosts = append(me.hosts, hr.ID)
				me.addresses[hr.ID] = hr.Address
			}
		}
	}
	return me
}

// of returns what a coordinator of a roll-out is told of the mesh.
func (me rolloutMesh) of(re rollout.Record, vi *datacentre.View) rollout.Mesh {
	rm := rollout.Mesh{Hosts: me.hosts, OtherHosts: map[host.ID]bool{}}
	for _, up := range vi.Upstreams[re.Service] {
		if up.Release == re.Release {
			rm.OfRelease++
			continue
		}
		rm.Others++
		rm.OtherHosts[up.Host] = true
	}
	return rm
}
