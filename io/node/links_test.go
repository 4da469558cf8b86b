package node

import (
	"bytes"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/datadriven"
	"gotest.tools/v3/assert"

	"lynxfold/core/datacentre"
	"lynxfold/core/host"
	"lynxfold/core/link"
	"lynxfold/core/wire"
	"lynxfold/testkit"
)

// testNode runs one node's links and listener with a control goroutine.
type testNode struct {
	id       string
	address  string
	links    *Links
	listener *Listener
	set      *metrics.Set
	inbox    chan Event
	work     chan func()
	stop     chan struct{}
	done     sync.WaitGroup

	mu     sync.Mutex
	events []datacentre.Event
	hello  *wire.Hello
}

type testNodeConfig struct {
	id          string
	mesh        string
	incarnation uint64
	// advertise is the address in the hello; the listener's address when empty.
	advertise            string
	maxConcurrentJoins   int
	resyncBytesPerSecond int
}

const (
	testProbeAfter           = 300 * time.Millisecond
	testProbeTimeout         = 700 * time.Millisecond
	testResyncBytesPerSecond = 16 << 20
)

func startTestNode(t testing.TB, cfg testNodeConfig) *testNode {
	t.Helper()
	li, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	tn := &testNode{
		id:      cfg.id,
		address: li.Addr().String(),
		set:     metrics.NewSet(),
		inbox:   make(chan Event, 64),
		work:    make(chan func()),
		stop:    make(chan struct{}),
	}
	if cfg.mesh == "" {
		cfg.mesh = "test"
	}
	if cfg.advertise == "" {
		cfg.advertise = tn.address
	}
	hello := &wire.Hello{
		Mesh: cfg.mesh,
		Host: &wire.Host{
			Id:          cfg.id,
			DataCentre:  "press-hall",
			Address:     cfg.advertise,
			Incarnation: cfg.incarnation,
		},
	}
	tn.hello = hello
	counters := NewCounters(tn.set)
	tn.links = NewLinks(LinksConfig{
		Mesh:   cfg.mesh,
		Dialer: &Dialer{Timeout: time.Second},
		Detector: link.Config{
			ProbeAfter:   testProbeAfter,
			ProbeTimeout: testProbeTimeout,
		},
		MaxConcurrentJoins:   max(cfg.maxConcurrentJoins, 1),
		ResyncBytesPerSecond: max(cfg.resyncBytesPerSecond, bulkThresholdBytes),
		Hello:                func() *wire.Hello { return hello },
		Emit:                 tn.emit,
		Counters:             counters,
	})
	refused := func(er *RefusedError) { counters.Refused(er.Reason) }
	tn.listener = NewListener(li, ListenerConfig{
		MaxConns:      64,
		MaxHandshakes: 64,
		Control: func(co *Conn) {
			if err := tn.links.Accept(co); err != nil {
				refused(newRefusedError(err))
			}
		},
		Calls:   func(co *Conn) { _, _ = co.Reader.ReadByte() },
		Refused: refused,
	})
	tn.done.Go(func() { _ = tn.listener.Serve() })
	tn.done.Go(tn.loop)
	t.Cleanup(tn.close)
	return tn
}

func (tn *testNode) emit(ev Event) {
	select {
	case tn.inbox <- ev:
	case <-tn.stop:
	}
}

func (tn *testNode) loop() {
	ti := time.NewTicker(20 * time.Millisecond)
	defer ti.Stop()
	for {
		select {
		case ev := <-tn.inbox:
			out := tn.links.Handle(ev, time.Now())
			tn.mu.Lock()
			tn.events = append(tn.events, out...)
			tn.mu.Unlock()
		case <-ti.C:
			tn.links.Tick(time.Now())
		case fn := <-tn.work:
			fn()
		case <-tn.stop:
			return
		}
	}
}

// runOnControl runs a function on the control goroutine and waits for it.
func (tn *testNode) runOnControl(fn func()) {
	done := make(chan struct{})
	tn.work <- func() {
		fn()
		close(done)
	}
	<-done
}

func (tn *testNode) close() {
	tn.links.Close()
	tn.listener.Close()
	close(tn.stop)
	tn.done.Wait()
}

