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

// spreadSizes are hosts of one data centre, up to more than the target's 414.
var spreadSizes = []int{32, 64, 128, 256, 512}

// linkFor is the simulated time in which members open their links.
const linkFor = 20 * time.Second

// group is a set of members whose messages are delivered in rounds.
type group struct {
	members   map[host.ID]*datacentre.Member
	byAddress map[string]host.ID
	order     []host.ID
	queue     []delivery
	bytes     int
	messages  int
}

// delivery is an event on its way to a member.
type delivery struct {
	to host.ID
	ev datacentre.Event
}

// newGroup builds members of one data centre that know each other.
func newGroup(size int, now time.Time) *group {
	gr := &group{
		members:   map[host.ID]*datacentre.Member{},
		byAddress: map[string]host.ID{},
	}
	var all []*wire.Host
	for i := range size {
		ho := record(i*dataCentres, 1)
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
			ReadsPerSecond: fleetBudget,
			DialBase:       time.Second,
			DialCap:        time.Minute,
			Rand:           rand.New(rand.NewPCG(uint64(i), 5)),
			StartedAt:      now,
		})
		gr.members[host.ID(ho.GetId())] = me
	}
	return gr
}

// step feeds one event and queues what follows from it.
func (gr *group) step(id host.ID, ev datacentre.Event, now time.Time) {
	for _, ac := range gr.members[id].Step(ev, now) {
		switch ac := ac.(type) {
		case datacentre.Send:
			decoded, size := carry(ac.Message)
			gr.bytes += size
			gr.messages++
			gr.push(ac.Peer, datacentre.MessageReceived{Peer: id, Message: decoded})
		case datacentre.Dial:
			gr.dial(id, ac.Address)
		case datacentre.CloseLink:
			gr.push(ac.Peer, datacentre.LinkClosed{Peer: id})
			gr.push(id, datacentre.LinkClosed(ac))
		case datacentre.ReadPlatform:
			gr.push(id, datacentre.PlatformRead{})
		}
	}
}

func (gr *group) push(to host.ID, ev datacentre.Event) {
	gr.queue = append(gr.queue, delivery{
		to: to,
		ev: ev,
	})
}

func (gr *group) dial(from host.ID, address string) {
	to := gr.byAddress[address]
	gr.push(from, datacentre.LinkOpened{Peer: to, Hello: gr.members[to].Hello(), Address: address})
	gr.push(to, datacentre.LinkOpened{Peer: from, Hello: gr.members[from].Hello()})
}

// round delivers what is on its way, once.
func (gr *group) round(now time.Time) {
	queue := gr.queue
	gr.queue = nil
	for _, de := range queue {
		gr.step(de.to, de.ev, now)
	}
}

// settle lets members find each other and open their links.
func (gr *group) settle(now time.Time) time.Time {
	for end := now.Add(linkFor); now.Before(end); now = now.Add(joinStep) {
		for _, id := range gr.order {
			gr.step(id, datacentre.Tick{}, now)
		}
		gr.rounds(now, func() bool { return len(gr.queue) == 0 })
	}
	return now
}

// maxRounds bounds the rounds of one spread.
const maxRounds = 200

// rounds delivers until a condition holds and counts the rounds.
func (gr *group) rounds(now time.Time, until func() bool) int {
	n := 0
	for !until() && n < maxRounds {
		gr.round(now)
		n++
	}
	return n
}

// everywhere tells whether all members have a version in force.
func (gr *group) everywhere(ve contract.Version) bool {
	for _, me := range gr.members {
		if me.Hello().GetVersion() < uint64(ve) {
			return false
		}
	}
	return true
}

// spreadCost is what one change costs.
type spreadCost struct {
	rounds   float64
	bytes    float64
	messages float64
}

// spread has one change accepted on one member and counts until all have it.
func spread(size int) spreadCost {
	now := time.Unix(1_796_000_000, 0)
	gr := newGroup(size, now)
	now = gr.settle(now)
	base := contract.EmptySnapshot()
	first, err := contract.Compile(1, document(4))
	if err != nil {
		panic(err) // the document is valid
	}
	gr.step(gr.order[0], datacentre.VersionAccepted{Delta: contract.Diff(base, first)}, now)
	gr.rounds(now, func() bool { return len(gr.queue) == 0 })
	next := changed(first, 2)
	gr.bytes, gr.messages = 0, 0
	gr.step(gr.order[size/2], datacentre.VersionAccepted{Delta: contract.Diff(first, next)}, now)
	rounds := gr.rounds(now, func() bool { return gr.everywhere(2) })
	gr.rounds(now, func() bool { return len(gr.queue) == 0 })
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
		costs[si] = spread(si)
	}
	return []capacity.Slope{
		{
			Name: "spread_rounds", Unit: "rounds", Driver: "host of the data centre", Source: source,
			Points: series(spreadSizes, func(si int) float64 { return costs[si].rounds }),
		},
		{
			Name: "spread_bytes", Unit: "bytes a node and change", Driver: "host of the data centre", Source: source,
			Points: series(spreadSizes, func(si int) float64 { return costs[si].bytes }),
		},
		{
			Name: "spread_messages", Unit: "messages a node and change", Driver: "host of the data centre", Source: source,
			Points: series(spreadSizes, func(si int) float64 { return costs[si].messages }),
		},
	}, nil
}
