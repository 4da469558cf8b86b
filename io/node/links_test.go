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

// end is one node's links with the loop of its control goroutine.
type end struct {
	id       string
	address  string
	links    *Links
	listener *Listener
	set      *metrics.Set
	box      chan Event
	work     chan func()
	stop     chan struct{}
	done     sync.WaitGroup

	mu     sync.Mutex
	events []datacentre.Event
	hello  *wire.Hello
}

type endConfig struct {
	id          string
	mesh        string
	incarnation uint64
	// advertise is told to others; the listener's address when empty.
	advertise string
	joins     int
	budget    int
}

const (
	testProbeAfter   = 300 * time.Millisecond
	testAnswerWithin = 700 * time.Millisecond
	testBudget       = 16 << 20
)

func startEnd(t testing.TB, cfg endConfig) *end {
	t.Helper()
	li, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	en := &end{
		id:      cfg.id,
		address: li.Addr().String(),
		set:     metrics.NewSet(),
		box:     make(chan Event, 64),
		work:    make(chan func()),
		stop:    make(chan struct{}),
	}
	if cfg.mesh == "" {
		cfg.mesh = "test"
	}
	if cfg.advertise == "" {
		cfg.advertise = en.address
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
	en.hello = hello
	counters := NewCounters(en.set)
	en.links = NewLinks(LinksConfig{
		Mesh:   cfg.mesh,
		Dialer: &Dialer{Timeout: time.Second},
		Watch: link.Config{
			ProbeAfter:   testProbeAfter,
			ProbeTimeout: testAnswerWithin,
		},
		Joins:                max(cfg.joins, 1),
		ResyncBytesPerSecond: max(cfg.budget, bulkBytes),
		Hello:                func() *wire.Hello { return hello },
		Emit:                 en.emit,
		Counters:             counters,
	})
	refused := func(er *RefusedError) { counters.Refused(er.Reason) }
	en.listener = NewListener(li, ListenerConfig{
		MaxConns:      64,
		MaxHandshakes: 64,
		Control: func(co *Conn) {
			if err := en.links.Accept(co); err != nil {
				refused(refuse(err))
			}
		},
		Lane:    func(co *Conn) { _, _ = co.Reader.ReadByte() },
		Refused: refused,
	})
	en.done.Go(func() { _ = en.listener.Serve() })
	en.done.Go(en.loop)
	t.Cleanup(en.end)
	return en
}

func (en *end) emit(ev Event) {
	select {
	case en.box <- ev:
	case <-en.stop:
	}
}

func (en *end) loop() {
	ti := time.NewTicker(20 * time.Millisecond)
	defer ti.Stop()
	for {
		select {
		case ev := <-en.box:
			out := en.links.Handle(ev, time.Now())
			en.mu.Lock()
			en.events = append(en.events, out...)
			en.mu.Unlock()
		case <-ti.C:
			en.links.Tick(time.Now())
		case fn := <-en.work:
			fn()
		case <-en.stop:
			return
		}
	}
}

// do runs a function on the control goroutine.
func (en *end) do(fn func()) {
	done := make(chan struct{})
	en.work <- func() {
		fn()
		close(done)
	}
	<-done
}

func (en *end) end() {
	en.links.Close()
	en.listener.Close()
	close(en.stop)
	en.done.Wait()
}

func (en *end) dial(address string) { en.do(func() { en.links.Dial(address) }) }

func (en *end) send(peer string, ms *wire.Control) {
	en.do(func() { en.links.Send(host.ID(peer), ms) })
}

// count counts the member's events of a kind.
func (en *end) count(matches func(ev datacentre.Event) bool) int {
	en.mu.Lock()
	defer en.mu.Unlock()
	count := 0
	for _, ev := range en.events {
		if matches(ev) {
			count++
		}
	}
	return count
}

func isOpened(ev datacentre.Event) bool { _, ok := ev.(datacentre.LinkOpened); return ok }
func isClosed(ev datacentre.Event) bool { _, ok := ev.(datacentre.LinkClosed); return ok }

// isNotice matches the notice of a version.
func isNotice(version uint64) func(ev datacentre.Event) bool {
	return func(ev datacentre.Event) bool {
		re, ok := ev.(datacentre.MessageReceived)
		return ok && re.Message.GetNotice() != nil && re.Message.GetNotice().GetVersion() == version
	}
}

func isWhole(ev datacentre.Event) bool {
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

func wholeMessage(size int) *wire.Control {
	return &wire.Control{
		Kind: &wire.Control_Whole{
			Whole: &wire.Whole{
				Version:  1,
				Document: make([]byte, size),
			},
		},
	}
}

func (en *end) metric(name string) uint64 { return en.set.GetOrCreateCounter(name).Get() }

func (en *end) waitFor(t testing.TB, what string, matches func(ev datacentre.Event) bool) {
	t.Helper()
	testkit.Eventually(t, 10*time.Second, en.id+": "+what, func() bool { return en.count(matches) > 0 })
}

// pair links two ends, the first of which dials.
func pair(t testing.TB, a, b *end, address string) {
	t.Helper()
	a.dial(address)
	a.waitFor(t, "link opened", isOpened)
	b.waitFor(t, "link opened", isOpened)
}

func TestMessagesPassBothWaysAndAreCounted(t *testing.T) {
	a, b := startEnd(t, endConfig{id: "a"}), startEnd(t, endConfig{id: "b"})
	pair(t, a, b, b.address)
	a.send("b", notice(5))
	b.send("a", notice(6))
	b.waitFor(t, "notice", isNotice(5))
	a.waitFor(t, "notice", isNotice(6))
	out := a.metric(`lynxfold_control_bytes_total{direction="out",kind="notice"}`)
	assert.Assert(t, out > 0)
	assert.Equal(t, b.metric(`lynxfold_control_bytes_total{direction="in",kind="notice"}`), out)
	assert.Equal(t, a.metric(`lynxfold_control_messages_total{direction="out",kind="hello"}`), uint64(1))
}

func TestSilentLinkIsReplacedBeside(t *testing.T) {
	b := startEnd(t, endConfig{id: "b"})
	px := testkit.NewProxy(t, b.address)
	a := startEnd(t, endConfig{id: "a"})
	pair(t, a, b, px.Listen)
	// b's address in its hello is not the proxy's: the new link goes round it.
	testkit.SwallowOpen(t, px)
	testkit.Eventually(t, 10*time.Second, "a new link beside", func() bool {
		return a.metric(`lynxfold_link_replacements_total{outcome="done"}`)+
			b.metric(`lynxfold_link_replacements_total{outcome="done"}`) > 0
	})
	// What an end sends before it knows of the new link is lost with the old one.
	for _, en := range []*end{a, b} {
		en.waitFor(t, "a new link beside", isNotice(0))
	}
	a.send("b", notice(5))
	b.send("a", notice(6))
	b.waitFor(t, "notice", isNotice(5))
	a.waitFor(t, "notice", isNotice(6))
	assert.Equal(t, a.count(isClosed), 0)
	assert.Equal(t, b.count(isClosed), 0)
}

// TestMessagesThatWaitOnASilentLinkAreMoved queues more than the link takes
// before it goes silent, and finds what was not begun on the new link,
// whichever end opens it.
func TestMessagesThatWaitOnASilentLinkAreMoved(t *testing.T) {
	const budget = 256 << 10
	b := startEnd(t, endConfig{id: "b"})
	px := testkit.NewProxy(t, b.address)
	a := startEnd(t, endConfig{id: "a", budget: budget})
	pair(t, a, b, px.Listen)
	testkit.SwallowOpen(t, px)
	a.do(func() {
		for range 3 {
			a.links.Send("b", wholeMessage(budget))
		}
	})
	b.waitFor(t, "a document", isWhole)
	assert.Equal(t, a.count(isClosed)+b.count(isClosed), 0)
}

func TestSilentLinkThatCannotBeReplacedIsClosed(t *testing.T) {
	dead := testkit.FreeAddress(t)
	b := startEnd(t, endConfig{id: "b", advertise: dead})
	px := testkit.NewProxy(t, b.address)
	a := startEnd(t, endConfig{id: "a", advertise: dead})
	pair(t, a, b, px.Listen)
	testkit.SwallowOpen(t, px)
	a.waitFor(t, "link closed", isClosed)
	b.waitFor(t, "link closed", isClosed)
	const silent = `lynxfold_links_closed_total{reason="silent"}`
	assert.Assert(t, a.metric(silent)+b.metric(silent) > 0)
}

// TestLargeMessageDoesNotHoldBackSmallOnes sends a document for several times
// as long as a silent link lives.
func TestLargeMessageDoesNotHoldBackSmallOnes(t *testing.T) {
	const budget = 256 << 10
	a, b := startEnd(t, endConfig{id: "a", budget: budget}), startEnd(t, endConfig{id: "b"})
	pair(t, a, b, b.address)
	a.send("b", wholeMessage(4*budget))
	a.send("b", notice(5))
	b.waitFor(t, "notice", isNotice(5))
	assert.Equal(t, b.count(isWhole), 0)
	b.waitFor(t, "document", isWhole)
	assert.Equal(t, a.count(isClosed)+b.count(isClosed), 0)
	assert.Equal(t, a.metric(`lynxfold_link_replacements_total{outcome="started"}`), uint64(0))
}

// TestPeerThatDoesNotReadIsDropped sends to a peer whose control goroutine is stuck.
func TestPeerThatDoesNotReadIsDropped(t *testing.T) {
	a, b := startEnd(t, endConfig{id: "a"}), startEnd(t, endConfig{id: "b"})
	pair(t, a, b, b.address)
	release := b.stick()
	defer release()
	large := notice(5)
	large.GetNotice().Digest = strings.Repeat("x", bulkBytes/2)
	a.do(func() {
		for range 2 * queuedBytes / (bulkBytes / 2) {
			a.links.Send("b", large)
		}
	})
	assert.Equal(t, a.metric(`lynxfold_links_closed_total{reason="slow_peer"}`), uint64(1))
	a.waitFor(t, "link closed", isClosed)
}

// TestPeerThatOnlyTakesConnectionsIsNotReplacedForever has a peer that says
// hello on new links but never answers on them.
func TestPeerThatOnlyTakesConnectionsIsNotReplacedForever(t *testing.T) {
	a, b := startEnd(t, endConfig{id: "a"}), startEnd(t, endConfig{id: "b", joins: 8})
	pair(t, a, b, b.address)
	release := b.stick()
	defer release()
	a.waitFor(t, "link closed", isClosed)
	assert.Assert(t, a.metric(`lynxfold_link_replacements_total{outcome="started"}`) <= 1)
}

// stick holds the control goroutine up until the returned function is called.
func (en *end) stick() (release func()) {
	held, released := make(chan struct{}), make(chan struct{})
	en.work <- func() {
		close(held)
		<-released
	}
	<-held
	return sync.OnceFunc(func() { close(released) })
}

func TestPeerThatCameBackIsANewLink(t *testing.T) {
	a, b := startEnd(t, endConfig{id: "a"}), startEnd(t, endConfig{id: "b", incarnation: 1})
	pair(t, a, b, b.address)
	again := startEnd(t, endConfig{id: "b", incarnation: 2})
	a.dial(again.address)
	testkit.Eventually(t, 10*time.Second, "a second opening", func() bool { return a.count(isOpened) == 2 })
	assert.Equal(t, a.count(isClosed), 1)
	a.send("b", notice(5))
	again.waitFor(t, "notice", isNotice(5))
	assert.Equal(t, b.count(isNotice(5)), 0)
}

func TestTwoLinksToOnePeerBecomeOne(t *testing.T) {
	a, b := startEnd(t, endConfig{id: "a", joins: 4}), startEnd(t, endConfig{id: "b", joins: 4})
	a.dial(b.address)
	b.dial(a.address)
	testkit.Eventually(t, 10*time.Second, "one link is left", func() bool {
		sessions := 0
		a.do(func() { sessions = len(a.links.peers["b"]) })
		return sessions == 1 && a.metric(`lynxfold_control_messages_total{direction="in",kind="hello"}`) == 2
	})
	a.send("b", notice(5))
	b.waitFor(t, "notice", isNotice(5))
	assert.Equal(t, a.count(isClosed)+b.count(isClosed), 0)
}

func TestClosedLinkFirstSendsWhatWaits(t *testing.T) {
	a, b := startEnd(t, endConfig{id: "a"}), startEnd(t, endConfig{id: "b"})
	pair(t, a, b, b.address)
	a.do(func() {
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
	b := startEnd(t, endConfig{id: "b", joins: 2})
	var ends []*end
	for i := range 6 {
		en := startEnd(t, endConfig{id: fmt.Sprint("a", i)})
		ends = append(ends, en)
		en.dial(b.address)
	}
	refused := func() (count uint64) {
		for _, en := range ends {
			count += en.metric(`lynxfold_link_dials_failed_total{reason="busy"}`)
		}
		return count
	}
	opened := func() int { return b.count(isOpened) }
	testkit.Eventually(t, 10*time.Second, "each was taken or refused", func() bool {
		return opened()+int(refused()) == len(ends)
	})
	assert.Assert(t, refused() > 0)
	testkit.Eventually(t, 10*time.Second, "refusals are counted", func() bool {
		return b.metric(`lynxfold_link_connections_refused_total{reason="busy"}`) == refused()
	})
	late := startEnd(t, endConfig{id: "late"})
	testkit.Eventually(t, 10*time.Second, "a later one is taken", func() bool {
		late.dial(b.address)
		time.Sleep(100 * time.Millisecond)
		return late.count(isOpened) > 0
	})
}

func TestHelloOfAnotherMeshIsRefused(t *testing.T) {
	a, b := startEnd(t, endConfig{id: "a", mesh: "cuyo"}), startEnd(t, endConfig{id: "b", mesh: "szeged"})
	a.dial(b.address)
	testkit.Eventually(t, 10*time.Second, "both count the refusal", func() bool {
		return a.metric(`lynxfold_link_dials_failed_total{reason="other_mesh"}`) == 1 &&
			b.metric(`lynxfold_link_connections_refused_total{reason="other_mesh"}`) == 1
	})
	assert.Equal(t, a.count(isOpened)+b.count(isOpened), 0)
}

// TestRefusedBytes sends garbage to a listener.
func TestRefusedBytes(t *testing.T) {
	datadriven.RunTest(t, "testdata/refused", func(t *testing.T, td *datadriven.TestData) string {
		b := startEnd(t, endConfig{id: "b"})
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
		testkit.Eventually(t, 2*prefaceTimeout, "a refusal", func() bool {
			out.Reset()
			b.set.WritePrometheus(&out)
			return strings.Contains(out.String(), "lynxfold_link_connections_refused_total")
		})
		_, reason, _ := strings.Cut(out.String(), `refused_total{reason="`)
		reason, _, _ = strings.Cut(reason, `"`)
		return reason + "\n"
	})
}

// TestSilentConnectionsDoNotKeepOthersOut opens more connections that say
// nothing than the listener waits for at once.
func TestSilentConnectionsDoNotKeepOthersOut(t *testing.T) {
	ta := startTaker(t, ListenerConfig{MaxHandshakes: 4})
	for range 10 {
		co, err := net.Dial("tcp", ta.address)
		assert.NilError(t, err)
		defer co.Close()
	}
	co, err := net.Dial("tcp", ta.address)
	assert.NilError(t, err)
	defer co.Close()
	_, err = co.Write([]byte(prefaceLane))
	assert.NilError(t, err)
	testkit.Eventually(t, 10*time.Second, "the one that speaks is taken", func() bool {
		taken, _ := ta.counts()
		return taken == 1
	})
	testkit.Eventually(t, 10*time.Second, "the oldest silent ones are refused", func() bool {
		_, refused := ta.counts()
		return len(refused) >= 6
	})
}

func TestConnectionsAreBounded(t *testing.T) {
	ta := startTaker(t, ListenerConfig{MaxConns: 2})
	for range 3 {
		co, err := net.Dial("tcp", ta.address)
		assert.NilError(t, err)
		defer co.Close()
		_, err = co.Write([]byte(prefaceLane))
		assert.NilError(t, err)
	}
	testkit.Eventually(t, 10*time.Second, "the third is refused", func() bool {
		taken, refused := ta.counts()
		return taken == 2 && len(refused) == 1 && refused[0] == RefusedBusy
	})
}
