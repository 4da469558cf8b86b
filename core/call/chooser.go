package call

import (
	"math/rand/v2"

	"lynxfold/core/datacentre"
	"lynxfold/core/host"
)

// Chooser picks upstreams by what this node has in flight to each of them.
type Chooser struct {
	local       datacentre.Name
	rnd         *rand.Rand
	outstanding map[host.ID]int
}

// NewChooser builds a chooser for callers in a data centre.
func NewChooser(local datacentre.Name, rnd *rand.Rand) *Chooser {
	return &Chooser{
		local:       local,
		rnd:         rnd,
		outstanding: map[host.ID]int{},
	}
}

// Pick returns the better of two random candidates that were not tried yet,
// from the own data centre when it has any.
func (ch *Chooser) Pick(all []datacentre.Upstream, tried map[host.ID]bool) (datacentre.Upstream, bool) {
	var near, far []datacentre.Upstream
	for _, up := range all {
		switch {
		case tried[up.Host]:
		case up.DataCentre == ch.local:
			near = append(near, up)
		default:
			far = append(far, up)
		}
	}
	if len(near) == 0 {
		near = far
	}
	if len(near) == 0 {
		return datacentre.Upstream{}, false
	}
	a := near[ch.rnd.IntN(len(near))]
	b := near[ch.rnd.IntN(len(near))]
	if ch.outstanding[b.Host] < ch.outstanding[a.Host] {
		return b, true
	}
	return a, true
}

// Started counts an attempt at a host.
func (ch *Chooser) Started(id host.ID) { ch.outstanding[id]++ }

// Ended counts the end of an attempt at a host.
func (ch *Chooser) Ended(id host.ID) {
	ch.outstanding[id]--
	if ch.outstanding[id] <= 0 {
		delete(ch.outstanding, id)
	}
}
