package main

import (
	"fmt"
	"time"

	"lynxfold/bench/capacity"
	"lynxfold/testkit"
)

// meshSizes are nodes of one data centre; each has more links than in the size before.
var meshSizes = []int{2, 3, 5, 8, 12, 16}

const (
	// settleLinks is the time in which a mesh finds its links.
	settleLinks = 8 * time.Second
	// idleFor is how long an idle mesh is watched.
	idleFor      = 20 * time.Second
	linksName    = "lynxfold_control_links"
	controlBytes = "lynxfold_control_bytes_total"
	// controlMessages counts messages, whose headers the bytes leave out.
	controlMessages = "lynxfold_control_messages_total"
)

// idleCost is what an idle node costs on average.
type idleCost struct {
	links    float64
	bytes    float64
	messages float64
	time     float64
	memory   float64
}

// idle watches a mesh of nodes without upstreams that has nothing to do.
func idle(size int) idleCost {
	var cfg testkit.MeshConfig
	for i := range size {
		cfg.Hosts = append(cfg.Hosts, testkit.HostSpec{
			ID:         fmt.Sprintf("press-hall-%d", i),
			DataCentre: "press-hall",
		})
	}
	var co idleCost
	withMesh(cfg, func(me *testkit.Mesh) {
		time.Sleep(settleLinks)
		before := map[string]idleCost{}
		for id, ho := range me.Hosts {
			before[id] = sample(ho)
		}
		begun := time.Now()
		time.Sleep(idleFor)
		took := time.Since(begun).Seconds()
		n := float64(size)
		for id, ho := range me.Hosts {
			now := sample(ho)
			co.links += now.links / n
			co.memory += now.memory / n
			co.bytes += (now.bytes - before[id].bytes) / took / n
			co.messages += (now.messages - before[id].messages) / took / n
			co.time += (now.time - before[id].time) / took / n
		}
	})
	return co
}

func sample(ho *testkit.Host) idleCost {
	return idleCost{
		links:    metric(ho, linksName),
		bytes:    metric(ho, controlBytes),
		messages: metric(ho, controlMessages),
		time:     1e6 * metric(ho, processorSeconds),
		memory:   metric(ho, residentBytes),
	}
}

func measureLinks() ([]capacity.Slope, error) {
	const source = "bench/slopes/links.go"
	costs := make([]idleCost, 0, len(meshSizes))
	for _, si := range meshSizes {
		costs = append(costs, idle(si))
	}
	byLinks := func(value func(co idleCost) float64) []capacity.Point {
		points := make([]capacity.Point, 0, len(costs))
		for _, co := range costs {
			points = append(points, capacity.Point{
				Size:  co.links,
				Value: value(co),
			})
		}
		return points
	}
	return []capacity.Slope{
		{
			Name: "link_memory", Unit: "bytes", Driver: "control link", Source: source,
			Points: byLinks(func(co idleCost) float64 { return co.memory }),
		},
		{
			Name: "link_idle_bytes", Unit: "bytes/s, sent and received", Driver: "control link", Source: source,
			Points: byLinks(func(co idleCost) float64 { return co.bytes }),
		},
		{
			Name: "link_idle_messages", Unit: "messages/s, sent and received", Driver: "control link", Source: source,
			Points: byLinks(func(co idleCost) float64 { return co.messages }),
		},
		{
			Name: "link_idle_time", Unit: "µs/s", Driver: "control link", Source: source,
			Points: byLinks(func(co idleCost) float64 { return co.time }),
		},
	}, nil
}
