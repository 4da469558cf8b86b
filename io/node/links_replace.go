package node

import (
	"time"

	"lynxfold/core/host"
	"lynxfold/core/link"
	"lynxfold/core/wire"
)

// Tick probes quiet links and replaces silent ones.
func (ls *Links) Tick(now time.Time) {
	for _, sessions := range ls.peers {
		for _, se := range sessions {
			ls.tick(se, now)
		}
	}
}

func (ls *Links) tick(se *Session, now time.Time) {
	// Any bytes are a sign of life, also a part of a large message.
	if read := se.meter.read.Load(); read != se.heard {
		se.heard = read
		se.watch.Step(link.MessageReceived{}, now)
	}
	if !se.retireAt.IsZero() && !now.Before(se.retireAt) {
		se.retire()
	}
	for _, ac := range se.watch.Step(link.Tick{}, now) {
		switch ac := ac.(type) {
		case link.SendProbe:
			se.send(&wire.Control{
				Kind: &wire.Control_Probe{
					Probe: &wire.Probe{
						Number: ac.Number,
					},
				},
			})
		case link.ReplaceLink:
			ls.replace(se)
		}
	}
}

// retire ends a session beside which another one works.
func (se *Session) retire() {
	if se.silent {
		se.close(ClosedSilent)
		return
	}
	se.finish()
}

// replace opens a new link beside a silent one; the silent one is closed when
// the new one works, or can't be opened. A replacement on which nothing was ever
// heard is not replaced: its peer takes connections but does no more.
func (ls *Links) replace(se *Session) {
	if se.silent || se.finishing || se.replacement && se.heard == se.greeted {
		se.close(ClosedSilent)
		return
	}
	se.silent = true
	ls.cfg.Counters.replacement("started")
	ls.done.Go(func() {
		if err := ls.dial(se.address); err != nil {
			ls.cfg.Emit(ReplaceFailed{Session: se, Err: err})
		}
	})
}

// move passes what waits on silent links to a new one and retires them. Of two
// links that both work, the host with the lower id closes the older one.
func (ls *Links) move(former []*Session, se *Session, now time.Time) {
	self := host.ID(ls.cfg.Hello().GetHost().GetId())
	for i, old := range former {
		switch {
		case old.silent && old.retireAt.IsZero():
			// The peer must know of the new link before it loses the old one.
			old.retireAt = now.Add(retireAfter)
			old.moveTo(se)
			se.replacement = true
			ls.cfg.Counters.replacement("done")
		case len(former)-i >= maxSessions:
			old.close(ClosedDuplicate)
		case self < se.peer && old.retireAt.IsZero():
			old.retireAt = now.Add(retireAfter)
		}
	}
}

// moveTo passes what was not written yet to another session.
func (se *Session) moveTo(other *Session) {
	for _, st := range []*stream{se.control, se.bulk} {
		for len(st.out) > 0 {
			select {
			case qu := <-st.out:
				if qu.message != nil && qu.message.GetProbe() == nil && qu.message.GetProbeAck() == nil {
					other.send(qu.message)
				}
			default:
			}
		}
	}
}
