package process

import (
	"context"
	"fmt"
	"time"

	"lynxfold/core/datacentre"
	"lynxfold/core/rollout"
	"lynxfold/core/wire"
	"lynxfold/io/platform"
)

const (
	// rolloutTick is the period of a coordinator's decisions, and reportTicks the number of
	// them between two reports of a host.
	rolloutTick = 50 * time.Millisecond
	reportTicks = 5
	// reportTimeout bounds one report. It is shorter than the permission to send to a
	// release on trial.
	reportTimeout = 400 * time.Millisecond
	// rolloutStoreTimeout bounds one access to the store, and lookupRetry is the time
	// between two attempts to learn the outcome of an order.
	rolloutStoreTimeout = 2 * time.Second
	lookupRetry         = 250 * time.Millisecond
)

// run drives the roll-outs until the context ends.
func (ro *rollouts) run(ctx context.Context) {
	ti := time.NewTicker(rolloutTick)
	defer ti.Stop()
	var me rolloutMesh
	for tick := 0; ; tick++ {
		select {
		case <-ti.C:
		case <-ctx.Done():
			return
		}
		active := ro.active()
		if len(active) == 0 {
			tick = -1
			continue
		}
		reportsDue := tick%reportTicks == 0
		if reportsDue {
			me = ro.mesh()
		}
		for _, re := range active {
			ro.drive(ctx, re, me, reportsDue)
		}
	}
}

func (ro *rollouts) active() []rollout.Record {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	return ro.follower.Active()
}

// drive reports what this host has observed to the coordinator of a roll-out, or
// coordinates it.
func (ro *rollouts) drive(ctx context.Context, re rollout.Record, me rolloutMesh, reportDue bool) {
	var rp rollout.Report
	if reportDue {
		rp = ro.report(re)
	}
	now := time.Now()
	ro.mu.Lock()
	defer ro.mu.Unlock()
	coordinator := ro.succession.Coordinator(re, me.hosts, now)
	if coordinator != ro.cfg.Host {
		delete(ro.coordinators, re.Service)
		if reportDue && coordinator != "" {
			go ro.sendReport(ctx, rp, me.addresses[coordinator])
		}
		return
	}
	co := ro.coordinators[re.Service]
	if co == nil {
		co = rollout.NewCoordinator(ro.cfg, re)
		ro.coordinators[re.Service] = co
	}
	ro.follower.Heard(re.Service, re.Order, now)
	if reportDue {
		ro.execute(co.Step(rollout.ReportReceived{Report: rp}, now))
	}
	rm := me.of(re, ro.control.View())
	rm.Established = ro.follower.Established(re.Service)
	ro.execute(co.Step(rollout.Tick{Mesh: rm}, now))
}

// report returns what this host has observed. The revision that it acts by is read before
// the gate's occupancy: an attempt that the gate has admitted by an earlier revision is
// counted.
func (ro *rollouts) report(re rollout.Record) rollout.Report {
	ro.mu.Lock()
	rp := ro.follower.Report(re.Service, time.Now())
	ro.mu.Unlock()
	if name, release, occupied := ro.gate.Occupancy(); name == re.Service && release != re.Release {
		rp.OthersInFlight = max(rp.OthersInFlight, occupied)
	}
	return rp
}

// sendReport sends a report to the coordinator and takes over the record in its reply.
func (ro *rollouts) sendReport(ctx context.Context, rp rollout.Report, address string) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	reply, err := ro.pool.ReportRollout(ctx, address, rp.ToWire())
	result := "answered"
	switch {
	case err != nil:
		result = "failed"
		ro.log.Debug().Err(err).Str("service", string(rp.Service)).Str("address", address).Msg("report about a roll-out failed")
	case reply.GetDeclined():
		result = "declined"
	}
	ro.metrics.GetOrCreateCounter(fmt.Sprintf(`lynxfold_rollout_reports_total{result=%q}`, result)).Inc()
	if err != nil || reply.GetRollout() == nil {
		return
	}
	now := time.Now()
	re, ok := rollout.RecordFromWire(reply.GetRollout(), now)
	if !ok {
		return
	}
	ro.control.Emit(datacentre.RolloutsFound{Records: []rollout.Record{re}})
	ro.mu.Lock()
	defer ro.mu.Unlock()
	ro.learnLocked([]rollout.Record{re}, now)
	if !reply.GetDeclined() {
		ro.follower.Heard(re.Service, re.Order, now)
	}
}

// handleReport answers the report of another host.
func (ro *rollouts) handleReport(wr *wire.RolloutReport) *wire.RolloutReply {
	now := time.Now()
	rp := rollout.ReportFromWire(wr)
	ro.mu.Lock()
	defer ro.mu.Unlock()
	reply := &wire.RolloutReply{Declined: true}
	if co := ro.coordinators[rp.Service]; co != nil && co.Record().Order == rp.Order {
		ro.execute(co.Step(rollout.ReportReceived{Report: rp}, now))
		reply.Declined = false
	}
	if re, ok := ro.table.Get(rp.Service); ok {
		reply.Rollout = re.ToWire(now)
	}
	return reply
}

// writeStatus makes the status row say what a record says.
func (ro *rollouts) writeStatus(re rollout.Record) {
	ctx, cancel := context.WithTimeout(ro.control.jobCtx, rolloutStoreTimeout)
	defer cancel()
	st, err := ro.rows.Write(ctx, re)
	result := "written"
	var ev rollout.Event = rollout.StatusKnown{Status: st}
	if err != nil {
		result = "failed"
		ev = rollout.StatusLost{}
		ro.log.Warn().Err(err).Str("service", string(re.Service)).Str("state", platform.RolloutState(re.Phase)).
			Msg("status of a roll-out could not be written; it is tried again")
	}
	ro.metrics.GetOrCreateCounter(fmt.Sprintf(`lynxfold_rollout_status_writes_total{result=%q}`, result)).Inc()
	ro.mu.Lock()
	defer ro.mu.Unlock()
	if co := ro.coordinators[re.Service]; co != nil && co.Record().Order == re.Order {
		ro.execute(co.Step(ev, time.Now()))
	}
}

// lookup learns the outcome and the age of an order, and makes it known. While the store
// can't be read, the order waits: it may have ended before.
func (ro *rollouts) lookup(or platform.Order) {
	for {
		ctx, cancel := context.WithTimeout(ro.control.jobCtx, rolloutStoreTimeout)
		re, err := ro.rows.Lookup(ctx, or)
		cancel()
		if err == nil {
			ro.finishLookup(or, re)
			return
		}
		ro.log.Warn().Err(err).Str("service", string(or.Service)).Uint64("order", uint64(or.ID)).
			Msg("outcome of an order could not be read; it is tried again")
		select {
		case <-time.After(lookupRetry):
		case <-ro.control.jobCtx.Done():
			return
		}
	}
}

func (ro *rollouts) finishLookup(or platform.Order, re rollout.Record) {
	ro.mu.Lock()
	if ro.lookups[or.Service].ID == or.ID {
		delete(ro.lookups, or.Service)
	}
	ro.learnLocked([]rollout.Record{re}, time.Now())
	ro.mu.Unlock()
	ro.control.Emit(datacentre.RolloutsFound{Records: []rollout.Record{re}})
}
