package main

import (
	"fmt"
	"time"

	"lynxfold/bench/capacity"
	"lynxfold/testkit"
)

// meshSizes are numbers of nodes in one data centre. Each size gives a node more
// links than the size before.
var meshSizes = []int{2, 3, 5, 8, 12, 16}

const (
	// linkSettleTime is how long a mesh gets to open its links.
	linkSettleTime = 8 * time.Second
	// idleDuration is how long an idle mesh is measured.
	idleDuration       = 20 * time.Second
	linksMetric        = "lynxfold_control_links"
	controlBytesMetric = "lynxfold_control_bytes_total"
	// controlMessagesMetric counts messages; controlBytesMetric excludes their headers.
	controlMessagesMetric = "lynxfold_control_messages_total"
)

// idleCost is the average cost of an idle node: control links, bytes and messages per
// second, CPU time in microseconds per second, and resident memory in bytes.
type idleCost struct {
	links     float64
	bytes     float64
	messages  float64
	cpuMicros float64
	memory    float64
}

// measureIdle measures an idle mesh of nodes without upstreams.
func measureIdle(size int) idleCost {
	var cfg testkit.MeshConfig
	for i := range size {
		cfg.Hosts = append(cfg.Hosts, testkit.HostSpec{
			ID:         fmt.Sprintf("press-hall-%d", i),
			DataCentre: "press-hall",
		})
	}
	var co idleCost
	withMesh(cfg, func(me *testkit.Mesh) {
		time.Sleep(linkSettleTime)
		before := map[string]idleCost{}
		for id, ho := range me.Hosts {
			before[id] = readMetrics(ho)
		}
		start := time.Now()
		time.Sleep(idleDuration)
		took := time.Since(start).Seconds()
		n := float64(size)
		for id, ho := range me.Hosts {
			now := readMetrics(ho)
			co.links += now.links / n
			co.memory += now.memory / n
			co.bytes += (now.bytes - before[id].bytes) / took / n
			co.messages += (now.messages - before[id].messages) / took / n
			co.cpuMicros += (now.cpuMicros - before[id].cpuMicros) / took / n
		}
	})
	return co
}

// readMetrics returns the counters of a node since its start, and its current links and
// memory.
func readMetrics(ho *testkit.Host) idleCost {
	return idleCost{
		links:     sumMetric(ho, linksMetric),
		bytes:     sumMetric(ho, controlBytesMetric),
		messages:  sumMetric(ho, controlMessagesMetric),
		cpuMicros: 1e6 * sumMetric(ho, cpuSecondsMetric),
		memory:    sumMetric(ho, residentBytesMetric),
	}
}

func measureLinks() ([]capacity.Slope, error) {
	const source = "bench/slopes/links.go"
	costs := make([]idleCost, 0, len(meshSizes))
	for _, si := range meshSizes {
		costs = append(costs, measureIdle(si))
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
			Points: byLinks(func(co idleCost) float64 { return co.cpuMicros }),
		},
	}, nil
}
