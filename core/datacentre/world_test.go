package datacentre

import (
	"container/heap"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"lynxfold/core/contract"
	"lynxfold/core/host"
	"lynxfold/core/wire"
)

// errDown is what the platform answers while it is down.
var errDown = errors.New("platform is down")

const (
	// stormMessages is more messages than a host sends in any second.
	stormMessages = 1000
	worldTick     = 100 * time.Millisecond
	// silentAfter is when the adapter gives up a silent link.
	silentAfter = 1200 * time.Millisecond
)

// worldConfig sets up a driver of several members.
type worldConfig struct {
	seed    uint64
	centres int
	hosts   int
	// loss and double are shares of messages, reorder spreads their delays.
	loss    float64
	double  float64
	reorder bool
	// spoil is the share of updates and documents that are damaged on their way.
	spoil  float64
	budget float64
	change func(cfg *Config)
}

// world drives several members with plain values: a list of messages in flight
// and a list of accepted versions in place of network and platform.
type world struct {
	cfg    worldConfig
	rnd    *rand.Rand
	now    time.Time
	began  time.Time
	events eventHeap
	serial int
	nodes  map[host.ID]*hostState
	order  []host.ID
	byAddr map[string]host.ID
	links  map[[2]host.ID]int
	opened map[[2]host.ID]time.Time
	cut    map[[2]Name]bool

	accepted     []*contract.Snapshot
	deltas       []*contract.Delta
	contacts     map[Name][]string
	platformDown bool
	// platformDelay is how long an answer of the platform takes.
	platformDelay time.Duration
	reads         int
	starts        int
	assumed       int
	faults        []string

	bytes    map[host.ID]int
	messages int
	watch    func(from, to host.ID, size int, ms *wire.Control)
	noted    map[NoteKind]int
	// sent holds the latest messages that carried a configuration.
	sent []*wire.Control
}

// keptSent bounds the messages that can be delivered again.
const keptSent = 64

// keepSent remembers a message that carries a configuration.
func (wo *world) keepSent(ms *wire.Control) {
	if ms.GetUpdate() == nil && ms.GetWhole() == nil {
		return
	}
	wo.sent = append(wo.sent, ms)
	if len(wo.sent) > keptSent {
		wo.sent = wo.sent[1:]
	}
}

// echo delivers old configuration messages to a host, as if they had been long on
// their way from its peers.
func (wo *world) echo(id host.ID) {
	ho := wo.nodes[id]
	for _, from := range wo.order {
		if ho.member == nil || ho.paused || wo.links[pair(from, id)] == 0 {
			continue
		}
		for _, ms := range wo.sent {
			wo.step(ho, Received{Peer: from, Message: ms})
		}
		return
	}
}

// hostState is one host, across the processes that run on it.
type hostState struct {
	id      host.ID
	dc      Name
	member  *Member
	process int
	paused  bool
	inbox   []Event
	view    *View
	// viewAt is when the version in view was put in force.
	viewAt  time.Time
	highest contract.Version
	up      *LocalUpstream
	clock   time.Duration
	left    bool
	gate    host.Incarnation
}

type worldEvent struct {
	at     time.Time
	serial int
	run    func()
}

type eventHeap []worldEvent

func (eh eventHeap) Len() int { return len(eh) }
func (eh eventHeap) Less(i, j int) bool {
	if !eh[i].at.Equal(eh[j].at) {
		return eh[i].at.Before(eh[j].at)
	}
	return eh[i].serial < eh[j].serial
}
func (eh eventHeap) Swap(i, j int) { eh[i], eh[j] = eh[j], eh[i] }
func (eh *eventHeap) Push(x any)   { *eh = append(*eh, x.(worldEvent)) }
func (eh *eventHeap) Pop() any {
	old := *eh
	last := old[len(old)-1]
	*eh = old[:len(old)-1]
	return last
}

