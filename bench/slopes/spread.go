package main

import (
	"math/rand/v2"
	"time"

	"lynxfold/bench/capacity"
	"lynxfold/core/contract"
	"lynxfold/core/datacentre"
	"lynxfold/core/host"
	"lynxfold/core/wire"
)

// spreadSizes are the numbers of hosts in one data centre; the largest exceeds the 414 of
// the target.
var spreadSizes = []int{32, 64, 128, 256, 512}

// linkOpenTime is the simulated time that members get to open their links.
const linkOpenTime = 20 * time.Second

// group is a set of members whose messages are delivered in rounds.
type group struct {
	members   map[host.ID]*datacentre.Member
	byAddress map[string]host.ID
	order     []host.ID
	queue     []delivery
	bytes     int
	messages  int
}

// delivery is an event queued for a member.
type delivery struct {
	to host.ID
	ev datacentre.Event
}

// newGroup returns members of one data centre. Each has the address of the next one
// as its contact.
func newGroup(size int, now time.Time) *group {
	gr := &group{
		members:   map[host.ID]*datacentre.Member{},
		byAddress: map[string]host.ID{},
	}
	var all []*wire.Host
	for i := range size {
		ho := hostRecord(i*dataCentreCount, 1)
		all = append(all, ho)
		gr.byAddress[ho.GetAddress()] = host.ID(ho.GetId())
		gr.order = append(gr.order, host.ID(ho.GetId()))
	}
	for i, ho := range all {
		me := datacentre.New(datacentre.Config{
			Mesh:           "target",
			Host:           host.ID(ho.GetId()),
			DataCentre:     "data-centre-00",
			Address:        ho.GetAddress(),
			Incarnation:    host.Incarnation(ho.GetIncarnation()),
			Contacts:       []string{all[(i+1)%size].GetAddress()},
			FleetSize:      size,
			ReadsPerSecond: fleetReadsPerSecond,
			DialBase:       time.Second,
			DialCap:        time.Minute,
			Rand:           rand.New(rand.NewPCG(uint64(i), 5)),
			StartedAt:      now,
		})
		gr.members[host.ID(ho.GetId())] = me
	}
	return gr
}

// step applies one event and queues the events that its actions cause.
func (gr *group) step(id host.ID, ev datacentre.Event, now time.Time) {
	for _, ac := range gr.members[id].Step(ev, now) {
		switch ac := ac.(type) {
		case datacentre.Send:
			decoded, size := roundTrip(ac.Message)
			gr.bytes += size
			gr.messages++
			gr.enqueue(ac.Peer, datacentre.MessageReceived{Peer: id, Message: decoded})
		case datacentre.Dial:
			gr.dial(id, ac.Address)
		case datacentre.CloseLink:
			gr.enqueue(ac.Peer, datacentre.LinkClosed{Peer: id})
			gr.enqueue(id, datacentre.LinkClosed(ac))
		case datacentre.ReadPlatform:
			gr.enqueue(id, datacentre.PlatformRead{})
		}
	}
}

func (gr *group) enqueue(to host.ID, ev datacentre.Event) {
	gr.queue = append(gr.queue, delivery{
		to: to,
		ev: ev,
	})
}

func (gr *group) dial(from host.ID, address string) {
	to := gr.byAddress[address]
	gr.enqueue(from, datacentre.LinkOpened{Peer: to, Hello: gr.members[to].Hello(), Address: address})
	gr.enqueue(to, datacentre.LinkOpened{Peer: from, Hello: gr.members[from].Hello()})
}

// deliverRound delivers the events that are queued at its start.
func (gr *group) deliverRound(now time.Time) {
	queue := gr.queue
	gr.queue = nil
	for _, de := range queue {
		gr.step(de.to, de.ev, now)
	}
}

// openLinks runs the members for linkOpenTime, in which they discover each other and
// open their links, and returns the time after it.
func (gr *group) openLinks(now time.Time) time.Time {
	for end := now.Add(linkOpenTime); now.Before(end); now = now.Add(simulationStep) {
		for _, id := range gr.order {
			gr.step(id, datacentre.Tick{}, now)
		}
		gr.deliverUntil(now, func() bool { return len(gr.queue) == 0 })
	}
	return now
}

// maxRounds bounds the rounds that deliverUntil runs.
const maxRounds = 200

// deliverUntil delivers rounds until a condition holds and returns their number,
// at most maxRounds.
func (gr *group) deliverUntil(now time.Time, until func() bool) int {
	n := 0
	for !until() && n < maxRounds {
		gr.deliverRound(now)
		n++
	}
	return n
}

// allHaveVersion reports whether all members apply a version or a later one.
func (gr *group) allHaveVersion(ve contract.Version) bool {
	for _, me := range gr.members {
		if me.Hello().GetVersion() < uint64(ve) {
			return false
		}
	}
	return true
}

// spreadCost is the cost of propagating one change: rounds until all members have it,
// and bytes and messages per member.
type spreadCost struct {
	rounds   float64
	bytes    float64
	messages float64
}

// propagateChange accepts one change on one member and measures its propagation to
// all members.
func propagateChange(size int) spreadCost {
	now := time.Unix(1_796_000_000, 0)
	gr := newGroup(size, now)
	now = gr.openLinks(now)
	base := contract.EmptySnapshot()
	first, err := contract.Compile(1, targetDocument(4))
	if err != nil {
		panic(err) // the document is valid
	}
	gr.step(gr.order[0], datacentre.VersionAccepted{Delta: contract.Diff(base, first)}, now)
	gr.deliverUntil(now, func() bool { return len(gr.queue) == 0 })
	next := withChangedRoutes(first, 2)
	gr.bytes, gr.messages = 0, 0
	gr.step(gr.order[size/2], datacentre.VersionAccepted{Delta: contract.Diff(first, next)}, now)
	rounds := gr.deliverUntil(now, func() bool { return gr.allHaveVersion(2) })
	gr.deliverUntil(now, func() bool { return len(gr.queue) == 0 })
	return spreadCost{
		rounds:   float64(rounds),
		bytes:    float64(gr.bytes) / float64(size),
		messages: float64(gr.messages) / float64(size),
	}
}

func measureSpread() ([]capacity.Slope, error) {
	const source = "bench/slopes/spread.go"
	costs := map[int]spreadCost{}
	for _, si := range spreadSizes {
		costs[si] = propagateChange(si)
	}
	return []capacity.Slope{
		{
			Name: "spread_rounds", Unit: "rounds", Driver: "host of the data centre", Source: source,
			Points: measurePoints(spreadSizes, func(si int) float64 { return costs[si].rounds }),
		},
		{
			Name: "spread_bytes", Unit: "bytes a node and change", Driver: "host of the data centre", Source: source,
			Points: measurePoints(spreadSizes, func(si int) float64 { return costs[si].bytes }),
		},
		{
			Name: "spread_messages", Unit: "messages a node and change", Driver: "host of the data centre", Source: source,
			Points: measurePoints(spreadSizes, func(si int) float64 { return costs[si].messages }),
		},
	}, nil
}
