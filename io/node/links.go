package node

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

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
	return []datacentre.Event{datacentre.MessageReceived{
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

func (ls *Links) heard(ev Heard, now time.Time) []datacentre.Event {
	ev.Session.watch.Step(link.MessageReceived{}, now)
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
	return []datacentre.Event{datacentre.MessageReceived{Peer: ev.Session.peer, Message: ev.Message}}
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
