package call

import (
	"time"

	"lynxfold/core/contract"
)

const (
	// timeoutTolerance is how far two timeouts may differ to count as equal.
	timeoutTolerance = 10 * time.Millisecond
	// votesPerMatch is how many calls with other timeouts weigh as much as one with the
	// typical one: during an overload, most calls are retries, which have less time left.
	votesPerMatch = 8
	// maxVotes bounds the lead of the typical timeout, so that a new timeout of the
	// callers is adopted after about as many calls at most.
	maxVotes = 200
)

// TypicalTimeouts learns the typical timeout of the callers of each route. A caller
// that retries after a refusal has less time left than that; the difference is the
// time since its first request.
type TypicalTimeouts struct {
	routes map[contract.RouteName]*majorityTimeout
}

// majorityTimeout finds the most common timeout of the calls of a route by a weighted
// form of the Boyer-Moore majority vote algorithm.
type majorityTimeout struct {
	timeout time.Duration
	votes   int
}

// Elapsed records a call with a timeout and returns how long ago its caller made the
// first request, as estimated; 0 if the timeout is the typical one or longer.
func (tt *TypicalTimeouts) Elapsed(name contract.RouteName, timeout time.Duration) time.Duration {
	if tt.routes == nil {
		tt.routes = map[contract.RouteName]*majorityTimeout{}
	}
	mt := tt.routes[name]
	if mt == nil {
		mt = &majorityTimeout{timeout: timeout}
		tt.routes[name] = mt
	}
	mt.vote(timeout)
	if elapsed := mt.timeout - timeout; elapsed > timeoutTolerance {
		return elapsed
	}
	return 0
}

func (mt *majorityTimeout) vote(timeout time.Duration) {
	switch {
	case (mt.timeout - timeout).Abs() <= timeoutTolerance:
		mt.votes = min(mt.votes+votesPerMatch, maxVotes)
	case mt.votes > 0:
		mt.votes--
	default:
		mt.timeout = timeout
		mt.votes = votesPerMatch
	}
}
