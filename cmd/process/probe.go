package process

import (
	"context"
	"time"

	"lynxfold/core/host"
	"lynxfold/io/upstream"
)

const (
	// probeRetryInterval is the time between two checks whether the upstream's health
	// path is known.
	probeRetryInterval = 20 * time.Millisecond
	// probeWindow bounds the time after a start in which the upstream is probed.
	probeWindow = 5 * time.Second
	// maxAsks is how often an upstream is asked in a row whether it is leaving, and
	// askInterval the time between two of these.
	maxAsks     = 3
	askInterval = 200 * time.Millisecond
)

// probeUpstream probes this host's upstream once after a start, as soon as the
// configuration gives its health path, unless the upstream announces itself first.
func (pr *Process) probeUpstream(ctx context.Context) error {
	if pr.prober.Service() == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, probeWindow)
	defer cancel()
	path := pr.awaitHealthPath(ctx)
	if path == "" || pr.gate.Announced() {
		return nil
	}
	re, ok := pr.prober.Probe(ctx, path)
	pr.log.Info().
		Bool("usable", ok).
		Bool("answered", re.Answered).
		Bool("leaving", re.Notice.Leaving).
		Str("instance", string(re.Announcement.Instance)).
		Msg("upstream probed after the start")
	pr.recordAnswer(re)
	if ok && !pr.gate.Announced() {
		pr.gate.AnnounceProbed(re)
	}
	return nil
}

// awaitHealthPath returns the health path of this host's upstream once the configuration has
// the service; empty if it has none, or no service until the context ends or the upstream is
// in use.
func (pr *Process) awaitHealthPath(ctx context.Context) string {
	for ctx.Err() == nil && !pr.gate.Announced() {
		if se, known := pr.control.View().Config.Service(pr.prober.Service()); known {
			return se.HealthPath
		}
		sleep(ctx, probeRetryInterval)
	}
	return ""
}

// answerQuestions asks the upstream whether it is leaving whenever an announcement waits for
// that.
func (pr *Process) answerQuestions(ctx context.Context) {
	for {
		select {
		case <-pr.unanswered:
			pr.askUpstream(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// askUpstream asks the upstream whether it is leaving, until it answers or has been silent
// too long.
func (pr *Process) askUpstream(ctx context.Context) {
	window, cancel := context.WithTimeout(ctx, probeWindow)
	defer cancel()
	path := pr.awaitHealthPath(window)
	for range maxAsks {
		if path == "" || !pr.gate.AwaitsAnswer() {
			break
		}
		re, _ := pr.prober.Probe(window, path)
		pr.recordAnswer(re)
		if re.Answered {
			return
		}
		sleep(window, askInterval)
	}
	if ctx.Err() == nil && pr.gate.AwaitsAnswer() {
		pr.gate.RecordSilence()
	}
}

// recordAnswer tells the gate what the upstream has answered about its leaving.
func (pr *Process) recordAnswer(re upstream.ProbeResult) {
	id := re.Announcement.Instance
	switch {
	case !re.Answered:
	case !re.Notice.Leaving:
		pr.gate.RecordStaying(id)
	case id != "":
		pr.gate.RecordDeparture(host.Departure{
			Instance: id,
			At:       time.Now(),
		})
	}
}

// unansweredSignal wakes answerQuestions.
type unansweredSignal chan struct{}

func newUnansweredSignal() unansweredSignal { return make(unansweredSignal, 1) }

func (us unansweredSignal) send() {
	select {
	case us <- struct{}{}:
	default:
	}
}