func newWorld(cfg worldConfig) *world {
	if cfg.budget == 0 {
		cfg.budget = 20
	}
	began := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	wo := &world{
		cfg:      cfg,
		rnd:      rand.New(rand.NewPCG(cfg.seed, 1)),
		now:      began,
		began:    began,
		nodes:    map[host.ID]*hostState{},
		byAddr:   map[string]host.ID{},
		links:    map[[2]host.ID]int{},
		opened:   map[[2]host.ID]time.Time{},
		cut:      map[[2]Name]bool{},
		accepted: []*contract.Snapshot{contract.Empty()},
		contacts: map[Name][]string{},
		bytes:    map[host.ID]int{},
		noted:    map[NoteKind]int{},
	}
	for i := range cfg.hosts {
		id := host.ID(fmt.Sprintf("host-%d", i))
		wo.order = append(wo.order, id)
		wo.byAddr[string(id)+":1"] = id
		wo.nodes[id] = &hostState{
			id: id,
			dc: Name(fmt.Sprintf("dc-%d", i%cfg.centres)),
		}
	}
	return wo
}

func (wo *world) fault(format string, args ...any) {
	wo.faults = append(wo.faults, wo.now.Sub(wo.began).String()+": "+fmt.Sprintf(format, args...))
}

func (wo *world) after(delay time.Duration, run func()) {
	wo.serial++
	heap.Push(&wo.events, worldEvent{
		at:     wo.now.Add(delay),
		serial: wo.serial,
		run:    run,
	})
}

// run lets time pass.
func (wo *world) run(span time.Duration) {
	end := wo.now.Add(span)
	most := wo.messages + stormMessages*len(wo.order)*int(span/time.Second+1)
	for len(wo.events) > 0 && !wo.events[0].at.After(end) {
		if wo.messages > most {
			wo.fault("more than %d messages within %s", most, span)
			break
		}
		ev := heap.Pop(&wo.events).(worldEvent)
		wo.now = ev.at
		ev.run()
	}
	wo.now = end
}

// startHost starts an empty process on a host.
func (wo *world) startHost(id host.ID, contacts ...string) {
	ho := wo.nodes[id]
	wo.starts++
	ho.process++
	ho.paused = false
	ho.inbox = nil
	ho.left = false
	cfg := Config{
		Mesh:           "mesh",
		Host:           id,
		DataCentre:     ho.dc,
		Address:        string(id) + ":1",
		Incarnation:    host.Incarnation(wo.now.Add(ho.clock).UnixNano()),
		Contacts:       contacts,
		FleetSize:      len(wo.order),
		ReadsPerSecond: wo.cfg.budget,
		DialBase:       200 * time.Millisecond,
		DialCap:        5 * time.Second,
		Rand:           rand.New(rand.NewPCG(wo.rnd.Uint64(), 2)),
		StartedAt:      wo.now,
	}
	if wo.cfg.change != nil {
		wo.cfg.change(&cfg)
	}
	ho.gate = cfg.Incarnation
	ho.member = New(cfg)
	ho.view = nil
	if ho.up != nil {
		wo.step(ho, *ho.up)
	}
	wo.tickLoop(ho, ho.process)
}

func (wo *world) tickLoop(ho *hostState, process int) {
	wo.after(worldTick/2+time.Duration(wo.rnd.Int64N(int64(worldTick))), func() {
		if ho.member == nil || ho.process != process {
			return
		}
		if !ho.paused {
			wo.step(ho, Tick{})
		}
		wo.tickLoop(ho, process)
	})
}

// step feeds an event, or keeps it for a paused process.
func (wo *world) step(ho *hostState, ev Event) {
	if ho.member == nil {
		return
	}
	if ho.paused {
		ho.inbox = append(ho.inbox, ev)
		return
	}
	for _, ac := range ho.member.Step(ev, wo.now) {
		wo.execute(ho, ac)
	}
}

