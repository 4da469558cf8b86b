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

// memberSizes are the numbers of known hosts to measure, up to the target.
var memberSizes = []int{1500, 3000, 6000, 9000, 12000}

const (
	dataCentreCount   = 29
	serviceCount      = 700
	recordsPerMessage = 200
)

// hostRecord returns the record of one host of the target mesh.
func hostRecord(i int, sequence uint64) *wire.Host {
	return &wire.Host{
		Id:          fmt.Sprintf("host-%05d", i),
		DataCentre:  fmt.Sprintf("data-centre-%02d", i%dataCentreCount),
		Address:     fmt.Sprintf("10.%d.%d.%d:7400", i%dataCentreCount, i/250%250, i%250),
		Incarnation: 1_796_000_000_000_000_000,
		Sequence:    sequence,
		Upstreams: []*wire.Upstream{
			{
				Service:     fmt.Sprintf("service-%04d", i%serviceCount),
				Slots:       20,
				Connections: 120,
			},
		},
	}
}

func membersMessage(from, to int, sequence uint64) *wire.Control {
	ms := &wire.Members{}
	for i := from; i < to; i++ {
		ms.Hosts = append(ms.Hosts, hostRecord(i, sequence))
	}
	return &wire.Control{
		Kind: &wire.Control_Members{
			Members: ms,
		},
	}
}

// newMember returns a member that knows a number of hosts, itself included.
func newMember(hosts int) *datacentre.Member {
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
	openLink(me, "host-00001", now)
	for from := 1; from < hosts; from += recordsPerMessage {
		receive(me, membersMessage(from, min(from+recordsPerMessage, hosts), 1), now)
	}
	return me
}

// openLink opens a control link to a host of the same data centre.
func openLink(me *datacentre.Member, id host.ID, now time.Time) {
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

// receive passes a message through the codec and delivers it to a member.
func receive(me *datacentre.Member, ms *wire.Control, now time.Time) {
	decoded, _ := roundTrip(ms)
	me.Step(datacentre.MessageReceived{Peer: "host-00001", Message: decoded}, now)
}

// roundTrip encodes and decodes a message, as a link would, and returns it with its
// encoded size in bytes.
func roundTrip(ms *wire.Control) (*wire.Control, int) {
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
			Points: measurePoints(memberSizes, func(si int) float64 {
				return heapBytes(func() any { return newMember(si) })
			}),
		},
		{
			Name: "member_event_time", Unit: "µs", Driver: "known host", Source: source,
			Points: measurePoints(memberSizes, recordUpdateMicros),
		},
		{
			Name: "tick_time", Unit: "µs", Driver: "known host", Source: source,
			Points: measurePoints(memberSizes, tickMicros),
		},
		{
			Name: "record_bytes", Unit: "bytes", Driver: "host record", Source: source,
			Points: measurePoints([]int{1, 10, 100, 1000}, func(si int) float64 {
				return float64(proto.Size(membersMessage(0, si, 1)))
			}),
		},
	}, nil
}

// recordUpdateMicros measures the time to receive one newer record, in microseconds.
func recordUpdateMicros(hosts int) float64 {
	me := newMember(hosts)
	now := time.Unix(1_796_000_100, 0)
	sequence := uint64(1)
	return operationMicros(func() {
		sequence++
		receive(me, membersMessage(7, 8, sequence), now)
	})
}

// tickMicros measures the time of one idle tick, in microseconds.
func tickMicros(hosts int) float64 {
	me := newMember(hosts)
	now := time.Unix(1_796_000_100, 0)
	return operationMicros(func() {
		now = now.Add(time.Millisecond)
		me.Step(datacentre.Tick{}, now)
	})
}
