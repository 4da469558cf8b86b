package node

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"lynxfold/core/datacentre"
	"lynxfold/core/host"
	"lynxfold/core/link"
	"lynxfold/core/wire"
)

const (
	// maxHelloBytes bounds the first message of a link, in bytes.
	maxHelloBytes = 64 << 10
	// maxSessions bounds the control links to one peer.
	maxSessions = 4
	// retireAfter is how long a second link to a peer is kept, so that what is
	// under way on it arrives.
	retireAfter = time.Second
	// maxTold bounds the addresses told to a peer that is refused.
	maxTold = 5
)

// Event is something that happened on a control link.
type Event interface{ isEvent() }

// Opened says that both ends of a link have said hello.
type Opened struct {
	Session *Session
	Hello   *wire.Hello
	// Address is what was dialled; empty when the peer opened the link.
	Address string
}

// Heard brings a message.
type Heard struct {
	Session *Session
	Message *wire.Control
}

// Closed says that a session has ended.
type Closed struct {
	Session *Session
}

// DialFailed says that an address could not be linked to.
type DialFailed struct {
	Address string
	Err     error
}

// ReplaceFailed says that no new link could be opened beside a silent one.
type ReplaceFailed struct {
	Session *Session
	Err     error
}

func (Opened) isEvent()        {}
func (Heard) isEvent()         {}
func (Closed) isEvent()        {}
func (DialFailed) isEvent()    {}
func (ReplaceFailed) isEvent() {}

// LinksConfig sets up the control links.
type LinksConfig struct {
	Mesh   string
	Dialer *Dialer
	Watch  link.Config
	// Joins bounds the peers that join through this node at once.
	Joins int
	// ResyncBytesPerSecond bounds large messages on all links together.
	ResyncBytesPerSecond int
	// Hello is called on any goroutine for what this node says first.
	Hello func() *wire.Hello
	// Emit passes events to the control goroutine; it may block.
	Emit func(ev Event)
	// Counters count what happens on the links.
	Counters *Counters
}

// Links holds the control links of a node. Its methods that are not marked
// otherwise belong to the control goroutine.
type Links struct {
	cfg    LinksConfig
	ctx    context.Context
	cancel context.CancelFunc
	done   sync.WaitGroup
	joins  chan struct{}
	budget *rate.Limiter
	// peers holds the sessions of each peer, the newest last.
	peers map[host.ID][]*Session

	// linked counts the linked peers.
	linked atomic.Int64

	mu sync.Mutex
	// told are the addresses of linked peers, for those that are refused.
	told []string
}

// NewLinks builds the control links.
func NewLinks(cfg LinksConfig) *Links {
	ctx, cancel := context.WithCancel(context.Background())
	return &Links{
		cfg:    cfg,
		ctx:    ctx,
		cancel: cancel,
		joins:  make(chan struct{}, cfg.Joins),
		budget: rate.NewLimiter(rate.Limit(cfg.ResyncBytesPerSecond), max(cfg.ResyncBytesPerSecond, bulkBytes)),
		peers:  map[host.ID][]*Session{},
	}
}

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

// run emits the events of a session until it ends.
func (ls *Links) run(se *Session, he *wire.Hello, address string) {
	ls.cfg.Emit(Opened{Session: se, Hello: he, Address: address})
	se.run(ls.ctx, ls.budget, func(ms *wire.Control) {
		ls.cfg.Emit(Heard{Session: se, Message: ms})
	})
	ls.cfg.Emit(Closed{Session: se})
}

// Handle takes an event in and returns what the member must know.
func (ls *Links) Handle(ev Event, now time.Time) []datacentre.Event {
	switch ev := ev.(type) {
	case Opened:
		return ls.opened(ev, now)
	case Heard:
		return ls.heard(ev, now)
	case Closed:
		return ls.closed(ev.Session)
	case DialFailed:
		return []datacentre.Event{datacentre.DialFailed{Address: ev.Address}}
	case ReplaceFailed:
		ls.cfg.Counters.replacement("failed")
		ev.Session.close(ClosedSilent)
	}
	return nil
}

