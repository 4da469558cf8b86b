package node

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"lynxfold/core/host"
	"lynxfold/core/wire"
)

// Dial opens a link to an address in the background.
func (ls *Links) Dial(address string) {
	ls.done.Go(func() {
		if err := ls.dial(address); err != nil {
			ls.cfg.Emit(DialFailed{Address: address, Err: err})
		}
	})
}

// dial returns when the link has ended, or at once when it can't be opened.
func (ls *Links) dial(address string) error {
	se, he, err := ls.open(address)
	if err != nil {
		er := refuse(err)
		ls.cfg.Counters.dialFailed(er.Reason)
		return er
	}
	ls.run(se, he, address)
	return nil
}

func (ls *Links) open(address string) (*Session, *wire.Hello, error) {
	co, err := ls.cfg.Dialer.dial(ls.ctx, address, prefaceControl)
	if err != nil {
		return nil, nil, err
	}
	_ = co.raw.SetDeadline(time.Now().Add(ls.cfg.Dialer.Timeout))
	stop := context.AfterFunc(ls.ctx, func() { _ = co.raw.Close() })
	defer stop()
	se, err := openSession(co, ls.cfg.Counters)
	if err != nil {
		_ = co.raw.Close()
		return nil, nil, err
	}
	he, err := ls.greet(se)
	if err != nil {
		se.linger(err)
		se.abandon()
		return nil, nil, err
	}
	return se, he, nil
}

// Accept runs a link that a peer opened; it belongs to the listener's
// goroutine. It fails with a RefusedError when the peer is not accepted.
func (ls *Links) Accept(co *Conn) error {
	se, err := acceptSession(co, ls.cfg.Counters)
	if err != nil {
		return refuse(err)
	}
	select {
	case ls.joins <- struct{}{}:
		se.joined = sync.OnceFunc(func() { <-ls.joins })
	default:
		ls.sendElsewhere(se)
		se.abandon()
		return &RefusedError{Reason: RefusedBusy}
	}
	he, err := ls.greet(se)
	if err != nil {
		se.joined()
		se.linger(err)
		se.abandon()
		return refuse(err)
	}
	ls.run(se, he, "")
	return nil
}

// sendElsewhere tells a peer that this node is busy, and whom else to ask.
func (ls *Links) sendElsewhere(se *Session) {
	ls.mu.Lock()
	told := ls.told
	ls.mu.Unlock()
	_ = se.write(&wire.Control{
		Kind: &wire.Control_LinkEnd{
			LinkEnd: &wire.LinkEnd{
				Refused:   true,
				Addresses: told,
			},
		},
	})
	// The peer ends the connection once it has read this, or the deadline does.
	_, _ = se.read(se.control, maxHelloBytes)
	_, _ = se.control.reader.ReadByte()
}

// lingerFor bounds how long the connection of a refused hello stays open.
const lingerFor = 500 * time.Millisecond

// linger lets the other end read this end's hello after a refused one: a
// connection that is closed at once may take unread messages with it.
func (se *Session) linger(err error) {
	var he *HelloError
	if !errors.As(err, &he) {
		return
	}
	_ = se.raw.SetDeadline(time.Now().Add(lingerFor))
	_, _ = se.control.reader.ReadByte()
}

// greet exchanges hellos; the connection's deadline bounds it.
func (ls *Links) greet(se *Session) (*wire.Hello, error) {
	own := ls.cfg.Hello()
	err := se.write(&wire.Control{
		Kind: &wire.Control_Hello{
			Hello: own,
		},
	})
	if err != nil {
		return nil, err
	}
	answer, err := se.read(se.control, maxHelloBytes)
	if err != nil {
		return nil, err
	}
	if answer.GetLinkEnd().GetRefused() {
		return nil, &RefusedError{Reason: RefusedBusy}
	}
	he := answer.GetHello()
	if err := ls.checkHello(own, he); err != nil {
		return nil, err
	}
	_ = se.raw.SetDeadline(time.Time{})
	se.greeted = se.meter.read.Load()
	se.peer = host.ID(he.GetHost().GetId())
	se.incarnation = host.Incarnation(he.GetHost().GetIncarnation())
	se.address = he.GetHost().GetAddress()
	if he.GetHost().GetDataCentre() != own.GetHost().GetDataCentre() && he.GetHost().GetRemoteAddress() != "" {
		se.address = he.GetHost().GetRemoteAddress()
	}
	return he, nil
}

func (ls *Links) checkHello(own, he *wire.Hello) error {
	switch {
	case he == nil || he.GetHost().GetId() == "":
		return &HelloError{Reason: RefusedBadHello}
	case he.GetMesh() != ls.cfg.Mesh:
		return &HelloError{Reason: RefusedOtherMesh}
	case he.GetHost().GetId() == own.GetHost().GetId():
		return &HelloError{Reason: RefusedItself}
	}
	return nil
}
