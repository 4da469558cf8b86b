package main

import (
	"math/rand/v2"
	"time"

	"lynxfold/bench/capacity"
	"lynxfold/core/contract"
	"lynxfold/core/datacentre"
	"lynxfold/core/host"
)

// joinSizes are the numbers of hosts that the serving node knows and the joining
// node does not.
var joinSizes = []int{1500, 3000, 6000, 9000, 12000}

// simulationStep is the step of simulated time; joinTimeout bounds a join.
const (
	simulationStep = 100 * time.Millisecond
	joinTimeout    = 10 * time.Minute
)

// linkedMember is one of two linked members, with the bytes it has sent and the time
// its steps have taken.
type linkedMember struct {
	member    *datacentre.Member
	id        host.ID
	sentBytes int
	stepTime  time.Duration
}

// step applies an event and returns the messages to the other member as events.
func (lm *linkedMember) step(other *linkedMember, ev datacentre.Event, now time.Time) []datacentre.Event {
	start := time.Now()
	acts := lm.member.Step(ev, now)
	lm.stepTime += time.Since(start)
	var out []datacentre.Event
	for _, ac := range acts {
		se, ok := ac.(datacentre.Send)
		if !ok || se.Peer != other.id {
			continue
		}
		decoded, size := roundTrip(se.Message)
		lm.sentBytes += size
		out = append(out, datacentre.MessageReceived{
			Peer:    lm.id,
			Message: decoded,
		})
	}
	return out
}

// deliverAll delivers messages in turn until neither member sends any more.
func deliverAll(from, to *linkedMember, events []datacentre.Event, now time.Time) {
	for len(events) > 0 {
		var answers []datacentre.Event
		for _, ev := range events {
			answers = append(answers, to.step(from, ev, now)...)
		}
		from, to, events = to, from, answers
	}
}

// joinCost is the cost of one join: bytes sent by each member, simulated duration in
// seconds, and time in the steps of the serving member in microseconds.
type joinCost struct {
	servingBytes float64
	joinerBytes  float64
	seconds      float64
	stepMicros   float64
}

// simulateJoin links a new member to one that knows a number of hosts and 700
// services, and runs until the new member knows all of them.
func simulateJoin(hosts int) joinCost {
	now := time.Unix(1_796_000_000, 0)
	serving := &linkedMember{
		member: newMember(hosts),
		id:     "host-00000",
	}
	fullSnapshot, err := contract.Compile(9600, targetDocument(serviceCount))
	if err != nil {
		panic(err)
	}
	serving.member.Step(datacentre.PlatformRead{Snapshot: fullSnapshot}, now)
	joiner := &linkedMember{
		member: datacentre.New(datacentre.Config{
			Mesh:           "target",
			Host:           "host-99999",
			DataCentre:     "data-centre-00",
			Address:        "10.99.0.0:7400",
			Incarnation:    1,
			FleetSize:      hosts,
			ReadsPerSecond: fleetReadsPerSecond,
			DialBase:       time.Second,
			DialCap:        time.Minute,
			Rand:           rand.New(rand.NewPCG(3, 4)),
			StartedAt:      now,
		}),
		id: "host-99999",
	}
	start := now
	hello := serving.member.Hello()
	deliverAll(serving, joiner, serving.step(joiner, datacentre.LinkOpened{Peer: joiner.id, Hello: joiner.member.Hello()}, now), now)
	deliverAll(joiner, serving, joiner.step(serving, datacentre.LinkOpened{
		Peer:    serving.id,
		Hello:   hello,
		Address: "10.0.0.0:7400",
	}, now), now)
	for !knowsAll(joiner.member, hosts) && now.Sub(start) < joinTimeout {
		now = now.Add(simulationStep)
		deliverAll(serving, joiner, serving.step(joiner, datacentre.Tick{}, now), now)
		deliverAll(joiner, serving, joiner.step(serving, datacentre.Tick{}, now), now)
	}
	return joinCost{
		servingBytes: float64(serving.sentBytes),
		joinerBytes:  float64(joiner.sentBytes),
		seconds:      now.Sub(start).Seconds(),
		stepMicros:   float64(serving.stepTime.Microseconds()),
	}
}

func knowsAll(me *datacentre.Member, hosts int) bool {
	rp := me.Report()
	known := 0
	for _, ce := range rp.Centres {
		known += len(ce.Hosts)
	}
	return known >= hosts && rp.Verified > 0
}

func measureJoin() ([]capacity.Slope, error) {
	const source = "bench/slopes/join.go"
	joins := map[int]joinCost{}
	for _, si := range joinSizes {
		joins[si] = simulateJoin(si)
	}
	return []capacity.Slope{
		{
			Name: "join_served_bytes", Unit: "bytes", Driver: "known host", Source: source,
			Points: measurePoints(joinSizes, func(si int) float64 { return joins[si].servingBytes }),
		},
		{
			Name: "join_joiner_bytes", Unit: "bytes", Driver: "known host", Source: source,
			Points: measurePoints(joinSizes, func(si int) float64 { return joins[si].joinerBytes }),
		},
		{
			Name: "join_time", Unit: "µs", Driver: "known host", Source: source,
			Points: measurePoints(joinSizes, func(si int) float64 { return joins[si].stepMicros }),
		},
		{
			Name: "join_seconds", Unit: "s", Driver: "known host", Source: source,
			Points: measurePoints(joinSizes, func(si int) float64 { return joins[si].seconds }),
		},
	}, nil
}