func (tn *testNode) dial(address string) { tn.runOnControl(func() { tn.links.Dial(address) }) }

func (tn *testNode) send(peer string, ms *wire.Control) {
	tn.runOnControl(func() { tn.links.Send(host.ID(peer), ms) })
}

// count returns the number of events for the member that match.
func (tn *testNode) count(matches func(ev datacentre.Event) bool) int {
	tn.mu.Lock()
	defer tn.mu.Unlock()
	count := 0
	for _, ev := range tn.events {
		if matches(ev) {
			count++
		}
	}
	return count
}

func isOpened(ev datacentre.Event) bool { _, ok := ev.(datacentre.LinkOpened); return ok }
func isClosed(ev datacentre.Event) bool { _, ok := ev.(datacentre.LinkClosed); return ok }

// isNotice matches a notice of the given version.
func isNotice(version uint64) func(ev datacentre.Event) bool {
	return func(ev datacentre.Event) bool {
		re, ok := ev.(datacentre.MessageReceived)
		return ok && re.Message.GetNotice() != nil && re.Message.GetNotice().GetVersion() == version
	}
}

// isSnapshot matches a wire.Whole, the message that carries a full document.
func isSnapshot(ev datacentre.Event) bool {
	re, ok := ev.(datacentre.MessageReceived)
	return ok && re.Message.GetWhole() != nil
}

func notice(version uint64) *wire.Control {
	return &wire.Control{
		Kind: &wire.Control_Notice{
			Notice: &wire.Notice{
				Version: version,
			},
		},
	}
}

func snapshotMessage(size int) *wire.Control {
	return &wire.Control{
		Kind: &wire.Control_Whole{
			Whole: &wire.Whole{
				Version:  1,
				Document: make([]byte, size),
			},
		},
	}
}

func (tn *testNode) metric(name string) uint64 { return tn.set.GetOrCreateCounter(name).Get() }

func (tn *testNode) waitFor(t testing.TB, what string, matches func(ev datacentre.Event) bool) {
	t.Helper()
	testkit.Eventually(t, 10*time.Second, tn.id+": "+what, func() bool { return tn.count(matches) > 0 })
}

// linkNodes opens a link between two nodes; the first one dials.
func linkNodes(t testing.TB, a, b *testNode, address string) {
	t.Helper()
	a.dial(address)
	a.waitFor(t, "link opened", isOpened)
	b.waitFor(t, "link opened", isOpened)
}

func TestMessagesPassBothWaysAndAreCounted(t *testing.T) {
	a, b := startTestNode(t, testNodeConfig{id: "a"}), startTestNode(t, testNodeConfig{id: "b"})
	linkNodes(t, a, b, b.address)
	a.send("b", notice(5))
	b.send("a", notice(6))
	b.waitFor(t, "notice", isNotice(5))
	a.waitFor(t, "notice", isNotice(6))
	out := a.metric(`lynxfold_control_bytes_total{direction="out",kind="notice"}`)
	assert.Assert(t, out > 0)
	assert.Equal(t, b.metric(`lynxfold_control_bytes_total{direction="in",kind="notice"}`), out)
	assert.Equal(t, a.metric(`lynxfold_control_messages_total{direction="out",kind="hello"}`), uint64(1))
}

// TestSilentLinkIsReplacedBeside drops all traffic on an open link: a replacement must be
// opened beside it, and the link must not be reported as closed meanwhile.
func TestSilentLinkIsReplacedBeside(t *testing.T) {
	b := startTestNode(t, testNodeConfig{id: "b"})
	px := testkit.NewProxy(t, b.address)
	a := startTestNode(t, testNodeConfig{id: "a"})
	linkNodes(t, a, b, px.Listen)
	// The address in b's hello is not the proxy's: the new link bypasses the proxy.
	testkit.BlackholeOpenConnections(t, px)
	testkit.Eventually(t, 10*time.Second, "a replacement link", func() bool {
		return a.metric(`lynxfold_link_replacements_total{outcome="done"}`)+
			b.metric(`lynxfold_link_replacements_total{outcome="done"}`) > 0
	})
	// Messages that a node sends before it knows of the new link are lost with the old one.
	// Each node reports the new link as a notice of version 0, the version in the hello.
	for _, tn := range []*testNode{a, b} {
		tn.waitFor(t, "a replacement link", isNotice(0))
	}
	a.send("b", notice(5))
	b.send("a", notice(6))
	b.waitFor(t, "notice", isNotice(5))
	a.waitFor(t, "notice", isNotice(6))
	assert.Equal(t, a.count(isClosed), 0)
	assert.Equal(t, b.count(isClosed), 0)
}