func (wo *world) execute(ho *hostState, ac Action) {
	switch ac := ac.(type) {
	case Send:
		wo.sendMessage(ho, ac)
	case Dial:
		wo.dial(ho, ac.Address)
	case CloseLink:
		wo.closeLink(ho.id, ac.Peer, 5*time.Millisecond)
	case Publish:
		wo.published(ho, ac.View)
	case ReadPlatform:
		wo.read(ho, ac)
	case Introduce:
		if wo.platformDown {
			wo.after(time.Millisecond, func() { wo.step(ho, Introduced{Err: errDown}) })
			return
		}
		wo.contacts[ac.DataCentre] = ac.Addresses
	case Reincarnate:
		ho.gate = ac.Incarnation
	case Note:
		wo.noted[ac.Kind]++
		if ac.Kind == NoteInvariant {
			wo.fault("%s: invariant violation at version %d", ho.id, ac.Version)
		}
	}
}

func pair(a, b host.ID) [2]host.ID {
	if a < b {
		return [2]host.ID{a, b}
	}
	return [2]host.ID{b, a}
}

// reachable tells whether packets pass between two hosts.
func (wo *world) reachable(a, b host.ID) bool {
	na, nb := wo.nodes[a].dc, wo.nodes[b].dc
	return !wo.cut[[2]Name{na, nb}] && !wo.cut[[2]Name{nb, na}]
}

func (wo *world) latency() time.Duration {
	if wo.cfg.reorder {
		return time.Duration(wo.rnd.Int64N(int64(40 * time.Millisecond)))
	}
	return time.Millisecond
}

func (wo *world) dial(ho *hostState, address string) {
	process := ho.process
	to, known := wo.byAddr[address]
	fail := func(delay time.Duration) {
		wo.after(delay, func() {
			if ho.process == process {
				wo.step(ho, DialFailed{Address: address})
			}
		})
	}
	if !known || to == ho.id {
		fail(time.Millisecond)
		return
	}
	peer := wo.nodes[to]
	switch {
	case !wo.reachable(ho.id, to) || peer.paused:
		fail(2 * time.Second)
		return
	case peer.member == nil:
		fail(2 * time.Millisecond)
		return
	}
	target := peer.process
	wo.after(2*time.Millisecond, func() {
		if ho.member == nil || ho.process != process {
			return
		}
		if peer.member == nil || peer.process != target || peer.paused || ho.paused || !wo.reachable(ho.id, to) {
			fail(time.Millisecond)
			return
		}
		ke := pair(ho.id, to)
		if wo.links[ke] > 0 {
			return
		}
		wo.serial++
		wo.links[ke] = wo.serial
		wo.opened[ke] = wo.now
		mine, theirs := ho.member.Hello(), peer.member.Hello()
		wo.step(ho, LinkOpened{Peer: to, Hello: theirs, Address: address})
		wo.step(peer, LinkOpened{Peer: ho.id, Hello: mine})
	})
}

// closeLink ends a link; both ends hear of it.
func (wo *world) closeLink(a, b host.ID, delay time.Duration) {
	ke := pair(a, b)
	serial := wo.links[ke]
	if serial == 0 {
		return
	}
	wo.after(delay, func() {
		if wo.links[ke] != serial {
			return
		}
		delete(wo.links, ke)
		wo.step(wo.nodes[a], LinkClosed{Peer: b})
		wo.step(wo.nodes[b], LinkClosed{Peer: a})
	})
}

func (wo *world) sendMessage(ho *hostState, ac Send) {
	ke := pair(ho.id, ac.Peer)
	serial := wo.links[ke]
	if serial == 0 {
		return
	}
	wo.messages++
	wo.bytes[ho.id] += proto.Size(ac.Message)
	wo.bytes[ac.Peer] += proto.Size(ac.Message)
	if wo.watch != nil {
		wo.watch(ho.id, ac.Peer, proto.Size(ac.Message), ac.Message)
	}
	times := 1
	if wo.rnd.Float64() < wo.cfg.loss {
		times = 0
	} else if wo.rnd.Float64() < wo.cfg.double {
		times = 2
	}
	ms := ac.Message
	if wo.rnd.Float64() < wo.cfg.spoil {
		ms = wo.spoiled(ms)
	}
	wo.keepSent(ms)
	for range times {
		wo.after(wo.latency(), func() {
			if wo.links[ke] == serial && wo.reachable(ho.id, ac.Peer) {
				wo.step(wo.nodes[ac.Peer], Received{Peer: ho.id, Message: ms})
			}
		})
	}
}

