package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"lynxfold/core/contract"
	"lynxfold/core/host"
	"lynxfold/core/rollout"
	"lynxfold/io/operator/access"
	"lynxfold/io/platform"
)

// Rollouts orders roll-outs and tells their state.
type Rollouts interface {
	// Order stores an order and returns it with its id.
	Order(ctx context.Context, or platform.Order) (platform.Order, error)
	// States returns the latest known state of each service that has had an order.
	States() []RolloutState
}

// RolloutState is the state of the latest order of a service, as seen by one node.
type RolloutState struct {
	Service contract.ServiceName `json:"service"`
	Order   rollout.OrderID      `json:"order"`
	Release host.Release         `json:"release"`
	Phase   string               `json:"phase"`
	// SharePermille is the share of the calls that the release receives on trial.
	SharePermille rollout.Permille `json:"share_permille"`
	Reason        rollout.Reason   `json:"reason"`
	Coordinator   host.ID          `json:"coordinator"`
	// Confirmed is set once the status row in the store says the outcome.
	Confirmed bool `json:"confirmed"`
	// Finding is the latest comparison of the releases; only the coordinator has it.
	Finding string `json:"finding,omitempty"`
}

// RolloutBody is an order in a request and its response.
type RolloutBody struct {
	Service  contract.ServiceName `json:"service"`
	Release  host.Release         `json:"release"`
	WithinMS int64                `json:"within_ms"`
	Order    rollout.OrderID      `json:"order,omitempty"`
}

// Limits of orders.
const (
	minRolloutDuration = 5 * time.Second
	maxRolloutDuration = 24 * time.Hour
	maxReleaseBytes    = 128
)

// RolloutsOffError reports an order to a node whose settings don't enable roll-outs.
type RolloutsOffError struct{}

func (er *RolloutsOffError) Error() string {
	return "roll-outs are off: the settings have no rollout.canary_share"
}

// check returns why an order can't be accepted, or nil.
func (rb RolloutBody) check(sn *contract.Snapshot) error {
	invalid := func(path, detail string) error {
		return &contract.ValidationError{Fields: []contract.FieldError{{Path: path, Detail: detail}}}
	}
	known := false
	for _, se := range sn.Document.Services {
		known = known || se.Name == rb.Service
	}
	within := time.Duration(rb.WithinMS) * time.Millisecond
	switch {
	case !known:
		return invalid("service", fmt.Sprintf("%q is not a service of version %d", rb.Service, sn.Version))
	case rb.Release == "" || len(rb.Release) > maxReleaseBytes:
		return invalid("release", fmt.Sprintf("use 1 to %d bytes", maxReleaseBytes))
	case within < minRolloutDuration || within > maxRolloutDuration:
		return invalid("within_ms", fmt.Sprintf("use %s to %s", minRolloutDuration, maxRolloutDuration))
	}
	return nil
}

func (sv *Server) postRollout(ctx *fasthttp.RequestCtx, op access.Operator) {
	var body RolloutBody
	if err := json.Unmarshal(ctx.PostBody(), &body); err != nil {
		sv.writeProblem(ctx, &contract.SyntaxError{Detail: err.Error()})
		return
	}
	if err := body.check(sv.cfg.View().Config); err != nil {
		sv.writeProblem(ctx, err)
		return
	}
	if sv.cfg.Rollouts == nil {
		sv.writeProblem(ctx, &platform.UnavailableError{Op: "order roll-out", Err: &RolloutsOffError{}})
		return
	}
	storeCtx, cancel := platformContext()
	defer cancel()
	or, err := sv.cfg.Rollouts.Order(storeCtx, platform.Order{
		Service:  body.Service,
		Release:  body.Release,
		Duration: time.Duration(body.WithinMS) * time.Millisecond,
	})
	if err != nil {
		sv.writeProblem(ctx, err)
		return
	}
	sv.cfg.Log.Info().
		Str("event", "rollout_ordered").
		Str("service", string(or.Service)).
		Str("release", string(or.Release)).
		Uint64("order", uint64(or.ID)).
		Str("operator", string(op.Name)).
		Msg("roll-out was ordered")
	body.Order = or.ID
	writeJSON(ctx, fasthttp.StatusOK, body)
}

// rolloutStates returns the states of roll-outs; none while they are off.
func (sv *Server) rolloutStates() []RolloutState {
	if sv.cfg.Rollouts == nil {
		return []RolloutState{}
	}
	return sv.cfg.Rollouts.States()
}