// TestMessagesThatWaitOnASilentLinkAreMoved queues more messages than a silent link can
// write: those that it has not begun to write must arrive on the replacement, whichever
// node opens it.
func TestMessagesThatWaitOnASilentLinkAreMoved(t *testing.T) {
	const resyncBytesPerSecond = 256 << 10
	b := startTestNode(t, testNodeConfig{id: "b"})
	px := testkit.NewProxy(t, b.address)
	a := startTestNode(t, testNodeConfig{id: "a", resyncBytesPerSecond: resyncBytesPerSecond})
	linkNodes(t, a, b, px.Listen)
	testkit.BlackholeOpenConnections(t, px)
	a.runOnControl(func() {
		for range 3 {
			a.links.Send("b", snapshotMessage(resyncBytesPerSecond))
		}
	})
	b.waitFor(t, "a snapshot", isSnapshot)
	assert.Equal(t, a.count(isClosed)+b.count(isClosed), 0)
}

func TestSilentLinkThatCannotBeReplacedIsClosed(t *testing.T) {
	dead := testkit.FreeAddress(t)
	b := startTestNode(t, testNodeConfig{id: "b", advertise: dead})
	px := testkit.NewProxy(t, b.address)
	a := startTestNode(t, testNodeConfig{id: "a", advertise: dead})
	linkNodes(t, a, b, px.Listen)
	testkit.BlackholeOpenConnections(t, px)
	a.waitFor(t, "link closed", isClosed)
	b.waitFor(t, "link closed", isClosed)
	const silent = `lynxfold_links_closed_total{reason="silent"}`
	assert.Assert(t, a.metric(silent)+b.metric(silent) > 0)
}

// TestLargeMessageDoesNotHoldBackSmallOnes sends a large snapshot at a rate at which it
// takes several times as long as a silent link stays open: a small message must overtake
// it, and the link must not count as silent.
func TestLargeMessageDoesNotHoldBackSmallOnes(t *testing.T) {
	const resyncBytesPerSecond = 256 << 10
	a, b := startTestNode(t, testNodeConfig{id: "a", resyncBytesPerSecond: resyncBytesPerSecond}), startTestNode(t, testNodeConfig{id: "b"})
	linkNodes(t, a, b, b.address)
	a.send("b", snapshotMessage(4*resyncBytesPerSecond))
	a.send("b", notice(5))
	b.waitFor(t, "notice", isNotice(5))
	assert.Equal(t, b.count(isSnapshot), 0)
	b.waitFor(t, "a snapshot", isSnapshot)
	assert.Equal(t, a.count(isClosed)+b.count(isClosed), 0)
	assert.Equal(t, a.metric(`lynxfold_link_replacements_total{outcome="started"}`), uint64(0))
}

// TestPeerThatDoesNotReadIsDropped fills the send queue to a peer whose control goroutine is
// blocked: the link must be closed because of the slow peer.
func TestPeerThatDoesNotReadIsDropped(t *testing.T) {
	a, b := startTestNode(t, testNodeConfig{id: "a"}), startTestNode(t, testNodeConfig{id: "b"})
	linkNodes(t, a, b, b.address)
	release := b.blockControl()
	defer release()
	large := notice(5)
	large.GetNotice().Digest = strings.Repeat("x", bulkThresholdBytes/2)
	a.runOnControl(func() {
		for range 2 * maxQueuedBytes / (bulkThresholdBytes / 2) {
			a.links.Send("b", large)
		}
	})
	assert.Equal(t, a.metric(`lynxfold_links_closed_total{reason="slow_peer"}`), uint64(1))
	a.waitFor(t, "link closed", isClosed)
}

