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
	ls.start(func() {
		if err := ls.dial(address); err != nil {
			ls.cfg.Emit(DialFailed{Address: address, Err: err})
		}
	})
}

// dial opens a link and runs it until it ends; it fails when the link can't be opened.
func (ls *Links) dial(address string) error {
	se, he, err := ls.open(address)
	if err != nil {
		er := newRefusedError(err)
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
	he, err := ls.exchangeHellos(se)
	if err != nil {
		se.linger(err)
		se.closeUnused()
		return nil, nil, err
	}
	return se, he, nil
}

// Accept runs a link that a peer opened until it ends; it is called on the
// connection's goroutine. It fails with a RefusedError when the peer is refused.
func (ls *Links) Accept(co *Conn) error {
	se, err := acceptSession(co, ls.cfg.Counters)
	if err != nil {
		return newRefusedError(err)
	}
	select {
	case ls.joinSlots <- struct{}{}:
		se.releaseJoinSlot = sync.OnceFunc(func() { <-ls.joinSlots })
	default:
		ls.refuseBusy(se)
		se.closeUnused()
		return &RefusedError{Reason: RefusedBusy}
	}
	he, err := ls.exchangeHellos(se)
	if err != nil {
		se.releaseJoinSlot()
		se.linger(err)
		se.closeUnused()
		return newRefusedError(err)
	}
	ls.run(se, he, "")
	return nil
}

// refuseBusy tells a peer that this node is busy, with the addresses of other nodes.
func (ls *Links) refuseBusy(se *Session) {
	ls.mu.Lock()
	alternatives := ls.alternatives
	ls.mu.Unlock()
	_ = se.write(&wire.Control{
		Kind: &wire.Control_LinkEnd{
			LinkEnd: &wire.LinkEnd{
				Refused:   true,
				Addresses: alternatives,
			},
		},
	})
	// Read the peer's hello, then wait until the peer has read the refusal and closes the
	// connection, or until the deadline.
	_, _ = se.read(se.control, maxHelloBytes)
	_, _ = se.control.reader.ReadByte()
}

// refusedHelloLinger limits how long a connection stays open after a refused hello.
const refusedHelloLinger = 500 * time.Millisecond

// linger keeps the connection open after a refused hello, so that the peer can read
// this node's hello: closing at once may discard data that the peer has not read.
func (se *Session) linger(err error) {
	var he *HelloError
	if !errors.As(err, &he) {
		return
	}
	_ = se.raw.SetDeadline(time.Now().Add(refusedHelloLinger))
	_, _ = se.control.reader.ReadByte()
}

// exchangeHellos sends a hello and reads the peer's; the deadline that is set on the
// connection applies.
func (ls *Links) exchangeHellos(se *Session) (*wire.Hello, error) {
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
	se.bytesAtHello = se.conn.bytesRead.Load()
	se.peer = host.ID(he.GetHost().GetId())
	se.incarnation = host.Incarnation(he.GetHost().GetIncarnation())
	se.address = he.GetHost().GetAddress()
	// A remote address is the one for peers in other data centres.
	if he.GetHost().GetDataCentre() != own.GetHost().GetDataCentre() && he.GetHost().GetRemoteAddress() != "" {
		se.address = he.GetHost().GetRemoteAddress()
	}
	return he, nil
}

// checkHello returns a HelloError when a peer's hello can't be accepted.
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
