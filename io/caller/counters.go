package caller

import (
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"lynxfold/core/call"
	"lynxfold/core/call/keyed"
	"lynxfold/core/contract"
	"lynxfold/core/host"
	"lynxfold/core/wire"
)

// Counters holds the metrics of answers and attempts.
type Counters struct {
	set            *metrics.Set
	callsByOutcome map[call.Outcome]*metrics.Counter
	callDuration   *metrics.Histogram
	attempts       *metrics.Counter
	linksLost      *metrics.Counter
	callersGone    *metrics.Counter
	answersDropped *metrics.Counter
	customers      *customerCounters
	// retries, attemptDurations and answers are updated on most calls, so their
	// metrics are cached by label.
	retries          *metricFamily[call.RetryReason, *metrics.Counter]
	attemptDurations *metricFamily[attemptLabels, *metrics.Histogram]
	answers          *metricFamily[answerLabels, *metrics.Counter]
	// spreads holds the services whose spread of load is registered.
	spreads   sync.Map
	throttled *metricFamily[int, *metrics.Counter]
}

// maxCountedRank bounds the values of the label rank; it stands for all higher ranks too.
const maxCountedRank = 15

// attemptLabels are the metric labels of an attempt.
type attemptLabels struct {
	service contract.ServiceName
	outcome call.Outcome
}

// answerLabels are the metric labels of an answer.
type answerLabels struct {
	service contract.ServiceName
	outcome call.Outcome
	reason  host.Reason
}

// NewCounters registers the metrics in set.
func NewCounters(set *metrics.Set) *Counters {
	co := &Counters{
		set:            set,
		callsByOutcome: map[call.Outcome]*metrics.Counter{},
		callDuration:   set.GetOrCreateHistogram(`lynxfold_call_duration_seconds`),
		attempts:       set.GetOrCreateCounter(`lynxfold_attempts_total`),
		linksLost:      set.GetOrCreateCounter(`lynxfold_lanes_lost_total`),
		callersGone:    set.GetOrCreateCounter(`lynxfold_callers_gone_total`),
		answersDropped: set.GetOrCreateCounter(`lynxfold_answers_dropped_total`),
		customers:      newCustomerCounters(set),
		retries: newMetricFamily(func(reason call.RetryReason) *metrics.Counter {
			return set.GetOrCreateCounter(fmt.Sprintf(`lynxfold_retries_total{reason=%q}`, reason))
		}),
		attemptDurations: newMetricFamily(func(la attemptLabels) *metrics.Histogram {
			return set.GetOrCreateHistogram(fmt.Sprintf(`lynxfold_attempt_duration_seconds{service=%q,outcome=%q}`, la.service, la.outcome))
		}),
		answers: newMetricFamily(func(la answerLabels) *metrics.Counter {
			return set.GetOrCreateCounter(fmt.Sprintf(`lynxfold_answers_total{service=%q,outcome=%q,reason=%q}`, la.service, la.outcome, la.reason))
		}),
	}
	co.throttled = newMetricFamily(func(rank int) *metrics.Counter {
		return set.GetOrCreateCounter(fmt.Sprintf(`lynxfold_calls_refused_early_total{rank="%d"}`, rank))
	})
	for _, ou := range []call.Outcome{call.OutcomeRan, call.OutcomeNotRun, call.OutcomeUnknown} {
		co.callsByOutcome[ou] = set.GetOrCreateCounter(fmt.Sprintf(`lynxfold_calls_total{outcome=%q}`, ou))
	}
	return co
}

func (co *Counters) countRefusal(re host.Reason) {
	co.set.GetOrCreateCounter(fmt.Sprintf(`lynxfold_refusals_total{reason=%q}`, re)).Inc()
}

func (co *Counters) countAnswer(an call.Respond, took time.Duration) {
	if ou := co.callsByOutcome[an.Result.Outcome]; ou != nil {
		ou.Inc()
	}
	co.callDuration.Update(took.Seconds())
	if an.NoRetryReason != "" && an.NoRetryReason != call.NoRetryFinal {
		co.countSkippedAttempt(an.NoRetryReason)
	}
}

// countThrottled counts a call that was refused without an attempt for want of room.
func (co *Counters) countThrottled(rank int) {
	co.throttled.metric(min(rank, maxCountedRank)).Inc()
}

// countSkippedAttempt counts a further attempt that was not made.
func (co *Counters) countSkippedAttempt(reason call.RetryReason) {
	co.set.GetOrCreateCounter(fmt.Sprintf(`lynxfold_no_retry_total{reason=%q}`, reason)).Inc()
}

func (co *Counters) countAttempt(reason call.RetryReason) {
	co.attempts.Inc()
	if reason != "" {
		co.retries.metric(reason).Inc()
	}
}

// observeAttempt records the duration of an attempt by service and outcome.
func (co *Counters) observeAttempt(service contract.ServiceName, ou call.Outcome, took time.Duration) {
	co.attemptDurations.metric(attemptLabels{service: service, outcome: ou}).Update(took.Seconds())
}

// registerSpread registers the gauge of a service's spread of load once.
func (co *Counters) registerSpread(service contract.ServiceName, value func() float64) {
	if _, known := co.spreads.Load(service); known {
		return
	}
	if _, known := co.spreads.LoadOrStore(service, struct{}{}); !known {
		co.set.NewGauge(fmt.Sprintf(`lynxfold_load_spread_upstreams{service=%q}`, service), value)
	}
}

// countServiceAnswer counts an answer by service, outcome and reason.
func (co *Counters) countServiceAnswer(service contract.ServiceName, re call.Result) {
	co.answers.metric(answerLabels{service: service, outcome: re.Outcome, reason: re.Reason}).Inc()
}

func (co *Counters) countLinkLost() { co.linksLost.Inc() }

// countDropped counts requests whose answers are dropped with their connection.
func (co *Counters) countDropped(n int) { co.answersDropped.Add(n) }

func (co *Counters) countCallerGone() { co.callersGone.Inc() }

func (co *Counters) countQuery(ve *wire.Verdict, err error) {
	fate := "no_answer"
	if err == nil {
		fate = ve.GetFate().String()
	}
	co.set.GetOrCreateCounter(fmt.Sprintf(`lynxfold_queries_total{fate=%q}`, fate)).Inc()
}

func (co *Counters) countRowWrite(state keyed.RowState, err error) {
	end := "done"
	if err != nil {
		end = "failed"
	}
	co.set.GetOrCreateCounter(fmt.Sprintf(`lynxfold_keyed_writes_total{state=%q,end=%q}`, state, end)).Inc()
}