// spoiled damages one byte of a configuration message, or cuts it short.
func (wo *world) spoiled(ms *wire.Control) *wire.Control {
	cp := proto.CloneOf(ms)
	damage := func(data []byte) []byte {
		at := wo.rnd.IntN(len(data))
		if wo.rnd.IntN(2) == 0 {
			return data[:at]
		}
		data[at] ^= byte(1 + wo.rnd.IntN(255))
		return data
	}
	switch ki := cp.GetKind().(type) {
	case *wire.Control_Update:
		ki.Update.Delta = damage(ki.Update.GetDelta())
	case *wire.Control_Whole:
		ki.Whole.Document = damage(ki.Whole.GetDocument())
	}
	return cp
}

// kill ends the process on a host; its links are reset.
func (wo *world) kill(id host.ID) {
	ho := wo.nodes[id]
	ho.member = nil
	ho.process++
	ho.view = nil
	wo.closeAll(id, time.Millisecond)
}

func (wo *world) closeAll(id host.ID, delay time.Duration) {
	for _, ke := range wo.sortedLinks() {
		if ke[0] == id || ke[1] == id {
			wo.closeLink(ke[0], ke[1], delay)
		}
	}
}

func (wo *world) sortedLinks() [][2]host.ID {
	return slices.SortedFunc(maps.Keys(wo.links), func(a, b [2]host.ID) int {
		return slices.Compare(a[:], b[:])
	})
}

// pause stops a process; its neighbours find its links silent.
func (wo *world) pause(id host.ID) {
	wo.nodes[id].paused = true
	wo.closeAll(id, silentAfter)
}

func (wo *world) resume(id host.ID) {
	ho := wo.nodes[id]
	ho.paused = false
	inbox := ho.inbox
	ho.inbox = nil
	for _, ev := range inbox {
		wo.step(ho, ev)
	}
}

// separate cuts the links between two data centres.
func (wo *world) separate(a, b Name) {
	wo.cut[[2]Name{a, b}] = true
	for _, ke := range wo.sortedLinks() {
		if !wo.reachable(ke[0], ke[1]) {
			wo.closeLink(ke[0], ke[1], silentAfter)
		}
	}
}

func (wo *world) heal() { clear(wo.cut) }

// read answers a ReadPlatform action like the adapter does.
func (wo *world) read(ho *hostState, ac ReadPlatform) {
	wo.reads++
	if ac.Introductions {
		wo.reads++
	}
	process := ho.process
	reply := func(ev PlatformRead) {
		wo.after(wo.latency()+wo.platformDelay+time.Millisecond, func() {
			if ho.process == process {
				wo.step(ho, ev)
			}
		})
	}
	if wo.platformDown {
		reply(PlatformRead{Err: errDown})
		return
	}
	var ev PlatformRead
	if ac.Introductions {
		for _, name := range slices.Sorted(maps.Keys(wo.contacts)) {
			ev.Contacts = append(ev.Contacts, wo.contacts[name]...)
		}
	}
	top := wo.accepted[len(wo.accepted)-1]
	switch {
	case top.Version <= ac.After:
	case ac.Whole:
		ev.Whole = top
		wo.reads++
	default:
		ev.Deltas = wo.deltas[ac.After:]
		wo.reads++
	}
	reply(ev)
}

// accept adds a version as an operator does at one host. It fails with a
// conflict when the host's version is not the highest.
func (wo *world) accept(id host.ID, lostReply bool) bool {
	ho := wo.nodes[id]
	if ho.member == nil || ho.paused || ho.view == nil || ho.view.Grounds == GroundsNone || wo.platformDown {
		return false
	}
	base := ho.view.Config
	top := wo.accepted[len(wo.accepted)-1]
	if base.Version != top.Version {
		return false
	}
	next := nextVersion(base, wo.rnd)
	de := contract.Diff(base, next)
	wo.accepted = append(wo.accepted, next)
	wo.deltas = append(wo.deltas, de)
	if !lostReply {
		wo.step(ho, Accepted{Delta: de})
	}
	return true
}

