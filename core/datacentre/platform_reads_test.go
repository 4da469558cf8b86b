package datacentre

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lynxfold/core/contract"
	"lynxfold/core/host"
	"lynxfold/core/wire"
)

// Targets of the tests of interrupted reads.
const (
	// applyTarget is the time within which a change is in force once it is acknowledged
	// and the platform can be reached again.
	applyTarget = 2 * time.Second
	// reconnectTarget is the same from the loss of a connection.
	reconnectTarget = 3 * time.Second
)

const (
	// readTestTick is the period of the member's timers.
	readTestTick = 100 * time.Millisecond
	// readTestLatency is the time that the platform takes to respond.
	readTestLatency = 10 * time.Millisecond
	// readTestTimeout is how long a request waits for a response, beside the time that
	// the platform may hold it back, unless the request has a timeout of its own.
	readTestTimeout = time.Second
)

// interruption is a time in which the platform does not serve a reader.
type interruption struct {
	from time.Time
	// until is the end of the time in which the platform responds to no new request. A
	// read in flight at from gets no response in any case.
	until time.Time
	// refuses means that requests fail at once, not after their timeout.
	refuses bool
	// changedAt is when the platform has a new version.
	changedAt time.Time
}

// inForceBy returns when the new version has to be in force.
func (in interruption) inForceBy() time.Time {
	by := laterTime(in.until, in.changedAt).Add(applyTarget)
	return laterTime(by, in.from.Add(reconnectTarget))
}

// response returns when a read that starts at a time ends, and whether it succeeds.
func (in interruption) response(ac ReadPlatform, start time.Time) (end time.Time, ok bool) {
	switch interrupted := !start.Before(in.from) && start.Before(in.until); {
	case interrupted && in.refuses:
		return start.Add(readTestLatency), false
	case interrupted:
		return start.Add(ac.MaxWait + cmp.Or(ac.ResponseTimeout, readTestTimeout)), false
	}
	end = start.Add(ac.MaxWait)
	if !in.changedAt.After(end) {
		end = laterTime(start, in.changedAt)
	}
	if start.Before(in.from) && !end.Before(in.from) {
		if in.refuses {
			return in.from, false
		}
		return start.Add(ac.MaxWait + cmp.Or(ac.ResponseTimeout, readTestTimeout)), false
	}
	return end.Add(readTestLatency), true
}

// newTestReader returns a member that reads the platform, in a mesh of the given size
// in three data centres.
func newTestReader(t *testing.T, hosts int, now time.Time) *Member {
	t.Helper()
	for i := range hosts {
		me := newTestMember(host.ID(fmt.Sprintf("host-%d", i)), now)
		me.cfg.FleetSize = 50
		me.cfg.ReadsPerSecond = 2000
		for j := range hosts {
			if i == j {
				continue
			}
			id := fmt.Sprintf("host-%d", j)
			me.storeRecord(&wire.Host{Id: id, DataCentre: fmt.Sprintf("dc-%d", (j-i+hosts)%3), Address: id + ":1"}, now)
		}
		if me.isReader() {
			me.reads.nextAt = now
			return me
		}
	}
	t.Fatal("no host is a reader")
	return nil
}

// pendingRead is a read whose result comes later.
type pendingRead struct {
	end time.Time
	ev  PlatformRead
}

// playInterruption steps a reader through an interruption and returns when the new
// version is in force, at the latest giveUp.
func playInterruption(t *testing.T, me *Member, in interruption, next *contract.Snapshot, start, giveUp time.Time) time.Time {
	t.Helper()
	// pending is nil while no read is in progress; a member has one at a time.
	var pending *pendingRead
	now, nextTick := start, start
	step := func(ev Event) {
		for _, ac := range me.Step(ev, now) {
			re, ok := ac.(ReadPlatform)
			if !ok {
				continue
			}
			assert.Assert(t, pending == nil, "a read was started during another one")
			end, ok := in.response(re, now)
			pending = &pendingRead{end: end}
			switch {
			case !ok:
				pending.ev.Err = errDown
			case !in.changedAt.After(end):
				pending.ev.Snapshot = next
			}
		}
	}
	for now.Before(giveUp) {
		if pending == nil || !pending.end.Before(nextTick) {
			now = nextTick
			nextTick = nextTick.Add(readTestTick)
			step(Tick{})
			continue
		}
		ended := pending
		pending = nil
		now = ended.end
		step(ended.ev)
		if me.Report().Active == next.Version {
			return now
		}
	}
	return giveUp
}

// checkInterruptions plays an interruption of each length from each phase of a read that
// waits, and checks that the change comes into force in time.
func checkInterruptions(t *testing.T, refuses bool, lengths ...time.Duration) {
	t.Helper()
	const phaseStep = 130 * time.Millisecond
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	next := nextVersion(contract.EmptySnapshot(), rand.New(rand.NewPCG(1, 1)))
	for _, hosts := range []int{1, 10, 100} {
		for _, length := range lengths {
			for phase := range 20 {
				from := start.Add(20*time.Second + time.Duration(phase)*phaseStep)
				in := interruption{
					from:      from,
					until:     from.Add(length),
					refuses:   refuses,
					changedAt: from.Add(length),
				}
				me := newTestReader(t, hosts, start)
				at := playInterruption(t, me, in, next, start, in.until.Add(time.Minute))
				assert.Check(t, !at.After(in.inForceBy()),
					"%d hosts, interrupted for %v at phase %d: in force %v after the platform is back", hosts, length, phase, at.Sub(in.until))
			}
		}
	}
}

func TestChangeIsInForceInTimeAfterPlatformRefusedReads(t *testing.T) {
	checkInterruptions(t, true, time.Second, 5*time.Second, 20*time.Second, time.Minute)
}

func TestChangeIsInForceInTimeAfterPlatformWasSilent(t *testing.T) {
	checkInterruptions(t, false, 3*time.Second, 4*time.Second, 5*time.Second, 8*time.Second, 20*time.Second)
}

func TestChangeIsInForceInTimeAfterConnectionWentSilent(t *testing.T) {
	checkInterruptions(t, false, 0, 200*time.Millisecond, time.Second)
}
