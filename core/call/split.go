package call

import (
	"math"

	"lynxfold/core/contract"
)

// goldenRatio is the fractional part of the golden ratio. As the step of a
// low-discrepancy sequence it spreads the points evenly, however many are taken.
const goldenRatio = 0.6180339887498949

// TrafficSplitter distributes the calls of split routes among their services by weight.
// Consecutive calls of a route are spread evenly, so that the shares hold for short
// intervals too.
type TrafficSplitter struct {
	// points are the latest points, in [0, 1), of the sequences of the routes.
	points map[contract.RouteName]float64
}

// Next returns the target within a split route that the next call goes to.
func (sp *TrafficSplitter) Next(ta *contract.Target) *contract.Target {
	if sp.points == nil {
		sp.points = map[contract.RouteName]float64{}
	}
	point, known := sp.points[ta.Route.Name]
	if !known {
		point = 0.5
	}
	point = math.Mod(point+goldenRatio, 1)
	sp.points[ta.Route.Name] = point
	return ta.SplitTargets[shareIndex(ta.Route.Split, point)]
}

// shareIndex returns the index of the share that a point in [0, 1) falls into.
func shareIndex(split []contract.Share, point float64) int {
	total := 0
	for _, sh := range split {
		total += sh.Weight
	}
	left := point * float64(total)
	last := 0
	for i, sh := range split {
		if sh.Weight == 0 {
			continue
		}
		last = i
		if left < float64(sh.Weight) {
			return i
		}
		left -= float64(sh.Weight)
	}
	return last
}