// nextVersion changes one route of a document, and sometimes its services.
func nextVersion(base *contract.Snapshot, rnd *rand.Rand) *contract.Snapshot {
	doc := base.Document.Clone()
	number := rnd.IntN(6)
	se := contract.ServiceName(fmt.Sprintf("service-%d", number))
	ro := contract.RouteName(fmt.Sprintf("route-%d", number))
	doc.Services = slices.DeleteFunc(doc.Services, func(it contract.Service) bool { return it.Name == se })
	doc.Routes = slices.DeleteFunc(doc.Routes, func(it contract.Route) bool { return it.Name == ro })
	if rnd.IntN(3) > 0 {
		doc.Services = append(doc.Services, contract.Service{
			Name:        se,
			Description: fmt.Sprintf("version %d", base.Version+1),
		})
		doc.Routes = append(doc.Routes, contract.Route{
			Name:       ro,
			PathPrefix: fmt.Sprintf("/%d", number),
			Service:    se,
			Contract:   "lookup",
		})
	}
	doc.Contracts = []contract.Terms{{
		Name:       "lookup",
		Idempotent: true,
		TimeoutMS:  1000 + int64(base.Version),
	}}
	sn, err := contract.Compile(base.Version+1, doc)
	if err != nil {
		panic(err)
	}
	return sn
}

// published checks the invariants of one host's view.
func (wo *world) published(ho *hostState, vi *View) {
	if vi.Grounds == GroundsNone {
		if vi.Config.Version != 0 {
			wo.fault("%s: version %d in force without grounds", ho.id, vi.Config.Version)
		}
		ho.view = vi
		return
	}
	wo.checkNeverBack(ho, vi)
	wo.checkWhole(ho, vi)
	if ho.view == nil || ho.view.Config.Version != vi.Config.Version {
		ho.viewAt = wo.now
	}
	ho.view = vi
	ho.highest = max(ho.highest, vi.Config.Version)
}

func (wo *world) checkNeverBack(ho *hostState, vi *View) {
	ve := vi.Config.Version
	if ho.view != nil && ho.view.Grounds != GroundsNone && ve < ho.view.Config.Version {
		wo.fault("%s: from version %d back to %d in one process", ho.id, ho.view.Config.Version, ve)
	}
	if ve >= ho.highest {
		return
	}
	if vi.Grounds == GroundsPlatform {
		wo.fault("%s: from version %d back to %d although the platform was read", ho.id, ho.highest, ve)
		return
	}
	for id := range ho.member.links {
		if wo.hadTime(ho, id) && wo.nodes[id].member.settled() {
			wo.fault("%s: from version %d back to %d although %s knows better", ho.id, ho.highest, ve, id)
			return
		}
	}
	wo.assumed++
}

// hadTime tells whether a neighbour has known a host's highest version, and been
// linked to it, for long enough to tell it.
func (wo *world) hadTime(ho *hostState, id host.ID) bool {
	peer := wo.nodes[id]
	enough := 100 * time.Millisecond
	if wo.cfg.loss > 0 {
		enough = 5 * time.Second
	}
	ke := pair(ho.id, id)
	return wo.links[ke] > 0 && wo.now.Sub(wo.opened[ke]) >= enough && peer.member != nil && !peer.paused &&
		peer.view != nil && peer.view.Grounds != GroundsNone && peer.view.Config.Version >= ho.highest &&
		wo.now.Sub(peer.viewAt) >= enough
}

func (wo *world) checkWhole(ho *hostState, vi *View) {
	ve := int(vi.Config.Version)
	if ve >= len(wo.accepted) || wo.accepted[ve].Digest != vi.Config.Digest ||
		vi.Config.Document.Digest() != vi.Config.Digest {
		wo.fault("%s: version %d in force is not the accepted one", ho.id, ve)
	}
	if dangling := vi.Config.CheckRoutes(); len(dangling) > 0 {
		wo.fault("%s: version %d has dangling routes %v", ho.id, ve, dangling)
	}
}