// TestLinkToUnresponsivePeerIsReplacedAtMostOnce links to a peer that sends a hello
// on each new link, but then never responds: its link must be replaced at most once.
func TestLinkToUnresponsivePeerIsReplacedAtMostOnce(t *testing.T) {
	a, b := startTestNode(t, testNodeConfig{id: "a"}), startTestNode(t, testNodeConfig{id: "b", maxConcurrentJoins: 8})
	linkNodes(t, a, b, b.address)
	release := b.blockControl()
	defer release()
	a.waitFor(t, "link closed", isClosed)
	assert.Assert(t, a.metric(`lynxfold_link_replacements_total{outcome="started"}`) <= 1)
}

// blockControl blocks the control goroutine until the returned function is called.
func (tn *testNode) blockControl() (release func()) {
	entered, released := make(chan struct{}), make(chan struct{})
	tn.work <- func() {
		close(entered)
		<-released
	}
	<-entered
	return sync.OnceFunc(func() { close(released) })
}

func TestRestartedPeerIsANewLink(t *testing.T) {
	a, b := startTestNode(t, testNodeConfig{id: "a"}), startTestNode(t, testNodeConfig{id: "b", incarnation: 1})
	linkNodes(t, a, b, b.address)
	restarted := startTestNode(t, testNodeConfig{id: "b", incarnation: 2})
	a.dial(restarted.address)
	testkit.Eventually(t, 10*time.Second, "a second link is opened", func() bool { return a.count(isOpened) == 2 })
	assert.Equal(t, a.count(isClosed), 1)
	a.send("b", notice(5))
	restarted.waitFor(t, "notice", isNotice(5))
	assert.Equal(t, b.count(isNotice(5)), 0)
}

func TestTwoLinksToOnePeerBecomeOne(t *testing.T) {
	a, b := startTestNode(t, testNodeConfig{id: "a", maxConcurrentJoins: 4}), startTestNode(t, testNodeConfig{id: "b", maxConcurrentJoins: 4})
	a.dial(b.address)
	b.dial(a.address)
	testkit.Eventually(t, 10*time.Second, "one link is left", func() bool {
		sessions := 0
		a.runOnControl(func() { sessions = len(a.links.peers["b"]) })
		return sessions == 1 && a.metric(`lynxfold_control_messages_total{direction="in",kind="hello"}`) == 2
	})
	a.send("b", notice(5))
	b.waitFor(t, "notice", isNotice(5))
	assert.Equal(t, a.count(isClosed)+b.count(isClosed), 0)
}

func TestClosedLinkFirstSendsItsQueue(t *testing.T) {
	a, b := startTestNode(t, testNodeConfig{id: "a"}), startTestNode(t, testNodeConfig{id: "b"})
	linkNodes(t, a, b, b.address)
	a.runOnControl(func() {
		for version := uint64(1); version <= 100; version++ {
			a.links.Send("b", notice(version))
		}
		a.links.CloseLink("b")
	})
	b.waitFor(t, "last notice", isNotice(100))
	a.waitFor(t, "link closed", isClosed)
	b.waitFor(t, "link closed", isClosed)
}

func TestJoinsAreBounded(t *testing.T) {
	b := startTestNode(t, testNodeConfig{id: "b", maxConcurrentJoins: 2})
	var nodes []*testNode
	for i := range 6 {
		tn := startTestNode(t, testNodeConfig{id: fmt.Sprint("a", i)})
		nodes = append(nodes, tn)
		tn.dial(b.address)
	}
	refused := func() (count uint64) {
		for _, tn := range nodes {
			count += tn.metric(`lynxfold_link_dials_failed_total{reason="busy"}`)
		}
		return count
	}
	opened := func() int { return b.count(isOpened) }
	testkit.Eventually(t, 10*time.Second, "each node is accepted or refused", func() bool {
		return opened()+int(refused()) == len(nodes)
	})
	assert.Assert(t, refused() > 0)
	testkit.Eventually(t, 10*time.Second, "refusals are counted", func() bool {
		return b.metric(`lynxfold_link_connections_refused_total{reason="busy"}`) == refused()
	})
	late := startTestNode(t, testNodeConfig{id: "late"})
	testkit.Eventually(t, 10*time.Second, "a later node is accepted", func() bool {
		late.dial(b.address)
		time.Sleep(100 * time.Millisecond)
		return late.count(isOpened) > 0
	})
}

