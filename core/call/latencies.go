package call

import (
	"time"

	"lynxfold/core/contract"
)

// maxLatencyKinds bounds the kinds of calls with an expected latency of their own.
const maxLatencyKinds = 256

// latencyWindow is the window of the moving average of a kind's latency, in samples.
const latencyWindow = 32

// KindLatencies tracks the latency of the calls of each kind. Kinds that share a service
// can differ by an order of magnitude: with the latency of the service, a short urgent
// call counts as unable to meet its deadline as soon as long ones dominate.
type KindLatencies struct {
	kinds map[latencyKind]time.Duration
}

type latencyKind struct {
	service contract.ServiceName
	terms   contract.TermsName
}

// Observe records the latency of an attempt that ran.
func (kl *KindLatencies) Observe(sv contract.ServiceName, te contract.TermsName, latency time.Duration) {
	if latency <= 0 {
		return
	}
	if kl.kinds == nil {
		kl.kinds = map[latencyKind]time.Duration{}
	}
	ki := latencyKind{service: sv, terms: te}
	mean, known := kl.kinds[ki]
	switch {
	case known:
		mean += (latency - mean) / latencyWindow
	case len(kl.kinds) >= maxLatencyKinds:
		// Kinds come and go with the configuration.
		clear(kl.kinds)
		mean = latency
	default:
		mean = latency
	}
	kl.kinds[ki] = mean
}

// Expected returns the expected latency of a kind of call, or otherwise if none is known.
func (kl *KindLatencies) Expected(sv contract.ServiceName, te contract.TermsName, otherwise time.Duration) time.Duration {
	if mean, ok := kl.kinds[latencyKind{service: sv, terms: te}]; ok {
		return mean
	}
	return otherwise
}
