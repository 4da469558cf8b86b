package process

import (
	"context"
	"sync"
	"time"

	"lynxfold/core/datacentre"
	"lynxfold/io/caller"
)

const (
	// leavePropagation is the time until other nodes have learned that this one leaves.
	leavePropagation = 100 * time.Millisecond
	// leaveWithin limits the wait for calls on their way from other nodes, which are told
	// that they do not run.
	leaveWithin = 200 * time.Millisecond
)

// Abort ends a drain at once and cuts calls in flight.
func (pr *Process) Abort() { pr.abort() }

// drain ends the calls in flight, tells the nodes that still send calls, and stops all
// components.
func (pr *Process) drain(stopTicking func()) {
	begun := time.Now()
	pr.log.Info().Msg("node drains")
	pr.control.health.draining.Store(true)
	ctx, cancel := context.WithTimeout(pr.abortCtx, pr.settings.Caller.DrainWithin)
	defer cancel()
	pr.drainCalls(ctx, begun)
	leaveCtx, cancelLeave := context.WithTimeout(ctx, leaveWithin)
	defer cancelLeave()
	var left sync.WaitGroup
	left.Go(func() { pr.callServer.Leave(leaveCtx) })
	stopTicking()
	pr.stop("upstream", pr.announceListener.Shutdown)
	pr.stop("operator", pr.operator.Shutdown)
	pr.stop("health", pr.health.Shutdown)
	left.Wait()
	pr.logDrainStep("left", begun)
	pr.callServer.Close()
	pr.callPool.Close()
	pr.control.links.Close()
	pr.linkListener.Close()
	pr.control.shutdown()
	pr.client.Close()
	pr.goroutines.Wait()
	pr.log.Info().
		Int("cut", pr.caller.CutCalls()+pr.callServer.CutCalls()).
		Dur("took", time.Since(begun)).
		Msg("node ended")
}

// drainCalls first directs callers to other hosts while calls are still served. Then it
// announces that this host leaves and drains the gate. As long as the upstream runs calls, it
// can make calls of its own. drainCalls returns once the gate refuses all calls and none is in
// flight, or the time limit has passed.
func (pr *Process) drainCalls(ctx context.Context, begun time.Time) {
	stopAt := begun.Add(pr.settings.Caller.DrainWithin)
	answerBy := stopAt.Add(-caller.DrainAnswerMargin)
	pr.caller.Drain(stopAt)
	pr.gate.Stopping(answerBy)
	sleep(ctx, pr.settings.Caller.LingerFor)
	pr.logDrainStep("leave", begun)
	pr.control.Emit(datacentre.Leave{})
	refuseFrom := time.Now().Add(leavePropagation)
	pr.gate.Drain(refuseFrom)
	pr.caller.ServeNestedOnly()
	sleep(ctx, time.Until(refuseFrom))
	runsCtx, cancel := context.WithDeadline(ctx, answerBy)
	defer cancel()
	pr.waitForCalls(runsCtx)
	pr.logDrainStep("runs_ended", begun)
	if err := pr.caller.Shutdown(ctx); err != nil {
		pr.log.Warn().Err(err).Str("step", "caller").Msg("calls still in flight at the end of the drain")
	}
	pr.logDrainStep("callers_gone", begun)
	pr.waitForCalls(ctx)
	pr.logDrainStep("calls_ended", begun)
}

// logDrainStep logs a step of the drain with the calls that are in flight.
func (pr *Process) logDrainStep(step string, begun time.Time) {
	pr.log.Info().
		Str("event", "drain_step").
		Str("step", step).
		Int("caller_calls", pr.caller.ActiveCalls()).
		Int("gate_running", pr.gate.Running()).
		Int("node_calls", pr.callServer.ActiveCalls()).
		Dur("took", time.Since(begun)).
		Msg("drain step")
}

func (pr *Process) stop(step string, shutdown func() error) {
	if err := shutdown(); err != nil {
		pr.log.Warn().Err(err).Str("step", step).Msg("step failed to shut down")
	}
}

// waitForCalls waits until the upstream runs no more calls and all answers to other nodes are
// sent, or the context ends.
func (pr *Process) waitForCalls(ctx context.Context) {
	for pr.gate.Running()+pr.callServer.ActiveCalls() > 0 && ctx.Err() == nil {
		sleep(ctx, tickInterval/10)
	}
}

// sleep waits for a duration or until the context ends.
func sleep(ctx context.Context, du time.Duration) {
	ti := time.NewTimer(du)
	defer ti.Stop()
	select {
	case <-ti.C:
	case <-ctx.Done():
	}
}
