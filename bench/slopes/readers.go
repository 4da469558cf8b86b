package main

import (
	"fmt"
	"math/rand/v2"
	"time"

	"lynxfold/bench/capacity"
	"lynxfold/core/datacentre"
	"lynxfold/core/host"
)

// fleetSizes are the numbers of hosts in a mesh in which each member knows all hosts.
var fleetSizes = []int{29, 58, 116, 232, 464}

const (
	// readCountTime is the simulated time in which reads are counted, after
	// readSettleTime.
	readCountTime  = 20 * time.Minute
	readSettleTime = 5 * time.Minute
	// readStep is the step of simulated time.
	readStep = time.Second
	// fleetReadsPerSecond is the read budget of the whole fleet.
	fleetReadsPerSecond = 20
)

// newFleet returns the members of a mesh, each of which knows all hosts.
func newFleet(size int, now time.Time) []*datacentre.Member {
	members := make([]*datacentre.Member, 0, size)
	for i := range size {
		me := datacentre.New(datacentre.Config{
			Mesh:           "target",
			Host:           host.ID(fmt.Sprintf("host-%05d", i)),
			DataCentre:     datacentre.Name(fmt.Sprintf("data-centre-%02d", i%dataCentreCount)),
			Address:        fmt.Sprintf("10.%d.%d.%d:7400", i%dataCentreCount, i/250%250, i%250),
			Incarnation:    1_796_000_000_000_000_000,
			FleetSize:      size,
			ReadsPerSecond: fleetReadsPerSecond,
			DialBase:       time.Second,
			DialCap:        time.Minute,
			Rand:           rand.New(rand.NewPCG(uint64(i), 2)),
			StartedAt:      now,
		})
		receive(me, membersMessage(0, size, 1), now)
		members = append(members, me)
	}
	return members
}

// readRate simulates a fleet and returns its platform reads per second.
func readRate(size int) float64 {
	now := time.Unix(1_796_000_000, 0)
	start := now
	count := 0
	members := newFleet(size, now)
	for now.Sub(start) < readSettleTime+readCountTime {
		now = now.Add(readStep)
		for _, me := range members {
			if wantsRead(me.Step(datacentre.Tick{}, now)) {
				me.Step(datacentre.PlatformRead{}, now)
				if now.Sub(start) > readSettleTime {
					count++
				}
			}
		}
	}
	return float64(count) / readCountTime.Seconds()
}

func wantsRead(acts []datacentre.Action) bool {
	for _, ac := range acts {
		if _, ok := ac.(datacentre.ReadPlatform); ok {
			return true
		}
	}
	return false
}

func measureReaders() ([]capacity.Slope, error) {
	return []capacity.Slope{
		{
			Name: "fleet_reads", Unit: "reads/s", Driver: "host of the fleet", Source: "bench/slopes/readers.go",
			Points: measurePoints(fleetSizes, readRate),
		},
	}, nil
}
