package host

import (
	"time"

	"lynxfold/core/contract"
)

// maxFairCustomers bounds the customers whose use of slots is remembered. Only those need
// it that have attempts queued or running.
const maxFairCustomers = 1024

// fairKey names the attempts of one customer at one level.
type fairKey struct {
	customer contract.CustomerName
	urgency  urgency
}

// fairShares divides the slots between the customers of one level by start-time fair
// queueing: an attempt is tagged with the later of its level's virtual time and the
// finish of its customer's former attempt, which is that attempt's tag plus its
// expected service time. Attempts of one level are dispatched by their tags, so that a
// customer that sends more than the others waits behind its own attempts.
type fairShares struct {
	finish map[fairKey]time.Duration
}

// tag returns the tag of an arriving attempt. It is 0 at levels whose attempts have named
// no customer.
func (fs *fairShares) tag(en *entry) time.Duration {
	le := en.level
	if en.attempt.Customer != "" {
		le.shared = true
	}
	if !le.shared {
		return 0
	}
	return max(le.virtualTime, fs.finish[en.fairKey()])
}

// charge adds the cost of a queued attempt to its customer's use.
func (fs *fairShares) charge(en *entry, levels []*level) {
	if !en.level.shared {
		return
	}
	if fs.finish == nil {
		fs.finish = map[fairKey]time.Duration{}
	}
	key := en.fairKey()
	if _, known := fs.finish[key]; !known && len(fs.finish) >= maxFairCustomers {
		fs.forget(levels)
		if len(fs.finish) >= maxFairCustomers {
			return
		}
	}
	fs.finish[key] = en.fairTag + en.fairCost
	en.charged = true
}

// refund takes back the cost of an attempt that leaves the queue without having run.
func (fs *fairShares) refund(en *entry) {
	key := en.fairKey()
	if finish, known := fs.finish[key]; known {
		fs.finish[key] = finish - en.fairCost
	}
}

// forget removes the customers whose next tag is the virtual time of their level.
func (fs *fairShares) forget(levels []*level) {
	virtual := make(map[urgency]time.Duration, maxLevels)
	for _, le := range levels {
		virtual[le.urgency] = le.virtualTime
	}
	for key, finish := range fs.finish {
		if at, ok := virtual[key.urgency]; !ok || finish <= at {
			delete(fs.finish, key)
		}
	}
}

func (en *entry) fairKey() fairKey {
	return fairKey{
		customer: en.attempt.Customer,
		urgency:  en.level.urgency,
	}
}
