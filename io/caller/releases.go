package caller

import (
	"time"

	"github.com/valyala/fasthttp"

	"lynxfold/core/call"
	"lynxfold/core/contract"
	"lynxfold/core/datacentre"
	"lynxfold/core/host"
	"lynxfold/core/rollout"
)

// Rollouts decides which releases of a service calls may use, and counts what they show.
// It is safe for concurrent use.
type Rollouts interface {
	// Choose returns the releases that the first attempt of a call may use.
	Choose(name contract.ServiceName, now time.Time) rollout.Filter
	// ChooseFurther is Choose for the other attempts.
	ChooseFurther(name contract.ServiceName, now time.Time) rollout.Filter
	// Started records the start of an attempt.
	Started(name contract.ServiceName, st rollout.Stream, trial bool, now time.Time) *rollout.Attempt
	// Ended records the end of an attempt.
	Ended(at *rollout.Attempt, en rollout.Ending, now time.Time)
}

// releaseChoice is the choice of a release for the first attempt of a call.
type releaseChoice struct {
	filter rollout.Filter
	chosen bool
}

// candidates returns the upstreams that the next attempt may use and the name of their
// pool; sv.mu is held. A call is on trial with its first attempt only: retries and hedged
// requests go where calls usually go, so that the release gets no more than its share.
func (ex *exchange) candidates(now time.Time) (contract.ServiceName, []datacentre.Upstream) {
	name := ex.target.Route.Service
	all := ex.view.Upstreams[name]
	ro := ex.server.cfg.Rollouts
	if ro == nil {
		return name, all
	}
	if len(ex.attempts) > 0 {
		return ex.server.releases.Select(name, all, ro.ChooseFurther(name, now))
	}
	if !ex.release.chosen {
		ex.release = releaseChoice{filter: ro.Choose(name, now), chosen: true}
	}
	return ex.server.releases.Select(name, all, ex.release.filter)
}

// rolloutStarted records the start of an attempt for the roll-out of its service.
func (at *attempt) rolloutStarted(now time.Time) {
	ex := at.exchange
	if ex.server.cfg.Rollouts == nil {
		return
	}
	up := at.action.Upstream
	at.rollout = ex.server.cfg.Rollouts.Started(up.Service, rollout.Stream{
		Release: up.Release,
		Route:   ex.target.Route.Name,
	}, at.onTrial, now)
}

// rolloutEnded records the end of an attempt for the roll-out of its service.
func (at *attempt) rolloutEnded(re call.Result, now time.Time) {
	if at.rollout != nil {
		at.exchange.server.cfg.Rollouts.Ended(at.rollout, at.ending(re), now)
	}
}

// ending returns what the end of an attempt shows about its upstream. A refused attempt
// shows nothing: a service that is short of capacity sheds calls whatever its release.
func (at *attempt) ending(re call.Result) rollout.Ending {
	switch {
	case re.Outcome == call.OutcomeNotRun && re.Reason == host.ReasonUpstreamConnect:
		return rollout.EndedFailed
	case re.Outcome == call.OutcomeNotRun, at.abandoned.Load(), re.Reason == host.ReasonCancelled, re.GaveUp:
		return rollout.EndedSilent
	case re.Outcome == call.OutcomeUnknown, re.Status >= fasthttp.StatusInternalServerError:
		return rollout.EndedFailed
	}
	return rollout.EndedGood
}
