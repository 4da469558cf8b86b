// Package quota decides how many requests of a customer all hosts together admit. One host
// keeps the token bucket of a customer, its quota host; the others ask it for tokens.
package quota

import (
	"math"
	"time"

	"lynxfold/core/contract"
	"lynxfold/core/host"
)

// Limit is the limit of a customer for all hosts together.
type Limit struct {
	PerSecond float64
	Burst     float64
	// Version is the configuration version that the limit is from.
	Version contract.Version
}

// LimitOf returns the limit of a customer in a configuration.
func LimitOf(sn *contract.Snapshot, cu contract.Customer) Limit {
	return Limit{
		PerSecond: cu.RatePerSecond,
		Burst:     cu.Burst,
		Version:   sn.Version,
	}
}

// Unlimited reports whether there is no limit.
func (li Limit) Unlimited() bool { return li.PerSecond <= 0 }

const (
	// slackTokens is what a bucket holds beside the burst. Without it, the requests of a
	// customer with a limit of 3 a second are refused when a few arrive together. It uses
	// part of the slack of 20 requests in each window.
	slackTokens = 6
	// takeoverTokens and takeoverSeconds limit the bucket of a host that has just become
	// the quota host: it must not hand out a second burst.
	takeoverTokens  = 3
	takeoverSeconds = 0.1
	// settleTime is how long a host must have been the quota host before its bucket holds
	// the burst. It is the length of the window for which the limit is guaranteed.
	settleTime = 5 * time.Second
	// joinTime is how long the other hosts may take to learn of a host that has joined. Until
	// then they may ask the previous quota host, so the new one hands out only a part.
	joinTime = time.Second
	// joinShare is the least part of its rate that a host hands out meanwhile. Two hosts then
	// hand out 0.4 s of the rate too much at most; with no such part, customers below their
	// limit are refused for a second after each restart.
	joinShare = 0.4
	// pauseThreshold is the time between two ticks from which this host counts as paused;
	// other hosts may have taken over in the meantime.
	pauseThreshold = 800 * time.Millisecond
	// standInShare is the part of the rate that a host hands out while the quota host does
	// not answer but is not known to be lost. For up to 3 s both may hand out tokens, and a
	// window has room for about half of a second's rate.
	standInShare = 0.15
	// minHandoverRate is what a host hands out in any case while it stands in or others have
	// just joined, up to the limit. Small customers would be refused most of their calls
	// otherwise, and 3 a second for 3 s are within the slack of a window.
	minHandoverRate = 3.0
	// tokenLifetime is how long a token may be used. Late use moves requests from one
	// window into the next; with 500 ms at most a tenth of a window's.
	tokenLifetime = 500 * time.Millisecond
	// unresponsivePeriod is how long a host that did not answer is not asked again.
	unresponsivePeriod = time.Second
	// maxRetryAfter limits how far a bucket promises tokens in advance. Later promises
	// would be wrong, because demand changes.
	maxRetryAfter = time.Second
	// maxCallerRetryAfter limits how much later than the first one a refused caller is told to
	// come back.
	maxCallerRetryAfter = 5 * time.Second
	// localRetryAfter is how long a host that reaches no other refuses calls before it tries
	// again. It is the time that its next choice needs to check the quota host.
	localRetryAfter = 200 * time.Millisecond
	// prefetchTime is the period whose expected requests are asked for at once.
	prefetchTime = 100 * time.Millisecond
	// rankedHosts is the number of hosts in rendezvous order that are asked in turn.
	rankedHosts = 3
	// idleTime is how long a bucket or an account is kept without requests. By then its
	// state has no effect on a window.
	idleTime = 10 * time.Second
)

// depth returns the number of tokens that a settled bucket holds.
func (li Limit) depth() float64 { return max(1, li.Burst+slackTokens) }

// takeoverDepth returns the same for a host that has just taken over.
func (li Limit) takeoverDepth() float64 {
	return min(li.depth(), takeoverTokens+takeoverSeconds*li.PerSecond)
}

// Request asks the quota host for tokens.
type Request struct {
	Customer contract.CustomerName
	Limit    Limit
	// Want is the number of tokens asked for; 0 only asks whether the host answers.
	Want int
	// Returned is the number of unused tokens that the host granted before.
	Returned int
	// Unanswered is set when a host that precedes in rendezvous order did not answer.
	Unanswered bool
}

// Reply answers a Request.
type Reply struct {
	Granted int
	// RetryAt is when further tokens are likely; zero if all tokens were granted.
	RetryAt time.Time
	// Declined is set when the host does not keep the bucket.
	Declined bool
	// Probe is the host that the receiver must check before it stands in for it; empty if
	// there is none.
	Probe host.ID
}

// seconds converts a number of seconds to a duration, at most an hour.
func seconds(s float64) time.Duration {
	return time.Duration(math.Min(s, 3600) * float64(time.Second))
}
