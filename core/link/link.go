// Package link decides when a control link between two nodes is silent, when it
// is replaced, and when a lost one is dialled again.
package link

import (
	"math/rand/v2"
	"time"
)

// Config sets up links.
type Config struct {
	// ProbeAfter is how long a link may be quiet before it is probed.
	ProbeAfter time.Duration
	// AnswerWithin is how long the answer to a probe may take.
	AnswerWithin time.Duration
}

// Event is an input of a link.
type Event interface{ isEvent() }

// Action is an output of a link.
type Action interface{ isAction() }

// Heard says that a message arrived.
type Heard struct{}

// Tick lets time pass.
type Tick struct{}

func (Heard) isEvent() {}
func (Tick) isEvent()  {}

// SendProbe asks the other end for a sign of life.
type SendProbe struct {
	Number uint64
}

// Replace says that the link is silent: open a new one beside it, then close it.
type Replace struct{}

func (SendProbe) isAction() {}
func (Replace) isAction()   {}

// Link watches one established control link.
type Link struct {
	cfg     Config
	quietAt time.Time
	// answerBy is zero while no probe is unanswered.
	answerBy time.Time
	number   uint64
	silent   bool
}

// New watches a link that was established now.
func New(cfg Config, now time.Time) *Link {
	return &Link{
		cfg:     cfg,
		quietAt: now.Add(cfg.ProbeAfter),
	}
}

// Step feeds one event and returns what to do.
func (li *Link) Step(ev Event, now time.Time) []Action {
	switch ev.(type) {
	case Heard:
		li.quietAt = now.Add(li.cfg.ProbeAfter)
		li.answerBy = time.Time{}
		return nil
	case Tick:
		return li.tick(now)
	}
	return nil
}

func (li *Link) tick(now time.Time) []Action {
	switch {
	case li.silent || now.Before(li.quietAt):
		return nil
	case li.answerBy.IsZero():
		li.number++
		li.answerBy = now.Add(li.cfg.AnswerWithin)
		return []Action{SendProbe{Number: li.number}}
	case now.Before(li.answerBy):
		return nil
	}
	li.silent = true
	return []Action{Replace{}}
}

// Backoff spaces attempts at the same peer with full jitter.
type Backoff struct {
	Base  time.Duration
	Cap   time.Duration
	tries int
}

// Next returns when to try again.
func (ba *Backoff) Next(now time.Time, rnd *rand.Rand) time.Time {
	ceiling := ba.Base << min(ba.tries, 16)
	if ceiling <= 0 || ceiling > ba.Cap {
		ceiling = ba.Cap
	}
	ba.tries++
	return now.Add(time.Duration(rnd.Int64N(int64(ceiling)) + 1))
}

// Reset forgets the failures.
func (ba *Backoff) Reset() { ba.tries = 0 }
