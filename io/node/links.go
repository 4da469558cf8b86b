package node

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"

	"lynxfold/core/datacentre"
	"lynxfold/core/host"
	"lynxfold/core/link"
	"lynxfold/core/wire"
)

// sendQueue bounds the messages that wait on one link.
const sendQueue = 512

// Event is something that happened on a control link.
type Event interface{ isEvent() }

// Opened says that both ends of a link have said hello.
type Opened struct {
	Session *Session
	Hello   *wire.Hello
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

func (Opened) isEvent()     {}
func (Heard) isEvent()      {}
func (Closed) isEvent()     {}
func (DialFailed) isEvent() {}

// HelloError reports a peer that can't be linked to.
type HelloError struct {
	Detail string
}

func (er *HelloError) Error() string { return "hello refused: " + er.Detail }

// LinksConfig sets up the control links.
type LinksConfig struct {
	Mesh   string
	Dialer *Dialer
	Watch  link.Config
	// Hello is called on any goroutine for what this node says first.
	Hello func() *wire.Hello
	// Emit passes events to the control goroutine; it may block.
	Emit func(ev Event)
}

// Links holds the control links of a node. Its methods that are not marked
// otherwise belong to the control goroutine.
type Links struct {
	cfg    LinksConfig
	ctx    context.Context
	cancel context.CancelFunc
	done   sync.WaitGroup
	// peers holds the sessions of each peer, the newest last.
	peers map[host.ID][]*Session
}

// Session is one control link.
type Session struct {
	peer   host.ID
	mux    *yamux.Session
	stream net.Conn
	out    chan *wire.Control
	watch  *link.Link
}

// NewLinks builds the control links.
func NewLinks(cfg LinksConfig) *Links {
	ctx, cancel := context.WithCancel(context.Background())
	return &Links{
		cfg:    cfg,
		ctx:    ctx,
		cancel: cancel,
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

func (ls *Links) dial(address string) error {
	co, err := ls.cfg.Dialer.dial(ls.ctx, address, prefaceControl)
	if err != nil {
		return err
	}
	mux, err := yamux.Client(co, muxConfig())
	if err != nil {
		_ = co.Close()
		return err
	}
	st, err := mux.Open()
	if err != nil {
		_ = mux.Close()
		return err
	}
	se, he, err := ls.greet(mux, st)
	if err != nil {
		_ = mux.Close()
		return err
	}
	ls.run(se, he)
	return nil
}

// Accept runs a link that a peer opened; it belongs to the listener's goroutine.
func (ls *Links) Accept(co *Conn) {
	mux, err := yamux.Server(co, muxConfig())
	if err != nil {
		return
	}
	st, err := mux.Accept()
	if err != nil {
		_ = mux.Close()
		return
	}
	se, he, err := ls.greet(mux, st)
	if err != nil {
		_ = mux.Close()
		return
	}
	ls.run(se, he)
}

func muxConfig() *yamux.Config {
	cfg := yamux.DefaultConfig()
	cfg.EnableKeepAlive = false // core/link probes instead
	cfg.LogOutput = io.Discard
	cfg.StreamOpenTimeout = 0
	return cfg
}

// greet exchanges hellos on a new stream.
func (ls *Links) greet(mux *yamux.Session, st net.Conn) (*Session, *wire.Hello, error) {
	_ = st.SetDeadline(time.Now().Add(prefaceTimeout))
	hello := &wire.Control{
		Kind: &wire.Control_Hello{
			Hello: ls.cfg.Hello(),
		},
	}
	if err := writeControl(st, hello); err != nil {
		return nil, nil, err
	}
	var answer wire.Control
	rd := bufio.NewReader(st)
	if err := readMessage(rd, &answer, maxControlBytes); err != nil {
		return nil, nil, err
	}
	he := answer.GetHello()
	if err := ls.checkHello(he); err != nil {
		return nil, nil, err
	}
	_ = st.SetDeadline(time.Time{})
	return &Session{
		peer:   host.ID(he.GetHost().GetId()),
		mux:    mux,
		stream: &Conn{Conn: st, Reader: rd},
		out:    make(chan *wire.Control, sendQueue),
	}, he, nil
}

func (ls *Links) checkHello(he *wire.Hello) error {
	switch {
	case he == nil || he.GetHost().GetId() == "":
		return &HelloError{Detail: "no hello"}
	case he.GetMesh() != ls.cfg.Mesh:
		return &HelloError{Detail: "another mesh"}
	case he.GetHost().GetId() == ls.cfg.Hello().GetHost().GetId():
		return &HelloError{Detail: "this host itself"}
	}
	return nil
}

// run emits the events of a session until it ends.
func (ls *Links) run(se *Session, he *wire.Hello) {
	ls.cfg.Emit(Opened{Session: se, Hello: he})
	var done sync.WaitGroup
	done.Go(func() { se.writeLoop(ls.ctx) })
	rd := bufio.NewReader(se.stream)
	for {
		ms := &wire.Control{}
		if err := readMessage(rd, ms, maxControlBytes); err != nil {
			break
		}
		ls.cfg.Emit(Heard{Session: se, Message: ms})
	}
	_ = se.mux.Close()
	done.Wait()
	ls.cfg.Emit(Closed{Session: se})
}

func (se *Session) writeLoop(ctx context.Context) {
	for {
		select {
		case ms := <-se.out:
			if err := writeControl(se.stream, ms); err != nil {
				_ = se.mux.Close()
				return
			}
		case <-se.mux.CloseChan():
			return
		case <-ctx.Done():
			_ = se.mux.Close()
			return
		}
	}
}

func writeControl(wr io.Writer, ms *wire.Control) error {
	data, err := appendMessage(nil, ms)
	if err != nil {
		return err
	}
	_, err = wr.Write(data)
	return err
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
	}
	return nil
}

func (ls *Links) opened(ev Opened, now time.Time) []datacentre.Event {
	se := ev.Session
	se.watch = link.New(ls.cfg.Watch, now)
	first := len(ls.peers[se.peer]) == 0
	ls.peers[se.peer] = append(ls.peers[se.peer], se)
	if !first {
		return nil
	}
	return []datacentre.Event{datacentre.LinkOpened{Peer: se.peer, Hello: ev.Hello}}
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
	left := ls.peers[se.peer][:0]
	for _, other := range ls.peers[se.peer] {
		if other != se {
			left = append(left, other)
		}
	}
	if len(left) > 0 {
		ls.peers[se.peer] = left
		return nil
	}
	delete(ls.peers, se.peer)
	return []datacentre.Event{datacentre.LinkClosed{Peer: se.peer}}
}

// Tick probes quiet links and closes silent ones.
func (ls *Links) Tick(now time.Time) {
	for _, sessions := range ls.peers {
		for _, se := range sessions {
			for _, ac := range se.watch.Step(link.Tick{}, now) {
				se.execute(ac)
			}
		}
	}
}

func (se *Session) execute(ac link.Action) {
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
		_ = se.mux.Close()
	}
}

// send queues a message; a link whose queue is full is closed.
func (se *Session) send(ms *wire.Control) {
	select {
	case se.out <- ms:
	default:
		_ = se.mux.Close()
	}
}

// Send passes a message to a peer over its newest link.
func (ls *Links) Send(peer host.ID, ms *wire.Control) {
	sessions := ls.peers[peer]
	if len(sessions) > 0 {
		sessions[len(sessions)-1].send(ms)
	}
}

// CloseLink ends the links to a peer.
func (ls *Links) CloseLink(peer host.ID) {
	for _, se := range ls.peers[peer] {
		_ = se.mux.Close()
	}
}

// Peers counts the linked peers.
func (ls *Links) Peers() int { return len(ls.peers) }

// Close ends all links and waits for their goroutines; events are still
// emitted meanwhile. It may be called on any goroutine.
func (ls *Links) Close() {
	ls.cancel()
	ls.done.Wait()
}
