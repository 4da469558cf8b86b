package process

import (
	"context"
	"time"

	"lynxfold/core/datacentre"
)

// leaveSpread is how long other nodes take to hear that this one leaves.
const leaveSpread = 100 * time.Millisecond

// Abort ends a drain at once; calls in flight are cut.
func (pr *Process) Abort() { pr.abort() }

// drain first has callers go elsewhere, while everything is served as before.
// Then it takes the gate out, and ends when nothing is in flight.
func (pr *Process) drain(stopTicking func()) {
	begun := time.Now()
	pr.log.Info().Msg("node drains")
	pr.control.health.draining.Store(true)
	ctx, cancel := context.WithTimeout(pr.aborted, pr.settings.Caller.DrainWithin)
	defer cancel()
	pr.caller.Drain(begun.Add(pr.settings.Caller.DrainWithin))
	wait(ctx, pr.settings.Caller.LingerFor)
	pr.control.Emit(datacentre.Leave{})
	pr.gate.Drain(time.Now().Add(leaveSpread))
	if err := pr.caller.Shutdown(ctx); err != nil {
		pr.log.Warn().Err(err).Str("step", "caller").Msg("calls are left in flight")
	}
	pr.waitCalls(ctx)
	cut := pr.caller.ActiveCalls() + pr.gate.Running()
	stopTicking()
	pr.stop("upstream", pr.announce.Shutdown)
	pr.stop("operator", pr.operator.Shutdown)
	pr.stop("health", pr.health.Shutdown)
	pr.lanes.Close()
	pr.control.links.Close()
	pr.incoming.Close()
	pr.listener.Close()
	pr.control.end()
	pr.client.Close()
	pr.done.Wait()
	pr.log.Info().
		Int("cut", cut).
		Dur("took", time.Since(begun)).
		Msg("node ended")
}

func (pr *Process) stop(step string, shutdown func() error) {
	if err := shutdown(); err != nil {
		pr.log.Warn().Err(err).Str("step", step).Msg("step did not end cleanly")
	}
}

// waitCalls waits until the upstream runs nothing more and every answer is sent.
func (pr *Process) waitCalls(ctx context.Context) {
	for pr.gate.Running()+pr.incoming.ActiveCalls() > 0 && ctx.Err() == nil {
		wait(ctx, tickEvery/10)
	}
}

// wait waits for a time, or for the context's end.
func wait(ctx context.Context, du time.Duration) {
	ti := time.NewTimer(du)
	defer ti.Stop()
	select {
	case <-ti.C:
	case <-ctx.Done():
	}
}
