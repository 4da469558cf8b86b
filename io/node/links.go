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
	// maxHelloBytes limits the first message on a link.
	maxHelloBytes = 64 << 10
	// maxSessions limits the control links to one peer.
	maxSessions = 4
	// retireDelay is how long a redundant link to a peer stays open, so that messages
	// in transit on it arrive.
	retireDelay = time.Second
	// maxAlternatives limits the addresses sent to a peer that is refused as busy.
	maxAlternatives = 5
)

// Event is an event on a control link.
type Event interface{ isEvent() }

// SessionOpened reports a session on which both ends have exchanged hellos.
type SessionOpened struct {
	Session *Session
	Hello   *wire.Hello
	// Address is the address that was dialled; empty when the peer opened the link.
	Address string
}

// MessageReceived reports a message from a peer.
type MessageReceived struct {
	Session *Session
	Message *wire.Control
}

// SessionClosed reports that a session has ended.
type SessionClosed struct {
	Session *Session
}

// DialFailed reports that no link to an address could be opened.
type DialFailed struct {
	Address string
	Err     error
}

// ReplaceFailed reports that no link could be opened to replace a silent one.
type ReplaceFailed struct {
	Session *Session
	Err     error
}

func (SessionOpened) isEvent()   {}
func (MessageReceived) isEvent() {}
func (SessionClosed) isEvent()   {}
func (DialFailed) isEvent()      {}
func (ReplaceFailed) isEvent()   {}

// LinksConfig configures the control links.
type LinksConfig struct {
	Mesh   string
	Dialer *Dialer
	// Detector configures the failure detector of each link.
	Detector link.Config
	// MaxConcurrentJoins limits the peers that join through this node at the same time:
	// the links that peers have opened within the last joinSlotTimeout.
	MaxConcurrentJoins int
	// ResyncBytesPerSecond limits the rate at which large messages are sent on all links
	// together.
	ResyncBytesPerSecond int
	// Hello returns this node's hello; it is called on any goroutine.
	Hello func() *wire.Hello
	// Emit sends an event to the control goroutine; it may block.
	Emit     func(ev Event)
	Counters *Counters
}

// Links holds the control links of a node. Unless stated otherwise, its methods must
// be called on the control goroutine.
type Links struct {
	cfg       LinksConfig
	ctx       context.Context
	cancel    context.CancelFunc
	done      sync.WaitGroup
	joinSlots chan struct{}
	// bulkLimiter limits the rate of the bulk streams of all sessions together.
	bulkLimiter *rate.Limiter
	// peers holds the sessions with each peer, the newest last.
	peers map[host.ID][]*Session

	// linkedPeers is the length of peers, for other goroutines.
	linkedPeers atomic.Int64

	// mu also guards the start of goroutines against Close.
	mu sync.Mutex
	// alternatives are addresses of linked peers, sent to peers that are refused as busy.
	alternatives []string
}

// NewLinks builds the control links.
func NewLinks(cfg LinksConfig) *Links {
	ctx, cancel := context.WithCancel(context.Background())
	return &Links{
		cfg:         cfg,
		ctx:         ctx,
		cancel:      cancel,
		joinSlots:   make(chan struct{}, cfg.MaxConcurrentJoins),
		bulkLimiter: rate.NewLimiter(rate.Limit(cfg.ResyncBytesPerSecond), max(cfg.ResyncBytesPerSecond, bulkThresholdBytes)),
		peers:       map[host.ID][]*Session{},
	}
}

// run runs a session and emits its events until it ends.
func (ls *Links) run(se *Session, he *wire.Hello, address string) {
	ls.cfg.Emit(SessionOpened{Session: se, Hello: he, Address: address})
	se.run(ls.ctx, ls.bulkLimiter, func(ms *wire.Control) {
		ls.cfg.Emit(MessageReceived{Session: se, Message: ms})
	})
	ls.cfg.Emit(SessionClosed{Session: se})
}

