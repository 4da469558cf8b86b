package main

import (
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"lynxfold/bench/capacity"
	"lynxfold/core/datacentre"
	"lynxfold/core/host"
	"lynxfold/core/wire"
)

// memberSizes are numbers of known hosts, up to the target.
var memberSizes = []int{1500, 3000, 6000, 9000, 12000}

const (
	dataCentres = 29
	services    = 700
	// batch is how many records one message holds.
	batch = 200
)

// record is the record of one host of the target mesh.
func record(i int, sequence uint64) *wire.Host {
	return &wire.Host{
		Id:          fmt.Sprintf("host-%05d", i),
		DataCentre:  fmt.Sprintf("data-centre-%02d", i%dataCentres),
		Address:     fmt.Sprintf("10.%d.%d.%d:7400", i%dataCentres, i/250%250, i%250),
		Incarnation: 1_796_000_000_000_000_000,
		Sequence:    sequence,
		Upstreams: []*wire.Upstream{
			{
				Service:     fmt.Sprintf("service-%04d", i%services),
				Slots:       20,
				Connections: 120,
			},
		},
	}
}

func records(from, to int, sequence uint64) *wire.Control {
	ms := &wire.Members{}
	for i := from; i < to; i++ {
		ms.Hosts = append(ms.Hosts, record(i, sequence))
	}
	return &wire.Control{
		Kind: &wire.Control_Members{
			Members: ms,
		},
	}
}

// member knows a number of hosts.
func member(hosts int) *datacentre.Member {
	me := datacentre.New(datacentre.Config{
		Mesh:           "target",
		Host:           "host-00000",
		DataCentre:     "data-centre-00",
		Address:        "10.0.0.0:7400",
		Incarnation:    1,
		FleetSize:      12000,
		ReadsPerSecond: 20,
		StartedAt:      time.Unix(1_796_000_000, 0),
		DialBase:       time.Second,
		DialCap:        time.Minute,
		Rand:           rand.New(rand.NewPCG(1, 2)),
	})
	now := time.Unix(1_796_000_000, 0)
	me.Step(datacentre.PlatformRead{}, now)
	linkTo(me, "host-00001", now)
	for from := 1; from < hosts; from += batch {
		receive(me, records(from, min(from+batch, hosts), 1), now)
	}
	return me
}

// linkTo opens a control link to a host of the same data centre.
func linkTo(me *datacentre.Member, id host.ID, now time.Time) {
	me.Step(datacentre.LinkOpened{
		Peer: id,
		Hello: &wire.Hello{
			Mesh: "target",
			Host: &wire.Host{
				Id:          string(id),
				DataCentre:  "data-centre-00",
				Address:     "10.0.0.1:7400",
				Incarnation: 1,
			},
		},
	}, now)
}

// receive decodes a message as a link would and feeds it.
func receive(me *datacentre.Member, ms *wire.Control, now time.Time) {
	decoded, _ := carry(ms)
	me.Step(datacentre.MessageReceived{Peer: "host-00001", Message: decoded}, now)
}

// carry passes a message through the codec, as a link would, and returns it
// with its size in bytes.
func carry(ms *wire.Control) (*wire.Control, int) {
	data, err := proto.Marshal(ms)
	if err != nil {
		panic(err) // the message holds only valid strings
	}
	decoded := &wire.Control{}
	if err := proto.Unmarshal(data, decoded); err != nil {
		panic(err) // the data was marshalled above
	}
	return decoded, len(data)
}

func measureMembers() ([]capacity.Slope, error) {
	const source = "bench/slopes/members.go"
	return []capacity.Slope{
		{
			Name: "host_memory", Unit: "bytes", Driver: "known host", Source: source,
			Points: series(memberSizes, func(si int) float64 {
				return heapOf(func() any { return member(si) })
			}),
		},
		{
			Name: "member_event_time", Unit: "µs", Driver: "known host", Source: source,
			Points: series(memberSizes, eventTime),
		},
		{
			Name: "tick_time", Unit: "µs", Driver: "known host", Source: source,
			Points: series(memberSizes, tickTime),
		},
		{
			Name: "record_bytes", Unit: "bytes", Driver: "host record", Source: source,
			Points: series([]int{1, 10, 100, 1000}, func(si int) float64 {
				return float64(proto.Size(records(0, si, 1)))
			}),
		},
	}, nil
}

// eventTime is the time to take in one newer record.
func eventTime(hosts int) float64 {
	me := member(hosts)
	now := time.Unix(1_796_000_100, 0)
	sequence := uint64(1)
	return timeOf(func() {
		sequence++
		receive(me, records(7, 8, sequence), now)
	})
}

// tickTime is the time of one tick with nothing to do.
func tickTime(hosts int) float64 {
	me := member(hosts)
	now := time.Unix(1_796_000_100, 0)
	return timeOf(func() {
		now = now.Add(time.Millisecond)
		me.Step(datacentre.Tick{}, now)
	})
}
