// Package link contains the failure detector for control links between nodes and the
// backoff for reconnecting.
package link

import (
	"math/rand/v2"
	"time"
)

// Config holds the timeouts of the failure detector.
type Config struct {
	// ProbeAfter is the time without a received message after which a probe is sent.
	ProbeAfter time.Duration
	// ProbeTimeout is the time limit for receiving a message after a probe.
	ProbeTimeout time.Duration
}

// Event is an input to Step.
type Event interface{ isEvent() }

// Action is an output of Step, to be carried out by the caller.
type Action interface{ isAction() }

// MessageReceived reports that a message was received on the link.
type MessageReceived struct{}

// Tick checks the timeouts; it is to be sent regularly.
type Tick struct{}

func (MessageReceived) isEvent() {}
func (Tick) isEvent()            {}

// SendProbe sends a numbered probe to the peer.
type SendProbe struct {
	Number uint64
}

// ReplaceLink reports that the probe timed out: open a new link, then close this one. It
// is returned once.
type ReplaceLink struct{}

func (SendProbe) isAction()   {}
func (ReplaceLink) isAction() {}

// Detector is the failure detector of one established control link.
type Detector struct {
	cfg     Config
	probeAt time.Time
	// ackDeadline is zero while no probe is outstanding.
	ackDeadline time.Time
	lastProbe   uint64
	silent      bool
}

// New returns the failure detector for a link that was established at the given time.
func New(cfg Config, now time.Time) *Detector {
	return &Detector{
		cfg:     cfg,
		probeAt: now.Add(cfg.ProbeAfter),
	}
}

// Step processes an event and returns the actions to carry out.
func (li *Detector) Step(ev Event, now time.Time) []Action {
	switch ev.(type) {
	case MessageReceived:
		li.probeAt = now.Add(li.cfg.ProbeAfter)
		li.ackDeadline = time.Time{}
		return nil
	case Tick:
		return li.tick(now)
	}
	return nil
}

func (li *Detector) tick(now time.Time) []Action {
	switch {
	case li.silent || now.Before(li.probeAt):
		return nil
	case li.ackDeadline.IsZero():
		li.lastProbe++
		li.ackDeadline = now.Add(li.cfg.ProbeTimeout)
		return []Action{SendProbe{Number: li.lastProbe}}
	case now.Before(li.ackDeadline):
		return nil
	}
	li.silent = true
	return []Action{ReplaceLink{}}
}

// Backoff is exponential backoff with full jitter for connection attempts to a peer.
type Backoff struct {
	Base     time.Duration
	Cap      time.Duration
	attempts int
}

// Next returns the time of the next attempt, and counts it.
func (ba *Backoff) Next(now time.Time, rnd *rand.Rand) time.Time {
	ceiling := ba.Base << min(ba.attempts, 16)
	if ceiling <= 0 || ceiling > ba.Cap {
		ceiling = ba.Cap
	}
	ba.attempts++
	return now.Add(time.Duration(rnd.Int64N(int64(ceiling)) + 1))
}

// Reset sets the delay back to Base, after a successful attempt.
func (ba *Backoff) Reset() { ba.attempts = 0 }
