package main

import (
	"math/rand/v2"
	"time"

	"lynxfold/bench/capacity"
	"lynxfold/core/contract"
	"lynxfold/core/datacentre"
	"lynxfold/core/host"
)

// joinSizes are hosts that the served node knows and the joining one does not.
var joinSizes = []int{1500, 3000, 6000, 9000, 12000}

// joinStep is the step of simulated time, joinWithin the longest join.
const (
	joinStep   = 100 * time.Millisecond
	joinWithin = 10 * time.Minute
)

// end is one of two linked members, with what it has sent and spent.
type end struct {
	member *datacentre.Member
	id     host.ID
	bytes  int
	spent  time.Duration
}

// step feeds an event and passes what is sent to the other end on.
func (en *end) step(other *end, ev datacentre.Event, now time.Time) []datacentre.Event {
	begun := time.Now()
	acts := en.member.Step(ev, now)
	en.spent += time.Since(begun)
	var out []datacentre.Event
	for _, ac := range acts {
		se, ok := ac.(datacentre.Send)
		if !ok || se.Peer != other.id {
			continue
		}
		decoded, size := carry(se.Message)
		en.bytes += size
		out = append(out, datacentre.MessageReceived{
			Peer:    en.id,
			Message: decoded,
		})
	}
	return out
}

// exchange delivers messages in turn until neither end sends more.
func exchange(from, to *end, events []datacentre.Event, now time.Time) {
	for len(events) > 0 {
		var answers []datacentre.Event
		for _, ev := range events {
			answers = append(answers, to.step(from, ev, now)...)
		}
		from, to, events = to, from, answers
	}
}

// joined is what one join cost.
type joined struct {
	served  float64
	joiner  float64
	seconds float64
	spent   float64
}

// join links a member that knows nothing to one that knows a number of hosts
// and 700 services, until the joining one knows all of them.
func join(hosts int) joined {
	now := time.Unix(1_796_000_000, 0)
	served := &end{
		member: member(hosts),
		id:     "host-00000",
	}
	whole, err := contract.Compile(9600, document(services))
	if err != nil {
		panic(err)
	}
	served.member.Step(datacentre.PlatformRead{Snapshot: whole}, now)
	joiner := &end{
		member: datacentre.New(datacentre.Config{
			Mesh:           "target",
			Host:           "host-99999",
			DataCentre:     "data-centre-00",
			Address:        "10.99.0.0:7400",
			Incarnation:    1,
			FleetSize:      hosts,
			ReadsPerSecond: fleetBudget,
			DialBase:       time.Second,
			DialCap:        time.Minute,
			Rand:           rand.New(rand.NewPCG(3, 4)),
			StartedAt:      now,
		}),
		id: "host-99999",
	}
	begun := now
	hello := served.member.Hello()
	exchange(served, joiner, served.step(joiner, datacentre.LinkOpened{Peer: joiner.id, Hello: joiner.member.Hello()}, now), now)
	exchange(joiner, served, joiner.step(served, datacentre.LinkOpened{
		Peer:    served.id,
		Hello:   hello,
		Address: "10.0.0.0:7400",
	}, now), now)
	for !complete(joiner.member, hosts) && now.Sub(begun) < joinWithin {
		now = now.Add(joinStep)
		exchange(served, joiner, served.step(joiner, datacentre.Tick{}, now), now)
		exchange(joiner, served, joiner.step(served, datacentre.Tick{}, now), now)
	}
	return joined{
		served:  float64(served.bytes),
		joiner:  float64(joiner.bytes),
		seconds: now.Sub(begun).Seconds(),
		spent:   float64(served.spent.Microseconds()),
	}
}

func complete(me *datacentre.Member, hosts int) bool {
	rp := me.Report()
	known := 0
	for _, ce := range rp.Centres {
		known += len(ce.Hosts)
	}
	return known >= hosts && rp.Verified > 0
}

func measureJoin() ([]capacity.Slope, error) {
	const source = "bench/slopes/join.go"
	joins := map[int]joined{}
	for _, si := range joinSizes {
		joins[si] = join(si)
	}
	return []capacity.Slope{
		{
			Name: "join_served_bytes", Unit: "bytes", Driver: "known host", Source: source,
			Points: series(joinSizes, func(si int) float64 { return joins[si].served }),
		},
		{
			Name: "join_joiner_bytes", Unit: "bytes", Driver: "known host", Source: source,
			Points: series(joinSizes, func(si int) float64 { return joins[si].joiner }),
		},
		{
			Name: "join_time", Unit: "µs", Driver: "known host", Source: source,
			Points: series(joinSizes, func(si int) float64 { return joins[si].spent }),
		},
		{
			Name: "join_seconds", Unit: "s", Driver: "known host", Source: source,
			Points: series(joinSizes, func(si int) float64 { return joins[si].seconds }),
		},
	}, nil
}