func TestHelloOfAnotherMeshIsRefused(t *testing.T) {
	a, b := startTestNode(t, testNodeConfig{id: "a", mesh: "cuyo"}), startTestNode(t, testNodeConfig{id: "b", mesh: "szeged"})
	a.dial(b.address)
	testkit.Eventually(t, 10*time.Second, "both count the refusal", func() bool {
		return a.metric(`lynxfold_link_dials_failed_total{reason="other_mesh"}`) == 1 &&
			b.metric(`lynxfold_link_connections_refused_total{reason="other_mesh"}`) == 1
	})
	assert.Equal(t, a.count(isOpened)+b.count(isOpened), 0)
}

// TestRefusedBytes sends invalid bytes to a listener and checks the reason that it counts.
func TestRefusedBytes(t *testing.T) {
	datadriven.RunTest(t, "testdata/refused", func(t *testing.T, td *datadriven.TestData) string {
		b := startTestNode(t, testNodeConfig{id: "b"})
		text, err := strconv.Unquote(strings.TrimSpace(td.Input))
		assert.NilError(t, err)
		co, err := net.Dial("tcp", b.address)
		assert.NilError(t, err)
		defer co.Close()
		_, err = co.Write([]byte(text))
		assert.NilError(t, err)
		if !td.HasArg("wait") {
			assert.NilError(t, co.(*net.TCPConn).CloseWrite())
		}
		var out bytes.Buffer
		testkit.Eventually(t, 2*setupTimeout, "a refusal", func() bool {
			out.Reset()
			b.set.WritePrometheus(&out)
			return strings.Contains(out.String(), "lynxfold_link_connections_refused_total")
		})
		_, reason, _ := strings.Cut(out.String(), `refused_total{reason="`)
		reason, _, _ = strings.Cut(reason, `"`)
		return reason + "\n"
	})
}

// TestSilentConnectionsDoNotKeepOthersOut opens more connections without a preface than
// the listener allows: the oldest are closed, and a connection with a preface is accepted.
func TestSilentConnectionsDoNotKeepOthersOut(t *testing.T) {
	rl := startRecordingListener(t, ListenerConfig{MaxHandshakes: 4})
	for range 10 {
		co, err := net.Dial("tcp", rl.address)
		assert.NilError(t, err)
		defer co.Close()
	}
	co, err := net.Dial("tcp", rl.address)
	assert.NilError(t, err)
	defer co.Close()
	_, err = co.Write([]byte(prefaceCalls))
	assert.NilError(t, err)
	testkit.Eventually(t, 10*time.Second, "the connection with a preface is accepted", func() bool {
		accepted, _ := rl.counts()
		return accepted == 1
	})
	testkit.Eventually(t, 10*time.Second, "the oldest silent connections are refused", func() bool {
		_, refused := rl.counts()
		return len(refused) >= 6
	})
}

func TestConnectionsAreBounded(t *testing.T) {
	rl := startRecordingListener(t, ListenerConfig{MaxConns: 2})
	for range 3 {
		co, err := net.Dial("tcp", rl.address)
		assert.NilError(t, err)
		defer co.Close()
		_, err = co.Write([]byte(prefaceCalls))
		assert.NilError(t, err)
	}
	testkit.Eventually(t, 10*time.Second, "the third connection is refused", func() bool {
		accepted, refused := rl.counts()
		return accepted == 2 && len(refused) == 1 && refused[0] == RefusedBusy
	})
}

// TestCloseWhileLinkIsOpened closes the links of a node while its control goroutine opens
// one, as at the end of a process. Only the race detector sees the fault.
func TestCloseWhileLinkIsOpened(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = silent.Close() })
	for range 2000 {
		links := NewLinks(LinksConfig{
			Dialer:               &Dialer{Timeout: time.Second},
			MaxConcurrentJoins:   1,
			ResyncBytesPerSecond: bulkThresholdBytes,
			Hello:                func() *wire.Hello { return &wire.Hello{} },
			Emit:                 func(Event) {},
			Counters:             NewCounters(metrics.NewSet()),
		})
		var opening sync.WaitGroup
		opening.Go(func() { links.Dial(silent.Addr().String()) })
		links.Close()
		opening.Wait()
		links.Close()
	}
}
