package node

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"lynxfold/core/quota"
)

// quotaCounters count what becomes of requests of customers with limits.
type quotaCounters struct {
	set      *metrics.Set
	admitted *metrics.Counter
	refused  *metrics.Counter
	returned *metrics.Counter
	wait     *metrics.Histogram
	// asks are the requests for tokens by result.
	asks map[string]*metrics.Counter
}

// Results of requests for tokens.
const (
	askGranted  = "granted"
	askPartial  = "partial"
	askDeclined = "declined"
	askFailed   = "failed"
)

func newQuotaCounters(set *metrics.Set) *quotaCounters {
	qc := &quotaCounters{
		set:      set,
		admitted: set.GetOrCreateCounter(`lynxfold_quota_requests_total{result="admitted"}`),
		refused:  set.GetOrCreateCounter(`lynxfold_quota_requests_total{result="refused"}`),
		returned: set.GetOrCreateCounter(`lynxfold_quota_returned_total`),
		wait:     set.GetOrCreateHistogram(`lynxfold_quota_wait_seconds`),
		asks:     map[string]*metrics.Counter{},
	}
	for _, result := range []string{askGranted, askPartial, askDeclined, askFailed} {
		qc.asks[result] = set.GetOrCreateCounter(fmt.Sprintf(`lynxfold_quota_asks_total{result=%q}`, result))
	}
	return qc
}

func (qc *quotaCounters) countAsk(rq quota.Request, re quota.Reply, err error) {
	result := askGranted
	switch {
	case err != nil:
		result = askFailed
	case re.Declined:
		result = askDeclined
	case re.Granted < rq.Want:
		result = askPartial
	}
	qc.asks[result].Inc()
}

func (qc *quotaCounters) countProbe(err error) {
	result := "answered"
	if err != nil {
		result = "failed"
	}
	qc.set.GetOrCreateCounter(fmt.Sprintf(`lynxfold_quota_probes_total{result=%q}`, result)).Inc()
}