// Handle processes an event and returns the resulting events for the datacentre.Member.
// For the member, all sessions with one incarnation of a peer are one link.
func (ls *Links) Handle(ev Event, now time.Time) []datacentre.Event {
	switch ev := ev.(type) {
	case SessionOpened:
		return ls.handleOpened(ev, now)
	case MessageReceived:
		return ls.handleMessage(ev, now)
	case SessionClosed:
		return ls.handleClosed(ev.Session)
	case DialFailed:
		return []datacentre.Event{datacentre.DialFailed{Address: ev.Address}}
	case ReplaceFailed:
		ls.cfg.Counters.replacement("failed")
		ev.Session.close(ClosedSilent)
	}
	return nil
}

func (ls *Links) handleOpened(ev SessionOpened, now time.Time) []datacentre.Event {
	se := ev.Session
	se.detector = link.New(ls.cfg.Detector, now)
	se.bytesSeen = se.bytesAtHello
	former := ls.peers[se.peer]
	ls.peers[se.peer] = append(former, se)
	ls.updateAlternatives()
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
			old.close(ClosedPeerRestarted)
		}
		return []datacentre.Event{datacentre.LinkClosed{Peer: se.peer}, opened}
	}
	ls.retireFormer(former, se, now)
	// The link was open before: only the version in the hello is news, as in a notice.
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

func (ls *Links) handleMessage(ev MessageReceived, now time.Time) []datacentre.Event {
	ev.Session.detector.Step(link.MessageReceived{}, now)
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

func (ls *Links) handleClosed(se *Session) []datacentre.Event {
	var remaining []*Session
	for _, other := range ls.peers[se.peer] {
		if other != se {
			remaining = append(remaining, other)
		}
	}
	if len(remaining) > 0 {
		ls.peers[se.peer] = remaining
		se.moveQueueTo(ls.currentSession(se.peer))
		return nil
	}
	if ls.peers[se.peer] == nil {
		return nil
	}
	delete(ls.peers, se.peer)
	ls.updateAlternatives()
	return []datacentre.Event{datacentre.LinkClosed{Peer: se.peer}}
}

// updateAlternatives refreshes the peer count and the addresses for refused peers.
func (ls *Links) updateAlternatives() {
	var alternatives []string
	for _, sessions := range ls.peers {
		if len(alternatives) < maxAlternatives {
			alternatives = append(alternatives, sessions[0].address)
		}
	}
	ls.linkedPeers.Store(int64(len(ls.peers)))
	ls.mu.Lock()
	ls.alternatives = alternatives
	ls.mu.Unlock()
}

// currentSession returns the newest session with a peer that is neither silent nor
// closing, or else the newest one; nil when there is none.
func (ls *Links) currentSession(peer host.ID) *Session {
	sessions := ls.peers[peer]
	if len(sessions) == 0 {
		return nil
	}
	for i := len(sessions) - 1; i >= 0; i-- {
		if se := sessions[i]; !se.silent && !se.closing {
			return se
		}
	}
	return sessions[len(sessions)-1]
}

// Send queues a message on the current link to a peer; without a link, the message
// is dropped.
func (ls *Links) Send(peer host.ID, ms *wire.Control) {
	if se := ls.currentSession(peer); se != nil {
		se.send(ms)
	}
}

// CloseLink closes the links to a peer after the small messages queued on them are
// written.
func (ls *Links) CloseLink(peer host.ID) {
	for _, se := range ls.peers[peer] {
		se.closeAfterFlush()
	}
}

// PeerCount returns the number of linked peers; it may be called on any goroutine.
func (ls *Links) PeerCount() int { return int(ls.linkedPeers.Load()) }

// Close closes all links and waits for the goroutines of those that this node dialled;
// events are still emitted meanwhile. It may be called on any goroutine.
func (ls *Links) Close() {
	ls.mu.Lock()
	ls.cancel()
	ls.mu.Unlock()
	ls.done.Wait()
}

// start runs a function on a goroutine that Close waits for; after Close it does nothing.
func (ls *Links) start(run func()) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	if ls.ctx.Err() == nil {
		ls.done.Go(run)
	}
}
