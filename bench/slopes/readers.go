package main

import (
	"fmt"
	"math/rand/v2"
	"time"

	"lynxfold/bench/capacity"
	"lynxfold/core/datacentre"
	"lynxfold/core/host"
)

// fleetSizes are hosts of a mesh that knows itself.
var fleetSizes = []int{29, 58, 116, 232, 464}

const (
	// watchFor is the simulated time in which reads are counted, after a settling time.
	watchFor  = 20 * time.Minute
	settleFor = 5 * time.Minute
	// stepOf is the step of simulated time.
	stepOf = time.Second
	// fleetBudget is the budget of the fleet, in reads a second.
	fleetBudget = 20
)

// fleet builds the members of a mesh, each of which knows all hosts.
func fleet(size int, now time.Time) []*datacentre.Member {
	members := make([]*datacentre.Member, 0, size)
	for i := range size {
		me := datacentre.New(datacentre.Config{
			Mesh:           "target",
			Host:           host.ID(fmt.Sprintf("host-%05d", i)),
			DataCentre:     datacentre.Name(fmt.Sprintf("data-centre-%02d", i%dataCentres)),
			Address:        fmt.Sprintf("10.%d.%d.%d:7400", i%dataCentres, i/250%250, i%250),
			Incarnation:    1_796_000_000_000_000_000,
			FleetSize:      size,
			ReadsPerSecond: fleetBudget,
			DialBase:       time.Second,
			DialCap:        time.Minute,
			Rand:           rand.New(rand.NewPCG(uint64(i), 2)),
			StartedAt:      now,
		})
		receive(me, records(0, size, 1), now)
		members = append(members, me)
	}
	return members
}

// reads counts the reads of a whole fleet in a second.
func reads(size int) float64 {
	now := time.Unix(1_796_000_000, 0)
	begun := now
	count := 0
	members := fleet(size, now)
	for now.Sub(begun) < settleFor+watchFor {
		now = now.Add(stepOf)
		for _, me := range members {
			if asked(me.Step(datacentre.Tick{}, now)) {
				me.Step(datacentre.PlatformRead{}, now)
				if now.Sub(begun) > settleFor {
					count++
				}
			}
		}
	}
	return float64(count) / watchFor.Seconds()
}

func asked(acts []datacentre.Action) bool {
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
			Points: series(fleetSizes, reads),
		},
	}, nil
}
