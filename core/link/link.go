// Package link implements the failure detector of control links between nodes, and the
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

// Tick lets the detector check its timeouts; callers send it at regular intervals.
type Tick struct{}

func (MessageReceived) isEvent() {}
func (Tick) isEvent()            {}

// SendProbe tells the caller to send a probe with this number to the peer.
type SendProbe struct {
	Number uint64
}

// ReplaceLink tells the caller that the probe timed out, and to open a new link and then
// close this one. It is returned once.
type ReplaceLink struct{}

func (SendProbe) isAction()   {}
func (ReplaceLink) isAction() {}

// Detector is the failure detector of one established control link.
type Detector struct {
	cfg Config
	// probeAt is when the next probe is due if no message is received before.
	probeAt time.Time
	// ackDeadline ends the wait for a message after a probe; it is zero while no probe
	// is outstanding.
	ackDeadline time.Time
	lastProbe   uint64
	// silent is set once a probe has timed out.
	silent bool
}

// New returns the failure detector for a link that was established at the given time.
func New(cfg Config, now time.Time) *Detector {
	return &Detector{
		cfg:     cfg,
		probeAt: now.Add(cfg.ProbeAfter),
	}
}

// Step processes an event and returns the actions to carry out.
func (de *Detector) Step(ev Event, now time.Time) []Action {
	switch ev.(type) {
	case MessageReceived:
		de.probeAt = now.Add(de.cfg.ProbeAfter)
		de.ackDeadline = time.Time{}
		return nil
	case Tick:
		return de.tick(now)
	}
	return nil
}

func (de *Detector) tick(now time.Time) []Action {
	switch {
	case de.silent || now.Before(de.probeAt):
		return nil
	case de.ackDeadline.IsZero():
		de.lastProbe++
		de.ackDeadline = now.Add(de.cfg.ProbeTimeout)
		return []Action{SendProbe{Number: de.lastProbe}}
	case now.Before(de.ackDeadline):
		return nil
	}
	de.silent = true
	return []Action{ReplaceLink{}}
}

// Backoff is exponential backoff with full jitter for connection attempts to a peer.
type Backoff struct {
	// Base is the maximum of the first delay; the maximum doubles with each attempt.
	Base time.Duration
	// Cap bounds the maximum delay.
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

// Reset sets the maximum delay back to Base; it is called after a successful attempt.
func (ba *Backoff) Reset() { ba.attempts = 0 }
