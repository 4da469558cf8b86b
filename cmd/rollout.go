package cmd

import (
	"context"
	"flag"
	"fmt"
	"time"

	"github.com/google/subcommands"
	"github.com/valyala/fasthttp"

	"lynxfold/core/contract"
	"lynxfold/core/host"
	"lynxfold/io/operator"
)

// rolloutCommand orders that a service be moved to a release.
type rolloutCommand struct {
	streams
	client
	within time.Duration
}

func (*rolloutCommand) Name() string     { return "rollout" }
func (*rolloutCommand) Synopsis() string { return "move a service to upstreams of another release" }

func (*rolloutCommand) Usage() string {
	return `lynxfold rollout [flags] SERVICE RELEASE

Orders that the calls of a service be moved to its upstreams of a release, which
are started beside the others. The release gets a small share at first; it is taken
into use before the time is over, or back if it fails or slows calls down.
"lynxfold status" tells the state.

Exit codes: 0 ordered, 1 no node answers, 2 usage, 3 refused, 4 conflict, 5 in doubt.

Examples:
  lynxfold rollout --within 12s bookings v2

`
}

// defaultRolloutDuration is the time that an order allows unless it says another one.
const defaultRolloutDuration = 30 * time.Second

func (co *rolloutCommand) SetFlags(fs *flag.FlagSet) {
	co.registerFlags(fs)
	fs.DurationVar(&co.within, "within", defaultRolloutDuration, "time until the release is in use, or back")
}

func (co *rolloutCommand) Execute(_ context.Context, fs *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if fs.NArg() != 2 {
		_, _ = fmt.Fprintln(co.err, "rollout: name one service and one release")
		return exitUsage
	}
	if err := co.configure(); err != nil {
		_, _ = fmt.Fprintln(co.err, err)
		return exitFailure
	}
	body := operator.RolloutBody{
		Service:  contract.ServiceName(fs.Arg(0)),
		Release:  host.Release(fs.Arg(1)),
		WithinMS: co.within.Milliseconds(),
	}
	if err := co.request(fasthttp.MethodPost, "/api/rollouts", body, &body); err != nil {
		return co.fail(co.streams, err)
	}
	if co.json {
		printJSON(co.out, body)
		return exitOK
	}
	_, _ = fmt.Fprintf(co.out, "order %d moves service %s to release %s within %s\n", body.Order, body.Service, body.Release, co.within)
	return exitOK
}
