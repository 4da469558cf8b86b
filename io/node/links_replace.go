package node

import (
	"time"

	"lynxfold/core/host"
	"lynxfold/core/link"
	"lynxfold/core/wire"
)

// Tick probes idle links, replaces silent ones and closes redundant ones.
func (ls *Links) Tick(now time.Time) {
	for _, sessions := range ls.peers {
		for _, se := range sessions {
			ls.tick(se, now)
		}
	}
}

func (ls *Links) tick(se *Session, now time.Time) {
	// Any received bytes count as activity, even part of a large message.
	if read := se.conn.bytesRead.Load(); read != se.bytesSeen {
		se.bytesSeen = read
		se.detector.Step(link.MessageReceived{}, now)
	}
	if !se.retireAt.IsZero() && !now.Before(se.retireAt) {
		se.retire()
	}
	for _, ac := range se.detector.Step(link.Tick{}, now) {
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

// retire closes a session that a newer one has made redundant.
func (se *Session) retire() {
	if se.silent {
		se.close(ClosedSilent)
		return
	}
	se.closeAfterFlush()
}

// replace opens a new link to replace a silent one. The silent link is closed when the
// new one is open or can't be opened. A replacement that has received nothing since its
// hello is closed instead of being replaced again: its peer accepts connections, but does
// not respond on them.
func (ls *Links) replace(se *Session) {
	if se.silent || se.closing || se.replacement && se.bytesSeen == se.bytesAtHello {
		se.close(ClosedSilent)
		return
	}
	se.silent = true
	ls.cfg.Counters.replacement("started")
	ls.start(func() {
		if err := ls.dial(se.address); err != nil {
			ls.cfg.Emit(ReplaceFailed{Session: se, Err: err})
		}
	})
}

// retireFormer schedules the closing of former links after a new one was opened, and
// moves the messages queued on silent links to the new one. Of two working links, the host with
// the lower id closes the older one.
func (ls *Links) retireFormer(former []*Session, se *Session, now time.Time) {
	self := host.ID(ls.cfg.Hello().GetHost().GetId())
	for i, old := range former {
		switch {
		case old.silent && old.retireAt.IsZero():
			// The delay lets the peer learn of the new link before the old one closes.
			old.retireAt = now.Add(retireDelay)
			old.moveQueueTo(se)
			se.replacement = true
			ls.cfg.Counters.replacement("done")
		case len(former)-i >= maxSessions:
			old.close(ClosedDuplicate)
		case self < se.peer && old.retireAt.IsZero():
			old.retireAt = now.Add(retireDelay)
		}
	}
}

// moveQueueTo moves the queued messages to another session, except probes and their
// acknowledgements.
func (se *Session) moveQueueTo(other *Session) {
	for _, st := range []*stream{se.control, se.bulk} {
		for len(st.queue) > 0 {
			select {
			case qm := <-st.queue:
				if qm.message != nil && qm.message.GetProbe() == nil && qm.message.GetProbeAck() == nil {
					other.send(qm.message)
				}
			default:
			}
		}
	}
}