func (ls *Links) opened(ev Opened, now time.Time) []datacentre.Event {
	se := ev.Session
	se.watch = link.New(ls.cfg.Watch, now)
	se.heard = se.greeted
	former := ls.peers[se.peer]
	ls.peers[se.peer] = append(former, se)
	ls.tell()
	opened := datacentre.LinkOpened{
		Peer:    se.peer,
		Hello:   ev.Hello,
		Address: ev.Address,
	}
	if len(former) == 0 {
		return []datacentre.Event{opened}
	}
	if former[len(former)-1].incarnation != se.incarnation {
		for _, old := range former {
			old.close(ClosedReplaced)
		}
		return []datacentre.Event{datacentre.LinkClosed{Peer: se.peer}, opened}
	}
	ls.move(former, se, now)
	return []datacentre.Event{datacentre.Received{
		Peer: se.peer,
		Message: &wire.Control{
			Kind: &wire.Control_Notice{
				Notice: &wire.Notice{
					Version: ev.Hello.GetVersion(),
					Digest:  ev.Hello.GetDigest(),
				},
			},
		},
	}}
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

func (ls *Links) heard(ev Heard, now time.Time) []datacentre.Event {
	ev.Session.watch.Step(link.Heard{}, now)
	switch ki := ev.Message.GetKind().(type) {
	case *wire.Control_Probe:
		ev.Session.send(&wire.Control{
			Kind: &wire.Control_ProbeAck{
				ProbeAck: &wire.ProbeAck{
					Number: ki.Probe.GetNumber(),
				},
			},
		})
		return nil
	case *wire.Control_ProbeAck:
		return nil
	}
	return []datacentre.Event{datacentre.Received{Peer: ev.Session.peer, Message: ev.Message}}
}

func (ls *Links) closed(se *Session) []datacentre.Event {
	var left []*Session
	for _, other := range ls.peers[se.peer] {
		if other != se {
			left = append(left, other)
		}
	}
	if len(left) > 0 {
		ls.peers[se.peer] = left
		se.moveTo(ls.current(se.peer))
		return nil
	}
	if ls.peers[se.peer] == nil {
		return nil
	}
	delete(ls.peers, se.peer)
	ls.tell()
	return []datacentre.Event{datacentre.LinkClosed{Peer: se.peer}}
}

// tell renews the addresses for peers that are refused.
func (ls *Links) tell() {
	var told []string
	for _, sessions := range ls.peers {
		if len(told) < maxTold {
			told = append(told, sessions[0].address)
		}
	}
	ls.linked.Store(int64(len(ls.peers)))
	ls.mu.Lock()
	ls.told = told
	ls.mu.Unlock()
}

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
		se.watch.Step(link.Heard{}, now)
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
		case link.Replace:
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

// current is the newest session of a peer that is not silent, if there is one.
func (ls *Links) current(peer host.ID) *Session {
	sessions := ls.peers[peer]
	if len(sessions) == 0 {
		return nil
	}
	for i := len(sessions) - 1; i >= 0; i-- {
		if se := sessions[i]; !se.silent && !se.finishing {
			return se
		}
	}
	return sessions[len(sessions)-1]
}

// Send passes a message to a peer over its newest link.
func (ls *Links) Send(peer host.ID, ms *wire.Control) {
	if se := ls.current(peer); se != nil {
		se.send(ms)
	}
}

// CloseLink ends the links to a peer once what was sent before is written.
func (ls *Links) CloseLink(peer host.ID) {
	for _, se := range ls.peers[peer] {
		se.finish()
	}
}

// Peers counts the linked peers; it may be called on any goroutine.
func (ls *Links) Peers() int { return int(ls.linked.Load()) }

// Close ends all links and waits for their goroutines; events are still
// emitted meanwhile. It may be called on any goroutine.
func (ls *Links) Close() {
	ls.cancel()
	ls.done.Wait()
}