// checkReads checks the reads of the whole fleet against the budget: one
// reading for each start, and the budget for the time that has passed.
func (wo *world) checkReads() {
	most := wo.cfg.budget*wo.now.Sub(wo.began).Seconds() + float64(wo.starts*mostReads)
	if float64(wo.reads) > most {
		wo.fault("%d reads of the platform, at most %.0f", wo.reads, most)
	}
}

// difference tells what a host still lacks; it is empty once the host agrees
// with what is true.
func (wo *world) difference(ho *hostState) string {
	top := wo.accepted[len(wo.accepted)-1].Version
	switch {
	case ho.view == nil || ho.view.Grounds == GroundsNone:
		return "nothing in force"
	case ho.view.Config.Version != top:
		return fmt.Sprintf("version %d, want %d", ho.view.Config.Version, top)
	}
	for _, id := range wo.order {
		other := wo.nodes[id]
		re := ho.member.hosts[id]
		alive := other.member != nil && !other.left
		known := re != nil && re.live()
		if known && !alive && (wo.deserted(other.dc) || len(ho.member.links) == 0) {
			known = false // nobody can tell a death from a cut; the view lacks it
		}
		if known != alive {
			return fmt.Sprintf("%s alive: want %v", id, alive)
		}
		if alive && (re.ho.GetIncarnation() != other.member.self.GetIncarnation() || re.ho.GetSequence() != other.member.self.GetSequence()) {
			return fmt.Sprintf("%s has an old record", id)
		}
		if alive && host.Incarnation(re.ho.GetIncarnation()) != other.gate {
			return fmt.Sprintf("%s has another incarnation than its gate", id)
		}
		if (shownIn(ho.view, id) != nil) != (alive && other.up != nil && other.up.State == host.StateReady) {
			return fmt.Sprintf("%s in view: %v", id, shownIn(ho.view, id) != nil)
		}
	}
	return ""
}

// deserted tells whether no process runs in a data centre.
func (wo *world) deserted(name Name) bool {
	for _, ho := range wo.nodes {
		if ho.dc == name && ho.member != nil {
			return false
		}
	}
	return true
}

func shownIn(vi *View, id host.ID) *Upstream {
	for _, ups := range vi.Upstreams {
		for i := range ups {
			if ups[i].Host == id {
				return &ups[i]
			}
		}
	}
	return nil
}

// converge lets time pass until all hosts agree, and reports a fault otherwise.
func (wo *world) converge(within time.Duration) {
	end := wo.now.Add(within)
	for {
		last := wo.disagreement()
		if last == "" {
			return
		}
		if wo.now.After(end) {
			wo.fault("no agreement after %s: %s", within, last)
			return
		}
		wo.run(500 * time.Millisecond)
	}
}

func (wo *world) disagreement() string {
	for _, id := range wo.order {
		ho := wo.nodes[id]
		if ho.member == nil {
			continue
		}
		if why := wo.difference(ho); why != "" {
			return string(id) + ": " + why
		}
	}
	return ""
}

// startAll starts every host with an upstream and two contacts.
func (wo *world) startAll() {
	for i, id := range wo.order {
		wo.nodes[id].up = &LocalUpstream{
			Service: contract.ServiceName(fmt.Sprintf("service-%d", i%6)),
			Slots:   10,
		}
		wo.startHost(id, wo.seeds()...)
	}
}

// startKnown starts every host without an upstream; each knows the others, as in
// a mesh that has run for long.
func (wo *world) startKnown() {
	for _, id := range wo.order {
		wo.startHost(id, wo.seeds()...)
	}
	for _, id := range wo.order {
		me := wo.nodes[id].member
		for _, other := range wo.order {
			if other != id {
				me.put(wo.nodes[other].member.self, wo.now)
			}
		}
	}
}

// seeds are the contacts in the settings of all hosts.
func (wo *world) seeds() []string {
	return []string{string(wo.order[0]) + ":1", string(wo.order[1%len(wo.order)]) + ":1"}
}
