package call

import (
	"time"

	"lynxfold/core/contract"
)

const (
	// sameTimeout is how far two timeouts may differ that count as the same one.
	sameTimeout = 10 * time.Millisecond
	// mostVotes bounds how firmly a timeout is held for the usual one.
	mostVotes = 200
)

// Patience learns how long callers of each route usually wait, and tells from
// that how long ago a caller began that comes back after a refusal: it has less
// time left than others begin with.
type Patience struct {
	routes map[contract.RouteName]*usualTimeout
}

// usualTimeout is the timeout that most calls of a route have, found by majority.
type usualTimeout struct {
	timeout time.Duration
	votes   int
}

// Age is how long ago the caller of a call with a timeout began; 0 when it has
// as much time as most, or more.
func (pa *Patience) Age(name contract.RouteName, timeout time.Duration) time.Duration {
	if pa.routes == nil {
		pa.routes = map[contract.RouteName]*usualTimeout{}
	}
	ut := pa.routes[name]
	if ut == nil {
		ut = &usualTimeout{timeout: timeout}
		pa.routes[name] = ut
	}
	ut.vote(timeout)
	if age := ut.timeout - timeout; age > sameTimeout {
		return age
	}
	return 0
}

func (ut *usualTimeout) vote(timeout time.Duration) {
	switch {
	case (ut.timeout - timeout).Abs() <= sameTimeout:
		ut.votes = min(ut.votes+1, mostVotes)
	case ut.votes > 0:
		ut.votes--
	default:
		ut.timeout = timeout
		ut.votes = 1
	}
}
