package call

import (
	"time"

	"lynxfold/core/contract"
)

const (
	// timeoutTolerance is how far two timeouts may differ to count as equal.
	timeoutTolerance = 10 * time.Millisecond
	// maxVotes bounds the lead of the majority timeout, so that a change of the
	// callers' timeout is adopted.
	maxVotes = 200
)

// TypicalTimeouts learns the usual timeout of the callers of each route. A caller that
// retries after a refusal has less time left than that, and the difference tells
// how long ago it began.
type TypicalTimeouts struct {
	routes map[contract.RouteName]*majorityTimeout
}

// majorityTimeout finds the timeout of most calls of a route by the Boyer-Moore
// majority vote.
type majorityTimeout struct {
	timeout time.Duration
	votes   int
}

// Elapsed returns how long ago the caller of a call with a timeout began; 0 if the
// timeout is the usual one or longer.
func (pa *TypicalTimeouts) Elapsed(name contract.RouteName, timeout time.Duration) time.Duration {
	if pa.routes == nil {
		pa.routes = map[contract.RouteName]*majorityTimeout{}
	}
	mt := pa.routes[name]
	if mt == nil {
		mt = &majorityTimeout{timeout: timeout}
		pa.routes[name] = mt
	}
	mt.vote(timeout)
	if age := mt.timeout - timeout; age > timeoutTolerance {
		return age
	}
	return 0
}

func (mt *majorityTimeout) vote(timeout time.Duration) {
	switch {
	case (mt.timeout - timeout).Abs() <= timeoutTolerance:
		mt.votes = min(mt.votes+1, maxVotes)
	case mt.votes > 0:
		mt.votes--
	default:
		mt.timeout = timeout
		mt.votes = 1
	}
}
