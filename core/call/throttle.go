package call

import (
	"math"
	"time"

	"lynxfold/core/contract"
	"lynxfold/core/host"
)

const (
	// throttleRise and throttleFall are by how much a refused and a served call change the
	// pressure of their group. It settles where half as many calls are refused as served:
	// enough are let through that room is noticed and no slot stays idle.
	throttleRise = 0.1
	throttleFall = 0.05
	// minPressure is the pressure up to which no call is refused, so that few refusals have
	// no effect.
	minPressure = 0.2
	// maxThrottleShare bounds the share of the calls that are refused. If calls of other hosts
	// take the room, fewer are served the fewer are let through, so that without a bound
	// almost all would be refused.
	maxThrottleShare = 0.75
	// pressureDecay is the time constant with which the pressure falls.
	pressureDecay = 2 * time.Second
	// unusedPressure is the pressure below which a group is forgotten.
	unusedPressure = 0.01
	// maxThrottled bounds the groups of calls whose results are remembered.
	maxThrottled = 1024
)

// ThrottleKey names a group of calls that find the same room: those to one service of one
// rank, and of one customer if the calls are made for customers.
type ThrottleKey struct {
	Service      contract.ServiceName
	Customer     contract.CustomerName
	CustomerRank int
	Rank         int
}

// Throttle refuses calls before their first attempt when recent ones of their group were
// refused for want of room. Without it each such call costs attempts at several gates.
type Throttle struct {
	groups map[ThrottleKey]*throttled
}

// throttled is what is known of one group.
type throttled struct {
	// pressure rises with refused calls, and falls with served ones and time; from 0 to 1.
	pressure  float64
	updatedAt time.Time
	// due is the number of calls to be refused: each call adds the share to be refused.
	due float64
	// retryDelay is the moving average of the time after which gates told to retry.
	retryDelay time.Duration
}

// retryDelayWindow is the window of the moving average of the retry delay, in samples.
const retryDelayWindow = 8

// share returns the share of the calls to be refused.
func (it *throttled) share() float64 { return min(maxThrottleShare, max(0, it.pressure-minPressure)) }

func (it *throttled) decay(now time.Time) {
	if now.After(it.updatedAt) {
		it.pressure *= math.Exp(-now.Sub(it.updatedAt).Seconds() / pressureDecay.Seconds())
		it.updatedAt = now
	}
}

// Refuse decides whether to refuse a call without an attempt, and returns when the caller
// may retry. A caller that comes back is not refused, so that new calls of its group are
// not served in its place.
func (th *Throttle) Refuse(key ThrottleKey, returning bool, now time.Time) (time.Time, bool) {
	it := th.groups[key]
	if it == nil || returning {
		return time.Time{}, false
	}
	it.decay(now)
	share := it.share()
	if share == 0 {
		it.due = 0
		return time.Time{}, false
	}
	it.due += share
	if it.due < 1 {
		return time.Time{}, false
	}
	it.due--
	return now.Add(it.retryDelay), true
}

// Record records the result of a call that was let through.
func (th *Throttle) Record(key ThrottleKey, re Result, now time.Time) {
	short := isShortage(re)
	it := th.groups[key]
	if it == nil {
		if !short {
			return // served calls matter only beside refused ones
		}
		if it = th.add(key, now); it == nil {
			return
		}
	}
	it.decay(now)
	if !short {
		it.pressure = max(0, it.pressure-throttleFall)
		return
	}
	it.pressure = min(1, it.pressure+throttleRise)
	if delay := re.RetryAfter.Sub(now); delay > 0 {
		if it.retryDelay == 0 {
			it.retryDelay = delay
		}
		it.retryDelay += (delay - it.retryDelay) / retryDelayWindow
	}
}

// Share returns the share of a group's calls to be refused.
func (th *Throttle) Share(key ThrottleKey, now time.Time) float64 {
	it := th.groups[key]
	if it == nil {
		return 0
	}
	it.decay(now)
	return it.share()
}

// add returns a new group, or nil if there are too many.
func (th *Throttle) add(key ThrottleKey, now time.Time) *throttled {
	if th.groups == nil {
		th.groups = map[ThrottleKey]*throttled{}
	}
	if len(th.groups) >= maxThrottled {
		for ke, it := range th.groups {
			if it.decay(now); it.pressure < unusedPressure {
				delete(th.groups, ke)
			}
		}
		if len(th.groups) >= maxThrottled {
			return nil
		}
	}
	it := &throttled{updatedAt: now}
	th.groups[key] = it
	return it
}

// ReasonServiceFull refuses a call without an attempt because recent calls like it found
// no room at the gates of the service.
const ReasonServiceFull host.Reason = "service_full"
